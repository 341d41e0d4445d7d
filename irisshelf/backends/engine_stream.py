"""A stream of server-sent events from an engine, checked as it comes."""

from __future__ import annotations

from typing import Any

from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.routing import outcome
from irisshelf.routing.owned import stream

EVENT_END = b"\n\n"


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
        checker: stream.StreamChecker,
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
        elif verdict in stream.INVALID:
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
        except pool.TRANSPORT_ERRORS as exc:
            raise errors.StreamError(error=_broken(exc)) from exc
        if not event.endswith(EVENT_END):
            raise errors.StreamError(error=_cut(event))
        return event

    def _finish(self) -> None:
        """Reads the HTTP end, so that the connection can be used again."""
        try:
            self._response.read()
        except pool.TRANSPORT_ERRORS:
            self._response.release()


def parse_head(response: Any) -> messages.StreamHead:
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


def _broken(exc: Exception) -> errors.CallError:
    """Turns a transport's exception on a begun answer into our error."""
    silent = isinstance(exc, TimeoutError)
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.TIMEOUT if silent else outcome.Cause.BROKEN,
        detail=f"{type(exc).__name__}: {exc}",
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
