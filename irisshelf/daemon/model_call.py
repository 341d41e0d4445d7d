"""Serves one model call: place, send, check, relay, retry, resume, cancel.

The same code runs on the entry instance and on the owner that a call is
handed to. An attempt is either a call to an engine or a hand-on to another
instance; a cut stream is resumed at the engine in both cases, so that the
death of the instance in between costs the caller nothing.
"""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import result

from irisshelf.backends import engine
from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import registry
from irisshelf.daemon import attempt as attempt_module
from irisshelf.daemon import completion
from irisshelf.daemon import model_messages
from irisshelf.daemon import node
from irisshelf.observe import timeline
from irisshelf.routing import outcome
from irisshelf.routing.owned import load
from irisshelf.routing.owned import retry
from irisshelf.routing.owned import service

MAX_RESUMES = 2
_RESUME_WAIT_S = 0.05
_MAX_FORWARD_FAILURES = 4
_SILENT = (outcome.Cause.TIMEOUT, outcome.Cause.BROKEN)


class ModelCall:
    """Serves one request: ``open`` and ``rest``, or ``whole``; then ``close``.

    A request goes through one owner at the most, besides the entry instance.

    Args:
        nd: This instance.
        req: The request.
    """

    def __init__(self, *, nd: node.Node, req: model_messages.Request):
        self._nd = nd
        self._req = req
        self._course = retry.RetryState(
            repeatable=req.repeatable,
            deadline_s=req.deadline_s,
            budget=req.router.budget,
        )
        self._forward_failures = 0
        self._ask_owner_of = ""
        self._failed: set[str] = set(req.avoid)
        self._attempt: attempt_module.Attempt | None = None

    @property
    def attempt(self) -> attempt_module.Attempt | None:
        """The attempt that runs, or ran last."""
        return self._attempt

    def open(self) -> result.Result[bytes, outcome.Refusal]:
        """Tries engines until one answers; returns its first events.

        Returns:
            The first events, or the caller's final answer.
        """
        while True:
            attempt = self._next_attempt()
            if attempt is None:
                name = self._req.router.name
                detail = f"no engine of {name!r} takes work"
                return result.Err(self._course.no_target_left(detail))
            tried = self._try(attempt)
            if isinstance(tried, result.Ok):
                return tried
            if self._forward_again(attempt, tried.err_value):
                continue
            self._failed.add(attempt.target.name)
            refusal = self._after(tried.err_value)
            if refusal is not None:
                return result.Err(refusal)

    def rest(self) -> Iterator[bytes]:
        """Yields the events after the first one.

        Raises:
            errors.StreamError: The answer cannot be made whole any more.
        """
        read = self._read
        while True:
            events = read()
            if not events:
                self._finish()
                return
            yield events

    def whole(self) -> result.Result[list[bytes], outcome.Refusal]:
        """Collects all events; tries again if an answer breaks off."""
        while True:
            first = self.open()
            if isinstance(first, result.Err):
                return first
            try:
                return result.Ok([first.ok_value, *self.rest()])
            except errors.StreamError as exc:
                self._failed.add(self._attempt.target.name)
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
        if self._req.hops == 0 and attempt.attempt_id:
            # Only the entry instance knows that nobody waits any more. An
            # owner whose reader is gone may have lost just the instance in
            # between, and the stream is being resumed at the engine.
            self._cancel(attempt)

    def _cancel(self, attempt: attempt_module.Attempt) -> None:
        call = messages.CancelCall(
            address=attempt.target.address,
            engine=attempt.target.engine,
            attempt_id=attempt.attempt_id,
        )
        gevent.spawn(engine.cancel, self._nd.clients, call)

    def progress(self) -> None:
        """Counts the work that the engine has done since the last look."""
        attempt = self._attempt
        if attempt is None or attempt.over or attempt.stream is None:
            return
        decoded = attempt.stream.next_offset
        if attempt.send is None or not decoded:
            return
        left = max(1.0, self._req.context.decode_tokens - decoded)
        if left < attempt.left:
            done = attempt.left - left
            attempt.left = left
            now = self._nd.now()
            self._req.router.record_progress(attempt.send, done, now)

    def _next_attempt(self) -> attempt_module.Attempt | None:
        decided = self._decide()
        if decided is None:
            return None
        if isinstance(decided, service.Send):
            call = model_messages.engine_call(self._nd, self._req, decided)
            return attempt_module.Attempt(
                target=decided.target, call=call, send=decided
            )
        address = self._nd.relay_address(decided.owner)
        if not address:
            # The owner has just left the list; decide again, at last alone.
            self._forward_failures += 1
            return self._next_attempt()
        call = model_messages.relay_call(
            self._nd,
            self._req,
            address,
            avoid=self._failed,
            last_owner=bool(self._ask_owner_of),
        )
        self._ask_owner_of = ""
        self._nd.timeline.add(
            timeline.Kind.FORWARD,
            request=self._req.request_id,
            engine=decided.target.name,
            detail=decided.owner,
        )
        return attempt_module.Attempt(
            target=decided.target, call=call, send=None
        )

    def _decide(self) -> service.Send | service.Forward | None:
        router = self._req.router
        wanted = router.target(self._ask_owner_of)
        if wanted is not None and not router.owns(wanted.name):
            return router.forward(wanted)
        entering = self._req.hops == 0 and not self._ask_owner_of
        alone = self._forward_failures >= _MAX_FORWARD_FAILURES
        return router.route(
            self._req.context,
            avoid=frozenset(self._failed),
            hops_left=1 if entering and not alone else 0,
            entering=entering,
        )

    def _try(
        self, attempt: attempt_module.Attempt
    ) -> result.Result[bytes, errors.CallError]:
        """Makes one attempt, up to its first event."""
        self._attempt = attempt
        sent_s = self._nd.now()
        self._course.start_attempt()
        if attempt.send is not None:
            self._req.router.record_sent(attempt.send, sent_s)
            reason = attempt.send.placement.reason.value
            self._nd.metrics.placements.labels(reason).inc()
            self._note(timeline.Kind.SEND, attempt)
        attempt.move("send")
        started = registry.start(attempt.call, clients=self._nd.clients)
        if isinstance(started, result.Err):
            return self._fail(attempt, started.err_value)
        attempt.stream = started.ok_value
        attempt.move("head")
        self._take_head(attempt, sent_s)
        try:
            first = self._read()
        except errors.StreamError as exc:
            return result.Err(exc.error)
        return result.Ok(first)

    def _take_head(
        self, attempt: attempt_module.Attempt, sent_s: float
    ) -> None:
        head = attempt.stream.head
        if attempt.send is None:
            target = self._req.router.target(head.target)
            attempt.target = target or attempt.target
            self._req.router.record_remote_placement(
                self._req.context, head.target, head.reason
            )
        elif head.engine_work is not None:
            # The engine's report covers what it had before this request.
            self._req.router.report(
                attempt.target.name,
                load.LoadReport(work=head.engine_work, at_s=sent_s - 1e-6),
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
                self._fail(attempt, error)
                raise errors.StreamError(error=error)
            resumes += 1

    def _resume(
        self, attempt: attempt_module.Attempt, error: errors.CallError
    ) -> bool:
        """Goes on at the exact offset of the same generation, if it can."""
        if error.cause is not outcome.Cause.BROKEN:
            return False
        gevent.sleep(_RESUME_WAIT_S)
        self._note(timeline.Kind.RESUME, attempt)
        self._nd.metrics.resumes.labels(self._req.router.name).inc()
        call = model_messages.resume_call(self._req, attempt)
        resumed = registry.start(call, clients=self._nd.clients)
        if isinstance(resumed, result.Err):
            return False
        attempt.stream = resumed.ok_value
        return True

    def _fail(
        self, attempt: attempt_module.Attempt, error: errors.CallError
    ) -> result.Result[bytes, errors.CallError]:
        self._end(attempt, "fail")
        if attempt.send is not None:
            self._nd.observe_call(attempt.target, error)
        elif error.cause in _SILENT and attempt.stream is None:
            # Perhaps cut off: others should not wait for it as well.
            self._nd.peer_unreachable(attempt.call.address)
        return result.Err(error)

    def _forward_again(
        self, attempt: attempt_module.Attempt, error: errors.CallError
    ) -> bool:
        """Tells whether another owner should be asked, as nothing ran.

        Either this one cannot be reached, or it names another one.
        """
        if attempt.send is not None:
            return False
        if not error.unreachable and not error.redirect_target:
            return False
        if self._forward_failures >= _MAX_FORWARD_FAILURES:
            self._ask_owner_of = ""
            return False
        self._forward_failures += 1
        self._course.cancel_attempt()
        self._ask_owner_of = error.redirect_target
        if error.unreachable:
            self._nd.peer_unreachable(attempt.call.address)
        return True

    def _after(self, error: errors.CallError) -> outcome.Refusal | None:
        failure = retry.Failure(
            outcome=error.outcome, cause=error.cause, detail=error.detail
        )
        refusal = self._course.record_failure(failure, self._nd.now())
        if refusal is None:
            self._nd.metrics.retries.labels(self._req.router.name).inc()
            self._note(timeline.Kind.RETRY, self._attempt)
        return refusal

    def _finish(self) -> None:
        attempt = self._attempt
        self._end(attempt, "end")
        self._note(timeline.Kind.ANSWERED, attempt)
        if attempt.send is None:
            return
        self._nd.observe_call(attempt.target, None)
        usage = completion.usage_of(attempt.stream.last_chunk)
        if usage is not None:
            self._count(attempt.send, usage)

    def _count(self, send: service.Send, usage: completion.Usage) -> None:
        router = self._req.router
        router.record_answer_length(self._req.limit, usage.decode_tokens)
        router.record_answer(send, usage.decode_tokens)
        counts = self._nd.metrics
        counts.prompt_tokens.labels(router.name).inc(usage.prompt_tokens)
        counts.cached_tokens.labels(router.name).inc(usage.cached_tokens)

    def _end(self, attempt: attempt_module.Attempt, event: str) -> None:
        if attempt.over:
            return
        attempt.move(event)
        if attempt.send is not None:
            now = self._nd.now()
            self._req.router.record_progress(attempt.send, attempt.left, now)
        if event != "end" and attempt.stream is not None:
            attempt.stream.close()

    def _note(
        self, kind: timeline.Kind, attempt: attempt_module.Attempt
    ) -> None:
        reason = attempt.send.placement.reason.value if attempt.send else ""
        self._nd.timeline.add(
            kind,
            request=self._req.request_id,
            attempt=attempt.attempt_id,
            chat=f"{self._req.context.chat_key:016x}",
            engine=attempt.target.name,
            detail=reason,
        )
