"""CBOR datagrams between instances; one UDP socket serves all kinds."""

from __future__ import annotations

import enum
import ipaddress
from collections.abc import Callable
from typing import Any

import cbor2
import gevent
from gevent import socket

from irisshelf.observe import decision_log
from irisshelf.transport import turns

# One Ethernet frame less the headers, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1400
_RETRY_DELAY_S = 0.25
_PORT_COUNT = 65536


class Kind(enum.IntEnum):
    """Type of a datagram's content, sent as its first byte."""

    SERVER_FACTS = 1
    STORE_UPDATE = 2
    CRASHES = 3
    STREAM_ORIGINS = 4
    STREAM_QUESTIONS = 5
    DEMAND = 6
    RETURN_PLACES = 7
    RETURN_QUESTIONS = 8
    REMOTE_RETURN_PLACES = 9


class Datagrams:
    """Sends datagrams and dispatches received ones to their handlers.

    Args:
        address: IP address and port to bind to.
        log: Receives decoding and socket errors.
    """

    def __init__(self, *, address: str, log: decision_log.DecisionLog):
        host, _, port = address.rpartition(":")
        self._log = log
        self._handlers: dict[int, Callable[[Any], None]] = {}
        self._logged_kinds: set[int | None] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))
        # The same socket without time-out. On ``_sock``, gevent would let a
        # greenlet wait while the send buffer is full, as on a saturated link,
        # and raise an AssertionError in each other one that sends meanwhile.
        self._sending = self._sock.dup()
        self._sending.settimeout(0.0)

    @property
    def address(self) -> str:
        """Address that the socket is bound to."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def subscribe(self, kind: Kind, handler: Callable[[Any], None]) -> None:
        """Registers the handler for one kind of datagram.

        Args:
            kind: The kind.
            handler: Receives the decoded content; raises ValueError or
                TypeError if the content is invalid.
        """
        self._handlers[kind] = handler

    def send(self, address: str, data: bytes) -> None:
        """Sends the bytes from ``encode`` at once, or not at all.

        Delivery is not guaranteed.
        """
        host, _, port = address.rpartition(":")
        try:
            self._sending.sendto(data, (host, int(port)))
        except OSError:
            # Equivalent to a lost datagram, which receivers tolerate. This
            # includes BlockingIOError, if the send buffer is full.
            return

    def dispatch(self, data: bytes) -> None:
        """Decodes one datagram and passes it to its handler."""
        kind = data[0] if data else None
        handler = self._handlers.get(kind)
        try:
            if handler is None:
                raise ValueError(
                    f"datagram kind is {kind!r}, allowed: {list(Kind)}"
                )
            handler(cbor2.loads(data[1:]))
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            if kind not in self._logged_kinds:
                # Logged once per kind: unauthenticated senders could otherwise
                # flood the log.
                self._logged_kinds.add(kind)
                self._log.warning("datagram_unreadable", detail=str(exc))

    def run(self) -> None:
        """Receives datagrams until the greenlet is killed."""
        work = turns.Turns()
        while True:
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as exc:
                # Typically ECONNREFUSED, reported for a peer whose port is
                # closed; datagrams from other peers still arrive.
                self._log.warning("datagrams_not_received", detail=str(exc))
                gevent.sleep(_RETRY_DELAY_S)
                continue
            self.dispatch(data)
            work.record(len(data) + turns.PART_COST)


def check_address(address: str) -> None:
    """Checks an address that another instance has sent.

    Raises:
        ValueError: It is not an IP address and a port. A name is not allowed,
            as it would have to be resolved.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not port.isdecimal() or not 0 < int(port) < _PORT_COUNT:
        raise ValueError(
            f"address is {address!r}, allowed: IP address and port"
        )


def encode(kind: Kind, content: Any) -> bytes:
    """Encodes content as a datagram of the given kind."""
    return bytes([kind]) + cbor2.dumps(content)
