"""A byte stream between two instances, inside a websocket.

An instance that cannot open a connection to a server asks another one to open
it, and exchanges the server's bytes with that instance. The closing frame tells
how the server's connection ended. If there is none, the tunnel itself was lost,
which says nothing about the server: a response whose length only the end of the
connection shows must then not pass for complete.
"""

from __future__ import annotations

import enum
import select

import gevent
from gevent import lock
from gevent import socket
from websockets import client
from websockets import exceptions
from websockets import frames
from websockets import http11
from websockets import protocol
from websockets import server
from websockets import uri

from irisshelf import boottime
from irisshelf.transport import client as client_transport
from irisshelf.transport import errors
from irisshelf.transport import polling
from irisshelf.transport import server as server_transport
from irisshelf.transport import turns

_READ_BYTES = 16_384
_MAX_FRAME_BYTES = 65_536
# An answer to a handshake is a short head, and a word if it is a rejection.
_MAX_HANDSHAKE_BYTES = 16_384
# Time limit for the other side to read one piece of data.
_WRITE_TIMEOUT_S = 10.0
# The answer to a handshake is awaited in waits of at most this length. A pause
# of this process is counted as one of them at most: after it, all timers have
# expired, although the answer may have arrived or is about to.
_MAX_WAIT_S = 0.03
_MIN_WAIT_S = 0.001
# A tunnel without data in either direction for this long has been abandoned;
# requests take seconds, and idle connections are closed sooner.
_IDLE_TIMEOUT_S = 60.0
# Instances send no pings; a tunnel on which more than these arrive is ended.
_MAX_PINGS = 16
# Sent as a text frame by an instance that stops: no further request may use
# the tunnel.
_STOPPING = "stopping"


class End(enum.IntEnum):
    """How the server's connection ended, as a websocket close code."""

    CLOSED = 1000
    BROKEN = 4000


class RejectedError(Exception):
    """The other instance does not open a tunnel.

    Args:
        status: HTTP status.
        reason: Its reason, the body of its response.
    """

    def __init__(self, status: int, reason: str):
        super().__init__(f"status {status}, {reason!r}")
        self.status = status
        self.reason = reason


class TunnelSocket:
    """The end of a tunnel at the instance that uses it, as a socket.

    Args:
        sock: The connection to the other instance.
        proto: The websocket's state, open.

    Attributes:
        stopping: Whether the other instance stops.
    """

    def __init__(self, *, sock: socket.socket, proto: protocol.Protocol):
        self.stopping = False
        self._sock = sock
        self._proto = proto
        self._end: int | None = None
        self._timeout_s: float | None = None
        self._turns = turns.Turns()

    def fileno(self) -> int:
        """Returns the file descriptor, to poll for input."""
        return self._sock.fileno()

    def settimeout(self, timeout_s: float | None) -> None:
        """Sets the time-out of each read and write, in seconds."""
        self._timeout_s = timeout_s
        self._sock.settimeout(timeout_s)

    def sendall(self, data: bytes) -> None:
        """Sends data to the server.

        Raises:
            errors.TunnelLostError: The tunnel was lost or has ended.
            TimeoutError: The other instance did not read it in time.
        """
        for start in range(0, len(data), _READ_BYTES):
            try:
                self._proto.send_binary(data[start : start + _READ_BYTES])
                _flush(self._proto, self._sock)
            except (OSError, exceptions.WebSocketException) as exc:
                if polling.is_own_timeout(exc):
                    raise
                raise errors.TunnelLostError(str(exc)) from exc

    def recv(self, size: int) -> bytes:
        """Waits for data from the server; empty if it closed the connection.

        Raises:
            errors.TunnelLostError: The tunnel was lost.
            ConnectionResetError: The server's connection broke.
            TimeoutError: No data arrived in time.
        """
        started_s = boottime.now()
        # Frames may have arrived with the end of the handshake.
        payload = self._take_payload()
        while not payload and self._end is None:
            self._receive(size)
            payload = self._take_payload()
            waited_s = boottime.now() - started_s
            if not payload and self._timeout_s is not None:
                # Frames that hold no data do not extend the time-out.
                self._sock.settimeout(
                    max(_MIN_WAIT_S, self._timeout_s - waited_s)
                )
                if waited_s > self._timeout_s and self._end is None:
                    raise TimeoutError("no data in time")
        if payload:
            return payload
        if self._end != End.CLOSED:
            raise ConnectionResetError("the server's connection broke")
        return b""

    def shutdown(self, how: int) -> None:
        """Shuts the tunnel down; see ``socket.shutdown``."""
        self._sock.shutdown(how)

    def close(self) -> None:
        """Closes the tunnel; the server's connection is closed as well."""
        self._sock.close()

    def _receive(self, size: int) -> None:
        try:
            data = self._sock.recv(size)
        except OSError as exc:
            if polling.is_own_timeout(exc):
                raise
            raise errors.TunnelLostError(str(exc)) from exc
        if not data:
            raise errors.TunnelLostError("closed without a closing frame")
        self._turns.record(len(data) + turns.PART_COST)
        self._proto.receive_data(data)
        # Answers to pings, which instances do not send.
        self._proto.data_to_send()
        if self._proto.parser_exc is not None:
            raise errors.TunnelLostError(str(self._proto.parser_exc))

    def _take_payload(self) -> bytes:
        return b"".join(map(self._handle, self._proto.events_received()))

    def _handle(self, event: http11.Response | frames.Frame) -> bytes:
        """Handles a frame; returns the server's data in it."""
        if not isinstance(event, frames.Frame):
            return b""
        if event.opcode is frames.Opcode.TEXT:
            self.stopping = True
        elif event.opcode is frames.Opcode.CLOSE:
            self._end = frames.Close.parse(bytes(event.data)).code
            self._end_input()
        elif event.opcode is frames.Opcode.BINARY:
            return bytes(event.data)
        return b""

    def _end_input(self) -> None:
        """Ends the input: idle connections are polled for that."""
        try:
            self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The other instance has reset the tunnel, which ends it as well.
            return


def connect(address: str, target: str, *, timeout_s: float) -> TunnelSocket:
    """Opens a tunnel.

    Args:
        address: Address of the other instance.
        target: Path and query that name the server.
        timeout_s: Limit on the time for the connection, and on the time for the
            answer after it. Pauses of this process do not count.

    Raises:
        errors.ConnectError: The other instance cannot be reached, or did not
            answer in time.
        RejectedError: It does not open the tunnel.
    """
    sock = client_transport.open_socket(address, timeout_s=timeout_s)
    proto = client.ClientProtocol(
        uri.parse_uri(f"ws://{address}{target}"), max_size=_MAX_FRAME_BYTES
    )
    try:
        _shake_hands(sock, proto, timeout_s)
    except (TimeoutError, RejectedError, errors.ConnectError) as exc:
        sock.close()
        if isinstance(exc, TimeoutError):
            detail = f"{address}: no answer in time"
            raise errors.ConnectError(detail, timed_out=True) from exc
        raise
    except (OSError, exceptions.WebSocketException) as exc:
        sock.close()
        raise errors.ConnectError(f"{address}: {exc}") from exc
    return TunnelSocket(sock=sock, proto=proto)


def _shake_hands(
    sock: socket.socket, proto: client.ClientProtocol, timeout_s: float
) -> None:
    proto.send_request(proto.connect())
    _flush(proto, sock)
    remaining_s = timeout_s
    size = 0
    while proto.state is protocol.State.CONNECTING:
        wait_s = max(_MIN_WAIT_S, min(remaining_s, _MAX_WAIT_S))
        started_s = boottime.now()
        sock.settimeout(wait_s)
        try:
            data = sock.recv(_READ_BYTES)
        except TimeoutError:
            remaining_s -= wait_s
            if remaining_s <= 0.0 and not polling.is_ready(sock, select.POLLIN):
                raise
            continue
        remaining_s -= min(wait_s, boottime.now() - started_s)
        size += len(data)
        if size > _MAX_HANDSHAKE_BYTES:
            raise errors.ConnectError(
                f"answer to the handshake is longer than"
                f" {_MAX_HANDSHAKE_BYTES} bytes"
            )
        if data:
            proto.receive_data(data)
        else:
            proto.receive_eof()
        failure = proto.handshake_exc
        if isinstance(failure, exceptions.InvalidStatus):
            response = failure.response
            reason = bytes(response.body or b"").decode("utf-8", "replace")
            raise RejectedError(response.status_code, reason)
        if failure is not None:
            raise errors.ConnectError(f"handshake failed: {failure}")
        if not data:
            raise errors.ConnectError("closed in the handshake")


class Relay:
    """The end of a tunnel at the instance that connects to the server.

    Args:
        sock: The connection to the other instance.
        early: Data that it has already sent.
        target: The connection to the server.

    Attributes:
        relayed_bytes: Number of the server's and the other side's bytes.
        server_broke: Whether the server's connection broke.
    """

    def __init__(
        self, *, sock: socket.socket, early: bytes, target: socket.socket
    ):
        self.relayed_bytes = 0
        self.server_broke = False
        self._pings = 0
        self._sock = sock
        self._early = early
        self._target = target
        self._turns = turns.Turns()
        self._proto = server.ServerProtocol(max_size=_MAX_FRAME_BYTES)
        # Two greenlets send; a frame must not be cut in two.
        self._sending = lock.BoundedSemaphore()

    def run(self, request: server_transport.Request) -> None:
        """Relays bytes until either side ends.

        Args:
            request: The request that the tunnel begins with.
        """
        if not self._accept(request):
            return
        self._sock.settimeout(_IDLE_TIMEOUT_S)
        self._target.settimeout(_IDLE_TIMEOUT_S)
        downward = gevent.spawn(self._relay_down)
        try:
            self._relay_up()
            if self.server_broke:
                # What the server has sent before is passed on.
                downward.join()
        finally:
            # The user of the tunnel has ended it, or the server has.
            downward.kill()
            self._target.close()

    def announce_stop(self) -> None:
        """Tells the other side that no further request may use the tunnel."""
        try:
            self._proto.send_text(_STOPPING.encode())
            self._send()
        except (OSError, exceptions.WebSocketException):
            # It has ended, so that no request can use it.
            return

    def _accept(self, request: server_transport.Request) -> bool:
        self._proto.receive_data(_encode_head(request))
        for event in self._proto.events_received():
            if isinstance(event, http11.Request):
                self._proto.send_response(self._proto.accept(event))
        self._send()
        if self._proto.state is not protocol.State.OPEN:
            return False
        self._feed(self._early)
        return True

    def _relay_up(self) -> None:
        """Passes the other instance's bytes to the server."""
        try:
            while data := self._sock.recv(_READ_BYTES):
                self._turns.record(len(data) + turns.PART_COST)
                self._feed(data)
                if self._proto.parser_exc is not None:
                    return
        except OSError:
            # The other instance is gone, or the downward direction has ended.
            return

    def _feed(self, data: bytes) -> None:
        if data:
            self._proto.receive_data(data)
        for event in self._proto.events_received():
            if not isinstance(event, frames.Frame):
                continue
            if event.opcode is frames.Opcode.BINARY:
                self.relayed_bytes += len(event.data)
                self._send_to_server(event.data)
            elif event.opcode is frames.Opcode.PING:
                self._count_ping()

    def _send_to_server(self, data: bytes) -> None:
        """Sends data to the server.

        The kernel reports a reset once: if it is seen here, the other direction
        finds an orderly end of the server's data.
        """
        try:
            self._target.sendall(data)
        except OSError as exc:
            self.server_broke = not polling.is_own_timeout(exc)
            raise

    def _count_ping(self) -> None:
        """Ends a tunnel whose answers to pings would fill the memory.

        Raises:
            ConnectionAbortedError: There are too many.
        """
        self._pings += 1
        if self._pings > _MAX_PINGS:
            raise ConnectionAbortedError(f"more than {_MAX_PINGS} pings")

    def _relay_down(self) -> None:
        """Passes the server's bytes to the other instance."""
        end = End.BROKEN
        try:
            while data := self._receive():
                self._turns.record(len(data) + turns.PART_COST)
                self.relayed_bytes += len(data)
                self._proto.send_binary(data)
                self._send()
            if not self.server_broke:
                end = End.CLOSED
        except (OSError, exceptions.WebSocketException):
            # The other side is gone.
            return
        try:
            self._proto.send_close(end)
            self._send()
            self._sock.shutdown(socket.SHUT_RDWR)
        except (OSError, exceptions.WebSocketException):
            # The other side is gone.
            return

    def _receive(self) -> bytes:
        """Waits for data of the server; empty at the end of its connection."""
        try:
            return self._target.recv(_READ_BYTES)
        except OSError:
            self.server_broke = True
            return b""

    def _send(self) -> None:
        with self._sending:
            _flush(self._proto, self._sock)


def _flush(proto: protocol.Protocol, sock: socket.socket) -> None:
    for data in proto.data_to_send():
        if data:
            sock.sendall(data)


def _encode_head(request: server_transport.Request) -> bytes:
    """Encodes a parsed request head again."""
    lines = [f"{request.method} {request.target} HTTP/1.1".encode()]
    lines += [b"%s: %s" % pair for pair in request.headers]
    return b"\r\n".join([*lines, b"", b""])
