"""Quotas: the part of the capacity for each priority and team.

The capacity goes to the most urgent requests first, less a guaranteed minimum
for each priority and team, so that a long overload starves nobody. Teams of one
priority get weighted max-min fair shares. All instances compute the same quotas
from the same demand.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from irisshelf.overload import demand as demand_module
from irisshelf.overload import fair_shares

# Least admitted fraction of a priority or team, relative to that of all
# requests. Users require a quarter; the rest covers errors of the estimates.
MIN_FRACTION_RATIO = 0.3
# Demand of which this share fits is admitted as a whole: estimates vary by more
# within a second, and each rejection of a request that fits is a loss.
FITTING_SHARE = 0.8
# The same for all demand. A lasting excess shows in the queues.
FITTING_TOTAL = 0.9
# From this share of the capacity on, demand that fits causes queues.
_BUSY_SHARE = 0.8
# Bounds the weight of the teams that are not listed: a listed team whose demand
# has almost decayed would otherwise make it arbitrarily large.
_MAX_OTHER_TEAMS = 512
Group = tuple[int, bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Quotas:
    """Allocated capacity and admitted fractions.

    Attributes:
        offered_slots: Load of all requests, in slots.
        capacity_slots: Capacity that was divided, in slots.
        slots_by_priority: Allocated slots by priority.
        slots_by_team: Allocated slots by priority and team key.
        fraction_by_priority: Fraction of the requests to be admitted by
            priority, from 0 to 1.
        fraction_by_team: The same by priority and team key.
    """

    offered_slots: float
    capacity_slots: float
    slots_by_priority: Mapping[int, float]
    slots_by_team: Mapping[Group, float]
    fraction_by_priority: Mapping[int, float]
    fraction_by_team: Mapping[Group, float]

    @property
    def overall_fraction(self) -> float:
        """Fraction of all requests that the capacity suffices for."""
        return _overall(self.offered_slots, self.capacity_slots)

    @property
    def least_fraction(self) -> float:
        """Fraction of its requests that each group is guaranteed."""
        return MIN_FRACTION_RATIO * self.overall_fraction

    @property
    def explains_queues(self) -> bool:
        """Whether the demand fits and is high enough for queues.

        Queues at less demand show an overload that has not been reported yet.
        """
        return (
            self.overall_fraction >= 1
            and self.offered_slots >= _BUSY_SHARE * self.capacity_slots
        )

    def without(self, slots: float) -> Quotas:
        """Returns quotas for less load; the least urgent requests make room.

        Unlike ``allocate``, this ignores the guaranteed minimums: it is for a
        moment in which queues are too long.

        Args:
            slots: Load by which the quotas are reduced, in slots.
        """
        kept = {}
        for priority in sorted(self.slots_by_priority, reverse=True):
            allocated = self.slots_by_priority[priority]
            removed = min(slots, allocated)
            slots -= removed
            kept[priority] = 1 - removed / allocated if allocated > 0 else 1.0
        return dataclasses.replace(
            self,
            slots_by_priority=_scale(self.slots_by_priority, kept),
            fraction_by_priority=_scale(self.fraction_by_priority, kept),
            slots_by_team=_scale_teams(self.slots_by_team, kept),
            fraction_by_team=_scale_teams(self.fraction_by_team, kept),
        )

    def fraction(self, priority: int, team: bytes) -> float:
        """Returns the admitted fraction of a team's requests.

        A team that is not listed is one of those whose sum is listed under
        ``demand.OTHER_TEAMS``, or a new one. If nothing is known of the
        priority either, its requests are too few to matter.

        Args:
            priority: Priority of the requests.
            team: Key of the team.
        """
        found = self.fraction_by_team.get((priority, team))
        if found is None:
            found = self.fraction_by_team.get(
                (priority, demand_module.OTHER_TEAMS)
            )
        if found is None:
            found = self.fraction_by_priority.get(priority, 1.0)
        return found


def allocate(
    demand: demand_module.ServiceDemand,
    capacity_slots: float,
    team_weights: Mapping[bytes, float],
) -> Quotas:
    """Divides a service's capacity among priorities and teams.

    Args:
        demand: Demand of the fleet.
        capacity_slots: Available capacity, in slots.
        team_weights: Weight by team key; 1 for teams that are not listed.

    Raises:
        ValueError: The capacity or a weight is out of range.
    """
    if not capacity_slots >= 0:
        raise ValueError(
            f"capacity_slots is {capacity_slots!r}, allowed: 0 or more"
        )
    offered = {
        priority: max(0.0, rates.offered_slots)
        for priority, rates in sorted(demand.by_priority.items())
    }
    by_priority = _by_priority(offered, capacity_slots)
    teams = _teams(demand, offered)
    overall = _overall(sum(offered.values()), capacity_slots)
    by_team: dict[Group, float] = {}
    for priority, slots in by_priority.items():
        claims = {
            group: fair_shares.Claim(
                demand=load,
                weight=_weight(group, load, teams, team_weights),
                minimum=load * min(overall * MIN_FRACTION_RATIO, 1.0),
            )
            for group, load in teams.items()
            if group[0] == priority
        }
        fits = slots >= FITTING_SHARE * offered[priority]
        by_team |= fair_shares.allocate(
            claims, offered[priority] if fits else slots
        )
    return Quotas(
        offered_slots=sum(offered.values()),
        capacity_slots=capacity_slots,
        slots_by_priority=by_priority,
        slots_by_team=by_team,
        fraction_by_priority={
            priority: _fraction(slots, offered[priority])
            for priority, slots in by_priority.items()
        },
        fraction_by_team={
            group: _fraction(slots, teams[group])
            for group, slots in by_team.items()
        },
    )


def _scale(
    figures: Mapping[int, float], kept: Mapping[int, float]
) -> dict[int, float]:
    return {key: figure * kept[key] for key, figure in figures.items()}


def _scale_teams(
    figures: Mapping[Group, float], kept: Mapping[int, float]
) -> dict[Group, float]:
    return {key: figure * kept[key[0]] for key, figure in figures.items()}


def _overall(offered: float, capacity: float) -> float:
    if offered <= 0 or capacity >= FITTING_TOTAL * offered:
        return 1.0
    return min(1.0, capacity / offered)


def _fraction(slots: float, offered: float) -> float:
    if offered <= 0 or slots >= FITTING_SHARE * offered:
        return 1.0
    return slots / offered


def _by_priority(
    offered: Mapping[int, float], capacity: float
) -> dict[int, float]:
    """Allocates slots in strict order of priority, beyond the minimums."""
    overall = _overall(sum(offered.values()), capacity)
    if overall >= 1:
        return dict(offered)
    minimums = {
        priority: MIN_FRACTION_RATIO * overall * load
        for priority, load in offered.items()
    }
    left = capacity - sum(minimums.values())
    allocated = {}
    for priority in sorted(offered):
        extra = min(left, offered[priority] - minimums[priority])
        allocated[priority] = minimums[priority] + extra
        left -= extra
    return allocated


def _teams(
    demand: demand_module.ServiceDemand, offered: Mapping[int, float]
) -> dict[Group, float]:
    """Returns the load by priority and team, which adds up by priority.

    Demand of a priority that is attributed to no team counts as that of other
    teams.
    """
    teams = {
        group: load
        for group, load in demand.by_team.items()
        if load > 0 and group[0] in offered
    }
    for priority, load in offered.items():
        listed = sum(
            known for group, known in teams.items() if group[0] == priority
        )
        if listed > load > 0:
            for group in [g for g in teams if g[0] == priority]:
                teams[group] *= load / listed
        elif load > listed:
            others = (priority, demand_module.OTHER_TEAMS)
            teams[others] = teams.get(others, 0.0) + load - listed
    return teams


def _weight(
    group: Group,
    load: float,
    teams: Mapping[Group, float],
    team_weights: Mapping[bytes, float],
) -> float:
    """Returns a team's weight; that of other teams is their least number.

    Each team in the sum of the other teams has at most the load of the smallest
    team that is listed.
    """
    priority, team = group
    if team != demand_module.OTHER_TEAMS:
        return team_weights.get(team, 1.0)
    smallest = min(
        (
            other_load
            for (other, key), other_load in teams.items()
            if other == priority and key != demand_module.OTHER_TEAMS
        ),
        default=load,
    )
    return min(max(1.0, load / smallest), _MAX_OTHER_TEAMS)
