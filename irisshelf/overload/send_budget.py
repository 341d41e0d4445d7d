"""The rate at which the fleet may send requests, divided among the instances.

The demand that instances know of each other is up to 0.65 s old. What the
servers report is newer: they can take what they process, and more while their
queues are short. Each instance may use its share of that, its part of the
arrivals, since all see the same servers at the same time.
"""

from __future__ import annotations

import math

# Shares are based on the arrivals of the last seconds: an instance of a large
# fleet receives a few requests a second.
_SHARE_HALF_LIFE_S = 2.0
# A budget that is not used is kept up to this number of requests, and up to
# what is gained in this time.
_MAX_LEVEL = 2.0
_MAX_LEVEL_S = 0.1
# Requests that are admitted beyond the budget are remembered up to this number.
_MAX_DEBT = 3.0
CAP_OVER = 0.5
SLOPE = 1.0
# After a pause without requests, only so much time counts.
_MAX_STEP_S = 0.5


class SendBudget:
    """Number of requests that one instance may send now."""

    def __init__(self):
        self._own = 0.0
        self._fleet = 0.0
        self._level = 0.0
        self.most = 2.0
        self.most = 2.0
        self._at_s = -math.inf

    @property
    def share(self) -> float:
        """This instance's part of the requests that arrive, from 0 to 1."""
        if self._fleet <= self._own:
            return 1.0
        return self._own / self._fleet

    @property
    def level(self) -> float:
        """Requests that may be sent now; below 0 if too many were."""
        return self._level

    def update(
        self, *, rate_per_s: float, fleet_per_s: float, counts: bool, full_per_s: float, now: float
    ) -> None:
        """Records an arriving request.

        Args:
            rate_per_s: Rate at which all instances together may send.
            fleet_per_s: Requests that arrive at all instances, per second.
            now: Time in seconds.
        """
        elapsed_s = max(0.0, now - self._at_s)
        self._at_s = now
        kept = 0.5 ** (elapsed_s / _SHARE_HALF_LIFE_S)
        step_s = min(elapsed_s, _MAX_STEP_S)
        self._own = self._own * kept + counts
        self._fleet = self._fleet * kept + fleet_per_s * step_s
        over = rate_per_s < full_per_s
        raw = rate_per_s
        rate_per_s *= self.share
        self.most = most = max(_MAX_LEVEL, rate_per_s * _MAX_LEVEL_S)
        self._level = min(self._level + rate_per_s * step_s, most)
        if over:
            self._level = min(self._level, CAP_OVER - SLOPE * (1 - raw / full_per_s))
        self._level = max(self._level, -_MAX_DEBT)

    def charge(self) -> None:
        """Counts a request that is sent."""
        self._level = max(self._level - 1.0, -_MAX_DEBT)
