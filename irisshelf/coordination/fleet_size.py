"""Estimate of the number of instances, as one of them sees it."""

from __future__ import annotations

import collections

# Network partitions last seconds, and the instances cut off know of the fewest
# others. After a longer absence, an instance's share goes to the others.
_WINDOW_S = 60.0


class FleetSize:
    """Number of instances that share a limit set for all of them together.

    The estimate is the largest count within the last minute: an instance that
    knows fewer may be cut off from the others, which take over their shares.

    Args:
        alone: Whether no other instance is configured to be queried, so that
            this instance is the only one until another contacts it.
    """

    def __init__(self, *, alone: bool):
        self._alone = alone
        # (time, count), by time; each count is larger than all later ones.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
        """Records how many instances are known now, this one included."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def estimate(self, now: float) -> int | None:
        """Returns the number of instances, or None if it is not known."""
        while self._counts and now - self._counts[0][0] > _WINDOW_S:
            self._counts.popleft()
        if self._counts and self._counts[0][1] > 1:
            return self._counts[0][1]
        return 1 if self._alone else None
