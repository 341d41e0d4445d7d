"""The engine client beside streams: load, cache events, orders, KV cache."""

import json

import pytest

from irisshelf.backends import engine
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.routing import outcome
from irisshelf.testing import engine as fake_engine
from irisshelf.testing import harness

_S = 1.0


@pytest.fixture
def rig():
    """A pool, an engine server and its address."""
    server = fake_engine.FakeEngineServer(
        engines=("e0", "e1"), cfg=fake_engine.EngineConfig(token_s=0.0)
    )
    served = harness.Server(app=server)
    yield pool.ClientPool(), server, served.address
    served.stop()


def _garbage(body):
    """A server that answers everything with these bytes."""

    def app(environ, start_response):
        start_response("200 OK", [])
        return [body]

    return harness.Server(app=app)


def _order(fence, order_id="o1"):
    return messages.Order(
        order_id=order_id,
        fence=fence,
        action="load_adapter",
        arguments={"name": "district-7"},
    )


def test_a_report_names_every_engine_and_is_counted(rig):
    clients, server, address = rig
    server.draining = True
    counted = []
    found = engine.fetch_load_report(
        clients,
        address,
        timeout_s=_S,
        count=lambda kind, size: counted.append((kind, size)),
    ).unwrap()
    assert found.draining
    assert sorted(found.engines) == ["e0", "e1"]
    assert counted[0][0] == "probe"
    assert counted[0][1] > len(json.dumps(server._load()))


@pytest.mark.parametrize(
    ("fences", "checks", "accepted"),
    [
        ((1, 2, 2), True, [True, True, True]),
        ((3, 2, 4), True, [True, False, True]),
        ((3, 2, 4), False, [True, True, True]),
    ],
)
def test_orders_carry_their_fence(rig, fences, checks, accepted):
    clients, server, address = rig
    server.checks_fencing = checks
    found = [
        engine.send_order(
            clients,
            address,
            engine="e0",
            order=_order(fence, f"o{i}"),
            timeout_s=_S,
        )
        for i, fence in enumerate(fences)
    ]
    assert [item.is_ok() for item in found] == accepted
    refused = [item.err_value for item in found if item.is_err()]
    assert all(e.outcome is outcome.Outcome.NOT_RUN for e in refused)


def test_an_order_given_twice_is_carried_out_once(rig):
    clients, server, address = rig
    for _ in range(2):
        engine.send_order(
            clients, address, engine="e0", order=_order(1), timeout_s=_S
        ).unwrap()
    assert len(server.engines["e0"].orders) == 1


def test_a_prefix_moves_from_one_engine_to_another(rig):
    clients, server, address = rig
    server.engines["e0"].kv["chat/1"] = b"\x00kv" * 1000
    data = engine.export_kv(
        clients, address, engine="e0", key="chat/1", timeout_s=_S
    ).unwrap()
    engine.import_kv(
        clients, address, engine="e1", key="chat/1", data=data, timeout_s=_S
    ).unwrap()
    assert server.engines["e1"].kv == server.engines["e0"].kv
    missing = engine.export_kv(
        clients, address, engine="e0", key="nope", timeout_s=_S
    )
    assert missing.is_err()


def test_cache_events_come_with_a_gap_when_they_are_read_late(rig):
    clients, server, address = rig
    one = server.engines["e0"]

    def events(since):
        return engine.fetch_cache_events(
            clients, address, engine="e0", since=since, timeout_s=_S
        ).unwrap()

    messages_ = [{"role": "user", "content": "hello there"}]
    one.start(attempt_id="a", body={"messages": messages_, "max_tokens": 1})
    first = events(0)
    assert (first.first, len(first.added)) == (0, first.next)
    for i in range(600):
        text = [{"role": "user", "content": f"chat {i}"}]
        one.start(attempt_id=f"a{i}", body={"messages": text, "max_tokens": 1})
    late = events(first.next)
    assert late.first > first.next  # What lies between is lost.


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"engines": 3, "draining": 0}', b"\xff" * 100]
)
def test_garbage_is_an_error_and_no_crash(body):
    served = _garbage(body)
    clients = pool.ClientPool()
    address = served.address
    calls = [
        engine.fetch_load_report(
            clients, address, timeout_s=_S, count=lambda kind, size: None
        ),
        engine.fetch_cache_events(
            clients, address, engine="e0", since=0, timeout_s=_S
        ),
    ]
    for answer in calls:
        assert answer.err_value.cause is outcome.Cause.GARBLED
    served.stop()


def test_clients_of_instances_that_are_gone_are_forgotten():
    clients = pool.ClientPool()
    limits = {"connect_s": _S, "idle_s": _S}
    first = clients.peer_client("127.0.0.1:1", **limits)
    clients.peer_client("127.0.0.1:2", **limits)
    clients.retain_peers(frozenset(["127.0.0.1:1"]))
    assert clients.peer_client("127.0.0.1:1", **limits) is first
    assert len(clients._peers) == 1
