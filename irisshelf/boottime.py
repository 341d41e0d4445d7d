"""Clock of the process that includes the time its machine was suspended.

All ages and time-outs are measured by this clock: the age of data from the
store, leases, backoffs, windows, deadlines and idle connections. The monotonic
clock stops while a machine is suspended. Measured by it, data from before a
suspend would appear as fresh as it was then, and API keys would be accepted
although they had gone unconfirmed for too long.

Timers of the event loop use the monotonic clock and fire late by the duration
of a suspend. Decisions therefore compare times of this clock and do not depend
on whether a timer has fired.

A system without ``CLOCK_BOOTTIME`` uses the monotonic clock instead; a suspend
is not detected there.
"""

from __future__ import annotations

import time

# The two clocks are read one after the other, and the process may be
# descheduled between the reads; a smaller difference is no suspend.
_MIN_SUSPEND_S = 0.1
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns the current time in seconds since an arbitrary start.

    Example:
        >>> before = now()
        >>> now() >= before
        True
    """
    return time.clock_gettime(_CLOCK_ID)


class SuspendMeter:
    """Measures how long the machine was suspended between two calls."""

    def __init__(self):
        self._offset_s = _clock_offset_s()

    def take_suspended_s(self) -> float:
        """Returns the seconds of suspend since the last call; 0 for none."""
        offset_s = _clock_offset_s()
        suspended_s = offset_s - self._offset_s
        if suspended_s < _MIN_SUSPEND_S:
            return 0.0
        self._offset_s = offset_s
        return suspended_s


def _clock_offset_s() -> float:
    return now() - time.monotonic()
