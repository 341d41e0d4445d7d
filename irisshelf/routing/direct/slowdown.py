"""Slowdown of backend servers: processing time relative to normal."""

from __future__ import annotations

# Bounds of a slowdown. Far outside them a report is a mistake; within them, a
# single report cannot turn a server's share of the requests into none or all.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
_PERCENT = 100


def from_percent(percent: int) -> float:
    """Returns the slowdown for a figure in percent, within the bounds.

    Example:
        >>> from_percent(250), from_percent(10**9)
        (2.5, 100.0)
    """
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, percent / _PERCENT))


def to_percent(slowdown: float) -> int:
    """Returns a slowdown in percent.

    Example:
        >>> to_percent(2.5)
        250
    """
    return round(slowdown * _PERCENT)
