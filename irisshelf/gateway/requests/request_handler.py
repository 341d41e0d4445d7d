"""Serves one request: choose a server, send, check, retry, answer."""

from __future__ import annotations

from irisshelf.catalog import directory
from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import attempt as attempt_module
from irisshelf.gateway.requests import placement as placement_module
from irisshelf.gateway.requests import send_history
from irisshelf.routing import crash_suspects
from irisshelf.routing import outcome
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import server as caller_side

# How long a silent server is waited for when another may still be asked: a
# share of the objective, for safe requests; a multiple of it for the first
# event of a stream; a multiple of the longest pause for the next ones.
_SAFE_PATIENCE = 0.6
_FIRST_EVENT_PATIENCE = 2.0
_PAUSE_PATIENCE = 3.0
_SHORTEST_PATIENCE_S = 0.03
# Statuses that promise that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504


class RequestHandler:
    """One request on its way.

    Args:
        inst: The instance.
        job: The request.
        conn: The caller's connection.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        conn: caller_side.Connection,
    ):
        self._inst = inst
        self._job = job
        self._conn = conn
        self._retry_after_s = admission.RETRY_SOON_S
        self._sends = send_history.SendHistory(inst=inst, job=job)
        self._placement = placement_module.Placement(
            inst=inst, job=job, sends=self._sends
        )
        self._events_before = 0
        self._progress = attempt_module.Progress(
            last_event_id=job.head.last_event_id
        )

    def run(self) -> str:
        """Serves the request.

        Returns:
            How it ended, a word for logs and metrics.
        """
        self._inst.servers.budget(self._job.service).record_request(
            self._inst.now()
        )
        try:
            return self._run()
        finally:
            self._placement.close()

    def _run(self) -> str:
        while True:
            verdict = self._inst.crashes.verdict(self._job)
            if verdict and verdict.stage is crash_suspects.Stage.BARRED:
                return self._bar(verdict)
            placed = self._placement.next(verdict)
            if placed is None:
                continue
            if isinstance(placed, placement_module.Rejection):
                self._retry_after_s = (
                    placed.retry_after_s or self._retry_after_s
                )
                return self._give_up(placed.why)
            try:
                return self._send(placed.choice, placed.conn)
            except attempt_module.SendError as exc:
                stop = self._after(placed.choice, exc)
            if stop:
                return self._give_up(stop)

    def _left_s(self) -> float:
        return self._job.deadline_s - self._inst.now()

    def _send(
        self, choice: server_choice.Choice, conn: client.Connection
    ) -> str:
        server = choice.server
        self._log_send(choice, conn.rested_s)
        self._sends.count += 1
        self._events_before = self._progress.events
        self._inst.servers.record_sent_prompt(server, self._job.head.prompt)
        attempt_module.Attempt(
            inst=self._inst,
            job=self._job,
            caller=self._conn,
            progress=self._progress,
            choice=choice,
            conn=conn,
            patience_s=self._patience_s,
            leave=lambda: self._placement.replace(server, conn),
        ).run()
        self._seen(server, server_stats.Outcome.SUCCESS)
        self._inst.crashes.record_success(self._job)
        return "served"

    def _patience_s(self, first: bool) -> float:
        """Returns how long to wait for a sign of life if another may be asked.

        Args:
            first: Whether nothing of the answer has come yet.
        """
        left_s = max(0.001, self._left_s())
        route = self._job.route
        if route.kind is model.RouteKind.SAFE:
            patience_s = route.target_s * _SAFE_PATIENCE
        elif first:
            patience_s = route.target_s * _FIRST_EVENT_PATIENCE
        else:
            patience_s = route.target_gap_s * _PAUSE_PATIENCE
        return min(left_s, max(_SHORTEST_PATIENCE_S, patience_s))

    def _after(
        self, choice: server_choice.Choice, exc: attempt_module.SendError
    ) -> str:
        """Decides what follows a send that went wrong.

        Returns:
            Why the request is given up; empty to send again.
        """
        server = choice.server
        nothing_came = self._progress.events == self._events_before
        blamed = (
            exc.cut
            and nothing_came
            and self._inst.crashes.record_disconnect(self._job, server)
        )
        if not exc.excuse:
            self._seen(server, exc.seen, str(exc))
        if exc.outcome is outcome.Outcome.NOT_RUN:
            self._retry_after_s = admission.retry_after_s(self._inst, choice)
        self._sends.went_wrong(server, exc)
        stop = self._sends.why_stop(exc, blamed=blamed, left_s=self._left_s())
        self._inst.log.request(
            "send_failed",
            self._job.head.request_id,
            server=server.server_id,
            cause=exc.seen.value,
            outcome=exc.outcome.value,
            detail=str(exc),
            events=self._progress.events,
            sends=self._sends.count,
            then=stop or "send again",
        )
        return stop

    def _bar(self, verdict: crash_suspects.Verdict) -> str:
        """Refuses a request at once that servers ended under.

        This very try has not run, which is what 503 says; the caller is told
        how long there is no use in another.
        """
        self._retry_after_s = verdict.barred_for_s
        self._inst.crashes.record_refusal(self._job, verdict)
        return self._give_up(send_history.SERVERS_CRASHED)

    def _give_up(self, why: str) -> str:
        """Gives the final answer to a request that is not served."""
        request = self._job.head.request_id
        if self._conn.began:
            self._conn.abort()
            return f"cut_{why}"
        final = self._sends.final
        if final is not None and final.status not in _NOT_RUN_STATUSES:
            self._conn.answer(final.status, list(final.headers), final.body)
            return "failed_by_server"
        if self._inst.isolated:
            # The caller's next request is better off elsewhere.
            self._conn.close_after_answer()
        worst = self._sends.worst
        if worst is outcome.Outcome.NOT_RUN:
            status, retry_after_s = _UNAVAILABLE, self._retry_after_s
        else:
            late = self._left_s() <= 0
            status = _GATEWAY_TIMEOUT if late else _BAD_GATEWAY
            retry_after_s = None
        headers = self._inst.dialect.local_answer_headers(
            request, retry_after_s
        )
        body = f'{{"error": "{why}", "outcome": "{worst.value}"}}'
        self._conn.answer(status, headers, body.encode())
        return f"{worst.value}_{why}"

    def _seen(
        self,
        server: directory.BackendServer,
        what: server_stats.Outcome,
        detail: str = "",
    ) -> None:
        self._inst.servers.record_observation(
            server, what, self._job.head.request_id, detail
        )

    def _log_send(self, choice: server_choice.Choice, rested_s: float) -> None:
        self._inst.metrics.sends.labels(choice.reason.value).inc()
        self._inst.log.request(
            "send",
            self._job.head.request_id,
            route=self._job.route.name,
            catalog=self._job.version,
            server=choice.server.server_id,
            address=choice.server.address,
            reason=choice.reason.value,
            load=round(choice.load, 1),
            mean_load=round(choice.mean_load, 1),
            load_age_s=_age(choice.report_age_s),
            source=choice.source.server_id if choice.source else "",
            subject=self._job.head.prompt.affinity_key,
            shared_tokens=self._job.head.prompt.shared_tokens,
            rested_s=round(rested_s, 3),
            attempt=self._sends.count + 1,
            left_s=round(self._left_s(), 3),
            resume_after=self._progress.last_event_id,
        )

    def summary(self) -> dict[str, object]:
        """Returns figures for the request's last log line."""
        first_s = self._progress.first_byte_s
        return {
            "sends": self._sends.count,
            "events": self._progress.events,
            "first_byte_s": (None if first_s is None else round(first_s, 4)),
        }


def _age(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s, 3)
