"""Decides when an overload of a service has begun and ended, for the log."""

from __future__ import annotations

import enum
import math

# Demand is an estimate with some noise: one that is above the capacity, or
# below it by a margin, counts after this time.
_CONFIRM_S = 0.9
# An overload has ended when the demand is below this share of the capacity.
_END_RATIO = 0.9


class Change(enum.Enum):
    """A change of the state of a service."""

    BEGAN = enum.auto()
    ENDED = enum.auto()


class OverloadDetector:
    """Detects overloads of one service.

    Attributes:
        began_s: When the current overload was detected; None without one.
    """

    def __init__(self):
        self.began_s: float | None = None
        self._differs_since_s = math.inf

    def update(
        self, offered_slots: float, capacity_slots: float, now: float
    ) -> Change | None:
        """Records the current demand and capacity.

        Args:
            offered_slots: Load of all requests that arrive, in slots.
            capacity_slots: Available capacity in slots.
            now: Monotonic seconds.

        Returns:
            What has changed, if anything.
        """
        if self.began_s is None:
            differs = offered_slots > capacity_slots
        else:
            differs = offered_slots < _END_RATIO * capacity_slots
            # Without servers or requests there is nothing to overload.
            differs = differs or not offered_slots
        if not differs:
            self._differs_since_s = math.inf
            return None
        self._differs_since_s = min(self._differs_since_s, now)
        if now - self._differs_since_s < _CONFIRM_S:
            return None
        self._differs_since_s = math.inf
        if self.began_s is None:
            self.began_s = now
            return Change.BEGAN
        self.began_s = None
        return Change.ENDED
