"""The instance's own network link is saturated.

A large configuration arrives over a slow link. For about a second every server
seems silent and new connections time out, while responses that the servers have
sent wait in the link's queue. An instance that abandons a silent server before
it has reached another one loses such a response.
"""

import gevent
import pytest

from irisshelf.platform.stand_in import server
from irisshelf.transport import client
from irisshelf.transport import errors

Fault = server.Fault
# Longer than the time-outs after which an instance fails over: 0.12 s for safe
# requests, 0.4 s for a first event, 0.3 s for the next one.
_SATURATED_S = 0.9


@pytest.fixture
def saturate_link(world, monkeypatch):
    """Delays responses; returns a function that makes connections time out."""
    for one in [*world.plain, *world.engines]:
        one.pause_s = _SATURATED_S

    def connect(address, *, timeout_s):
        gevent.sleep(timeout_s)
        raise errors.ConnectError(f"{address}: timed out", timed_out=True)

    def saturate():
        monkeypatch.setattr(client, "connect", connect)
        monkeypatch.setattr(
            world.inst.servers.reach.prober, "_connect", connect
        )

    return saturate


_DELAYED = pytest.mark.parametrize(
    ("target", "fault"),
    [
        ("/digest/1", Fault.SLOW),
        ("/digest/1", Fault.PAUSE_MIDWAY),
        ("/valve/1", Fault.SLOW),
    ],
)


@_DELAYED
def test_a_response_under_way_is_not_abandoned(
    world, saturate_link, target, fault
):
    """Regression: instances abandoned responses that were already under way.

    Streams were cut off 0.2 s after their servers had completed them, and
    lookups got 502 instead of their responses.
    """
    # Leaves an idle connection, which must not be taken for a new one.
    assert world.ask(target).status == 200
    conn = world.connect()
    saturate_link()
    for one in [*world.plain, *world.engines]:
        one.always = fault
    answer = world.ask(target, conn=conn, Request_Id="late")
    assert (answer.status, answer.whole) == (200, True)
    assert world.runs("late") == 1


@_DELAYED
def test_an_idle_connection_does_not_allow_a_failover(
    world, saturate_link, target, fault
):
    """Guards against double runs: an idle connection proves no working link."""
    assert world.ask(target).status == 200
    for name in ("crew", "lm"):
        for listed in world.inst.directory.servers_of(name):
            conn = world.connect_to(listed)
            world.inst.servers.connection_pool.add_idle(listed, conn)
    conn = world.connect()
    saturate_link()
    for one in [*world.plain, *world.engines]:
        one.always = fault
    answer = world.ask(target, conn=conn, Request_Id="late")
    assert (answer.status, answer.whole) == (200, True)
    assert world.runs("late") == 1


@pytest.mark.parametrize("fault", [Fault.HANG, Fault.HANG_MIDWAY])
def test_a_silent_server_is_abandoned_once_another_is_reached(world, fault):
    """The next send uses the connection that allowed the failover."""
    left = [fault]
    for one in world.engines:
        one.choose_fault = lambda: left.pop() if left else Fault.NONE
    answer = world.ask("/digest/1", Request_Id="d")
    assert (answer.status, answer.whole) == (200, True)
    assert world.runs("d") == 2


def _working(world):
    return any(one.working for one in world.plain)


def test_a_response_that_arrives_while_connecting_is_relayed(
    world, monkeypatch
):
    """The response arrives while the other connection is being opened."""
    connects = []
    made = client.connect

    def connect(address, *, timeout_s):
        connects.append(address)
        if len(connects) == 2:
            world.wait(lambda: world.runs("v") and not _working(world))
        return made(address, timeout_s=timeout_s)

    assert world.ask("/valve/1", method="GET", body=b"").status == 200
    # Closes idle connections, so that each send has to open one.
    world.inst.servers.connection_pool.retain(frozenset())
    for one in world.plain:
        one.always = Fault.SLOW
        one.pause_s = 0.5
    conn = world.connect()
    monkeypatch.setattr(client, "connect", connect)
    answer = world.ask(
        "/valve/1", method="GET", body=b"", conn=conn, Request_Id="v"
    )
    assert (answer.status, world.runs("v"), len(connects)) == (200, 1, 2)
