"""Authenticates and routes callers' requests, then hands them on."""

from __future__ import annotations

import dataclasses
import hashlib
import json

import result

from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import request_demand
from irisshelf.gateway.requests import request_end
from irisshelf.gateway.requests import request_handler
from irisshelf.gateway.requests import slow_callers
from irisshelf.gateway.requests import stop_admission
from irisshelf.routing.direct import outage
from irisshelf.transport import errors
from irisshelf.transport import server as caller_side

_UNKNOWN_ROUTE = 404
_UNKNOWN_KEY = 401
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_STOPPING = "stopping"
_RETRY_WHILE_STARTING_S = 0.3
# Share of a caller's time for which its request waits for the start-up.
_MAX_START_WAIT_SHARE = 0.5


class Frontend:
    """Handles requests of callers.

    Args:
        inst: The instance.

    Attributes:
        slow_callers: Its callers that read slowly.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self.slow_callers = slow_callers.SlowCallers(inst=inst)
        self._stop_admission = stop_admission.StopAdmission(now=inst.now)

    def limits(self) -> caller_side.Limits:
        """Returns the limits on requests under the configuration in force."""
        catalog = self._inst.catalog
        limits = catalog.limits if catalog else model.CallerLimits()
        return caller_side.Limits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_s=limits.head_s,
            idle_s=limits.idle_s,
        )

    def refuse(
        self, status: int, text: str
    ) -> tuple[list[tuple[bytes, bytes]], bytes]:
        """Builds the response to a request that could not be parsed."""
        self._inst.log.request("unreadable", "", status=status, detail=text)
        self._inst.metrics.requests.labels("unknown", "unreadable").inc()
        return self._inst.dialect.local_answer_headers("", None), _error_body(
            text
        )

    def handle(
        self, request: caller_side.Request, conn: caller_side.Connection
    ) -> None:
        """Handles one request."""
        self._inst.log_suspend()
        inbound = messages.InboundRequest(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            has_body=request.has_body,
            arrived_s=request.arrived_s,
            kept=request.connection_reused,
        )
        if self._inst.stopping:
            conn.close_after_answer()
        parsed = self._inst.dialect.parse_request(inbound)
        if isinstance(parsed, result.Err):
            self._reject(conn, "", _BAD_REQUEST, parsed.err_value)
            return
        conn.label_response(parsed.ok_value.request_id)
        try:
            job = self._admit(inbound, parsed.ok_value, conn)
        except errors.ShutdownError:
            self._reject_unavailable(
                conn, parsed.ok_value, _STOPPING, admission.RETRY_SOON_S
            )
            return
        if job is not None:
            self._serve(job, conn)

    def _serve(self, job: messages.Job, conn: caller_side.Connection) -> None:
        handler = request_handler.RequestHandler(
            inst=self._inst, job=job, caller=conn
        )
        try:
            ended = self._run(handler, job)
        except BaseException as exc:
            self._record_end(
                request_end.summarize(job, handler), request_end.describe(exc)
            )
            raise
        # The request has ended at its server. It does not count as in flight
        # while its caller reads, since slow callers would otherwise use up the
        # limit on requests.
        summary = request_end.summarize(job, handler)
        conn.when_delivered(
            lambda exc: self._record_end(
                summary, ended if exc is None else request_end.describe(exc)
            )
        )

    def _run(
        self, handler: request_handler.RequestHandler, job: messages.Job
    ) -> str:
        inst = self._inst
        inst.in_flight += 1
        inst.metrics.in_flight.set(inst.in_flight)
        durations = self._stop_admission.durations
        ticket = durations.record_start(job.route.name)
        try:
            return handler.run()
        finally:
            durations.record_end(job.route.name, ticket)
            inst.in_flight -= 1
            inst.metrics.in_flight.set(inst.in_flight)

    def _record_end(self, summary: request_end.Summary, ended: str) -> None:
        lasted_s = self._inst.now() - summary.arrived_s
        self._inst.metrics.requests.labels(summary.kind, ended).inc()
        self._inst.metrics.duration.labels(summary.kind).observe(lasted_s)
        self._inst.log.request(
            "answered",
            summary.request_id,
            ended=ended,
            route=summary.route,
            team=summary.team,
            catalog=summary.version,
            lasted_s=round(lasted_s, 4),
            **summary.fields,
        )

    def _admit(
        self,
        inbound: messages.InboundRequest,
        head: messages.RequestHead,
        conn: caller_side.Connection,
    ) -> messages.Job | None:
        """Returns the job for a request; None if it has been rejected."""
        inst = self._inst
        if not self._await_configured(inbound, head):
            conn.close_after_answer()
            why = "no configuration yet"
            self._reject_unavailable(conn, head, why, _RETRY_WHILE_STARTING_S)
            return None
        if not inst.keys_valid():
            self._reject_without_store(conn, head, "cut off from the store")
            return None
        catalog = inst.catalog
        route = catalog.route(head.host, head.path)
        if route is None or not route.split:
            text = f"no route for {head.host!r} and {head.path!r}"
            self._reject_unknown(conn, head, _UNKNOWN_ROUTE, text)
            return None
        team = catalog.team(head.key)
        needs_key = catalog.needs_key(
            route, head.key, keys_required=inst.cfg.keys_required
        )
        if needs_key and team is None:
            text = "key is not known"
            self._reject_unknown(conn, head, _UNKNOWN_KEY, text)
            return None
        job = self._job(inbound, head, catalog.version, route, team)
        why = self._why_busy(job)
        if why:
            if not inst.stopping:
                refused = request_demand.RequestDemand(inst=inst, job=job)
                refused.record_arrival()
                refused.record_failed()
            self._reject_unavailable(conn, head, why, admission.RETRY_SOON_S)
            return None
        return self._limited_by_stop(job)

    def _await_configured(
        self, inbound: messages.InboundRequest, head: messages.RequestHead
    ) -> bool:
        """Waits until the instance has started up, but not for long.

        Callers' deadlines are not waited for: a request that is rejected after
        more than a part of its time has no time left to be served elsewhere.

        Returns:
            Whether requests can be served.
        """
        inst = self._inst
        if inst.configured:
            return True
        if inst.in_flight >= inst.cfg.max_requests:
            return False
        limit_s = inst.cfg.overload.start_wait_s
        if head.deadline_s is not None:
            limit_s = min(limit_s, head.deadline_s * _MAX_START_WAIT_SHARE)
        elapsed_s = inst.now() - inbound.arrived_s
        inst.in_flight += 1
        try:
            return inst.await_configured(limit_s - elapsed_s)
        finally:
            inst.in_flight -= 1

    def _job(
        self,
        inbound: messages.InboundRequest,
        head: messages.RequestHead,
        version: int,
        route: model.Route,
        team: model.Team | None,
    ) -> messages.Job:
        timeout_s = route.timeout_s
        if head.deadline_s is not None:
            timeout_s = min(timeout_s, head.deadline_s)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return messages.Job(
            inbound=inbound,
            head=head,
            route=route,
            service=self._service(route, head),
            team=team.name if team else "",
            priority=priority,
            version=version,
            deadline_s=inbound.arrived_s + timeout_s,
            regions=model.common_regions(
                route.regions, team.regions if team else frozenset()
            ),
        )

    def _why_busy(self, job: messages.Job) -> str:
        """Returns why a request is not started now; empty if it may be."""
        schedule = self._inst.shutdown
        if schedule is not None and self._stop_admission.is_too_late(
            job, schedule
        ):
            return _STOPPING
        in_flight = self._inst.in_flight
        if in_flight >= self._inst.cfg.max_requests:
            return f"{in_flight} requests in flight"
        return ""

    def _limited_by_stop(self, job: messages.Job) -> messages.Job:
        """Returns a request that ends no later than this instance stops.

        The server is told that deadline, so that it responds before the request
        is ended here. The parts of a stream that arrive until then are of use
        to the caller, so that streams keep theirs.
        """
        schedule = self._inst.shutdown
        if schedule is None or job.route.kind is model.RouteKind.STREAMING:
            return job
        deadline_s = min(job.deadline_s, schedule.ends_s)
        return dataclasses.replace(job, deadline_s=deadline_s)

    def _service(self, route: model.Route, head: messages.RequestHead) -> str:
        """Picks one of a route's services by weight.

        Requests with the same shared prompt parts go to the same service.
        """
        if len(route.split) == 1:
            return route.split[0].service
        affinity_key = head.prompt.affinity_key
        fraction = self._inst.rng.random()
        if affinity_key:
            text = f"{route.name}/{affinity_key}".encode()
            digest = hashlib.blake2b(text, digest_size=8).digest()
            fraction = int.from_bytes(digest) / 2**64
        offset = fraction * sum(split.weight for split in route.split)
        for split in route.split:
            offset -= split.weight
            if offset < 0:
                return split.service
        return route.split[-1].service

    def _reject_unknown(
        self,
        conn: caller_side.Connection,
        head: messages.RequestHead,
        status: int,
        why: str,
    ) -> None:
        """Rejects a route or key that the configuration does not contain.

        The rejection is permanent (401 or 404, which callers do not retry) only
        if the configuration is known to be up to date: an instance that was
        cut off for seconds lacks keys and routes that were accepted meanwhile.
        """
        if self._inst.catalog_may_be_stale():
            self._reject_without_store(conn, head, f"may be out of date: {why}")
            return
        self._reject(conn, head.request_id, status, why)

    def _reject_without_store(
        self, conn: caller_side.Connection, head: messages.RequestHead, why: str
    ) -> None:
        """Rejects a caller that an instance with store access may serve."""
        conn.close_after_answer()
        self._reject_unavailable(conn, head, why, self._retry_without_store_s())

    def _reject_unavailable(
        self,
        conn: caller_side.Connection,
        head: messages.RequestHead,
        why: str,
        retry_after_s: float,
    ) -> None:
        """Rejects a request that has not run, and asks the caller to retry."""
        self._send_rejection(
            conn, head.request_id, _UNAVAILABLE, why, retry_after_s
        )

    def _retry_without_store_s(self) -> float:
        """Returns the Retry-After for a request that needs the store.

        It is short, as another instance may serve the request at once, unless
        other instances have lost the store as well: callers retry once, and
        that retry would fail too.
        """
        since_s = self._inst.outage_since_s
        if since_s is None:
            return admission.RETRY_SOON_S
        lasted_s = self._inst.now() - since_s
        return outage.retry_after_s(lasted_s, self._inst.rng)

    def _reject(
        self,
        conn: caller_side.Connection,
        request_id: str,
        status: int,
        why: str,
    ) -> None:
        self._send_rejection(conn, request_id, status, why, None)

    def _send_rejection(
        self,
        conn: caller_side.Connection,
        request_id: str,
        status: int,
        why: str,
        retry_after_s: float | None,
    ) -> None:
        catalog = self._inst.catalog
        age_s = self._inst.freshness.age_s(self._inst.now())
        self._inst.metrics.requests.labels("unknown", f"refused_{status}").inc()
        self._inst.log.request(
            "refused",
            request_id,
            status=status,
            why=why,
            retry_after_s=retry_after_s,
            catalog=catalog.version if catalog else None,
            catalog_age_s=round(age_s, 3) if age_s < 1e9 else None,
            stopping=self._inst.stopping,
        )
        headers = self._inst.dialect.local_answer_headers(
            request_id, retry_after_s
        )
        conn.answer(status, headers, _error_body(why))


def _error_body(why: str) -> bytes:
    return json.dumps({"error": why}).encode()
