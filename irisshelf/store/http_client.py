"""HTTP client of the platform, based on geventhttpclient."""

from __future__ import annotations

import json
import urllib.parse
from collections.abc import Sequence
from http import client as http_client
from typing import Any

import result

from irisshelf.backends import pool
from irisshelf.observe import traffic
from irisshelf.store import errors
from irisshelf.store import interface
from irisshelf.store import messages

_CONCURRENCY = 8
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_MANY_REQUESTS = 429
_CLAIM_IN_PATH = "key=claims%2F"
_CLAIM_IN_BODY = b'"key": "claims/'
_TRANSPORT_ERRORS = (OSError, http_client.HTTPException)


class HttpPlatform(interface.Platform):
    """Calls the platform's HTTP API.

    Args:
        host: IP address of the platform.
        port: Port of the platform.
        timeout_s: Time-out for connecting and for each read or write.
        count: Called with the traffic category and size of each call.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout_s: float = 2.0,
        count: traffic.ByteCounter | None = None,
    ):
        self.count = count
        self._client = pool.new_client(
            f"{host}:{port}",
            connect_s=timeout_s,
            idle_s=timeout_s,
            concurrency=_CONCURRENCY,
        )

    def transact(
        self, writes: Sequence[messages.Write]
    ) -> result.Result[tuple[int, ...], errors.Conflict | errors.Unavailable]:
        """See ``interface.Platform.transact``."""
        ops = [
            {
                "key": write.key,
                "value": write.value,
                "if_version": write.if_version,
                "ttl_s": write.ttl_s,
            }
            for write in writes
        ]
        answer = self._call("POST", "/v1/table/transact", {"ops": ops})
        if isinstance(answer, result.Err):
            return answer
        status, data = answer.ok_value
        if status == _OK:
            return _decode(data, lambda doc: tuple(map(int, doc["versions"])))
        if status == _CONFLICT:
            return _decode(data, _parse_conflict).and_then(result.Err)
        return result.Err(_to_unavailable(status))

    def read(
        self, key: str
    ) -> result.Result[messages.Row, errors.NotFound | errors.Unavailable]:
        """See ``interface.Platform.read``."""
        path = f"/v1/table/row?key={urllib.parse.quote(key, safe='')}"
        answer = self._call("GET", path)
        if isinstance(answer, result.Err):
            return answer
        status, data = answer.ok_value
        if status == _NOT_FOUND:
            return result.Err(errors.NotFound(key=key))
        if status != _OK:
            return result.Err(_to_unavailable(status))
        return _decode(
            data,
            lambda doc: messages.Row(
                key=key, value=doc["value"], version=int(doc["version"])
            ),
        )

    def put_object(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable]:
        """See ``interface.Platform.put_object``."""
        answer = self._call("PUT", _object_path(key), data)
        if isinstance(answer, result.Err):
            return answer
        status, _ = answer.ok_value
        if status == _OK:
            return result.Ok(None)
        return result.Err(_to_unavailable(status))

    def get_object(
        self, key: str
    ) -> result.Result[bytes, errors.NotFound | errors.Unavailable]:
        """See ``interface.Platform.get_object``."""
        answer = self._call("GET", _object_path(key))
        if isinstance(answer, result.Err):
            return answer
        status, data = answer.ok_value
        if status == _NOT_FOUND:
            return result.Err(errors.NotFound(key=key))
        if status != _OK:
            return result.Err(_to_unavailable(status))
        return result.Ok(data)

    def nodes(
        self, *, since: int
    ) -> result.Result[messages.NodeChanges, errors.Unavailable]:
        """See ``interface.Platform.nodes``."""
        answer = self._call("GET", f"/v1/nodes?since={since}")
        if isinstance(answer, result.Err):
            return answer
        status, data = answer.ok_value
        if status != _OK:
            return result.Err(_to_unavailable(status))
        return _decode(data, _parse_node_changes)

    def _call(
        self, method: str, path: str, body: Any = None
    ) -> result.Result[tuple[int, bytes], errors.Unavailable]:
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        try:
            response = self._client.request(method, path, body=data or b"")
            content = bytes(response.read())
        except _TRANSPORT_ERRORS as exc:
            # The platform may have processed the request before the failure.
            return result.Err(
                errors.Unavailable(
                    effect=errors.Effect.UNKNOWN,
                    detail=f"{type(exc).__name__}: {exc}",
                )
            )
        if self.count is not None:
            size = traffic.exchange_bytes(path, data or b"", response, content)
            self.count(_traffic_category(path, data or b""), size)
        return result.Ok((response.status_code, content))


def _traffic_category(path: str, data: bytes) -> str:
    """Returns the category under which the traffic of a call is counted.

    Claims are counted separately, since their traffic grows with the number
    of requests and not with time.
    """
    if _CLAIM_IN_PATH in path or _CLAIM_IN_BODY in data:
        return "claims"
    return "platform_" + path.split("/")[2].partition("?")[0]


def _object_path(key: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(key)}"


def _to_unavailable(status: int) -> errors.Unavailable:
    """Converts an unexpected status to an error.

    Calls answered with 429 or 503 were rejected before they had any effect.
    """
    rejected = status in (_TOO_MANY_REQUESTS, 503)
    return errors.Unavailable(
        effect=errors.Effect.NONE if rejected else errors.Effect.UNKNOWN,
        detail=f"platform answered with HTTP status {status}",
    )


def _decode(data: bytes, build: Any) -> result.Result[Any, errors.Unavailable]:
    try:
        return result.Ok(build(json.loads(data)))
    except (ValueError, KeyError, TypeError) as exc:
        return result.Err(
            errors.Unavailable(
                effect=errors.Effect.UNKNOWN,
                detail=f"malformed answer from the platform: {exc}",
            )
        )


def _parse_conflict(doc: Any) -> errors.Conflict:
    failed = tuple(
        errors.FailedCondition(
            index=int(item["index"]),
            version=int(item["version"]),
            value=item["value"],
        )
        for item in doc["failed"]
    )
    return errors.Conflict(failed=failed)


def _parse_node_changes(doc: Any) -> messages.NodeChanges:
    return messages.NodeChanges(
        version=int(doc["version"]),
        whole=bool(doc["whole"]),
        changed=tuple(map(_parse_node, doc["changed"])),
        removed=tuple(map(str, doc["removed"])),
    )


def _parse_node(doc: Any) -> messages.Node:
    return messages.Node(
        name=str(doc["name"]),
        role=messages.NodeRole(doc["role"]),
        state=messages.NodeState(doc["state"]),
        data_centre=str(doc["data_centre"]),
        address=str(doc["address"]),
        admin_address=str(doc.get("admin_address", "")),
        link_address=str(doc.get("link_address", "")),
        relay_address=str(doc.get("relay_address", "")),
    )
