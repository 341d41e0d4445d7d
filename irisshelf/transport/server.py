"""An HTTP/1.1 server connection: reads requests and sends responses."""

from __future__ import annotations

import dataclasses
import enum
import http
from collections.abc import Callable

import gevent
import h11
from gevent import socket

from irisshelf import boottime
from irisshelf.transport import errors

_READ_BYTES = 65536
# No more data is read from a caller that has sent this much before it received
# the response to its current request.
_MAX_PIPELINED_BYTES = 65536
# Time limit for a caller to read one part of a response.
_WRITE_TIMEOUT_S = 10.0
# Before a socket is closed, input is read and discarded until none arrives for
# this long: closing it with unread input sends a reset, which discards a
# response that the caller has not read yet.
_LINGER_S = 0.5
_UNAVAILABLE = 503
# In seconds. Short, because another instance may have capacity at once.
_RETRY_AFTER_S = b"0.1"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Size and time limits for the requests of a caller.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_s: Time limit for a request head, from its first byte.
        idle_s: Time limit for an idle connection, and for each read of a body.
    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        method: The HTTP method, such as ``POST``.
        target: Path and query, unchanged.
        headers: Names and values as sent; the case of names is unchanged.
        body: The body without its transfer framing.
        has_body: Whether the headers announce a body, which may be empty.
        arrived_s: Time at which the head was complete, monotonic seconds.
        connection_reused: Whether the connection has served a request before.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    has_body: bool
    arrived_s: float
    connection_reused: bool


class _Phase(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


class _BadRequestError(Exception):
    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class Connection:
    """Serves the requests on one connection.

    Args:
        sock: The accepted socket.
        limits: Returns the limits currently in force.
        handle: Handles a request and responds through this connection.
        refuse: Returns the headers and body of an error response, given the
            status and a text.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        limits: Callable[[], Limits],
        handle: Callable[[Request, Connection], None],
        refuse: Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]],
    ):
        self._sock = sock
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )
        self._output = b""
        self._phase = _Phase.IDLE
        self._pipelined = b""
        self._reused = False
        self._close_after = False
        self._aborted = False
        self._taken_over = False
        self._greenlet = gevent.getcurrent()
        self._watcher: gevent.Greenlet | None = None
        self._watching = False
        self.response_started = False

    @property
    def idle(self) -> bool:
        """Whether the connection is between requests."""
        return self._phase is _Phase.IDLE

    def serve(self) -> None:
        """Serves requests until the connection ends."""
        self._greenlet = gevent.getcurrent()
        sock = self._sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while self._serve_one():
                self._reused = True
        except (OSError, errors.CallerDisconnectedError, errors.CloseIdleError):
            # The caller disconnected, or a shutdown closes idle connections.
            pass
        except h11.LocalProtocolError:
            self.abort()
            raise
        finally:
            self._stop_watching()
            self._close_socket()

    def reject_over_limit(self) -> None:
        """Makes the connection answer its first request with status 503.

        Used for connections above the connection limit.
        """
        self._handle = self._reject_request

    def _reject_request(self, request: Request, conn: Connection) -> None:
        self._close_after = True
        text = "too many connections"
        headers, body = self._refuse(_UNAVAILABLE, text)
        headers = [*headers, (b"Retry-After", _RETRY_AFTER_S)]
        self.answer(_UNAVAILABLE, headers, body)

    def close_after_answer(self) -> None:
        """Closes the connection after the next response, which announces it."""
        self._close_after = True

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle."""
        if self.idle:
            self._greenlet.kill(errors.CloseIdleError, block=False)

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a complete response."""
        framed = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._start(status, framed)
        if body:
            self._queue(h11.Data(data=body))
        self._queue(h11.EndOfMessage())
        self._flush()

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head of a response of unknown length."""
        self._start(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        self._flush()

    def write(self, data: bytes) -> None:
        """Sends a part of the response immediately."""
        self._queue(h11.Data(data=data))
        self._flush()

    def end(self) -> None:
        """Marks the response as complete."""
        self._queue(h11.EndOfMessage())
        self._flush()

    def abort(self) -> None:
        """Makes the connection close without the end of the response.

        The caller can then tell that the response is incomplete.
        """
        self._aborted = True

    def take_over(self) -> tuple[socket.socket, bytes]:
        """Leaves the socket to the handler, which speaks another protocol.

        Returns:
            The socket, which is closed when the handler returns, and the data
            that has arrived after the request.
        """
        self._stop_watching()
        self._taken_over = True
        early = self._http.trailing_data[0] + self._pipelined
        self._pipelined = b""
        return self._sock, early

    def ignore_disconnect(self) -> None:
        """Lets the handler continue even if the caller disconnects."""
        self._stop_watching()

    def _serve_one(self) -> bool:
        try:
            request = self._read_request()
        except _BadRequestError as exc:
            self._send_error(exc)
            return False
        if request is None:
            return False
        self._phase = _Phase.ANSWERING
        self._start_watching()
        try:
            self._handle(request, self)
        finally:
            self._stop_watching()
        return self._next_cycle()

    def _next_cycle(self) -> bool:
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        ends = self._aborted or self._close_after or self._taken_over
        if ends or not done:
            return False
        self._http.start_next_cycle()
        if self._pipelined:
            self._http.receive_data(self._pipelined)
            self._pipelined = b""
        self.response_started = False
        self._phase = _Phase.IDLE
        return True

    def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.response_started = True
        if self._close_after:
            headers = [*headers, (b"Connection", b"close")]
        self._output = b""
        self._queue(
            h11.Response(
                status_code=status, headers=headers, reason=_reason(status)
            )
        )

    def _queue(self, event: h11.Event) -> None:
        self._output += self._http.send(event) or b""

    def _flush(self) -> None:
        data, self._output = self._output, b""
        self._sock.settimeout(_WRITE_TIMEOUT_S)
        self._sock.sendall(data)

    def _read_request(self) -> Request | None:
        limits = self._limits()
        head = self._read_head(limits)
        if head is None:
            return None
        arrived_s = boottime.now()
        headers = tuple(head.headers.raw_items())
        has_body = _check_framing(headers, limits)
        if self._http.they_are_waiting_for_100_continue:
            self._output = b""
            self._queue(h11.InformationalResponse(status_code=100, headers=[]))
            self._flush()
        body = self._read_body(limits)
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            has_body=has_body,
            arrived_s=arrived_s,
            connection_reused=self._reused,
        )

    def _read_head(self, limits: Limits) -> h11.Request | None:
        deadline_s = boottime.now() + limits.idle_s
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise _BadRequestError(exc.error_status_hint, str(exc)) from exc
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if event is not h11.NEED_DATA:
                raise _BadRequestError(400, f"{event!r} before a request")
            data = self._receive(deadline_s)
            if data is None and self.idle:
                return None
            if data is None:
                raise _BadRequestError(408, f"no head in {limits.head_s} s")
            if self.idle and data:
                self._phase = _Phase.READING
                deadline_s = boottime.now() + limits.head_s
            self._feed(data)

    def _read_body(self, limits: Limits) -> bytes:
        parts = []
        size = 0
        while True:
            deadline_s = boottime.now() + limits.idle_s
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise _BadRequestError(exc.error_status_hint, str(exc)) from exc
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise _body_too_large(size, limits)
                parts.append(bytes(event.data))
            elif event is h11.NEED_DATA:
                data = self._receive(deadline_s)
                if data is None:
                    raise _BadRequestError(408, "the body stopped coming in")
                self._feed(data)
            else:
                raise errors.CallerDisconnectedError

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise _BadRequestError(exc.error_status_hint, str(exc)) from exc

    def _receive(self, deadline_s: float) -> bytes | None:
        remaining_s = deadline_s - boottime.now()
        if remaining_s <= 0:
            return None
        self._sock.settimeout(remaining_s)
        try:
            return self._sock.recv(_READ_BYTES)
        except TimeoutError:
            return None

    def _send_error(self, problem: _BadRequestError) -> None:
        """Sends an error response to an unreadable request, then closes."""
        if self._http.our_state is not h11.SEND_RESPONSE and (
            self._http.our_state is not h11.IDLE
        ):
            return
        self._close_after = True
        headers, body = self._refuse(problem.status, str(problem))
        self.answer(problem.status, headers, body)

    def _start_watching(self) -> None:
        """Starts to watch for a disconnect while a request is handled."""
        self._watching = True
        self._watcher = gevent.spawn(self._watch_for_disconnect)

    def _watch_for_disconnect(self) -> None:
        while len(self._pipelined) < _MAX_PIPELINED_BYTES:
            try:
                # The socket's time-out is set by the writer, so it cannot be
                # used for reading here.
                socket.wait_read(self._sock.fileno())
                data = self._sock.recv(_READ_BYTES)
            except TimeoutError:
                continue
            except (OSError, ValueError):
                data = b""
            if not data:
                break
            self._pipelined += data
        else:
            return
        if self._watching:
            self._greenlet.kill(errors.CallerDisconnectedError, block=False)

    def _stop_watching(self) -> None:
        self._watching = False
        watcher, self._watcher = self._watcher, None
        if watcher is not None and watcher is not gevent.getcurrent():
            watcher.kill(block=True)

    def _close_socket(self) -> None:
        try:
            if self._aborted or self._taken_over:
                self._sock.close()
                return
            self._sock.shutdown(socket.SHUT_WR)
            if not self.idle:
                self._sock.settimeout(_LINGER_S)
                while self._sock.recv(_READ_BYTES):
                    pass
        except (OSError, errors.CloseIdleError, errors.CallerDisconnectedError):
            pass
        finally:
            self._sock.close()


def _check_framing(
    headers: tuple[tuple[bytes, bytes], ...], limits: Limits
) -> bool:
    """Returns whether the headers announce a body.

    Ambiguous framing is rejected, since it allows request smuggling.
    """
    names = [name.lower() for name, _ in headers]
    chunked = b"transfer-encoding" in names
    lengths = [v for n, v in headers if n.lower() == b"content-length"]
    if chunked and lengths:
        raise _BadRequestError(
            400, "both Content-Length and Transfer-Encoding, allowed: one"
        )
    if names.count(b"host") > 1:
        raise _BadRequestError(400, "more than one Host header")
    if lengths and int(lengths[0]) > limits.body_bytes:
        raise _body_too_large(int(lengths[0]), limits)
    return chunked or bool(lengths)


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


def _body_too_large(size: int, limits: Limits) -> _BadRequestError:
    return _BadRequestError(
        413, f"body has {size} bytes or more, allowed: {limits.body_bytes}"
    )
