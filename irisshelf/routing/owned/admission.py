"""Admission by priority and team share, with early refusal.

An instance runs at most ``limit`` requests of a service at a time. A part of
it, ``RESERVE``, is only for teams below their guaranteed share, so a small
team gets in at once while a large one surges. What cannot start waits in its
team's queue. The next start goes to the highest priority, then to the team
with the fewest running requests for its share. A request that cannot start
before its deadline at the current pace is refused at once, not later.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from irisshelf.bundle import schema

RESERVED_SHARE = 0.1
MAX_WAITING = 4096
_PACE_WEIGHT = 0.1
_RANKS = {
    schema.Priority.URGENT: 0,
    schema.Priority.NORMAL: 1,
    schema.Priority.BACKGROUND: 2,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request that wants to start."""

    request_id: str
    team: str
    priority: schema.Priority
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may start now."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queued:
    """The request waits; its ``Admitted`` or ``Rejection`` follows."""

    ticket: Ticket


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """The request is refused; come back after ``retry_after_s``."""

    ticket: Ticket
    retry_after_s: float


class Admission:
    """Admission of one service on one instance.

    Args:
        limit: Requests that may run at a time.
        shares: Share by team; a team not listed counts 1.
    """

    def __init__(self, *, limit: int, shares: dict[str, float]):
        self._limit = limit
        self._shares = shares
        self._share_total = sum(shares.values()) or 1.0
        self._running: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._queues: dict[tuple[int, str], collections.deque[Ticket]] = {}
        self._waiting = 0
        self._service_s = 1.0

    @property
    def running(self) -> int:
        """Requests that run."""
        return self._total

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._waiting

    def configure(self, *, limit: int, shares: dict[str, float]) -> None:
        """Takes new limits; what runs or waits goes on."""
        self._limit = limit
        self._shares = shares
        self._share_total = sum(shares.values()) or 1.0

    def submit(
        self, ticket: Ticket, now: float
    ) -> Admitted | Queued | Rejection:
        """Takes a request; it starts, waits or is refused at once."""
        if self._may_start(ticket.team):
            self._start(ticket)
            return Admitted(ticket=ticket)
        wait_s = self.expected_wait_s(ticket)
        if self._waiting >= MAX_WAITING or now + wait_s > ticket.deadline_s:
            return Rejection(ticket=ticket, retry_after_s=wait_s)
        key = (_RANKS[ticket.priority], ticket.team)
        self._queues.setdefault(key, collections.deque()).append(ticket)
        self._waiting += 1
        return Queued(ticket=ticket)

    def record_end(self, team: str, duration_s: float) -> list[Admitted]:
        """Counts a request that no longer runs.

        Args:
            team: The request's team.
            duration_s: How long it ran; 0 if that is not known.

        Returns:
            Waiting requests that start now.
        """
        self._running[team] -= 1
        if self._running[team] <= 0:
            del self._running[team]
        self._total -= 1
        self._service_s += _PACE_WEIGHT * (duration_s - self._service_s)
        return self._drain()

    def expire(self, now: float) -> list[Rejection]:
        """Refuses what has waited past its deadline."""
        given_up = []
        for queue in self._queues.values():
            while queue and queue[0].deadline_s <= now:
                given_up.append(self._refuse(queue.popleft()))
        self._drop_empty()
        return given_up

    def cancel(self, ticket: Ticket) -> None:
        """Removes a waiting request whose caller went away."""
        key = (_RANKS[ticket.priority], ticket.team)
        queue = self._queues.get(key)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._waiting -= 1
            self._drop_empty()

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Estimates the wait behind those of the same or higher priority."""
        rank = _RANKS[ticket.priority]
        ahead = sum(
            len(queue)
            for (other, team), queue in self._queues.items()
            if other < rank or (other == rank and team == ticket.team)
        )
        pace = self._service_s / max(1.0, self._guaranteed(ticket.team))
        return (ahead + 1) * pace

    def _guaranteed(self, team: str) -> float:
        share = self._shares.get(team, 1.0)
        return self._limit * share / max(self._share_total, share)

    def _may_start(self, team: str) -> bool:
        if self._total >= self._limit:
            return False
        if self._running[team] < math.floor(self._guaranteed(team)):
            return True
        return self._total < max(
            1, math.floor(self._limit * (1 - RESERVED_SHARE))
        )

    def _start(self, ticket: Ticket) -> None:
        self._running[ticket.team] += 1
        self._total += 1

    def _drain(self) -> list[Admitted]:
        started = []
        while (key := self._next()) is not None:
            ticket = self._queues[key].popleft()
            self._waiting -= 1
            self._start(ticket)
            started.append(Admitted(ticket=ticket))
            self._drop_empty()
        return started

    def _next(self) -> tuple[int, str] | None:
        ready = [key for key in self._queues if self._may_start(key[1])]
        if not ready:
            return None
        return min(ready, key=self._turn)

    def _turn(self, key: tuple[int, str]) -> tuple[int, float, str]:
        rank, team = key
        usage = self._running[team] / self._shares.get(team, 1.0)
        return rank, usage, team

    def _refuse(self, ticket: Ticket) -> Rejection:
        self._waiting -= 1
        return Rejection(
            ticket=ticket, retry_after_s=self.expected_wait_s(ticket)
        )

    def _drop_empty(self) -> None:
        empty = [key for key, queue in self._queues.items() if not queue]
        for key in empty:
            del self._queues[key]
