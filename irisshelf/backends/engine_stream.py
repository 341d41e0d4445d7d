"""Reads and validates a stream of server-sent events from an engine."""

from __future__ import annotations

from typing import Any

from irisshelf.backends import errors
from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.routing import outcome
from irisshelf.routing.owned import stream

EVENT_END = b"\n\n"


class EngineStream:
    """The stream of events of one attempt; each event is validated.

    Args:
        response: The open HTTP response.
        checker: Validates the offset and attempt id of each event.
        generation: Id of the generation, needed to resume it.
        head: Attempt metadata from the response headers.
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
        self._error: errors.StreamError | None = None
        self.generation = generation
        self.last_chunk = b""

    @property
    def next_offset(self) -> int:
        """Offset of the next event."""
        return self._checker.next_offset

    @property
    def ended(self) -> bool:
        """Whether the event that ends the stream has been received."""
        return self._checker.ended

    def read(self) -> bytes:
        """Returns the next events of the response.

        All events already buffered are returned together, so that a relay
        forwards them in one write; writes are the largest part of its cost.

        Returns:
            One or more events, each including its terminating empty line;
            ``b""`` after the event that ends the stream.

        Raises:
            errors.StreamError: The stream is truncated, timed out or is
                malformed. Events before the error have been returned by an
                earlier call.
        """
        if self._error is not None:
            raise self._error
        events: list[bytes] = []
        while not self._checker.ended and (not events or self._has_event()):
            try:
                self._read_event(events)
            except errors.StreamError as exc:
                if not events:
                    raise
                self._error = exc
                break
        if not events:
            self._finish()
        return b"".join(events)

    def _read_event(self, events: list[bytes]) -> None:
        event = self._next_event()
        verdict = self._checker.check(event)
        if verdict is stream.Verdict.CHUNK:
            self.last_chunk = event
            events.append(event)
        elif verdict is stream.Verdict.END:
            events.append(event)
        elif verdict in stream.INVALID:
            raise errors.StreamError(error=_invalid_event(verdict))

    def _has_event(self) -> bool:
        """Returns whether a complete event is buffered.

        geventhttpclient has no public interface to its buffer, so this reads a
        private attribute; without the attribute, events are forwarded one by
        one.
        """
        return EVENT_END in getattr(self._response, "_body_buffer", b"")

    def close(self) -> None:
        """Releases the connection before the end of the stream."""
        self._response.release()

    def _next_event(self) -> bytes:
        try:
            event = bytes(self._response.readline(EVENT_END))
        except pool.TRANSPORT_ERRORS as exc:
            raise errors.StreamError(error=_transport_error(exc)) from exc
        if not event.endswith(EVENT_END):
            raise errors.StreamError(error=_truncated(event))
        return event

    def _finish(self) -> None:
        """Reads to the end of the body so that the connection can be reused."""
        try:
            self._response.read()
        except pool.TRANSPORT_ERRORS:
            self._response.release()


def parse_head(response: Any) -> messages.StreamHead:
    """Parses the attempt metadata in the response headers."""

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


def _transport_error(exc: Exception) -> errors.CallError:
    """Converts a transport exception during the response to a ``CallError``."""
    timed_out = isinstance(exc, TimeoutError)
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.TIMEOUT if timed_out else outcome.Cause.BROKEN,
        detail=f"{type(exc).__name__}: {exc}",
    )


def _invalid_event(verdict: stream.Verdict) -> errors.CallError:
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.GARBLED,
        detail=f"the engine's stream is wrong: {verdict}",
    )


def _truncated(event: bytes) -> errors.CallError:
    return errors.CallError(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.BROKEN,
        detail=f"the engine's stream ended {len(event)} bytes into an event",
    )
