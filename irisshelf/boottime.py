"""The process' time: seconds that count while its machine sleeps.

All that is kept by time goes by it: the age of what the store told, leases,
rests, windows, deadlines, connections at rest. The steady clock stands still
while a machine is suspended, so that what was known before seems as young as it
was, and keys hold that nobody has confirmed for too long.

Timers of the event loop go by the steady clock and come late by a sleep. So
nothing is decided by a timer having fired or not, but by this clock.

A system without ``CLOCK_BOOTTIME`` has the steady clock instead; there a sleep
is not noticed.
"""

from __future__ import annotations

import time

# Two clocks are not read at one moment; a process may stand still between.
_SHORTEST_SLEEP_S = 0.1
_WHICH = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns the time now in seconds, from an arbitrary start.

    Example:
        >>> before = now()
        >>> now() >= before
        True
    """
    return time.clock_gettime(_WHICH)


class SuspendMeter:
    """Tells how long the machine slept since it was last asked."""

    def __init__(self):
        self._apart_s = _apart_s()

    def take_suspended_s(self) -> float:
        """Returns the seconds slept since the last call; 0 if it did not."""
        apart_s = _apart_s()
        slept_s = apart_s - self._apart_s
        if slept_s < _SHORTEST_SLEEP_S:
            return 0.0
        self._apart_s = apart_s
        return slept_s


def _apart_s() -> float:
    return now() - time.monotonic()
