"""State of one store table on an instance, and the schedule of its polls.

Without input or output: given the store's responses and the updates from the
data centre's watcher, it decides whether to poll the store now and for how long
the store may delay its response.
"""

from __future__ import annotations

import math

from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch

# A replica lags by seconds. If all answers are older than what was seen for so
# long, what was seen was wrong, or the store has lost its state.
_OUTDATED_LIMIT_S = 20.0
# An instance that was up to date longer ago than this may be several versions
# behind. Between two calls lie 0.3 s of coalescing changes and the transfer
# time of the response.
_SNAPSHOT_AFTER_S = 0.6


class TableWatch:
    """State of one table on one instance.

    Attributes:
        position: The known position of the store; None initially and whenever
            the whole table has to be read.
    """

    def __init__(self):
        self.position: position_module.Position | None = None
        self._era = 0
        self._response_s = -math.inf
        self._updated_s = -math.inf
        self._update_position: position_module.Position | None = None
        self._caught_up_s = -math.inf
        self._behind = False
        self._history_losses = 0
        self._outdated_since_s = math.inf
        self._outdated_count = 0

    def updates_suffice_until_s(
        self, role: shared_watch.Role, timing: shared_watch.Timing
    ) -> float:
        """Returns the time until which no poll is needed.

        Minus infinity if updates do not suffice.
        """
        if self.position is None or self._behind:
            return -math.inf
        if role is not shared_watch.Role.READER:
            return -math.inf
        return self._updated_s + timing.fallback_after_s

    def updates_overdue(self, timing: shared_watch.Timing, now: float) -> bool:
        """Returns whether the newest update is too old to rely on."""
        return now - self._updated_s > timing.fallback_after_s

    def long_poll_s(
        self,
        role: shared_watch.Role,
        timing: shared_watch.Timing,
        *,
        standalone_s: float,
        now: float,
    ) -> float:
        """Returns the maximum duration of the next long poll.

        Args:
            role: Role of this instance.
            timing: Timing of calls if the watch is shared.
            standalone_s: Duration of a long poll if the watch is not shared.
            now: Monotonic seconds.
        """
        if role is shared_watch.Role.STANDALONE:
            return standalone_s
        if role is shared_watch.Role.WATCHER:
            return min(standalone_s, timing.long_poll_s)
        disconnected = now - self._response_s > timing.fallback_after_s
        if self._behind or disconnected:
            return 0.0
        # Not longer: while the other table is not polled, only the timeout
        # shows that a long poll was lost.
        return min(standalone_s, timing.fallback_after_s)

    def should_read_snapshot(self, now: float) -> bool:
        """Returns whether to read a snapshot instead of the change feed.

        For a table that is one document, of which only the newest version
        matters. The change feed contains whole documents, and an instance that
        was disconnected would transfer each version that it missed while
        further ones are written. A snapshot takes the same time regardless of
        how long the instance was disconnected. If nothing has changed, it costs
        the transfer of one known document.

        Args:
            now: Monotonic seconds.
        """
        if self.position is None:
            return True
        if (
            self._update_position is not None
            and self._update_position > self.position
        ):
            return True
        return now - self._caught_up_s > _SNAPSHOT_AFTER_S

    def record_caught_up(self, as_of_s: float) -> None:
        """Records that all data was known as of a monotonic time."""
        self._caught_up_s = max(self._caught_up_s, as_of_s)

    def record_request(self) -> None:
        """Records that a poll for all available data was started."""
        self._behind = False

    def record_outdated(self, now: float) -> bool:
        """Records an answer that is older than what the store has had.

        Returns:
            Whether there have been no others for so long that it counts.
        """
        self._outdated_since_s = min(self._outdated_since_s, now)
        self._outdated_count += 1
        self._behind = True
        return now - self._outdated_since_s >= _OUTDATED_LIMIT_S

    def take_outdated_count(self) -> int:
        """Returns, once, the number of outdated answers up to now."""
        count, self._outdated_count = self._outdated_count, 0
        self._outdated_since_s = math.inf
        return count

    @property
    def outdated_count(self) -> int:
        """Number of outdated answers since the last one that was not."""
        return self._outdated_count

    def record_response(
        self, position: position_module.Position, now: float, *, whole: bool
    ) -> bool:
        """Records a response of the store.

        Args:
            position: Position of the response.
            now: Monotonic seconds.
            whole: Whether the response is a snapshot of the table.

        Returns:
            Whether the response is to be applied. It is not if a newer update
            has arrived before it, if it is from an earlier era, or if it
            contains changes to a state that has been discarded.
        """
        self._response_s = now
        if not whole:
            self._history_losses = 0
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
        """Records a snapshot of the table from another instance.

        Args:
            position: Position of the snapshot.
            as_of_s: Time of the snapshot, in monotonic seconds.

        Returns:
            Whether it is newer than the known state.
        """
        known = self.position
        if position.era < self._era or (known and position <= known):
            return False
        self.position = position
        self._era = position.era
        self._updated_s = max(self._updated_s, as_of_s)
        if self._update_position is None or self._update_position <= position:
            # It includes everything announced while it was in transit.
            self._behind = False
        return True

    def record_failure(self) -> None:
        """Records that a call failed."""
        self._behind = True

    def record_history_lost(self) -> bool:
        """Records that the store has lost the history since the position.

        Returns:
            Whether to read the whole table at once. If changes were not found
            after the last whole table either, reading it again has to wait.
        """
        self.position = None
        self._history_losses += 1
        return self._history_losses == 1

    def record_update(
        self,
        as_of_s: float,
        position: position_module.Position,
        verdict: shared_watch.Verdict,
    ) -> None:
        """Records an update from the watcher.

        Args:
            as_of_s: Time of the update, in monotonic seconds.
            position: The store's position in the update.
            verdict: Classification of the update.
        """
        if verdict is shared_watch.Verdict.STALE or position.era < self._era:
            return
        self._updated_s = max(self._updated_s, as_of_s)
        if verdict is not shared_watch.Verdict.FETCH:
            self.record_caught_up(as_of_s)
            return
        self._behind = True
        self._update_position = max(self._update_position or position, position)
        known = self.position
        if position.era > self._era:
            # There is no sequence of changes across eras.
            self._era = position.era
            self.position = None
        elif known is not None and position <= known:
            # A response lacked data that the change feed will not repeat.
            self.position = None

    def advance_to(self, position: position_module.Position) -> None:
        """Records that an update has brought all data up to a position."""
        if self.position is None:
            return
        self.position = max(self.position, position)
        announced = self._update_position
        if announced is not None and announced <= self.position:
            # What was announced while a snapshot was in transit is no newer
            # than that snapshot: nothing is left to read from the store.
            self._behind = False
