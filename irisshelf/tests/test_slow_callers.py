"""Callers that read slowly occupy neither servers nor unlimited memory."""

import dataclasses
import gc
import re

import gevent
import pytest
from gevent import socket

from irisshelf.gateway import messages
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import world as world_module
from irisshelf.platform.stand_in.server import Fault
from irisshelf.transport import client
from irisshelf.transport import server

_EVENTS = 40
_PADDING_BYTES = 100_000
# What the kernel may hold for a connection, at either end.
_SOCKET_BYTES = 4096
_SLOW_CALLERS = 2000


@pytest.fixture
def world():
    """A world whose streams exceed what sockets hold by far."""
    made = world_module.World(events=_EVENTS, event_s=0.0)
    for one in [*made.plain, *made.engines]:
        one.padding_bytes = _PADDING_BYTES
    for one in made.plain:
        one.padding_bytes *= _EVENTS
    made.listener.limit_send_buffers(_SOCKET_BYTES)
    _configure(made)
    yield made
    made.close()


def _configure(
    world,
    *,
    response_buffer_mb=100.0,
    slow_caller_s=60.0,
    fleet_admission=settings.FleetAdmission.ON,
):
    overload = settings.Overload(
        fleet_admission=fleet_admission,
        response_buffer_mb=response_buffer_mb,
        slow_caller_s=slow_caller_s,
    )
    cfg = dataclasses.replace(world.inst.cfg, overload=overload)
    world.inst.apply_settings(cfg)


def _ask_without_reading(world, target="/digest/1", version="1.1", **headers):
    """Sends a request over a connection that accepts little unread data."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
    sock.connect(("127.0.0.1", world.listener.port))
    named = {"Deadline_Ms": "60000", **headers}
    lines = [b"%s: %s" % pair for pair in world.headers(b"{}", **named)]
    first = f"POST {target} HTTP/{version}".encode()
    sock.sendall(b"\r\n".join([first, *lines, b"", b"{}"]))
    return sock


def _read(sock):
    conn = client.Connection(sock=sock, address="entry")
    answer = world_module.read_answer(conn)
    conn.close()
    return answer


def _buffers(world):
    return world.entries[0].slow_callers.buffers


def _working(world):
    return sum(one.working for one in [*world.plain, *world.engines])


def _metric(world, name):
    """Returns a metric by its name and labels; 0 if it is not there."""
    text = world.inst.metrics.expose().decode()
    found = re.search(rf"^{re.escape(name)} (\S+)$", text, re.MULTILINE)
    return float(found[1]) if found else 0.0


def _served(world, kind="streaming"):
    return _metric(
        world,
        f'irisshelf_requests_total{{kind="{kind}",result="served"}}',
    )


def _wait_for_servers(world, request_id):
    """Waits until the servers have sent all of a response."""
    world.wait(lambda: world.runs(request_id) == 1 and not _working(world))
    world.wait(lambda: world.inst.in_flight == 0)


@pytest.mark.parametrize(
    ("target", "kind"),
    [
        ("/digest/1", "streaming"),
        ("/query/1", "streaming"),
        ("/alarm/1", "unsafe"),
        ("/valve/1", "safe"),
    ],
)
def test_a_slow_caller_occupies_no_server_and_gets_all(world, target, kind):
    sock = _ask_without_reading(world, target, Request_Id="slow")
    _wait_for_servers(world, "slow")
    kept_bytes = _buffers(world).kept_bytes
    assert 0 < kept_bytes <= (_PADDING_BYTES + 100) * _EVENTS
    assert _metric(world, "irisshelf_response_buffer_bytes") == kept_bytes
    # It has not been handed over yet.
    assert _served(world, kind) == 0
    answer = _read(sock)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body.count(b".") == _PADDING_BYTES * _EVENTS
    world.wait(lambda: _served(world, kind) == 1)
    assert (_buffers(world).kept_bytes, world.runs("slow")) == (0, 1)


@pytest.mark.parametrize(
    ("admission", "reports", "response_buffer_mb", "expected"),
    [
        (settings.FleetAdmission.ON, (), 100.0, True),
        (settings.FleetAdmission.REPORTED, ("lm",), 100.0, True),
        (settings.FleetAdmission.REPORTED, ("crew",), 100.0, True),
        (settings.FleetAdmission.REPORTED, (), 100.0, False),
        (settings.FleetAdmission.OFF, (), 100.0, False),
        (settings.FleetAdmission.ON, ("lm",), 0.0, False),
    ],
)
def test_where_it_is_not_in_effect_the_caller_sets_the_pace(
    world, admission, reports, response_buffer_mb, expected
):
    """Guards earlier deployments, whose memory is sized without buffers."""
    _configure(
        world, fleet_admission=admission, response_buffer_mb=response_buffer_mb
    )
    world.inst.servers.reports_slowdown = lambda service: service in reports
    for one in world.engines:
        # More than the kernel holds between server and instance.
        one.padding_bytes = 4 * _PADDING_BYTES
    sock = _ask_without_reading(world, Request_Id="slow")
    if expected:
        _wait_for_servers(world, "slow")
    else:
        world.wait(lambda: _working(world) == 1)
        gevent.sleep(0.3)
        assert _working(world) == 1
    assert bool(_buffers(world).kept_bytes) is expected
    assert _read(sock).whole


def test_a_request_is_not_kept_while_its_caller_reads(world):
    """Guards memory against the long bodies of many slow callers."""
    sock = _ask_without_reading(world, Request_Id="slow")
    _wait_for_servers(world, "slow")
    assert _buffers(world).kept_bytes > 0
    gc.collect()
    requests = (messages.InboundRequest, server.Request)
    found = [one for one in gc.get_objects() if isinstance(one, requests)]
    assert not [one for one in found if one.target == "/digest/1"]
    assert _read(sock).whole


def test_events_are_passed_on_as_they_come(world):
    """Guards against a buffer that collects before it sends."""
    for one in world.engines:
        one.padding_bytes = 0
        one.always = Fault.HANG_MIDWAY
    conn = world.connect()
    headers = world.headers(b"{}", Deadline_Ms="60000")
    conn.send("POST", "/query/1", headers, b"{}", timeout_s=5.0)
    conn.read_head(timeout_s=5.0)
    body = b""
    while body.count(b"\n\n") < _EVENTS // 2:
        body += conn.read_data(timeout_s=5.0)
    assert _buffers(world).kept_bytes == 0
    conn.close()


def test_an_answer_that_is_ready_is_delivered_after_its_deadline(world):
    sock = _ask_without_reading(
        world, "/alarm/1", Request_Id="slow", Deadline_Ms="300"
    )
    _wait_for_servers(world, "slow")
    gevent.sleep(0.4)
    assert _read(sock).whole


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.HANG_MIDWAY])
def test_a_slow_caller_that_disconnects_ends_its_request(world, fault):
    for one in world.engines:
        one.always = fault
    sock = _ask_without_reading(world, Request_Id="slow")
    world.wait(lambda: _buffers(world).kept_bytes > 0)
    sock.close()
    world.wait(lambda: _buffers(world).kept_bytes == 0)
    world.wait(lambda: _working(world) == 0 and world.inst.in_flight == 0)
    assert _served(world) == 0


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TORN])
def test_a_truncated_stream_is_delivered_as_truncated(world, fault):
    """Its caller gets all whole events, but no end."""
    for one in world.engines:
        one.always = fault
    sock = _ask_without_reading(world, "/query/1", Request_Id="slow")
    world.wait(lambda: world.runs("slow") == 1 and not _working(world))
    answer = _read(sock)
    assert (answer.status, answer.whole) == (200, False)
    assert answer.body.count(b"\n\n") == _EVENTS // 2
    assert _served(world) == 0


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("cause", ["server", "memory"])
def test_an_incomplete_response_never_looks_complete(world, cause, version):
    """For HTTP/1.0 the end of the connection is the end of a response."""
    if cause == "server":
        for one in world.engines:
            one.always = Fault.CUT
    else:
        _configure(world, response_buffer_mb=0.5)
    sock = _ask_without_reading(world, "/query/1", version, Request_Id="slow")
    if cause == "memory":
        world.wait(lambda: _ended(world, "memory") == 1)
    answer = _read(sock)
    assert not answer.whole
    assert answer.body.count(b"\n\n") < _EVENTS


def _ended(world, reason):
    return _metric(
        world, f'irisshelf_slow_callers_ended_total{{reason="{reason}"}}'
    )


@pytest.mark.parametrize(
    ("target", "runs_on"), [("/digest/1", False), ("/alarm/1", True)]
)
def test_a_caller_that_reads_nothing_is_disconnected(
    world, monkeypatch, target, runs_on
):
    lines = []
    monkeypatch.setattr(
        world.inst.log,
        "request",
        lambda name, request, **fields: lines.append((name, request, fields)),
    )
    _configure(world, slow_caller_s=0.2)
    sock = _ask_without_reading(world, target, Request_Id="slow")
    world.wait(lambda: _ended(world, "stalled") == 1)
    world.wait(lambda: any(name == "answered" for name, _, _ in lines))
    (ended,) = [line for line in lines if line[0] == "slow_caller_ended"]
    assert (ended[1], ended[2]["reason"]) == ("slow", "stalled")
    (answered,) = [line for line in lines if line[0] == "answered"]
    assert answered[2]["ended"] == "slow_caller"
    assert not _read(sock).whole
    assert (world.runs("slow"), _buffers(world).kept_bytes) == (1, 0)


def test_beyond_the_limit_the_request_ends_at_its_server(world):
    """The response of a caller that does not read is read no further."""
    _configure(world, response_buffer_mb=0.5)
    for one in world.engines:
        one.event_s = 0.05
    sock = _ask_without_reading(world, "/query/1", Request_Id="slow")
    world.wait(lambda: _ended(world, "memory") == 1)
    world.wait(lambda: _working(world) == 0)
    assert world.runs("slow") == 1
    sock.close()


def test_many_slow_callers_take_bounded_memory_and_others_are_served(world):
    """Guards the limit on requests as well, which is below their number."""
    limit_mb = 20.0
    _configure(world, response_buffer_mb=limit_mb)
    for one in world.plain:
        one.padding_bytes = 60_000
    for one in world.engines:
        one.padding_bytes = 0
    peak_bytes = 0
    socks = []
    for number in range(_SLOW_CALLERS):
        socks.append(_ask_without_reading(world, "/alarm/1"))
        gevent.sleep(0)
        peak_bytes = max(peak_bytes, _buffers(world).kept_bytes)
        if number % 100 == 99:
            world.wait(lambda: world.inst.in_flight < 100)
            assert world.ask("/digest/1").whole
    world.wait(lambda: world.inst.in_flight == 0)
    ended = _ended(world, "memory")
    kept = _buffers(world).count
    assert ended + kept + _served(world, "unsafe") == _SLOW_CALLERS
    assert kept > 0
    assert peak_bytes <= (limit_mb + 2) * 1_000_000
    assert _buffers(world).kept_bytes <= limit_mb * 1_000_000
    assert [world.ask("/digest/1").whole for _ in range(20)] == [True] * 20
    assert sum(one.broken_off for one in world.plain) == 0
    for sock in socks:
        sock.close()
    world.wait(lambda: _buffers(world).kept_bytes == 0)


def test_the_kernel_holds_little_for_a_caller_that_does_not_read():
    """Guards memory, and the notice that a caller has read something.

    The kernel would hold megabytes for each caller, and accept more only after
    a third of that has been read.
    """
    made = world_module.World(events=_EVENTS, event_s=0.0)
    for one in made.engines:
        one.padding_bytes = _PADDING_BYTES
    _configure(made)
    sock = _ask_without_reading(made, Request_Id="slow")
    _wait_for_servers(made, "slow")
    whole_bytes = _EVENTS * _PADDING_BYTES
    assert _buffers(made).kept_bytes > whole_bytes - 1_000_000
    assert _read(sock).whole
    made.close()
