"""Share and rate of the requests that are admitted."""

from __future__ import annotations

import math

# Half-life of the counts from which admitted shares are computed.
_ADMITTED_HALF_LIFE_S = 2.0


class AdmittedShare:
    """Exponentially decayed counts of arrived and admitted requests."""

    def __init__(self):
        self._arrived = 0.0
        self._admitted = 0.0
        self._at_s = -math.inf

    def add(self, admitted: bool, now: float) -> None:
        """Counts a request as arrived and, if so, as admitted."""
        self._decay(now)
        self._arrived += 1.0
        self._admitted += admitted

    def share(self, now: float) -> float:
        """Returns the share that was admitted; 1 if none arrived."""
        self._decay(now)
        return self._admitted / self._arrived if self._arrived else 1.0

    def admitted_per_s(self, now: float) -> float:
        """Returns the rate at which requests are admitted."""
        self._decay(now)
        return self._admitted * math.log(2) / _ADMITTED_HALF_LIFE_S

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._at_s
        self._at_s = now
        remaining = 0.5 ** (elapsed_s / _ADMITTED_HALF_LIFE_S)
        self._arrived *= remaining
        self._admitted *= remaining
