"""Facts about backend servers, exchanged between instances as datagrams.

Each instance sends what it has just learnt from servers' responses to the
leader of its data centre, as a CBOR datagram. The leader batches these facts
and sends them to all instances of its data centre, and to one instance of each
other data centre, at most four times a second. So the number of datagrams grows
linearly with the number of instances, not quadratically. A lost datagram is
superseded by the next facts about the same server. That a server leaves is sent
twice, as no further fact about it may follow.
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
from irisshelf.routing.direct import slowdown as slowdown_module

# Responses take about a second; batched facts are a fraction of that old.
_TICK_S = 0.25
_MAX_LOADS = 40
_MAX_COLD_STARTS = 20
_MAX_PAUSES = 20
_MAX_LEAVING = 20
_MAX_EXITED = 20
_LEAVING_SENDS = 2
# Upper bounds of encoded sizes: the header, a load (a cold start, a pause and a
# leaving server take no more), its slowdown, a prompt part, and a server's key
# before its first part.
_HEADER_BYTES = 60
_LOAD_BYTES = 16
_SLOWDOWN_BYTES = 3
_PART_BYTES = 6
_SERVER_BYTES = 9
# Parts queued for the next datagrams; beyond this the oldest are dropped.
_MAX_QUEUED_PARTS = 1000
# Stands for the slowdown of a server that reports none.
_NO_SLOWDOWN = 0
# Facts older than this indicate a faulty clock or link, and are dropped.
_MAX_AGE_MS = 5000
# A server with a negative load would attract all requests.
_Work = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Ms = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
_MAX_PERCENT = slowdown_module.to_percent(slowdown_module.MAX_SLOWDOWN)
_Percent = Annotated[int, msgspec.Meta(ge=_NO_SLOWDOWN, le=_MAX_PERCENT)]

_T = TypeVar("_T")


class _Hop(enum.IntEnum):
    """Stage of a message's route, and so what its receiver does with it.

    Attributes:
        TO_LEADER: For the leader, which batches the facts for its whole data
            centre. Any other receiver forwards the message to the leader.
        FORWARDED: For the leader too, but already forwarded once.
        TO_ALL: From the leader to all instances, which do not forward it.
    """

    TO_LEADER = 0
    FORWARDED = 1
    TO_ALL = 2


class _Message(msgspec.Struct, array_like=True):
    data_centre: str
    hop: _Hop
    # Server's key, work (see ``facts.ServerLoad``), age in ms.
    loads: list[tuple[bytes, _Work, int]] = []
    # Server's key, and the keys of the prompt parts in its cache.
    cached_parts: dict[bytes, list[bytes]] = {}
    # Server's key, and the remaining time of its cold start in ms.
    cold_starts: list[tuple[bytes, _Ms]] = []
    # Server's key, and for how long it accepts no requests in ms.
    pauses: list[tuple[bytes, _Ms]] = []
    # Keys of servers that leave.
    leaving: list[bytes] = []
    # Keys of servers whose processes have exited, and whether the next ones
    # accept requests.
    exited: list[tuple[bytes, bool]] = []
    # Slowdowns in percent of the servers in ``loads``, in the same order; empty
    # if none of them reports one. Earlier builds ignore this list and send
    # messages without it.
    slowdowns: list[_Percent] = []


class _Outbox:
    """Queue of facts to be sent."""

    def __init__(self):
        self.loads: dict[bytes, facts.ServerLoad] = {}
        self.cached_parts: collections.deque[facts.PartCached] = (
            collections.deque(maxlen=_MAX_QUEUED_PARTS)
        )
        self.cold_starts: dict[bytes, facts.ServerCold] = {}
        self.pauses: dict[bytes, facts.ServerPause] = {}
        # How often each is still to be sent.
        self.leaving: dict[bytes, int] = {}
        self.exited: dict[bytes, bool] = {}

    def __bool__(self) -> bool:
        return bool(
            self.loads
            or self.cached_parts
            or self.cold_starts
            or self.pauses
            or self.leaving
            or self.exited
        )

    @functools.singledispatchmethod
    def add(self, fact: facts.Fact) -> None:
        """Queues a fact; of the loads of a server only the latest is kept."""
        raise TypeError(f"fact is {fact!r}, allowed: {facts.Fact}")

    @add.register
    def _(self, fact: facts.ServerLoad) -> None:
        known = self.loads.get(fact.server)
        if known is None or known.at_s < fact.at_s:
            self.loads[fact.server] = fact

    @add.register
    def _(self, fact: facts.PartCached) -> None:
        self.cached_parts.append(fact)

    @add.register
    def _(self, fact: facts.ServerCold) -> None:
        self.cold_starts[fact.server] = fact

    @add.register
    def _(self, fact: facts.ServerPause) -> None:
        self.pauses[fact.server] = fact

    @add.register
    def _(self, fact: facts.ServerLeaving) -> None:
        self.leaving[fact.server] = _LEAVING_SENDS

    @add.register
    def _(self, fact: facts.ServerExited) -> None:
        self.exited[fact.server] = fact.returned

    def all(self) -> list[facts.Fact]:
        """Returns all queued facts."""
        return [
            *self.loads.values(),
            *self.cached_parts,
            *self.cold_starts.values(),
            *self.pauses.values(),
            *(facts.ServerLeaving(server=key) for key in self.leaving),
            *(
                facts.ServerExited(server=key, returned=returned)
                for key, returned in self.exited.items()
            ),
        ]

    def pop_message(self, data_centre: str, hop: _Hop) -> _Message:
        """Dequeues as many facts as fit into one datagram."""
        now = boottime.now()
        loads = _dequeue(self.loads, _MAX_LOADS)
        cold_starts = _dequeue(self.cold_starts, _MAX_COLD_STARTS)
        pauses = _dequeue(self.pauses, _MAX_PAUSES)
        leaving = list(self.leaving)[:_MAX_LEAVING]
        for key in leaving:
            self._count_sent(key)
        exited = list(self.exited.items())[:_MAX_EXITED]
        for key, _ in exited:
            del self.exited[key]
        count = sum(map(len, (loads, cold_starts, pauses, leaving, exited)))
        remaining_bytes = datagrams_module.MAX_DATAGRAM_BYTES - _HEADER_BYTES
        remaining_bytes -= _LOAD_BYTES * count
        slowdowns = _encode_slowdowns(loads)
        remaining_bytes -= _SLOWDOWN_BYTES * len(slowdowns)
        cached_parts: dict[bytes, list[bytes]] = {}
        while (
            self.cached_parts and remaining_bytes >= _PART_BYTES + _SERVER_BYTES
        ):
            cached = self.cached_parts.popleft()
            remaining_bytes -= _PART_BYTES
            if cached.server not in cached_parts:
                remaining_bytes -= _SERVER_BYTES
            cached_parts.setdefault(cached.server, []).append(cached.part)
        return _Message(
            data_centre=data_centre,
            hop=hop,
            loads=[
                (n.server, n.work, max(0, int((now - n.at_s) * 1000)))
                for n in loads
            ],
            cached_parts=cached_parts,
            cold_starts=[
                (c.server, _remaining_ms(c.until_s, now)) for c in cold_starts
            ],
            pauses=[(p.server, _remaining_ms(p.until_s, now)) for p in pauses],
            leaving=leaving,
            exited=exited,
            slowdowns=slowdowns,
        )

    def _count_sent(self, key: bytes) -> None:
        self.leaving[key] -= 1
        if not self.leaving[key]:
            del self.leaving[key]


class FactGossip:
    """Exchanges facts with other instances.

    Args:
        datagrams: Carries the messages.
        membership: The other instances.
        on_fact: Called with each fact that another instance has sent.
        rng: Chooses the receivers in other data centres.
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
        # Facts from the own data centre, and from other data centres.
        self._local = _Outbox()
        self._remote = _Outbox()
        datagrams.subscribe(datagrams_module.Kind.SERVER_FACTS, self.receive)

    def run(self) -> None:
        """Sends queued facts until the greenlet is killed."""
        while True:
            gevent.sleep(_TICK_S)
            self.flush()

    def publish(self, fact: facts.Fact) -> None:
        """Queues a fact that this instance has just learnt."""
        self._local.add(fact)

    def flush(self) -> None:
        """Sends one datagram of queued facts per receiver, if there are any."""
        now = boottime.now()
        leader = self._membership.leader(now)
        if leader is not None:
            self._send_facts(self._local, _Hop.TO_LEADER, [leader])
            # Remote facts that were queued while this instance was the leader.
            self._send_facts(self._remote, _Hop.FORWARDED, [leader])
            return
        members = self._membership.members(
            self._membership.own.data_centre, now
        )
        everyone = [member for member, _ in members]
        remote = self._one_per_remote_data_centre()
        self._send_facts(self._remote, _Hop.TO_ALL, everyone)
        self._send_facts(self._local, _Hop.TO_ALL, everyone, remote=remote)

    def receive(self, content: Any) -> None:
        """Handles the content of a datagram.

        Raises:
            ValueError: The content is not a valid message.
        """
        message = msgspec.convert(content, _Message)
        is_local = message.data_centre == self._membership.own.data_centre
        received = _decode(message)
        for fact in received:
            self._on_fact(fact)
        if message.hop is _Hop.TO_ALL:
            return
        leader = self._membership.leader(boottime.now())
        if leader is None:
            outbox = self._local if is_local else self._remote
            for fact in received:
                outbox.add(fact)
        elif message.hop is _Hop.TO_LEADER:
            message.hop = _Hop.FORWARDED
            self._datagrams.send(leader.address, _encode(message))

    def _send_facts(
        self,
        outbox: _Outbox,
        hop: _Hop,
        members: list[membership_module.Member],
        *,
        remote: Sequence[membership_module.Member] = (),
    ) -> None:
        if not outbox:
            return
        message = outbox.pop_message(self._membership.own.data_centre, hop)
        data = _encode(message)
        for member in members:
            self._datagrams.send(member.address, data)
        message.hop = _Hop.TO_LEADER
        data = _encode(message)
        for member in remote:
            self._datagrams.send(member.address, data)

    def _one_per_remote_data_centre(self) -> list[membership_module.Member]:
        """Picks one instance of each other data centre at random."""
        by_data_centre: dict[str, list[membership_module.Member]] = {}
        for member in self._membership.remote_members(boottime.now()):
            by_data_centre.setdefault(member.data_centre, []).append(member)
        return [self._rng.choice(group) for group in by_data_centre.values()]


def _dequeue(queued: dict[bytes, _T], limit: int) -> list[_T]:
    """Removes and returns the oldest facts, at most ``limit`` of them."""
    return [queued.pop(server) for server in list(queued)[:limit]]


def _remaining_ms(until_s: float, now: float) -> int:
    return max(0, int((until_s - now) * 1000))


def _encode_slowdowns(loads: Sequence[facts.ServerLoad]) -> list[int]:
    """Returns ``_Message.slowdowns`` for the loads of a message."""
    if all(load.slowdown is None for load in loads):
        return []
    return [
        _NO_SLOWDOWN
        if load.slowdown is None
        else slowdown_module.to_percent(load.slowdown)
        for load in loads
    ]


def _decode_slowdowns(message: _Message) -> list[float | None]:
    """Returns the slowdown for each load of a message; None if unknown.

    Raises:
        ValueError: Their number is not that of the loads.
    """
    if not message.slowdowns:
        return [None] * len(message.loads)
    if len(message.slowdowns) != len(message.loads):
        raise ValueError(
            f"number of slowdowns is {len(message.slowdowns)}, "
            f"allowed: 0 or {len(message.loads)}, that of the loads"
        )
    return [
        None
        if percent == _NO_SLOWDOWN
        else slowdown_module.from_percent(percent)
        for percent in message.slowdowns
    ]


def _encode(message: _Message) -> bytes:
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return datagrams_module.encode(datagrams_module.Kind.SERVER_FACTS, content)


def _decode(message: _Message) -> list[facts.Fact]:
    decoded = _Outbox()
    now = boottime.now()
    slowdowns = _decode_slowdowns(message)
    for (server, work, age_ms), slowdown in zip(
        message.loads, slowdowns, strict=True
    ):
        if 0 <= age_ms <= _MAX_AGE_MS:
            decoded.add(
                facts.ServerLoad(
                    server=server,
                    work=work,
                    at_s=now - age_ms / 1000,
                    slowdown=slowdown,
                )
            )
    for server, parts in message.cached_parts.items():
        for part in parts:
            decoded.add(facts.PartCached(server=server, part=part))
    for server, remaining_ms in message.cold_starts:
        until_s = now + remaining_ms / 1000
        decoded.add(facts.ServerCold(server=server, until_s=until_s))
    for server, remaining_ms in message.pauses:
        until_s = now + remaining_ms / 1000
        decoded.add(facts.ServerPause(server=server, until_s=until_s))
    for server in message.leaving:
        decoded.add(facts.ServerLeaving(server=server))
    for server, returned in message.exited:
        decoded.add(facts.ServerExited(server=server, returned=returned))
    return decoded.all()
