"""Demand and available capacity of services, as one instance knows them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway.servers import eligibility
from irisshelf.observe import decision_log
from irisshelf.overload import demand
from irisshelf.overload import detector
from irisshelf.overload import meter
from irisshelf.overload import room
from irisshelf.overload import smoothing
from irisshelf.routing.direct import server_stats

# For how long the last known demand of the fleet is used.
TOTAL_EXPIRY_S = 2.0
# Figures that many requests ask for are computed again after this time.
_CACHE_S = 0.05
# Additional time for each server of a service. It limits the computing time to
# less than a hundredth of a core.
_CACHE_PER_SERVER_S = 0.0005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Total:
    demand: demand.InstanceDemand
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Capacity:
    slots: float
    until_s: float


class DemandMonitor:
    """Demand for services, and what their servers can process.

    Args:
        cfg: The settings; replaced when they are reloaded.
        eligible: Which servers accept requests.
        stats_of: Returns the statistics of a service's servers.
        reports_slowdown: Returns whether servers of a service report their
            slowdown.
        log: The decision log.
        counts: Metrics.
        now: Monotonic seconds.

    Attributes:
        meter: Measures the demand that this instance receives.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        eligible: eligibility.Eligibility,
        stats_of: Callable[[str], server_stats.ServerStats],
        reports_slowdown: Callable[[str], bool],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self.cfg = cfg
        self.meter = meter.DemandMeter()
        self._eligible = eligible
        self._stats_of = stats_of
        self.reports_slowdown = reports_slowdown
        self._log = log
        self._metrics = counts
        self._now = now
        self._total: _Total | None = None
        self._own = _Total(demand={}, at_s=float("-inf"))
        self._capacities: dict[str, _Capacity] = {}
        self._detectors: dict[str, detector.OverloadDetector] = {}

    def in_effect(self, service: str) -> bool:
        """Returns whether the demand of the fleet decides about a service."""
        setting = self.cfg.overload.fleet_admission
        if setting is settings.FleetAdmission.REPORTED:
            return self.reports_slowdown(service)
        return setting is settings.FleetAdmission.ON

    def slowdown(self, server: directory.BackendServer) -> float:
        """Returns a server's current processing time relative to normal."""
        stats = self._stats_of(server.service)
        return stats.slowdown(server.server_id, self._now())

    def own(self, service: str) -> demand.ServiceDemand:
        """Returns the demand for a service that this instance receives."""
        return self._own_demand().get(service, demand.ServiceDemand())

    def service(self, service: str) -> demand.ServiceDemand:
        """Returns the demand for a service that the fleet receives.

        It is that of this instance alone while no other one is known.
        """
        total = self._total
        if total is None or self._now() - total.at_s > TOTAL_EXPIRY_S:
            return self.own(service)
        found = total.demand.get(service)
        return self.own(service) if found is None else found

    def capacity_slots(self, service: str) -> float:
        """Returns the slots of the servers of a service that accept requests.

        A server that needs n times the usual time counts as 1/n of its slots.
        Cold servers do not count, unless all are cold: they get few requests.
        """
        now = self._now()
        known = self._capacities.get(service)
        if known is None or now >= known.until_s:
            servers = self._available(service, now)
            known = _Capacity(
                slots=room.available_slots(map(self._capacity, servers)),
                until_s=now + _CACHE_S + _CACHE_PER_SERVER_S * len(servers),
            )
            self._capacities[service] = known
        return known.slots

    def own_in_effect(self) -> demand.InstanceDemand:
        """Returns what this instance receives, for services in effect."""
        return {
            name: of_service
            for name, of_service in self._own_demand().items()
            if self.in_effect(name)
        }

    def record_total(self, total: demand.InstanceDemand) -> None:
        """Records the demand of the fleet, which has just become known."""
        now = self._now()
        before = self._total
        if before is not None and now - before.at_s <= TOTAL_EXPIRY_S:
            total = {
                name: smoothing.smooth(before.demand[name], of_service)
                if name in before.demand
                else of_service
                for name, of_service in total.items()
            }
        self._total = _Total(demand=total, at_s=now)

    def report(self) -> None:
        """Updates the metrics and logs the begin and end of overloads."""
        names = [n for n in self._eligible.services if self.in_effect(n)]
        for name in self._detectors.keys() - set(names):
            del self._detectors[name]
            self._metrics.forget_demand(name)
        for name in names:
            self._report_service(name)

    def _report_service(self, name: str) -> None:
        now = self._now()
        fleet = self.service(name)
        capacity_slots = self.capacity_slots(name)
        rates = sum(fleet.by_priority.values(), demand.GroupRates())
        in_time_share = 1.0
        if rates.begun_per_s:
            in_time_share = rates.in_time_per_s / rates.begun_per_s
        self._metrics.offered_slots.labels(name).set(rates.offered_slots)
        self._metrics.admitted_slots.labels(name).set(rates.admitted_slots)
        self._metrics.available_slots.labels(name).set(capacity_slots)
        self._metrics.in_time_share.labels(name).set(in_time_share)
        of_service = self._detectors.setdefault(
            name, detector.OverloadDetector()
        )
        began_s = of_service.began_s
        change = of_service.update(rates.offered_slots, capacity_slots, now)
        if change is None:
            return
        fields = {
            "service": name,
            "offered_slots": round(rates.offered_slots, 1),
            "admitted_slots": round(rates.admitted_slots, 1),
            "available_slots": round(capacity_slots, 1),
            "rejected_per_s": round(rates.rejected_per_s, 1),
            "in_time_share": round(in_time_share, 3),
        }
        if change is detector.Change.BEGAN:
            self._log.instance("overload_began", **fields)
        else:
            lasted_s = round(now - began_s, 1)
            self._log.instance("overload_ended", lasted_s=lasted_s, **fields)

    def _own_demand(self) -> demand.InstanceDemand:
        now = self._now()
        if now - self._own.at_s >= _CACHE_S:
            self._own = _Total(demand=self.meter.snapshot(now), at_s=now)
        return self._own.demand

    def _available(
        self, service: str, now: float
    ) -> Sequence[directory.BackendServer]:
        stats = self._stats_of(service)
        servers = [
            server
            for server in self._eligible.accepting(service)
            if stats.is_available(server.server_id, now)
        ]
        warm, cold = self._eligible.split(service, servers)
        return warm or cold

    def _capacity(self, server: directory.BackendServer) -> room.ServerCapacity:
        return room.ServerCapacity(
            slots=server.slots, slowdown=self.slowdown(server)
        )
