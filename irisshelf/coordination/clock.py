"""Hybrid logical clock, whose timestamps preserve causal order.

Reference: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

MAX_CLOCK_AHEAD_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Timestamp:
    """Wall-clock seconds, a logical counter and the process, in this order."""

    wall_s: float
    count: int
    process: str


class HybridClock:
    """Generates strictly increasing timestamps.

    Each is also later than all timestamps received from other processes.

    Args:
        process: Name of this process.
        wall: Returns the wall-clock time in seconds.

    Example:
        >>> clock = HybridClock(process="a", wall=lambda: 5.0)
        >>> clock.now() < clock.now()
        True
    """

    def __init__(self, *, process: str, wall: Callable[[], float]):
        self._process = process
        self._wall = wall
        self._last_s = 0.0
        self._count = 0

    def now(self) -> Timestamp:
        """Returns a timestamp later than all generated or received so far."""
        return self._advance(self._last_s, self._count)

    def receive(self, timestamp: Timestamp) -> Timestamp:
        """Advances the clock past a received timestamp and returns the result.

        A timestamp more than ``MAX_CLOCK_AHEAD_S`` ahead of the wall clock is
        ignored, so that one process with a wrong clock does not advance the
        clocks of all others.
        """
        if timestamp.wall_s > self._wall() + MAX_CLOCK_AHEAD_S:
            return self.now()
        if (timestamp.wall_s, timestamp.count) > (self._last_s, self._count):
            return self._advance(timestamp.wall_s, timestamp.count)
        return self.now()

    def _advance(self, last_s: float, count: int) -> Timestamp:
        wall_s = self._wall()
        if wall_s > last_s:
            self._last_s = wall_s
            self._count = 0
        else:
            self._last_s = last_s
            self._count = count + 1
        return Timestamp(
            wall_s=self._last_s, count=self._count, process=self._process
        )
