"""Admits callers' requests: route, key, time; then a call."""

from __future__ import annotations

import hashlib
import json

import result

from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import request_handler
from irisshelf.routing.direct import outage
from irisshelf.transport import errors
from irisshelf.transport import server as caller_side

# After a signal to stop, streams are served if they may still end in time:
# callers come on new connections for about two seconds more.
_STREAMS_WHILE_STOPPING_S = 2.5
# What is left of the time to stop when nothing new is begun any more.
_LAST_CALLS_S = 2.0
_UNKNOWN_ROUTE = 404
_UNKNOWN_KEY = 401
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_STARTING_RETRY_S = 0.3


class Frontend:
    """Answers requests of callers.

    Args:
        inst: The instance.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst

    def limits(self) -> caller_side.Limits:
        """Returns what callers may send, by the configuration in force."""
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
        """Builds the answer to a request that could not be read."""
        self._inst.log.request("unreadable", "", status=status, detail=text)
        self._inst.metrics.requests.labels("unknown", "unreadable").inc()
        return self._inst.dialect.local_answer_headers("", None), _body(text)

    def handle(
        self, request: caller_side.Request, conn: caller_side.Connection
    ) -> None:
        """Answers one request."""
        self._inst.log_suspend()
        inbound = messages.InboundRequest(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            has_body=request.has_body,
            arrived_s=request.arrived_s,
            kept=request.kept,
        )
        if self._inst.stopping:
            conn.close_after_answer()
        asked = self._inst.dialect.parse_request(inbound)
        if isinstance(asked, result.Err):
            self._refuse(conn, "", _BAD_REQUEST, asked.err_value)
            return
        job = self._admit(inbound, asked.ok_value, conn)
        if job is not None:
            self._serve(job, conn)

    def _serve(self, job: messages.Job, conn: caller_side.Connection) -> None:
        call = request_handler.RequestHandler(
            inst=self._inst, job=job, conn=conn
        )
        self._inst.in_flight += 1
        self._inst.metrics.in_flight.set(self._inst.in_flight)
        ended = "failed_inside"
        try:
            ended = call.run()
        except errors.CallerGoneError:
            ended = "caller_left"
            raise
        except OSError:
            ended = "caller_lost"
            raise
        finally:
            self._inst.in_flight -= 1
            self._inst.metrics.in_flight.set(self._inst.in_flight)
            self._count(job, ended, call)

    def _count(
        self,
        job: messages.Job,
        ended: str,
        call: request_handler.RequestHandler,
    ) -> None:
        kind = job.route.kind.value
        lasted_s = self._inst.now() - job.inbound.arrived_s
        self._inst.metrics.requests.labels(kind, ended).inc()
        self._inst.metrics.duration.labels(kind).observe(lasted_s)
        self._inst.log.request(
            "answered",
            job.head.request_id,
            ended=ended,
            route=job.route.name,
            team=job.team,
            catalog=job.version,
            lasted_s=round(lasted_s, 4),
            **call.summary(),
        )

    def _admit(
        self,
        inbound: messages.InboundRequest,
        ask: messages.RequestHead,
        conn: caller_side.Connection,
    ) -> messages.Job | None:
        """Checks what a request needs; answers those that may not go on."""
        inst = self._inst
        if not inst.configured:
            conn.close_after_answer()
            why = "no configuration yet"
            self._turn_away(conn, ask, why, _STARTING_RETRY_S)
            return None
        if not inst.keys_valid():
            self._send_elsewhere(conn, ask, "cut off from the store")
            return None
        catalog = inst.catalog
        route = catalog.route(ask.host, ask.path)
        if route is None or not route.split:
            text = f"no route for {ask.host!r} and {ask.path!r}"
            self._refuse_unknown(conn, ask, _UNKNOWN_ROUTE, text)
            return None
        team = catalog.team(ask.key)
        needs_key = bool(catalog.teams) and not route.public
        if needs_key and team is None:
            text = "key is not known"
            self._refuse_unknown(conn, ask, _UNKNOWN_KEY, text)
            return None
        busy = self._too_busy(route, inbound.arrived_s)
        if busy:
            self._turn_away(conn, ask, busy, admission.RETRY_SOON_S)
            return None
        return self._job(inbound, ask, catalog.version, route, team)

    def _job(
        self,
        inbound: messages.InboundRequest,
        ask: messages.RequestHead,
        version: int,
        route: model.Route,
        team: model.Team | None,
    ) -> messages.Job:
        time_s = route.timeout_s
        if ask.deadline_s is not None:
            time_s = min(time_s, ask.deadline_s)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return messages.Job(
            inbound=inbound,
            head=ask,
            route=route,
            service=self._service(route, ask),
            team=team.name if team else "",
            priority=priority,
            version=version,
            deadline_s=inbound.arrived_s + time_s,
            regions=model.common_regions(
                route.regions, team.regions if team else frozenset()
            ),
        )

    def _too_busy(self, route: model.Route, arrived_s: float) -> str:
        """Returns why nothing new is begun; empty if it is."""
        if self._too_late_to_begin(route, arrived_s):
            return "stopping"
        in_flight = self._inst.in_flight
        if in_flight >= self._inst.cfg.max_requests:
            return f"{in_flight} requests in flight"
        return ""

    def _too_late_to_begin(self, route: model.Route, arrived_s: float) -> bool:
        since_s = self._inst.stopping_since_s
        if since_s is None:
            return False
        passed_s = arrived_s - since_s
        if route.kind is model.RouteKind.STREAMING:
            return passed_s > _STREAMS_WHILE_STOPPING_S
        return passed_s > self._inst.cfg.bounds.stop_s - _LAST_CALLS_S

    def _service(self, route: model.Route, ask: messages.RequestHead) -> str:
        """Picks one of a route's services by weight.

        Requests with the same shared parts go to the same one.
        """
        if len(route.split) == 1:
            return route.split[0].service
        subject = ask.prompt.affinity_key
        share = self._inst.rng.random()
        if subject:
            text = f"{route.name}/{subject}".encode()
            digest = hashlib.blake2b(text, digest_size=8).digest()
            share = int.from_bytes(digest) / 2**64
        left = share * sum(split.weight for split in route.split)
        for split in route.split:
            left -= split.weight
            if left < 0:
                return split.service
        return route.split[-1].service

    def _refuse_unknown(
        self,
        conn: caller_side.Connection,
        ask: messages.RequestHead,
        status: int,
        why: str,
    ) -> None:
        """Refuses a route or key that the configuration does not have.

        For good only if it surely has to have it: a caller does not come back
        after 401 or 404, and an instance that was away for seconds lacks keys
        and routes that have been accepted meanwhile.
        """
        if self._inst.catalog_may_be_stale():
            self._send_elsewhere(conn, ask, f"may be out of date: {why}")
            return
        self._refuse(conn, ask.request_id, status, why)

    def _send_elsewhere(
        self, conn: caller_side.Connection, ask: messages.RequestHead, why: str
    ) -> None:
        """Turns a caller away whom an instance that has the store may serve."""
        conn.close_after_answer()
        self._turn_away(conn, ask, why, self._retry_without_store_s())

    def _turn_away(
        self,
        conn: caller_side.Connection,
        ask: messages.RequestHead,
        why: str,
        retry_after_s: float,
    ) -> None:
        """Tells a caller to come back, as nothing has run."""
        self._answer(conn, ask.request_id, _UNAVAILABLE, why, retry_after_s)

    def _retry_without_store_s(self) -> float:
        """Returns when to try again for a caller who needs the store.

        Soon, as another instance may serve it at once, unless the store is
        away for others too: callers try again once, and would do so in vain.
        """
        since_s = self._inst.outage_since_s
        if since_s is None:
            return admission.RETRY_SOON_S
        lasted_s = self._inst.now() - since_s
        return outage.retry_after_s(lasted_s, self._inst.rng)

    def _refuse(
        self,
        conn: caller_side.Connection,
        request_id: str,
        status: int,
        why: str,
    ) -> None:
        self._answer(conn, request_id, status, why, None)

    def _answer(
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
        conn.answer(status, headers, _body(why))


def _body(why: str) -> bytes:
    return json.dumps({"error": why}).encode()
