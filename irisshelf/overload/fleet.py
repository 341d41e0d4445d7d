"""Sums up the demand that several instances, or groups of them, report."""

from __future__ import annotations

import dataclasses

from irisshelf.overload import demand

# An entry has full weight for this time, in which three snapshots are sent, so
# that two lost datagrams in a row do not change the sum.
FULL_WEIGHT_S = 1.1
# Age at which an entry has lost its weight. The sum reaches all instances up to
# 0.65 s later, and 2 s after its end an instance must not count any more.
EXPIRY_S = 1.3
# More entries than any fleet has instances come from forged messages.
MAX_ENTRIES = 2000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    demand: demand.InstanceDemand
    at_s: float


class FleetDemand:
    """The latest demand of each instance or group, and their sum.

    Args:
        full_weight_s: Age up to which an entry counts fully, in seconds.
        expiry_s: Age from which it does not count any more; the weight falls
            linearly in between.
    """

    def __init__(
        self,
        *,
        full_weight_s: float = FULL_WEIGHT_S,
        expiry_s: float = EXPIRY_S,
    ):
        if not 0 <= full_weight_s < expiry_s:
            raise ValueError(
                f"full_weight_s is {full_weight_s!r}, allowed: from 0 to less"
                f" than expiry_s ({expiry_s!r})"
            )
        self._full_weight_s = full_weight_s
        self._expiry_s = expiry_s
        self._entries: dict[str, _Entry] = {}

    def record(
        self, source: str, reported: demand.InstanceDemand, at_s: float
    ) -> bool:
        """Records the demand of an instance or a group of instances.

        Args:
            source: Its name.
            reported: Its demand.
            at_s: Time of the report, in monotonic seconds.

        Returns:
            Whether it was recorded; not if there are too many entries.
        """
        if source not in self._entries and len(self._entries) >= MAX_ENTRIES:
            self._expire(at_s)
            if len(self._entries) >= MAX_ENTRIES:
                return False
        self._entries[source] = _Entry(demand=reported, at_s=at_s)
        return True

    def remove(self, source: str) -> None:
        """Removes the entry of an instance or group, if there is one."""
        self._entries.pop(source, None)

    def clear(self) -> None:
        """Removes all entries."""
        self._entries.clear()

    def sources(self, now: float) -> frozenset[str]:
        """Returns whose entries still count."""
        self._expire(now)
        return frozenset(self._entries)

    def service(self, name: str, now: float) -> demand.ServiceDemand:
        """Returns the sum of the demand for a service."""
        return self.total(now).get(name, demand.ServiceDemand())

    def total(self, now: float) -> demand.InstanceDemand:
        """Returns the sum of all entries, by service."""
        self._expire(now)
        builder = _Sum()
        for entry in self._entries.values():
            weight = self._weight(now - entry.at_s)
            for name, of_service in entry.demand.items():
                builder.add(name, of_service, weight)
        return builder.result()

    def _weight(self, age_s: float) -> float:
        if age_s <= self._full_weight_s:
            return 1.0
        falls_s = self._expiry_s - self._full_weight_s
        return max(0.0, (self._expiry_s - age_s) / falls_s)

    def _expire(self, now: float) -> None:
        self._entries = {
            source: entry
            for source, entry in self._entries.items()
            if now - entry.at_s < self._expiry_s
        }


class _Sum:
    """Weighted sum of demand.

    Adding data classes would copy the groups of all services for each instance.
    """

    def __init__(self):
        self._rates: dict[str, dict[int, list[float]]] = {}
        self._teams: dict[str, dict[tuple[int, bytes], float]] = {}

    def add(
        self, name: str, of_service: demand.ServiceDemand, weight: float
    ) -> None:
        """Adds a part of the demand for a service."""
        by_priority = self._rates.setdefault(name, {})
        for priority, rates in of_service.by_priority.items():
            total = by_priority.setdefault(priority, [0.0] * 5)
            total[0] += weight * rates.offered_slots
            total[1] += weight * rates.admitted_slots
            total[2] += weight * rates.rejected_per_s
            total[3] += weight * rates.begun_per_s
            total[4] += weight * rates.in_time_per_s
        by_team = self._teams.setdefault(name, {})
        for group, offered in of_service.by_team.items():
            by_team[group] = by_team.get(group, 0.0) + weight * offered

    def result(self) -> demand.InstanceDemand:
        """Returns the sum, by service."""
        return {
            name: demand.ServiceDemand(
                by_priority={
                    priority: demand.GroupRates(
                        offered_slots=total[0],
                        admitted_slots=total[1],
                        rejected_per_s=total[2],
                        begun_per_s=total[3],
                        in_time_per_s=total[4],
                    )
                    for priority, total in by_priority.items()
                },
                by_team=self._teams[name],
            )
            for name, by_priority in self._rates.items()
        }
