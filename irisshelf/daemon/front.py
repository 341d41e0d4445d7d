"""The HTTP front towards callers, a WSGI application."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import result

from irisshelf.backends import errors
from irisshelf.backends import service as service_client
from irisshelf.bundle import schema
from irisshelf.coordination import claim
from irisshelf.daemon import admit
from irisshelf.daemon import chat_body
from irisshelf.daemon import http
from irisshelf.daemon import model_call
from irisshelf.daemon import node
from irisshelf.daemon import once
from irisshelf.daemon import parts
from irisshelf.daemon import plain_call
from irisshelf.observe import log
from irisshelf.observe import timeline
from irisshelf.routing import admission
from irisshelf.routing import context
from irisshelf.routing import outcome
from irisshelf.routing import retry
from irisshelf.routing import service

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"
MAX_KEY_CHARS = 255
_SSE_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
]


class Front:
    """Serves callers.

    Args:
        nd: This instance.
        admitter: Where requests wait for admission.
    """

    def __init__(self, *, nd: node.Node, admitter: admit.Admitter):
        self._nd = nd
        self._admitter = admitter
        self._log = log.get("front")
        self.caller_timeout_s = nd.cfg.limits.caller_timeout_s

    def __call__(
        self, environ: dict, start_response: http.StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        if not self._nd.ready:
            start_response = _closing_connection(start_response)
        self._nd.open_requests += 1
        counted = _Counted(self._nd)
        try:
            answer = self._serve(environ, start_response)
        except Exception as exc:
            self._log.exception("internal error")
            answer = http.answer_refusal(start_response, _internal(exc))
        except BaseException:
            counted.close()
            raise
        return counted.wrap(answer)

    def _serve(
        self, environ: dict, start_response: http.StartResponse
    ) -> Iterable[bytes]:
        if not self._nd.accepts:
            return http.answer_refusal(start_response, self._not_serving())
        team = self._team(environ)
        if team is None:
            problem = http.Problem(
                status=401, message="no valid bearer key", code="invalid_key"
            )
            return http.answer_problem(start_response, problem)
        path = environ["PATH_INFO"]
        if path == CHAT_PATH:
            return self._chat(environ, start_response, team)
        if path.startswith(SERVICES_PREFIX):
            return self._plain(environ, start_response, team)
        return http.answer_problem(
            start_response,
            http.Problem(
                status=404,
                message=(
                    f"path is {path!r}, allowed: {CHAT_PATH!r} and"
                    f" '{SERVICES_PREFIX}NAME/...'"
                ),
                code="unknown_path",
            ),
        )

    def _not_serving(self) -> outcome.Refusal:
        starting = self._nd.bundle is None
        return outcome.Refusal(
            outcome=outcome.Outcome.NOT_RUN,
            cause=(
                outcome.Cause.NO_BUNDLE if starting else outcome.Cause.DRAINING
            ),
            retry_after_s=retry.RETRY_AFTER_S,
        )

    def _team(self, environ: dict) -> node.Team | None:
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        hashed = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        return self._nd.team(hashed)

    def _chat(
        self,
        environ: dict,
        start_response: http.StartResponse,
        team: node.Team,
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] != "POST":
            problem = http.Problem(
                status=405,
                message=f"method is {environ['REQUEST_METHOD']}, allowed: POST",
                code="method",
            )
            return http.answer_problem(start_response, problem)
        key = _idempotency_key(environ)
        if isinstance(key, http.Problem):
            return http.answer_problem(start_response, key)
        raw = http.read_body(environ, self._largest_body())
        if isinstance(raw, http.Problem):
            return http.answer_problem(start_response, raw)
        parsed = chat_body.parse(raw, services=self._nd.services)
        if isinstance(parsed, result.Err):
            return http.answer_problem(start_response, parsed.err_value)
        body = parsed.ok_value
        router = self._nd.services[body["model"]]
        request_id = self._nd.new_id()
        ctx = context.from_chat(
            team=team.name,
            model=body["model"],
            body=body,
            expected_decode=router.expected_decode(context.decode_limit(body)),
        )
        router.placer.arrived(ctx, self._nd.now())
        self._nd.timeline.add(
            timeline.Kind.REQUEST,
            request=request_id,
            chat=f"{ctx.chat_key:016x}",
            detail=team.name,
        )
        req = model_call.Request(
            request_id=request_id,
            router=router,
            context=ctx,
            priority=team.cfg.priority.value,
            limit=context.decode_limit(body),
            body=json.dumps({**body, "stream": True}).encode(),
            repeatable=not key,
            deadline_s=self._nd.now() + router.cfg.timeouts.total_s,
        )
        if key:
            return self._chat_once(req, team, key, body, start_response)
        if body.get("stream"):
            return self._stream(req, team, start_response)
        return self._whole(
            req, team, start_response, once.Ticket(nd=self._nd, granted=None)
        )

    def _chat_once(
        self,
        req: model_call.Request,
        team: node.Team,
        key: str,
        body: dict[str, Any],
        start_response: http.StartResponse,
    ) -> Iterable[bytes]:
        if body.get("stream"):
            return http.answer_problem(
                start_response,
                http.Problem(
                    status=400,
                    message=(
                        "stream is true, allowed with Idempotency-Key: false"
                    ),
                    code="stream",
                    param="stream",
                ),
            )
        return once.run(
            self._nd,
            row=claim.row_key(team=team.name, service=req.router.name, key=key),
            without_platform=req.router.cfg.without_platform,
            start_response=start_response,
            call=lambda ticket: self._whole(req, team, start_response, ticket),
        )

    def _whole(
        self,
        req: model_call.Request,
        team: node.Team,
        start_response: http.StartResponse,
        ticket: once.Ticket,
    ) -> list[bytes]:
        entered = self._enter(req.router, team, req.request_id)
        if entered is not None:
            ticket.did_not_run()
            return self._refuse(
                req.router, req.request_id, entered, start_response
            )
        call = self._nd.begin(model_call.ModelCall(nd=self._nd, req=req))
        with self._admitter.slot(req.router, team.name, self._nd.now):
            try:
                done = call.whole()
            finally:
                self._nd.end(call)
        if isinstance(done, result.Err):
            if done.err_value.outcome is outcome.Outcome.NOT_RUN:
                ticket.did_not_run()
            return self._refuse(
                req.router, req.request_id, done.err_value, start_response
            )
        return self._completion(req, done.ok_value, start_response, ticket)

    def _completion(
        self,
        req: model_call.Request,
        events: list[bytes],
        start_response: http.StartResponse,
        ticket: once.Ticket,
    ) -> list[bytes]:
        built = model_call.assemble(
            events, request_id=req.request_id, model=req.router.name
        )
        if isinstance(built, result.Err):
            refusal = outcome.Refusal(
                outcome=outcome.Outcome.UNKNOWN,
                cause=outcome.Cause.GARBLED,
                detail=built.err_value,
            )
            return self._refuse(
                req.router, req.request_id, refusal, start_response
            )
        data = json.dumps(built.ok_value).encode()
        ticket.ran(200, "application/json", data)
        self._count(req.router, "whole")
        return http.answer_bytes(
            start_response,
            200,
            data,
            "application/json",
            [("X-Request-Id", req.request_id)],
        )

    def _stream(
        self,
        req: model_call.Request,
        team: node.Team,
        start_response: http.StartResponse,
    ) -> Iterable[bytes]:
        entered = self._enter(req.router, team, req.request_id)
        if entered is not None:
            return self._refuse(
                req.router, req.request_id, entered, start_response
            )
        slot = self._admitter.slot(req.router, team.name, self._nd.now)
        slot.__enter__()
        call = self._nd.begin(model_call.ModelCall(nd=self._nd, req=req))
        try:
            first = call.open()
        except BaseException:
            self._nd.end(call)
            slot.__exit__(None, None, None)
            raise
        if isinstance(first, result.Err):
            self._nd.end(call)
            slot.__exit__(None, None, None)
            return self._refuse(
                req.router, req.request_id, first.err_value, start_response
            )
        start_response(
            "200 OK", [*_SSE_HEADERS, ("X-Request-Id", req.request_id)]
        )
        return parts.Closing(
            self._relay(req, call, first.ok_value),
            lambda: (self._nd.end(call), slot.__exit__(None, None, None)),
        )

    def _relay(
        self,
        req: model_call.Request,
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
            self._count(req.router, "unknown")
            self._nd.timeline.add(
                timeline.Kind.REFUSED,
                request=req.request_id,
                detail=str(refusal.cause),
            )
            document = json.dumps(http.refusal_document(refusal))
            yield f"event: error\ndata: {document}\n\n".encode()
            return
        self._count(req.router, "whole")

    def _plain(
        self,
        environ: dict,
        start_response: http.StartResponse,
        team: node.Team,
    ) -> Iterable[bytes]:
        rest = environ["PATH_INFO"].removeprefix(SERVICES_PREFIX)
        name, _, tail = rest.partition("/")
        router = self._nd.services.get(name)
        if router is None or router.cfg.kind is not schema.ServiceKind.PLAIN:
            plain = [
                n
                for n, r in self._nd.services.items()
                if r.cfg.kind is schema.ServiceKind.PLAIN
            ]
            problem = http.Problem(
                status=404,
                message=f"service is {name!r}, allowed: {sorted(plain)}",
                code="unknown_service",
            )
            return http.answer_problem(start_response, problem)
        key = _idempotency_key(environ)
        if isinstance(key, http.Problem):
            return http.answer_problem(start_response, key)
        body = http.read_body(environ, router.cfg.max_body_bytes)
        if isinstance(body, http.Problem):
            return http.answer_problem(start_response, body)
        req = self._plain_request(environ, router, f"/{tail}", key, body)
        self._nd.timeline.add(
            timeline.Kind.REQUEST, request=req.request_id, detail=team.name
        )
        if not key:
            ticket = once.Ticket(nd=self._nd, granted=None)
            return self._plain_run(req, team, start_response, ticket)
        return once.run(
            self._nd,
            row=claim.row_key(team=team.name, service=name, key=key),
            without_platform=router.cfg.without_platform,
            start_response=start_response,
            call=lambda ticket: self._plain_run(
                req, team, start_response, ticket
            ),
        )

    def _plain_request(
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

    def _plain_run(
        self,
        req: plain_call.Request,
        team: node.Team,
        start_response: http.StartResponse,
        ticket: once.Ticket,
    ) -> list[bytes]:
        entered = self._enter(req.router, team, req.request_id)
        if entered is not None:
            ticket.did_not_run()
            return self._refuse(
                req.router, req.request_id, entered, start_response
            )
        with self._admitter.slot(req.router, team.name, self._nd.now):
            done = plain_call.PlainCall(nd=self._nd, req=req).run()
        if isinstance(done, result.Err):
            if done.err_value.outcome is outcome.Outcome.NOT_RUN:
                ticket.did_not_run()
            return self._refuse(
                req.router, req.request_id, done.err_value, start_response
            )
        answer = done.ok_value
        headers = dict(answer.headers)
        content_type = next(
            (v for n, v in headers.items() if n.lower() == "content-type"),
            "application/octet-stream",
        )
        ticket.ran(answer.status, content_type, answer.body)
        self._count(req.router, "whole")
        others = [
            (n, v) for n, v in answer.headers if n.lower() != "content-type"
        ]
        return http.answer_bytes(
            start_response,
            answer.status,
            answer.body,
            content_type,
            [*others, ("X-Request-Id", req.request_id)],
        )

    def _enter(
        self, router: service.ServiceRouter, team: node.Team, request_id: str
    ) -> outcome.Refusal | None:
        """Waits for admission; returns the refusal if it is not granted."""
        now = self._nd.now()
        router.budget.first_attempt()
        ticket = admission.Ticket(
            request_id=request_id,
            team=team.name,
            priority=team.cfg.priority,
            deadline_s=now + router.cfg.timeouts.queue_s,
        )
        step = self._admitter.enter(router, ticket, now)
        if isinstance(step, admission.Start):
            return None
        return outcome.Refusal(
            outcome=outcome.Outcome.NOT_RUN,
            cause=outcome.Cause.QUEUE_TIMEOUT,
            retry_after_s=step.retry_after_s,
            detail=f"team {team.name!r} is over its share",
        )

    def _refuse(
        self,
        router: service.ServiceRouter,
        request_id: str,
        refusal: outcome.Refusal,
        start_response: http.StartResponse,
    ) -> list[bytes]:
        self._count(router, refusal.outcome.value)
        self._nd.timeline.add(
            timeline.Kind.REFUSED,
            request=request_id,
            detail=f"{refusal.outcome} {refusal.cause}",
        )
        self._log.info(
            "request refused",
            extra={
                "request": request_id,
                "outcome": refusal.outcome.value,
                "cause": refusal.cause.value,
                "detail": refusal.detail,
            },
        )
        return http.answer_refusal(start_response, refusal)

    def _count(self, router: service.ServiceRouter, ended: str) -> None:
        self._nd.metrics.requests.labels(router.name, ended).inc()

    def _largest_body(self) -> int:
        return max(r.cfg.max_body_bytes for r in self._nd.services.values())


class _Counted:
    """Counts a request as open until its answer is done."""

    def __init__(self, nd: node.Node):
        self._nd = nd
        self._open = True

    def wrap(self, answer: Iterable[bytes]) -> Iterable[bytes]:
        if isinstance(answer, list):
            self.close()
            return answer
        return parts.Closing(answer, self.close)

    def close(self) -> None:
        if self._open:
            self._open = False
            self._nd.open_requests -= 1


def _internal(exc: Exception) -> outcome.Refusal:
    """A fault of ours: nobody can say whether the request ran."""
    return outcome.Refusal(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.INTERNAL,
        detail=type(exc).__name__,
    )


def _closing_connection(
    start_response: http.StartResponse,
) -> http.StartResponse:
    """Asks a caller to come back on another connection: to another instance."""

    def start(status, headers, *rest):
        return start_response(
            status, [*headers, ("Connection", "close")], *rest
        )

    return start


def _idempotency_key(environ: dict) -> str | http.Problem:
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()
    if len(key) > MAX_KEY_CHARS:
        return http.Problem(
            status=400,
            message=(
                f"Idempotency-Key has {len(key)} characters, allowed:"
                f" {MAX_KEY_CHARS}"
            ),
            code="idempotency_key",
            param="Idempotency-Key",
        )
    return key


def _forwarded_headers(environ: dict) -> dict[str, str]:
    """Returns the caller's headers that a plain service gets."""
    headers = {}
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").title()
        lower = header.lower()
        if lower in service_client.HOP_HEADERS or lower == "authorization":
            continue
        headers[header] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers
