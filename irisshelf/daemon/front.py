"""The HTTP front towards callers, a WSGI application."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from irisshelf.daemon import admit
from irisshelf.daemon import chat_front
from irisshelf.daemon import gate
from irisshelf.daemon import http
from irisshelf.daemon import node
from irisshelf.daemon import parts
from irisshelf.daemon import plain_front
from irisshelf.observe import log
from irisshelf.routing import outcome
from irisshelf.routing.owned import retry


class Front:
    """Serves callers.

    Args:
        nd: This instance.
        admitter: Where requests wait for admission.
    """

    def __init__(self, *, nd: node.Node, admitter: admit.Admitter):
        self._nd = nd
        entry = gate.Gate(nd=nd, admitter=admitter)
        self._chat = chat_front.ChatFront(nd=nd, entry=entry)
        self._plain = plain_front.PlainFront(nd=nd, entry=entry)
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
        if path == chat_front.PATH:
            return self._chat.serve(environ, start_response, team)
        if path.startswith(plain_front.PREFIX):
            return self._plain.serve(environ, start_response, team)
        return http.answer_problem(
            start_response,
            http.Problem(
                status=404,
                message=(
                    f"path is {path!r}, allowed: {chat_front.PATH!r} and"
                    f" '{plain_front.PREFIX}NAME/...'"
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
