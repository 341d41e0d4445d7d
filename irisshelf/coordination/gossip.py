"""Gossip between instances: liveness, loads and the bundle head.

Each instance maintains one record of itself and increments its heartbeat every
tick. In each tick it sends the record to a few randomly chosen peers in its
data centre, together with the heartbeats of all other instances, six bytes
each. Liveness thus spreads to all instances within a few ticks at any fleet
size, while loads reach a sample of the instances each second, which is enough
to estimate their mean. In each data centre, a few representatives, the first by
a hash of their names, also exchange load sums with another data centre.

An instance without a newer heartbeat for ``PROBE_AFTER_S`` is probed. One
without a newer heartbeat for ``SUSPECT_AFTER_S`` is suspected, and after
``DEAD_AFTER_S`` it is considered dead, but by this observer alone: no observer
evicts an instance for others. A paused instance that resumes is alive again
with its next heartbeat. A restarted instance has a higher incarnation, and
records of earlier incarnations are ignored.

Guarantee: no message contains more than ``MAX_RECORDS`` records, and no
instance sends more than its byte budget. Not guaranteed: that two instances
have the same view.
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
REMOTE_INTERVAL_TICKS = 2  # Between messages to other data centres.
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
    """Another instance from the platform's list of nodes."""

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingMessage:
    """A message to send to a peer."""

    to: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StoredRecord:
    record: messages.InstanceRecord
    received_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StoredSummary:
    summary: messages.LoadSummary
    made_s: float


class Gossip:
    """Gossip state machine of one instance.

    Args:
        name: Name of this instance.
        data_centre: Data centre of this instance.
        incarnation: A number that increases with each start, such as the wall
            clock in milliseconds.
        first_heartbeat: Initial heartbeat counter. It is derived from the wall
            clock, so that heartbeats after a restart are ahead of earlier ones
            that are still being relayed.
        rng: Chooses the peers to send to.
        budget: Limits the bytes sent.
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
        self._records: dict[str, _StoredRecord] = {}
        self._heartbeats = heartbeats.HeartbeatTable(me=name)
        self._summaries: dict[str, _StoredSummary] = {}
        self._head = _NO_HEAD
        self._head_updated_s = float("-inf")
        self._own = messages.InstanceRecord(
            name=name,
            incarnation=incarnation,
            heartbeat=first_heartbeat,
            leaving=False,
            loads=(),
        )

    @property
    def head(self) -> messages.HeadHint:
        """The highest bundle head known from any source."""
        return self._head

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Sets the platform's list of instances, without this one."""
        self._peers = {peer.name: peer for peer in peers}

    def set_local_state(
        self,
        *,
        loads: Sequence[messages.Load],
        leaving: bool,
        head: messages.HeadHint,
        now: float,
    ) -> None:
        """Sets what this instance announces about itself."""
        self._own = dataclasses.replace(
            self._own, loads=tuple(loads), leaving=leaving
        )
        self._merge_head(head, now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Increments the heartbeat; returns messages to send, within budget."""
        self._own = dataclasses.replace(
            self._own, heartbeat=self._own.heartbeat + 1
        )
        self._evict(now)
        outgoing = []
        for index, peer in enumerate(self._choose_peers(now)):
            if not self._budget.has_tokens(now):
                break
            # A local peer sends its record in its own ticks; a remote one has
            # to be asked for its summary.
            local = self._peers[peer].data_centre == self.data_centre
            message = self._message(now, local=local, wants_reply=not local)
            if local and (index or self._own.heartbeat % 2):
                # Records of others are relayed to one peer every second tick.
                message = dataclasses.replace(
                    message,
                    records=(self._own,),
                    summaries=(),
                    head=self._head if self._head_is_recent(now) else _NO_HEAD,
                )
            self._budget.consume(messages.size_of(message))
            outgoing.append(OutgoingMessage(to=peer, message=message))
        for silent in self._silent_peers(now):
            if not self._budget.has_tokens(now):
                break
            probe = self._probe_message(wants_reply=True)
            self._budget.consume(messages.size_of(probe))
            outgoing.append(OutgoingMessage(to=silent, message=probe))
        return outgoing

    def receive(
        self, message: messages.Message, now: float
    ) -> messages.Message | None:
        """Processes a message; returns the reply to it, if one is due."""
        if message.sender == self.name:
            return None
        self._merge_head(message.head, now)
        for record in message.records:
            self._merge_record(
                record, now, direct=record.name == message.sender
            )
        for heartbeat in message.heartbeats:
            self._heartbeats.record_relayed(heartbeat, now)
        for summary in message.summaries:
            self._merge_summary(summary, now)
        if not message.wants_reply or not self._budget.has_tokens(now):
            return None
        if message.data_centre == self.data_centre:
            reply = self._probe_message(wants_reply=False)
        else:
            reply = self._message(now, local=False, wants_reply=False)
        self._budget.consume(messages.size_of(reply))
        return reply

    def status(self, name: str, now: float) -> messages.Status:
        """Returns the liveness of an instance as this one observes it."""
        if name == self.name:
            return messages.Status.ALIVE
        silent_s = self._heartbeats.age_s(name, now)
        if silent_s is None:
            return messages.Status.UNKNOWN
        if silent_s > DEAD_AFTER_S:
            return messages.Status.DEAD
        stored = self._records.get(name)
        if stored is not None and stored.record.leaving:
            return messages.Status.LEAVING
        if silent_s > SUSPECT_AFTER_S:
            return messages.Status.SUSPECT
        return messages.Status.ALIVE

    def live_local_instances(self, now: float) -> list[str]:
        """Returns the live instances of this data centre, sorted by name.

        This instance is included unless it is leaving.
        """
        names = [self.name] if not self._own.leaving else []
        for name in self._local_names():
            if self.status(name, now) in messages.LIVE_STATUSES:
                names.append(name)
        return sorted(names)

    def load_of_others(self, service: str, now: float) -> messages.Load:
        """Returns the total load that all other instances report for a service.

        Other data centres are included by their summaries. A summary older than
        ``SUMMARY_MAX_AGE_S`` is left out, as the engines of that data centre
        cannot be reached or are not known.
        """
        loads = [
            load
            for name, stored in self._records.items()
            if self.status(name, now) != messages.Status.DEAD
            for load in stored.record.loads
        ]
        for stored in self._summaries.values():
            if now - stored.made_s <= SUMMARY_MAX_AGE_S:
                loads += stored.summary.loads
        return _sum(service, [x for x in loads if x.service == service])

    def _local_names(self) -> list[str]:
        """Returns this data centre's other instances known from any source."""
        names = {
            name
            for name, peer in self._peers.items()
            if peer.data_centre == self.data_centre
        }
        return sorted(names | self._records.keys())

    def _choose_peers(self, now: float) -> list[str]:
        local = [name for name in self._local_names() if name in self._peers]
        live = [
            name
            for name in local
            if self.status(name, now) is not messages.Status.DEAD
        ]
        chosen = self._rng.sample(live, min(FANOUT, len(live)))
        remote = self._choose_remote_peer(now)
        if remote is not None:
            chosen.append(remote)
        dead = [name for name in local if name not in live]
        if dead and self._rng.random() < TICK_S / DEAD_AFTER_S:
            # It may be alive again after a network partition has healed.
            chosen.append(self._rng.choice(dead))
        return chosen

    def _choose_remote_peer(self, now: float) -> str | None:
        """Returns a peer elsewhere if this instance is a representative."""
        if self._own.heartbeat % REMOTE_INTERVAL_TICKS:
            return None
        ranked = sorted(
            self.live_local_instances(now),
            key=lambda name: context.hash64(name.encode()),
        )
        if self.name not in ranked[:REPRESENTATIVE_COUNT]:
            return None
        remote = [
            name
            for name, peer in self._peers.items()
            if peer.data_centre != self.data_centre
        ]
        return self._rng.choice(sorted(remote)) if remote else None

    def _message(
        self, now: float, *, local: bool, wants_reply: bool
    ) -> messages.Message:
        recent = sorted(
            self._records.values(),
            key=lambda stored: stored.received_s,
            reverse=True,
        )
        records = [self._own]
        records += [
            stored.record
            for stored in recent[: MAX_RECORDS - 1]
            if now - stored.received_s <= DEAD_AFTER_S
        ]
        if not local:
            records = []
        return messages.Message(
            version=messages.VERSION,
            sender=self.name,
            data_centre=self.data_centre,
            wants_reply=wants_reply,
            head=self._head,
            records=tuple(records),
            summaries=self._summaries_for(now, local=local),
            heartbeats=self._heartbeats.freshest(now, DEAD_AFTER_S)
            if local
            else (),
        )

    def _probe_message(self, *, wants_reply: bool) -> messages.Message:
        """Returns a probe of a silent instance, or the reply to a probe."""
        return messages.Message(
            version=messages.VERSION,
            sender=self.name,
            data_centre=self.data_centre,
            wants_reply=wants_reply,
            head=_NO_HEAD,
            records=(dataclasses.replace(self._own, loads=()),),
            summaries=(),
        )

    def _silent_peers(self, now: float) -> list[str]:
        """Returns local peers without recent heartbeats, the oldest first."""
        silent = []
        for name in self._local_names():
            silent_s = self._heartbeats.age_s(name, now)
            if silent_s is None or name not in self._peers:
                continue
            if PROBE_AFTER_S < silent_s <= DEAD_AFTER_S:
                silent.append((silent_s, name))
        silent.sort(reverse=True)
        return [name for _, name in silent[:MAX_PROBES]]

    def _summaries_for(
        self, now: float, *, local: bool
    ) -> tuple[messages.LoadSummary, ...]:
        """Returns the own summary for remote peers, a remote one for others."""
        if not local:
            return (self._own_summary(now),)
        known = sorted(
            data_centre
            for data_centre, stored in self._summaries.items()
            if now - stored.made_s <= SUMMARY_MAX_AGE_S
        )
        if not known:
            return ()
        stored = self._summaries[self._rng.choice(known)]
        age_s = now - stored.made_s
        return (dataclasses.replace(stored.summary, age_s=age_s),)

    def _own_summary(self, now: float) -> messages.LoadSummary:
        by_service: dict[str, list[messages.Load]] = collections.defaultdict(
            list
        )
        records = [self._own]
        records += [
            stored.record
            for name, stored in self._records.items()
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

    def _merge_head(self, head: messages.HeadHint, now: float) -> None:
        if head.number > self._head.number:
            self._head = head
            self._head_updated_s = now

    def _head_is_recent(self, now: float) -> bool:
        """Returns whether the head is recent enough to be in every message."""
        return now - self._head_updated_s <= HEAD_ANNOUNCE_S

    def _merge_record(
        self, record: messages.InstanceRecord, now: float, *, direct: bool
    ) -> None:
        if record.name == self.name:
            self._refute(record)
            return
        peer = self._peers.get(record.name)
        if peer is not None and peer.data_centre != self.data_centre:
            return  # Known through its data centre's summary.
        stored = self._records.get(record.name)
        if stored is None or _newer(record, stored.record):
            if stored is not None and not record.loads:
                record = dataclasses.replace(record, loads=stored.record.loads)
            self._records[record.name] = _StoredRecord(
                record=record, received_s=now
            )
            restarted = (
                stored is not None
                and record.incarnation > stored.record.incarnation
            )
            if restarted:
                self._heartbeats.forget(record.name)
            if direct:
                self._heartbeats.record_direct(
                    record.name, record.heartbeat, now
                )

    def _refute(self, record: messages.InstanceRecord) -> None:
        """Refutes a record with this instance's name that it did not make.

        Either its clock is behind that of an earlier incarnation, or another
        instance has the same name. Operators are shown the count.
        """
        if _newer(record, self._own):
            self.name_conflicts += 1
            self._own = dataclasses.replace(
                self._own, incarnation=record.incarnation + 1
            )

    def _merge_summary(self, summary: messages.LoadSummary, now: float) -> None:
        if summary.data_centre == self.data_centre:
            return
        made_s = now - summary.age_s
        stored = self._summaries.get(summary.data_centre)
        if stored is None or made_s > stored.made_s:
            self._summaries[summary.data_centre] = _StoredSummary(
                summary=summary, made_s=made_s
            )

    def _evict(self, now: float) -> None:
        expired = [
            name
            for name, stored in self._records.items()
            if now - stored.received_s > EVICT_AFTER_S
        ]
        for name in expired:
            del self._records[name]
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
