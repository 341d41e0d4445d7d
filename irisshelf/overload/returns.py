"""Assigns the times at which rejected callers return.

A rejected caller is told to return at a reserved time, for which some of the
capacity that becomes available is kept free. Reservations are assigned in the
order of rejection, ``1 / rate`` apart, where the rate is this instance's part
of the rate at which callers of a priority may return.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

# Share of the available rate that is reserved for returning callers. The others
# admit new callers: these are served within their objective, whereas a caller
# that returns has already lost part of it.
RETURN_SHARE = 0.5
# Callers wait no longer than this share of their remaining time.
CALLER_WAIT_SHARE = 1 / 3
# A caller that returns sooner may find that the holders of its reservation have
# not received it yet, and that no slot has become free.
MIN_WAIT_S = 0.1
# Reservations are assigned no further ahead: the rate is not known for longer.
MAX_AHEAD_S = 30.0
# Without a rejection for this time, and for this multiple of the usual gap
# between two, the rejections that follow are those of another overload. In a
# large fleet, an instance rejects less than one request a second throughout.
_QUIET_S = 1.0
_QUIET_GAPS = 4.0
_GAP_WEIGHT = 0.3
# Longest gap that counts, so that a long quiet time is soon left behind.
_MAX_GAP_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """A reservation.

    Attributes:
        due_s: When its caller is to return, in monotonic seconds.
    """

    due_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoPlace:
    """There is no reservation for which the caller would wait.

    Attributes:
        next_s: When the next reservation is, in monotonic seconds.
    """

    next_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Timeline:
    """The reservations of one priority.

    Attributes:
        last_s: Time of the latest one, or the beginning of the overload.
        intervals: How many intervals the next one follows after that.
        rejected_s: When a caller was last rejected.
        gap_s: Usual time between two rejections; assumed at first.
    """

    last_s: float
    intervals: float
    rejected_s: float
    gap_s: float = 2.0

    def begin(self, phase: float, now: float) -> None:
        """Begins anew, with the first reservation shifted by a phase."""
        self.last_s = now + MIN_WAIT_S
        self.intervals = phase

    def record_rejection(self, now: float) -> bool:
        """Records a rejection; returns whether a quiet time has preceded it."""
        gap_s = now - self.rejected_s
        quiet = gap_s > max(_QUIET_S, _QUIET_GAPS * self.gap_s)
        self.gap_s += _GAP_WEIGHT * (min(gap_s, _MAX_GAP_S) - self.gap_s)
        self.rejected_s = now
        return quiet

    def next_s(self, rate_per_s: float) -> float:
        """Returns the time of the next reservation."""
        return self.last_s + self.intervals / rate_per_s


class ReturnSchedule:
    """Reservations that one instance assigns for one service.

    Args:
        draw: Returns a random number from 0 to 1, 1 excluded. It shifts the
            first reservation of an overload, as all instances begin to reject
            at the same moment: without it, a fleet of many instances would
            assign as many reservations for that moment, whatever the rate.
    """

    def __init__(self, *, draw: Callable[[], float]):
        self._draw = draw
        self._timelines: dict[int, _Timeline] = {}

    def assign(
        self,
        priority: int,
        *,
        remaining_s: float,
        rate_per_s: float,
        now: float,
        not_before_s: float = 0.0,
    ) -> Place | NoPlace:
        """Assigns the next reservation to a caller that is rejected now.

        Args:
            priority: Priority of its request; 0 is the most urgent.
            remaining_s: How long the caller still waits for its answer.
            rate_per_s: This instance's part of the rate at which callers of
                this priority may return.
            now: Monotonic seconds.
            not_before_s: For how long it is known that the caller would be
                rejected again.

        Returns:
            The reservation, or when the next one is if the caller would not
            wait for it. It is then left for another caller.

        Raises:
            ValueError: The rate is negative or not finite.
        """
        if not 0 <= rate_per_s < math.inf:
            raise ValueError(
                f"rate_per_s is {rate_per_s!r}, allowed: finite, 0 or more"
            )
        earliest_s = now + max(MIN_WAIT_S, not_before_s)
        latest_s = now + MAX_AHEAD_S
        timeline = self._timeline(priority, now)
        if not rate_per_s:
            return NoPlace(next_s=latest_s)
        due_s = max(earliest_s, timeline.next_s(rate_per_s))
        wait_s = due_s - now
        if due_s > latest_s or wait_s > CALLER_WAIT_SHARE * remaining_s:
            return NoPlace(next_s=min(due_s, latest_s))
        timeline.last_s = due_s
        timeline.intervals = 1.0
        return Place(due_s=due_s)

    def _timeline(self, priority: int, now: float) -> _Timeline:
        """Returns a priority's timeline; begins it anew after a quiet time."""
        found = self._timelines.get(priority)
        if found is None:
            found = _Timeline(last_s=now, intervals=0.0, rejected_s=now)
            found.begin(self._draw(), now)
            self._timelines[priority] = found
        elif found.record_rejection(now):
            found.begin(self._draw(), now)
        return found
