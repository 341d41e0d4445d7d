"""Requests that an instance that stops still starts, and those it ends."""

import signal

import gevent
import pytest
from gevent import socket

from irisshelf import boottime
from irisshelf import lifetime_signals
from irisshelf.catalog import model
from irisshelf.gateway import messages
from irisshelf.gateway import settings
from irisshelf.gateway import shutdown
from irisshelf.gateway.requests import stop_admission
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import route_durations
from irisshelf.transport import errors
from irisshelf.transport import server as server_transport

_BEGAN_S = 1000.0
_STOP_S = 8.0
_ENDS_S = shutdown.plan(_BEGAN_S, _STOP_S).ends_s
_LIMITS = server_transport.Limits(
    head_bytes=1000, body_bytes=1000, head_s=5.0, idle_s=5.0
)


class _Clock:
    def __init__(self, at_s):
        self.at_s = at_s

    def __call__(self):
        return self.at_s


def _job(kind, objective_s, deadline_s):
    route = model.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=model.RouteKind(kind),
        timeout_s=20.0,
        latency_target_s=objective_s,
        split=(model.Split(service="s", weight=1.0),),
    )
    inbound = world_module.inbound("/", [])
    return messages.Job(
        inbound=inbound,
        head=messages.RequestHead(request_id="a", host="h", path="/"),
        route=route,
        service="s",
        team="",
        priority=1,
        version=1,
        deadline_s=deadline_s,
    )


def _record(admission, clock, durations_s):
    """Records requests that have ended at the present time."""
    now = clock.at_s
    for duration_s in durations_s:
        clock.at_s = now - duration_s
        ticket = admission.durations.record_start("r")
        clock.at_s = now
        admission.durations.record_end("r", ticket)


@pytest.mark.parametrize(
    ("kind", "elapsed_s", "deadline_s", "before_s", "objective_s", "too_late"),
    [
        # A deadline within the stop: started until the end.
        ("unsafe", 5.0, 2.4, [2.2] * 5, 2.0, False),
        ("safe", 7.0, 0.4, [0.3] * 5, 0.1, False),
        # A deadline beyond it: by what requests of the route take.
        ("unsafe", 5.2, 5.0, [2.2] * 6, 2.5, True),
        ("unsafe", 4.0, 5.0, [2.2] * 6, 2.5, False),
        ("safe", 5.9, 5.0, [0.02] * 3, 2.5, False),
        ("safe", 5.9, 5.0, [0.02] * 30 + [4.0], 2.5, False),
        ("unsafe", 5.9, 5.0, [0.02] * 5 + [4.0], 2.5, True),
        # Not at the very end, as before.
        ("unsafe", 6.1, 5.0, [0.02] * 30, 0.1, True),
        # Without such requests, by the objective.
        ("unsafe", 5.2, 5.0, [], 2.5, True),
        ("unsafe", 5.2, 5.0, [], 0.1, False),
        # Without one, as long as callers can't know of the stop.
        ("unsafe", 2.9, 5.0, [], 0.0, False),
        ("unsafe", 3.1, 5.0, [], 0.0, True),
        ("streaming", 2.4, 60.0, [20.0] * 5, 1.0, False),
        ("streaming", 2.6, 1.0, [0.1] * 5, 1.0, True),
    ],
)
def test_what_would_be_cut_is_not_started(
    kind, elapsed_s, deadline_s, before_s, objective_s, too_late
):
    """Guards against both: requests that are cut, and sound ones rejected."""
    clock = _Clock(_BEGAN_S + elapsed_s)
    admission = stop_admission.StopAdmission(now=clock)
    _record(admission, clock, before_s)
    job = _job(kind, objective_s, clock.at_s + deadline_s)
    schedule = shutdown.plan(_BEGAN_S, _STOP_S)
    assert admission.is_too_late(job, schedule) is too_late


@pytest.mark.parametrize(
    ("open_s", "ended_s", "limit_s", "share"),
    [
        ([], [], 1.0, None),
        ([0.5], [], 1.0, None),
        ([2.0], [], 1.0, 1.0),
        ([2.0], [0.1] * 3, 1.0, 0.25),
        ([0.5], [2.0, 0.1], 1.0, 0.5),
        ([], [1e9], 1.0, 1.0),
        ([], [0.0], 1.0, 0.0),
    ],
)
def test_requests_in_progress_count_once_they_take_longer(
    open_s, ended_s, limit_s, share
):
    clock = _Clock(1000.0)
    durations = route_durations.RouteDurations(now=clock)
    for duration_s in ended_s:
        clock.at_s = 1000.0 - duration_s
        ticket = durations.record_start("r")
        clock.at_s = 1000.0
        durations.record_end("r", ticket)
    for age_s in open_s:
        clock.at_s = 1000.0 - age_s
        durations.record_start("r")
    clock.at_s = 1000.0
    assert durations.share_longer("r", limit_s) == share


def test_old_requests_are_forgotten():
    """Guards against a slow hour ago that has requests rejected now."""
    clock = _Clock(1000.0)
    durations = route_durations.RouteDurations(now=clock)
    ticket = durations.record_start("r")
    clock.at_s += 5.0
    durations.record_end("r", ticket)
    assert durations.share_longer("r", 1.0) == 1.0
    clock.at_s += 61.0
    assert durations.share_longer("r", 1.0) is None


def test_routes_that_are_gone_take_no_memory():
    clock = _Clock(1000.0)
    durations = route_durations.RouteDurations(now=clock)
    for number in range(20_000):
        ticket = durations.record_start(f"r{number}")
        durations.record_end(f"r{number}", ticket)
        clock.at_s += 0.1
    assert len(durations._routes) < 5000


@pytest.mark.parametrize(
    ("stop_s", "ends_s"), [(8.0, 7.5), (0.2, 0.0), (float("inf"), float("inf"))]
)
def test_the_schedule_leaves_time_to_exit(stop_s, ends_s):
    assert shutdown.plan(100.0, stop_s).ends_s == 100.0 + ends_s


def test_a_reload_does_not_move_the_end_of_a_stop(make_world):
    """Guards against requests that are started by one end and cut by another.

    The process is killed as the signal was sent, whatever is reloaded later.
    """
    inst = make_world().inst
    inst.begin_stop()
    before = inst.shutdown
    longer = settings.Bounds(stop_s=60.0)
    inst.apply_settings(
        settings.Settings(
            instance=inst.cfg.instance,
            data_centre=inst.cfg.data_centre,
            listen=inst.cfg.listen,
            store=inst.cfg.store,
            bounds=longer,
        )
    )
    inst.begin_stop()
    assert inst.shutdown is before


def test_a_stop_that_is_signalled_during_the_start_counts_from_the_signal():
    """Guards against an end after the kill: a start takes most of a second."""
    before_s = boottime.now()
    lifetime_signals._record(signal.SIGTERM, None)
    lifetime_signals._record(signal.SIGTERM, None)
    arrived_s = lifetime_signals.take()
    assert before_s <= arrived_s[signal.SIGTERM] <= boottime.now()
    assert not lifetime_signals.take()


class _Served:
    """One connection and its caller; requests take until they are released."""

    def __init__(self, limits=lambda: _LIMITS):
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        self.caller = socket.create_connection(listening.getsockname())
        sock, _ = listening.accept()
        listening.close()
        self.ended = []
        self.released = gevent.event.Event()
        self.conn = server_transport.Connection(
            sock=sock,
            limits=limits,
            handle=self._handle,
            refuse=lambda status, text: ([], text.encode()),
        )
        self.greenlet = gevent.spawn(self.conn.serve)

    def _handle(self, request, conn):
        try:
            self.released.wait(5.0)
            conn.answer(200, [], b"done")
            self.ended.append("done")
        except errors.ShutdownError:
            conn.answer(502, [], b"stopping")
            self.ended.append("shutdown")

    def read(self):
        self.caller.settimeout(5.0)
        data = b""
        while part := self.caller.recv(65536):
            data += part
        return data


_WHOLE = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"


def test_a_request_that_meets_the_close_of_an_idle_connection_is_served():
    """Guards against a close that takes effect after the request has come."""

    def limits():
        # The connection is idle, and the request is read before it is closed.
        served.conn.close_if_idle()
        return _LIMITS

    served = _Served()
    served.conn._limits = limits
    served.caller.sendall(_WHOLE)
    gevent.sleep(0.05)
    served.conn._limits = lambda: _LIMITS
    served.conn.announce_close()
    served.released.set()
    assert served.read().endswith(b"done")
    assert served.ended == ["done"]


@pytest.mark.parametrize("sent", [0, 10, len(_WHOLE) - 1, len(_WHOLE)])
def test_each_request_that_is_ended_gets_a_response(sent):
    served = _Served()
    served.caller.sendall(_WHOLE[:sent])
    gevent.sleep(0.05)
    if not sent:
        served.conn.close_if_idle()
    served.conn.end_request()
    gevent.sleep(0.05)
    served.caller.shutdown(socket.SHUT_WR)
    data = served.read()
    if not sent:
        assert data == b""
    elif sent < len(_WHOLE):
        assert data.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: " in data
    else:
        assert data.startswith(b"HTTP/1.1 502 ")
    assert served.ended == (["shutdown"] if sent == len(_WHOLE) else [])


def test_an_ended_connection_is_left_alone():
    served = _Served()
    served.caller.close()
    served.greenlet.join(5.0)
    served.conn.end_request()
    served.conn.close_if_idle()
    gevent.sleep(0.01)
    assert served.greenlet.successful()


@pytest.mark.parametrize("target", ["/alarm/1", "/valve/1", "/digest/1"])
def test_a_request_that_was_never_sent_is_rejected_as_not_run(
    make_world, monkeypatch, target
):
    """Guards against a request that waits for a server when the stop ends."""
    world = make_world()
    waiting = gevent.event.Event()

    def connect(*args, **options):
        waiting.set()
        gevent.sleep(60.0)

    monkeypatch.setattr(
        "irisshelf.gateway.requests.server_connector.ServerConnector.connect",
        connect,
    )
    asked = gevent.spawn(world.ask, target, Request_Id="waits")
    waiting.wait(5.0)
    world.listener.end_requests()
    answer = asked.get(timeout=5.0)
    assert (answer.status, answer.whole) == (503, True)
    assert float(answer.headers["retry-after"]) > 0
    assert world.runs("waits") == 0


def test_a_request_that_waits_for_the_start_is_rejected_as_not_run(make_world):
    world = make_world(configured=False)
    world.inst.await_configured = lambda timeout_s: gevent.sleep(60.0)
    asked = gevent.spawn(world.ask, "/alarm/1")
    gevent.sleep(0.05)
    world.listener.end_requests()
    answer = asked.get(timeout=5.0)
    assert (answer.status, answer.whole) == (503, True)


def test_a_failed_send_counts_while_its_failure_is_examined(
    make_world, monkeypatch
):
    """Guards against a promise that a request has not run that may have."""
    world = make_world()
    examined = gevent.event.Event()

    def record_disconnect(*args, **options):
        examined.set()
        gevent.sleep(60.0)

    monkeypatch.setattr(
        world.inst.crash_tracker, "record_disconnect", record_disconnect
    )
    for one in world.plain:
        one.ends_under = lambda run: True
        one.away_s = 60.0
    asked = gevent.spawn(world.ask, "/alarm/1", Request_Id="fails")
    assert examined.wait(5.0)
    world.listener.end_requests()
    answer = asked.get(timeout=5.0)
    assert world.runs("fails") == 1
    assert answer.status == 502


@pytest.mark.parametrize("target", ["/alarm/1", "/valve/1"])
def test_the_server_is_told_when_the_stop_ends(make_world, target):
    """Guards against work that goes on after its caller has been answered."""
    world = make_world(bounds=settings.Bounds(stop_s=2.3))
    world.inst.begin_stop()
    world.ask(target, Request_Id="late", Deadline_Ms="1990")
    (run,) = [r for one in world.plain for r in one.runs]
    assert int(run.headers["deadline-ms"]) <= 1800


def test_responses_announce_the_close_once_the_stop_has_begun(make_world):
    """Guards against callers that keep the connection for a next request."""
    world = make_world()
    for one in world.plain:
        one.work_s = 0.3
    asked = gevent.spawn(world.ask, "/alarm/1")
    gevent.sleep(0.1)
    world.inst.begin_stop()
    world.listener.announce_close()
    answer = asked.get(timeout=5.0)
    assert (answer.status, answer.headers["connection"]) == (200, "close")
