"""How often servers of a service report, and which ones are silent."""

from __future__ import annotations

import math

_HALF_LIFE_S = 2.0
# A server is silent after this time and this multiple of the mean interval
# between two reports of a server. If reports come independently of each other,
# one of 150 servers is taken for silent by mistake, which costs one prompt part
# that is read again.
_MIN_SILENT_S = 0.5
_SILENT_INTERVALS = 5.0


class ReportRate:
    """Exponentially decayed count of load reports."""

    def __init__(self):
        self._count = 0.0
        self._at_s = -math.inf

    def record(self, at_s: float) -> None:
        """Counts a report of any server."""
        self._count = self._decayed(at_s) + 1.0
        self._at_s = max(self._at_s, at_s)

    def is_silent(self, age_s: float, servers: float, now: float) -> bool:
        """Returns whether a server has reported nothing for unusually long.

        Args:
            age_s: Age of its last report, in seconds.
            servers: Number of servers that report, for each one that the age
                is that of.
            now: Monotonic seconds.

        Returns:
            False also if no server has reported lately: the instance may be cut
            off from all of them.
        """
        per_s = self._decayed(now) * math.log(2) / _HALF_LIFE_S
        if per_s * servers <= 0:
            return False
        interval_s = servers / per_s
        return age_s > _MIN_SILENT_S + _SILENT_INTERVALS * interval_s

    def _decayed(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._at_s)
        return self._count * 0.5 ** (elapsed_s / _HALF_LIFE_S)
