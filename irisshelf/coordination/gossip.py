"""What instances tell each other: who lives, how loaded, which bundle.

Each instance keeps one record of itself and makes it newer every tick. A tick
sends it to a few partners in the data centre, chosen at random, together with
the beats of all others, six bytes each: so all know who lives in a few
ticks at any size, while loads reach a sample of instances a second, which is
enough for their mean. The first few instances of a data centre
by name's rank, no one special, also exchange sums with another data centre.

An instance without a newer beat for ``ASK_AFTER_S`` is asked. One whose beat
has not become newer for ``SUSPECT_S`` is suspect,
after ``DEAD_S`` it is dead, to this observer alone: no observer throws
another out. A paused instance that comes back is alive again with its next
beat. A restart has a higher incarnation; an old life's records are ignored.

Promise: no message exceeds ``MAX_RECORDS`` records and no instance sends more
than its byte budget. Not promised: that two instances have the same view.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Sequence

from irisshelf.coordination import gossip_messages as messages
from irisshelf.coordination import heartbeats
from irisshelf.coordination import token_bucket
from irisshelf.routing.owned import context

TICK_S = 0.5
FANOUT = 2
REMOTE_INTERVAL_TICKS = 2  # Ticks between messages to other data centres.
PROBE_AFTER_S = 1.0
MAX_PROBES = 4
SUSPECT_AFTER_S = 2.0
DEAD_AFTER_S = 2.9
EVICT_AFTER_S = 60.0
MAX_RECORDS = 2
REPRESENTATIVE_COUNT = 2
SUMMARY_MAX_AGE_S = 10.0
HEAD_ANNOUNCE_S = 10.0
_NO_HEAD = messages.HeadHint(number=0, object_key="")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Another instance as the platform's list knows it."""

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingMessage:
    """A message to send to a peer."""

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Held:
    record: messages.InstanceRecord
    heard_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _HeldSummary:
    summary: messages.LoadSummary
    made_s: float


class Gossip:
    """One instance's side of the exchange.

    Args:
        name: This instance.
        data_centre: Where it stands.
        incarnation: Grows with each start, such as the wall clock in
            milliseconds.
        first_heartbeat: Where beats start; from the wall clock, so that a new
            life's beats are ahead of an old one's that are still passed on.
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
        budget: token_bucket.TokenBucket,
        first_heartbeat: int = 0,
    ):
        self.name = name
        self.data_centre = data_centre
        self.name_conflicts = 0
        self._rng = rng
        self._budget = budget
        self._peers: dict[str, Peer] = {}
        self._held: dict[str, _Held] = {}
        self._heartbeats = heartbeats.HeartbeatTable(me=name)
        self._summaries: dict[str, _HeldSummary] = {}
        self._head = _NO_HEAD
        self._head_heard_s = float("-inf")
        self._own = messages.InstanceRecord(
            name=name,
            incarnation=incarnation,
            heartbeat=first_heartbeat,
            leaving=False,
            loads=(),
        )

    @property
    def head(self) -> messages.HeadHint:
        """The highest bundle head heard of."""
        return self._head

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Takes the platform's list of instances, without this one."""
        self._peers = {peer.name: peer for peer in peers}

    def set_local_state(
        self,
        *,
        loads: Sequence[messages.Load],
        leaving: bool,
        head: messages.HeadHint,
        now: float,
    ) -> None:
        """Sets what this instance says of itself from now on."""
        self._own = dataclasses.replace(
            self._own, loads=tuple(loads), leaving=leaving
        )
        self._take_head(head, now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Makes the own record newer and sends what the budget allows."""
        self._own = dataclasses.replace(
            self._own, heartbeat=self._own.heartbeat + 1
        )
        self._forget(now)
        outgoing = []
        for place, partner in enumerate(self._partners(now)):
            if not self._budget.has_tokens(now):
                break
            # A near partner tells of itself anyway; a far one is asked.
            near = self._peers[partner].data_centre == self.data_centre
            message = self._message(now, near=near, wants_reply=not near)
            if near and (place or self._own.heartbeat % 2):
                # What others said goes to one partner every second tick.
                message = dataclasses.replace(
                    message,
                    records=(self._own,),
                    summaries=(),
                    head=self._head if self._head_is_new(now) else _NO_HEAD,
                )
            self._budget.consume(messages.size_of(message))
            outgoing.append(OutgoingMessage(to=partner, message=message))
        for silent in self._silent(now):
            if not self._budget.has_tokens(now):
                break
            question = self._probe_message(wants_reply=True)
            self._budget.consume(messages.size_of(question))
            outgoing.append(OutgoingMessage(to=silent, message=question))
        return outgoing

    def receive(
        self, message: messages.Message, now: float
    ) -> messages.Message | None:
        """Takes a message; returns the answer to it, if one is due."""
        if message.sender == self.name:
            return None
        self._take_head(message.head, now)
        for record in message.records:
            self._take_record(record, now, direct=record.name == message.sender)
        for heartbeat in message.heartbeats:
            self._heartbeats.record_relayed(heartbeat, now)
        for summary in message.summaries:
            self._take_summary(summary, now)
        if not message.wants_reply or not self._budget.has_tokens(now):
            return None
        if message.data_centre == self.data_centre:
            answer = self._probe_message(wants_reply=False)
        else:
            answer = self._message(now, near=False, wants_reply=False)
        self._budget.consume(messages.size_of(answer))
        return answer

    def status(self, name: str, now: float) -> messages.Status:
        """Returns what this instance thinks of another one."""
        if name == self.name:
            return messages.Status.ALIVE
        silent_s = self._heartbeats.age_s(name, now)
        if silent_s is None:
            return messages.Status.UNKNOWN
        if silent_s > DEAD_AFTER_S:
            return messages.Status.DEAD
        held = self._held.get(name)
        if held is not None and held.record.leaving:
            return messages.Status.LEAVING
        if silent_s > SUSPECT_AFTER_S:
            return messages.Status.SUSPECT
        return messages.Status.ALIVE

    def live_local_instances(self, now: float) -> list[str]:
        """Returns live instances of this data centre, with this one."""
        found = [self.name] if not self._own.leaving else []
        for name in self._near_names():
            if self.status(name, now) in messages.LIVE_STATUSES:
                found.append(name)
        return sorted(found)

    def load_of_others(self, service: str, now: float) -> messages.Load:
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
            if now - held.made_s <= SUMMARY_MAX_AGE_S:
                loads += held.summary.loads
        return _sum(service, [x for x in loads if x.service == service])

    def _near_names(self) -> list[str]:
        """Instances of this data centre that anybody has told of."""
        names = {
            name
            for name, peer in self._peers.items()
            if peer.data_centre == self.data_centre
        }
        return sorted(names | self._held.keys())

    def _partners(self, now: float) -> list[str]:
        near = [name for name in self._near_names() if name in self._peers]
        live = [
            name
            for name in near
            if self.status(name, now) is not messages.Status.DEAD
        ]
        chosen = self._rng.sample(live, min(FANOUT, len(live)))
        far = self._far_partner(now)
        if far is not None:
            chosen.append(far)
        dead = [name for name in near if name not in live]
        if dead and self._rng.random() < TICK_S / DEAD_AFTER_S:
            # It may live behind a cut that has healed.
            chosen.append(self._rng.choice(dead))
        return chosen

    def _far_partner(self, now: float) -> str | None:
        """Another data centre's instance, if this one represents its own."""
        if self._own.heartbeat % REMOTE_INTERVAL_TICKS:
            return None
        ranked = sorted(
            self.live_local_instances(now),
            key=lambda name: context.hash64(name.encode()),
        )
        if self.name not in ranked[:REPRESENTATIVE_COUNT]:
            return None
        far = [
            name
            for name, peer in self._peers.items()
            if peer.data_centre != self.data_centre
        ]
        return self._rng.choice(sorted(far)) if far else None

    def _message(
        self, now: float, *, near: bool, wants_reply: bool
    ) -> messages.Message:
        fresh = sorted(
            self._held.values(), key=lambda held: held.heard_s, reverse=True
        )
        records = [self._own]
        records += [
            held.record
            for held in fresh[: MAX_RECORDS - 1]
            if now - held.heard_s <= DEAD_AFTER_S
        ]
        if not near:
            records = []
        return messages.Message(
            version=messages.VERSION,
            sender=self.name,
            data_centre=self.data_centre,
            wants_reply=wants_reply,
            head=self._head,
            records=tuple(records),
            summaries=self._told_summaries(now, near=near),
            heartbeats=self._heartbeats.freshest(now, DEAD_AFTER_S)
            if near
            else (),
        )

    def _probe_message(self, *, wants_reply: bool) -> messages.Message:
        """Asks a silent instance whether it lives, or answers that."""
        return messages.Message(
            version=messages.VERSION,
            sender=self.name,
            data_centre=self.data_centre,
            wants_reply=wants_reply,
            head=_NO_HEAD,
            records=(dataclasses.replace(self._own, loads=()),),
            summaries=(),
        )

    def _silent(self, now: float) -> list[str]:
        """Near instances without fresh beats, the most silent first."""
        found = []
        for name in self._near_names():
            silent_s = self._heartbeats.age_s(name, now)
            if silent_s is None or name not in self._peers:
                continue
            if PROBE_AFTER_S < silent_s <= DEAD_AFTER_S:
                found.append((silent_s, name))
        found.sort(reverse=True)
        return [name for _, name in found[:MAX_PROBES]]

    def _told_summaries(
        self, now: float, *, near: bool
    ) -> tuple[messages.LoadSummary, ...]:
        """Tells far instances our sum, near ones of one other data centre."""
        if not near:
            return (self._own_summary(now),)
        known = sorted(
            place
            for place, held in self._summaries.items()
            if now - held.made_s <= SUMMARY_MAX_AGE_S
        )
        if not known:
            return ()
        held = self._summaries[self._rng.choice(known)]
        age_s = now - held.made_s
        return (dataclasses.replace(held.summary, age_s=age_s),)

    def _own_summary(self, now: float) -> messages.LoadSummary:
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
        return messages.LoadSummary(
            data_centre=self.data_centre,
            age_s=0.0,
            loads=tuple(
                _sum(service, loads) for service, loads in by_service.items()
            ),
        )

    def _take_head(self, head: messages.HeadHint, now: float) -> None:
        if head.number > self._head.number:
            self._head = head
            self._head_heard_s = now

    def _head_is_new(self, now: float) -> bool:
        """Tells whether the head goes into every message for a while."""
        return now - self._head_heard_s <= HEAD_ANNOUNCE_S

    def _take_record(
        self, record: messages.InstanceRecord, now: float, *, direct: bool
    ) -> None:
        if record.name == self.name:
            self._defend(record)
            return
        peer = self._peers.get(record.name)
        if peer is not None and peer.data_centre != self.data_centre:
            return  # Known through its data centre's sum.
        held = self._held.get(record.name)
        if held is None or _newer(record, held.record):
            if held is not None and not record.loads:
                record = dataclasses.replace(record, loads=held.record.loads)
            self._held[record.name] = _Held(record=record, heard_s=now)
            restarted = (
                held is not None
                and record.incarnation > held.record.incarnation
            )
            if restarted:
                self._heartbeats.forget(record.name)
            if direct:
                self._heartbeats.record_direct(
                    record.name, record.heartbeat, now
                )

    def _defend(self, record: messages.InstanceRecord) -> None:
        """Outbids a record of our name that we did not make.

        Either our clock stands behind that of our former life, or another
        instance has the same name; the count tells operators.
        """
        if _newer(record, self._own):
            self.name_conflicts += 1
            self._own = dataclasses.replace(
                self._own, incarnation=record.incarnation + 1
            )

    def _take_summary(self, summary: messages.LoadSummary, now: float) -> None:
        if summary.data_centre == self.data_centre:
            return
        made_s = now - summary.age_s
        held = self._summaries.get(summary.data_centre)
        if held is None or made_s > held.made_s:
            self._summaries[summary.data_centre] = _HeldSummary(
                summary=summary, made_s=made_s
            )

    def _forget(self, now: float) -> None:
        old = [
            n for n, h in self._held.items() if now - h.heard_s > EVICT_AFTER_S
        ]
        for name in old:
            del self._held[name]
        self._heartbeats.expire(now, EVICT_AFTER_S)


def _newer(
    record: messages.InstanceRecord, than: messages.InstanceRecord
) -> bool:
    return (record.incarnation, record.heartbeat) > (
        than.incarnation,
        than.heartbeat,
    )


def _sum(service: str, loads: Sequence[messages.Load]) -> messages.Load:
    full: list[int] = []
    for load in loads:
        full += load.full_engines
    return messages.Load(
        service=service,
        work=sum(load.work for load in loads),
        engines=sum(load.engines for load in loads),
        full_engines=tuple(full[: messages.MAX_FULL_ENGINES]),
    )
