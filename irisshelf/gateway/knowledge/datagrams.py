"""Datagrams of CBOR between instances, over one socket for all their kinds."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import cbor2
import gevent
from gevent import socket

from irisshelf.observe import decision_log

# One Ethernet frame, less the headers.
MAX_DATAGRAM_BYTES = 1400
_PAUSE_S = 0.25


class Kind(enum.IntEnum):
    """What a datagram is about; its first byte."""

    SERVER_FACTS = 1
    STORE_UPDATE = 2
    CRASHES = 3


class Datagrams:
    """Sends datagrams, and hands out those that come.

    Args:
        address: Where to listen, IP number and port.
        log: Takes what goes wrong.
    """

    def __init__(self, *, address: str, log: decision_log.DecisionLog):
        host, _, port = address.rpartition(":")
        self._log = log
        self._handlers: dict[int, Callable[[Any], None]] = {}
        self._logged_kinds: set[int | None] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def subscribe(self, kind: Kind, taker: Callable[[Any], None]) -> None:
        """Names who takes a kind of datagram.

        Args:
            kind: The kind.
            taker: Takes the decoded content; raises ValueError or TypeError if
                it is not what it should be.
        """
        self._handlers[kind] = taker

    def send(self, address: str, data: bytes) -> None:
        """Sends what ``encode`` returned; it may be lost."""
        host, _, port = address.rpartition(":")
        try:
            self._sock.sendto(data, (host, int(port)))
        except OSError:
            # As good as lost on the way, which is borne anyway.
            return

    def dispatch(self, data: bytes) -> None:
        """Takes one datagram."""
        kind = data[0] if data else None
        taker = self._handlers.get(kind)
        try:
            if taker is None:
                raise ValueError(f"kind {kind!r}, allowed: {list(Kind)}")
            taker(cbor2.loads(data[1:]))
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            if kind not in self._logged_kinds:
                # Said once a kind: a stranger may send any number of them.
                self._logged_kinds.add(kind)
                self._log.problem("news_unreadable", detail=str(exc))

    def run(self) -> None:
        """Takes datagrams as long as the process lives."""
        while True:
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as exc:
                # A refusal from a port that is closed now; others go on.
                self._log.problem("news_not_received", detail=str(exc))
                gevent.sleep(_PAUSE_S)
                continue
            self.dispatch(data)


def encode(kind: Kind, content: Any) -> bytes:
    """Returns a datagram's bytes."""
    return bytes([kind]) + cbor2.dumps(content)
