"""Client for other instances: forwards a model call to an engine's owner."""

from __future__ import annotations

import functools

import result

from irisshelf.backends import dispatch
from irisshelf.backends import engine_stream
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.routing import outcome
from irisshelf.routing.owned import stream

PATH = "/relay"
_OK = 200


@dispatch.start.register
def _start_relay_call(
    call: messages.RelayCall, *, clients: pool.ClientPool
) -> result.Result[engine_stream.EngineStream, errors.CallError]:
    client = clients.peer_client(
        call.address,
        connect_s=call.limits.connect_s,
        idle_s=call.limits.idle_s,
    )
    send = functools.partial(
        dispatch.request,
        "POST",
        PATH,
        body=call.body,
        headers={
            "Authorization": f"Bearer {call.secret}",
            "Content-Type": "application/cbor",
            messages.Header.TIMESTAMP.value: call.timestamp,
        },
    )
    received = send(client)
    if isinstance(received, result.Err):
        return received
    response = received.ok_value
    if response.status_code != _OK:
        return result.Err(_error_from_response(response))
    head = engine_stream.parse_head(response)
    return result.Ok(
        engine_stream.EngineStream(
            response=response,
            checker=stream.StreamChecker(attempt_id=head.attempt_id),
            generation=response.get(messages.Header.GENERATION.value) or "",
            head=head,
        )
    )


def _error_from_response(response) -> errors.CallError:
    """Converts an error response of the owner to a ``CallError``.

    The owner reports in ``X-Outcome`` whether the request ran.
    """
    reported = response.get("X-Outcome")
    redirect_target = response.get(messages.Header.TARGET.value) or ""
    detail = dispatch.read_all(response).unwrap_or(b"")[:200]
    not_run = reported == outcome.Outcome.NOT_RUN.value
    return errors.CallError(
        outcome=(
            outcome.Outcome.NOT_RUN if not_run else outcome.Outcome.UNKNOWN
        ),
        cause=outcome.Cause.REFUSED,
        redirect_target=redirect_target if not_run else "",
        detail=f"owner answered {response.status_code}: {detail!r}",
    )
