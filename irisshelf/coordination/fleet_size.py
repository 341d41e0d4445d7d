"""How many instances there are, as one of them knows."""

from __future__ import annotations

import collections

# Cuts last seconds, and those who are cut off know of fewest; instances that
# are gone for longer leave their part to the others.
_REMEMBER_S = 60.0


class FleetSize:
    """How many instances share what is bounded for all of them together.

    The largest count of the last minute holds: an instance that hears of
    fewer may be cut off from the others, which take their parts on.

    Args:
        alone: Whether it has nobody to ask for others, so that it is the only
            one until one is heard of.
    """

    def __init__(self, *, alone: bool):
        self._alone = alone
        # Counts that none later exceeds, largest first, with their times.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
        """Takes how many instances are known of now, this one included."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def estimate(self, now: float) -> int | None:
        """Returns how many there are; None if that is not known."""
        while self._counts and now - self._counts[0][0] > _REMEMBER_S:
            self._counts.popleft()
        if self._counts and self._counts[0][1] > 1:
            return self._counts[0][1]
        return 1 if self._alone else None
