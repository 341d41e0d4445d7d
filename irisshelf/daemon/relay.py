"""Takes model calls that other instances forward: the owner's side."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from collections.abc import Iterator

import result

from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import relay as relay_client
from irisshelf.daemon import http
from irisshelf.daemon import model_call
from irisshelf.daemon import model_messages
from irisshelf.daemon import node
from irisshelf.daemon import parts
from irisshelf.peers import relay_messages
from irisshelf.routing import outcome
from irisshelf.routing.owned import placement
from irisshelf.routing.owned import service

OBJECTS_PREFIX = "/objects/"
MAX_BODY_BYTES = 70_000_000


class Relay:
    """A WSGI application for other instances.

    Args:
        nd: This instance.
    """

    def __init__(self, *, nd: node.Node):
        self._nd = nd
        self._expected = f"Bearer {nd.peer_secret}"
        self.caller_timeout_s = nd.cfg.limits.caller_timeout_s

    def __call__(
        self, environ: dict, start_response: http.StartResponse
    ) -> Iterable[bytes]:
        """Serves one request of another instance."""
        given = environ.get("HTTP_AUTHORIZATION", "")
        if not hmac.compare_digest(given.encode(), self._expected.encode()):
            self._nd.metrics.peer_refusals.labels("relay").inc()
            problem = http.Problem(
                status=401, message="unknown peer", code="unknown_peer"
            )
            return http.answer_problem(start_response, problem)
        self._nd.timeline.receive_stamp(environ.get("HTTP_X_STAMP", ""))
        path = environ["PATH_INFO"]
        if path == relay_client.PATH:
            return self._take(environ, start_response)
        if path.startswith(OBJECTS_PREFIX):
            return self._object(path, start_response)
        problem = http.Problem(
            status=404, message=f"path is {path!r}", code="unknown_path"
        )
        return http.answer_problem(start_response, problem)

    def _object(
        self, path: str, start_response: http.StartResponse
    ) -> list[bytes]:
        """Hands out what this instance holds of the bundle in force."""
        found = self._nd.follower.held(path.removeprefix(OBJECTS_PREFIX))
        if found is None:
            return http.answer(start_response, 404, {"error": "not held"})
        return http.answer_bytes(
            start_response, 200, found, "application/octet-stream"
        )

    def _take(
        self, environ: dict, start_response: http.StartResponse
    ) -> Iterable[bytes]:
        raw = http.read_body(environ, MAX_BODY_BYTES)
        if isinstance(raw, http.Problem):
            return http.answer_problem(start_response, raw)
        decoded = relay_messages.decode(raw)
        if isinstance(decoded, result.Err):
            self._nd.metrics.peer_refusals.labels("relay_body").inc()
            problem = http.Problem(
                status=400, message=decoded.err_value, code="relay_body"
            )
            return http.answer_problem(start_response, problem)
        handed = decoded.ok_value
        if handed.service not in self._nd.services:
            return http.answer_refusal(start_response, _unknown(handed))
        req = self._request(handed)
        if handed.hops < relay_messages.LAST_OWNER:
            elsewhere = self._elsewhere(req)
            if elsewhere is not None:
                return _redirect(start_response, elsewhere)
        return self._serve(req, start_response)

    def _elsewhere(self, req: model_messages.Request) -> str | None:
        """Returns the engine whose owner should be asked instead, if any."""
        decided = req.router.route(req.context, avoid=req.avoid, hops_left=1)
        if not isinstance(decided, service.Forward):
            return None
        req.router.record_remote_placement(
            req.context,
            decided.target.name,
            placement.Reason.OTHER_HOME.value,
        )
        return decided.target.name

    def _request(
        self, handed: relay_messages.Request
    ) -> model_messages.Request:
        return model_messages.Request(
            request_id=handed.request_id,
            priority=handed.priority,
            router=self._nd.services[handed.service],
            context=handed.context,
            limit=handed.limit,
            body=handed.body,
            repeatable=handed.repeatable,
            deadline_s=self._nd.now() + handed.left_s,
            hops=handed.hops,
            avoid=frozenset(handed.avoid),
        )

    def _serve(
        self, req: model_messages.Request, start_response: http.StartResponse
    ) -> Iterable[bytes]:
        call = self._nd.begin(model_call.ModelCall(nd=self._nd, req=req))
        try:
            first = call.open()
        except BaseException:
            self._nd.end(call)
            raise
        if isinstance(first, result.Err):
            self._nd.end(call)
            return http.answer_refusal(start_response, first.err_value)
        start_response("200 OK", _headers(call))
        return parts.Closing(
            _events(call, first.ok_value), lambda: self._nd.end(call)
        )


def _events(call: model_call.ModelCall, first: bytes) -> Iterator[bytes]:
    """Passes events on; if they break off, so does the connection.

    The entry instance then resumes at the engine, or tells its caller.
    """
    yield first
    try:
        yield from call.rest()
    except errors.StreamError as exc:
        raise ConnectionAbortedError(str(exc)) from exc


def _headers(call: model_call.ModelCall) -> list[tuple[str, str]]:
    attempt = call.attempt
    reason = attempt.stream.head.reason
    if attempt.send is not None:
        reason = attempt.send.placement.reason.value
    return [
        ("Content-Type", "text/event-stream"),
        (messages.Header.ATTEMPT_ID.value, attempt.attempt_id),
        (messages.Header.GENERATION.value, attempt.stream.generation),
        (messages.Header.TARGET.value, attempt.target.name),
        (messages.Header.REASON.value, reason),
    ]


def _redirect(start_response: http.StartResponse, target: str) -> list[bytes]:
    """Tells the entry instance to ask the owner of another engine.

    It could be forwarded from here, but each instance in between is one more
    whose end cuts the stream, and one more that relays every token.
    """
    headers = [
        ("X-Outcome", outcome.Outcome.NOT_RUN.value),
        (messages.Header.TARGET.value, target),
    ]
    return http.answer(start_response, 421, {"target": target}, headers)


def _unknown(handed: relay_messages.Request) -> outcome.Refusal:
    return outcome.Refusal(
        outcome=outcome.Outcome.NOT_RUN,
        cause=outcome.Cause.NO_ENGINE,
        detail=f"this instance's bundle has no service {handed.service!r}",
    )
