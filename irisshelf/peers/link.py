"""A websocket between two instances, over gevent sockets.

The ``websockets`` library's Sans-I/O layer speaks the protocol; this module
moves its bytes. Frames are bounded; a peer that is silent, floods or sends
garbage loses the link.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from collections.abc import Iterator

from gevent import socket
from gevent import ssl
from websockets import client
from websockets import datastructures
from websockets import exceptions
from websockets import frames
from websockets import http11
from websockets import protocol
from websockets import server
from websockets import uri

from irisshelf.coordination import gossip_messages
from irisshelf.peers import errors
from irisshelf.peers import tls
from irisshelf.transport import turns

PATH = "/link"
CONNECT_S = 1.0
IDLE_S = 15.0
_READ_BYTES = 16_384
_SECRET_HEADER = "Authorization"
_BROKEN = (OSError, exceptions.WebSocketException, exceptions.InvalidState)


class Link:
    """An open link. One greenlet reads, any may send.

    Args:
        sock: The connected socket.
        proto: The protocol's state.
    """

    def __init__(self, *, sock: socket.socket, proto: protocol.Protocol):
        self._sock = sock
        self._proto = proto
        self._turns = turns.Turns()
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, data: bytes) -> None:
        """Sends one message.

        Raises:
            errors.LinkError: The link is broken.
        """
        try:
            self._proto.send_binary(data)
            self._flush()
        except _BROKEN as exc:
            raise errors.LinkError(str(exc)) from exc

    def messages(self) -> Iterator[bytes]:
        """Yields messages until the link ends.

        Raises:
            errors.LinkError: The peer broke the protocol or fell silent.
        """
        while True:
            yield from self._events()
            try:
                data = self._sock.recv(_READ_BYTES)
            except _BROKEN as exc:
                raise errors.LinkError(str(exc)) from exc
            self._take(data)
            if not data:
                return
            self._turns.record(len(data) + turns.PART_COST)

    def close(self) -> None:
        """Ends the link."""
        self._sock.close()

    def _events(self) -> Iterator[bytes]:
        for event in self._proto.events_received():
            if not isinstance(event, frames.Frame):
                continue
            if event.opcode is not frames.Opcode.BINARY or not event.fin:
                if event.opcode in frames.CTRL_OPCODES:
                    continue
                raise errors.LinkError(f"frame is {event.opcode.name}")
            yield bytes(event.data)

    def _take(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if data:
            self._proto.receive_data(data)
        else:
            self._proto.receive_eof()
        try:
            self._flush()
        except _BROKEN as exc:
            raise errors.LinkError(str(exc)) from exc
        if self._proto.parser_exc is not None:
            raise errors.LinkError(str(self._proto.parser_exc))

    def _flush(self) -> None:
        for chunk in self._proto.data_to_send():
            if chunk:
                self._sock.sendall(chunk)
                self.sent_bytes += len(chunk)


def connect(
    address: str, *, secret: str, context: ssl.SSLContext | None = None
) -> Link:
    """Opens a link to a peer.

    Args:
        address: IP number and port.
        secret: What all instances of the fleet know.
        context: For TLS with mutual certificates; None for plain TCP.

    Returns:
        The open link.

    Raises:
        errors.LinkError: The peer cannot be reached or refuses.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout=CONNECT_S)
        if context is not None:
            sock = context.wrap_socket(sock, server_hostname=tls.SERVER_NAME)
    except (OSError, ValueError) as exc:
        raise errors.LinkError(f"cannot connect to {address}: {exc}") from exc
    proto = client.ClientProtocol(
        uri.parse_uri(f"ws://{address}{PATH}"),
        max_size=gossip_messages.MAX_BYTES,
    )
    request = proto.connect()
    request.headers[_SECRET_HEADER] = f"Bearer {secret}"
    opened = Link(sock=sock, proto=proto)
    try:
        _ask(opened, proto, request, sock)
    except (*_BROKEN, errors.LinkError) as exc:
        sock.close()
        raise errors.LinkError(f"{address}: {exc}") from exc
    sock.settimeout(IDLE_S)
    return opened


def _ask(
    opened: Link,
    proto: client.ClientProtocol,
    request: http11.Request,
    sock: socket.socket,
) -> None:
    """Makes the client's side of the handshake.

    Raises:
        errors.LinkError: The peer refuses or hangs up.
    """
    proto.send_request(request)
    opened._flush()
    while proto.state is protocol.State.CONNECTING:
        data = sock.recv(_READ_BYTES)
        opened._take(data)
        if proto.handshake_exc is not None:
            raise errors.LinkError(str(proto.handshake_exc))
        if not data:
            raise errors.LinkError("the peer closed the handshake")


def accept(
    sock: socket.socket,
    *,
    secret: str,
    refused: Callable[[str], None],
    context: ssl.SSLContext | None = None,
) -> Link | None:
    """Answers a peer's handshake on an accepted socket.

    Args:
        sock: The accepted socket.
        secret: What all instances of the fleet know.
        refused: Told why a peer was refused.
        context: For TLS with mutual certificates; None for plain TCP.

    Returns:
        The open link, or None if the peer was refused.
    """
    sock.settimeout(CONNECT_S)
    if context is not None:
        try:
            sock = context.wrap_socket(sock, server_side=True)
        except OSError as exc:
            refused(f"TLS: {exc}")
            return None
    proto = server.ServerProtocol(max_size=gossip_messages.MAX_BYTES)
    opened = Link(sock=sock, proto=proto)
    try:
        problem = _hear(opened, proto, sock, secret)
    except _BROKEN as exc:
        problem = str(exc)
    if problem:
        refused(problem)
        return None
    sock.settimeout(IDLE_S)
    return opened


def _hear(
    opened: Link,
    proto: server.ServerProtocol,
    sock: socket.socket,
    secret: str,
) -> str:
    """Makes the server's side of the handshake; returns what is wrong."""
    while proto.state is protocol.State.CONNECTING:
        data = sock.recv(_READ_BYTES)
        if not data:
            return "closed in the handshake"
        opened.received_bytes += len(data)
        proto.receive_data(data)
        for event in proto.events_received():
            if isinstance(event, http11.Request):
                _answer(proto, event, secret)
        opened._flush()
        if proto.handshake_exc is not None:
            return str(proto.handshake_exc)
    if proto.state is protocol.State.CLOSED:
        return "handshake refused"
    return ""


def _answer(
    proto: server.ServerProtocol, request: http11.Request, secret: str
) -> None:
    if request.path != PATH or not _knows(request.headers, secret):
        response = proto.reject(403, "unknown peer\n")
    else:
        response = proto.accept(request)
    proto.send_response(response)


def _knows(headers: datastructures.Headers, secret: str) -> bool:
    given = headers.get(_SECRET_HEADER, "")
    return hmac.compare_digest(given.encode(), f"Bearer {secret}".encode())
