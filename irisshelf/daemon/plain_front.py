"""Serves callers of plain services: ``/services/NAME/...``."""

from __future__ import annotations

from collections.abc import Iterable

import result

from irisshelf.backends import messages
from irisshelf.backends import service as service_client
from irisshelf.bundle import schema
from irisshelf.coordination import claim
from irisshelf.daemon import gate
from irisshelf.daemon import http
from irisshelf.daemon import node
from irisshelf.daemon import once
from irisshelf.daemon import plain_call
from irisshelf.observe import timeline
from irisshelf.routing import outcome
from irisshelf.routing.owned import service

PREFIX = "/services/"
_DEFAULT_TYPE = "application/octet-stream"


class PlainFront:
    """Serves calls to plain services.

    Args:
        nd: This instance.
        entry: Admission and refusal.
    """

    def __init__(self, *, nd: node.Node, entry: gate.Gate):
        self._nd = nd
        self._gate = entry

    def serve(
        self,
        environ: dict,
        start_response: http.StartResponse,
        team: node.Team,
    ) -> Iterable[bytes]:
        """Serves one request."""
        rest = environ["PATH_INFO"].removeprefix(PREFIX)
        name, _, tail = rest.partition("/")
        router = self._router(name)
        if isinstance(router, http.Problem):
            return http.answer_problem(start_response, router)
        key = gate.idempotency_key(environ)
        if isinstance(key, http.Problem):
            return http.answer_problem(start_response, key)
        body = http.read_body(environ, router.cfg.max_body_bytes)
        if isinstance(body, http.Problem):
            return http.answer_problem(start_response, body)
        req = self._request(environ, router, f"/{tail}", key, body)
        self._nd.timeline.add(
            timeline.Kind.REQUEST, request=req.request_id, detail=team.name
        )
        if not key:
            ticket = once.ClaimReport(nd=self._nd, granted=None)
            return self._run(req, team, start_response, ticket)
        return once.run(
            self._nd,
            row=claim.row_key(team=team.name, service=name, key=key),
            without_platform=router.cfg.without_platform,
            start_response=start_response,
            call=lambda ticket: self._run(req, team, start_response, ticket),
        )

    def _router(self, name: str) -> service.ServiceRouter | http.Problem:
        plain = {
            known: router
            for known, router in self._nd.services.items()
            if router.cfg.kind is schema.ServiceKind.PLAIN
        }
        if name in plain:
            return plain[name]
        return http.Problem(
            status=404,
            message=f"service is {name!r}, allowed: {sorted(plain)}",
            code="unknown_service",
        )

    def _request(
        self,
        environ: dict,
        router: service.ServiceRouter,
        path: str,
        key: str,
        body: bytes,
    ) -> plain_call.Request:
        method = environ["REQUEST_METHOD"]
        once_only = any(
            rule.method == method and path.startswith(rule.path)
            for rule in router.cfg.not_repeatable
        )
        query = environ.get("QUERY_STRING")
        return plain_call.Request(
            request_id=self._nd.new_id(),
            router=router,
            method=method,
            path=f"{path}?{query}" if query else path,
            headers=_forwarded_headers(environ),
            body=body,
            repeatable=not key and not once_only,
            deadline_s=self._nd.now() + router.cfg.timeouts.total_s,
        )

    def _run(
        self,
        req: plain_call.Request,
        team: node.Team,
        start_response: http.StartResponse,
        ticket: once.ClaimReport,
    ) -> list[bytes]:
        done = self._admitted(req, team)
        if isinstance(done, result.Err):
            if done.err_value.outcome is outcome.Outcome.NOT_RUN:
                ticket.did_not_run()
            return self._gate.refuse(
                req.router, req.request_id, done.err_value, start_response
            )
        answer = done.ok_value
        content_type, others = _split_type(answer.headers)
        ticket.ran(answer.status, content_type, answer.body)
        self._gate.count(req.router, "whole")
        return http.answer_bytes(
            start_response,
            answer.status,
            answer.body,
            content_type,
            [*others, ("X-Request-Id", req.request_id)],
        )

    def _admitted(
        self, req: plain_call.Request, team: node.Team
    ) -> result.Result[messages.ServiceResponse, outcome.Refusal]:
        entered = self._gate.enter(req.router, team, req.request_id)
        if entered is not None:
            return result.Err(entered)
        with self._gate.slot(req.router, team):
            return plain_call.PlainCall(nd=self._nd, req=req).run()


def _split_type(
    headers: tuple[tuple[str, str], ...],
) -> tuple[str, list[tuple[str, str]]]:
    """Takes the content type out of an answer's headers."""
    types = [v for n, v in headers if n.lower() == "content-type"]
    others = [(n, v) for n, v in headers if n.lower() != "content-type"]
    return (types[0] if types else _DEFAULT_TYPE), others


def _forwarded_headers(environ: dict) -> dict[str, str]:
    """Returns the caller's headers that a plain service gets."""
    headers = {}
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").title()
        lower = header.lower()
        if (
            lower in service_client.HOP_BY_HOP_HEADERS
            or lower == "authorization"
        ):
            continue
        headers[header] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
