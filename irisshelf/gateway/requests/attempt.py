"""One send of a request: relays the response or reports how it failed."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import monitored_connection
from irisshelf.gateway.requests import stream_binding
from irisshelf.routing import outcome
from irisshelf.routing.direct import event_stream
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as caller_side

# If a connection that was idle for at least this long breaks before a response,
# the server probably closed it as idle; otherwise the server likely failed.
_STALE_AFTER_IDLE_S = 1.0
_UNAVAILABLE = 503


class SendError(Exception):
    """A failed send.

    Args:
        server_outcome: What the failure shows about the server.
        request_outcome: Whether the request may have run.
        detail: Description for people.
        response: The server's own error response, if it was complete.
        stale_connection: Whether an idle connection that the server had closed
            is the likely cause.
        disconnected: Whether the connection broke at the server's end.
    """

    def __init__(
        self,
        *,
        server_outcome: server_stats.Outcome,
        request_outcome: outcome.Outcome,
        detail: str,
        response: messages.CompleteAnswer | None = None,
        stale_connection: bool = False,
        disconnected: bool = False,
    ):
        super().__init__(detail)
        self.server_outcome = server_outcome
        self.request_outcome = request_outcome
        self.response = response
        self.stale_connection = stale_connection
        self.disconnected = disconnected


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Progress of a request's response, across all its sends.

    Attributes:
        last_event_id: Id of the last event that the caller has.
        events: Number of events that this instance has relayed.
        first_byte_s: Time to the first byte of the response; None before it.
        began: Whether the response to the latest send has begun.
    """

    last_event_id: int | None
    events: int = 0
    first_byte_s: float | None = None
    began: bool = False


class Attempt:
    """One send over one connection.

    Args:
        inst: The instance.
        job: The request.
        caller: The caller's connection.
        progress: Progress of the response; updated here.
        binding: The release that a stream is bound to; bound here.
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
        progress: Progress,
        binding: stream_binding.StreamBinding,
        choice: server_choice.Choice,
        conn: client.Connection,
        response_timeout_s: Callable[[bool], float],
        fail_over: Callable[[], bool],
    ):
        self._inst = inst
        self._job = job
        self._caller = caller
        self._progress = progress
        self._binding = binding
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

    def run(self) -> None:
        """Sends the request and relays the response.

        Raises:
            SendError: There is no response that may be relayed, or it is
                incomplete.
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
                self._relay_stream(head)
            else:
                self._relay_complete(head)
            overload = self._inst.servers.overload(server.service)
            overload.record_service_time(self._inst.now() - began_s)
            stats.record_residence_time(self._inst.now() - sent_s)
        finally:
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
        try:
            self._conn.send(
                job.inbound.method,
                job.inbound.target,
                headers,
                job.inbound.body,
                timeout_s=timeout_s,
            )
        except errors.TransportError as exc:
            raise _transport_failure(exc, self._conn) from exc
        return self._read_matching_head(until_s)

    def _read_matching_head(self, until_s: float) -> messages.AnswerHead:
        """Reads response heads until one belongs to this request."""
        try:
            while True:
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
                self._conn.skip_response(timeout_s=until_s - self._inst.now())
        except errors.TransportError as exc:
            raise _transport_failure(exc, self._conn) from exc

    def _check(self, head: messages.AnswerHead) -> None:
        """Raises SendError unless the response is a success."""
        if head.success and head.request_id:
            return
        if head.not_run:
            self._read_body()
            raise SendError(
                server_outcome=self._classify_rejection(head),
                request_outcome=outcome.Outcome.NOT_RUN,
                detail=f"rejected with status {head.status}",
            )
        if 200 <= head.status < 300:
            raise _unknown_outcome(
                server_stats.Outcome.BROKEN,
                f"status {head.status}, but without signature or request id, "
                "or with an encoded body",
            )
        body = self._read_body()
        raise SendError(
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

    def _read_body(self) -> bytes:
        parts = []
        until_s = self._inst.now() + self._response_timeout_s(True)
        while (part := self._read_data(until_s)) is not None:
            parts.append(part)
        return b"".join(parts)

    def _read_data(self, until_s: float) -> bytes | None:
        try:
            return self._monitored.read_data(until_s)
        except errors.TransportError as exc:
            raise _transport_failure(exc) from exc

    def _relay_complete(self, head: messages.AnswerHead) -> None:
        body = self._read_body()
        self._check_end()
        self._record_first_byte()
        self._caller.answer(head.status, list(head.headers), body)

    def _check_end(self) -> None:
        """Checks a response that only the end of the connection has ended.

        If the server has exited as well, the response is probably incomplete.

        Raises:
            SendError: The server refuses connections.
        """
        if not self._conn.ended_with_response or self._conn.relay:
            return
        if self._inst.crash_tracker.is_refused(self._choice.server):
            raise _unknown_outcome(
                server_stats.Outcome.BROKEN,
                "server exited at the end of a response without length",
                disconnected=True,
            )

    def _relay_stream(self, head: messages.AnswerHead) -> None:
        """Relays events as they arrive."""
        splitter = event_stream.Splitter()
        while True:
            data = self._read_events()
            if data is None:
                break
            events = self._new_events(splitter.feed(data))
            if events:
                self._binding.bind()
                self._send_head(head)
                self._caller.write(b"".join(event.data for event in events))
        if splitter.pending:
            raise _unknown_outcome(
                server_stats.Outcome.BROKEN, "response ends within an event"
            )
        self._check_end()
        self._send_head(head)
        self._caller.end()

    def _send_head(self, head: messages.AnswerHead) -> None:
        """Sends the head of the first server that responds, once."""
        if not self._caller.response_started:
            self._record_first_byte()
            self._caller.begin(head.status, list(head.headers))

    def _read_events(self) -> bytes | None:
        timeout_s = self._response_timeout_s(not self._progress.events)
        return self._read_data(self._inst.now() + timeout_s)

    def _new_events(
        self, events: list[event_stream.Event]
    ) -> list[event_stream.Event]:
        """Drops events that the caller already has; records the last id."""
        new = []
        for event in events:
            last = self._progress.last_event_id
            if event.event_id is not None:
                if last is not None and event.event_id <= last:
                    continue
                self._progress.last_event_id = event.event_id
            new.append(event)
        self._progress.events += len(new)
        return new

    def _record_first_byte(self) -> None:
        elapsed_s = self._inst.now() - self._job.inbound.arrived_s
        self._progress.first_byte_s = elapsed_s
        kind = self._job.route.kind.value
        self._inst.metrics.first_byte.labels(kind).observe(elapsed_s)


def _transport_failure(
    exc: errors.TransportError, conn: client.Connection | None = None
) -> SendError:
    """Classifies a transport error.

    Args:
        exc: The error.
        conn: The connection, if nothing of a response has arrived yet: an idle
            connection that the server closed may then be the cause.
    """
    if isinstance(exc, errors.UnreachableError):
        return _unknown_outcome(server_stats.Outcome.UNREACHABLE, str(exc))
    if isinstance(exc, errors.RelayLostError):
        # Another server, or this one by another path, may serve the request.
        return _unknown_outcome(
            server_stats.Outcome.RELAY_LOST, str(exc), stale_connection=True
        )
    if isinstance(exc, errors.PeerTimeoutError):
        return _unknown_outcome(server_stats.Outcome.SILENT, str(exc))
    stale = conn is not None and conn.idle_s >= _STALE_AFTER_IDLE_S
    return _unknown_outcome(
        server_stats.Outcome.BROKEN,
        str(exc),
        stale_connection=stale,
        disconnected=True,
    )


def _unknown_outcome(
    server_outcome: server_stats.Outcome,
    detail: str,
    *,
    stale_connection: bool = False,
    disconnected: bool = False,
) -> SendError:
    return SendError(
        server_outcome=server_outcome,
        request_outcome=outcome.Outcome.UNKNOWN,
        detail=detail,
        stale_connection=stale_connection,
        disconnected=disconnected,
    )
