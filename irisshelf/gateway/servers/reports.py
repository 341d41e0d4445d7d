"""What backend servers say of themselves in answers: kept, logged, told."""

from __future__ import annotations

from collections.abc import Callable

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.observe import decision_log
from irisshelf.routing.direct import availability as availability_module


class Reports:
    """Takes the reports of servers.

    Args:
        availability: Which servers take requests.
        on_load: Takes a server's load.
        on_rest: Takes that a server asks for rest.
        tell: Tells other instances.
        log: Takes decisions.
        counts: Metrics.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        availability: availability_module.Availability,
        on_load: Callable[[directory.BackendServer, messages.Load], None],
        on_rest: Callable[[directory.BackendServer], None],
        tell: Callable[[facts.Fact], None],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self._availability = availability
        self._on_load = on_load
        self._on_rest = on_rest
        self._tell = tell
        self._log = log
        self._metrics = counts
        self._now = now

    def take(
        self,
        server: directory.BackendServer,
        report: messages.ServerReport,
        request: str,
    ) -> None:
        """Takes what a server says of itself in an answer.

        Args:
            server: Whom the request was sent to.
            report: What the answer says.
            request: The request's id.
        """
        for header in report.unreadable:
            self._unreadable(server, header, request)
        if report.absent:
            # The report is another server's.
            self._absent(server, request)
            return
        if report.load is not None:
            self._on_load(server, report.load)
        if report.leaving:
            self._leaving(server, request)
        if report.rest_s:
            self._resting(server, report.rest_s, request)

    def answered(self, server: directory.BackendServer, sent_s: float) -> None:
        """Takes that a server has taken a request and answered it.

        Args:
            server: The server.
            sent_s: When the request was sent, monotonic seconds.
        """
        if self._availability.record_answer(server.server_id, sent_s):
            self._log.instance(
                "server_accepts_again",
                server=server.server_id,
                service=server.service,
            )

    def _absent(self, server: directory.BackendServer, request: str) -> None:
        if self._availability.mark_absent(server.server_id, self._now()):
            self._log_pause(server, "absent", request)

    def _leaving(self, server: directory.BackendServer, request: str) -> None:
        if self._availability.mark_leaving(server.server_id):
            self._log_pause(server, "leaving", request)
            self._tell_pause(server, availability_module.MAX_PEER_PAUSE_S)

    def _resting(
        self, server: directory.BackendServer, rest_s: float, request: str
    ) -> None:
        self._on_rest(server)
        if self._availability.record_backoff(
            server.server_id, rest_s, self._now()
        ):
            self._log_pause(server, "resting", request, rest_s)
            self._tell_pause(server, rest_s)

    def _tell_pause(
        self, server: directory.BackendServer, left_s: float
    ) -> None:
        key = directory.key_of(server.server_id)
        until_s = self._now() + left_s
        self._tell(facts.ServerPause(server=key, until_s=until_s))

    def _unreadable(
        self, server: directory.BackendServer, header: str, request: str
    ) -> None:
        self._metrics.reports.labels("unreadable").inc()
        self._log.request(
            "unreadable_header",
            request,
            server=server.server_id,
            header=header,
        )

    def _log_pause(
        self,
        server: directory.BackendServer,
        says: str,
        request: str,
        rest_s: float = 0.0,
    ) -> None:
        self._metrics.reports.labels(says).inc()
        self._log.problem(
            "server_accepts_nothing",
            server=server.server_id,
            address=server.address,
            service=server.service,
            why=says,
            rest_s=rest_s,
            listed=server.state.value,
            request=request,
        )
