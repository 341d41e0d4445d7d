"""Refuses early what an overloaded service could only keep waiting.

A backend server works on so many requests at a time and lets the others wait.
When more comes than it can do, everybody waits past the objective and nobody
is served well. So a request is admitted only if the wait that it would find is
short; the others are told at once when to come back, while there is time to.

- More urgent requests find a longer wait acceptable, so they go first.
- A team that brings several times its share of the requests gets free places
  only, so that it does not push the others out.
- No priority and no team is served less than ``FLOOR`` times as often as all,
  so that a lasting overload starves nobody.

All of it is learnt from what servers and requests show; each instance decides
by itself.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from irisshelf.routing import popularity

# Of the shortest objective of the service's routes, the part that the most
# urgent requests may wait for a place; the rest is for the way and the prompt.
MAX_WAIT_SHARE = 0.6
# Priorities and teams are served at least so often as all, by share. Half
# leaves the order of priorities visible and is twice what the users' rule on
# starved kinds and teams asks for.
MIN_SERVED_RATIO = 0.5
# A team may bring so many times its share before it gets free places only.
SURGE_FACTOR = 3.0
# A team's share is an equal one at first; what it usually brings, if that is
# more, counts fully after so many seconds.
_USUAL_S = 300.0
_NOW_HALF_LIFE_S = 1.0
# Shares of service are counted over about so many seconds.
_SERVED_HALF_LIFE_S = 2.0
# An overload is over when nobody had to be refused for so long.
_CALM_S = 1.0
# An overload is taken to last for so many times as long as it has.
_LASTS_ON = 2.0
# Nobody is told to come back sooner: a place has to fall free meanwhile.
_SHORTEST_RETRY_S = 0.2
# Nor later: whoever waits for a person's answer has given up by then, and an
# overload of that length says little about how long it still lasts.
_LONGEST_RETRY_S = 30.0
# Part of the pace at which requests are admitted that is kept for callers who
# come back.
_RETURN_SHARE = 0.5
_DURATION_WEIGHT = 0.05
_FIRST_DURATION_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that wants to be sent.

    Attributes:
        priority: Its rank, 0 is the most urgent.
        team: The team that it belongs to; empty on public routes.
        objective_s: Time to the first byte that its route aims at.
        remaining_s: How long its caller still waits.
    """

    priority: int
    team: str
    objective_s: float
    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The request is not sent.

    Attributes:
        retry_after_s: When its caller should come back.
        wait_s: The wait that it would have found.
        max_wait_s: The longest wait that it might have found.
    """

    retry_after_s: float
    wait_s: float
    max_wait_s: float


class AdmissionControl:
    """Admission to one service by one instance."""

    def __init__(self):
        self._duration_s = _FIRST_DURATION_S
        self._objective_s = math.inf
        self._priorities: set[int] = set()
        self._usual = popularity.Popularity(half_life_s=_USUAL_S)
        self._now = popularity.Popularity(half_life_s=_NOW_HALF_LIFE_S)
        self._served: dict[object, _Served] = collections.defaultdict(_Served)
        self._first_s: float | None = None
        self._began_s = math.inf
        self._last_refused_s = -math.inf
        self._next_return_s = -math.inf

    def record_service_time(self, lasted_s: float) -> None:
        """Takes how long a request took a server's place."""
        step = lasted_s - self._duration_s
        self._duration_s += _DURATION_WEIGHT * step

    def estimated_wait_s(self, load: float, slots: int) -> float:
        """Estimates how long one more request waits at a server.

        Args:
            load: Requests that the server has, running or waiting.
            slots: Requests that it runs at a time.
        """
        if slots <= 0:
            return 0.0
        waiting = max(0.0, load + 1 - slots)
        return waiting * self._duration_s / slots

    def admit(
        self,
        arrival: Arrival,
        wait_s: float,
        now: float,
        *,
        full: bool = False,
    ) -> Refusal | None:
        """Decides on a request.

        Args:
            arrival: The request.
            wait_s: The wait that it would find where it would be sent.
            now: Time in seconds.
            full: Whether the server would turn it away.

        Returns:
            None if it is to be sent.
        """
        self._count(arrival, now)
        max_wait_s = self._max_wait_s(arrival, now)
        admitted = not full and wait_s <= max_wait_s
        for key in _keys(arrival):
            self._served[key].add(admitted, now)
        if admitted:
            return None
        return Refusal(
            retry_after_s=self.retry_after_s(wait_s, now),
            wait_s=wait_s,
            max_wait_s=max_wait_s,
        )

    def retry_after_s(self, wait_s: float, now: float) -> float:
        """Tells when a caller that is refused now should come back.

        When the queue has been worked off; and not before the overload is
        probably over: of those that have lasted for some time, two in three
        end before they have lasted three times as long, if nothing else is
        known of them. A caller that returns too early is refused again, which
        costs it more than the longer wait. Callers return one after the other,
        in the order of their refusals, at a part of the pace at which requests
        are admitted.
        """
        if now - self._last_refused_s > _CALM_S:
            self._began_s = now
            self._next_return_s = -math.inf
        self._last_refused_s = now
        lasts_s = _LASTS_ON * (now - self._began_s)
        pause_s = max(_SHORTEST_RETRY_S, wait_s, lasts_s)
        pace = _RETURN_SHARE * self._served[_ALL].admitted_per_s(now)
        gap_s = 1 / pace if pace > 0 else 0.0
        return_s = max(now + pause_s, self._next_return_s + gap_s)
        self._next_return_s = min(return_s, now + _LONGEST_RETRY_S)
        return self._next_return_s - now

    def _count(self, arrival: Arrival, now: float) -> None:
        if self._first_s is None:
            self._first_s = now
        self._priorities.add(arrival.priority)
        if arrival.objective_s > 0:
            self._objective_s = min(self._objective_s, arrival.objective_s)
        self._usual.add(arrival.team, 1.0, now)
        self._now.add(arrival.team, 1.0, now)

    def _max_wait_s(self, arrival: Arrival, now: float) -> float:
        """Returns the longest wait that a request may find.

        Who has been served too seldom gets in as the most urgent do.
        """
        longest_s = min(self._objective_s * MAX_WAIT_SHARE, arrival.remaining_s)
        if self._is_starved(arrival, now):
            return longest_s
        if self._surges(arrival.team, now):
            return 0.0
        place = sorted(self._priorities).index(arrival.priority)
        return longest_s / (1 + place)

    def _surges(self, team: str, now: float) -> bool:
        """Tells whether a team brings far more than its share."""
        if not team:
            return False
        equal = 1 / self._usual.key_count
        known = min(1.0, (now - self._first_s) / _USUAL_S)
        usual = known * self._usual.share(team)
        return self._now.share(team) > SURGE_FACTOR * max(equal, usual)

    def _is_starved(self, arrival: Arrival, now: float) -> bool:
        least = MIN_SERVED_RATIO * self._served[_ALL].share(now)
        return any(
            self._served[key].share(now) < least for key in _keys(arrival)
        )


class _Served:
    """How many requests came and were admitted, decayed."""

    def __init__(self):
        self._arrived = 0.0
        self._admitted = 0.0
        self._at_s = -math.inf

    def add(self, admitted: bool, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self._arrived += 1.0
        self._admitted += admitted

    def share(self, now: float) -> float:
        """Returns the share that was admitted; 1 if none came."""
        self._decay(now)
        return self._admitted / self._arrived if self._arrived else 1.0

    def admitted_per_s(self, now: float) -> float:
        """Returns the pace at which requests are admitted."""
        self._decay(now)
        return self._admitted * math.log(2) / _SERVED_HALF_LIFE_S

    def _decay(self, now: float) -> None:
        passed_s = now - self._at_s
        self._at_s = now
        left = 0.5 ** (passed_s / _SERVED_HALF_LIFE_S)
        self._arrived *= left
        self._admitted *= left


_ALL = "all"


def _keys(arrival: Arrival) -> tuple[object, ...]:
    """Returns what a request is counted under."""
    return _ALL, ("priority", arrival.priority), ("team", arrival.team)
