"""Facts about backend servers, exchanged between instances as datagrams.

Each instance sends what it has just learnt from servers' answers to the first
instance of its data centre, as a datagram of CBOR. That one gathers, tells all
of its data centre, and one instance of each other data centre, four times a
second at the most. So datagrams grow with the instances, not with their
square. A lost one is made good by the next facts about the same server.
"""

from __future__ import annotations

import collections
import enum
import functools
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import TypeVar

import gevent
import msgspec

from irisshelf import boottime
from irisshelf.coordination import facts
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway.knowledge import datagrams as datagrams_module

# Answers last a second or so; what is told is a fraction of that old.
_TICK_S = 0.25
_MOST_LOADS = 40
_MOST_COLDS = 20
_MOST_PAUSES = 20
# Bytes of a datagram by what it holds, at the most: its head, a load, a part of
# a prompt, and its server's key where that is the first of the server's.
_HEAD_BYTES = 60
_LOAD_BYTES = 16
_PART_BYTES = 6
_SERVER_BYTES = 9
# Parts that may wait for the next datagram; the oldest are dropped.
_MOST_WAITING = 1000
# Facts are older than this only if something is wrong with a clock or a link.
_OLDEST_MS = 5000
# A server with less than no work would draw all requests.
_Work = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Ms = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]

_T = TypeVar("_T")


class _Hop(enum.IntEnum):
    """How a message has come so far."""

    TO_RELAY = 0
    FORWARDED = 1
    TO_ALL = 2


class _Message(msgspec.Struct, array_like=True):
    data_centre: str
    hop: _Hop
    # Server's key, work, age in ms.
    loads: list[tuple[bytes, _Work, int]] = []
    # Server's key and the keys of the parts of prompts that it has read.
    holds: dict[bytes, list[bytes]] = {}
    # Server's key, and how long it stays cold in ms.
    colds: list[tuple[bytes, _Ms]] = []
    # Server's key, and for how long it takes no requests in ms.
    pauses: list[tuple[bytes, _Ms]] = []


class _Outbox:
    """Facts that wait to be sent."""

    def __init__(self):
        self.loads: dict[bytes, facts.ServerLoad] = {}
        self.holds: collections.deque[facts.PartCached] = collections.deque(
            maxlen=_MOST_WAITING
        )
        self.colds: dict[bytes, facts.ServerCold] = {}
        self.pauses: dict[bytes, facts.ServerPause] = {}

    def __bool__(self) -> bool:
        return bool(self.loads or self.holds or self.colds or self.pauses)

    @functools.singledispatchmethod
    def add(self, fact: facts.Fact) -> None:
        """Takes a fact; of loads the latest of each server."""
        raise TypeError(f"fact is {fact!r}, allowed: {facts.Fact}")

    @add.register
    def _(self, fact: facts.ServerLoad) -> None:
        known = self.loads.get(fact.server)
        if known is None or known.at_s < fact.at_s:
            self.loads[fact.server] = fact

    @add.register
    def _(self, fact: facts.PartCached) -> None:
        self.holds.append(fact)

    @add.register
    def _(self, fact: facts.ServerCold) -> None:
        self.colds[fact.server] = fact

    @add.register
    def _(self, fact: facts.ServerPause) -> None:
        self.pauses[fact.server] = fact

    def all(self) -> list[facts.Fact]:
        """Returns all facts."""
        return [
            *self.loads.values(),
            *self.holds,
            *self.colds.values(),
            *self.pauses.values(),
        ]

    def take(self, data_centre: str, hop: _Hop) -> _Message:
        """Takes what fits into a datagram; the rest waits for the next."""
        now = boottime.now()
        loads = _take(self.loads, _MOST_LOADS)
        colds = _take(self.colds, _MOST_COLDS)
        pauses = _take(self.pauses, _MOST_PAUSES)
        count = len(loads) + len(colds) + len(pauses)
        left_bytes = datagrams_module.MAX_DATAGRAM_BYTES - _HEAD_BYTES
        left_bytes -= _LOAD_BYTES * count
        holds: dict[bytes, list[bytes]] = {}
        while self.holds and left_bytes >= _PART_BYTES + _SERVER_BYTES:
            held = self.holds.popleft()
            left_bytes -= _PART_BYTES
            if held.server not in holds:
                left_bytes -= _SERVER_BYTES
            holds.setdefault(held.server, []).append(held.part)
        return _Message(
            data_centre=data_centre,
            hop=hop,
            loads=[
                (n.server, n.work, max(0, int((now - n.at_s) * 1000)))
                for n in loads
            ],
            holds=holds,
            colds=[(c.server, _left_ms(c.until_s, now)) for c in colds],
            pauses=[(p.server, _left_ms(p.until_s, now)) for p in pauses],
        )


class FactGossip:
    """Sends and takes facts.

    Args:
        datagrams: Carries facts.
        membership: The other instances.
        on_fact: Takes what another instance tells.
        rng: Chooses whom to tell in other data centres.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams_module.Datagrams,
        membership: membership_module.Membership,
        on_fact: Callable[[facts.Fact], None],
        rng: random.Random,
    ):
        self._datagrams = datagrams
        self._membership = membership
        self._on_fact = on_fact
        self._rng = rng
        # What comes from the own data centre, and what from elsewhere.
        self._own = _Outbox()
        self._foreign = _Outbox()
        datagrams.subscribe(datagrams_module.Kind.SERVER_FACTS, self.receive)

    def run(self) -> None:
        """Sends facts as long as the process lives."""
        while True:
            gevent.sleep(_TICK_S)
            self.flush()

    def publish(self, fact: facts.Fact) -> None:
        """Takes what this instance has just learnt."""
        self._own.add(fact)

    def flush(self) -> None:
        """Sends the facts taken since the last time, if there are any."""
        now = boottime.now()
        first = self._membership.leader(now)
        if first is not None:
            self._send_facts(self._own, _Hop.TO_RELAY, [first])
            # Facts for others that came while this instance was the first.
            self._send_facts(self._foreign, _Hop.FORWARDED, [first])
            return
        members = self._membership.members(
            self._membership.own.data_centre, now
        )
        everyone = [member for member, _ in members]
        elsewhere = self._one_elsewhere()
        self._send_facts(self._foreign, _Hop.TO_ALL, everyone)
        self._send_facts(self._own, _Hop.TO_ALL, everyone, abroad=elsewhere)

    def receive(self, content: Any) -> None:
        """Takes what a datagram holds.

        Raises:
            ValueError: It holds no facts.
        """
        message = msgspec.convert(content, _Message)
        at_home = message.data_centre == self._membership.own.data_centre
        told = _decode(message)
        for fact in told:
            self._on_fact(fact)
        if message.hop is _Hop.TO_ALL:
            return
        first = self._membership.leader(boottime.now())
        if first is None:
            outbox = self._own if at_home else self._foreign
            for fact in told:
                outbox.add(fact)
        elif message.hop is _Hop.TO_RELAY:
            message.hop = _Hop.FORWARDED
            self._datagrams.send(first.address, _encode(message))

    def _send_facts(
        self,
        outbox: _Outbox,
        hop: _Hop,
        members: list[membership_module.Member],
        *,
        abroad: Sequence[membership_module.Member] = (),
    ) -> None:
        if not outbox:
            return
        message = outbox.take(self._membership.own.data_centre, hop)
        data = _encode(message)
        for member in members:
            self._datagrams.send(member.address, data)
        message.hop = _Hop.TO_RELAY
        data = _encode(message)
        for member in abroad:
            self._datagrams.send(member.address, data)

    def _one_elsewhere(self) -> list[membership_module.Member]:
        """Returns one instance of each other data centre."""
        found: dict[str, list[membership_module.Member]] = {}
        for member in self._membership.remote_members(boottime.now()):
            found.setdefault(member.data_centre, []).append(member)
        return [self._rng.choice(group) for group in found.values()]


def _take(waiting: dict[bytes, _T], most: int) -> list[_T]:
    """Removes the oldest facts, so many at the most."""
    return [waiting.pop(server) for server in list(waiting)[:most]]


def _left_ms(until_s: float, now: float) -> int:
    return max(0, int((until_s - now) * 1000))


def _encode(message: _Message) -> bytes:
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return datagrams_module.encode(datagrams_module.Kind.SERVER_FACTS, content)


def _decode(message: _Message) -> list[facts.Fact]:
    found = _Outbox()
    now = boottime.now()
    for server, work, age_ms in message.loads:
        if 0 <= age_ms <= _OLDEST_MS:
            at_s = now - age_ms / 1000
            found.add(facts.ServerLoad(server=server, work=work, at_s=at_s))
    for server, parts in message.holds.items():
        for part in parts:
            found.add(facts.PartCached(server=server, part=part))
    for server, left_ms in message.colds:
        until_s = now + left_ms / 1000
        found.add(facts.ServerCold(server=server, until_s=until_s))
    for server, left_ms in message.pauses:
        until_s = now + left_ms / 1000
        found.add(facts.ServerPause(server=server, until_s=until_s))
    return found.all()
