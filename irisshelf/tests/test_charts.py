"""Tests that the code that uses each chart follows all its transitions."""

import random

import pytest
import result

from irisshelf.backends import messages
from irisshelf.bundle import schema
from irisshelf.charts import chart
from irisshelf.daemon import attempt
from irisshelf.routing.owned import service
from irisshelf.testing import clock
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.tests import examples
from irisshelf.tests import test_platform


def _path_to(name, state):
    """Returns events that lead from a chart's initial state to a state."""
    loaded = chart.load(name)
    paths = {loaded.initial: ()}
    for _ in loaded.edges:
        for edge in loaded.edges:
            if edge.source in paths and edge.dest not in paths:
                paths[edge.dest] = (*paths[edge.source], edge.event)
    return paths[state]


def _edges(name):
    return [
        pytest.param(edge, id=f"{edge.source}-{edge.event}")
        for edge in chart.load(name).edges
    ]


@pytest.mark.parametrize("edge", _edges("attempt"))
def test_attempt(edge):
    target = service.Target(
        name="s/e", server="s", engine="e", data_centre="d", address="a:1"
    )
    call = messages.CancelCall(address="a:1", engine="e", attempt_id="x")
    made = attempt.Attempt(target=target, call=call, send=None)
    for event in _path_to("attempt", edge.source):
        made.move(event)
    made.move(edge.event)
    final = chart.load("attempt").has_tag(edge.dest, "final")
    assert made.over == final
    if final:
        with pytest.raises(result.UnwrapError):
            made.move(edge.event)


@pytest.mark.parametrize("edge", _edges("instance"))
def test_instance(edge):
    platform = fake_platform.FakePlatform(
        clock=clock.FakeClock(), rng=random.Random(1)
    )
    bundle = schema.Bundle.model_validate(examples.bundle_document())
    instance = harness.Instance(name="i", platform=platform, bundle=bundle)
    node = instance.node
    node._state = chart.load("instance").initial
    for event in _path_to("instance", edge.source):
        node.move(event)
    node.move(edge.event)
    assert node.state == edge.dest
    assert node.ready == (edge.dest == "serving")
    assert node.accepts == (edge.dest in ("serving", "draining"))
    response = instance.call("GET", "/services/crew/x", key="wrong")
    assert response.status == (401 if node.accepts else 503)
    if edge.dest == "draining":
        assert response.headers["connection"] == "close"
    instance.stop()


@pytest.mark.parametrize(
    ("steps", "states"),
    [
        # Two bundles in succession: see, fetched, verified for each.
        (("good", "good"), ["in_force", "in_force"]),
        # The object store fails, then recovers: see, fetch_failed, see, ...
        (("lost", "good"), ["idle", "in_force"]),
        # An unsigned bundle, then a valid one: refused, see.
        (("unsigned", "good"), ["rejected", "in_force"]),
        (("good", "unsigned", "good"), ["in_force", "rejected", "in_force"]),
    ],
)
def test_bundle_roll(steps, states):
    rig = test_platform._Rig()
    observed = []
    for number, step in enumerate(steps, start=1):
        rig.put(number, signers=() if step == "unsigned" else ("anna",))
        get_object = rig.platform.get_object
        if step == "lost":
            rig.platform.get_object = lambda key: test_platform.LOST
        rig.follower.look()
        rig.platform.get_object = get_object
        observed.append(rig.follower.state)
    assert observed == states
