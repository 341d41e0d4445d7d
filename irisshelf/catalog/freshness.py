"""How old what the store told is, at the most.

Answers of the store carry its steady clock. A call sent at ``sent_s`` (ours)
and answered with ``store_s`` (the store's) shows that the store's clock is
behind ours by at least ``sent_s - store_s``. The largest such difference seen
turns any later store time into a time of ours that is surely not too late.

Another instance may stand in for the store: it tells up to which store time it
knows all, and what the store's clock shows at the most while it answers.
"""

from __future__ import annotations

import math


class Freshness:
    """A lower bound on when the store last told all it knew."""

    def __init__(self):
        self._offset_s = -math.inf
        self._as_of_s = -math.inf
        self.as_of_store_s = -math.inf

    def told(
        self,
        *,
        sent_s: float,
        received_s: float,
        store_s: float,
        clock_s: float | None = None,
    ) -> None:
        """Takes an answer.

        Args:
            sent_s: When it was asked for.
            received_s: When it came.
            store_s: It held all changes up to this time of the store.
            clock_s: The store's clock while it was answered, at the most;
                without, the store itself has answered at ``store_s``.
        """
        direct = clock_s is None
        self._offset_s = max(
            self._offset_s, sent_s - (store_s if direct else clock_s)
        )
        as_of_s = min(received_s, store_s + self._offset_s)
        if direct:
            as_of_s = max(as_of_s, sent_s)
        self._as_of_s = max(self._as_of_s, as_of_s)
        self.as_of_store_s = max(self.as_of_store_s, store_s)

    def age_s(self, now: float) -> float:
        """Returns the age; infinite if the store has told nothing yet."""
        return now - self._as_of_s

    def store_clock_s(self, now: float) -> float:
        """Returns what the store's clock shows at the most."""
        return now - self._offset_s
