"""Dispatches calls to the client registered for their type."""

from __future__ import annotations

import errno
import functools
import json
from collections.abc import Mapping
from typing import Any

import geventhttpclient
import result

from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.routing import outcome

_CONNECT_ERRNOS = frozenset(
    {errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH}
)


@functools.singledispatch
def start(call: Any, *, clients: pool.ClientPool) -> result.Result:
    """Starts a call; the type of the result depends on the type of the call.

    Args:
        call: One of the call types in ``messages``.
        clients: Pooled connections.

    Returns:
        An open stream or a complete response, or an ``errors.CallError``.

    Raises:
        TypeError: No client is registered for this type of call.

    See Also:
        engine: registers ``EngineCall`` and ``ResumeCall``.
        service: registers ``ServiceCall``.
    """
    del clients
    raise TypeError(
        f"no client is registered for calls of type {type(call).__name__}"
    )


def request(
    method: str,
    path: str,
    client: geventhttpclient.HTTPClient,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> result.Result[Any, errors.CallError]:
    """Sends a request and reads the response head.

    If the connection is refused or the host is unroutable, nothing was sent
    and the outcome is ``NOT_RUN``. geventhttpclient does not distinguish
    connect time-outs from response time-outs, so the outcome of a time-out is
    ``UNKNOWN``.
    """
    try:
        return result.Ok(
            client.request(method, path, body=body, headers=headers)
        )
    except pool.TRANSPORT_ERRORS as exc:
        if getattr(exc, "errno", None) in _CONNECT_ERRNOS:
            return result.Err(_unreachable(exc))
        timed_out = isinstance(exc, TimeoutError)
        return result.Err(
            errors.CallError(
                outcome=outcome.Outcome.UNKNOWN,
                cause=(
                    outcome.Cause.TIMEOUT if timed_out else outcome.Cause.BROKEN
                ),
                detail=f"{type(exc).__name__}: {exc}",
            )
        )


def read_all(response: Any) -> result.Result[bytes, errors.CallError]:
    """Reads the complete response body."""
    try:
        return result.Ok(bytes(response.read()))
    except pool.TRANSPORT_ERRORS as exc:
        return result.Err(
            errors.CallError(
                outcome=outcome.Outcome.UNKNOWN,
                cause=outcome.Cause.BROKEN,
                detail=f"{type(exc).__name__}: {exc}",
            )
        )


def error_from_response(response: Any) -> errors.CallError:
    """Converts an unsuccessful response to a ``CallError``.

    The outcome is ``NOT_RUN`` only if the server sent the header
    ``X-Not-Run``; a status code alone does not prove it.
    """
    not_run = response.get(messages.Header.NOT_RUN.value) is not None
    draining = response.get(messages.Header.DRAINING.value) is not None
    detail = read_all(response).unwrap_or(b"")[:200]
    return errors.CallError(
        outcome=(
            outcome.Outcome.NOT_RUN if not_run else outcome.Outcome.UNKNOWN
        ),
        cause=outcome.Cause.REFUSED,
        draining=draining,
        detail=f"status {response.status_code}: {detail!r}",
    )


def decode_json(data: bytes) -> result.Result[Any, errors.CallError]:
    """Decodes JSON; deeply nested input is an error like invalid JSON."""
    try:
        return result.Ok(json.loads(data))
    except (ValueError, RecursionError) as exc:
        return result.Err(malformed_response(f"no JSON: {exc}"))


def malformed_response(detail: str) -> errors.CallError:
    """Returns the error for a response that cannot be interpreted."""
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.GARBLED,
        detail=detail,
    )


def _unreachable(exc: Exception) -> errors.CallError:
    return errors.CallError(
        outcome=outcome.Outcome.NOT_RUN,
        cause=outcome.Cause.UNREACHABLE,
        unreachable=True,
        detail=f"{type(exc).__name__}: {exc}",
    )
