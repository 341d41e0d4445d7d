"""Where an answer of the shared store stands in the store's history.

Revisions order what the store says, but only within one era: when the store
comes back from a copy of its tables it has lost what it accepted since the copy
was made, counts on from the copy's revision, and begins the next era. What it
says in a later era stands after all that it said in an earlier one, whatever
the revisions are.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Position:
    """A moment of the store's history.

    Attributes:
        era: How often the store has come back from a copy.
        revision: Its count of transactions, which goes back with a copy.

    Example:
        >>> Position(era=0, revision=90) < Position(era=1, revision=40)
        True
    """

    era: int
    revision: int


def follows(later: Position, earlier: Position) -> bool:
    """Tells whether changes since one position lead to another.

    Between two eras there are none: all has to be read anew.
    """
    return later.era == earlier.era and later.revision >= earlier.revision
