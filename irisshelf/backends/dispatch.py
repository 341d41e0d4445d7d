"""The one entry point for calls to backend servers, of whatever kind."""

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

_NOT_CONNECTED = frozenset(
    {errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH}
)


@functools.singledispatch
def start(call: Any, *, clients: pool.ClientPool) -> result.Result:
    """Starts a call; what comes back depends on the kind of call.

    Args:
        call: One of the calls of ``messages``.
        clients: Pooled connections.

    Returns:
        An open stream or a whole answer, or the ``errors.CallError``.

    Raises:
        TypeError: No client is registered for this kind of call.

    See Also:
        engine: registers ``EngineCall`` and ``ResumeCall``.
        service: registers ``ServiceCall``.
    """
    del clients
    raise TypeError(f"got a {type(call).__name__}, which no client starts")


def request(
    method: str,
    path: str,
    client: geventhttpclient.HTTPClient,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> result.Result[Any, errors.CallError]:
    """Sends a request and reads the answer's head.

    A refused or unroutable connection means that nothing was sent, so the
    call did not run. The library does not tell a time-out of the connect from
    one of the answer, so nothing is claimed of those.
    """
    try:
        return result.Ok(
            client.request(method, path, body=body, headers=headers)
        )
    except pool.TRANSPORT_ERRORS as exc:
        if getattr(exc, "errno", None) in _NOT_CONNECTED:
            return result.Err(_unreachable(exc))
        silent = isinstance(exc, TimeoutError)
        return result.Err(
            errors.CallError(
                outcome=outcome.Outcome.UNKNOWN,
                cause=(
                    outcome.Cause.TIMEOUT if silent else outcome.Cause.BROKEN
                ),
                detail=f"{type(exc).__name__}: {exc}",
            )
        )


def read_all(response: Any) -> result.Result[bytes, errors.CallError]:
    """Reads a whole answer."""
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
    """Turns an answer other than success into our error.

    Only the server's header ``X-Not-Run`` says that the call did not run.
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
    """Decodes JSON."""
    try:
        return result.Ok(json.loads(data))
    except (ValueError, RecursionError) as exc:
        return result.Err(malformed_response(f"no JSON: {exc}"))


def malformed_response(detail: str) -> errors.CallError:
    """Makes the error for an answer that makes no sense."""
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
