"""Engine client without streams: load, cache events, orders, KV cache."""

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
def engine_server():
    """A client pool, a fake engine server and its address."""
    server = fake_engine.FakeEngineServer(
        engines=("e0", "e1"), cfg=fake_engine.EngineConfig(token_s=0.0)
    )
    served = harness.Server(app=server)
    yield pool.ClientPool(), server, served.address
    served.stop()


def _serve_bytes(body):
    """Starts a server that responds to every request with these bytes."""

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


def test_load_report_lists_every_engine_and_its_bytes_are_counted(
    engine_server,
):
    clients, server, address = engine_server
    server.draining = True
    counted = []
    report = engine.fetch_load_report(
        clients,
        address,
        timeout_s=_S,
        count=lambda kind, size: counted.append((kind, size)),
    ).unwrap()
    assert report.draining
    assert sorted(report.engines) == ["e0", "e1"]
    assert counted[0][0] == "probe"
    assert counted[0][1] > len(json.dumps(server._load()))


@pytest.mark.parametrize(
    ("fences", "checks_fencing", "accepted"),
    [
        ((1, 2, 2), True, [True, True, True]),
        ((3, 2, 4), True, [True, False, True]),
        ((3, 2, 4), False, [True, True, True]),
    ],
)
def test_orders_carry_their_fencing_number(
    engine_server, fences, checks_fencing, accepted
):
    clients, server, address = engine_server
    server.checks_fencing = checks_fencing
    results = [
        engine.send_order(
            clients,
            address,
            engine="e0",
            order=_order(fence, f"o{i}"),
            timeout_s=_S,
        )
        for i, fence in enumerate(fences)
    ]
    assert [item.is_ok() for item in results] == accepted
    refused = [item.err_value for item in results if item.is_err()]
    assert all(e.outcome is outcome.Outcome.NOT_RUN for e in refused)


def test_repeated_order_is_executed_once(engine_server):
    clients, server, address = engine_server
    for _ in range(2):
        engine.send_order(
            clients, address, engine="e0", order=_order(1), timeout_s=_S
        ).unwrap()
    assert len(server.engines["e0"].orders) == 1


def test_prefix_cache_is_transferred_between_engines(engine_server):
    clients, server, address = engine_server
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


def test_cache_events_read_late_have_a_gap(engine_server):
    clients, server, address = engine_server
    first_engine = server.engines["e0"]

    def events(since):
        return engine.fetch_cache_events(
            clients, address, engine="e0", since=since, timeout_s=_S
        ).unwrap()

    prompt = [{"role": "user", "content": "hello there"}]
    first_engine.start(
        attempt_id="a", body={"messages": prompt, "max_tokens": 1}
    )
    first = events(0)
    assert (first.first, len(first.added)) == (0, first.next)
    for i in range(600):
        text = [{"role": "user", "content": f"chat {i}"}]
        first_engine.start(
            attempt_id=f"a{i}", body={"messages": text, "max_tokens": 1}
        )
    late = events(first.next)
    assert late.first > first.next  # Events in between are lost.


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"engines": 3, "draining": 0}', b"\xff" * 100]
)
def test_malformed_response_is_returned_as_an_error(body):
    served = _serve_bytes(body)
    clients = pool.ClientPool()
    address = served.address
    results = [
        engine.fetch_load_report(
            clients, address, timeout_s=_S, count=lambda kind, size: None
        ),
        engine.fetch_cache_events(
            clients, address, engine="e0", since=0, timeout_s=_S
        ),
    ]
    for failed in results:
        assert failed.err_value.cause is outcome.Cause.GARBLED
    served.stop()


def test_clients_of_removed_instances_are_dropped():
    clients = pool.ClientPool()
    limits = {"connect_s": _S, "idle_s": _S}
    first = clients.peer_client("127.0.0.1:1", **limits)
    clients.peer_client("127.0.0.1:2", **limits)
    clients.retain_peers(frozenset(["127.0.0.1:1"]))
    assert clients.peer_client("127.0.0.1:1", **limits) is first
    assert len(clients._peers) == 1
