"""Client of model engines: streams, resume, cancel, load, orders, cache."""

from __future__ import annotations

import functools
import json
import urllib.parse
from typing import Any

import result

from irisshelf.backends import dispatch
from irisshelf.backends import engine_stream
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.observe import traffic
from irisshelf.routing import outcome
from irisshelf.routing.owned import stream

_OK = 200
_CANCEL_CONNECT_S = 1.0
_CANCEL_IDLE_S = 2.0


@dispatch.start.register
def _start_engine_call(
    call: messages.EngineCall, *, clients: pool.Pool
) -> result.Result[engine_stream.EngineStream, errors.CallError]:
    headers = {
        messages.Header.ATTEMPT_ID.value: call.attempt_id,
        messages.Header.PRIORITY.value: call.priority,
        "Content-Type": "application/json",
    }
    path = f"/engines/{urllib.parse.quote(call.engine)}/v1/chat/completions"
    return _open(
        clients,
        call.address,
        call.limits,
        functools.partial(
            dispatch.request, "POST", path, body=call.body, headers=headers
        ),
        stream.StreamChecker(attempt_id=call.attempt_id),
    )


@dispatch.start.register
def _start_resume(
    call: messages.ResumeCall, *, clients: pool.Pool
) -> result.Result[engine_stream.EngineStream, errors.CallError]:
    headers = {
        messages.Header.ATTEMPT_ID.value: call.attempt_id,
        messages.Header.GENERATION.value: call.generation,
        "Last-Event-ID": f"{call.attempt_id}:{call.next_offset - 1}",
    }
    opened = _open(
        clients,
        call.address,
        call.limits,
        functools.partial(
            dispatch.request, "GET", _stream_path(call), headers=headers
        ),
        stream.StreamChecker(
            attempt_id=call.attempt_id, next_offset=call.next_offset
        ),
    )
    if opened.is_ok() and opened.ok_value.generation != call.generation:
        opened.ok_value.close()
        return result.Err(
            errors.CallError(
                outcome=outcome.Outcome.UNKNOWN,
                cause=outcome.Cause.GARBLED,
                detail="resumed another generation",
            )
        )
    return opened


def _open(
    clients: pool.Pool,
    address: str,
    limits: messages.Limits,
    send: Any,
    checker: stream.StreamChecker,
) -> result.Result[engine_stream.EngineStream, errors.CallError]:
    client = clients.client(
        address, connect_s=limits.connect_s, idle_s=limits.idle_s
    )
    sent = send(client)
    if isinstance(sent, result.Err):
        return sent
    response = sent.ok_value
    if response.status_code != _OK:
        return result.Err(dispatch.refusal(response))
    return result.Ok(
        engine_stream.EngineStream(
            response=response,
            checker=checker,
            generation=response.get(messages.Header.GENERATION.value) or "",
            head=engine_stream.head_of(response),
        )
    )


def cancel(
    clients: pool.Pool, call: messages.CancelCall
) -> result.Result[None, errors.CallError]:
    """Tells an engine that nobody waits for an attempt any more."""
    client = clients.client(
        call.address, connect_s=_CANCEL_CONNECT_S, idle_s=_CANCEL_IDLE_S
    )
    sent = dispatch.request("DELETE", _stream_path(call), client)
    if isinstance(sent, result.Err):
        return sent
    return dispatch.read_all(sent.ok_value).map(lambda _: None)


def report(
    clients: pool.Pool,
    address: str,
    *,
    timeout_s: float,
    count: traffic.ByteCounter,
) -> result.Result[messages.ServerReport, errors.CallError]:
    """Asks a backend server for its engines' load.

    Args:
        clients: Pooled connections.
        address: The server's address.
        timeout_s: Limit on connecting and on each wait for bytes.
        count: Told of the bytes that this took.

    Returns:
        The report, or what went wrong.
    """
    answer = _get_json(
        clients, address, "/load", timeout_s=timeout_s, count=count
    )
    return answer.and_then(_decode_report)


def cache_events(
    clients: pool.Pool,
    address: str,
    *,
    engine: str,
    since: int,
    timeout_s: float,
) -> result.Result[messages.CacheEvents, errors.CallError]:
    """Fetches an engine's cache events from a sequence number on."""
    path = f"/engines/{urllib.parse.quote(engine)}/cache_events?since={since}"
    answer = _get_json(clients, address, path, timeout_s=timeout_s)
    return answer.and_then(_decode_events)


def order(
    clients: pool.Pool,
    address: str,
    *,
    engine: str,
    order: messages.Order,
    timeout_s: float,
) -> result.Result[None, errors.CallError]:
    """Gives an engine an order under a fencing number."""
    client = clients.client(address, connect_s=timeout_s, idle_s=timeout_s)
    body = json.dumps(
        {
            "order_id": order.order_id,
            "fence": order.fence,
            "action": order.action,
            "arguments": dict(order.arguments),
        }
    ).encode()
    path = f"/engines/{urllib.parse.quote(engine)}/orders"
    sent = dispatch.request("POST", path, client, body=body)
    if isinstance(sent, result.Err):
        return sent
    if sent.ok_value.status_code != _OK:
        return result.Err(dispatch.refusal(sent.ok_value))
    return dispatch.read_all(sent.ok_value).map(lambda _: None)


def export_kv(
    clients: pool.Pool, address: str, *, engine: str, key: str, timeout_s: float
) -> result.Result[bytes, errors.CallError]:
    """Fetches a cached prefix from an engine."""
    client = clients.client(address, connect_s=timeout_s, idle_s=timeout_s)
    sent = dispatch.request("GET", _kv_path(engine, key), client)
    if isinstance(sent, result.Err):
        return sent
    if sent.ok_value.status_code != _OK:
        return result.Err(dispatch.refusal(sent.ok_value))
    return dispatch.read_all(sent.ok_value)


def import_kv(
    clients: pool.Pool,
    address: str,
    *,
    engine: str,
    key: str,
    data: bytes,
    timeout_s: float,
) -> result.Result[None, errors.CallError]:
    """Puts a prefix, exported elsewhere, into an engine's cache."""
    client = clients.client(address, connect_s=timeout_s, idle_s=timeout_s)
    sent = dispatch.request("PUT", _kv_path(engine, key), client, body=data)
    if isinstance(sent, result.Err):
        return sent
    if sent.ok_value.status_code != _OK:
        return result.Err(dispatch.refusal(sent.ok_value))
    return dispatch.read_all(sent.ok_value).map(lambda _: None)


def _stream_path(call: messages.CancelCall | messages.ResumeCall) -> str:
    engine = urllib.parse.quote(call.engine)
    return f"/engines/{engine}/streams/{urllib.parse.quote(call.attempt_id)}"


def _kv_path(engine: str, key: str) -> str:
    return (
        f"/engines/{urllib.parse.quote(engine)}"
        f"/kv/{urllib.parse.quote(key, safe='')}"
    )


def _get_json(
    clients: pool.Pool,
    address: str,
    path: str,
    *,
    timeout_s: float,
    count: traffic.ByteCounter | None = None,
) -> result.Result[Any, errors.CallError]:
    client = clients.client(address, connect_s=timeout_s, idle_s=timeout_s)
    sent = dispatch.request("GET", path, client)
    if isinstance(sent, result.Err):
        return sent
    if sent.ok_value.status_code != _OK:
        return result.Err(dispatch.refusal(sent.ok_value))
    content = dispatch.read_all(sent.ok_value)
    if count is not None:
        size = traffic.exchange_bytes(
            path, b"", sent.ok_value, content.unwrap_or(b"")
        )
        count("probe", size)
    return content.and_then(dispatch.decode_json)


def _decode_report(
    document: Any,
) -> result.Result[messages.ServerReport, errors.CallError]:
    try:
        engines = {
            str(name): messages.EngineLoad(
                work=float(load["work"]),
                running=int(load["running"]),
                waiting=int(load["waiting"]),
            )
            for name, load in document["engines"].items()
        }
        leaving = bool(document["draining"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return result.Err(dispatch.garbled(f"load report: {exc!r}"))
    return result.Ok(messages.ServerReport(leaving=leaving, engines=engines))


def _decode_events(
    document: Any,
) -> result.Result[messages.CacheEvents, errors.CallError]:
    try:
        events = messages.CacheEvents(
            first=int(document["first"]),
            next=int(document["next"]),
            added=tuple(map(str, document["added"])),
            evicted=tuple(map(str, document["evicted"])),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return result.Err(dispatch.garbled(f"cache events: {exc!r}"))
    return result.Ok(events)
