"""Admission control that rejects early what an overloaded service would queue.

A backend server processes a limited number of requests concurrently and queues
the others. If more arrive than it can process, all of them wait beyond their
latency objective and none is served well. A request is therefore admitted only
if its expected wait is short; the others are rejected at once with a time to
retry after, while their callers still have time for it.

- More urgent requests are admitted at longer waits, so they go first.
- A team that sends several times its share of the requests gets only free
  slots, so that it does not crowd out the others.
- The admitted share of each priority and team is at least ``MIN_SERVED_RATIO``
  times that of all requests, so that a long overload starves nobody.

All inputs are observed on servers and requests; each instance decides on its
own. ``admission`` decides by the demand of the whole fleet.
"""

from __future__ import annotations

import collections

from irisshelf.overload import admission
from irisshelf.overload import admitted_share
from irisshelf.overload import least_objective
from irisshelf.overload import retry_times
from irisshelf.overload import service_time
from irisshelf.routing import popularity

# Least admitted share of a priority or team, relative to that of all requests.
# Half preserves the order of priorities and is twice what the users' rule
# against starvation of request kinds and teams requires.
MIN_SERVED_RATIO = 0.5
# A team that sends more than this multiple of its share gets only free slots.
SURGE_FACTOR = 3.0
# A team's share is an equal one at first. Its usual share of the requests, if
# that is larger, is taken into account fully after this time.
_BASELINE_S = 300.0
_RECENT_HALF_LIFE_S = 1.0
_SERVICE_TIME_WEIGHT = 0.05
_INITIAL_SERVICE_TIME_S = 0.5


class AdmissionControl:
    """Admission control of one instance for one service."""

    def __init__(self):
        self._service_time = service_time.ServiceTime(
            initial_s=_INITIAL_SERVICE_TIME_S, weight=_SERVICE_TIME_WEIGHT
        )
        self._least_objective = least_objective.LeastObjective()
        self._priorities: set[int] = set()
        self._baseline_rate = popularity.Popularity(half_life_s=_BASELINE_S)
        self._recent_rate = popularity.Popularity(
            half_life_s=_RECENT_HALF_LIFE_S
        )
        self._admitted_shares: dict[object, admitted_share.AdmittedShare] = (
            collections.defaultdict(admitted_share.AdmittedShare)
        )
        self._first_arrival_s: float | None = None
        self._retry_times = retry_times.RetryTimes()

    def record_service_time(self, service_time_s: float) -> None:
        """Records for how long a request occupied a slot of a server."""
        self._service_time.record(service_time_s)

    def estimated_wait_s(self, load: float, slots: int) -> float:
        """Estimates how long one more request waits at a server.

        Args:
            load: Number of running and waiting requests at the server.
            slots: Number of requests that it processes concurrently.
        """
        if slots <= 0:
            return 0.0
        waiting = max(0.0, load + 1 - slots)
        return self._service_time.wait_s(waiting, slots)

    def admit(
        self,
        arrival: admission.Arrival,
        wait_s: float,
        now: float,
        *,
        full: bool = False,
    ) -> admission.Refusal | None:
        """Admits or rejects a request.

        Args:
            arrival: The request.
            wait_s: Expected wait at the server that it would be sent to.
            now: Time in seconds.
            full: Whether that server would reject it.

        Returns:
            None if the request is admitted.
        """
        self._count(arrival, now)
        max_wait_s = self._max_wait_s(arrival, now)
        admitted = not full and wait_s <= max_wait_s
        for group in _groups(arrival):
            self._admitted_shares[group].add(admitted, now)
        if admitted:
            return None
        return admission.Refusal(
            retry_after_s=self.retry_after_s(wait_s, now),
            wait_s=wait_s,
            max_wait_s=max_wait_s,
        )

    def retry_after_s(self, wait_s: float, now: float) -> float:
        """Returns after which time a caller that is rejected now should retry.

        Args:
            wait_s: Expected wait at the server, in seconds.
            now: Time in seconds.
        """
        return self._retry_times.next_s(
            wait_s=wait_s,
            admitted_per_s=self._admitted_shares[_ALL].admitted_per_s(now),
            now=now,
        )

    def _count(self, arrival: admission.Arrival, now: float) -> None:
        if self._first_arrival_s is None:
            self._first_arrival_s = now
        self._priorities.add(arrival.priority)
        self._least_objective.record(arrival.objective_s, now)
        self._baseline_rate.add(arrival.team, 1.0, now)
        self._recent_rate.add(arrival.team, 1.0, now)

    def _max_wait_s(self, arrival: admission.Arrival, now: float) -> float:
        """Returns the longest expected wait at which a request is admitted.

        Priorities and teams that were admitted too rarely are treated like the
        most urgent requests. A resumed stream is admitted before new requests
        of its priority: only its deadline limits its wait, as the objective is
        for a first byte that its caller has received.
        """
        objective_s = self._least_objective.value_s
        if arrival.resumes:
            objective_s = arrival.remaining_s
        limit_s = min(
            objective_s * admission.MAX_WAIT_SHARE, arrival.remaining_s
        )
        if self._is_starved(arrival, now):
            return limit_s
        if self._exceeds_share(arrival.team, now):
            return 0.0
        rank = sorted(self._priorities).index(arrival.priority)
        return limit_s / (1 + rank)

    def _exceeds_share(self, team: str, now: float) -> bool:
        """Tells whether a team sends far more requests than its share."""
        if not team:
            return False
        equal_share = 1 / self._baseline_rate.key_count
        confidence = min(1.0, (now - self._first_arrival_s) / _BASELINE_S)
        usual_share = confidence * self._baseline_rate.share(team)
        return self._recent_rate.share(team) > SURGE_FACTOR * max(
            equal_share, usual_share
        )

    def _is_starved(self, arrival: admission.Arrival, now: float) -> bool:
        min_share = MIN_SERVED_RATIO * self._admitted_shares[_ALL].share(now)
        return any(
            self._admitted_shares[group].share(now) < min_share
            for group in _groups(arrival)
        )


_ALL = "all"


def _groups(arrival: admission.Arrival) -> tuple[object, ...]:
    """Returns the groups that a request is counted in."""
    return _ALL, ("priority", arrival.priority), ("team", arrival.team)
