"""What instances tell each other of servers: loads, prompts, reach.

Each instance sends what it has just learnt from servers' answers, at most every
``_TICK_S``, as a datagram of CBOR to the instances of its data centre, and to
one of each other data centre, which passes it on to its own. A datagram that
is lost is not missed: what it told is soon told anew by someone.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random
import time
from collections.abc import Callable

import cbor2
import gevent
import msgspec
from gevent import socket

from irisshelf.coordination import roster as roster_module
from irisshelf.observe import decision_log

# Answers last a second or so; what is told is a fraction of that old.
_TICK_S = 0.25
# One Ethernet frame, less the headers.
_MOST_BYTES = 1400
_MOST_NEWS = 40
# News that may wait for the next datagram; the oldest are dropped.
_MOST_WAITING = 1000
_ID_BYTES = 5
# News are older than this only if something is wrong with a clock or a link.
_OLDEST_MS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadNews:
    """A server's own word on its load.

    Attributes:
        server: The server's key, see ``key_of``.
        work: Requests that run or wait there.
        at_s: When it said so, monotonic seconds of the reader.
    """

    server: bytes
    work: int
    at_s: float


class _Message(msgspec.Struct, array_like=True):
    data_centre: str
    pass_on: bool
    # Server's key, work, age in ms.
    loads: list[tuple[bytes, int, int]] = []
    # Keys of servers that could not be reached.
    unreachable: list[bytes] = []
    # Server's key and the keys of the parts of prompts that it has read.
    holds: dict[bytes, list[bytes]] = {}


class Board:
    """Sends and takes news.

    Args:
        address: Where to listen, IP number and port.
        roster: The other instances.
        on_load: Takes a server's load.
        on_unreachable: Takes a server that an instance of this data centre
            could not reach.
        on_holds: Takes a server's key and that of a part that it has read.
        log: Takes what goes wrong.
        rng: Chooses whom to tell in other data centres.
    """

    def __init__(
        self,
        *,
        address: str,
        roster: roster_module.Roster,
        on_load: Callable[[LoadNews], None],
        on_unreachable: Callable[[bytes], None],
        on_holds: Callable[[bytes, bytes], None],
        log: decision_log.DecisionLog,
        rng: random.Random,
    ):
        host, _, port = address.rpartition(":")
        self._roster = roster
        self._on_load = on_load
        self._on_unreachable = on_unreachable
        self._on_holds = on_holds
        self._log = log
        self._rng = rng
        self._loads: dict[bytes, LoadNews] = {}
        self._unreachable: set[bytes] = set()
        self._holds: collections.deque[tuple[bytes, bytes]] = collections.deque(
            maxlen=_MOST_WAITING
        )
        self._garbled = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def start(self) -> list[gevent.Greenlet]:
        """Begins to send and to take."""
        return [gevent.spawn(self._send_loop), gevent.spawn(self._take_loop)]

    def load(self, news: LoadNews) -> None:
        """Takes a load that this instance has just been told."""
        self._loads[news.server] = news

    def unreachable(self, server: bytes) -> None:
        """Takes a server that this instance has just failed to reach."""
        self._unreachable.add(server)

    def holds(self, server: bytes, part: bytes) -> None:
        """Takes that this instance has sent a part of a prompt to a server."""
        self._holds.append((server, part))

    def send(self) -> None:
        """Tells the news since the last time, if there are any."""
        if not self._loads and not self._unreachable and not self._holds:
            return
        now = time.monotonic()
        loads = list(self._loads.values())[-_MOST_NEWS:]
        message = _Message(
            data_centre=self._roster.own.data_centre,
            pass_on=False,
            loads=[
                (n.server, n.work, int((now - n.at_s) * 1000)) for n in loads
            ],
            unreachable=list(self._unreachable)[:_MOST_NEWS],
            holds=self._take_holds(),
        )
        self._loads.clear()
        self._unreachable.clear()
        self._tell_own(message)
        self._tell_others(message)

    def take(self, data: bytes) -> None:
        """Takes a datagram."""
        try:
            message = msgspec.convert(cbor2.loads(data), _Message)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            if not self._garbled:
                # Said once: a stranger may send any number of them.
                self._garbled = True
                self._log.problem("news_unreadable", detail=str(exc))
            return
        now = time.monotonic()
        for server, work, age_ms in message.loads:
            if 0 <= age_ms <= _OLDEST_MS:
                at_s = now - age_ms / 1000
                news = LoadNews(server=server, work=work, at_s=at_s)
                self._on_load(news)
        for server, parts in message.holds.items():
            for part in parts:
                self._on_holds(server, part)
        own = self._roster.own.data_centre
        if message.data_centre == own:
            for server in message.unreachable:
                self._on_unreachable(server)
        if message.pass_on:
            message.pass_on = False
            self._tell_own(message)

    def _take_holds(self) -> dict[bytes, list[bytes]]:
        """Takes what fits into a datagram; the rest waits for the next."""
        taken: dict[bytes, list[bytes]] = {}
        for _ in range(min(_MOST_NEWS, len(self._holds))):
            server, part = self._holds.popleft()
            taken.setdefault(server, []).append(part)
        return taken

    def _tell_own(self, message: _Message) -> None:
        data = _encode(message)
        now = time.monotonic()
        own = self._roster.own.data_centre
        for member, _ in self._roster.members(own, now):
            self._send_to(member.address, data)

    def _tell_others(self, message: _Message) -> None:
        message.pass_on = True
        message.unreachable = []
        if not message.loads and not message.holds:
            return
        data = _encode(message)
        for member in self._one_elsewhere():
            self._send_to(member.address, data)

    def _one_elsewhere(self) -> list[roster_module.Member]:
        """Returns one instance of each other data centre."""
        found: dict[str, list[roster_module.Member]] = {}
        for member in self._roster.elsewhere(time.monotonic()):
            found.setdefault(member.data_centre, []).append(member)
        return [self._rng.choice(group) for group in found.values()]

    def _send_to(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            self._sock.sendto(data, (host, int(port)))
        except OSError:
            # As good as lost on the way, which is borne anyway.
            return

    def _send_loop(self) -> None:
        while True:
            gevent.sleep(_TICK_S)
            self.send()

    def _take_loop(self) -> None:
        while True:
            try:
                data, _ = self._sock.recvfrom(_MOST_BYTES + 1)
            except OSError as exc:
                # A refusal from a port that is closed now; others go on.
                self._log.problem("news_not_received", detail=str(exc))
                gevent.sleep(_TICK_S)
                continue
            self.take(data)


def key_of(server_id: str) -> bytes:
    """Returns the short name of a server in datagrams."""
    return hashlib.blake2b(server_id.encode(), digest_size=_ID_BYTES).digest()


def _encode(message: _Message) -> bytes:
    return cbor2.dumps(
        [
            message.data_centre,
            message.pass_on,
            message.loads,
            message.unreachable,
            message.holds,
        ]
    )
