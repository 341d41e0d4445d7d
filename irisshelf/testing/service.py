"""A stand-in for a backend server of a plain service.

Keeps its own record of what ran: method, path, idempotency key and attempt.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable
from typing import Any

import gevent


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceRun:
    """One call that the service carried out."""

    method: str
    path: str
    key: str
    attempt_id: str


class FakeService:
    """A WSGI application that carries out and records every call.

    Args:
        delay_s: How long a call takes.
    """

    def __init__(self, *, delay_s: float = 0.005):
        self.runs: list[ServiceRun] = []
        self.draining = False
        self.started_while_draining = 0
        self._delay_s = delay_s

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serves one call."""
        path = environ["PATH_INFO"]
        if path == "/load":
            load = {"draining": self.draining, "engines": {}}
            return _answer(start_response, "200 OK", load)
        if path == "/_runs":
            return _answer(start_response, "200 OK", self.record())
        if path == "/_drain":
            self.draining = True
            return _answer(start_response, "200 OK", {})
        attempt_id = environ.get("HTTP_X_ATTEMPT_ID", "")
        if self.draining:
            return _answer(
                start_response,
                "503 Draining",
                {},
                [("X-Not-Run", "1"), ("X-Draining", "1")],
            )
        body = environ["wsgi.input"].read()
        run = ServiceRun(
            method=environ["REQUEST_METHOD"],
            path=path,
            key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            attempt_id=attempt_id,
        )
        self.runs.append(run)
        gevent.sleep(self._delay_s)
        document = {"path": path, "key": run.key, "bytes": len(body)}
        headers = [("X-Attempt-Id", attempt_id)]
        return _answer(start_response, "200 OK", document, headers)

    def record(self) -> dict[str, Any]:
        """Returns the service's own record of what ran."""
        return {
            "draining": self.draining,
            "started_while_draining": self.started_while_draining,
            "runs": [dataclasses.asdict(run) for run in self.runs],
        }


def _answer(
    start_response: Callable,
    status: str,
    document: Any,
    headers: list[tuple[str, str]] | None = None,
) -> list[bytes]:
    body = json.dumps(document).encode()
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *(headers or []),
        ],
    )
    return [body]
