"""Client of model engines: streams, resume, cancel, load, orders, cache."""

from __future__ import annotations

import functools
import json
import urllib.parse
from typing import Any

import result

from irisshelf.backends import dispatch
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.observe import traffic
from irisshelf.routing import outcome
from irisshelf.routing import stream

EVENT_END = b"\n\n"
_OK = 200
_CANCEL_CONNECT_S = 1.0
_CANCEL_IDLE_S = 2.0


class EngineStream:
    """A stream of events from one attempt, checked one by one.

    Args:
        response: The open HTTP response.
        checker: Follows offsets and attempt id.
        generation: Names the generation, for a resume.
        head: The answer's headers that tell of the attempt.
    """

    def __init__(
        self,
        *,
        response: Any,
        checker: stream.Checker,
        generation: str,
        head: messages.StreamHead,
    ):
        self.head = head
        self._response = response
        self._checker = checker
        self._fault: errors.StreamError | None = None
        self.generation = generation
        self.last_chunk = b""

    @property
    def next_offset(self) -> int:
        """Offset of the next event."""
        return self._checker.next_offset

    @property
    def ended(self) -> bool:
        """Whether the end mark has come."""
        return self._checker.ended

    def read(self) -> bytes:
        """Returns the next events that belong to the answer.

        Events that have already arrived come together: whoever passes them on
        does so in one write, and writes are what a relay spends most on.

        Returns:
            One event or more, each bytes up to and with its empty line; after
            the end mark's event, ``b""``.

        Raises:
            errors.StreamError: The stream is cut, silent or garbled. Events
                before the fault have been returned by an earlier call.
        """
        if self._fault is not None:
            raise self._fault
        ready: list[bytes] = []
        while not self._checker.ended and (not ready or self._has_event()):
            try:
                self._take_event(ready)
            except errors.StreamError as exc:
                if not ready:
                    raise
                self._fault = exc
                break
        if not ready:
            self._finish()
        return b"".join(ready)

    def _take_event(self, ready: list[bytes]) -> None:
        event = self._next_event()
        verdict = self._checker.check(event)
        if verdict is stream.Verdict.CHUNK:
            self.last_chunk = event
            ready.append(event)
        elif verdict is stream.Verdict.END:
            ready.append(event)
        elif verdict in stream.BAD:
            raise errors.StreamError(error=_garbled(verdict))

    def _has_event(self) -> bool:
        """Tells whether a whole event has already arrived.

        The library has no public word for what it has buffered; without the
        attribute events are passed on one by one.
        """
        return EVENT_END in getattr(self._response, "_body_buffer", b"")

    def close(self) -> None:
        """Gives the connection up."""
        self._response.release()

    def _next_event(self) -> bytes:
        try:
            event = bytes(self._response.readline(EVENT_END))
        except pool.BROKEN as exc:
            raise errors.StreamError(error=broken(exc)) from exc
        if not event.endswith(EVENT_END):
            raise errors.StreamError(error=_cut(event))
        return event

    def _finish(self) -> None:
        """Reads the HTTP end, so that the connection can be used again."""
        try:
            self._response.read()
        except pool.BROKEN:
            self._response.release()


@dispatch.start.register
def _start_engine_call(
    call: messages.EngineCall, *, clients: pool.Pool
) -> result.Result[EngineStream, errors.CallError]:
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
        stream.Checker(attempt_id=call.attempt_id),
    )


@dispatch.start.register
def _start_resume(
    call: messages.ResumeCall, *, clients: pool.Pool
) -> result.Result[EngineStream, errors.CallError]:
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
        stream.Checker(
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
    checker: stream.Checker,
) -> result.Result[EngineStream, errors.CallError]:
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
        EngineStream(
            response=response,
            checker=checker,
            generation=response.get(messages.Header.GENERATION.value) or "",
            head=stream_head(response),
        )
    )


def stream_head(response: Any) -> messages.StreamHead:
    """Reads what an answer's headers tell of the attempt."""

    def text(header: messages.Header) -> str:
        return response.get(header.value) or ""

    try:
        work = float(text(messages.Header.ENGINE_WORK))
    except ValueError:
        work = None
    return messages.StreamHead(
        attempt_id=text(messages.Header.ATTEMPT_ID),
        target=text(messages.Header.TARGET),
        reason=text(messages.Header.REASON),
        engine_work=work,
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
    count: traffic.Count,
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


def broken(exc: Exception) -> errors.CallError:
    """Turns a transport's exception on a begun answer into our error."""
    silent = isinstance(exc, TimeoutError)
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.TIMEOUT if silent else outcome.Cause.BROKEN,
        detail=f"{type(exc).__name__}: {exc}",
    )


def _stream_path(call: messages.CancelCall | messages.ResumeCall) -> str:
    engine = urllib.parse.quote(call.engine)
    return f"/engines/{engine}/streams/{urllib.parse.quote(call.attempt_id)}"


def _kv_path(engine: str, key: str) -> str:
    return (
        f"/engines/{urllib.parse.quote(engine)}"
        f"/kv/{urllib.parse.quote(key, safe='')}"
    )


def _garbled(verdict: stream.Verdict) -> errors.CallError:
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.GARBLED,
        detail=f"the engine's stream is wrong: {verdict}",
    )


def _cut(rest: bytes) -> errors.CallError:
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.BROKEN,
        detail=f"the engine's stream ended {len(rest)} bytes into an event",
    )


def _get_json(
    clients: pool.Pool,
    address: str,
    path: str,
    *,
    timeout_s: float,
    count: traffic.Count | None = None,
) -> result.Result[Any, errors.CallError]:
    client = clients.client(address, connect_s=timeout_s, idle_s=timeout_s)
    sent = dispatch.request("GET", path, client)
    if isinstance(sent, result.Err):
        return sent
    if sent.ok_value.status_code != _OK:
        return result.Err(dispatch.refusal(sent.ok_value))
    content = dispatch.read_all(sent.ok_value)
    if count is not None:
        size = traffic.of_exchange(
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
