"""Slowdown of backend servers: processing time relative to normal."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

# Bounds of a slowdown. Far outside them a report is a mistake; within them, a
# single report cannot turn a server's share of the requests into none or all.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
_PERCENT = 100
# Faults of shared machines last about 0.6 s; half of that is the mean time for
# which a report remains true.
REPORT_HALF_LIFE_S = 0.3
# Half-life of a server's average: several faults and the times between them.
_AVERAGE_HALF_LIFE_S = 3.0
# A report counts in the average for the time since the last one, up to this: a
# server that reports rarely is not judged by a single report.
_MAX_INTERVAL_S = 1.0
# Reports kept for each server, for the mean over the time of a request.
_MAX_RECENT = 32
# A service whose servers have reported no slowdown for this long counts as one
# without such reports. Services may be idle for seconds.
REPORTED_S = 60.0


def from_percent(percent: int) -> float:
    """Returns the slowdown for a figure in percent, within the bounds.

    Example:
        >>> from_percent(250), from_percent(10**9)
        (2.5, 100.0)
    """
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, percent / _PERCENT))


def to_percent(slowdown: float) -> int:
    """Returns a slowdown in percent.

    Example:
        >>> to_percent(2.5)
        250
    """
    return round(slowdown * _PERCENT)


@dataclasses.dataclass(slots=True)
class _Server:
    reported: float
    reported_s: float
    average: float
    # Recent reports, oldest first: time and slowdown.
    recent: collections.deque[tuple[float, float]]


class Slowdowns:
    """Slowdowns of the servers of one service, by their reports.

    A report loses weight within the time in which slowdowns change; what
    remains is the average of the server, so that one that is slow for good
    counts as slow between its reports.
    """

    def __init__(self):
        self._servers: dict[str, _Server] = {}
        self._reported_s = -math.inf

    def __bool__(self) -> bool:
        """Tells whether any listed server has reported a slowdown."""
        return bool(self._servers)

    def retain(self, names: frozenset[str]) -> None:
        """Removes servers that are no longer listed."""
        for name in self._servers.keys() - names:
            del self._servers[name]

    def record(self, name: str, slowdown: float, at_s: float) -> None:
        """Records a report; one not newer than the last one is ignored.

        Args:
            name: The server.
            slowdown: Its processing time relative to normal.
            at_s: Time of the report, monotonic seconds.
        """
        self._reported_s = max(self._reported_s, at_s)
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _Server(
                reported=1.0,
                reported_s=at_s - _MAX_INTERVAL_S,
                # A first report that is taken for the average would make a
                # server attractive as soon as its fault ends.
                average=1.0,
                recent=collections.deque(maxlen=_MAX_RECENT),
            )
        if at_s <= server.reported_s:
            return
        interval_s = min(_MAX_INTERVAL_S, at_s - server.reported_s)
        weight = 1 - 0.5 ** (interval_s / _AVERAGE_HALF_LIFE_S)
        server.average += weight * (slowdown - server.average)
        server.reported = slowdown
        server.reported_s = at_s
        server.recent.append((at_s, slowdown))

    def current(self, name: str, now: float) -> float:
        """Estimates a server's slowdown; 1.0 if it has never reported any."""
        server = self._servers.get(name)
        return 1.0 if server is None else _current(server, now)

    def split(self, name: str, now: float) -> tuple[float, float]:
        """Splits a server's slowdown into two factors.

        Returns:
            The lasting part, the lower one of the average and the current
            slowdown, and how many times as slow as that the server is now.
        """
        server = self._servers.get(name)
        if server is None:
            return 1.0, 1.0
        current = _current(server, now)
        lasting = min(current, server.average)
        return lasting, current / lasting

    def weights(self, names: Iterable[str], now: float) -> dict[str, float]:
        """Returns what servers sustain relative to their mean.

        Empty if no server has reported a slowdown.
        """
        if not self._servers:
            return {}
        speeds = {name: 1 / self.current(name, now) for name in names}
        mean = sum(speeds.values()) / len(speeds)
        return {name: speed / mean for name, speed in speeds.items()}

    def mean(self, name: str, since_s: float, until_s: float) -> float:
        """Returns a server's mean slowdown over a time; 1.0 if unknown.

        Each report holds until the next one, the first one also before.
        """
        server = self._servers.get(name)
        if server is None:
            return 1.0
        if until_s <= since_s:
            return _current(server, until_s)
        total, end_s = 0.0, until_s
        for at_s, slowdown in reversed(server.recent):
            begin_s = max(since_s, at_s)
            total += slowdown * max(0.0, end_s - begin_s)
            end_s = min(end_s, begin_s)
            if at_s <= since_s:
                break
        total += server.recent[0][1] * (end_s - since_s)
        return total / (until_s - since_s)

    def is_reported(self, now: float) -> bool:
        """Tells whether a server has reported a slowdown lately."""
        return now - self._reported_s <= REPORTED_S


def _current(server: _Server, now: float) -> float:
    age_s = max(0.0, now - server.reported_s)
    weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    return server.average + weight * (server.reported - server.average)
