"""Handles what backend servers report about themselves in responses."""

from __future__ import annotations

from collections.abc import Callable

from irisshelf.catalog import departures
from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.observe import decision_log
from irisshelf.routing.direct import availability as availability_module

# An unreadable header is logged once per server and header in this time: a
# server repeats it in each response.
_UNREADABLE_LOG_INTERVAL_S = 10.0


class ReportHandler:
    """Applies and logs servers' reports, and publishes them to other instances.

    Args:
        availability: Which servers accept requests.
        on_load: Called with a server's load.
        on_backoff: Called when a server asks for a backoff.
        publish: Sends a fact to other instances.
        log: The decision log.
        counts: Metrics.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        availability: availability_module.Availability,
        on_load: Callable[[directory.BackendServer, messages.Load], None],
        on_backoff: Callable[[directory.BackendServer], None],
        publish: Callable[[facts.Fact], None],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self._availability = availability
        self._on_load = on_load
        self._on_backoff = on_backoff
        self._publish = publish
        self._log = log
        self._metrics = counts
        self._now = now
        # By server and header: when it was last logged as unreadable.
        self._logged_unreadable_s: dict[tuple[str, str], float] = {}

    def handle(
        self,
        server: directory.BackendServer,
        report: messages.ServerReport,
        request: str,
    ) -> None:
        """Handles the report in a response head.

        Args:
            server: The server that the request was sent to.
            report: The report.
            request: The id of the request.
        """
        for header in report.unreadable:
            self._log_unreadable(server, header, request)
        if report.absent:
            # Another server responded; the rest of the report is about it.
            self._handle_absent(server, request)
            return
        if report.load is not None:
            self._on_load(server, report.load)
        if report.leaving:
            self._handle_leaving(server, request)
        if report.rest_s:
            self._handle_backoff(server, report.rest_s, request)

    def record_response(
        self, server: directory.BackendServer, sent_s: float
    ) -> None:
        """Records that a server has accepted and answered a request.

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

    def handle_peer_report(self, server: directory.BackendServer) -> None:
        """Handles that another instance knows that a server leaves."""
        if self._announce(server, departures.Source.PEER):
            self._log_not_accepting(server, "leaving", "", by="peer")

    def _handle_absent(
        self, server: directory.BackendServer, request: str
    ) -> None:
        if self._availability.mark_absent(server.server_id, self._now()):
            self._log_not_accepting(server, "absent", request)

    def _handle_leaving(
        self, server: directory.BackendServer, request: str
    ) -> None:
        if self._announce(server, departures.Source.RESPONSE):
            self._log_not_accepting(server, "leaving", request)
            key = directory.short_id(server.server_id)
            self._publish(facts.ServerLeaving(server=key))

    def _announce(
        self, server: directory.BackendServer, source: departures.Source
    ) -> bool:
        return self._availability.departures.announce(
            server.server_id,
            source=source,
            now=self._now(),
            address=server.address,
        )

    def _handle_backoff(
        self, server: directory.BackendServer, rest_s: float, request: str
    ) -> None:
        self._on_backoff(server)
        if self._availability.record_backoff(
            server.server_id, rest_s, self._now()
        ):
            self._log_not_accepting(server, "resting", request, rest_s)
            self._publish_pause(server, rest_s)

    def _publish_pause(
        self, server: directory.BackendServer, remaining_s: float
    ) -> None:
        key = directory.short_id(server.server_id)
        until_s = self._now() + remaining_s
        self._publish(facts.ServerPause(server=key, until_s=until_s))

    def _log_unreadable(
        self, server: directory.BackendServer, header: str, request: str
    ) -> None:
        self._metrics.reports.labels("unreadable").inc()
        now = self._now()
        logged_s = self._logged_unreadable_s.get(
            (server.server_id, header), float("-inf")
        )
        if now - logged_s < _UNREADABLE_LOG_INTERVAL_S:
            return
        self._logged_unreadable_s = {
            logged: at_s
            for logged, at_s in self._logged_unreadable_s.items()
            if now - at_s < _UNREADABLE_LOG_INTERVAL_S
        }
        self._logged_unreadable_s[server.server_id, header] = now
        self._log.request(
            "unreadable_header",
            request,
            server=server.server_id,
            header=header,
        )

    def _log_not_accepting(
        self,
        server: directory.BackendServer,
        why: str,
        request: str,
        rest_s: float = 0.0,
        by: str = "response",
    ) -> None:
        self._metrics.reports.labels(why).inc()
        self._log.warning(
            "server_accepts_nothing",
            server=server.server_id,
            address=server.address,
            service=server.service,
            why=why,
            by=by,
            rest_s=rest_s,
            listed=server.state.value,
            request=request,
        )
