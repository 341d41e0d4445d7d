"""Upper bound on the age of the data received from the store.

Answers of the store carry its monotonic clock. A call sent at ``sent_s`` (local
clock) and answered with ``store_s`` (store's clock) shows that the local clock
is ahead of the store's by at least ``sent_s - store_s``. Adding the largest
difference seen so far to a time of the store gives a lower bound on the
corresponding local time.

A store restored from a backup may use another clock, so the difference is
discarded when a new era (``position.Position``) begins.
"""

from __future__ import annotations

import math


class Freshness:
    """Lower bound on the local time up to which all changes are known."""

    def __init__(self):
        self._era = 0
        self._offset_s = -math.inf
        self._as_of_s = -math.inf

    def record_answer(
        self, *, sent_s: float, received_s: float, store_s: float, era: int = 0
    ) -> None:
        """Records an answer that held all changes up to ``store_s``.

        Args:
            sent_s: Local time at which the call was sent.
            received_s: Local time at which the answer was received.
            store_s: The store's clock in the answer.
            era: The store's era.
        """
        if era < self._era:
            return
        if era > self._era:
            self._era = era
            self._offset_s = -math.inf
        self._offset_s = max(self._offset_s, sent_s - store_s)
        as_of_s = self.to_local_time(store_s, received_s, era)
        self._as_of_s = max(self._as_of_s, sent_s, as_of_s)

    def estimate_store_clock(self, now: float) -> float | None:
        """Returns an upper bound on the store's current clock.

        None before the first answer of an era.
        """
        if self._offset_s == -math.inf:
            return None
        return now - self._offset_s

    def record_peer_estimate(
        self, *, sent_s: float, clock_s: float, era: int
    ) -> None:
        """Records another instance's estimate of the store's clock.

        Args:
            sent_s: Local time at which the estimate was requested.
            clock_s: The result of ``estimate_store_clock`` on the other
                instance, computed after ``sent_s``.
            era: The store's era.
        """
        if era < self._era:
            return
        if era > self._era:
            self._era = era
            self._offset_s = -math.inf
        self._offset_s = max(self._offset_s, sent_s - clock_s)

    def to_local_time(self, store_s: float, now: float, era: int = 0) -> float:
        """Returns a lower bound on the local time of a store's clock reading.

        Minus infinity before the first answer of an era.
        """
        if era != self._era:
            return -math.inf
        return min(now, store_s + self._offset_s)

    def record_confirmed(self, as_of_s: float) -> None:
        """Records that all changes up to a local time are known."""
        self._as_of_s = max(self._as_of_s, as_of_s)

    def age_s(self, now: float) -> float:
        """Returns the maximum age; infinite before the first answer."""
        return now - self._as_of_s
