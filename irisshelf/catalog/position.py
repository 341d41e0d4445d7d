"""Positions in the history of the shared store.

Revisions order the store's answers within one era only. A store that is
restored from a backup has lost the transactions accepted since the backup was
made: it continues from the backup's revision and starts the next era. Every
answer of a later era is ordered after all answers of earlier eras, whatever
their revisions.
"""

from __future__ import annotations

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
