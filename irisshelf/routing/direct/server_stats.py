"""Load, speed and health of each backend server, as one instance knows them.

Load is the server's last report, corrected by the requests that this instance
has sent and seen end since. Health follows from the outcomes of real requests
only; probe requests cost the users money and may be misleading.
"""

from __future__ import annotations

import enum
import math

from irisshelf.routing.direct import report_rate
from irisshelf.routing.direct import server_state
from irisshelf.routing.direct import slowdown as slowdown_module

# A load report loses weight exponentially, since the requests that it counts
# end: responses last about a second. After three time constants it is ignored.
REPORT_DECAY_S = 1.5
MAX_REPORT_AGE_S = 4.5
# A failing server is ejected for this time before a single trial request;
# doubled with each ejection, up to the maximum.
FIRST_EJECTION_S = 0.6
MAX_EJECTION_S = 4.0
# Weights of the newest value in the moving averages of outcomes, response times
# and residence times.
_OUTCOME_WEIGHT = 0.2
_DURATION_WEIGHT = 0.2
_RESIDENCE_TIME_WEIGHT = 0.05
# A server is an outlier if its failure rate is so far above the mean of the
# other servers, based on at least so many outcomes.
_OUTLIER_GAP = 0.3
_MIN_OUTLIER_OUTCOMES = 4
# Consecutive failures that eject a server, whatever the others do.
_MAX_CONSECUTIVE_FAILURES = 3


class Outcome(enum.StrEnum):
    """Outcome of a request that was sent to a server.

    A server that refuses a request is full. One that turns it away has free
    slots as far as is known; it responds so fast that it would attract more
    than its share of the requests, so this counts as a failure. A lost relay,
    and a response that this instance has ended for lack of memory, show nothing
    about the server.
    """

    SUCCESS = "well"
    REFUSED = "refused"
    TURNED_AWAY = "turned_away"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    RELAY_LOST = "relay_lost"
    ENDED = "ended"


class ServerStats:
    """Statistics of the servers of one service.

    Args:
        ejects: Whether servers that fail requests are ejected for a while.

    Attributes:
        slowdowns: What servers report about their speed.
        report_rate: How often servers report their loads.
    """

    def __init__(self, *, ejects: bool = True):
        self._ejects = ejects
        self._servers: dict[str, server_state.ServerState] = {}
        self._residence_time_s = 0.0
        self._sends = 0
        self.slowdowns = slowdown_module.Slowdowns()
        self.report_rate = report_rate.ReportRate()

    def retain(self, names: frozenset[str]) -> None:
        """Removes unlisted servers without requests of this instance."""
        for name in [n for n in self._servers if n not in names]:
            if not self._servers[name].own_requests:
                del self._servers[name]
        self.slowdowns.retain(names)

    def record_start(self, name: str, now: float) -> None:
        """Counts a request that this instance sends to a server."""
        server = self._get(name)
        server.own_requests += 1
        self._sends += 1
        server.last_send_number = self._sends
        server.sent_since_report += 1
        server.changes.append((now, 1))
        server.awaiting_outcome = True

    def record_end(self, name: str, now: float) -> None:
        """Counts the end of a request of this instance at a server."""
        server = self._get(name)
        server.own_requests = max(0, server.own_requests - 1)
        server.changes.append((now, -1))

    def record_load_report(
        self,
        name: str,
        *,
        work: int,
        at_s: float,
        slowdown: float | None = None,
    ) -> bool:
        """Records a server's load report.

        Args:
            name: The server.
            work: Number of requests that run or wait there.
            at_s: Time of the report; reports not newer than the last one are
                ignored.
            slowdown: Its processing time relative to normal; None if it does
                not report that.

        Returns:
            Whether the report was used.
        """
        server = self._get(name)
        if at_s <= server.reported_s:
            return False
        if slowdown is not None:
            self.slowdowns.record(name, slowdown, at_s)
        self.report_rate.record(at_s)
        server.reported_requests = work
        server.reported_s = at_s
        server.sent_since_report = sum(
            step > 0 and changed_s > at_s for changed_s, step in server.changes
        )
        return True

    def record_duration(self, name: str, duration_s: float) -> None:
        """Records a server's response time or time to first byte."""
        server = self._get(name)
        if not server.duration_s:
            server.duration_s = duration_s
            return
        step = duration_s - server.duration_s
        server.duration_s += _DURATION_WEIGHT * step

    def record_response_time(
        self, name: str, sent_s: float, answered_s: float
    ) -> None:
        """Records when a server was sent a request and when it answered.

        The time is divided by the server's slowdown meanwhile, so that its
        normal speed and its slowdown are not counted twice.

        Args:
            name: The server.
            sent_s: When it was sent, monotonic seconds.
            answered_s: When the response or its first byte was received.
        """
        slowdown = self.slowdowns.mean(name, sent_s, answered_s)
        self.record_duration(name, (answered_s - sent_s) / slowdown)

    def record_residence_time(self, residence_time_s: float) -> None:
        """Records the time from the sending of a request to its end."""
        if not self._residence_time_s:
            self._residence_time_s = residence_time_s
        self._residence_time_s += _RESIDENCE_TIME_WEIGHT * (
            residence_time_s - self._residence_time_s
        )

    def duration_s(self, name: str) -> float:
        """Returns a server's average response time; 0 if unknown."""
        return self._get(name).duration_s

    def slowdown(self, name: str, now: float) -> float:
        """Returns a server's slowdown; 1.0 if it has never reported any."""
        return self.slowdowns.current(name, now)

    def own_requests(self, name: str) -> int:
        """Returns the number of requests that this instance has at a server."""
        return self._get(name).own_requests

    def sends_to_others(self, name: str) -> float:
        """Returns the sends to other servers since the last one to a server.

        Infinite if nothing was sent to the server.
        """
        return self._sends - self._get(name).last_send_number

    def reported_s(self, name: str) -> float:
        """Returns when a server last reported; minus infinity if never."""
        return self._get(name).reported_s

    def report_age_s(self, name: str, now: float) -> float:
        """Returns the age of a server's last report."""
        return now - self._get(name).reported_s

    def load(self, name: str, now: float, *, others: float = 0.0) -> float:
        """Estimates the requests of all instances at a server.

        Args:
            name: The server.
            now: Time in seconds.
            others: Assumed number of requests of other instances, if there is
                no recent report.
        """
        server = self._get(name)
        age_s = now - server.reported_s
        if age_s > MAX_REPORT_AGE_S:
            return server.own_requests + others
        since = 0
        for at_s, step in reversed(server.changes):
            if at_s <= server.reported_s:
                break
            since += step
        left = (server.reported_requests + since) * math.exp(
            -max(0.0, age_s) / REPORT_DECAY_S
        )
        return max(float(server.own_requests), left)

    def loads(self, names: list[str], now: float) -> dict[str, float]:
        """Estimates the loads of servers; unknown ones from the known ones."""
        own = {name: self._get(name).own_requests for name in names}
        fresh = {
            name: self.load(name, now)
            for name in names
            if now - self._servers[name].reported_s <= MAX_REPORT_AGE_S
        }
        others = 0.0
        if fresh:
            others = sum(
                max(0.0, load - own[name]) for name, load in fresh.items()
            ) / len(fresh)
        return {name: fresh.get(name, own[name] + others) for name in names}

    def estimate(self, name: str, now: float) -> server_state.LoadEstimate:
        """Estimates how many of the known requests a server still has.

        The share of the reported requests that has ended since follows from the
        average residence time. In a steady state as many requests arrive as
        end.
        """
        server = self._get(name)
        age_s = max(0.0, now - server.reported_s)
        left = server.reported_requests * math.exp(
            -age_s / (self._residence_time_s or REPORT_DECAY_S)
        )
        sent = min(server.sent_since_report, server.own_requests)
        return server_state.LoadEstimate(
            remaining=max(float(server.own_requests), left + sent),
            sent=sent,
            ended=server.reported_requests - left,
        )

    def record_outcome(self, name: str, outcome: Outcome, now: float) -> str:
        """Records the outcome of a request.

        Returns:
            Why the server is ejected from now on; empty if nothing changes.
        """
        server = self._get(name)
        server.awaiting_outcome = False
        if outcome in (Outcome.REFUSED, Outcome.RELAY_LOST, Outcome.ENDED):
            return ""
        if outcome is Outcome.UNREACHABLE:
            # Says nothing about how the server handles requests.
            return self._mark_unreachable(server, now)
        success = outcome is Outcome.SUCCESS
        server.outcomes += 1
        server.failure_rate += _OUTCOME_WEIGHT * (
            (0.0 if success else 1.0) - server.failure_rate
        )
        server.consecutive_failures = (
            0 if success else server.consecutive_failures + 1
        )
        if success:
            # An earlier connection or a relay may work although new
            # connections fail, so that the server remains unreachable.
            self._end_ejection(server)
            return ""
        if (
            server.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES
            and outcome is not Outcome.FAILED
        ):
            return self._eject(
                server,
                now,
                f"{server.consecutive_failures} consecutive failures",
            )
        if self._is_outlier(name, server):
            return self._eject(
                server, now, f"failure rate {server.failure_rate:.2f}"
            )
        return ""

    def record_connect(self, name: str, now: float) -> None:
        """Records that a server accepts connections.

        That does not show whether it handles requests, so it ends only an
        ejection that was caused by a failed connect.
        """
        server = self._get(name)
        server.last_received_s = max(server.last_received_s, now)
        server.connect_failures = 0
        if server.unreachable:
            server.unreachable = False
            self._end_ejection(server)

    def record_connect_failure(
        self, name: str, *, timed_out: bool, now: float
    ) -> None:
        """Records how an attempt to connect to a server failed.

        Args:
            name: The server.
            timed_out: Whether it did not respond, rather than refuse.
            now: Monotonic seconds.
        """
        server = self._get(name)
        server.connect_failures += 1
        server.timed_out = timed_out
        server.last_unreachable_s = now

    def connect_failure(self, name: str) -> server_state.ConnectFailure | None:
        """Returns the latest failure to connect to an unreachable server."""
        server = self._get(name)
        if not server.unreachable:
            return None
        return server_state.ConnectFailure(
            timed_out=server.timed_out,
            count=server.connect_failures,
            at_s=server.last_unreachable_s,
        )

    def clear_failures(self, name: str) -> None:
        """Forgets failures that were not the server's."""
        server = self._get(name)
        server.failure_rate = 0.0
        server.consecutive_failures = 0
        self._end_ejection(server)

    def is_unreachable(self, name: str) -> bool:
        """Tells whether the last attempt to connect to a server failed."""
        return self._get(name).unreachable

    def record_received(self, name: str, now: float) -> None:
        """Records that data was received from a server."""
        self._get(name).last_received_s = now

    def last_received_s(self, name: str) -> float:
        """Returns when data was last received; minus infinity if never."""
        return self._get(name).last_received_s

    def is_available(self, name: str, now: float) -> bool:
        """Tells whether a server may get a request.

        An unreachable server gets none until a connect succeeds, or no connect
        was tried for the maximum ejection time. A server that was ejected for
        another reason gets a single trial request afterwards.
        """
        server = self._get(name)
        if server.unreachable:
            return now - server.last_unreachable_s >= MAX_EJECTION_S
        return self.handles_requests(name, now)

    def handles_requests(self, name: str, now: float) -> bool:
        """Tells whether a server is not ejected for failing requests."""
        server = self._get(name)
        if not server.ejections:
            return True
        return now >= server.ejected_until_s and not server.awaiting_outcome

    def failure_rate(self, name: str) -> float:
        """Returns a server's recent failure rate, from 0 to 1."""
        return self._get(name).failure_rate

    def _get(self, name: str) -> server_state.ServerState:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = server_state.ServerState()
        return server

    def _mark_unreachable(
        self, server: server_state.ServerState, now: float
    ) -> str:
        before, server.unreachable = server.unreachable, True
        server.last_unreachable_s = now
        return "" if before else "unreachable"

    def _end_ejection(self, server: server_state.ServerState) -> None:
        server.ejections = 0
        server.ejected_until_s = float("-inf")

    def _eject(
        self, server: server_state.ServerState, now: float, why: str
    ) -> str:
        if now < server.ejected_until_s or not self._ejects:
            return ""
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**server.ejections)
        server.ejections += 1
        server.ejected_until_s = now + ejection_s
        return why

    def _is_outlier(self, name: str, server: server_state.ServerState) -> bool:
        other_rates = [
            s.failure_rate for n, s in self._servers.items() if n != name
        ]
        if not other_rates or server.outcomes < _MIN_OUTLIER_OUTCOMES:
            return False
        mean = sum(other_rates) / len(other_rates)
        return server.failure_rate - mean > _OUTLIER_GAP
