"""A copy of followed tables, to be handed to others that follow them.

It keeps what a follower has learnt: the rows as they are, and the last
``KEPT_BATCHES`` batches of changes. Revisions are the store's own, so that
whoever asks here may go on at the store, and the other way round.
"""

from __future__ import annotations

import collections
import math

from irisshelf.store import feed

KEPT_BATCHES = 256


class Mirror:
    """A copy of one table."""

    def __init__(self):
        self._rows: dict[str, feed.Item] = {}
        self._batches: collections.deque[feed.Batch] = collections.deque()
        self._known_from = math.inf
        self.revision = -1

    def apply(self, batch: feed.Batch) -> None:
        """Takes what the follower has got from the store or a neighbour."""
        if batch.whole:
            self._rows = {}
            self._batches.clear()
            self._known_from = batch.revision
        for item in batch.items:
            if item.value is None and not item.problem:
                self._rows.pop(item.key, None)
            else:
                self._rows[item.key] = item
        if batch.items and not batch.whole:
            self._batches.append(batch)
        if len(self._batches) > KEPT_BATCHES:
            self._known_from = self._batches.popleft().revision
        self.revision = max(self.revision, batch.revision)

    def whole(self) -> tuple[feed.Item, ...]:
        """Returns all rows."""
        return tuple(self._rows.values())

    def has_since(self, after: int) -> bool:
        """Tells whether something has changed after a revision."""
        return self.revision > after

    def since(self, after: int) -> tuple[feed.Item, ...] | None:
        """Returns changes after a revision; None if they are not kept.

        A row may be among them that had changed before; taking it again
        changes nothing.
        """
        if after < self._known_from:
            return None
        return tuple(
            item
            for batch in self._batches
            if batch.revision > after
            for item in batch.items
        )
