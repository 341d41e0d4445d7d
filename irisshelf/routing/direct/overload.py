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
own.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from irisshelf.routing import popularity

# The most urgent requests may wait for a slot for this share of the shortest
# latency objective of the service's routes. The rest of the objective is for
# the network and for processing the prompt.
MAX_WAIT_SHARE = 0.6
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
# Half-life of the counts from which admitted shares are computed.
_ADMITTED_HALF_LIFE_S = 2.0
# An overload has ended when no request was rejected for this time.
_QUIET_S = 1.0
# An overload is expected to continue for this multiple of its duration so far.
_REMAINING_FACTOR = 2.0
# Minimum Retry-After: a slot has to become free in the meantime.
_MIN_RETRY_AFTER_S = 0.2
# Maximum Retry-After: callers that act for a person have given up by then, and
# the duration of such an overload so far is a poor predictor of the rest.
_MAX_RETRY_AFTER_S = 30.0
# Share of the rate of admitted requests that is reserved for retries.
_RETRY_SHARE = 0.5
_SERVICE_TIME_WEIGHT = 0.05
_INITIAL_SERVICE_TIME_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that is to be admitted or rejected.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        team: The team that it belongs to; empty on public routes.
        objective_s: Latency objective of its route, to the first byte.
        remaining_s: How long its caller still waits.
        resumes: Whether it continues a stream of which the caller has a part.
    """

    priority: int
    team: str
    objective_s: float
    remaining_s: float
    resumes: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Rejection of a request.

    Attributes:
        retry_after_s: After which time its caller should retry.
        wait_s: The expected wait.
        max_wait_s: The longest wait at which it would have been admitted.
        why: The reason, for the response.
    """

    retry_after_s: float
    wait_s: float
    max_wait_s: float
    why: str = "overloaded"


class AdmissionControl:
    """Admission control of one instance for one service."""

    def __init__(self):
        self._service_time_s = _INITIAL_SERVICE_TIME_S
        self._min_objective_s = math.inf
        self._priorities: set[int] = set()
        self._baseline_rate = popularity.Popularity(half_life_s=_BASELINE_S)
        self._recent_rate = popularity.Popularity(
            half_life_s=_RECENT_HALF_LIFE_S
        )
        self._admitted_shares: dict[object, _AdmittedShare] = (
            collections.defaultdict(_AdmittedShare)
        )
        self._first_arrival_s: float | None = None
        self._overload_began_s = math.inf
        self._last_rejected_s = -math.inf
        self._next_retry_s = -math.inf

    def record_service_time(self, service_time_s: float) -> None:
        """Records for how long a request occupied a slot of a server."""
        step = service_time_s - self._service_time_s
        self._service_time_s += _SERVICE_TIME_WEIGHT * step

    def estimated_wait_s(self, load: float, slots: int) -> float:
        """Estimates how long one more request waits at a server.

        Args:
            load: Number of running and waiting requests at the server.
            slots: Number of requests that it processes concurrently.
        """
        if slots <= 0:
            return 0.0
        waiting = max(0.0, load + 1 - slots)
        return waiting * self._service_time_s / slots

    def admit(
        self,
        arrival: Arrival,
        wait_s: float,
        now: float,
        *,
        full: bool = False,
    ) -> Refusal | None:
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
        return Refusal(
            retry_after_s=self.retry_after_s(wait_s, now),
            wait_s=wait_s,
            max_wait_s=max_wait_s,
        )

    def retry_after_s(self, wait_s: float, now: float) -> float:
        """Returns after which time a caller that is rejected now should retry.

        That is when the queue has been processed, but not before the overload
        has probably ended: of overloads that have lasted for some time, two in
        three end before they have lasted three times as long, if nothing else
        is known. A caller that retries too early is rejected again, which costs
        it more than the longer wait. Retries are scheduled one after the other,
        in the order of the rejections, at a share of the rate at which requests
        are admitted.
        """
        if now - self._last_rejected_s > _QUIET_S:
            self._overload_began_s = now
            self._next_retry_s = -math.inf
        self._last_rejected_s = now
        expected_s = _REMAINING_FACTOR * (now - self._overload_began_s)
        delay_s = max(_MIN_RETRY_AFTER_S, wait_s, expected_s)
        rate = _RETRY_SHARE * self._admitted_shares[_ALL].admitted_per_s(now)
        gap_s = 1 / rate if rate > 0 else 0.0
        retry_s = max(now + delay_s, self._next_retry_s + gap_s)
        self._next_retry_s = min(retry_s, now + _MAX_RETRY_AFTER_S)
        return self._next_retry_s - now

    def _count(self, arrival: Arrival, now: float) -> None:
        if self._first_arrival_s is None:
            self._first_arrival_s = now
        self._priorities.add(arrival.priority)
        if arrival.objective_s > 0:
            self._min_objective_s = min(
                self._min_objective_s, arrival.objective_s
            )
        self._baseline_rate.add(arrival.team, 1.0, now)
        self._recent_rate.add(arrival.team, 1.0, now)

    def _max_wait_s(self, arrival: Arrival, now: float) -> float:
        """Returns the longest expected wait at which a request is admitted.

        Priorities and teams that were admitted too rarely are treated like the
        most urgent requests. A resumed stream is admitted before new requests
        of its priority: only its deadline limits its wait, as the objective is
        for a first byte that its caller has received.
        """
        objective_s = self._min_objective_s
        if arrival.resumes:
            objective_s = arrival.remaining_s
        limit_s = min(objective_s * MAX_WAIT_SHARE, arrival.remaining_s)
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

    def _is_starved(self, arrival: Arrival, now: float) -> bool:
        min_share = MIN_SERVED_RATIO * self._admitted_shares[_ALL].share(now)
        return any(
            self._admitted_shares[group].share(now) < min_share
            for group in _groups(arrival)
        )


class _AdmittedShare:
    """Exponentially decayed counts of arrived and admitted requests."""

    def __init__(self):
        self._arrived = 0.0
        self._admitted = 0.0
        self._at_s = -math.inf

    def add(self, admitted: bool, now: float) -> None:
        """Counts a request as arrived and, if so, as admitted."""
        self._decay(now)
        self._arrived += 1.0
        self._admitted += admitted

    def share(self, now: float) -> float:
        """Returns the share that was admitted; 1 if none arrived."""
        self._decay(now)
        return self._admitted / self._arrived if self._arrived else 1.0

    def admitted_per_s(self, now: float) -> float:
        """Returns the rate at which requests are admitted."""
        self._decay(now)
        return self._admitted * math.log(2) / _ADMITTED_HALF_LIFE_S

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._at_s
        self._at_s = now
        remaining = 0.5 ** (elapsed_s / _ADMITTED_HALF_LIFE_S)
        self._arrived *= remaining
        self._admitted *= remaining


_ALL = "all"


def _groups(arrival: Arrival) -> tuple[object, ...]:
    """Returns the groups that a request is counted in."""
    return _ALL, ("priority", arrival.priority), ("team", arrival.team)
