"""The store's tables, from a keeper where there is one, else from the store."""

from __future__ import annotations

from collections.abc import Callable

import result

from irisshelf.gateway import neighbours as neighbours_module
from irisshelf.store import feed

# The store may hold a keeper's call for so long, so that others, who add their
# own hold, know no less lately than one that asks the store itself for 2 s.
_KEEPER_HOLD_S = 1.0
# What is older than this is asked of the store without waiting.
_REFRESH_AFTER_S = 1.6


class SharedFeed(feed.Feed):
    """Follows keepers of the data centre, and the store without one.

    Args:
        store: The store itself.
        neighbours: Whom else to ask.
        age_s: Tells how old this instance's knowledge is.
        count: Told of each call: the table and who answered or failed.
    """

    def __init__(
        self,
        *,
        store: feed.Feed,
        neighbours: neighbours_module.Neighbours,
        age_s: Callable[[], float],
        count: Callable[[feed.Table, str], None],
    ):
        self._store = store
        self._neighbours = neighbours
        self._age_s = age_s
        self._count = count

    def whole(
        self, table: feed.Table
    ) -> result.Result[feed.Batch, feed.Unavailable]:
        """See ``feed.Feed.whole``."""
        batch = self._from_keeper(table, None)
        if batch is None:
            answer = self._store.whole(table)
            self._count(table, "store_ok" if answer.is_ok() else "store_failed")
            if isinstance(answer, result.Err):
                return answer
            batch = answer.ok_value
        self._neighbours.learnt(table, batch)
        return result.Ok(batch)

    def changes(
        self, table: feed.Table, *, after: int, wait_s: float
    ) -> result.Result[feed.Batch, feed.Failure]:
        """See ``feed.Feed.changes``."""
        batch = self._from_keeper(table, after)
        if batch is None:
            hold_s = self._hold_s(table, wait_s)
            answer = self._store.changes(table, after=after, wait_s=hold_s)
            self._count(table, "store_ok" if answer.is_ok() else "store_failed")
            if isinstance(answer, result.Err):
                return answer
            batch = answer.ok_value
        self._neighbours.learnt(table, batch)
        return result.Ok(batch)

    def reset(self, table: feed.Table) -> None:
        """See ``feed.Feed.reset``."""
        self._store.reset(table)

    def _hold_s(self, table: feed.Table, wait_s: float) -> float:
        """Returns how long the store may hold a call."""
        if table is not feed.Table.CATALOG:
            return wait_s
        if self._neighbours.followed:
            return min(wait_s, _KEEPER_HOLD_S)
        if self._age_s() > _REFRESH_AFTER_S:
            # The keeper is lost: learn at once whether all still holds.
            return 0.0
        return wait_s

    def _from_keeper(
        self, table: feed.Table, after: int | None
    ) -> feed.Batch | None:
        keeper = self._neighbours.keeper()
        if keeper is None:
            return None
        asked = self._neighbours.changes(keeper, table, after)
        if (
            isinstance(asked, result.Ok)
            and asked.ok_value[1] <= neighbours_module.OLDEST_S
        ):
            self._count(table, "keeper_ok")
            return asked.ok_value[0]
        self._count(table, "keeper_failed")
        self._neighbours.give_up_on(keeper.address)
        return None
