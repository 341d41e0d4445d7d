"""What an instance knows of one of the store's tables, and when it asks.

Free of input and output: told what was answered and what the watcher of the
data centre said, it tells whether the store has to be asked now, and for how
long the store may hold the call.
"""

from __future__ import annotations

import math

from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch

# A call that follows the answer before by so much may be behind by several
# versions. Between two calls lie 0.3 s to gather changes, and the answer's way.
_SEVERAL_S = 0.6


class TableWatch:
    """One table as one instance sees it.

    Attributes:
        position: The store's position known; None before the first, and when
            the whole table has to be read.
    """

    def __init__(self):
        self.position: position_module.Position | None = None
        self._era = 0
        self._answered_s = -math.inf
        self._told_s = -math.inf
        self._told: position_module.Position | None = None
        self._caught_up_s = -math.inf
        self._behind = False

    def updates_suffice_until_s(
        self, role: shared_watch.Role, timing: shared_watch.Timing
    ) -> float:
        """Returns until when updates suffice; minus infinity if never."""
        if self.position is None or self._behind:
            return -math.inf
        if role is not shared_watch.Role.READER:
            return -math.inf
        return self._told_s + timing.fallback_after_s

    def updates_overdue(self, timing: shared_watch.Timing, now: float) -> bool:
        """Tells whether the watcher has said nothing for too long."""
        return now - self._told_s > timing.fallback_after_s

    def long_poll_s(
        self,
        role: shared_watch.Role,
        timing: shared_watch.Timing,
        *,
        standalone_s: float,
        now: float,
    ) -> float:
        """Returns how long the store may hold the next call.

        Args:
            role: Of this instance.
            timing: When the store is asked where a watch is shared.
            standalone_s: How long it may hold it if no watch is shared.
            now: Monotonic seconds.
        """
        if role is shared_watch.Role.STANDALONE:
            return standalone_s
        if role is shared_watch.Role.WATCHER:
            return min(standalone_s, timing.long_poll_s)
        quiet = now - self._answered_s > timing.fallback_after_s
        if self._behind or quiet:
            return 0.0
        # No longer, as nothing else shows that a held call was lost while the
        # other table rests.
        return min(standalone_s, timing.fallback_after_s)

    def should_read_snapshot(self, now: float) -> bool:
        """Tells whether to read the table and not the changes in it.

        For a table that is one document, of which only the newest version
        counts: its changes are whole documents, and an instance that was away
        would bring each that it missed, while further ones are written. The
        newest alone takes as long however long it was away. Where nothing has
        changed, it costs one document that was known.

        Args:
            now: Monotonic seconds.
        """
        if self.position is None:
            return True
        if self._told is not None and self._told > self.position:
            return True
        return now - self._caught_up_s > _SEVERAL_S

    def record_caught_up(self, as_of_s: float) -> None:
        """Takes that all was known at a time, monotonic seconds."""
        self._caught_up_s = max(self._caught_up_s, as_of_s)

    def record_request(self) -> None:
        """Takes that the store is asked for all there is now."""
        self._behind = False

    def record_response(
        self, position: position_module.Position, now: float, *, whole: bool
    ) -> bool:
        """Takes an answer of the store.

        Args:
            position: Its position.
            now: Monotonic seconds.
            whole: Whether it is the whole table.

        Returns:
            Whether it tells the newest state. If not, an update has come
            before it that tells more, or it is of an earlier era, or it tells
            changes to what is not known any more.
        """
        self._answered_s = now
        if position.era < self._era or (self.position is None and not whole):
            return False
        newest = self.position is None or position >= self.position
        if newest:
            self.position = position
            self._era = position.era
        return newest

    def record_relayed_table(
        self, position: position_module.Position, as_of_s: float
    ) -> bool:
        """Takes the whole table from another instance.

        Args:
            position: Its position.
            as_of_s: Its moment, monotonic seconds.

        Returns:
            Whether it tells more than is known.
        """
        known = self.position
        if position.era < self._era or (known and position <= known):
            return False
        self.position = position
        self._era = position.era
        self._told_s = max(self._told_s, as_of_s)
        if self._told is None or self._told <= position:
            # What updates told of while it was on its way came with it.
            self._behind = False
        return True

    def record_failure(self) -> None:
        """Takes that a call was not answered."""
        self._behind = True

    def record_history_lost(self) -> None:
        """Takes that the store has no such history any more."""
        self.position = None

    def record_update(
        self,
        as_of_s: float,
        position: position_module.Position,
        verdict: shared_watch.Verdict,
    ) -> None:
        """Takes an update of the watcher.

        Args:
            as_of_s: Its moment, monotonic seconds.
            position: The store's position that it speaks of.
            verdict: What it is to this instance.
        """
        if verdict is shared_watch.Verdict.STALE or position.era < self._era:
            return
        self._told_s = max(self._told_s, as_of_s)
        if verdict is not shared_watch.Verdict.FETCH:
            self.record_caught_up(as_of_s)
            return
        self._behind = True
        self._told = max(self._told or position, position)
        known = self.position
        if position.era > self._era:
            # Changes do not lead from one era to the next.
            self._era = position.era
            self.position = None
        elif known is not None and position <= known:
            # Something was left out of an answer: changes do not bring it.
            self.position = None

    def advance_to(self, position: position_module.Position) -> None:
        """Takes that all is known up to a position, by an update."""
        if self.position is not None:
            self.position = max(self.position, position)
