"""Simulated exchange of demand between the instances of a fleet.

It has the delays of ``demand_exchange.DemandExchange`` in one data centre, but
no messages: instances take snapshots shortly before a cycle begins, their sum
is formed at its begin and known to all instances ``GATHER_S`` later.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from irisshelf.gateway.servers import demand_monitor
from irisshelf.overload import demand as demand_module
from irisshelf.overload import fleet
from irisshelf.overload import meter as meter_module
from irisshelf.overload import smoothing

SERVICE = "busy"
CYCLE_S = 0.5
# Time from the begin of a cycle until its total is known.
GATHER_S = 0.1
# Mean time from the snapshot of an instance to the begin of the cycle.
LEAD_S = 0.045
# An instance's own demand is computed again after this time.
_OWN_LIFE_S = 0.05


@dataclasses.dataclass(kw_only=True)
class _Known:
    """What one instance has measured and been told."""

    meter: meter_module.DemandMeter = dataclasses.field(
        default_factory=meter_module.DemandMeter
    )
    total: demand_module.ServiceDemand | None = None
    total_s: float = -math.inf
    own: demand_module.ServiceDemand = dataclasses.field(
        default_factory=demand_module.ServiceDemand
    )
    own_s: float = -math.inf

    def record_total(
        self, total: demand_module.ServiceDemand, now: float
    ) -> None:
        if self.total is not None and self._is_valid(now):
            total = smoothing.smooth(self.total, total)
        self.total, self.total_s = total, now

    def demand(self, now: float) -> demand_module.ServiceDemand:
        if self.total is not None and self._is_valid(now):
            return self.total
        if now - self.own_s >= _OWN_LIFE_S:
            snapshot = self.meter.snapshot(now)
            self.own = snapshot.get(SERVICE, demand_module.ServiceDemand())
            self.own_s = now
        return self.own

    def _is_valid(self, now: float) -> bool:
        return now - self.total_s <= demand_monitor.TOTAL_EXPIRY_S


class Exchange:
    """What the instances of a fleet know of the total demand.

    Args:
        instances: Number of instances.
        after: Calls a function after a time in seconds.
    """

    def __init__(
        self,
        instances: int,
        *,
        after: Callable[[float, Callable[[], None]], None],
    ):
        self._known = [_Known() for _ in range(instances)]
        self._entries = fleet.FleetDemand()
        self._after = after

    def meter(self, instance: int) -> meter_module.DemandMeter:
        """Returns the meter of an instance."""
        return self._known[instance].meter

    def demand(self, instance: int, now: float) -> demand_module.ServiceDemand:
        """Returns the demand of the fleet, as an instance knows it.

        It is that of this instance alone while no other one is known.
        """
        return self._known[instance].demand(now)

    def restart(self, instance: int) -> None:
        """Lets an instance start anew."""
        self._known[instance] = _Known()

    def begin_cycle(self, alive: list[int], now: float) -> None:
        """Takes the snapshots of a cycle, ``LEAD_S`` before it begins.

        Args:
            alive: The instances that have not ended.
            now: Time in seconds.
        """
        for instance in alive:
            snapshot = self._known[instance].meter.snapshot(now)
            self._entries.record(str(instance), snapshot, now)
        self._after(LEAD_S, lambda: self._sum(now + LEAD_S))

    def _sum(self, now: float) -> None:
        total = self._entries.service(SERVICE, now)
        self._after(GATHER_S, lambda: self._tell(total, now + GATHER_S))

    def _tell(self, total: demand_module.ServiceDemand, now: float) -> None:
        if not total.by_priority:
            return
        for known in self._known:
            known.record_total(total, now)
