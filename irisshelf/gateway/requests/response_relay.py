"""Relays a server's response to the caller."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import kept_response
from irisshelf.gateway.requests import monitored_connection
from irisshelf.gateway.requests import request_demand
from irisshelf.gateway.requests import send_error
from irisshelf.gateway.requests import stream_binding
from irisshelf.routing.direct import event_stream
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import memory_budget
from irisshelf.transport import server as caller_side


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


class ResponseRelay:
    """Relays the response to one send.

    Args:
        inst: The instance.
        job: The request.
        caller: The caller's connection.
        progress: Progress of the response; updated here.
        binding: The release that a stream is bound to; bound here.
        demand: Counts that the response has begun.
        server: The server.
        conn: The connection to it.
        monitored: The same connection, with probes while it is silent.
        share: Memory that is taken by what is kept of the response.
        response_timeout_s: Returns how long to wait for more data; its argument
            is whether nothing of the response has arrived yet.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        caller: caller_side.Connection,
        progress: Progress,
        binding: stream_binding.StreamBinding,
        demand: request_demand.RequestDemand,
        server: directory.BackendServer,
        conn: client.Connection,
        monitored: monitored_connection.MonitoredConnection,
        share: memory_budget.Share,
        response_timeout_s: Callable[[bool], float],
    ):
        self._inst = inst
        self._job = job
        self._caller = caller
        self._progress = progress
        self._binding = binding
        self._demand = demand
        self._server = server
        self._conn = conn
        self._monitored = monitored
        self._share = share
        self._response_timeout_s = response_timeout_s

    def relay_complete(self, head: messages.AnswerHead) -> None:
        """Relays a response once it is complete.

        Raises:
            send_error.SendError: It is incomplete.
        """
        body = self.read_complete_body(head)
        self._share.keep()
        self._record_first_byte()
        self._caller.answer(head.status, list(head.headers), body)

    def _check_end(self) -> None:
        """Checks a response that only the end of the connection has ended.

        If the server has exited as well, the response is probably incomplete,
        whether or not the server was to leave.

        Raises:
            send_error.SendError: The server refuses connections.
        """
        if not self._conn.unframed:
            return
        if self._conn.relay:
            exited = self._inst.servers.reach.relays.refuses(self._server)
        else:
            exited = self._inst.crash_tracker.refuses_now(self._server)
        self._inst.log.request(
            "response_ended_by_close",
            self._job.head.request_id,
            server=self._server.server_id,
            relay=self._conn.relay,
            exited=exited,
            events=self._progress.events,
        )
        if exited:
            raise send_error.unknown_outcome(
                server_stats.Outcome.BROKEN,
                "server exited at the end of a response without length",
                disconnected=True,
            )

    def relay_stream(self, head: messages.AnswerHead) -> None:
        """Relays events as they arrive.

        Raises:
            send_error.SendError: The response is incomplete.
        """
        splitter = event_stream.Splitter()
        kept = kept_response.KeptResponse(
            what="event",
            max_bytes=self._inst.cfg.read_limits.event_bytes,
            field="read_limits.event_bytes",
            share=self._share,
        )
        # Bytes that complete no event do not extend the wait for one.
        until_s = self._until_s(not self._progress.events)
        while (data := self._read_data(until_s)) is not None:
            complete = splitter.feed(data)
            with send_error.transport_failures():
                if complete:
                    kept.restart(splitter.pending_bytes)
                else:
                    kept.add(len(data))
            events = self._new_events(complete)
            if complete:
                until_s = self._until_s(not self._progress.events)
            if events:
                self._binding.bind()
                self._send_head(head)
                self._caller.write(b"".join(event.data for event in events))
        if splitter.pending_bytes:
            raise send_error.unknown_outcome(
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

    def _until_s(self, first: bool) -> float:
        """Returns until when to wait for data, within the request's deadline.

        Args:
            first: Whether nothing of the response has arrived yet.
        """
        timeout_s = self._response_timeout_s(first)
        return min(self._inst.now() + timeout_s, self._job.deadline_s)

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
        self._demand.record_begun()
        kind = self._job.route.kind.value
        self._inst.metrics.first_byte.labels(kind).observe(elapsed_s)

    def read_complete_body(self, head: messages.AnswerHead) -> bytes:
        """Reads a whole body that may be relayed.

        Args:
            head: The head of the response.

        Raises:
            send_error.SendError: It is incomplete or too long.
        """
        body = self.read_body(head)
        self._check_end()
        return body

    def read_body(self, head: messages.AnswerHead) -> bytes:
        """Reads a body, also one that a crash of its server may cut short.

        Args:
            head: The head of the response.

        Raises:
            send_error.SendError: It is incomplete or too long.
        """
        kept = kept_response.KeptResponse(
            what="response body",
            max_bytes=self._inst.cfg.read_limits.response_body_bytes,
            field="read_limits.response_body_bytes",
            share=self._share,
        )
        with send_error.transport_failures():
            kept.check_size(head.body_bytes or 0)
        parts = []
        until_s = self._until_s(True)
        while (part := self._read_data(until_s)) is not None:
            with send_error.transport_failures():
                kept.add(len(part))
            parts.append(part)
        return b"".join(parts)

    def _read_data(self, until_s: float) -> bytes | None:
        with send_error.transport_failures():
            try:
                return self._monitored.read_data(until_s)
            finally:
                # The connection has been shut down then, which looks like the
                # end of the response.
                self._share.check()
