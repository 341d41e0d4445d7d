"""Admission control by priority and team share, with early rejection.

An instance runs at most ``limit`` requests of a service concurrently. The
fraction ``RESERVED_SHARE`` of them is reserved for teams below their guaranteed
share, so that a small team is admitted immediately during a surge of a large
one. Other requests wait in a queue per priority and team. The next request to
start is one of the highest priority, from the team with the fewest running
requests relative to its share, and of these the one with the earliest deadline.
A request that is not expected to start before its deadline is rejected on
arrival.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import math

from irisshelf.bundle import schema
from irisshelf.overload import service_time

RESERVED_SHARE = 0.1
MAX_WAITING = 4096
# Weight of the latest request in the moving average of the service time.
_SERVICE_TIME_WEIGHT = 0.1
_INITIAL_SERVICE_TIME_S = 1.0
_RANKS = {
    schema.Priority.URGENT: 0,
    schema.Priority.NORMAL: 1,
    schema.Priority.BACKGROUND: 2,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request that asks for admission."""

    request_id: str
    team: str
    priority: schema.Priority
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may start immediately."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request is queued; an ``Admitted`` or ``Rejection`` follows."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """The request is rejected and may be retried after ``retry_after_s``."""

    ticket: Ticket
    retry_after_s: float


class Admission:
    """Admission control of one service on one instance.

    Args:
        limit: Maximum number of concurrently running requests.
        shares: Share by team; 1 for a team that is not listed.
    """

    def __init__(self, *, limit: int, shares: dict[str, float]):
        self._limit = limit
        self._shares = shares
        self._share_total = sum(shares.values()) or 1.0
        self._running: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._queues: dict[tuple[int, str], collections.deque[Ticket]] = {}
        self._waiting = 0
        self._service_time = service_time.ServiceTime(
            initial_s=_INITIAL_SERVICE_TIME_S, weight=_SERVICE_TIME_WEIGHT
        )

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._total

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._waiting

    def configure(self, *, limit: int, shares: dict[str, float]) -> None:
        """Sets new limits; running and queued requests are kept."""
        self._limit = limit
        self._shares = shares
        self._share_total = sum(shares.values()) or 1.0

    def submit(
        self, ticket: Ticket, now: float
    ) -> Admitted | Queued | Rejection:
        """Admits, queues or rejects a request."""
        if self._may_start(ticket.team):
            self._start(ticket)
            return Admitted(ticket=ticket)
        wait_s = self.expected_wait_s(ticket)
        if self._waiting >= MAX_WAITING or now + wait_s > ticket.deadline_s:
            return Rejection(ticket=ticket, retry_after_s=wait_s)
        key = (_RANKS[ticket.priority], ticket.team)
        queue = self._queues.setdefault(key, collections.deque())
        index = bisect.bisect_right(
            queue, ticket.deadline_s, key=lambda other: other.deadline_s
        )
        queue.insert(index, ticket)
        self._waiting += 1
        return Queued(ticket=ticket)

    def record_end(self, team: str, duration_s: float) -> list[Admitted]:
        """Records that a request no longer runs.

        Args:
            team: The request's team.
            duration_s: How long it ran; 0 if that is not known.

        Returns:
            Queued requests that start now.
        """
        self._running[team] -= 1
        if self._running[team] <= 0:
            del self._running[team]
        self._total -= 1
        if duration_s > 0:
            self._service_time.record(duration_s)
        return self._start_queued()

    def expire(self, now: float) -> list[Rejection]:
        """Rejects queued requests whose deadline has passed."""
        rejected = []
        for queue in self._queues.values():
            while queue and queue[0].deadline_s <= now:
                rejected.append(self._reject(queue.popleft()))
        self._remove_empty_queues()
        return rejected

    def cancel(self, ticket: Ticket) -> None:
        """Removes a queued request whose caller has disconnected."""
        key = (_RANKS[ticket.priority], ticket.team)
        queue = self._queues.get(key)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._waiting -= 1
            self._remove_empty_queues()

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Estimates the queueing time of a request.

        Counts queued requests of higher priority, and those of the same
        priority and team.
        """
        rank = _RANKS[ticket.priority]
        ahead = sum(
            len(queue)
            for (other, team), queue in self._queues.items()
            if other < rank or (other == rank and team == ticket.team)
        )
        return self._service_time.wait_s(
            ahead + 1, max(1.0, self._guaranteed_slots(ticket.team))
        )

    def _guaranteed_slots(self, team: str) -> float:
        share = self._shares.get(team, 1.0)
        return self._limit * share / max(self._share_total, share)

    def _may_start(self, team: str) -> bool:
        if self._total >= self._limit:
            return False
        if self._running[team] < math.floor(self._guaranteed_slots(team)):
            return True
        return self._total < max(
            1, math.floor(self._limit * (1 - RESERVED_SHARE))
        )

    def _start(self, ticket: Ticket) -> None:
        self._running[ticket.team] += 1
        self._total += 1

    def _start_queued(self) -> list[Admitted]:
        started = []
        while (key := self._next_queue()) is not None:
            ticket = self._queues[key].popleft()
            self._waiting -= 1
            self._start(ticket)
            started.append(Admitted(ticket=ticket))
            self._remove_empty_queues()
        return started

    def _next_queue(self) -> tuple[int, str] | None:
        ready = [key for key in self._queues if self._may_start(key[1])]
        if not ready:
            return None
        return min(ready, key=self._order_key)

    def _order_key(self, key: tuple[int, str]) -> tuple[int, float, str]:
        rank, team = key
        usage = self._running[team] / self._shares.get(team, 1.0)
        return rank, usage, team

    def _reject(self, ticket: Ticket) -> Rejection:
        self._waiting -= 1
        return Rejection(
            ticket=ticket, retry_after_s=self.expected_wait_s(ticket)
        )

    def _remove_empty_queues(self) -> None:
        empty = [key for key, queue in self._queues.items() if not queue]
        for key in empty:
            del self._queues[key]
