"""The fake platform behind HTTP, as a WSGI application."""

from __future__ import annotations

import dataclasses
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

import result

from irisshelf.store import errors
from irisshelf.store import messages
from irisshelf.testing import platform as fake_platform


class PlatformServer:
    """Serves a fake platform.

    Args:
        platform: The platform to serve.
    """

    def __init__(self, *, platform: fake_platform.FakePlatform):
        self._platform = platform

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serves one request."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        body = environ["wsgi.input"].read()
        if path == "/v1/table/transact":
            return self._transact(body, start_response)
        if path == "/v1/table/row":
            query = urllib.parse.parse_qs(environ["QUERY_STRING"])
            answer = self._platform.read(query["key"][0])
            return _respond(answer.map(dataclasses.asdict), start_response)
        if path.startswith("/v1/objects/"):
            key = path.removeprefix("/v1/objects/")
            return self._object(method, key, body, start_response)
        if path == "/v1/nodes":
            query = urllib.parse.parse_qs(environ["QUERY_STRING"])
            since = int(query.get("since", ["0"])[0])
            answer = self._platform.nodes(since=since)
            return _respond(answer.map(dataclasses.asdict), start_response)
        return self._control(path, body, start_response)

    def _transact(self, body: bytes, start_response: Callable) -> list[bytes]:
        ops = json.loads(body)["ops"]
        answer = self._platform.transact([messages.Write(**op) for op in ops])
        document = answer.map(lambda versions: {"versions": versions})
        return _respond(document, start_response)

    def _object(
        self, method: str, key: str, body: bytes, start_response: Callable
    ) -> list[bytes]:
        if method == "PUT":
            answer = self._platform.put_object(key, body)
            return _respond(answer.map(lambda _: {}), start_response)
        found = self._platform.get_object(key)
        if isinstance(found, result.Err):
            return _respond(found, start_response)
        return _send(start_response, "200 OK", found.ok_value)

    def _control(
        self, path: str, body: bytes, start_response: Callable
    ) -> list[bytes]:
        """Paths that only tests and the demo use."""
        if path == "/_node":
            document = json.loads(body)
            node = messages.Node(
                **{
                    **document,
                    "role": messages.NodeRole(document["role"]),
                    "state": messages.NodeState(document["state"]),
                }
            )
            self._platform.set_node(node)
        elif path == "/_remove_node":
            self._platform.remove_node(json.loads(body)["name"])
        elif path == "/_faults":
            self._platform.faults = fake_platform.Faults(**json.loads(body))
        elif path == "/_counts":
            counts = {
                "reads": self._platform.reads,
                "writes": self._platform.writes,
            }
            return _send(start_response, "200 OK", json.dumps(counts).encode())
        else:
            return _send(start_response, "404 Not Found", b"{}")
        return _send(start_response, "200 OK", b"{}")


def _respond(
    answer: result.Result[Any, errors.Error], start_response: Callable
) -> list[bytes]:
    if isinstance(answer, result.Ok):
        body = json.dumps(answer.ok_value).encode()
        return _send(start_response, "200 OK", body)
    problem = answer.err_value
    if isinstance(problem, errors.Conflict):
        failed = [dataclasses.asdict(item) for item in problem.failed]
        body = json.dumps({"failed": failed}).encode()
        return _send(start_response, "409 Conflict", body)
    if isinstance(problem, errors.NotFound):
        return _send(start_response, "404 Not Found", b"{}")
    if problem.effect is errors.Effect.NONE:
        return _send(start_response, "503 Unavailable", b"{}")
    return _send(start_response, "500 Unknown Effect", b"{}")


def _send(start_response: Callable, status: str, body: bytes) -> list[bytes]:
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
