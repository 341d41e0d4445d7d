"""Keeps signals from ending a program while it starts and as it exits.

Until a program has its own handlers, which is most of a second because of its
imports, the default action of a signal ends the process. The same holds for the
last moments, as the interpreter restores that action. This module imports next
to nothing, so that a program can call ``hold`` before everything else.
"""

from __future__ import annotations

import signal

from irisshelf import boottime

_HELD = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# When each signal first arrived.
_arrived_s: dict[int, float] = {}


def hold() -> None:
    """Records signals from now on instead of letting them end the process."""
    for signum in _HELD:
        signal.signal(signum, _record)


def take() -> dict[int, float]:
    """Returns the signals that have arrived since ``hold``, and forgets them.

    Called once the program has its own handlers.

    Returns:
        When each of them first arrived, in seconds of ``boottime.now``.
    """
    arrived_s = dict(_arrived_s)
    _arrived_s.clear()
    return arrived_s


def block() -> None:
    """Blocks signals for the rest of the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _HELD)


def _record(signum: int, frame: object) -> None:
    _arrived_s.setdefault(signum, boottime.now())
