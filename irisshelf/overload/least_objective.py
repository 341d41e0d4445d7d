"""The shortest latency objective of the routes of a service in use."""

from __future__ import annotations

import math

# An objective counts for this time after the last request of its route, and up
# to twice as long. A route that has been withdrawn, or whose objective has been
# corrected, must not limit the other ones for as long as the instance runs.
_LIFE_S = 60.0


class LeastObjective:
    """The least objective of the requests that have arrived lately."""

    def __init__(self):
        self._current_s = math.inf
        self._before_s = math.inf
        self._began_s = -math.inf

    def record(self, objective_s: float, now: float) -> None:
        """Records the objective of an arriving request.

        Args:
            objective_s: The objective in seconds; 0 or less if it has none.
            now: Time in seconds.
        """
        elapsed_s = now - self._began_s
        if elapsed_s >= _LIFE_S:
            fresh = elapsed_s < 2 * _LIFE_S
            self._before_s = self._current_s if fresh else math.inf
            self._current_s = math.inf
            self._began_s = now
        if objective_s > 0:
            self._current_s = min(self._current_s, objective_s)

    @property
    def value_s(self) -> float:
        """The least objective in seconds; infinite if there is none."""
        return min(self._current_s, self._before_s)
