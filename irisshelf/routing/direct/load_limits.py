"""Load limits of servers that have asked for a backoff.

A server that asks for a backoff when it is full rejects all requests for
several seconds, and its share of them then fills the other servers. The length
of a server's queue is not published. A server that has asked for a backoff
therefore gets as many requests as it has slots and none that wait, and then a
limit that rises slowly: additive increase after a multiplicative decrease, as
in congestion control for a path of unknown capacity.
"""

from __future__ import annotations

import math

# Time in which the limit rises by the number of the server's slots.
_RISE_S = 30.0
# A limit is lifted once it reaches this multiple of the number of slots.
_MAX_MULTIPLE = 10.0


class LoadLimits:
    """Limits the number of requests at servers that asked for a backoff."""

    def __init__(self):
        self._backoff_s: dict[str, float] = {}

    def record_backoff(self, name: str, now: float) -> None:
        """Records that a server has asked for a backoff."""
        self._backoff_s[name] = now

    def limit(self, name: str, slots: int, now: float) -> float:
        """Returns how many requests a server may have.

        Args:
            name: The server.
            slots: Requests that it processes concurrently.
            now: Time in seconds.

        Example:
            >>> limits = LoadLimits()
            >>> limits.record_backoff("s-1", 100.0)
            >>> limits.limit("s-1", 4, 115.0), limits.limit("s-2", 4, 115.0)
            (6.0, inf)
        """
        backoff_s = self._backoff_s.get(name)
        if backoff_s is None:
            return math.inf
        multiple = 1 + (now - backoff_s) / _RISE_S
        if multiple >= _MAX_MULTIPLE:
            del self._backoff_s[name]
            return math.inf
        return multiple * max(1, slots)

    def retain(self, names: frozenset[str]) -> None:
        """Removes servers that are no longer listed."""
        for name in self._backoff_s.keys() - names:
            del self._backoff_s[name]
