"""Demand for a service: what callers ask for, and what comes of it.

Load is measured in slots: requests a second times the mean time, in seconds,
that a request occupies a slot of a backend server of usual speed. Requests of
different length thus add up, and the sum compares with the number of slots.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping

TEAM_KEY_BYTES = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupRates:
    """Rates of the requests of one service and priority.

    Attributes:
        offered_slots: Load of the requests that arrive, in slots.
        admitted_slots: Load of those that are admitted, in slots.
        rejected_per_s: Requests rejected, per second.
        begun_per_s: Admitted requests whose response began or that failed, per
            second.
        in_time_per_s: Those of them whose response began within the latency
            objective of their route.
    """

    offered_slots: float = 0.0
    admitted_slots: float = 0.0
    rejected_per_s: float = 0.0
    begun_per_s: float = 0.0
    in_time_per_s: float = 0.0

    def __add__(self, other: GroupRates) -> GroupRates:
        return GroupRates(
            offered_slots=self.offered_slots + other.offered_slots,
            admitted_slots=self.admitted_slots + other.admitted_slots,
            rejected_per_s=self.rejected_per_s + other.rejected_per_s,
            begun_per_s=self.begun_per_s + other.begun_per_s,
            in_time_per_s=self.in_time_per_s + other.in_time_per_s,
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceDemand:
    """Demand for one service, of one instance or of several together.

    Attributes:
        by_priority: Rates by priority; 0 is the most urgent.
        by_team: Offered load in slots by priority and team key. Teams with
            little demand may be missing; ``OTHER_TEAMS`` has their sum.
    """

    by_priority: Mapping[int, GroupRates] = dataclasses.field(
        default_factory=dict
    )
    by_team: Mapping[tuple[int, bytes], float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def offered_slots(self) -> float:
        """Load of all requests that arrive, in slots."""
        return sum(rates.offered_slots for rates in self.by_priority.values())

    def __add__(self, other: ServiceDemand) -> ServiceDemand:
        by_priority = dict(self.by_priority)
        for priority, rates in other.by_priority.items():
            by_priority[priority] = (
                by_priority.get(priority, GroupRates()) + rates
            )
        by_team = dict(self.by_team)
        for group, offered in other.by_team.items():
            by_team[group] = by_team.get(group, 0.0) + offered
        return ServiceDemand(by_priority=by_priority, by_team=by_team)


# Demand of an instance, or of several together, by service.
InstanceDemand = Mapping[str, ServiceDemand]
# Stands for the teams with the least demand, which are not listed by key.
OTHER_TEAMS = b""


def team_key(team: str) -> bytes:
    """Returns the key that stands for a team in messages.

    Args:
        team: Name of the team; empty on public routes.

    Example:
        >>> len(team_key("a")) == TEAM_KEY_BYTES
        True
    """
    return hashlib.blake2b(team.encode(), digest_size=TEAM_KEY_BYTES).digest()
