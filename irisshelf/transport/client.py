"""One HTTP/1.1 connection to a server, for one exchange at a time."""

from __future__ import annotations

import select

import gevent
import h11
from gevent import socket

from irisshelf import boottime
from irisshelf.transport import errors

_READ_BYTES = 65536
# Larger requests are written beside the reading, since a server may answer
# before it has read a body and meanwhile not read on.
_WRITE_ASIDE_BYTES = 8192
_MAX_HEAD_BYTES = 65536
# How long what is there may take to be read.
_LOOK_S = 0.001
# A cut says nothing. What the peer does not acknowledge for so long, and two
# unanswered probes after a rest, end the connection.
_USER_TIMEOUT_MS = 1500
_PROBE_AFTER_S = 1
_PROBES = 2

Headers = tuple[tuple[bytes, bytes], ...]


class Connection:
    """A connection; made by ``connect``.

    Args:
        sock: The connected socket.
        address: Of the server.

    Attributes:
        idle_s: How long it had been at rest before its latest use.
    """

    def __init__(self, *, sock: socket.socket, address: str):
        self.address = address
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self._request: list[h11.Event] = []
        self._writer: gevent.Greenlet | None = None
        self._write_failed = False
        self._open = True
        self.idle_s = 0.0

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow the one that ended."""
        written = self._writer is None or self._writer.ready()
        return (
            self._open
            and written
            and not self._write_failed
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def is_stale(self) -> bool:
        """Tells whether a connection at rest was closed or got stray bytes."""
        if not self._open:
            return True
        return _is_ready(self._sock, select.POLLIN)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        timeout_s: float,
    ) -> None:
        """Sends a request.

        Raises:
            errors.BrokenConnectionError: The connection broke.
            errors.PeerTimeoutError: The server does not read.
        """
        self._http = _parser()
        self._request = [
            h11.Request(method=method, target=target, headers=headers),
            h11.EndOfMessage(),
        ]
        if body:
            self._request.insert(1, h11.Data(data=body))
        data = self._arm()
        self._write_failed = False
        if len(data) > _WRITE_ASIDE_BYTES:
            self._writer = gevent.spawn(self._write_aside, data, timeout_s)
            return
        self._writer = None
        try:
            self._sock.settimeout(max(0.001, timeout_s))
            self._sock.sendall(data)
        except TimeoutError as exc:
            raise errors.PeerTimeoutError("the server does not read") from exc
        except OSError as exc:
            raise errors.BrokenConnectionError(f"while sending: {exc}") from exc

    def read_head(self, *, timeout_s: float) -> tuple[int, Headers]:
        """Waits for an answer's head.

        Returns:
            The status and the headers, names as the server wrote them.

        Raises:
            errors.BrokenConnectionError: The connection broke, or the data is
                not valid HTTP.
            errors.PeerTimeoutError: Nothing came in time.
        """
        until_s = boottime.now() + timeout_s
        while True:
            event = self._next(until_s)
            if isinstance(event, h11.Response):
                return event.status_code, tuple(event.headers.raw_items())
            if isinstance(event, h11.ConnectionClosed):
                raise errors.BrokenConnectionError("closed without an answer")

    def read_data(self, *, timeout_s: float) -> bytes | None:
        """Waits for more of the body; None at its end.

        Raises:
            errors.BrokenConnectionError: The answer is cut off.
            errors.PeerTimeoutError: Nothing came in time.
        """
        event = self._next(boottime.now() + timeout_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise errors.BrokenConnectionError(f"{type(event).__name__} in a body")

    def skip_response(self, *, timeout_s: float) -> None:
        """Reads an answer that belongs to an earlier request to its end.

        Afterwards ``read_head`` waits for the answer proper.
        """
        until_s = boottime.now() + timeout_s
        while self.read_data(timeout_s=until_s - boottime.now()) is not None:
            pass
        extra, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise errors.BrokenConnectionError(
                "closed after another request's answer"
            )
        self._http = _parser()
        self._arm()
        if extra:
            self._http.receive_data(extra)

    def has_input(self) -> bool:
        """Tells whether something has come that was not read yet."""
        return self._open and _is_ready(self._sock, select.POLLIN)

    def shutdown(self) -> None:
        """Ends the connection under whoever waits on it.

        The waiter finds that the server closed it.
        """
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It has ended by itself, which the waiter finds as well.
            return

    def close(self) -> None:
        """Closes the connection; the server may drop what it works on."""
        self._open = False
        if self._writer is not None:
            self._writer.kill(block=False)
        self._sock.close()

    def _arm(self) -> bytes:
        parts = [self._http.send(event) for event in self._request]
        return b"".join(part for part in parts if part)

    def _write_aside(self, data: bytes, timeout_s: float) -> None:
        try:
            self._sock.settimeout(max(0.001, timeout_s))
            self._sock.sendall(data)
        except OSError:
            # The reading side finds out what became of the exchange.
            self._write_failed = True

    def _next(self, until_s: float) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise errors.BrokenConnectionError(f"no HTTP: {exc}") from exc
            if event is h11.PAUSED:
                raise errors.BrokenConnectionError(
                    "bytes after the answer's end"
                )
            if event is not h11.NEED_DATA:
                return event
            self._receive(until_s)

    def _recv(self, timeout_s: float) -> bytes:
        """Waits for bytes; looks once more when the time is over.

        A process that stood still finds its timers expired, and what came
        meanwhile unread.
        """
        self._sock.settimeout(timeout_s)
        try:
            return self._sock.recv(_READ_BYTES)
        except TimeoutError:
            if not self.has_input():
                raise
            return self._sock.recv(_READ_BYTES)

    def _receive(self, until_s: float) -> None:
        if not self._open:
            raise errors.BrokenConnectionError("closed by this end")
        left_s = until_s - boottime.now()
        # An answer that is there is read also late: a process that stood still
        # finds its time over and the answer waiting.
        if left_s <= 0 and not self.has_input():
            raise errors.PeerTimeoutError("no answer in time")
        try:
            data = self._recv(max(left_s, _LOOK_S))
        except TimeoutError as exc:
            raise errors.PeerTimeoutError("no answer in time") from exc
        except OSError as exc:
            raise errors.BrokenConnectionError(f"while reading: {exc}") from exc
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise errors.BrokenConnectionError(f"no HTTP: {exc}") from exc


def connect(address: str, *, timeout_s: float) -> Connection:
    """Connects to a server.

    Raises:
        errors.ConnectError: No connection came about.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_options(sock)
        sock.settimeout(max(0.001, timeout_s))
        sock.connect((host, int(port)))
    except TimeoutError as exc:
        if not _came_about(sock):
            sock.close()
            raise errors.ConnectError(
                f"{address}: {exc}", timed_out=True
            ) from exc
    except (OSError, ValueError) as exc:
        sock.close()
        raise errors.ConnectError(f"{address}: {exc}") from exc
    return Connection(sock=sock, address=address)


def _came_about(sock: socket.socket) -> bool:
    """Looks once more: a process that stood still finds its timers expired."""
    if not _is_ready(sock, select.POLLOUT):
        return False
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def _is_ready(sock: socket.socket, what: int) -> bool:
    """Looks without waiting; by poll, as select takes only 1,024 files."""
    poll = select.poll()
    poll.register(sock, what)
    return bool(poll.poll(0))


def _set_options(sock: socket.socket) -> None:
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    ]
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def _parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
