"""One send of a request: pass the answer on, or say what went wrong."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import monitored_connection
from irisshelf.routing import outcome
from irisshelf.routing.direct import event_stream
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as caller_side

# A connection that breaks before an answer was probably closed by the server
# if it had rested this long; else the server is the likely cause.
_MAY_BE_STALE_S = 1.0
_UNAVAILABLE = 503


class SendError(Exception):
    """A send that went wrong.

    Args:
        seen: What it shows of the server.
        outcome: Whether the request may have run.
        detail: For people.
        final: The server's own answer, if it gave a whole one.
        excuse: Whether a connection that had rested is the likely cause.
        cut: Whether the server's end broke the connection off.
    """

    def __init__(
        self,
        *,
        seen: server_stats.Outcome,
        outcome: outcome.Outcome,
        detail: str,
        final: messages.CompleteAnswer | None = None,
        excuse: bool = False,
        cut: bool = False,
    ):
        super().__init__(detail)
        self.seen = seen
        self.outcome = outcome
        self.final = final
        self.excuse = excuse
        self.cut = cut


@dataclasses.dataclass(kw_only=True)
class Progress:
    """How far a request's answer has come, over all its sends.

    Attributes:
        last_event_id: The last event that the caller has.
        events: Events that this instance has passed on.
        first_byte_s: Time to the answer's first byte; None before.
    """

    last_event_id: int | None
    events: int = 0
    first_byte_s: float | None = None


class Attempt:
    """One send over one connection.

    Args:
        inst: The instance.
        job: The request.
        caller: The caller's connection.
        progress: How far the answer has come; kept up to date.
        choice: The server, and why.
        conn: The connection to it.
        patience_s: Tells how long to wait for a sign of life; takes whether
            it would be the first one.
        leave: Asked when the server is silent: decides whether it is left, and
            has prepared the next send if so.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        caller: caller_side.Connection,
        progress: Progress,
        choice: server_choice.Choice,
        conn: client.Connection,
        patience_s: Callable[[bool], float],
        leave: Callable[[], bool],
    ):
        self._inst = inst
        self._job = job
        self._caller = caller
        self._progress = progress
        self._choice = choice
        self._conn = conn
        self._patience_s = patience_s
        self._watched = monitored_connection.MonitoredConnection(
            inst=inst,
            server=choice.server,
            conn=conn,
            leave=leave,
            end_s=job.deadline_s,
        )

    def run(self) -> None:
        """Sends the request and passes the answer on.

        Raises:
            SendError: There is no answer that may be passed on, or not all.
        """
        server = self._choice.server
        book = self._inst.servers.chooser(server.service).stats
        pool = self._inst.servers.connection_pool
        pool.mark_in_use(server, self._conn)
        book.record_start(server.server_id, self._inst.now())
        keep_alive_s = None
        try:
            sent_s = self._inst.now()
            head = self._exchange_head()
            keep_alive_s = head.report.keep_alive_s
            if not head.not_run:
                self._inst.servers.reports.record_response(server, sent_s)
            self._check(head)
            head_s = self._inst.now()
            book.record_duration(server.server_id, head_s - sent_s)
            # A stream has its place at the server from its first event on; what
            # it waited before says how busy the server is, not how fast.
            began_s = sent_s
            if self._job.route.kind is model.RouteKind.STREAMING:
                began_s = head_s
                self._relay(head)
            else:
                self._pass_whole(head)
            overload = self._inst.servers.overload(server.service)
            overload.record_service_time(self._inst.now() - began_s)
            book.record_residence_time(self._inst.now() - sent_s)
        finally:
            book.record_end(server.server_id, self._inst.now())
            # A connection in the middle of an answer is not reusable and is
            # closed, so that the server stops working on it.
            pool.release(server, self._conn, keep_alive_s)

    def _exchange_head(self) -> messages.AnswerHead:
        job = self._job
        source = self._choice.source
        told = messages.ForwardedContext(
            entry_id=self._choice.server.entry_id,
            team=job.team,
            left_s=self._job.deadline_s - self._inst.now(),
            priority=job.priority,
            cache_source=source.address if source else "",
            last_event_id=self._progress.last_event_id,
        )
        headers = self._inst.dialect.backend_request_headers(job.inbound, told)
        if job.route.kind is model.RouteKind.UNSAFE:
            # It must run once; that its caller leaves does not undo it.
            self._caller.detach_caller()
        patience_s = self._patience_s(True)
        until_s = self._inst.now() + patience_s
        try:
            self._conn.send(
                job.inbound.method,
                job.inbound.target,
                headers,
                job.inbound.body,
                timeout_s=patience_s,
            )
        except errors.TransportError as exc:
            raise _broken(exc, self._conn) from exc
        return self._read_own_head(until_s)

    def _read_own_head(self, until_s: float) -> messages.AnswerHead:
        """Reads heads until one is of this request's answer."""
        try:
            while True:
                status, raw = self._watched.read_head(until_s)
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
                self._conn.skip_answer(timeout_s=until_s - self._inst.now())
        except errors.TransportError as exc:
            raise _broken(exc, self._conn) from exc

    def _check(self, head: messages.AnswerHead) -> None:
        """Lets successes pass; raises for everything else."""
        if head.success and head.request_id:
            return
        if head.not_run:
            self._read_body()
            raise SendError(
                seen=self._refusal(head),
                outcome=outcome.Outcome.NOT_RUN,
                detail=f"turned down with {head.status}",
            )
        if 200 <= head.status < 300:
            raise _unknown(
                server_stats.Outcome.BROKEN,
                f"{head.status} without signature, id or plain body",
            )
        body = self._read_body()
        raise SendError(
            seen=(
                server_stats.Outcome.FAILED
                if head.status >= 500
                else server_stats.Outcome.SUCCESS
            ),
            outcome=outcome.Outcome.UNKNOWN,
            detail=f"answered {head.status}",
            final=messages.CompleteAnswer(
                status=head.status, headers=head.headers, body=body
            ),
        )

    def _refusal(self, head: messages.AnswerHead) -> server_stats.Outcome:
        """Tells whether a refusal speaks against the server.

        Not if it is full, wants rest, or is not the server that was meant.
        """
        choice = self._choice
        free = choice.load < choice.server.slots
        counts = self._inst.cfg.policy.turned_away
        if (
            counts
            and free
            and head.status == _UNAVAILABLE
            and not head.report.rest_s
        ):
            return server_stats.Outcome.TURNED_AWAY
        return server_stats.Outcome.REFUSED

    def _read_body(self) -> bytes:
        parts = []
        until_s = self._inst.now() + self._patience_s(True)
        while (part := self._read_data(until_s)) is not None:
            parts.append(part)
        return b"".join(parts)

    def _read_data(self, until_s: float) -> bytes | None:
        try:
            return self._watched.read_data(until_s)
        except errors.TransportError as exc:
            raise _broken(exc) from exc

    def _pass_whole(self, head: messages.AnswerHead) -> None:
        body = self._read_body()
        self._first_byte()
        self._caller.answer(head.status, list(head.headers), body)

    def _relay(self, head: messages.AnswerHead) -> None:
        """Passes events on as they come."""
        splitter = event_stream.Splitter()
        while True:
            data = self._read_events()
            if data is None:
                break
            events = self._new_events(splitter.feed(data))
            if events:
                self._begin(head)
                self._caller.write(b"".join(event.data for event in events))
        if splitter.pending:
            raise _unknown(server_stats.Outcome.BROKEN, "ends within an event")
        self._begin(head)
        self._caller.end()

    def _begin(self, head: messages.AnswerHead) -> None:
        """Sends the head of the first server that answers, and no other."""
        if not self._caller.began:
            self._first_byte()
            self._caller.begin(head.status, list(head.headers))

    def _read_events(self) -> bytes | None:
        patience_s = self._patience_s(not self._progress.events)
        return self._read_data(self._inst.now() + patience_s)

    def _new_events(
        self, events: list[event_stream.Event]
    ) -> list[event_stream.Event]:
        """Drops events that the caller has; notes the last one's id."""
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

    def _first_byte(self) -> None:
        passed_s = self._inst.now() - self._job.inbound.arrived_s
        self._progress.first_byte_s = passed_s
        kind = self._job.route.kind.value
        self._inst.metrics.first_byte.labels(kind).observe(passed_s)


def _broken(
    exc: errors.TransportError, conn: client.Connection | None = None
) -> SendError:
    """Says what an exchange that went wrong shows.

    Args:
        exc: How it went wrong.
        conn: The connection, if nothing of an answer has come yet: then one
            that had rested may be to blame.
    """
    if isinstance(exc, errors.OutOfReachError):
        return _unknown(server_stats.Outcome.UNREACHABLE, str(exc))
    if isinstance(exc, errors.SilentError):
        return _unknown(server_stats.Outcome.SILENT, str(exc))
    stale = conn is not None and conn.rested_s >= _MAY_BE_STALE_S
    return _unknown(
        server_stats.Outcome.BROKEN, str(exc), excuse=stale, cut=True
    )


def _unknown(
    seen: server_stats.Outcome,
    detail: str,
    *,
    excuse: bool = False,
    cut: bool = False,
) -> SendError:
    return SendError(
        seen=seen,
        outcome=outcome.Outcome.UNKNOWN,
        detail=detail,
        excuse=excuse,
        cut=cut,
    )
