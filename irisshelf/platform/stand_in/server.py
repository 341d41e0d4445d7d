"""Stand-in for a backend server, plain or a model engine, with faults."""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import time
from collections.abc import Callable
from collections.abc import Iterable

import gevent
from gevent import server
from gevent import socket

from irisshelf import boottime
from irisshelf.platform.stand_in import slots
from irisshelf.transport import server as http

_LIMITS = http.Limits(
    head_bytes=65536, body_bytes=8_000_000, head_s=30.0, idle_s=300.0
)
_SIGNATURE = b"Response-Signature"
# Of the servers' software.
FIRST_VERSION = "v1"


class Fault(enum.StrEnum):
    """What a server does to one request instead of answering it well."""

    NONE = "none"
    REFUSE = "refuse"
    FAIL = "fail"
    BARE_503 = "bare_503"
    RESET = "reset"
    RESET_AFTER_RUN = "reset_after_run"
    HANG = "hang"
    HANG_MIDWAY = "hang_midway"
    PAUSE_MIDWAY = "pause_midway"
    GARBAGE = "garbage"
    UNSIGNED = "unsigned"
    OTHER_ID = "other_id"
    ENCODED = "encoded"
    CUT = "cut"
    TORN = "torn"
    STRAY_FIRST = "stray_first"
    STRAY_AFTER = "stray_after"
    UNFRAMED = "unframed"
    NOT_ME = "not_me"
    SLOW = "slow"


class Moment(enum.StrEnum):
    """How far the response has come when its server ends under a request."""

    ARRIVAL = "arrival"
    HEAD = "head"
    EVENTS = "events"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a server worked on."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    server_id: str
    after_event: int
    at_s: float = 0.0
    whole: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a server, also one that it turned away.

    Attributes:
        request_id: Its id.
        at_s: When, monotonic seconds.
        born_ms: The server's start.
        leaving: Whether the answer says that the server leaves.
        rest_s: For how long the answer asks for no requests.
    """

    request_id: str
    at_s: float
    born_ms: int | None
    leaving: bool
    rest_s: float


class Server:
    """Serves on loopback and keeps what it ran.

    Args:
        server_id: Its id.
        service: Its service.
        streaming: Whether it answers with streams of events.
        events: Events of a stream.
        event_s: Pause before each event.
        work_s: Time that a plain request takes.
        port: To listen on; 0 for any.
        born_ms: Its start, as its entry tells it; None if it does not.
        data_centre: Where it stands.
        version: Of its software; each event says it unless it is the first.
    """

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        streaming: bool,
        events: int = 4,
        event_s: float = 0.002,
        work_s: float = 0.0,
        port: int = 0,
        born_ms: int | None = None,
        data_centre: str = "a",
        version: str = FIRST_VERSION,
    ):
        self.data_centre = data_centre
        # What comes back after an end may be of another one.
        self.version = version
        # What its entry tells of coldness.
        self.cold_ms = 0
        # The number of its entry.
        self.sequence = 1
        # Connections that were made to it.
        self.accepted = 0
        # Requests that have come, with those that it turns away.
        self.arrivals: list[Arrival] = []
        # Whether its answers say that it leaves.
        self.leaving = False
        # For how long it asks for no requests where it answers 503.
        self.rest_s: float | None = None
        # Whether it turns all requests away.
        self.refuses = False
        self.server_id = server_id
        self.service = service
        self.born_ms = born_ms
        self.faults: collections.deque[Fault] = collections.deque()
        self.always = Fault.NONE
        self.choose_fault: Callable[[], Fault] | None = None
        # Chooses what happens to a run; goes before the others.
        self.fault_of: Callable[[Run], Fault] | None = None
        # Tells which requests end the process as soon as they begin.
        self.ends_under: Callable[[Run], bool] = lambda run: False
        # How far the answer to such a request comes, and the events of it that
        # are sent before an end in the middle of them.
        self.ends_at = Moment.ARRIVAL
        self.events_before_end = 2
        # Whether answers have neither a length nor chunks, and end with their
        # connection.
        self.unframed = False
        # Whether such an answer announces that its connection is closed.
        self.announces_close = False
        # Status of the answer whose middle the server's end comes in.
        self.status = 200
        # Version of HTTP of such an answer.
        self.http_version = b"1.1"
        # Processing time relative to normal in percent, as it reports it, also
        # when it rejects requests; None: it does not.
        self.slowdown_percent: int | None = None
        # Limits its concurrency; None: it has no limit.
        self.slots: slots.Slots | None = None
        # Further work on a plain request, in seconds.
        self.extra_work_s: Callable[[Run], float] = lambda run: 0.0
        # Work on such a request before the end.
        self.before_end_s = 0.0
        # How long it is away after that.
        self.away_s = 0.2
        # Bytes that each plain answer and each event is longer by.
        self.padding_bytes = 0
        # How long a slow answer, or one with a pause, stands still.
        self.pause_s = 0.2
        self.on_end: Callable[[], None] = lambda: None
        self.on_return: Callable[[], None] = lambda: None
        self.ends = 0
        self.runs: list[Run] = []
        self.working = 0
        self.broken_off = 0
        self.closed = False
        self._streaming = streaming
        self._events = events
        self.event_s = event_s
        self.work_s = work_s
        self._serial = itertools.count()
        self._socks: set[socket.socket] = set()
        self._server = self._listener(port)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self) -> Server:
        """Begins to listen."""
        self._server.start()
        return self

    def close(self) -> None:
        """Stops listening; open connections go on."""
        self.closed = True
        self._server.stop(timeout=0)

    def crash(self) -> None:
        """Ends as a process does, all its connections with it, and returns.

        It comes back at its address after ``away_s``, as a new life.
        """
        if self.closed:
            return
        port = self._server.server_port
        self.end()
        self.on_end()
        gevent.spawn_later(self.away_s, self._return, port)

    def end(self) -> None:
        """Ends as a process does, all its connections with it."""
        self.ends += 1
        self.close()
        end_connections(self._socks)

    def _return(self, port: int) -> None:
        if self.born_ms is not None:
            self.born_ms = max(self.born_ms + 1000, int(time.time() * 1000))
        self._server = self._listener(port)
        self._server.start()
        self.closed = False
        self.on_return()

    def _listener(self, port: int) -> server.StreamServer:
        return server.StreamServer(
            ("127.0.0.1", port), self._serve, backlog=256
        )

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns its entry in the store's list."""
        born = {} if self.born_ms is None else {"born": self.born_ms}
        return {
            **born,
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.version,
            "slots": self.slots.count if self.slots else 64,
            "state": state,
            "coldRemainingMs": self.cold_ms,
            "sequence": self.sequence,
        }

    def note_arrival(self, request_id: str) -> None:
        """Takes that a request has come."""
        self.arrivals.append(
            Arrival(
                request_id=request_id,
                at_s=boottime.now(),
                born_ms=self.born_ms,
                leaving=self.leaving,
                rest_s=(self.rest_s or 0.0) if self.refuses else 0.0,
            )
        )

    def report(self, status: int) -> list[tuple[bytes, bytes]]:
        """Returns headers by which an answer tells of the server."""
        headers = []
        if self.leaving:
            headers.append((b"Server-Leaving", b"1"))
        if self.rest_s is not None and status == 503:
            headers.append((b"Retry-After", f"{self.rest_s:g}".encode()))
        if self.slowdown_percent is not None:
            load = self.slots.load() if self.slots else f"{self.working},0,64"
            load += f",{self.slowdown_percent}"
            headers.append((b"Server-Load", load.encode()))
        return headers

    def ran(self, request_id: str) -> int:
        """Returns how often it ran a request."""
        return sum(run.request_id == request_id for run in self.runs)

    def _serve(self, sock: socket.socket, peer: object) -> None:
        self.accepted += 1
        exchange = _Exchange(owner=self, sock=sock)
        self._socks.add(sock)
        try:
            http.Connection(
                sock=sock,
                limits=lambda: _LIMITS,
                handle=exchange.handle,
                refuse=lambda status, text: ([], text.encode()),
            ).serve()
        finally:
            self._socks.discard(sock)

    def next_fault(self) -> Fault:
        """Returns what happens to the request that has come."""
        if self.choose_fault is not None:
            return self.choose_fault()
        return self.faults.popleft() if self.faults else self.always


class _Unframed:
    """Writes an answer without length or chunks.

    Args:
        owner: The server.
        sock: The connection.
        conn: The same, as a server reads from it.
    """

    def __init__(
        self, *, owner: Server, sock: socket.socket, conn: http.Connection
    ):
        self._owner = owner
        self._sock = sock
        self._conn = conn

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Writes the head."""
        lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
        if self._owner.announces_close:
            lines += b"Connection: close\r\n"
        version = self._owner.http_version
        self._sock.sendall(
            b"HTTP/%s %d OK\r\n%s\r\n" % (version, status, lines)
        )

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        self._sock.sendall(data)

    def end(self) -> None:
        """Ends the answer, and the connection with it."""
        self._conn.abort()


_Writer = http.Connection | _Unframed


class _Exchange:
    """One connection's exchanges."""

    def __init__(self, *, owner: Server, sock: socket.socket):
        self._owner = owner
        self._sock = sock

    def handle(self, request: http.Request, conn: http.Connection) -> None:
        """Answers one request, as well as its fault allows."""
        owner = self._owner
        headers = {
            name.decode().lower(): value.decode()
            for name, value in request.headers
        }
        if headers.get("expect-instance") != owner.server_id:
            named = [
                (b"Instance-Id", owner.server_id.encode()),
                *owner.report(421),
            ]
            conn.answer(421, named, b"")
            return
        owner.note_arrival(headers.get("request-id", ""))
        fault = owner.next_fault()
        if self._turned_down(fault, conn):
            return
        after = int(headers.get("last-event-id", 0))
        run = Run(
            request_id=headers.get("request-id", ""),
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            server_id=owner.server_id,
            after_event=after,
            at_s=boottime.now(),
        )
        owner.runs.append(run)
        if owner.ends_under(run):
            self._end_under(run, conn)
            return
        if owner.fault_of is not None:
            fault = owner.fault_of(run)
        owner.working += 1
        try:
            self._answer(fault, run, conn)
        except BaseException:
            owner.broken_off += 1
            raise
        finally:
            owner.working -= 1

    def _end_under(self, run: Run, conn: http.Connection) -> None:
        """Ends the process, as far into the answer as it is meant to come."""
        owner = self._owner
        gevent.sleep(owner.before_end_s)
        out = self._writer(Fault.NONE, conn)
        if owner.ends_at is not Moment.ARRIVAL:
            out.begin(owner.status, self._head(run, status=owner.status))
        if owner.ends_at is Moment.EVENTS:
            first = run.after_event + 1
            for number in range(first, first + owner.events_before_end):
                out.write(self._event(number, owner.version))
                gevent.sleep(owner.event_s)
        owner.crash()
        conn.abort()

    def _turned_down(self, fault: Fault, conn: http.Connection) -> bool:
        limit = self._owner.slots
        is_full = limit is not None and limit.is_full
        if fault is Fault.REFUSE or self._owner.refuses or is_full:
            report = self._owner.report(503)
            conn.answer(503, [(b"Not-Executed", b"1"), *report], b"")
        elif fault is Fault.NOT_ME:
            conn.answer(421, [(b"Instance-Id", b"i-other")], b"")
        elif fault is Fault.RESET:
            conn.abort()
        else:
            return False
        return True

    def _answer(self, fault: Fault, run: Run, conn: http.Connection) -> None:
        owner = self._owner
        work_s = owner.work_s * (owner.slowdown_percent or 100) / 100
        work_s += owner.extra_work_s(run)
        if owner.slots is None:
            gevent.sleep(work_s)
        else:
            owner.slots.work(work_s)
        if fault is Fault.HANG:
            gevent.sleep(3600)
        if fault is Fault.SLOW:
            gevent.sleep(self._owner.pause_s)
        if fault is Fault.RESET_AFTER_RUN:
            conn.abort()
        elif fault is Fault.GARBAGE:
            self._sock.sendall(b"\x00\x01 this is no answer\r\n\r\n")
            conn.abort()
        elif fault is Fault.FAIL:
            self._fail(run, conn)
        elif fault is Fault.BARE_503:
            conn.answer(503, self._head(run, status=503), b"overloaded")
        elif self._owner._streaming:
            self._stream(fault, run, conn)
        else:
            self._plain(fault, run, conn)

    def _fail(self, run: Run, conn: http.Connection) -> None:
        head = self._head(run, status=500)
        if not self._owner.unframed:
            conn.answer(500, head, b"failed")
            return
        out = self._writer(Fault.NONE, conn)
        out.begin(500, head)
        out.write(b"failed")
        out.end()

    def _head(self, run: Run, fault: Fault = Fault.NONE, status: int = 200):
        request_id = run.request_id
        if fault is Fault.OTHER_ID:
            request_id = "someone-elses"
        signature = f"{self._owner.server_id}.{next(self._owner._serial)}"
        headers = [
            (b"Request-Id", request_id.encode()),
            *self._owner.report(status),
        ]
        if self._owner.slowdown_percent is None:
            load = f"{self._owner.working},0,64"
            headers.append((b"Server-Load", load.encode()))
        if fault is not Fault.UNSIGNED:
            headers.append((_SIGNATURE, signature.encode()))
        if fault is Fault.ENCODED:
            headers.append((b"Content-Encoding", b"gzip"))
        return headers

    def _plain(self, fault: Fault, run: Run, conn: http.Connection) -> None:
        body = b"answer to " + run.request_id.encode()
        body += b"." * self._owner.padding_bytes
        if fault is Fault.STRAY_FIRST:
            self._sock.sendall(_raw_answer(b"an-earlier-one", b"not yours"))
        if fault is Fault.UNFRAMED or self._owner.unframed:
            out = _Unframed(owner=self._owner, sock=self._sock, conn=conn)
            out.begin(200, self._head(run))
            out.write(body)
            out.end()
            return
        if fault is Fault.CUT:
            head = b"".join(b"%s: %s\r\n" % pair for pair in self._head(run))
            length = b"Content-Length: %d\r\n\r\n" % (len(body) + 9)
            self._sock.sendall(b"HTTP/1.1 200 OK\r\n" + head + length + body)
            conn.abort()
            return
        conn.answer(200, self._head(run, fault), body)
        if fault is Fault.STRAY_AFTER:
            self._sock.sendall(_raw_answer(b"an-earlier-one", b"not yours"))

    def _stream(self, fault: Fault, run: Run, conn: http.Connection) -> None:
        head = self._head(run, fault)
        head.append((b"Content-Type", b"text/event-stream"))
        out = self._writer(fault, conn)
        out.begin(200, head)
        version = self._owner.version
        for number in range(run.after_event + 1, self._owner._events + 1):
            gevent.sleep(self._owner.event_s)
            event = self._event(number, version)
            half = self._owner._events // 2
            if fault is Fault.HANG_MIDWAY and number > half:
                gevent.sleep(3600)
            if fault is Fault.PAUSE_MIDWAY and number == half + 1:
                gevent.sleep(self._owner.pause_s)
            if fault is Fault.CUT and number > half:
                conn.abort()
                return
            if fault is Fault.TORN and number > half:
                out.write(event[: len(event) // 2])
                conn.abort()
                return
            out.write(event)
        out.end()

    def _writer(self, fault: Fault, conn: http.Connection) -> _Writer:
        if fault is Fault.UNFRAMED or self._owner.unframed:
            return _Unframed(owner=self._owner, sock=self._sock, conn=conn)
        return conn

    def _event(self, number: int, version: str) -> bytes:
        suffix = "" if version == FIRST_VERSION else f" of {version}"
        suffix += "." * self._owner.padding_bytes
        return f"id: {number}\ndata: piece {number}{suffix}\n\n".encode()


def end_connections(socks: Iterable[socket.socket]) -> None:
    """Ends connections as the end of their process does."""
    for sock in list(socks):
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Its other end has closed it already.
            continue


def _raw_answer(request_id: bytes, body: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + b"\r\n"
        b"Response-Signature: other.1\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body
