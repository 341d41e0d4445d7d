"""Serves callers of model services: ``/v1/chat/completions``."""

from __future__ import annotations

import json
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import result

from irisshelf.backends import errors
from irisshelf.coordination import claim
from irisshelf.daemon import chat_body
from irisshelf.daemon import completion
from irisshelf.daemon import gate
from irisshelf.daemon import http
from irisshelf.daemon import model_call
from irisshelf.daemon import model_messages
from irisshelf.daemon import node
from irisshelf.daemon import once
from irisshelf.daemon import parts
from irisshelf.observe import timeline
from irisshelf.routing import outcome
from irisshelf.routing.owned import context

PATH = "/v1/chat/completions"
_SSE_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
]


class ChatFront:
    """Serves model calls.

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
        key = gate.idempotency_key(environ)
        if isinstance(key, http.Problem):
            return http.answer_problem(start_response, key)
        body = self._body(environ, keyed=bool(key))
        if isinstance(body, http.Problem):
            return http.answer_problem(start_response, body)
        req = self._request(body, team, repeatable=not key)
        if key:
            return self._once(req, team, key, start_response)
        if body.get("stream"):
            return self._stream(req, team, start_response)
        ticket = once.ClaimReport(nd=self._nd, granted=None)
        return self._whole(req, team, start_response, ticket)

    def _body(
        self, environ: dict, *, keyed: bool
    ) -> dict[str, Any] | http.Problem:
        method = environ["REQUEST_METHOD"]
        if method != "POST":
            return http.Problem(
                status=405,
                message=f"method is {method}, allowed: POST",
                code="method",
            )
        limits = {
            name: router.cfg.max_body_bytes
            for name, router in self._nd.services.items()
        }
        raw = http.read_body(environ, max(limits.values()))
        if isinstance(raw, http.Problem):
            return raw
        parsed = chat_body.parse(raw, services=self._nd.services)
        if isinstance(parsed, result.Err):
            return parsed.err_value
        body = parsed.ok_value
        if len(raw) > limits[body["model"]]:
            return http.too_large(str(len(raw)), limits[body["model"]])
        if keyed and body.get("stream"):
            return _NO_KEYED_STREAM
        return body

    def _request(
        self, body: dict[str, Any], team: node.Team, *, repeatable: bool
    ) -> model_messages.Request:
        router = self._nd.services[body["model"]]
        limit = context.decode_limit(body)
        ctx = context.from_chat(
            team=team.name,
            model=body["model"],
            body=body,
            expected_decode=router.expected_decode(limit),
        )
        now = self._nd.now()
        router.placer.record_arrival(ctx, now)
        req = model_messages.Request(
            request_id=self._nd.new_id(),
            router=router,
            context=ctx,
            priority=team.cfg.priority.value,
            limit=limit,
            body=json.dumps({**body, "stream": True}).encode(),
            repeatable=repeatable,
            deadline_s=now + router.cfg.timeouts.total_s,
        )
        self._nd.timeline.add(
            timeline.Kind.REQUEST,
            request=req.request_id,
            chat=f"{ctx.chat_key:016x}",
            detail=team.name,
        )
        return req

    def _once(
        self,
        req: model_messages.Request,
        team: node.Team,
        key: str,
        start_response: http.StartResponse,
    ) -> Iterable[bytes]:
        return once.run(
            self._nd,
            row=claim.row_key(team=team.name, service=req.router.name, key=key),
            without_platform=req.router.cfg.without_platform,
            start_response=start_response,
            call=lambda ticket: self._whole(req, team, start_response, ticket),
        )

    def _whole(
        self,
        req: model_messages.Request,
        team: node.Team,
        start_response: http.StartResponse,
        ticket: once.ClaimReport,
    ) -> list[bytes]:
        done = self._admitted(req, team)
        if isinstance(done, result.Err):
            if done.err_value.outcome is outcome.Outcome.NOT_RUN:
                ticket.did_not_run()
            return self._refuse(req, done.err_value, start_response)
        data = json.dumps(done.ok_value).encode()
        ticket.ran(200, "application/json", data)
        self._gate.count(req.router, "whole")
        return http.answer_bytes(
            start_response,
            200,
            data,
            "application/json",
            [("X-Request-Id", req.request_id)],
        )

    def _admitted(
        self, req: model_messages.Request, team: node.Team
    ) -> result.Result[dict[str, Any], outcome.Refusal]:
        """Waits for admission, makes the call, and builds its completion."""
        entered = self._gate.enter(req.router, team, req.request_id)
        if entered is not None:
            return result.Err(entered)
        call = self._nd.begin(model_call.ModelCall(nd=self._nd, req=req))
        with self._gate.slot(req.router, team):
            try:
                done = call.whole()
            finally:
                self._nd.end(call)
        return done.and_then(
            lambda events: completion.assemble(
                events, request_id=req.request_id, model=req.router.name
            ).map_err(_garbled)
        )

    def _stream(
        self,
        req: model_messages.Request,
        team: node.Team,
        start_response: http.StartResponse,
    ) -> Iterable[bytes]:
        entered = self._gate.enter(req.router, team, req.request_id)
        if entered is not None:
            return self._refuse(req, entered, start_response)
        slot = self._gate.slot(req.router, team)
        slot.__enter__()
        call = self._nd.begin(model_call.ModelCall(nd=self._nd, req=req))

        def end() -> None:
            self._nd.end(call)
            slot.__exit__(None, None, None)

        try:
            first = call.open()
        except BaseException:
            end()
            raise
        if isinstance(first, result.Err):
            end()
            return self._refuse(req, first.err_value, start_response)
        start_response(
            "200 OK", [*_SSE_HEADERS, ("X-Request-Id", req.request_id)]
        )
        return parts.Closing(self._relay(req, call, first.ok_value), end)

    def _relay(
        self,
        req: model_messages.Request,
        call: model_call.ModelCall,
        first: bytes,
    ) -> Iterator[bytes]:
        """Passes events on; a broken answer ends with an honest error."""
        yield first
        try:
            yield from call.rest()
        except errors.StreamError as exc:
            refusal = outcome.Refusal(
                outcome=outcome.Outcome.UNKNOWN,
                cause=exc.error.cause,
                detail=exc.error.detail,
            )
            self._gate.count(req.router, refusal.outcome.value)
            self._nd.timeline.add(
                timeline.Kind.REFUSED,
                request=req.request_id,
                detail=str(refusal.cause),
            )
            document = json.dumps(http.refusal_document(refusal))
            yield f"event: error\ndata: {document}\n\n".encode()
            return
        self._gate.count(req.router, "whole")

    def _refuse(
        self,
        req: model_messages.Request,
        refusal: outcome.Refusal,
        start_response: http.StartResponse,
    ) -> list[bytes]:
        return self._gate.refuse(
            req.router, req.request_id, refusal, start_response
        )


_NO_KEYED_STREAM = http.Problem(
    status=400,
    message="stream is true, allowed with Idempotency-Key: false",
    code="stream",
    param="stream",
)


def _garbled(detail: str) -> outcome.Refusal:
    return outcome.Refusal(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.GARBLED,
        detail=detail,
    )
