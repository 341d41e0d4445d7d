"""Turns for other greenlets during long work on one connection.

A greenlet waits only for a socket that has no data. As long as its peer sends
faster than the data is processed, it would never wait, and no other greenlet
would run: no other request, no timer, no signal.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from irisshelf import boottime

# Cost of parsing one message or part of one, and of handling a request that had
# arrived before the response to the one before it, as the number of bytes that
# are read in that time.
PART_COST = 4096
PIPELINED_COST = 131_072
# Work between two pauses: about a millisecond.
_TURN_COST = 262_144
# A pause with a timer rather than a plain yield: the event loop runs greenlets
# that only yield several times before it looks at sockets again.
_MIN_PAUSE_S = 0.001
# A connection that has done so much work goes on at this rate: 64 MB, 16,000
# parts or 500 pipelined requests a second, which take half of a processor at
# most. The peer is slowed down, as it is not read faster.
_BURST_COST = 128_000_000
_COST_PER_S = 64_000_000


class Turns:
    """Counts the work on one connection, and pauses after each part of it.

    Args:
        pause: Lets other greenlets run for a time in seconds.
        now: Monotonic seconds.

    Example:
        >>> pauses_s = []
        >>> turns = Turns(pause=pauses_s.append, now=lambda: 0.0)
        >>> for _ in range(8):
        ...     turns.record(65_536)
        >>> pauses_s
        [0.001, 0.001]
    """

    def __init__(
        self,
        *,
        pause: Callable[[float], None] = gevent.sleep,
        now: Callable[[], float] = boottime.now,
    ):
        self._pause = pause
        self._now = now
        self._turn_cost = 0
        # Cost that may still be spent at once, as of a time.
        self._credit = float(_BURST_COST)
        self._credited_s = now()

    def record(self, cost: int) -> None:
        """Counts work, and pauses if a turn is over.

        Args:
            cost: Number of bytes that are read in the same time.
        """
        self._turn_cost += cost
        if self._turn_cost < _TURN_COST:
            return
        now = self._now()
        earned = (now - self._credited_s) * _COST_PER_S
        self._credit = min(self._credit + earned, _BURST_COST) - self._turn_cost
        self._credited_s = now
        self._turn_cost = 0
        self._pause(max(_MIN_PAUSE_S, -self._credit / _COST_PER_S))
