"""What the front needs of HTTP: answers, errors, limits on callers."""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from gevent import pywsgi
from gevent import socket

from irisshelf.routing import outcome

STATUS = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    411: "411 Length Required",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
_STATUS_OF_CAUSE = {
    outcome.Cause.QUEUE_FULL: 429,
    outcome.Cause.QUEUE_TIMEOUT: 429,
    outcome.Cause.DUPLICATE: 409,
    outcome.Cause.BROKEN: 502,
    outcome.Cause.GARBLED: 502,
    outcome.Cause.REFUSED: 502,
    outcome.Cause.TIMEOUT: 504,
    outcome.Cause.INTERNAL: 500,
}
_UNAVAILABLE = 503

StartResponse = Callable[..., Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """A request that is wrong in itself; it did not run.

    Attributes:
        status: The HTTP status.
        message: What is wrong: the field, the value, what is allowed.
        param: The field that is wrong.
        code: Short name of the problem.
    """

    status: int
    message: str
    code: str
    param: str | None = None


class Handler(pywsgi.WSGIHandler):
    """Serves one connection; a caller that is too slow loses it."""

    def __init__(self, sock, address, server):
        sock.settimeout(server.application.caller_timeout_s)
        # Small parts must not wait for the peer's delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def handle_one_response(self):
        """Carries one request out; a caller's time-out ends the connection."""
        try:
            super().handle_one_response()
        except TimeoutError:
            self.close_connection = True


def answer(
    start_response: StartResponse,
    status: int,
    document: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answers with JSON."""
    body = json.dumps(document).encode()
    return answer_bytes(
        start_response, status, body, "application/json", headers
    )


def answer_bytes(
    start_response: StartResponse,
    status: int,
    body: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answers with some bytes."""
    start_response(
        STATUS.get(status, f"{status} Status"),
        [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def answer_problem(
    start_response: StartResponse, problem: Problem
) -> list[bytes]:
    """Answers a request that is wrong in itself."""
    document = {
        "error": {
            "message": problem.message,
            "type": "invalid_request_error",
            "code": problem.code,
            "param": problem.param,
        },
        "outcome": outcome.Outcome.NOT_RUN.value,
    }
    headers = [("X-Outcome", outcome.Outcome.NOT_RUN.value)]
    return answer(start_response, problem.status, document, headers)


def answer_refusal(
    start_response: StartResponse, refusal: outcome.Refusal
) -> list[bytes]:
    """Answers a request that is not served."""
    headers = [("X-Outcome", refusal.outcome.value)]
    if refusal.retry_after_s is not None:
        after = str(max(1, math.ceil(refusal.retry_after_s)))
        headers.append(("Retry-After", after))
    return answer(
        start_response,
        _STATUS_OF_CAUSE.get(refusal.cause, _UNAVAILABLE),
        refusal_document(refusal),
        headers,
    )


def refusal_document(refusal: outcome.Refusal) -> dict[str, Any]:
    """Returns a refusal in the usual error body."""
    return {
        "error": {
            "message": f"{refusal.cause}: {refusal.detail}".rstrip(": "),
            "type": "service_error",
            "code": refusal.cause.value,
            "param": None,
        },
        "outcome": refusal.outcome.value,
    }


def read_body(environ: dict, limit: int) -> bytes | Problem:
    """Reads a request's body, which must be no longer than the limit."""
    length_text = environ.get("CONTENT_LENGTH") or ""
    if length_text and int(length_text) > limit:
        return too_large(length_text, limit)
    try:
        body = environ["wsgi.input"].read(limit + 1)
    except TimeoutError:
        return Problem(
            status=408, message="the body came too slowly", code="timeout"
        )
    except (OSError, ValueError) as exc:
        return Problem(
            status=400, message=f"the body is broken: {exc}", code="body"
        )
    if len(body) > limit:
        return too_large(f"over {limit}", limit)
    if length_text and len(body) < int(length_text):
        return Problem(
            status=400,
            message=f"body has {len(body)} bytes, not {length_text}",
            code="body",
        )
    return body


def too_large(got: str, limit: int) -> Problem:
    """Makes the problem of a body that is too long."""
    return Problem(
        status=413,
        message=f"body has {got} bytes, allowed: {limit}",
        code="body_too_large",
    )
