"""Exchange of demand between instances, as datagrams.

Each instance sends its demand to the leader of its data centre, which sends the
sum to the leaders of the other data centres, and the sum of all data centres to
each instance of its own. These three steps follow each other within a cycle:
leaders begin their cycles together, with the one whose data centre is first by
name, and an instance sends shortly before the cycle of its leader begins. The
demand of the fleet is thus known everywhere ``_GATHER_S`` after the begin of
the cycle; with independent cycles it would be up to 1.5 s old.

A lost datagram is superseded in the next cycle; figures count for longer. After
a change of demand that would be too late, so that datagrams are sent again.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import msgspec
from gevent import event

from irisshelf.coordination import membership as membership_module
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import demand_leader
from irisshelf.gateway.knowledge import demand_messages
from irisshelf.gateway.servers import demand_monitor
from irisshelf.observe import decision_log
from irisshelf.overload import demand
from irisshelf.overload import fleet

_CYCLE_S = 0.5
# Time from the begin of a cycle until the sums of the other data centres have
# arrived.
_GATHER_S = 0.1
# An instance sends this long before its leader's cycle begins; not all of them
# at once, as computing time is scarce.
_SEND_AHEAD_S = (0.03, 0.06)
# Demand that differs from what was sent last by more than this share is sent
# again after these times, in this cycle and in the next one, by which the
# change is complete. The sum of a data centre is sent most often, as all
# instances of another one depend on it.
_CHANGED_SHARE = 0.2
_CHANGING_S = 0.8
_REPEATS_S = {
    demand_messages.Stage.INSTANCE: (0.015,),
    demand_messages.Stage.DATA_CENTRE: (0.015, 0.03),
    demand_messages.Stage.FLEET: (0.015,),
}
# No message moves the next cycle out of these bounds, counted from the last
# one; otherwise forged messages could stop an instance from sending.
_MIN_CYCLE_S = 0.25
_MAX_CYCLE_S = 0.75
# A leader that has sent nothing for this time may have ended.
_SILENT_S = 2.0
_OMITTED_LOG_INTERVAL_S = 10.0

_Stage = demand_messages.Stage


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Repeat:
    """A datagram that is due to be sent again."""

    at_s: float
    receivers: Sequence[membership_module.Member]
    data: bytes


class DemandExchange:
    """Exchanges demand with other instances.

    Args:
        monitor: Has the demand of this instance; gets that of the fleet.
        datagrams: Carries the messages.
        membership: The other instances.
        log: Records services that did not fit into a message.
        rng: Spreads the datagrams; chooses receivers in other data centres.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        monitor: demand_monitor.DemandMonitor,
        datagrams: datagrams_module.Datagrams,
        membership: membership_module.Membership,
        log: decision_log.DecisionLog,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._monitor = monitor
        self._datagrams = datagrams
        self._membership = membership
        self._leader = demand_leader.DemandLeader(membership=membership)
        self._log = log
        self._rng = rng
        self._now = now
        # By instance of the own data centre; by leader of each data centre.
        self._instances = fleet.FleetDemand()
        self._data_centres = fleet.FleetDemand()
        # The other data centres of which instances were known in this cycle.
        self._known_data_centres: frozenset[str] = frozenset()
        # By other data centre: the name of its leader, and when that one has
        # last sent something.
        self._leaders: dict[str, tuple[str, float]] = {}
        # By stage, until when figures that were sent still count elsewhere.
        self._counted_until_s: dict[_Stage, float] = {}
        self._last_sent: dict[_Stage, demand.InstanceDemand] = {}
        self._changed_s: dict[_Stage, float] = {}
        self._repeats: list[_Repeat] = []
        # Whether this instance was the leader in its latest cycle.
        self._leads = False
        self._began_s = now()
        self._next_s = self._began_s + rng.uniform(0.0, _CYCLE_S)
        self._totals_due_s: float | None = None
        self._omitted_logged_s = float("-inf")
        self._rescheduled = event.Event()
        datagrams.subscribe(datagrams_module.Kind.DEMAND, self.receive)

    def run(self) -> None:
        """Exchanges demand until the greenlet is killed."""
        while True:
            self._rescheduled.clear()
            self._rescheduled.wait(self.step())

    def retire(self) -> None:
        """Leaves the sum of the data centre to another instance.

        To be called when this instance is about to stop. It still sends its own
        demand.
        """
        self._leader.retire()

    def step(self) -> float:
        """Sends what is due.

        Returns:
            After which time, in seconds, something is due again.
        """
        now = self._now()
        self._send_repeats(now)
        if self._totals_due_s is not None and now >= self._totals_due_s:
            self._totals_due_s = None
            self._send_totals(now)
        if now >= self._next_s:
            # Keeps the phase unless it is behind by a cycle or more.
            self._next_s = max(self._next_s, now - _CYCLE_S) + _CYCLE_S
            self._begin_cycle(now)
        due_s = [self._next_s, *(repeat.at_s for repeat in self._repeats)]
        if self._totals_due_s is not None:
            due_s.append(self._totals_due_s)
        return max(0.0, min(due_s) - now)

    def receive(self, content: Any) -> None:
        """Handles the content of a datagram.

        Raises:
            ValueError: The content is not a valid message.
        """
        message = msgspec.convert(content, demand_messages.Message)
        reported = demand_messages.decode_services(message.services)
        now = self._now()
        if message.stage is _Stage.FLEET:
            # Instances that have just started may take themselves for leaders.
            if self._leader.record_answer(message.sender, now):
                self._monitor.record_total(reported)
                ahead_s = self._rng.uniform(*_SEND_AHEAD_S)
                self._align(now - _GATHER_S - ahead_s)
            return
        leader = self._leader.get(now)
        if leader is None:
            self._record(message, reported, now)
        elif not message.forwarded:
            message.forwarded = True
            self._datagrams.send(leader.address, message.encode())

    def _record(
        self,
        message: demand_messages.Message,
        reported: demand.InstanceDemand,
        now: float,
    ) -> None:
        """Records what another instance has sent to this leader."""
        own = self._membership.own.data_centre
        is_local = message.data_centre == own
        if message.stage is _Stage.INSTANCE:
            if is_local:
                self._instances.record(message.sender, reported, now)
            return
        source = f"{message.data_centre}/{message.sender}"
        self._data_centres.record(source, reported, now)
        if message.data_centre in self._known_data_centres:
            self._leaders[message.data_centre] = message.sender, now
            if message.data_centre == self._first_data_centre(now):
                self._align(now)

    def _first_data_centre(self, now: float) -> str:
        """Returns the first by name of those whose leaders send."""
        active = [
            name
            for name, (_, received_s) in self._leaders.items()
            if now - received_s <= _SILENT_S
        ]
        return min([*active, self._membership.own.data_centre])

    def _align(self, at_s: float) -> None:
        """Moves the next cycle to the nearest time at which one is due.

        Args:
            at_s: Time from which whole cycles are counted.
        """
        half_s = _CYCLE_S / 2
        shift_s = (at_s - self._next_s + half_s) % _CYCLE_S - half_s
        self._next_s = min(
            max(self._next_s + shift_s, self._began_s + _MIN_CYCLE_S),
            self._began_s + _MAX_CYCLE_S,
        )
        self._rescheduled.set()

    def _begin_cycle(self, now: float) -> None:
        self._monitor.report()
        own = self._monitor.own_in_effect()
        leader = self._leader.select(now, expects_answer=bool(own))
        led, self._leads = self._leads, leader is None
        if leader is not None:
            self._began_s = now
            self._send(_Stage.INSTANCE, own, [leader], now)
            # The sum that this instance has sent as the leader would count
            # besides that of its successor until it expires.
            self._send(_Stage.DATA_CENTRE, {}, self._remote_receivers(now), now)
            return
        if not led:
            # Instances send to a new leader shortly before the cycle of the
            # last one, as this one would have. Their demand would be missing
            # in the first sum, which replaces that of the last leader.
            self._next_s = now + _SEND_AHEAD_S[1]
            return
        self._began_s = now
        member = self._membership.own
        self._instances.record(member.name, own, now)
        total = self._instances.total(now)
        source = f"{member.data_centre}/{member.name}"
        self._data_centres.record(source, total, now)
        self._send(_Stage.DATA_CENTRE, total, self._remote_receivers(now), now)
        self._totals_due_s = now + _GATHER_S

    def _send_totals(self, now: float) -> None:
        if self._leader.get(now) is not None:
            return
        total = self._data_centres.total(now)
        self._monitor.record_total(total)
        members = self._membership.members(
            self._membership.own.data_centre, now
        )
        self._send(_Stage.FLEET, total, [member for member, _ in members], now)

    def _remote_receivers(self, now: float) -> list[membership_module.Member]:
        """Returns the leader, or another instance, of each data centre.

        Any instance forwards to its leader. The one that would be the leader of
        the known instances may have ended and is known for 20 s afterwards, so
        that the receiver is chosen at random until the leader sends something.
        """
        by_data_centre: dict[str, dict[str, membership_module.Member]] = {}
        for member in self._membership.remote_members(now):
            known = by_data_centre.setdefault(member.data_centre, {})
            known[member.name] = member
        self._known_data_centres = frozenset(by_data_centre)
        receivers = []
        for data_centre, known in by_data_centre.items():
            name, received_s = self._leaders.get(data_centre, ("", 0.0))
            if name in known and now - received_s <= _SILENT_S:
                receivers.append(known[name])
            else:
                receivers.append(self._rng.choice(list(known.values())))
        return receivers

    def _send(
        self,
        stage: _Stage,
        reported: demand.InstanceDemand,
        receivers: list[membership_module.Member],
        now: float,
    ) -> None:
        """Sends demand; that there is none, as long as figures still count."""
        if reported:
            expiry_s = demand_monitor.TOTAL_EXPIRY_S
            self._counted_until_s[stage] = now + expiry_s
        elif now > self._counted_until_s.get(stage, float("-inf")):
            return
        own = self._membership.own
        names = own.data_centre.encode() + own.name.encode()
        services, omitted = demand_messages.encode_services(
            reported, reserved_bytes=len(names)
        )
        self._log_omitted(omitted, now)
        data = demand_messages.Message(
            stage=stage,
            forwarded=False,
            data_centre=own.data_centre,
            sender=own.name,
            services=services,
        ).encode()
        for receiver in receivers:
            self._datagrams.send(receiver.address, data)
        if _has_changed(self._last_sent.get(stage, {}), reported):
            self._changed_s[stage] = now
        if now - self._changed_s.get(stage, float("-inf")) < _CHANGING_S:
            self._repeats += [
                _Repeat(at_s=now + after_s, receivers=receivers, data=data)
                for after_s in _REPEATS_S[stage]
            ]
        self._last_sent[stage] = reported

    def _send_repeats(self, now: float) -> None:
        due = [repeat for repeat in self._repeats if repeat.at_s <= now]
        self._repeats = [r for r in self._repeats if r.at_s > now]
        for repeat in due:
            for receiver in repeat.receivers:
                self._datagrams.send(receiver.address, repeat.data)

    def _log_omitted(self, omitted: list[str], now: float) -> None:
        if not omitted:
            return
        if now - self._omitted_logged_s >= _OMITTED_LOG_INTERVAL_S:
            self._omitted_logged_s = now
            self._log.warning(
                "demand_omitted",
                services=omitted,
                why="message is full; only the own demand for these is known",
            )


def _has_changed(
    before: demand.InstanceDemand, after: demand.InstanceDemand
) -> bool:
    """Returns whether the load of a service differs by more than a little."""
    for name in before.keys() | after.keys():
        loads = [
            of.get(name, demand.ServiceDemand()).offered_slots
            for of in (before, after)
        ]
        if max(loads) - min(loads) > _CHANGED_SHARE * max(loads):
            return True
    return False
