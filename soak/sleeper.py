"""Runs an entry instance whose machine can be put to sleep.

All clocks but the steady ones move on by what is added to the number in the
file at ``IRISSHELF_SLEEP``, in seconds; timers come late by as much. So the
process finds what it finds after its machine was suspended.
"""

from __future__ import annotations

import os
import pathlib
import sys
import time
from collections.abc import Callable

from irisshelf import lifetime_signals
from irisshelf.platform import __main__ as platform

VARIABLE = "IRISSHELF_SLEEP"
_LOOK_S = 0.05
_STEADY = (time.CLOCK_MONOTONIC, time.CLOCK_MONOTONIC_RAW)


class _Clocks:
    """The process' clocks, and the time that its machine slept."""

    def __init__(self, *, path: pathlib.Path, wait: Callable[[float], None]):
        self._path = path
        self._wait = wait
        self._get = time.clock_gettime
        self._before_s = self._told_s()
        self._slept_s = 0.0

    def run(self) -> None:
        """Looks for sleep as long as the process lives."""
        while True:
            self._wait(_LOOK_S)
            self._slept_s = self._told_s() - self._before_s

    def gettime(self, which: int) -> float:
        """See ``time.clock_gettime``."""
        slept_s = 0.0 if which in _STEADY else self._slept_s
        return self._get(which) + slept_s

    def _told_s(self) -> float:
        return float(self._path.read_text())


def main() -> int:
    """Runs the program; returns its exit code."""
    lifetime_signals.hold()
    # Takes a part of the start, so that signals are held first.
    import gevent

    clocks = _Clocks(path=pathlib.Path(os.environ[VARIABLE]), wait=gevent.sleep)
    time.clock_gettime = clocks.gettime
    gevent.spawn(clocks.run)
    return platform.main()


if __name__ == "__main__":
    sys.exit(main())
