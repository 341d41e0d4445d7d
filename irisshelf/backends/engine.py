"""Client for model engines: streams, load, commands and the KV cache."""

from __future__ import annotations

import functools
import json
import urllib.parse
from typing import Any

import result

from irisshelf.backends import bounded_socket
from irisshelf.backends import dispatch
from irisshelf.backends import engine_stream
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.observe import traffic
from irisshelf.routing import outcome
from irisshelf.routing.owned import stream

_OK = 200
# Reports and cache events are short and come within two time-outs in all. A KV
# cache is as long as the memory of an engine allows.
_MAX_REPORT_BYTES = 4_194_304
_REPORT_TIMEOUTS = 2
_STREAM_BOUNDS = bounded_socket.Bounds(
    max_bytes=2**30, max_event_bytes=1_048_576
)
_KV_BOUNDS = bounded_socket.Bounds(max_bytes=2**34)
_CANCEL_CONNECT_S = 1.0
_CANCEL_IDLE_S = 2.0


@dispatch.start.register
def _start_engine_call(
    call: messages.EngineCall, *, clients: pool.ClientPool
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
    call: messages.ResumeCall, *, clients: pool.ClientPool
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
    clients: pool.ClientPool,
    address: str,
    limits: messages.Limits,
    send: Any,
    checker: stream.StreamChecker,
) -> result.Result[engine_stream.EngineStream, errors.CallError]:
    client = clients.client(
        address,
        connect_s=limits.connect_s,
        idle_s=limits.idle_s,
        bounds=_STREAM_BOUNDS,
    )
    received = send(client)
    if isinstance(received, result.Err):
        return received
    response = received.ok_value
    if response.status_code != _OK:
        return result.Err(dispatch.error_from_response(response))
    return result.Ok(
        engine_stream.EngineStream(
            response=response,
            checker=checker,
            generation=response.get(messages.Header.GENERATION.value) or "",
            head=engine_stream.parse_head(response),
        )
    )


def cancel(
    clients: pool.ClientPool, call: messages.CancelCall
) -> result.Result[None, errors.CallError]:
    """Cancels an attempt whose result is no longer needed."""
    client = clients.client(
        call.address, connect_s=_CANCEL_CONNECT_S, idle_s=_CANCEL_IDLE_S
    )
    received = dispatch.request("DELETE", _stream_path(call), client)
    if isinstance(received, result.Err):
        return received
    return dispatch.read_all(received.ok_value).map(lambda _: None)


def fetch_load_report(
    clients: pool.ClientPool,
    address: str,
    *,
    timeout_s: float,
    count: traffic.ByteCounter,
) -> result.Result[messages.ServerLoadReport, errors.CallError]:
    """Fetches the load of all engines of a backend server.

    Args:
        clients: Pooled HTTP clients.
        address: The server's address.
        timeout_s: Time limit for the connect and for each read.
        count: Called with the kind and size in bytes of the exchange.

    Returns:
        The report, or the error.
    """
    document = _get_json(
        clients, address, "/load", timeout_s=timeout_s, count=count
    )
    return document.and_then(_decode_report)


def fetch_cache_events(
    clients: pool.ClientPool,
    address: str,
    *,
    engine: str,
    since: int,
    timeout_s: float,
) -> result.Result[messages.CacheEvents, errors.CallError]:
    """Fetches an engine's cache events, from sequence number ``since``."""
    path = f"/engines/{urllib.parse.quote(engine)}/cache_events?since={since}"
    document = _get_json(clients, address, path, timeout_s=timeout_s)
    return document.and_then(_decode_events)


def send_order(
    clients: pool.ClientPool,
    address: str,
    *,
    engine: str,
    order: messages.Order,
    timeout_s: float,
) -> result.Result[None, errors.CallError]:
    """Sends an engine an order that carries a fencing number."""
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
    received = dispatch.request("POST", path, client, body=body)
    if isinstance(received, result.Err):
        return received
    if received.ok_value.status_code != _OK:
        return result.Err(dispatch.error_from_response(received.ok_value))
    return dispatch.read_all(received.ok_value).map(lambda _: None)


def export_kv(
    clients: pool.ClientPool,
    address: str,
    *,
    engine: str,
    key: str,
    timeout_s: float,
) -> result.Result[bytes, errors.CallError]:
    """Fetches the KV cache of a prompt prefix from an engine."""
    client = clients.client(
        address, connect_s=timeout_s, idle_s=timeout_s, bounds=_KV_BOUNDS
    )
    received = dispatch.request("GET", _kv_path(engine, key), client)
    if isinstance(received, result.Err):
        return received
    if received.ok_value.status_code != _OK:
        return result.Err(dispatch.error_from_response(received.ok_value))
    return dispatch.read_all(received.ok_value)


def import_kv(
    clients: pool.ClientPool,
    address: str,
    *,
    engine: str,
    key: str,
    data: bytes,
    timeout_s: float,
) -> result.Result[None, errors.CallError]:
    """Stores the KV cache of a prompt prefix, exported by another engine."""
    client = clients.client(address, connect_s=timeout_s, idle_s=timeout_s)
    received = dispatch.request("PUT", _kv_path(engine, key), client, body=data)
    if isinstance(received, result.Err):
        return received
    if received.ok_value.status_code != _OK:
        return result.Err(dispatch.error_from_response(received.ok_value))
    return dispatch.read_all(received.ok_value).map(lambda _: None)


def _stream_path(call: messages.CancelCall | messages.ResumeCall) -> str:
    engine = urllib.parse.quote(call.engine)
    return f"/engines/{engine}/streams/{urllib.parse.quote(call.attempt_id)}"


def _kv_path(engine: str, key: str) -> str:
    return (
        f"/engines/{urllib.parse.quote(engine)}"
        f"/kv/{urllib.parse.quote(key, safe='')}"
    )


def _get_json(
    clients: pool.ClientPool,
    address: str,
    path: str,
    *,
    timeout_s: float,
    count: traffic.ByteCounter | None = None,
) -> result.Result[Any, errors.CallError]:
    bounds = bounded_socket.Bounds(
        max_bytes=_MAX_REPORT_BYTES, max_s=_REPORT_TIMEOUTS * timeout_s
    )
    client = clients.client(
        address, connect_s=timeout_s, idle_s=timeout_s, bounds=bounds
    )
    received = dispatch.request("GET", path, client)
    if isinstance(received, result.Err):
        return received
    if received.ok_value.status_code != _OK:
        return result.Err(dispatch.error_from_response(received.ok_value))
    content = dispatch.read_all(received.ok_value)
    if count is not None:
        size = traffic.exchange_bytes(
            path, b"", received.ok_value, content.unwrap_or(b"")
        )
        count("probe", size)
    return content.and_then(dispatch.decode_json)


def _decode_report(
    document: Any,
) -> result.Result[messages.ServerLoadReport, errors.CallError]:
    try:
        engines = {
            str(name): messages.EngineLoad(
                work=float(load["work"]),
                running=int(load["running"]),
                waiting=int(load["waiting"]),
            )
            for name, load in document["engines"].items()
        }
        draining = bool(document["draining"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return result.Err(
            dispatch.malformed_response(f"load report is malformed: {exc!r}")
        )
    return result.Ok(
        messages.ServerLoadReport(draining=draining, engines=engines)
    )


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
        return result.Err(
            dispatch.malformed_response(f"cache events are malformed: {exc!r}")
        )
    return result.Ok(events)
