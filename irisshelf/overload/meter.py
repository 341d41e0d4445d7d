"""Measures the demand that one instance receives, by service.

Events are counted in short intervals, and rates are means over the last
``WINDOW_S``. An exponentially decayed rate with a half-life of 0.5 s would have
covered three quarters of a step in load after 1 s, which is too late for the
exchange between instances: it adds up to 0.6 s, and 1 s after a step all
instances have to know the new load.
"""

from __future__ import annotations

import collections
import dataclasses

from irisshelf.overload import demand

# Rates are means over this time. Exchange takes up to 0.65 s, and all instances
# have to know a step in load 1 s after it: a longer mean would still contain
# the load before the step.
WINDOW_S = 0.35
_INTERVAL_S = 0.05
_INTERVALS = round(WINDOW_S / _INTERVAL_S)
# Used until a request of the service has ended.
INITIAL_SLOT_TIME_S = 0.5
# Weight of one request in the mean slot time. The mean of exponentially
# distributed times has a standard error of 10 percent at this weight.
_SLOT_TIME_WEIGHT = 0.02
# One request cannot dominate a mean: longer times are cut to this.
_MAX_SLOT_TIME_S = 600.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Counts:
    """Requests of one service and priority in an interval."""

    arrived: int = 0
    admitted: int = 0
    rejected: int = 0
    begun: int = 0
    in_time: int = 0

    def add(self, other: _Counts) -> None:
        self.arrived += other.arrived
        self.admitted += other.admitted
        self.rejected += other.rejected
        self.begun += other.begun
        self.in_time += other.in_time


@dataclasses.dataclass(kw_only=True, slots=True)
class _Interval:
    index: int
    groups: dict[tuple[str, int], _Counts] = dataclasses.field(
        default_factory=dict
    )
    # Arrivals by service, priority and team key.
    teams: dict[tuple[str, int, bytes], int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Mean:
    """Mean of the first observations, then a slow moving average."""

    value: float = INITIAL_SLOT_TIME_S
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(_SLOT_TIME_WEIGHT, 1 / self.count)
        self.value += weight * (value - self.value)


class DemandMeter:
    """Measures the demand that an instance receives."""

    def __init__(self):
        # By time; the latest is last.
        self._intervals: collections.deque[_Interval] = collections.deque(
            maxlen=_INTERVALS + 1
        )
        self._slot_times: dict[tuple[str, int], _Mean] = {}
        self._service_slot_times: dict[str, _Mean] = {}

    def record_arrival(
        self, service: str, priority: int, team: bytes, now: float
    ) -> None:
        """Records that a request has arrived.

        Args:
            service: The service.
            priority: Its priority; 0 is the most urgent.
            team: Key of its team, see ``demand.team_key``.
            now: Monotonic seconds.
        """
        self._counts(service, priority, now).arrived += 1
        teams = self._intervals[-1].teams
        group = service, priority, team
        teams[group] = teams.get(group, 0) + 1

    def record_admitted(self, service: str, priority: int, now: float) -> None:
        """Records that a request has been admitted."""
        self._counts(service, priority, now).admitted += 1

    def record_rejected(self, service: str, priority: int, now: float) -> None:
        """Records that a request has been rejected."""
        self._counts(service, priority, now).rejected += 1

    def record_begun(
        self, service: str, priority: int, now: float, *, in_time: bool
    ) -> None:
        """Records that the response to an admitted request began or failed.

        Args:
            service: The service.
            priority: Its priority.
            now: Monotonic seconds.
            in_time: Whether it began within the objective of its route.
        """
        counts = self._counts(service, priority, now)
        counts.begun += 1
        counts.in_time += in_time

    def record_slot_time(
        self, service: str, priority: int, slot_time_s: float
    ) -> None:
        """Records for how long a request occupied a slot of a server.

        Args:
            service: The service.
            priority: Its priority.
            slot_time_s: The time in seconds, as at a server of usual speed.
        """
        slot_time_s = min(max(0.0, slot_time_s), _MAX_SLOT_TIME_S)
        self._slot_times.setdefault((service, priority), _Mean()).add(
            slot_time_s
        )
        self._service_slot_times.setdefault(service, _Mean()).add(slot_time_s)

    def slot_time_s(self, service: str, priority: int) -> float:
        """Returns the mean time for which a request occupies a slot.

        It is that of all requests of the service until one of the priority has
        ended.
        """
        mean = self._slot_times.get((service, priority))
        if mean is None:
            mean = self._service_slot_times.get(service)
        return INITIAL_SLOT_TIME_S if mean is None else mean.value

    def snapshot(self, now: float) -> demand.InstanceDemand:
        """Returns the current demand; services without any are missing."""
        latest = int(now / _INTERVAL_S)
        recent = [
            interval
            for interval in self._intervals
            if latest - _INTERVALS <= interval.index <= latest
        ]
        # The oldest interval counts whole, the latest until now.
        duration_s = now - (latest - _INTERVALS) * _INTERVAL_S
        groups: dict[tuple[str, int], _Counts] = {}
        teams: dict[tuple[str, int, bytes], int] = {}
        for interval in recent:
            for group, counts in interval.groups.items():
                groups.setdefault(group, _Counts()).add(counts)
            for team, count in interval.teams.items():
                teams[team] = teams.get(team, 0) + count
        return self._demand(groups, teams, duration_s)

    def _demand(
        self,
        groups: dict[tuple[str, int], _Counts],
        teams: dict[tuple[str, int, bytes], int],
        duration_s: float,
    ) -> demand.InstanceDemand:
        by_priority: dict[str, dict[int, demand.GroupRates]] = {}
        by_team: dict[str, dict[tuple[int, bytes], float]] = {}
        for (service, priority), counts in groups.items():
            slot_time_s = self.slot_time_s(service, priority)
            by_priority.setdefault(service, {})[priority] = demand.GroupRates(
                offered_slots=counts.arrived * slot_time_s / duration_s,
                admitted_slots=counts.admitted * slot_time_s / duration_s,
                rejected_per_s=counts.rejected / duration_s,
                begun_per_s=counts.begun / duration_s,
                in_time_per_s=counts.in_time / duration_s,
            )
        for (service, priority, team), count in teams.items():
            offered = count * self.slot_time_s(service, priority) / duration_s
            by_team.setdefault(service, {})[priority, team] = offered
        return {
            service: demand.ServiceDemand(
                by_priority=rates, by_team=by_team.get(service, {})
            )
            for service, rates in by_priority.items()
        }

    def _counts(self, service: str, priority: int, now: float) -> _Counts:
        index = int(now / _INTERVAL_S)
        if not self._intervals or self._intervals[-1].index < index:
            self._intervals.append(_Interval(index=index))
        groups = self._intervals[-1].groups
        counts = groups.get((service, priority))
        if counts is None:
            counts = groups[service, priority] = _Counts()
        return counts
