"""Simulated exchange of demand between the instances of a fleet."""

from __future__ import annotations

import collections
import math

from irisshelf.overload import demand as demand_module

# Instances exchange their demand twice a second; what they decide by is older
# by one more interval.
EXCHANGE_S = 0.5
_HALF_LIFE_S = 0.5
# What an instance has told counts for this time after it has ended.
_EXPIRES_S = 2.0


class Meter:
    """Decayed rates of what arrives, begins and is in time at one instance."""

    def __init__(self):
        self._sums: dict[tuple, float] = collections.defaultdict(float)
        self._at_s = 0.0

    def add(self, what: str, key: object, amount: float, now: float) -> None:
        """Adds an amount of something that is counted by a key."""
        self._decay(now)
        self._sums[what, key] += amount

    def demand(self, now: float) -> demand_module.ServiceDemand:
        """Returns the rates."""
        self._decay(now)
        rate = math.log(2) / _HALF_LIFE_S
        fields: dict[int, dict[str, float]] = collections.defaultdict(dict)
        teams = {}
        for (what, key), amount in self._sums.items():
            if what == "team":
                teams[key] = amount * rate
            else:
                fields[key][what] = amount * rate
        return demand_module.ServiceDemand(
            by_priority={
                priority: demand_module.GroupRates(**rates)
                for priority, rates in fields.items()
            },
            by_team=teams,
        )

    def _decay(self, now: float) -> None:
        kept = 0.5 ** ((now - self._at_s) / _HALF_LIFE_S)
        self._at_s = now
        for key in self._sums:
            self._sums[key] *= kept


class Exchange:
    """What the instances of a fleet know of the total demand.

    Args:
        instances: Number of instances.
    """

    def __init__(self, instances: int):
        self.meters = [Meter() for _ in range(instances)]
        self._told: dict[int, tuple[float, demand_module.ServiceDemand]] = {}
        self._next = demand_module.ServiceDemand()
        self.total = demand_module.ServiceDemand()

    def restart(self, instance: int) -> None:
        """Lets an instance start anew."""
        self.meters[instance] = Meter()

    def tell(self, alive: list[int], now: float) -> None:
        """Exchanges the demand; called every ``EXCHANGE_S``."""
        for instance in alive:
            self._told[instance] = (now, self.meters[instance].demand(now))
        self.total = self._next
        self._next = demand_module.ServiceDemand()
        for at_s, demand in self._told.values():
            if now - at_s < _EXPIRES_S:
                self._next += demand
