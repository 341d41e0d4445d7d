"""The instance's own link is full: answers are late, connections time out.

The pattern: a long configuration comes in over a narrow link. For a second each
server seems silent, and no new connection to any other comes about, while
answers that the servers have made wait in the link's queue. Whoever gives up a
silent server before another can be reached loses such an answer.
"""

import gevent
import pytest

from irisshelf.platform.stand_in import server
from irisshelf.transport import client
from irisshelf.transport import errors

Fault = server.Fault
# Longer than a silent server is waited for where another can be reached: 0.12 s
# for safe requests, 0.4 s for a first event, 0.3 s for the next one.
_FULL_S = 0.9


@pytest.fixture
def full_link(world, monkeypatch):
    """Servers are late, and new connections time out."""
    for one in [*world.plain, *world.engines]:
        one.pause_s = _FULL_S

    def connect(address, *, timeout_s):
        gevent.sleep(timeout_s)
        raise errors.ConnectError(f"{address}: timed out", silent=True)

    def fill():
        monkeypatch.setattr(client, "connect", connect)
        monkeypatch.setattr(world.inst.servers.prober, "_connect", connect)

    return fill


_LATE = pytest.mark.parametrize(
    ("target", "fault"),
    [
        ("/digest/1", Fault.SLOW),
        ("/digest/1", Fault.PAUSE_MIDWAY),
        ("/valve/1", Fault.SLOW),
    ],
)


@_LATE
def test_an_answer_on_its_way_is_not_given_up(world, full_link, target, fault):
    """It was: streams broken off 0.2 s after their servers had ended them.

    And lookups got 502 in place of their answers.
    """
    # Guards against a kept connection that is taken for one made now.
    assert world.ask(target).status == 200
    conn = world.connect()
    full_link()
    for one in [*world.plain, *world.engines]:
        one.always = fault
    answer = world.ask(target, conn=conn, Request_Id="late")
    assert (answer.status, answer.whole) == (200, True)
    assert world.runs("late") == 1


@_LATE
def test_nor_where_a_connection_to_another_server_is_kept(
    world, full_link, target, fault
):
    """Guards against requests that run twice: one at rest proves no link."""
    assert world.ask(target).status == 200
    for name in ("crew", "lm"):
        for listed in world.inst.directory.of(name):
            conn = world.connect_to(listed)
            world.inst.servers.connection_pool.add_idle(listed, conn)
    conn = world.connect()
    full_link()
    for one in [*world.plain, *world.engines]:
        one.always = fault
    answer = world.ask(target, conn=conn, Request_Id="late")
    assert (answer.status, answer.whole) == (200, True)
    assert world.runs("late") == 1


@pytest.mark.parametrize("fault", [Fault.HANG, Fault.HANG_MIDWAY])
def test_a_silent_server_is_left_once_another_is_reached(world, fault):
    """The next send goes over the connection that was the condition."""
    left = [fault]
    for one in world.engines:
        one.choose_fault = lambda: left.pop() if left else Fault.NONE
    answer = world.ask("/digest/1", Request_Id="d")
    assert (answer.status, answer.whole) == (200, True)
    assert world.runs("d") == 2


def _working(world):
    return any(one.working for one in world.plain)


def test_what_comes_while_another_is_asked_is_passed_on(world, monkeypatch):
    """The answer comes while the connection to the other server is made."""
    connects = []
    made = client.connect

    def connect(address, *, timeout_s):
        connects.append(address)
        if len(connects) == 2:
            world.wait(lambda: world.runs("v") and not _working(world))
        return made(address, timeout_s=timeout_s)

    assert world.ask("/valve/1", method="GET", body=b"").status == 200
    # Each send has to connect, whichever server it goes to.
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
