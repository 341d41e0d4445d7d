"""Requests that reach their servers through another instance."""

import operator
import random
import urllib.parse

import gevent
import pytest
from gevent import socket

from irisshelf.gateway.servers import relays
from irisshelf.platform.stand_in import proxy
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client

Fault = server_module.Fault
_EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
_KINDS = [
    pytest.param("/query/1", id="stream-once"),
    pytest.param("/digest/1", id="stream-resumable"),
    pytest.param("/alarm/1", id="at-most-once"),
    pytest.param("/valve/1", id="idempotent"),
]
# Servers have not responded by the time at which the relay is lost, also if the
# process pauses meanwhile, and callers have not given up.
_UNTIL_LOST_S = 1.5


@pytest.fixture
def relaying_world(make_world):
    """Three instances; the first reaches servers only through the others."""
    world = make_world(
        servers=3,
        data_centres=("a", "b", "b"),
        linked=True,
        targets=world_module.PATIENT,
    )
    _cut_off(world, 0)
    world.wait(world.inst.servers.reach.relays.works)
    return world


def _cut_off(world, entry, how=proxy.Cut.RESET):
    """Cuts an instance off and waits until it knows of all servers."""
    world.cut(entry, how)
    servers = world.entries[entry].inst.servers
    for target in ("/valve/1", "/digest/1"):
        gevent.joinall(
            [gevent.spawn(world.ask, target, entry=entry) for _ in range(3)]
        )
    listed = world.entries[entry].inst.directory.servers()

    def all_unreachable():
        # Those that were in use a moment ago are not probed yet.
        for one in listed:
            servers.reach.prober.probe_if_silent(one)
        return all(map(servers.reach.is_unreachable, listed))

    world.wait(all_unreachable)


def _relayed_sends(world, entry=0):
    metric = world.entries[entry].inst.metrics.relayed_sends
    return sum(
        sample.value
        for family in metric.collect()
        for sample in family.samples
        if sample.name.endswith("_total")
    )


def _open_relays(world):
    return [
        relay for entry in world.entries for relay in entry.relay_endpoint._open
    ]


def _group(world, target):
    stream = target.startswith(("/query", "/digest"))
    return world.engines if stream else world.plain


@pytest.mark.parametrize("target", _KINDS)
def test_requests_reach_servers_through_another_instance(
    relaying_world, target
):
    sent = _relayed_sends(relaying_world)
    for number in range(4):
        request_id = f"q{number}"
        answer = relaying_world.ask(target, Request_Id=request_id)
        assert (answer.status, answer.whole) == (200, True)
        assert relaying_world.runs(request_id) == 1
    assert _relayed_sends(relaying_world) == sent + 4


def test_a_long_body_passes_through_a_relay(relaying_world):
    body = random.Random(1).randbytes(500_000)
    answer = relaying_world.ask("/alarm/1", body=body, Request_Id="long")
    assert answer.status == 200
    (run,) = [r for s in relaying_world.plain for r in s.runs if r.body == body]
    assert run.request_id == "long"


@pytest.mark.parametrize(
    ("target", "status", "whole"),
    [
        ("/query/1", 200, False),
        ("/digest/1", 200, True),
        ("/valve/1", 200, True),
        ("/alarm/1", 502, True),
    ],
)
def test_a_relay_that_is_lost_midway_is_not_the_server_s_fault(
    relaying_world, target, status, whole
):
    """Guards against servers ejected, or suspected, for a lost instance."""
    world = relaying_world
    group = _group(world, target)
    fault = Fault.SLOW if group is world.plain else Fault.PAUSE_MIDWAY
    for one in group:
        one.faults.append(fault)
        one.pause_s = _UNTIL_LOST_S
    stats = world.inst.servers.chooser(group[0].service).stats
    rates = [stats.failure_rate(one.server_id) for one in group]
    call = gevent.spawn(world.ask, target, Request_Id="lost", body=b"new")
    world.wait(lambda: any(one.working for one in group))
    gevent.sleep(0.1)
    for one in group:
        one.faults.clear()
    for relay in _open_relays(world):
        relay._sock.shutdown(socket.SHUT_RDWR)
    answer = call.get()
    assert (answer.status, answer.whole) == (status, whole)
    if target == "/digest/1":
        assert answer.body == _EVENTS
    if target in ("/query/1", "/alarm/1"):
        assert world.runs("lost") == 1
    after = [stats.failure_rate(one.server_id) for one in group]
    assert all(map(operator.le, after, rates))
    assert not world.inst.crash_tracker.suspects
    assert world.ask(target).status == 200


def test_a_frozen_relay_is_replaced_by_another(relaying_world, monkeypatch):
    """Guards against callers that wait for an instance that stands still."""
    world = relaying_world
    world.wait(lambda: world.inst.servers.reach.relays.works())
    for relay in _open_relays(world):
        relay._sock.shutdown(socket.SHUT_RDWR)
    monkeypatch.setitem(
        world.entries[1].peers._stream_handlers,
        relays.PATH,
        lambda request, conn: gevent.sleep(60),
    )
    answers = [world.ask("/valve/1") for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6


def test_a_stopping_instance_takes_no_further_connections(relaying_world):
    world = relaying_world
    for entry in world.entries[1:]:
        assert all(world.ask("/valve/1").status == 200 for _ in range(2))
        entry.relay_endpoint.stop()
    # Both have stopped: nobody can serve.
    answer = world.ask("/valve/1", Request_Id="late")
    assert (answer.status, world.runs("late")) == (503, 0)


def test_work_ends_soon_after_the_caller_has_left(relaying_world):
    world = relaying_world
    for one in world.engines:
        one.always = Fault.HANG_MIDWAY
    conn = world.connect()
    headers = world.headers(b"{}")
    conn.send("POST", "/digest/1", headers, b"{}", timeout_s=5.0)
    world.wait(lambda: any(one.working for one in world.engines))
    conn.close()
    world.wait(lambda: not any(one.working for one in world.engines))


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize("how", [proxy.Cut.RESET, proxy.Cut.HANG])
def test_requests_are_rejected_without_an_attempt_if_no_instance_can_serve(
    make_world, how, target
):
    """Guards against requests held, or passed around, that cannot be served."""
    world = make_world(servers=3, data_centres=("a", "b"), linked=True)
    for entry in range(2):
        world.cut(entry, how)
    for entry in range(2):
        _cut_off(world, entry, how)
    world.wait(lambda: not world.inst.ready)
    connects = world.inst.metrics.connects.labels(
        "lm" if target in ("/query/1", "/digest/1") else "crew"
    )
    before = [one.accepted for one in (*world.plain, *world.engines)]
    probed = connects._value.get()
    answer = world.ask(target, Request_Id="none")
    assert (answer.status, world.runs("none")) == (503, 0)
    assert answer.headers["retry-after"]
    assert answer.headers["connection"] == "close"
    assert connects._value.get() == probed
    assert [o.accepted for o in (*world.plain, *world.engines)] == before


@pytest.mark.parametrize("how", proxy.Cut)
def test_a_request_in_progress_runs_once_if_it_must_not_run_twice(
    make_world, how
):
    """Guards against a second run by another path."""
    world = make_world(servers=3, data_centres=("a", "b"), linked=True)
    for one in world.plain:
        one.work_s = 0.3
    calls = [
        gevent.spawn(world.ask, "/alarm/1", Request_Id=f"once{n}")
        for n in range(4)
    ]
    gevent.sleep(0.1)
    world.cut(0, how)
    for number, call in enumerate(calls):
        status = call.get().status
        assert world.runs(f"once{number}") == (1 if status != 503 else 0)


@pytest.mark.parametrize("how", proxy.Cut)
def test_connections_are_direct_again_after_the_partition(make_world, how):
    world = make_world(
        servers=3,
        data_centres=("a", "b"),
        linked=True,
        targets=world_module.PATIENT,
    )
    _cut_off(world, 0, how)
    assert world.ask("/valve/1").status == 200
    world.heal(0)
    listed = world.inst.directory.servers()
    world.wait(
        lambda: not any(map(world.inst.servers.reach.is_unreachable, listed))
    )
    sent = _relayed_sends(world)
    for target in ("/valve/1", "/digest/1", "/alarm/1", "/query/1"):
        assert world.ask(target).status == 200
    assert _relayed_sends(world) == sent
    for one in listed:
        stats = world.inst.servers.chooser(one.service).stats
        assert stats.failure_rate(one.server_id) == 0.0


@pytest.mark.parametrize(
    ("regions", "served"), [(["north"], False), (["south"], True), ([], True)]
)
def test_a_request_does_not_pass_through_other_regions(
    make_world, regions, served
):
    """Guards against prompts that leave their regions on the way."""
    world = make_world(
        servers=2,
        data_centres=("a", "b"),
        known_places=("a", "b"),
        regions={"a": "north", "b": "south"},
        places=("a" if regions == ["north"] else "b",),
        linked=True,
    )
    document = world_module.config(2)
    for route in document["routes"]:
        if regions:
            route["allowedRegions"] = regions
    world.store.put("op", "config", document)
    world.wait(lambda: all(e.inst.catalog.version == 2 for e in world.entries))
    _cut_off(world, 0)
    gevent.sleep(0.5)
    answer = world.ask("/valve/1", Request_Id="here")
    assert (answer.status == 200) is served
    assert world.runs("here") == served


def test_a_response_on_an_old_connection_does_not_end_unreachability():
    """Guards against instances that call themselves ready for one response."""
    stats = server_stats.ServerStats()
    stats.record_connect_failure("1", timed_out=False, now=1.0)
    stats.record_outcome("1", server_stats.Outcome.UNREACHABLE, 1.0)
    stats.record_outcome("1", server_stats.Outcome.SUCCESS, 1.1)
    assert stats.is_unreachable("1")
    stats.record_connect("1", 1.2)
    assert not stats.is_unreachable("1")


def _ask_endpoint(world, target, entry=1):
    """Asks an instance for a connection; returns status and reason."""
    conn = client.connect(world.entries[entry].member.address, timeout_s=2.0)
    headers = [
        (b"Host", b"x"),
        (b"Upgrade", b"websocket"),
        (b"Connection", b"Upgrade"),
        (b"Sec-WebSocket-Key", b"dGhlIHNhbXBsZSBub25jZQ=="),
        (b"Sec-WebSocket-Version", b"13"),
    ]
    conn.send("GET", target, headers, b"", timeout_s=2.0)
    answer = world_module.read_answer(conn)
    conn.close()
    return answer.status, answer.body.decode("utf-8", "replace")


def _evacuate(world, one):
    world.store.put("op", f"evacuate/{one.data_centre}", {})
    evacuations = world.entries[1].inst.evacuations
    world.wait(lambda: one.data_centre in evacuations.active())


def _announce_leaving(world, one):
    world.store.put("servers", one.server_id, one.entry("draining"))
    inst = world.entries[1].inst
    world.wait(
        lambda: inst.eligible.is_leaving(inst.directory.get(one.server_id))
    )


def _stop(world, one):
    world.entries[1].relay_endpoint.stop()


def _fill(world, one):
    world.entries[1].relay_endpoint._max_connections = 0


def _partition(world, one):
    _cut_off(world, 1)


@pytest.mark.parametrize(
    ("prepare", "status", "reason"),
    [
        (_announce_leaving, 409, "leaving"),
        (_evacuate, 404, "unknown"),
        (_stop, 503, "stopping"),
        (_fill, 503, "busy"),
        (_partition, 503, "isolated"),
    ],
)
def test_an_instance_that_may_not_connect_says_why(
    make_world, prepare, status, reason
):
    world = make_world(
        servers=2,
        data_centres=("a", "b"),
        known_places=("a", "b"),
        linked=True,
    )
    one = world.plain[0]
    prepare(world, one)
    before = one.accepted
    target = f"{relays.PATH}?{relays.SERVER_FIELD}={one.server_id}"
    assert _ask_endpoint(world, target) == (status, reason)
    assert one.accepted == before


def _targets():
    rng = random.Random(7)
    names = ["", "i-none", "127.0.0.1:22", "\x00", "é" * 300, "../crew-0"]
    names += [
        rng.randbytes(rng.randint(1, 60)).decode("latin-1") for _ in range(20)
    ]
    for name in names:
        yield f"{relays.PATH}?{urllib.parse.urlencode({'server': name})}"
    yield relays.PATH
    yield f"{relays.PATH}?server"
    yield f"{relays.PATH}?" + "a=b&" * 500


def test_no_connection_is_opened_to_anything_but_a_listed_server(make_world):
    """Guards against an open proxy, and against malformed requests."""
    world = make_world(servers=1, data_centres=("a", "b"))
    opened = []
    original = client.open_socket
    for target in _targets():
        assert _ask_endpoint(world, target) == (404, "unknown")
    assert client.open_socket is original
    assert not opened
    assert world.entries[1].relay_endpoint.open == 0
    assert world.ask("/valve/1", entry=1).status == 200
