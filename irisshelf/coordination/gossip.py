"""What instances tell each other: who lives, how loaded, which bundle.

Each instance keeps one record of itself and makes it newer every tick. A tick
sends the freshest records to a partner in the data centre, chosen at random.
The first few instances of a data centre
by name's rank, no one special, also exchange sums with another data centre.

An instance whose record has not become newer for ``SUSPECT_S`` is suspect,
after ``DEAD_S`` it is dead, to this observer alone: no observer throws
another out. A paused instance that comes back is alive again with its next
record. A restart has a higher incarnation; an old life's records are ignored.

Promise: no message exceeds ``MAX_RECORDS`` records and no instance sends more
than its byte budget. Not promised: that two instances have the same view.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Sequence

from irisshelf.coordination import gossip_messages as messages
from irisshelf.routing import context

TICK_S = 0.5
SUSPECT_S = 2.5
DEAD_S = 3.0
FORGET_S = 60.0
MAX_RECORDS = 12
MAX_SUMMARIES = 4
REPRESENTATIVES = 2
SUMMARY_OLD_S = 10.0
BUDGET_BYTES_PER_S = 1400.0  # Of 2 KB/s; the rest is polls and probes.
_BURST_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Another instance as the platform's list knows it."""

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outgoing:
    """A message to send to a peer."""

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Held:
    record: messages.Record
    heard_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _HeldSummary:
    summary: messages.Summary
    heard_s: float


class Budget:
    """Bytes that may be sent, as a token bucket.

    Args:
        bytes_per_s: Rate.
    """

    def __init__(self, *, bytes_per_s: float = BUDGET_BYTES_PER_S):
        self._rate = bytes_per_s
        self._left = bytes_per_s * _BURST_S
        self._at_s: float | None = None

    def has_room(self, now: float) -> bool:
        """Tells whether anything may be sent now."""
        if self._at_s is not None:
            grown = self._left + (now - self._at_s) * self._rate
            self._left = min(self._rate * _BURST_S, grown)
        self._at_s = now
        return self._left > 0

    def spend(self, size: int) -> None:
        """Counts bytes that were sent."""
        self._left -= size


class Gossip:
    """One instance's side of the exchange.

    Args:
        name: This instance.
        data_centre: Where it stands.
        incarnation: Grows with each start, such as the wall clock in
            milliseconds.
        rng: Chooses partners.
        budget: Bytes that may be sent.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        incarnation: int,
        rng: random.Random,
        budget: Budget,
    ):
        self.name = name
        self.data_centre = data_centre
        self.conflicts = 0
        self._rng = rng
        self._budget = budget
        self._peers: dict[str, Peer] = {}
        self._held: dict[str, _Held] = {}
        self._summaries: dict[str, _HeldSummary] = {}
        self._head = messages.HeadHint(number=0, object_key="")
        self._own = messages.Record(
            name=name, incarnation=incarnation, beat=0, leaving=False, loads=()
        )

    @property
    def head(self) -> messages.HeadHint:
        """The highest bundle head heard of."""
        return self._head

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Takes the platform's list of instances, without this one."""
        self._peers = {peer.name: peer for peer in peers}

    def set_own(
        self,
        *,
        loads: Sequence[messages.Load],
        leaving: bool,
        head: messages.HeadHint,
    ) -> None:
        """Sets what this instance says of itself from now on."""
        self._own = dataclasses.replace(
            self._own, loads=tuple(loads), leaving=leaving
        )
        self._take_head(head)

    def tick(self, now: float) -> list[Outgoing]:
        """Makes the own record newer and sends what the budget allows."""
        self._own = dataclasses.replace(self._own, beat=self._own.beat + 1)
        self._forget(now)
        outgoing = []
        for partner in self._partners(now):
            if not self._budget.has_room(now):
                break
            # A near partner tells of itself anyway; a far one is asked.
            near = self._peers[partner].data_centre == self.data_centre
            message = self._message(now, wants_answer=not near)
            self._budget.spend(messages.size_of(message))
            outgoing.append(Outgoing(to=partner, message=message))
        return outgoing

    def receive(
        self, message: messages.Message, now: float
    ) -> messages.Message | None:
        """Takes a message; returns the answer to it, if one is due."""
        if message.sender == self.name:
            return None
        self._take_head(message.head)
        for record in message.records:
            self._take_record(record, now)
        for summary in message.summaries:
            self._take_summary(summary, now)
        if not message.wants_answer or not self._budget.has_room(now):
            return None
        answer = self._message(now, wants_answer=False)
        self._budget.spend(messages.size_of(answer))
        return answer

    def status(self, name: str, now: float) -> messages.Status:
        """Returns what this instance thinks of another one."""
        if name == self.name:
            return messages.Status.ALIVE
        held = self._held.get(name)
        if held is None:
            return messages.Status.UNKNOWN
        silent_s = now - held.heard_s
        if silent_s > DEAD_S:
            return messages.Status.DEAD
        if held.record.leaving:
            return messages.Status.LEAVING
        if silent_s > SUSPECT_S:
            return messages.Status.SUSPECT
        return messages.Status.ALIVE

    def near(self, now: float) -> list[str]:
        """Returns live instances of this data centre, with this one."""
        found = [self.name] if not self._own.leaving else []
        for name in self._held:
            if self.status(name, now) in messages.LIVE:
                found.append(name)
        return sorted(found)

    def others(self, service: str, now: float) -> messages.Load:
        """Sums what all other instances say of a service's engines.

        Other data centres count by their sums; one not heard of for
        ``SUMMARY_OLD_S`` is left out, as its engines cannot be reached or
        are not known.
        """
        loads = [
            load
            for name, held in self._held.items()
            if self.status(name, now) != messages.Status.DEAD
            for load in held.record.loads
        ]
        for held in self._summaries.values():
            if now - held.heard_s <= SUMMARY_OLD_S:
                loads += held.summary.loads
        return _sum(service, [x for x in loads if x.service == service])

    def _partners(self, now: float) -> list[str]:
        near = [
            name
            for name, peer in self._peers.items()
            if peer.data_centre == self.data_centre
            and self.status(name, now) != messages.Status.DEAD
        ]
        chosen = [self._rng.choice(sorted(near))] if near else []
        far = self._far_partner(now)
        if far is not None:
            chosen.append(far)
        dead = [
            name
            for name in self._peers
            if self.status(name, now) is messages.Status.DEAD
        ]
        if dead and self._rng.random() < TICK_S / DEAD_S:
            chosen.append(self._rng.choice(sorted(dead)))
        return chosen

    def _far_partner(self, now: float) -> str | None:
        """Another data centre's instance, if this one represents its own."""
        if self._own.beat % 2:
            return None
        ranked = sorted(
            self.near(now), key=lambda name: context.hash64(name.encode())
        )
        if self.name not in ranked[:REPRESENTATIVES]:
            return None
        far = [
            name
            for name, peer in self._peers.items()
            if peer.data_centre != self.data_centre
        ]
        return self._rng.choice(sorted(far)) if far else None

    def _message(self, now: float, *, wants_answer: bool) -> messages.Message:
        fresh = sorted(
            self._held.values(), key=lambda held: held.heard_s, reverse=True
        )
        records = [self._own]
        records += [
            held.record
            for held in fresh[: MAX_RECORDS - 1]
            if now - held.heard_s <= DEAD_S
        ]
        return messages.Message(
            version=messages.VERSION,
            sender=self.name,
            data_centre=self.data_centre,
            wants_answer=wants_answer,
            head=self._head,
            records=tuple(records),
            summaries=self._told_summaries(now),
        )

    def _told_summaries(self, now: float) -> tuple[messages.Summary, ...]:
        told = [self._own_summary(now)]
        fresh = sorted(
            self._summaries.values(), key=lambda h: h.heard_s, reverse=True
        )
        told += [
            held.summary
            for held in fresh
            if now - held.heard_s <= SUMMARY_OLD_S
        ]
        return tuple(told[:MAX_SUMMARIES])

    def _own_summary(self, now: float) -> messages.Summary:
        by_service: dict[str, list[messages.Load]] = collections.defaultdict(
            list
        )
        records = [self._own]
        records += [
            held.record
            for name, held in self._held.items()
            if self.status(name, now) != messages.Status.DEAD
        ]
        for record in records:
            for load in record.loads:
                by_service[load.service].append(load)
        return messages.Summary(
            data_centre=self.data_centre,
            beat=sum(record.beat for record in records),
            loads=tuple(
                _sum(service, loads) for service, loads in by_service.items()
            ),
        )

    def _take_head(self, head: messages.HeadHint) -> None:
        if head.number > self._head.number:
            self._head = head

    def _take_record(self, record: messages.Record, now: float) -> None:
        if record.name == self.name:
            self._defend(record)
            return
        peer = self._peers.get(record.name)
        if peer is not None and peer.data_centre != self.data_centre:
            return  # Known through its data centre's sum.
        held = self._held.get(record.name)
        if held is None or _newer(record, held.record):
            self._held[record.name] = _Held(record=record, heard_s=now)

    def _defend(self, record: messages.Record) -> None:
        """Outbids a record of our name that we did not make.

        Either our clock stands behind that of our former life, or another
        instance has the same name; the count tells operators.
        """
        if _newer(record, self._own):
            self.conflicts += 1
            self._own = dataclasses.replace(
                self._own, incarnation=record.incarnation + 1
            )

    def _take_summary(self, summary: messages.Summary, now: float) -> None:
        if summary.data_centre == self.data_centre:
            return
        held = self._summaries.get(summary.data_centre)
        if held is None or summary.beat != held.summary.beat:
            # Beats of two representatives may differ a little; the one that
            # arrives last is taken, since both are fresh.
            self._summaries[summary.data_centre] = _HeldSummary(
                summary=summary, heard_s=now
            )

    def _forget(self, now: float) -> None:
        old = [n for n, h in self._held.items() if now - h.heard_s > FORGET_S]
        for name in old:
            del self._held[name]


def _newer(record: messages.Record, than: messages.Record) -> bool:
    return (record.incarnation, record.beat) > (than.incarnation, than.beat)


def _sum(service: str, loads: Sequence[messages.Load]) -> messages.Load:
    full: list[int] = []
    for load in loads:
        full += load.full
    return messages.Load(
        service=service,
        work=sum(load.work for load in loads),
        engines=sum(load.engines for load in loads),
        full=tuple(full[: messages.MAX_FULL]),
    )
