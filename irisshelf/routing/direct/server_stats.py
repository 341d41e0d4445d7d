"""What one instance knows of each backend server: load, speed and health.

Load is the server's last report, corrected by what this instance has sent
and seen end since. Health is evidence from real requests only; probes cost
the users money and may lie.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

# What a server said of its load fades, as the requests that it counted end:
# answers last about a second. After three times that it says nothing.
REPORT_DECAY_S = 1.5
MAX_REPORT_AGE_S = 4.5
# Changes of own requests that are remembered for a server.
_MAX_CHANGES = 64
# A server that misbehaves rests this long before one request tries it again;
# doubled each time, up to the longest.
FIRST_EJECTION_S = 0.6
MAX_EJECTION_S = 4.0
# Weight of the newest outcome, and of the newest duration, in their averages.
_OUTCOME_WEIGHT = 0.2
_DURATION_WEIGHT = 0.2
_STAY_WEIGHT = 0.05
# A server is an outlier if its share of failures is so far above the mean of
# its service, and so many outcomes speak for it.
_OUTLIER_GAP = 0.3
_OUTLIER_OUTCOMES = 4
# Failures in a row that make a server rest, whatever the others do.
_IN_A_ROW = 3


class Outcome(enum.StrEnum):
    """What came of a request that was sent to a server.

    A server that refuses is full; one that turns away has free places as far as
    is known, and answers so fast that it would draw more than its share.
    """

    SUCCESS = "well"
    REFUSED = "refused"
    TURNED_AWAY = "turned_away"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadEstimate:
    """A server's load now, by what is known of it.

    Attributes:
        remaining: Requests known of that it still has.
        sent: Of these, own ones that its report is too old for.
        ended: Requests that its report counted and that have ended since.
    """

    remaining: float
    sent: int
    ended: float


@dataclasses.dataclass(slots=True)
class _Server:
    own: int = 0
    sent_as: float = float("-inf")
    sent_since: int = 0
    told: int = 0
    told_s: float = float("-inf")
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_CHANGES)
    )
    bad: float = 0.0
    outcomes: int = 0
    in_a_row: int = 0
    rests: int = 0
    rest_until_s: float = float("-inf")
    trying: bool = False
    unreachable: bool = False
    lost_s: float = float("-inf")
    heard_s: float = float("-inf")
    duration_s: float = 0.0


class ServerStats:
    """What is known of the servers of one service.

    Args:
        ejects: Whether servers that fail requests get none for a while.
    """

    def __init__(self, *, ejects: bool = True):
        self._ejects = ejects
        self._servers: dict[str, _Server] = {}
        self._stay_s = 0.0
        self._sends = 0

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are not listed any more and have no work."""
        for name in [n for n in self._servers if n not in names]:
            if not self._servers[name].own:
                del self._servers[name]

    def record_start(self, name: str, now: float) -> None:
        """Counts a request that is sent."""
        server = self._get(name)
        server.own += 1
        self._sends += 1
        server.sent_as = self._sends
        server.sent_since += 1
        server.changes.append((now, 1))
        server.trying = True

    def record_end(self, name: str, now: float) -> None:
        """Counts a request that does not run there any more."""
        server = self._get(name)
        server.own = max(0, server.own - 1)
        server.changes.append((now, -1))

    def record_load_report(self, name: str, *, work: int, at_s: float) -> bool:
        """Takes a server's report: requests that run or wait there.

        Args:
            name: The server.
            work: Their number.
            at_s: When it said so; an older report than the last is not taken.

        Returns:
            Whether it was taken.
        """
        server = self._get(name)
        if at_s <= server.told_s:
            return False
        server.told = work
        server.told_s = at_s
        server.sent_since = sum(
            step > 0 and changed_s > at_s for changed_s, step in server.changes
        )
        return True

    def record_duration(self, name: str, duration_s: float) -> None:
        """Takes how long a server took to answer, or to begin to."""
        server = self._get(name)
        if not server.duration_s:
            server.duration_s = duration_s
            return
        step = duration_s - server.duration_s
        server.duration_s += _DURATION_WEIGHT * step

    def record_residence_time(self, stay_s: float) -> None:
        """Takes how long a request was at a server, from sent to ended."""
        if not self._stay_s:
            self._stay_s = stay_s
        self._stay_s += _STAY_WEIGHT * (stay_s - self._stay_s)

    def duration_s(self, name: str) -> float:
        """Returns a server's average time to answer; 0 if not known."""
        return self._get(name).duration_s

    def own_requests(self, name: str) -> int:
        """Returns how many requests of this instance run there."""
        return self._get(name).own

    def sends_to_others(self, name: str) -> float:
        """Returns own sends since the last to a server; infinite if none."""
        return self._sends - self._get(name).sent_as

    def report_age_s(self, name: str, now: float) -> float:
        """Returns the age of a server's last report."""
        return now - self._get(name).told_s

    def load(self, name: str, now: float, *, otherwise: float = 0.0) -> float:
        """Estimates the requests that a server has, of all instances.

        Args:
            name: The server.
            now: Time in seconds.
            otherwise: What others are thought to have there, if the server
                has told nothing lately.
        """
        server = self._get(name)
        age_s = now - server.told_s
        if age_s > MAX_REPORT_AGE_S:
            return server.own + otherwise
        since = sum(
            step for at_s, step in server.changes if at_s > server.told_s
        )
        left = (server.told + since) * math.exp(
            -max(0.0, age_s) / REPORT_DECAY_S
        )
        return max(float(server.own), left)

    def loads(self, names: list[str], now: float) -> dict[str, float]:
        """Estimates all loads; unknown ones from those that are known."""
        fresh = [
            max(0.0, self.load(name, now) - self.own_requests(name))
            for name in names
            if now - self._get(name).told_s <= MAX_REPORT_AGE_S
        ]
        others = sum(fresh) / len(fresh) if fresh else 0.0
        return {name: self.load(name, now, otherwise=others) for name in names}

    def estimate(self, name: str, now: float) -> LoadEstimate:
        """Estimates what is left of the requests that are known of.

        Of those that a report counted, the share that has ended since follows
        from how long requests stay. In a steady state as many come as end.
        """
        server = self._get(name)
        age_s = max(0.0, now - server.told_s)
        left = server.told * math.exp(-age_s / (self._stay_s or REPORT_DECAY_S))
        sent = min(server.sent_since, server.own)
        return LoadEstimate(
            remaining=max(float(server.own), left + sent),
            sent=sent,
            ended=server.told - left,
        )

    def record_outcome(self, name: str, what: Outcome, now: float) -> str:
        """Takes what came of a request.

        Returns:
            Why the server rests from now on; empty if nothing changes.
        """
        server = self._get(name)
        server.trying = False
        if what is Outcome.REFUSED:
            return ""
        good = what is Outcome.SUCCESS
        server.outcomes += 1
        server.bad += _OUTCOME_WEIGHT * ((0.0 if good else 1.0) - server.bad)
        server.in_a_row = 0 if good else server.in_a_row + 1
        if good:
            self._end_rest(server)
            return ""
        if what is Outcome.UNREACHABLE:
            return self._lose(server, now)
        if server.in_a_row >= _IN_A_ROW and what is not Outcome.FAILED:
            return self._rest(server, now, f"{server.in_a_row} in a row")
        if self._is_outlier(name, server):
            return self._rest(server, now, f"fails {server.bad:.2f}")
        return ""

    def record_connect(self, name: str, now: float) -> None:
        """Takes that a server accepts connections.

        That says nothing of its answers, so that it ends only a rest that a
        failed connect began.
        """
        server = self._get(name)
        server.heard_s = max(server.heard_s, now)
        if server.unreachable:
            self._end_rest(server)

    def is_unreachable(self, name: str) -> bool:
        """Tells whether a server was out of reach the last time."""
        return self._get(name).unreachable

    def record_received(self, name: str, now: float) -> None:
        """Takes that bytes have come from a server."""
        self._get(name).heard_s = now

    def last_received_s(self, name: str) -> float:
        """Returns when a server was last heard; minus infinity if never."""
        return self._get(name).heard_s

    def is_available(self, name: str, now: float) -> bool:
        """Tells whether a server may get a request.

        One that is out of reach gets none until a connect has shown otherwise,
        or nobody has tried for the longest rest. One that rests for another
        reason gets a single request afterwards, to show itself.
        """
        server = self._get(name)
        if server.unreachable:
            return now - server.lost_s >= MAX_EJECTION_S
        if not server.rests:
            return True
        return now >= server.rest_until_s and not server.trying

    def failure_rate(self, name: str) -> float:
        """Returns a server's recent share of failures."""
        return self._get(name).bad

    def _get(self, name: str) -> _Server:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _Server()
        return server

    def _lose(self, server: _Server, now: float) -> str:
        before, server.unreachable = server.unreachable, True
        server.lost_s = now
        return "" if before else "unreachable"

    def _end_rest(self, server: _Server) -> None:
        server.unreachable = False
        server.rests = 0
        server.rest_until_s = float("-inf")

    def _rest(self, server: _Server, now: float, why: str) -> str:
        if now < server.rest_until_s or not self._ejects:
            return ""
        rest_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**server.rests)
        server.rests += 1
        server.rest_until_s = now + rest_s
        return why

    def _is_outlier(self, name: str, server: _Server) -> bool:
        others = [s.bad for n, s in self._servers.items() if n != name]
        if not others or server.outcomes < _OUTLIER_OUTCOMES:
            return False
        mean = sum(others) / len(others)
        return server.bad - mean > _OUTLIER_GAP
