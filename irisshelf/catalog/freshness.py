"""How old what the store told is, at the most.

Answers of the store carry its steady clock. A call sent at ``sent_s`` (ours)
and answered with ``store_s`` (the store's) shows that the store's clock is
behind ours by at least ``sent_s - store_s``. The largest such difference seen
turns any later store time into a time of ours that is surely not too late.

A store that has come back from a copy may have another clock: what was learnt
of it in an earlier era (``position.Position``) is dropped.
"""

from __future__ import annotations

import math


class Freshness:
    """A lower bound on when the store last told all it knew."""

    def __init__(self):
        self._era = 0
        self._offset_s = -math.inf
        self._as_of_s = -math.inf

    def record_answer(
        self, *, sent_s: float, received_s: float, store_s: float, era: int = 0
    ) -> None:
        """Takes an answer that held all changes up to ``store_s``.

        Args:
            sent_s: When the call was sent.
            received_s: When it was answered.
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
        """Returns a time, surely not too early, of the store's clock now.

        None before the first answer.
        """
        if self._offset_s == -math.inf:
            return None
        return now - self._offset_s

    def record_peer_estimate(
        self, *, sent_s: float, clock_s: float, era: int
    ) -> None:
        """Takes another instance's ``clock_s``, asked for at a time.

        Args:
            sent_s: When the question was sent.
            clock_s: The answer, of a later time.
            era: The store's era.
        """
        if era < self._era:
            return
        if era > self._era:
            self._era = era
            self._offset_s = -math.inf
        self._offset_s = max(self._offset_s, sent_s - clock_s)

    def to_local_time(self, store_s: float, now: float, era: int = 0) -> float:
        """Returns a time, surely not too late, of a moment of the store's.

        Minus infinity before the first answer of an era.
        """
        if era != self._era:
            return -math.inf
        return min(now, store_s + self._offset_s)

    def record_confirmed(self, as_of_s: float) -> None:
        """Takes that all changes up to a time are known."""
        self._as_of_s = max(self._as_of_s, as_of_s)

    def age_s(self, now: float) -> float:
        """Returns the age; infinite if the store has told nothing yet."""
        return now - self._as_of_s
