"""Serves one model call: place, send, check, relay, retry, resume, cancel."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from typing import Any

import gevent
import result

from irisshelf.backends import dispatch
from irisshelf.backends import engine
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.charts import chart
from irisshelf.daemon import node
from irisshelf.observe import timeline
from irisshelf.routing import context
from irisshelf.routing import outcome
from irisshelf.routing import retry
from irisshelf.routing import service
from irisshelf.routing import stream

MAX_RESUMES = 2
_RESUME_WAIT_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A model call that has been admitted."""

    request_id: str
    team: node.Team
    router: service.ServiceRouter
    context: context.Context
    body: bytes
    repeatable: bool
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """What the engine reported at the end of its answer."""

    prompt_tokens: int
    cached_tokens: int
    decode_tokens: int


class _Attempt:
    """One attempt: what was sent where, and the state of its chart."""

    def __init__(self, *, send: service.Send, call: messages.EngineCall):
        self.send = send
        self.call = call
        self.stream: engine.EngineStream | None = None
        self._chart = chart.load("attempt")
        self._state = self._chart.initial

    def move(self, event: str) -> None:
        self._state = self._chart.step(self._state, event).unwrap()

    @property
    def over(self) -> bool:
        return self._chart.has_tag(self._state, "final")


class ModelCall:
    """Serves one request. Iterate ``events`` or take ``whole``.

    Args:
        nd: This instance.
        req: The request.
    """

    def __init__(self, *, nd: node.Node, req: Request):
        self._nd = nd
        self._req = req
        self._attempts = 0
        self._failed: set[str] = set()
        self._worst = outcome.Outcome.NOT_RUN
        self._attempt: _Attempt | None = None
        self._last_data = b""

    def open(self) -> result.Result[bytes, outcome.Refusal]:
        """Tries engines until one answers; returns its first event.

        Returns:
            The first event, or the caller's final answer.
        """
        while True:
            send = self._place()
            if send is None:
                return result.Err(self._no_engine())
            tried = self._try(send)
            if isinstance(tried, result.Ok):
                return tried
            self._failed.add(send.target.name)
            refusal = self._after(tried.err_value)
            if refusal is not None:
                return result.Err(refusal)

    def rest(self) -> Iterator[bytes]:
        """Yields the events after the first one.

        Raises:
            errors.StreamError: The answer cannot be made whole any more.
        """
        while True:
            event = self._read()
            if not event:
                self._finish()
                return
            self._last_data = self._keep(event)
            yield event

    def whole(self) -> result.Result[list[bytes], outcome.Refusal]:
        """Collects all events; tries again if an answer breaks off."""
        while True:
            first = self.open()
            if isinstance(first, result.Err):
                return first
            try:
                return result.Ok([first.ok_value, *self.rest()])
            except errors.StreamError as exc:
                self._failed.add(self._attempt.send.target.name)
                refusal = self._after(exc.error)
            if refusal is not None:
                return result.Err(refusal)

    def close(self) -> None:
        """Ends the call; an attempt that still runs is cancelled."""
        attempt = self._attempt
        if attempt is None or attempt.over:
            return
        self._end(attempt, "cancel")
        self._note(timeline.Kind.CANCEL, attempt)
        gevent.spawn(engine.cancel, self._nd.clients, attempt.call)

    def _place(self) -> service.Send | None:
        return self._req.router.place(
            self._req.context,
            self._nd.now(),
            avoid=frozenset(self._failed),
        )

    def _try(
        self, send: service.Send
    ) -> result.Result[bytes, errors.CallError]:
        """Makes one attempt, up to its first event."""
        attempt = _Attempt(send=send, call=self._call(send))
        self._attempt = attempt
        self._attempts += 1
        self._req.router.sent(send, self._nd.now())
        self._nd.metrics.placements.labels(send.placement.reason.value).inc()
        self._note(timeline.Kind.SEND, attempt)
        attempt.move("send")
        started = dispatch.start(attempt.call, clients=self._nd.clients)
        if isinstance(started, result.Err):
            return self._failed_attempt(attempt, started.err_value)
        attempt.stream = started.ok_value
        attempt.move("head")
        try:
            first = self._read()
        except errors.StreamError as exc:
            return result.Err(exc.error)
        self._last_data = self._keep(first)
        return result.Ok(first)

    def _call(self, send: service.Send) -> messages.EngineCall:
        timeouts = self._req.router.cfg.timeouts
        return messages.EngineCall(
            address=send.target.address,
            engine=send.target.engine,
            attempt_id=self._nd.new_id(),
            priority=self._req.team.cfg.priority.value,
            body=self._req.body,
            limits=messages.Limits(
                connect_s=timeouts.connect_s,
                idle_s=timeouts.idle_s,
                max_body_bytes=0,
            ),
        )

    def _read(self) -> bytes:
        """Reads an event; resumes the stream if it was cut."""
        attempt = self._attempt
        resumes = 0
        while True:
            try:
                return attempt.stream.read()
            except errors.StreamError as exc:
                attempt.stream.close()
                error = exc.error
            if resumes >= MAX_RESUMES or not self._resume(attempt, error):
                self._failed_attempt(attempt, error)
                raise errors.StreamError(error=error)
            resumes += 1

    def _resume(self, attempt: _Attempt, error: errors.CallError) -> bool:
        """Goes on at the exact offset of the same generation, if it can."""
        if error.cause is not outcome.Cause.BROKEN:
            return False
        gevent.sleep(_RESUME_WAIT_S)
        self._note(timeline.Kind.RESUME, attempt)
        self._nd.metrics.resumes.labels(self._req.router.name).inc()
        call = messages.ResumeCall(
            address=attempt.call.address,
            engine=attempt.call.engine,
            attempt_id=attempt.call.attempt_id,
            next_offset=attempt.stream.next_offset,
            generation=attempt.stream.generation,
            limits=attempt.call.limits,
        )
        resumed = dispatch.start(call, clients=self._nd.clients)
        if isinstance(resumed, result.Err):
            return False
        attempt.stream = resumed.ok_value
        return True

    def _failed_attempt(
        self, attempt: _Attempt, error: errors.CallError
    ) -> result.Result[bytes, errors.CallError]:
        self._end(attempt, "fail")
        self._nd.observe_call(attempt.send.target, error)
        return result.Err(error)

    def _after(self, error: errors.CallError) -> outcome.Refusal | None:
        self._worst = retry.worst(self._worst, error.outcome)
        refusal = retry.decide(
            retry.Failure(
                outcome=self._worst, cause=error.cause, detail=error.detail
            ),
            attempts=self._attempts,
            repeatable=self._req.repeatable,
            now=self._nd.now(),
            deadline_s=self._req.deadline_s,
            budget=self._req.router.budget,
        )
        if refusal is None:
            self._nd.metrics.retries.labels(self._req.router.name).inc()
            self._note(timeline.Kind.RETRY, self._attempt)
        return refusal

    def _no_engine(self) -> outcome.Refusal:
        return outcome.Refusal(
            outcome=self._worst,
            cause=outcome.Cause.NO_ENGINE,
            retry_after_s=retry.RETRY_AFTER_S,
            detail=f"no engine of {self._req.router.name!r} takes work",
        )

    def _finish(self) -> None:
        attempt = self._attempt
        self._end(attempt, "end")
        self._nd.observe_call(attempt.send.target, None)
        usage = usage_of(self._last_data)
        if usage is not None:
            self._count(usage)
        self._note(timeline.Kind.ANSWERED, attempt)

    def _count(self, usage: Usage) -> None:
        name = self._req.router.name
        self._req.router.decoded(usage.decode_tokens)
        self._nd.metrics.prompt_tokens.labels(name).inc(usage.prompt_tokens)
        self._nd.metrics.cached_tokens.labels(name).inc(usage.cached_tokens)

    def _end(self, attempt: _Attempt, event: str) -> None:
        if attempt.over:
            return
        attempt.move(event)
        self._req.router.ended(attempt.send, self._nd.now())
        if event != "end" and attempt.stream is not None:
            attempt.stream.close()

    def _keep(self, event: bytes) -> bytes:
        """Keeps the last event that carries data, for its usage."""
        if self._attempt.stream.ended:
            return self._last_data
        return event

    def _note(self, kind: timeline.Kind, attempt: _Attempt) -> None:
        self._nd.timeline.add(
            kind,
            request=self._req.request_id,
            attempt=attempt.call.attempt_id,
            chat=f"{self._req.context.chat_key:016x}",
            engine=attempt.send.target.name,
            detail=attempt.send.placement.reason.value,
        )


def usage_of(event: bytes) -> Usage | None:
    """Reads the usage from an answer's last chunk; None if it has none."""
    try:
        usage = json.loads(stream.payload(event))["usage"]
        details = usage.get("prompt_tokens_details") or {}
        return Usage(
            prompt_tokens=int(usage["prompt_tokens"]),
            cached_tokens=int(details.get("cached_tokens", 0)),
            decode_tokens=int(usage["completion_tokens"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def assemble(
    events: list[bytes], *, request_id: str, model: str
) -> result.Result[dict[str, Any], str]:
    """Builds a whole chat completion from an answer's events.

    Returns:
        The completion, or what is wrong with the events.
    """
    parts: list[str] = []
    reason = None
    usage = None
    try:
        for event in events:
            data = stream.payload(event)
            if data == stream.END_MARK:
                continue
            chunk = json.loads(data)
            choice = chunk["choices"][0]
            parts.append(choice["delta"].get("content") or "")
            reason = choice.get("finish_reason") or reason
            usage = chunk.get("usage") or usage
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as exc:
        return result.Err(f"{type(exc).__name__}: {exc}")
    message = {"role": "assistant", "content": "".join(parts)}
    return result.Ok(
        {
            "id": request_id,
            "object": "chat.completion",
            "model": model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": reason}
            ],
            "usage": usage,
        }
    )
