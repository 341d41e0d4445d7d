"""Positions in the history of the shared store.

Revisions order the store's answers within one era only. A store that is
restored from a backup has lost the transactions accepted since the backup was
made: it continues from the backup's revision and starts the next era. Every
answer of a later era is ordered after all answers of earlier eras, whatever
their revisions.
"""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Position:
    """A point in the store's history.

    Attributes:
        era: Number of times the store was restored from a backup.
        revision: The store's transaction count; a restore sets it back.

    Example:
        >>> Position(era=0, revision=90) < Position(era=1, revision=40)
        True
    """

    era: int
    revision: int


def follows(later: Position, earlier: Position) -> bool:
    """Returns whether one position can be reached from another by changes.

    No changes lead from one era to another: a snapshot must be read instead.
    """
    return later.era == earlier.era and later.revision >= earlier.revision


class SeenPositions:
    """The latest position that the store is known to have had, by time.

    The store answers a call with a position that is not older than any that was
    known when the call was made, whichever table or instance it came from. A
    replica that lags does not.

    Args:
        known_s: How long earlier positions are remembered. Calls that began
            before that are not checked.
    """

    def __init__(self, *, known_s: float):
        self._known_s = known_s
        # Ascending in both time and position.
        self._seen: collections.deque[tuple[float, Position]] = (
            collections.deque()
        )

    def record(self, position: Position, now: float) -> None:
        """Records that the store has reached a position."""
        if self._seen and position <= self._seen[-1][1]:
            return
        self._seen.append((now, position))
        # One that is older than the limit may still be the latest at that time.
        while len(self._seen) > 1 and now - self._seen[1][0] > self._known_s:
            self._seen.popleft()

    def latest_at(self, at_s: float) -> Position | None:
        """Returns the latest position known at a time; None if not known.

        Example:
            >>> seen = SeenPositions(known_s=20.0)
            >>> seen.record(Position(era=0, revision=7), 1.0)
            >>> seen.record(Position(era=0, revision=9), 2.0)
            >>> seen.latest_at(1.5)
            Position(era=0, revision=7)
        """
        found = None
        for seen_s, position in self._seen:
            if seen_s > at_s:
                break
            found = position
        return found

    def reset(self) -> None:
        """Forgets all positions."""
        self._seen.clear()
