"""Clocks that tests set by hand."""

from __future__ import annotations


class FakeClock:
    """A clock, in seconds, that moves only when told to.

    Example:
        >>> clock = FakeClock(start_s=10.0)
        >>> clock.advance(2.5)
        >>> clock()
        12.5
    """

    def __init__(self, *, start_s: float = 0.0):
        self._now_s = start_s

    def __call__(self) -> float:
        """Returns the time now."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now_s += seconds
