"""What an instance makes of the platform's list and of probes."""

import random

import gevent
import pytest

from irisshelf.bundle import schema
from irisshelf.daemon import watch
from irisshelf.store import messages
from irisshelf.testing import clock
from irisshelf.testing import engine
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.tests import examples

_LIVE = messages.NodeState.LIVE
_LEAVING = messages.NodeState.LEAVING


@pytest.fixture
def rig():
    """An instance, its platform, and one engine server."""
    server = engine.FakeEngineServer(
        engines=("e0", "e1"), cfg=engine.EngineConfig()
    )
    served = harness.Server(app=server)
    document = examples.bundle_document()
    document["backend_servers"]["lm-0"]["address"] = served.address
    platform = fake_platform.FakePlatform(
        clock=clock.FakeClock(), rng=random.Random(1)
    )
    instance = harness.Instance(
        name="i0",
        platform=platform,
        bundle=schema.Bundle.model_validate(document),
    )
    yield instance.node, platform, server
    instance.stop()
    served.stop()


def _list(nd, platform, state):
    platform.set_node(
        messages.Node(
            name="lm-0",
            role=messages.NodeRole.BACKEND_SERVER,
            state=state,
            data_centre="espoo-a",
            address="127.0.0.1:9000",
        )
    )
    watch.take_nodes(nd, platform.nodes(since=0).unwrap())


def _probe(nd):
    server = schema.BackendServer(
        service="lm",
        data_centre="espoo-a",
        address=nd.services["lm"].targets[0].address,
        engines=("e0", "e1"),
    )
    watch.probe(nd, "lm-0", server)


@pytest.mark.parametrize(
    ("listed", "says", "state"),
    [
        (_LIVE, False, "healthy"),
        (_LEAVING, False, "leaving"),
        (_LIVE, True, "leaving"),
        (_LEAVING, True, "leaving"),
    ],
)
def test_whichever_source_says_leaving_first_is_believed(
    rig, listed, says, state
):
    nd, platform, server = rig
    server.draining = says
    _list(nd, platform, listed)
    for _ in range(3):
        _probe(nd)
        gevent.sleep(0)
    assert nd.health.state("lm-0") == state


def test_a_server_that_stays_after_all_is_taken_back_on_probation(rig):
    nd, platform, server = rig
    server.draining = True
    _list(nd, platform, _LEAVING)
    _probe(nd)
    server.draining = False
    _probe(nd)
    assert nd.health.state("lm-0") == "leaving"
    _list(nd, platform, _LIVE)
    _probe(nd)
    assert nd.health.state("lm-0") == "probation"


def test_an_engine_that_its_server_does_not_name_is_down(rig):
    nd, _, server = rig
    server.engines["e1"].dead = True
    _probe(nd)
    assert not nd.health.takes_work("lm-0/e1")
    assert nd.health.takes_work("lm-0/e0")


def test_a_server_that_is_gone_is_down(rig):
    nd, _, _ = rig
    gone = schema.BackendServer(
        service="lm",
        data_centre="espoo-a",
        address="127.0.0.1:1",
        engines=("e0", "e1"),
    )
    watch.probe(nd, "lm-0", gone)
    assert nd.health.state("lm-0") == "down"


def test_instances_are_counted_from_the_list_by_its_changes(rig):
    nd, platform, _ = rig
    version = 0
    for count, state in ((1, _LIVE), (2, _LIVE), (2, _LEAVING)):
        platform.set_node(
            messages.Node(
                name=f"i{count}",
                role=messages.NodeRole.INSTANCE,
                state=state,
                data_centre="espoo-a",
                address="127.0.0.1:1",
            )
        )
        changes = platform.nodes(since=version).unwrap()
        version = changes.version
        watch.take_nodes(nd, changes)
    assert sorted(nd.nodes) == ["i1", "i2"]
    assert nd.instances == 1
