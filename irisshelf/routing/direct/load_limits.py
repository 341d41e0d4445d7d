"""How much servers take that have asked for rest.

A server that asks for rest when it is full turns everything away for seconds,
and its share then fills the others. How many requests may wait at a server is
written nowhere. So one that has asked for rest gets as many requests as it
works on at a time and no more waiting ones, and then slowly more: an additive
increase after a multiplicative decrease, as for any capacity that is unknown.
"""

from __future__ import annotations

import math

# In this time the limit rises by as many requests as the server works on.
_RISE_S = 30.0
# A limit so many times as high as what the server works on binds no more.
_MOST = 10.0


class LoadLimits:
    """Limits of the load of servers that have asked for rest."""

    def __init__(self):
        self._rested_s: dict[str, float] = {}

    def record_backoff(self, name: str, now: float) -> None:
        """Takes that a server asks for rest."""
        self._rested_s[name] = now

    def limit(self, name: str, slots: int, now: float) -> float:
        """Returns how many requests a server may have.

        Args:
            name: The server.
            slots: Requests that it works on at a time.
            now: Time in seconds.

        Example:
            >>> loads = LoadLimits()
            >>> loads.record_backoff("s-1", 100.0)
            >>> loads.limit("s-1", 4, 115.0), loads.limit("s-2", 4, 115.0)
            (6.0, inf)
        """
        rested_s = self._rested_s.get(name)
        if rested_s is None:
            return math.inf
        times = 1 + (now - rested_s) / _RISE_S
        if times >= _MOST:
            del self._rested_s[name]
            return math.inf
        return times * max(1, slots)

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are not listed any more."""
        for name in self._rested_s.keys() - names:
            del self._rested_s[name]
