"""Since when the shared store has answered, and whether it was away.

Entries of live servers lapse while the store is away, and are written again
after it is back. An instance that has lost the store cannot tell by itself
whether the store was away or only its own path to it was cut. Other instances
can: one that got answers all the time shows that the store was never away.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Interval:
    """A time in which the store answered an instance without a gap.

    Attributes:
        since_s: Start, in monotonic seconds of this instance.
        until_s: The latest answer.
    """

    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """A time in which this instance had no answer of the store.

    Attributes:
        last_answer_s: The last answer before it, in monotonic seconds.
        regained_s: The first answer after it.
    """

    last_answer_s: float
    regained_s: float


class StoreContact:
    """Answers of the store to this instance, directly or by its watcher."""

    def __init__(self):
        self._since_s = math.inf
        self._until_s = -math.inf
        self._failed_s = -math.inf
        self._lost = True

    def record_answer(self, at_s: float, max_gap_s: float) -> Loss | None:
        """Records an answer.

        Args:
            at_s: When the store gave it, in monotonic seconds, at the earliest.
            max_gap_s: Longest time between two answers of a store that is not
                away.

        Returns:
            The loss that the answer ends, if calls had failed before it.
        """
        if at_s <= max(self._until_s, self._failed_s):
            return None
        loss = None
        if self._lost or at_s - self._until_s > max_gap_s:
            self._since_s = at_s
        if self._lost and self._until_s > -math.inf:
            loss = Loss(last_answer_s=self._until_s, regained_s=at_s)
        self._until_s = at_s
        self._lost = False
        return loss

    def record_failure(self, now: float) -> None:
        """Records that a call to the store has failed."""
        self._failed_s = now
        self._lost = True

    @property
    def lost(self) -> bool:
        """Whether the latest call has failed."""
        return self._lost

    def interval(self) -> Interval | None:
        """Returns the latest interval without a gap; None if it has ended."""
        if self._lost:
            return None
        return Interval(since_s=self._since_s, until_s=self._until_s)


def available_since_s(
    loss: Loss, peers: Iterable[Interval], max_gap_s: float
) -> float:
    """Returns since when the store has been available, as far as is known.

    Args:
        loss: The loss of this instance.
        peers: What other instances report after it.
        max_gap_s: Longest time between two answers of a store that is not away.

    Returns:
        In monotonic seconds; minus infinity if the store was not away. If no
        instance knows better, the moment at which this one regained it.

    Example:
        >>> loss = Loss(last_answer_s=10.0, regained_s=15.0)
        >>> available_since_s(loss, [Interval(since_s=3.0, until_s=15.0)], 3.0)
        -inf
        >>> available_since_s(loss, [Interval(since_s=14.0, until_s=15.0)], 3.0)
        14.0
    """
    since_s = loss.regained_s
    for interval in peers:
        if interval.until_s < loss.regained_s - max_gap_s:
            continue
        if interval.since_s <= loss.last_answer_s:
            return -math.inf
        since_s = min(since_s, interval.since_s)
    return since_s
