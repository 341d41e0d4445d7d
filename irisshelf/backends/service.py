"""Client for plain services."""

from __future__ import annotations

import result

from irisshelf.backends import dispatch
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.routing import outcome
from irisshelf.transport import client
from irisshelf.transport import errors as transport_errors

# A response with one of these has no body, whatever its head says.
_BODYLESS_STATUSES = frozenset({204, 304})
_HEAD = "HEAD"

# Headers that apply to a single connection and must not be forwarded
# (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dispatch.start.register
def _start_service_call(
    call: messages.ServiceCall, *, clients: pool.ClientPool
) -> result.Result[messages.ServiceResponse, errors.CallError]:
    """Sends the call on a new connection.

    A pooled connection may turn out to be stale after the request was written,
    and then it is unknown whether the request ran.
    """
    del clients
    http_client = pool.new_client(
        call.address,
        connect_s=call.limits.connect_s,
        idle_s=call.limits.idle_s,
    )
    headers = {
        **call.headers,
        messages.Header.ATTEMPT_ID.value: call.attempt_id,
    }
    try:
        received = dispatch.request(
            call.method, call.path, http_client, body=call.body, headers=headers
        )
        if isinstance(received, result.Err):
            return received
        return _read_response(call, received.ok_value)
    finally:
        http_client.close()


def _read_response(
    call: messages.ServiceCall, response
) -> result.Result[messages.ServiceResponse, errors.CallError]:
    if response.get(messages.Header.NOT_RUN.value) is not None:
        return result.Err(dispatch.error_from_response(response))
    echoed = response.get(messages.Header.ATTEMPT_ID.value)
    if echoed != call.attempt_id:
        response.release()
        return result.Err(
            dispatch.malformed_response(
                f"echoed attempt id is {echoed!r}, not {call.attempt_id!r}"
            )
        )
    body = _read_limited(response, call.limits.max_body_bytes)
    if isinstance(body, result.Err):
        return body
    if _is_unframed(call, response) and _has_exited(call):
        return result.Err(
            errors.CallError(
                outcome=outcome.Outcome.UNKNOWN,
                cause=outcome.Cause.BROKEN,
                detail="server exited at the end of a response without length",
            )
        )
    headers = tuple(
        (str(name), str(value))
        for name, value in response.items()
        if str(name).lower() not in HOP_BY_HOP_HEADERS
        and str(name) != messages.Header.ATTEMPT_ID.value
    )
    return result.Ok(
        messages.ServiceResponse(
            status=response.status_code,
            headers=headers,
            body=body.ok_value,
            draining=response.get(messages.Header.DRAINING.value) is not None,
        )
    )


def _is_unframed(call: messages.ServiceCall, response) -> bool:
    """Returns whether only the end of its connection ends a response."""
    return (
        response.content_length is None
        and response.get("Transfer-Encoding") is None
        and response.status_code not in _BODYLESS_STATUSES
        and call.method != _HEAD
    )


def _has_exited(call: messages.ServiceCall) -> bool:
    """Returns whether nothing listens at the server's address any more.

    A response without length that ends then was probably cut short.
    """
    try:
        conn = client.connect_to_listener(
            call.address, timeout_s=call.limits.connect_s
        )
    except transport_errors.ConnectError as exc:
        return not exc.timed_out
    if conn is not None:
        conn.close()
    return False


def _read_limited(
    response, limit: int
) -> result.Result[bytes, errors.CallError]:
    """Reads the response body, up to a limit in bytes.

    A body over the limit or shorter than its Content-Length is an error.
    """
    length = response.content_length
    try:
        body = bytes(response.read(limit + 1))
    except pool.TRANSPORT_ERRORS as exc:
        return result.Err(
            errors.CallError(
                outcome=outcome.Outcome.UNKNOWN,
                cause=outcome.Cause.BROKEN,
                detail=f"{type(exc).__name__}: {exc}",
            )
        )
    if len(body) > limit:
        response.release()
        return result.Err(
            dispatch.malformed_response(
                f"answer is over {limit} bytes, the limit"
            )
        )
    if length is not None and len(body) < length:
        return result.Err(
            dispatch.malformed_response(
                f"answer has {len(body)} of {length} bytes"
            )
        )
    return result.Ok(body)
