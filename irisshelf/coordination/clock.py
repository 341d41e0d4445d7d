"""Hybrid logical clock: stamps that keep cause before effect.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

MAX_CLOCK_AHEAD_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Timestamp:
    """A moment: wall-clock seconds, then a counter, then the process."""

    wall_s: float
    count: int
    process: str


class HybridClock:
    """Makes stamps that grow, also past those received from others.

    Args:
        process: Name of this process.
        wall: Returns wall-clock seconds.

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
        """Returns a stamp later than every stamp made or received before."""
        return self._advance(self._last_s, self._count)

    def receive(self, stamp: Timestamp) -> Timestamp:
        """Moves past a received stamp.

        A stamp more than ``MAX_AHEAD_S`` ahead of the wall clock is ignored:
        one process with a wrong clock must not drag all others along.
        """
        if stamp.wall_s > self._wall() + MAX_CLOCK_AHEAD_S:
            return self.now()
        if (stamp.wall_s, stamp.count) > (self._last_s, self._count):
            return self._advance(stamp.wall_s, stamp.count)
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
