"""Admission control by the demand and the capacity of the whole fleet.

Each instance computes the same quotas from the same demand and admits that
fraction of its own arrivals. A fraction need not be divided among instances, so
it holds for unevenly distributed connections, and a failed instance's share is
released when its demand expires.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from irisshelf.overload import admitted_share
from irisshelf.overload import correction
from irisshelf.overload import credits as credits_module
from irisshelf.overload import demand as demand_module
from irisshelf.overload import least_objective
from irisshelf.overload import quotas as quotas_module
from irisshelf.overload import retry_times
from irisshelf.overload import service_time

# The most urgent requests may wait for a slot for this share of the shortest
# latency objective of the service's routes. The rest of the objective is for
# the network and for processing the prompt.
MAX_WAIT_SHARE = 0.6
# Quotas are computed at most this often, for their cost: a fraction of a
# millisecond for 32 teams of each priority.
_QUOTAS_LIFE_S = 0.05
# Mean backlog, as a share of the longest wait allowed, up to which a priority
# gets more than its guaranteed minimum while demand fits: 1 less the step for
# each more urgent priority, but not less than the minimum.
_BACKLOG_STEP = 0.2
_MIN_BACKLOG_LIMIT = 0.3
_INITIAL_SERVICE_TIME_S = 0.5
_SERVICE_TIME_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that is to be admitted or rejected.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        team: The team that it belongs to; empty on public routes.
        objective_s: Latency objective of its route, to the first byte.
        remaining_s: How long its caller still waits.
        resumes: Whether it continues a stream of which the caller has a part.
        returning: Whether it was rejected before and its reservation is due.
    """

    priority: int
    team: str
    objective_s: float
    remaining_s: float
    resumes: bool = False
    returning: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Rejection of a request.

    Attributes:
        retry_after_s: After which time its caller should retry.
        wait_s: The expected wait.
        max_wait_s: The longest wait at which it would have been admitted.
        fraction: Admitted fraction of the requests of its priority and team.
        why: The reason, for the response.
    """

    retry_after_s: float
    wait_s: float
    max_wait_s: float
    fraction: float = 1.0
    why: str = "overloaded"


class FleetAdmission:
    """Admission control of one instance for one service, by fleet demand.

    Args:
        team_weights: Weight by team in fair shares; 1 for others.
    """

    def __init__(self, *, team_weights: Mapping[str, float]):
        self._team_weights = {
            demand_module.team_key(team): weight
            for team, weight in team_weights.items()
        }
        self._correction = correction.CapacityCorrection()
        self._credits = credits_module.Credits()
        self._service_time = service_time.ServiceTime(
            initial_s=_INITIAL_SERVICE_TIME_S,
            weight=_SERVICE_TIME_WEIGHT,
            averages_first=True,
        )
        self._least_objective = least_objective.LeastObjective()
        self._admitted = admitted_share.AdmittedShare()
        self._retry_times = retry_times.RetryTimes()
        self._quotas: quotas_module.Quotas | None = None
        self._demand: demand_module.ServiceDemand | None = None
        self._quotas_s = -math.inf

    @property
    def quotas(self) -> quotas_module.Quotas | None:
        """The latest quotas; None before the first request."""
        return self._quotas

    @property
    def factor(self) -> float:
        """Factor by which the estimated capacity is corrected."""
        return self._correction.factor

    def record_service_time(self, service_time_s: float) -> None:
        """Records for how long a request occupied a slot of a server."""
        self._service_time.record(service_time_s)

    def estimated_wait_s(self, load: float, slots: float) -> float:
        """Estimates how long one more request waits at a server.

        Args:
            load: Number of running and waiting requests at the server.
            slots: Number of requests that it processes concurrently.
        """
        if slots <= 0:
            return 0.0
        return self._service_time.wait_s(max(0.0, load + 1 - slots), slots)

    def admit(
        self,
        arrival: Arrival,
        *,
        wait_s: float,
        now: float,
        full: bool,
        demand: demand_module.ServiceDemand,
        capacity_slots: float,
        backlog_s: float | None = None,
        idle: float = 0.0,
    ) -> Refusal | None:
        """Admits or rejects a request.

        Args:
            arrival: The request.
            wait_s: Expected wait at the server that it would be sent to.
            now: Time in seconds.
            full: Whether that server would reject it.
            demand: Demand of the fleet for the service.
            capacity_slots: Available capacity of the service, in slots; 0 if
                it is not known. Then only the expected wait limits requests.
            backlog_s: Mean expected wait at the servers of the service; by
                default that at the selected server.
            idle: Share of the slots of the service that are idle, from 0 to 1.

        Returns:
            None if the request is admitted.

        Raises:
            ValueError: The capacity is out of range.
        """
        max_wait_s = _max_wait_s(arrival)
        self._least_objective.record(arrival.objective_s, now)
        self._correction.update(
            backlog_s=wait_s if backlog_s is None else backlog_s,
            idle=idle,
            max_wait_s=self._least_objective.value_s * MAX_WAIT_SHARE,
            in_time=_in_time(demand),
            overloaded=demand.offered_slots > capacity_slots,
            now=now,
        )
        quotas = self._current_quotas(demand, capacity_slots, now)
        team = demand_module.team_key(arrival.team)
        fraction = quotas.fraction(arrival.priority, team)
        if capacity_slots <= 0:
            fraction = 1.0
        elif self._correction.backlog_s > _backlog_limit_s(
            arrival.priority, quotas, max_wait_s
        ):
            fraction = min(fraction, quotas.least_fraction)
        has_credit = self._has_credit(arrival, team, fraction)
        admitted = has_credit and not full and wait_s <= max_wait_s
        self._admitted.add(admitted, now)
        if admitted:
            self._credits.charge((arrival.priority, team))
            return None
        return Refusal(
            retry_after_s=self.retry_after_s(wait_s, now),
            wait_s=wait_s,
            max_wait_s=max_wait_s,
            fraction=fraction,
        )

    def _current_quotas(
        self,
        demand: demand_module.ServiceDemand,
        capacity_slots: float,
        now: float,
    ) -> quotas_module.Quotas:
        quotas = self._quotas
        if (
            quotas is None
            or demand is not self._demand
            or now - self._quotas_s >= _QUOTAS_LIFE_S
        ):
            quotas = quotas_module.allocate(
                demand, capacity_slots * self.factor, self._team_weights
            )
            if self._correction.excess and not quotas.explains_queues:
                quotas = quotas.without(
                    self._correction.excess * capacity_slots
                )
            self._quotas, self._demand, self._quotas_s = quotas, demand, now
            if quotas.overall_fraction >= 1:
                self._credits.reset()
        return quotas

    def _has_credit(
        self, arrival: Arrival, team: bytes, fraction: float
    ) -> bool:
        """Counts an arrival and tells whether its group's fraction admits it.

        Returning callers and resumed streams need no credit but are charged.
        """
        has_credit = self._credits.add((arrival.priority, team), fraction)
        return has_credit or arrival.returning or arrival.resumes

    def retry_after_s(self, wait_s: float, now: float) -> float:
        """Returns after which time a caller that is rejected now should retry.

        Args:
            wait_s: Expected wait at the server, in seconds.
            now: Time in seconds.
        """
        return self._retry_times.next_s(
            wait_s=wait_s,
            admitted_per_s=self._admitted.admitted_per_s(now),
            now=now,
        )


def _backlog_limit_s(
    priority: int, quotas: quotas_module.Quotas, max_wait_s: float
) -> float:
    """Returns the backlog up to which a priority gets more than its minimum.

    An overload that has just begun shows in the backlog before it shows in the
    demand. The least urgent requests make room first; the most urgent ones are
    limited only by the wait at their own server.
    """
    rank = sum(other < priority for other in quotas.slots_by_priority)
    if not rank:
        return math.inf
    if quotas.explains_queues:
        return max_wait_s * max(_MIN_BACKLOG_LIMIT, 1 - _BACKLOG_STEP * rank)
    return max_wait_s / (1 + rank)


def _max_wait_s(arrival: Arrival) -> float:
    """Returns the longest expected wait at which a request is admitted.

    Only its deadline limits the wait of a resumed stream, as the objective is
    for a first byte that its caller has received, and that of a request whose
    route has no objective.
    """
    objective_s = arrival.objective_s
    if arrival.resumes or objective_s <= 0:
        objective_s = arrival.remaining_s
    return min(objective_s * MAX_WAIT_SHARE, arrival.remaining_s)


def _in_time(demand: demand_module.ServiceDemand) -> float:
    """Returns the fraction of admitted requests that begin in time."""
    rates = demand.by_priority.values()
    begun = sum(one.begun_per_s for one in rates)
    if begun <= 0:
        return 1.0
    return sum(one.in_time_per_s for one in rates) / begun
