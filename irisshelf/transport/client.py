"""An HTTP/1.1 client connection that carries one exchange at a time."""

from __future__ import annotations

import math
import select
from collections.abc import Callable

import gevent
import h11
from gevent import socket

from irisshelf import boottime
from irisshelf.transport import errors
from irisshelf.transport import polling
from irisshelf.transport import response_head
from irisshelf.transport import turns

_READ_BYTES = 65536
# Larger requests are written by a separate greenlet while the response is read:
# a server may respond before it has read the body, and not read on meanwhile.
_BACKGROUND_WRITE_BYTES = 8192
MAX_HEAD_BYTES = 65536
# Setting of the limit on heads, named in errors.
_HEAD_FIELD = "read_limits.response_head_bytes"
# What a header line or an interim response takes beside its text.
_LINE_BYTES = 32
# A response without these headers ends with its connection, unless it has no
# body.
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_BODYLESS_STATUSES = frozenset({204, 304})
# Error status of the parser for a line, head or trailers without an end.
_TOO_LONG = 431
# Time limit for reading data that has already arrived.
_MIN_READ_TIMEOUT_S = 0.001
# Messages and parts of them that are read after the deadline: when a process
# resumes after a pause, a response may be waiting.
_MAX_LATE_EVENTS = 256
# A network partition produces no FIN or RST. The connection therefore fails
# when sent data is not acknowledged within this time, or when two keepalive
# probes on an idle connection are not answered.
_USER_TIMEOUT_MS = 1500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PROBES = 2
# The host of a process that exits may still accept a connection, and reset it.
# Processes that have too many connections reset new ones as well, so that a
# further one shows which it is.
_LISTENER_SETTLE_S = 0.005
_MAX_LISTENER_CONNECTS = 3

Headers = tuple[tuple[bytes, bytes], ...]


class Connection:
    """A client connection; create it with ``connect``.

    Args:
        sock: The connected socket, or one with the same methods.
        address: The address of the server, as ``HOST:PORT``.
        relay: Name of the instance that relays its bytes; empty if it leads to
            the server directly.
        may_reuse: Returns whether further exchanges may follow.
        on_close: Called once when it is closed.

    Attributes:
        idle_s: How long it had been idle before its latest use.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        address: str,
        relay: str = "",
        may_reuse: Callable[[], bool] = lambda: True,
        on_close: Callable[[], None] = lambda: None,
    ):
        self.address = address
        self.relay = relay
        self._may_reuse = may_reuse
        self._on_close = on_close
        self._sock = sock
        self._max_head_bytes = MAX_HEAD_BYTES
        self._http = _new_parser(MAX_HEAD_BYTES)
        self._head_checker = response_head.HeadChecker()
        self._late_events = 0
        self._turns = turns.Turns()
        self._request: list[h11.Event] = []
        # Whether the response to the request has no body in any case.
        self._expects_no_body = False
        self._writer: gevent.Greenlet | None = None
        self._write_error: OSError | None = None
        self._open = True
        # Whether the server has closed its side.
        self._ended = False
        self._shut_down = False
        self._unframed = False
        self.idle_s = 0.0
        self._unread_limit_ms = _USER_TIMEOUT_MS

    @property
    def unframed(self) -> bool:
        """Whether only the end of the connection ends the response.

        It has neither a length nor chunks then.
        """
        return self._unframed

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        written = self._writer is None or self._writer.ready()
        return (
            self._open
            and not self._ended
            and self._may_reuse()
            and written
            and self._write_error is None
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def is_stale(self) -> bool:
        """Returns whether an idle connection was closed or has unread input."""
        if not self._open:
            return True
        return polling.is_ready(self._sock, select.POLLIN)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        timeout_s: float,
        body_timeout_s: float | None = None,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        """Sends a request.

        Args:
            method: The HTTP method.
            target: Path and query.
            headers: Names and values.
            body: The body.
            timeout_s: Time limit for the server to read a short request.
            body_timeout_s: Time limit for it to read a long one, which is sent
                while the response is awaited; ``timeout_s`` by default.
            max_head_bytes: Maximum size of the response's head, interim
                responses included, and of the trailers.

        Raises:
            errors.BrokenConnectionError: The connection failed.
            errors.PeerTimeoutError: The server did not read the request in
                time.
        """
        self._max_head_bytes = max_head_bytes
        self._http = _new_parser(max_head_bytes)
        self._head_checker = response_head.HeadChecker()
        self._late_events = 0
        self._unframed = False
        self._expects_no_body = method == "HEAD"
        self._request = [
            h11.Request(method=method, target=target, headers=headers),
            h11.EndOfMessage(),
        ]
        if body:
            self._request.insert(1, h11.Data(data=body))
        parts = self._encode_request()
        self._write_error = None
        if sum(map(len, parts)) > _BACKGROUND_WRITE_BYTES:
            if body_timeout_s is None:
                body_timeout_s = timeout_s
            self._limit_unread(int(body_timeout_s * 1000))
            self._writer = gevent.spawn(
                self._write_in_background, parts, body_timeout_s
            )
            return
        self._writer = None
        self._limit_unread(_USER_TIMEOUT_MS)
        try:
            self._sock.settimeout(max(0.001, timeout_s))
            self._sock.sendall(b"".join(parts))
        except TimeoutError as exc:
            raise errors.PeerTimeoutError(
                "server did not read the request in time"
            ) from exc
        except errors.TunnelLostError as exc:
            raise errors.RelayLostError(f"sending failed: {exc}") from exc
        except OSError as exc:
            raise errors.BrokenConnectionError(
                f"sending failed: {exc}"
            ) from exc

    def read_head(self, *, timeout_s: float) -> tuple[int, Headers]:
        """Waits for the head of the response.

        Returns:
            The status and the headers, with the case of their names unchanged.

        Raises:
            errors.BrokenConnectionError: The connection failed or was
                closed, or the data is not valid HTTP.
            errors.PeerTimeoutError: No head arrived in time.
            errors.ResponseLimitError: The head is too long.
        """
        deadline_s = boottime.now() + timeout_s
        interim_bytes = 0
        while True:
            event = self._next_event(deadline_s)
            if isinstance(event, (h11.Response, h11.InformationalResponse)):
                self._head_checker.check(event)
            if isinstance(event, h11.Response):
                self._unframed = self._is_unframed(event)
                return event.status_code, tuple(event.headers.raw_items())
            if isinstance(event, h11.InformationalResponse):
                interim_bytes += _size(event)
                if interim_bytes > self._max_head_bytes:
                    raise errors.ResponseLimitError(
                        "head with its interim responses",
                        self._max_head_bytes,
                        _HEAD_FIELD,
                    )
            if isinstance(event, h11.ConnectionClosed):
                raise errors.BrokenConnectionError(
                    "connection closed without a response"
                )

    def read_data(self, *, timeout_s: float) -> bytes | None:
        """Waits for the next part of the body; returns None at its end.

        Raises:
            errors.BrokenConnectionError: The response is truncated.
            errors.PeerTimeoutError: No data arrived in time.
            errors.ResponseLimitError: The framing of a chunk or the trailers
                are too long.
        """
        event = self._next_event(boottime.now() + timeout_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise errors.BrokenConnectionError(
            f"unexpected {type(event).__name__} in a response body"
        )

    def read_body(
        self,
        what: str,
        *,
        max_bytes: int,
        timeout_s: float,
        part_timeout_s: float = math.inf,
    ) -> bytes:
        """Reads the rest of the body.

        Args:
            what: What it is, for errors.
            max_bytes: Its maximum size.
            timeout_s: Time limit for its end.
            part_timeout_s: Time limit for each part of it.

        Raises:
            errors.BrokenConnectionError: The response is truncated.
            errors.PeerTimeoutError: The body does not end in time.
            errors.ResponseLimitError: The body is too long.
        """
        deadline_s = boottime.now() + timeout_s
        data = bytearray()
        while True:
            left_s = deadline_s - boottime.now()
            part = self.read_data(timeout_s=min(part_timeout_s, left_s))
            if part is None:
                return bytes(data)
            data += part
            if len(data) > max_bytes:
                raise errors.ResponseLimitError(what, max_bytes)

    def skip_response(self, *, timeout_s: float, max_bytes: int) -> None:
        """Discards a response that belongs to an earlier request.

        ``read_head`` then waits for the response to the current request.

        Args:
            timeout_s: Time limit for its end.
            max_bytes: Maximum size of its body.

        Raises:
            errors.BrokenConnectionError: The connection failed or was closed.
            errors.PeerTimeoutError: The body does not end in time.
            errors.ResponseLimitError: The body is too long.
        """
        self.read_body(
            "response to an earlier request",
            max_bytes=max_bytes,
            timeout_s=timeout_s,
        )
        extra, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise errors.BrokenConnectionError(
                "connection closed after the response to an earlier request"
            )
        self._http = _new_parser(self._max_head_bytes)
        self._head_checker = response_head.HeadChecker()
        self._encode_request()
        if extra:
            self._head_checker.feed(extra)
            self._http.receive_data(extra)

    def has_input(self) -> bool:
        """Returns whether unread data has arrived."""
        return self._open and polling.is_ready(self._sock, select.POLLIN)

    def shutdown(self) -> None:
        """Shuts the connection down while another greenlet may wait on it.

        The waiting greenlet gets ``errors.BrokenConnectionError``.
        """
        self._shut_down = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # Already disconnected; the waiting greenlet sees this as well.
            return

    def close(self) -> None:
        """Closes the connection; the server may abandon a pending request."""
        if self._open:
            self._on_close()
        self._open = False
        if self._writer is not None:
            self._writer.kill(block=False)
        self._sock.close()

    def _limit_unread(self, limit_ms: int) -> None:
        """Sets for how long the server may leave sent data unread.

        The kernel does not distinguish a server that reads nothing, so that no
        more data may be sent, from one that is out of reach. Between an
        instance that relays and its server, the short limit remains.
        """
        if self.relay:
            return
        limit_ms = max(_USER_TIMEOUT_MS, limit_ms)
        if limit_ms == self._unread_limit_ms:
            return
        self._unread_limit_ms = limit_ms
        try:
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms
            )
        except OSError as exc:
            raise errors.BrokenConnectionError(
                f"connection failed before sending: {exc}"
            ) from exc

    def _encode_request(self) -> list[bytes]:
        """Returns the request in parts, without a copy of its body."""
        parts = [self._http.send(event) for event in self._request]
        return [part for part in parts if part]

    def _write_in_background(
        self, parts: list[bytes], timeout_s: float
    ) -> None:
        until_s = boottime.now() + timeout_s
        try:
            for part in parts:
                self._sock.settimeout(max(0.001, until_s - boottime.now()))
                self._sock.sendall(part)
        except OSError as exc:
            # Reported by the reading side, which learns how the exchange ended.
            self._write_error = exc

    def _next_event(self, deadline_s: float) -> h11.Event:
        while True:
            self._check_deadline(deadline_s)
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._protocol_error(exc) from exc
            if event is h11.PAUSED:
                raise errors.BrokenConnectionError(
                    "unexpected data after the end of the response"
                )
            if event is not h11.NEED_DATA:
                self._turns.record(turns.PART_COST)
                return event
            self._feed_parser(deadline_s)

    def _is_unframed(self, head: h11.Response) -> bool:
        """Returns whether a response has neither a length nor chunks."""
        names = {name for name, _ in head.headers}
        return (
            not names & _FRAMING_HEADERS
            and head.status_code not in _BODYLESS_STATUSES
            and not self._expects_no_body
        )

    def _check_deadline(self, deadline_s: float) -> None:
        """Raises errors.PeerTimeoutError if too much is read after it."""
        if boottime.now() <= deadline_s:
            self._late_events = 0
            return
        self._late_events += 1
        if self._late_events > _MAX_LATE_EVENTS:
            raise errors.PeerTimeoutError(
                "response does not end within the time limit"
            )

    def _protocol_error(
        self, exc: h11.RemoteProtocolError
    ) -> errors.TransportError:
        if exc.error_status_hint == _TOO_LONG:
            return errors.ResponseLimitError(
                "head, chunk line or trailers",
                self._max_head_bytes,
                _HEAD_FIELD,
            )
        return errors.BrokenConnectionError(f"invalid HTTP: {exc}")

    def _recv_available(self, timeout_s: float) -> bytes:
        """Waits for data, and checks for input once more after a time-out.

        When a process resumes after a pause, its timers have expired and the
        data that arrived meanwhile has not been read. After the kernel's own
        time-out nothing follows but the end of the input.
        """
        self._sock.settimeout(timeout_s)
        try:
            return self._sock.recv(_READ_BYTES)
        except TimeoutError as exc:
            if not polling.is_own_timeout(exc) or not self.has_input():
                raise
            return self._sock.recv(_READ_BYTES)

    def _feed_parser(self, deadline_s: float) -> None:
        if not self._open:
            raise errors.BrokenConnectionError("connection was closed locally")
        remaining_s = deadline_s - boottime.now()
        # Data that has arrived is read even after the deadline: when a process
        # resumes after a pause, the time is over and the response is waiting.
        if remaining_s <= 0 and not self.has_input():
            raise errors.PeerTimeoutError("no response within the time limit")
        try:
            data = self._recv_available(max(remaining_s, _MIN_READ_TIMEOUT_S))
        except errors.TunnelLostError as exc:
            raise errors.RelayLostError(f"reading failed: {exc}") from exc
        except OSError as exc:
            if polling.is_own_timeout(exc):
                raise errors.PeerTimeoutError(
                    "no response within the time limit"
                ) from exc
            raise errors.BrokenConnectionError(
                f"reading failed: {exc}"
            ) from exc
        if not data:
            self._ended = True
            self._check_input_end()
        self._turns.record(len(data))
        if self._http.their_state is h11.SEND_RESPONSE:
            self._head_checker.feed(data)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise self._protocol_error(exc) from exc

    def _check_input_end(self) -> None:
        """Checks whether the end of the input is one.

        The kernel reports that a connection was reset to whichever call comes
        first. After that, reads find the end of the input.

        Raises:
            errors.BrokenConnectionError: The connection failed while the
                request was sent, or was shut down.
            errors.RelayLostError: The same of a tunnel.
        """
        if self._shut_down:
            raise errors.BrokenConnectionError("connection was shut down")
        exc = self._write_error
        if exc is None or polling.is_own_timeout(exc):
            return
        if isinstance(exc, errors.TunnelLostError):
            raise errors.RelayLostError(f"sending failed: {exc}") from exc
        raise errors.BrokenConnectionError(f"sending failed: {exc}") from exc


def connect(address: str, *, timeout_s: float) -> Connection:
    """Connects to a server.

    Raises:
        errors.ConnectError: The connection could not be established.
    """
    sock = open_socket(address, timeout_s=timeout_s)
    return Connection(sock=sock, address=address)


def connect_to_listener(address: str, *, timeout_s: float) -> Connection | None:
    """Connects to a process that listens, and not only its host.

    Returns:
        The connection; None if each one was accepted and reset, as by a process
        that has too many connections.

    Raises:
        errors.ConnectError: No connection could be established.
    """
    for _ in range(_MAX_LISTENER_CONNECTS):
        conn = connect(address, timeout_s=timeout_s)
        gevent.sleep(_LISTENER_SETTLE_S)
        if not conn.is_stale():
            return conn
        conn.close()
    return None


def open_socket(address: str, *, timeout_s: float) -> socket.socket:
    """Opens a TCP connection.

    Raises:
        errors.ConnectError: The connection could not be established.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_options(sock)
        sock.settimeout(max(0.001, timeout_s))
        sock.connect((host, int(port)))
    except TimeoutError as exc:
        if not polling.is_connected(sock):
            sock.close()
            raise errors.ConnectError(
                f"{address}: {exc}", timed_out=True
            ) from exc
    except (OSError, ValueError) as exc:
        sock.close()
        raise errors.ConnectError(f"{address}: {exc}") from exc
    return sock


def set_options(sock: socket.socket) -> None:
    """Makes a socket fail soon after the other side has gone silent."""
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ]
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def _new_parser(max_head_bytes: int) -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)


def _size(event: h11.InformationalResponse) -> int:
    """Returns about how many bytes an interim response takes."""
    return _LINE_BYTES + sum(
        len(name) + len(value) + _LINE_BYTES for name, value in event.headers
    )
