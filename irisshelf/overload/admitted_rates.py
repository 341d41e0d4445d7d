"""The rate at which one instance admits requests, by service and priority."""

from __future__ import annotations

import math

# Long enough for an average over some tens of requests, short enough to follow
# a change of the available capacity.
_HALF_LIFE_S = 2.0


class AdmittedRates:
    """Exponentially decayed counts of admitted requests."""

    def __init__(self):
        # Count and the time of its last change, by service and priority.
        self._counts: dict[str, dict[int, tuple[float, float]]] = {}

    def add(self, service: str, priority: int, now: float) -> None:
        """Counts an admitted request."""
        counts = self._counts.setdefault(service, {})
        counts[priority] = (_decayed(counts.get(priority), now) + 1.0, now)

    def per_s(self, service: str, priority: int, now: float) -> float:
        """Returns the rate of a priority and of the less urgent ones together.

        While requests are rejected, servers process as many as are admitted.
        Those that are less urgent use what this priority could have.

        Args:
            service: The service.
            priority: The priority; 0 is the most urgent.
            now: Monotonic seconds.
        """
        counts = self._counts.get(service, {})
        total = sum(
            _decayed(count, now)
            for other, count in counts.items()
            if other >= priority
        )
        return total * math.log(2) / _HALF_LIFE_S


def _decayed(count: tuple[float, float] | None, now: float) -> float:
    if count is None:
        return 0.0
    value, at_s = count
    return value * 0.5 ** ((now - at_s) / _HALF_LIFE_S)
