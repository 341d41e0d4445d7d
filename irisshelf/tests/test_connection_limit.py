"""Callers open more connections than an instance may keep open.

They keep them idle, or all of them are busy at once. A ready instance still
accepts new connections. An instance that ran out of file descriptors would
accept none, and its callers would hang.
"""

import gevent
import pytest

from irisshelf.gateway import listener
from irisshelf.gateway.requests import frontend
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import client

_LIMIT = 20


@pytest.fixture
def limited(world):
    """A listener for the world's instance with a low connection limit."""
    callers = frontend.Frontend(inst=world.inst)
    made = listener.Listener(
        address="127.0.0.1:0",
        limits=callers.limits,
        handle=callers.handle,
        refuse=callers.refuse,
        log=world.inst.log,
        max_connections=_LIMIT,
    )
    made.start()
    yield made
    made.stop_accepting()


def _connect(limited):
    return client.connect(f"127.0.0.1:{limited.port}", timeout_s=5.0)


def _ask(world, conn, target="/alarm/1"):
    conn.send("POST", target, world.headers(b"{}"), b"{}", timeout_s=5.0)
    return world_module.read_answer(conn)


def test_idle_connections_are_closed_for_new_ones(world, limited):
    conns = [_connect(limited) for _ in range(3 * _LIMIT)]
    answers = [_ask(world, conn) for conn in conns[-5:]]
    assert {answer.status for answer in answers} == {200}
    assert all(answer.headers.get("connection") is None for answer in answers)


def test_the_longest_idle_connection_is_closed_first(world, limited):
    conns = [_connect(limited) for _ in range(_LIMIT)]
    assert [_ask(world, conn).status for conn in conns] == [200] * _LIMIT
    newest = _connect(limited)
    assert _ask(world, newest).status == 200
    world.wait(lambda: conns[0].is_stale())
    assert not any(conn.is_stale() for conn in conns[1:])


def test_when_all_are_busy_a_new_caller_is_rejected_at_once(world, limited):
    for one in world.plain:
        one.always = server.Fault.HANG
    asking = []
    for _ in range(_LIMIT):
        conn = _connect(limited)
        conn.send("POST", "/alarm/1", _headers(world), b"{}", timeout_s=5.0)
        asking.append(conn)
    world.wait(lambda: limited.busy == _LIMIT)
    late = _ask(world, _connect(limited))
    assert late.status == 503
    assert float(late.headers["retry-after"]) > 0
    assert late.headers["connection"] == "close"
    for conn in asking:
        conn.close()
    gevent.sleep(0)


def _headers(world):
    return world.headers(b"{}", Deadline_Ms="60000")
