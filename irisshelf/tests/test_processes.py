"""Real processes: start, serve, hand on, planned stop, kill."""

import gevent
import pytest

from irisshelf.testing import harness
from irisshelf.testing import ports
from irisshelf.testing.demo import fleets
from irisshelf.testing.demo import layout
from irisshelf.testing.demo import processes
from irisshelf.testing.demo import rig

# Their cases start several processes each, so that one runs at a time.
pytestmark = pytest.mark.xdist_group("processes")

_FLEET = fleets.small(instances=2, engines=(3,))
_TOKEN_S = 0.02


@pytest.fixture
def fleet(tmp_path):
    made = rig.Rig(fleet=_FLEET, folder=tmp_path, token_s=_TOKEN_S)
    try:
        made.start()
        yield made
    finally:
        made.stop()


def _whole(data, marker, tokens):
    assert data.count(f'"content":"{marker} "'.encode()) == tokens
    assert data.endswith(b"data: [DONE]\n\n")


def test_streams_outlive_a_planned_stop_and_the_kill_of_an_owner(fleet):
    first, second = fleet.plan.instances
    # Chats of many keys: some are owned here, some by the other instance.
    asked = [
        (f"m{i}", gevent.spawn(fleet.ask, first, f"m{i}", 100))
        for i in range(8)
    ]
    gevent.sleep(0.7)
    events = processes.call(first.admin_address, "/timeline")["events"]
    handed = [e for e in events if e["kind"] == "forward"]
    assert 0 < len(handed) < 8
    owner = processes.call(second.admin_address, "/timeline")["events"]
    taken = [e for e in owner if e["kind"] == "send"]
    assert 0 < len(taken) <= len(handed)  # Some were named another engine.
    fleet.processes.kill(second.name)  # The owner of those that were handed on.
    gevent.sleep(0.2)
    fleet.processes.terminate(first.name)  # A planned stop, with streams open.
    gevent.joinall([greenlet for _, greenlet in asked], timeout=30)
    for marker, greenlet in asked:
        _whole(greenlet.value, marker, 100)
    assert harness.wait_for(lambda: fleet.processes.has_ended(first.name))
    record = processes.call(fleet.plan.servers[0].address, "/_runs")
    assert len(record["runs"]) == 8  # Nothing was run again.


def test_ports_are_not_those_of_outgoing_connections(tmp_path):
    """Guards against a port that another process takes before it listens."""
    plan = layout.make(_FLEET, tmp_path)
    addresses = [plan.platform, *(one.address for one in plan.servers)]
    addresses += [one.address for one in plan.instances]
    numbers = [int(address.rpartition(":")[2]) for address in addresses]
    assert len(set(numbers)) == len(numbers)
    assert max(numbers) < ports.LAST
    plan.ports.close()
