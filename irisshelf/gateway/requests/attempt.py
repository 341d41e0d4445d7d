"""One send of a request, with its response or the failure of the send."""

from __future__ import annotations

from collections.abc import Callable

from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import monitored_connection
from irisshelf.gateway.requests import request_demand
from irisshelf.gateway.requests import response_relay
from irisshelf.gateway.requests import send_error
from irisshelf.gateway.requests import stream_binding
from irisshelf.routing import outcome
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import server as caller_side

_UNAVAILABLE = 503
# Responses to other requests that are discarded before the one to this request.
# A server sends one, if any.
_MAX_STRAY_RESPONSES = 8


class Attempt:
    """One send over one connection.

    Args:
        inst: The instance.
        job: The request.
        caller: The caller's connection.
        progress: Progress of the response; updated here.
        binding: The release that a stream is bound to; bound here.
        demand: Counts the response and its time.
        choice: The server, and why it was chosen.
        conn: The connection to it.
        response_timeout_s: Returns how long to wait for more data; its argument
            is whether nothing of the response has arrived yet.
        fail_over: Called when the server is silent. Returns whether to abandon
            it; if so, the next send has been prepared.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        caller: caller_side.Connection,
        progress: response_relay.Progress,
        binding: stream_binding.StreamBinding,
        demand: request_demand.RequestDemand,
        choice: server_choice.Choice,
        conn: client.Connection,
        response_timeout_s: Callable[[bool], float],
        fail_over: Callable[[], bool],
    ):
        self._inst = inst
        self._job = job
        self._caller = caller
        self._progress = progress
        self._demand = demand
        self._choice = choice
        self._conn = conn
        self._response_timeout_s = response_timeout_s
        self._monitored = monitored_connection.MonitoredConnection(
            inst=inst,
            server=choice.server,
            conn=conn,
            fail_over=fail_over,
            deadline_s=job.deadline_s,
        )
        # The connection is shut down so that the read in progress ends.
        self._share = inst.response_memory.open(on_end=conn.shutdown)
        self._relay = response_relay.ResponseRelay(
            inst=inst,
            job=job,
            caller=caller,
            progress=progress,
            binding=binding,
            demand=demand,
            server=choice.server,
            conn=conn,
            monitored=self._monitored,
            share=self._share,
            response_timeout_s=response_timeout_s,
        )

    def run(self) -> None:
        """Sends the request and relays the response.

        Raises:
            send_error.SendError: There is no response that may be relayed, or
                it is incomplete.
        """
        server = self._choice.server
        stats = self._inst.servers.chooser(server.service).stats
        pool = self._inst.servers.connection_pool
        pool.mark_in_use(server, self._conn)
        stats.record_start(server.server_id, self._inst.now())
        keep_alive_s = None
        try:
            sent_s = self._inst.now()
            head = self._exchange_head()
            self._progress.began = True
            keep_alive_s = head.report.keep_alive_s
            if not head.not_run:
                self._inst.servers.reports.record_response(server, sent_s)
            self._check(head)
            head_s = self._inst.now()
            stats.record_response_time(server.server_id, sent_s, head_s)
            # A stream holds a slot at the server from its first event on. The
            # time before that shows how busy the server is, not how fast.
            began_s = sent_s
            if self._job.route.kind is model.RouteKind.STREAMING:
                began_s = head_s
                self._relay.relay_stream(head)
            else:
                self._relay.relay_complete(head)
            self._inst.servers.overload(server.service).record_service_time(
                self._inst.now() - began_s
            )
            stats.record_residence_time(self._inst.now() - sent_s)
            self._demand.record_slot_time(
                self._choice,
                sent_s=sent_s,
                head_s=head_s,
                reported=head.report.load,
            )
        finally:
            self._share.close()
            stats.record_end(server.server_id, self._inst.now())
            # A connection in the middle of a response is not reusable. Closing
            # it makes the server stop working on the request.
            pool.release(server, self._conn, keep_alive_s)

    def _exchange_head(self) -> messages.AnswerHead:
        job = self._job
        source = self._choice.source
        forwarded = messages.ForwardedContext(
            entry_id=self._choice.server.entry_id,
            team=job.team,
            left_s=self._job.deadline_s - self._inst.now(),
            priority=job.priority,
            cache_source=source.address if source else "",
            last_event_id=self._progress.last_event_id,
        )
        headers = self._inst.dialect.backend_request_headers(
            job.inbound, forwarded
        )
        if job.route.kind is model.RouteKind.UNSAFE:
            # It must run at most once, and a caller that disconnects does not
            # undo it: let it finish.
            self._caller.ignore_disconnect()
        timeout_s = self._response_timeout_s(True)
        until_s = self._inst.now() + timeout_s
        with send_error.transport_failures(self._conn):
            self._conn.send(
                job.inbound.method,
                job.inbound.target,
                headers,
                job.inbound.body,
                timeout_s=timeout_s,
                # The server may read a long body slowly, and counts as loaded
                # meanwhile. Whether to abandon it is decided while the response
                # is awaited.
                body_timeout_s=self._job.deadline_s - self._inst.now(),
                max_head_bytes=self._inst.cfg.read_limits.response_head_bytes,
            )
        return self._read_matching_head(until_s)

    def _read_matching_head(self, until_s: float) -> messages.AnswerHead:
        """Reads response heads until one belongs to this request."""
        limits = self._inst.cfg.read_limits
        with send_error.transport_failures(self._conn):
            for _ in range(_MAX_STRAY_RESPONSES + 1):
                status, raw = self._monitored.read_head(until_s)
                head = self._inst.dialect.parse_answer(status, raw)
                self._inst.servers.reports.handle(
                    self._choice.server, head.report, self._job.head.request_id
                )
                if head.request_id in ("", self._job.head.request_id):
                    return head
                self._inst.log.request(
                    "stray_answer",
                    self._job.head.request_id,
                    belongs_to=head.request_id,
                )
                self._conn.skip_response(
                    timeout_s=until_s - self._inst.now(),
                    max_bytes=limits.response_body_bytes,
                )
        raise send_error.unknown_outcome(
            server_stats.Outcome.BROKEN,
            f"more than {_MAX_STRAY_RESPONSES} responses to other requests",
        )

    def _check(self, head: messages.AnswerHead) -> None:
        """Raises send_error.SendError unless the response is a success."""
        if head.success and head.request_id:
            return
        if head.not_run:
            raise self._rejection(head)
        if 200 <= head.status < 300:
            raise send_error.unknown_outcome(
                server_stats.Outcome.BROKEN,
                f"status {head.status}, but without signature or request id, "
                "or with an encoded body",
            )
        body = self._relay.read_complete_body(head)
        raise send_error.SendError(
            server_outcome=(
                server_stats.Outcome.FAILED
                if head.status >= 500
                else server_stats.Outcome.SUCCESS
            ),
            request_outcome=outcome.Outcome.UNKNOWN,
            detail=f"error response with status {head.status}",
            response=messages.CompleteAnswer(
                status=head.status, headers=head.headers, body=body
            ),
        )

    def _rejection(self, head: messages.AnswerHead) -> send_error.SendError:
        """Returns the failure of a send that the server rejected as not run.

        Its head says so, whatever becomes of its body.
        """
        server_outcome = self._classify_rejection(head)
        detail = f"rejected with status {head.status}"
        try:
            self._relay.read_body(head)
        except send_error.SendError as exc:
            server_outcome = exc.server_outcome
            detail += f", its body: {exc}"
        return send_error.SendError(
            server_outcome=server_outcome,
            request_outcome=outcome.Outcome.NOT_RUN,
            detail=detail,
        )

    def _classify_rejection(
        self, head: messages.AnswerHead
    ) -> server_stats.Outcome:
        """Classifies a rejection by what it shows about the server.

        It does not count against a server that is full, asks for a backoff, or
        is not the server that was addressed.
        """
        choice = self._choice
        free = choice.load < choice.server.slots
        count_rejections = self._inst.cfg.policy.turned_away
        if (
            count_rejections
            and free
            and head.status == _UNAVAILABLE
            and not head.report.rest_s
        ):
            return server_stats.Outcome.TURNED_AWAY
        return server_stats.Outcome.REFUSED
