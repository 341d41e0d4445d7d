"""Servers that are slow for a time or for good, on simulated time.

Used by ``busy_service``: work at a server progresses at a rate that its
slowdown divides, also when the slowdown changes meanwhile.
"""

from __future__ import annotations

import abc
import dataclasses
import math


class Slowdowns(abc.ABC):
    """Slowdown of each server over time."""

    @abc.abstractmethod
    def at(self, number: int, at_s: float) -> float:
        """Returns the slowdown of a server at a time; 1.0 is normal."""

    @abc.abstractmethod
    def next_change_s(self, at_s: float) -> float:
        """Returns until when no slowdown changes, seconds from the start."""

    def duration_s(self, number: int, begin_s: float, normal_s: float) -> float:
        """Returns how long a request takes that takes ``normal_s`` normally.

        Args:
            number: The server.
            begin_s: When its processing begins, seconds from the start.
            normal_s: Its normal processing time.
        """
        now, remaining_s = begin_s, normal_s
        while True:
            slowdown = self.at(number, now)
            until_s = self.next_change_s(now)
            if now + remaining_s * slowdown <= until_s:
                return now + remaining_s * slowdown - begin_s
            remaining_s -= (until_s - now) / slowdown
            now = until_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowInTurn(Slowdowns):
    """Each server is slow in one of several intervals, which then repeat.

    Attributes:
        factor: Slowdown in that interval.
        intervals: Number of intervals.
        interval_s: Their length.
    """

    factor: float
    intervals: int
    interval_s: float

    def at(self, number: int, at_s: float) -> float:
        """See ``Slowdowns.at``."""
        interval = int(at_s / self.interval_s)
        is_slow = (interval - number) % self.intervals == 0
        return self.factor if is_slow else 1.0

    def next_change_s(self, at_s: float) -> float:
        """See ``Slowdowns.next_change_s``."""
        end_s = (int(at_s / self.interval_s) + 1) * self.interval_s
        # Rounding may yield a time that is not later.
        return end_s if end_s > at_s else math.nextafter(at_s, math.inf)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowForGood(Slowdowns):
    """Some servers are always slow.

    Attributes:
        factor: Their slowdown.
        servers: Their number; they are the first ones.
    """

    factor: float
    servers: int

    def at(self, number: int, at_s: float) -> float:
        """See ``Slowdowns.at``."""
        return self.factor if number < self.servers else 1.0

    def next_change_s(self, at_s: float) -> float:
        """See ``Slowdowns.next_change_s``."""
        return math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Served:
    """A request that was answered completely.

    Attributes:
        server: Number of the server.
        came_s: When it came, seconds from the start.
        ended_s: When it was answered.
    """

    server: int
    came_s: float
    ended_s: float


class Observer:
    """Records what servers do.

    Attributes:
        served: Requests answered, in this order.
        above_cap: When requests reached a server that then had more of them
            than a multiple of the mean and a constant, and the excess.
    """

    def __init__(self, *, cap_factor: float, cap_extra: float):
        self._cap_factor = cap_factor
        self._cap_extra = cap_extra
        self.served: list[Served] = []
        self.above_cap: list[tuple[float, float]] = []

    def record_arrival(
        self, loads: list[int], number: int, at_s: float
    ) -> None:
        """Records that a request has reached a server.

        Args:
            loads: Requests at each server, including this one.
            number: The server that it has reached.
            at_s: When, seconds from the start.
        """
        mean = sum(loads) / len(loads)
        excess = loads[number] - self._cap_factor * mean - self._cap_extra
        if excess > 0:
            self.above_cap.append((at_s, excess))

    def share_within(self, limit_s: float, asked: int) -> float:
        """Returns the share of requests that were answered within a time."""
        within = sum(one.ended_s - one.came_s <= limit_s for one in self.served)
        return within / asked

    def count_at(self, servers: range, begin_s: float, end_s: float) -> int:
        """Counts the requests that some servers answered in a time."""
        return sum(
            one.server in servers and begin_s <= one.ended_s < end_s
            for one in self.served
        )
