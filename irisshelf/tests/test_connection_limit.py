"""Callers press with more connections than an instance may have open.

The pattern: a crowd opens connections and keeps them, or all are busy at once.
A ready instance takes new connections however many press; one that has run out
of descriptors accepts none, and its callers hang.
"""

import gevent
import pytest

from irisshelf.gateway import listener
from irisshelf.gateway.requests import frontend
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import client

_MOST = 20


@pytest.fixture
def narrow(world):
    """The world's instance, with few connections at a time."""
    callers = frontend.Frontend(inst=world.inst)
    made = listener.Listener(
        address="127.0.0.1:0",
        limits=callers.limits,
        handle=callers.handle,
        refuse=callers.refuse,
        log=world.inst.log,
        most=_MOST,
    )
    made.start()
    yield made
    made.stop_accepting()


def _connect(narrow):
    return client.connect(f"127.0.0.1:{narrow.port}", timeout_s=5.0)


def _ask(world, conn, target="/alarm/1"):
    conn.send("POST", target, world.headers(b"{}"), b"{}", timeout_s=5.0)
    return world_module.read_answer(conn)


def test_those_at_rest_make_room(world, narrow):
    conns = [_connect(narrow) for _ in range(3 * _MOST)]
    answers = [_ask(world, conn) for conn in conns[-5:]]
    assert {answer.status for answer in answers} == {200}
    assert all(answer.headers.get("connection") is None for answer in answers)


def test_the_one_that_has_rested_longest_goes_first(world, narrow):
    conns = [_connect(narrow) for _ in range(_MOST)]
    assert [_ask(world, conn).status for conn in conns] == [200] * _MOST
    newest = _connect(narrow)
    assert _ask(world, newest).status == 200
    world.wait(lambda: conns[0].is_stale())
    assert not any(conn.is_stale() for conn in conns[1:])


def test_where_all_are_busy_a_new_caller_is_told_at_once(world, narrow):
    for one in world.plain:
        one.always = server.Fault.HANG
    asking = []
    for _ in range(_MOST):
        conn = _connect(narrow)
        conn.send("POST", "/alarm/1", _headers(world), b"{}", timeout_s=5.0)
        asking.append(conn)
    world.wait(lambda: narrow.busy == _MOST)
    late = _ask(world, _connect(narrow))
    assert late.status == 503
    assert float(late.headers["retry-after"]) > 0
    assert late.headers["connection"] == "close"
    for conn in asking:
        conn.close()
    gevent.sleep(0)


def _headers(world):
    return world.headers(b"{}", Deadline_Ms="60000")
