"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded: a server may fail in the middle of an event,
and the response of another server starts with a new one.
"""

from __future__ import annotations

import dataclasses

_BLANK_LINES = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID = b"id:"
# Fifteen digits are exact in any number format; event numbers have fewer.
_MAX_DIGITS = 15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """A complete event.

    Attributes:
        data: Its bytes, including the blank line that terminates it.
        event_id: Its id; None if it has no id that is a whole number.
    """

    data: bytes
    event_id: int | None


class Splitter:
    r"""Incremental parser that buffers bytes and returns complete events.

    Example:
        >>> splitter = Splitter()
        >>> [e.event_id for e in splitter.feed(b"id: 1\ndata: a\n\nid: 2")]
        [1]
        >>> splitter.pending
        b'id: 2'
    """

    def __init__(self):
        self._buffer = b""

    @property
    def pending(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Appends bytes to the buffer; returns the events they complete."""
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer)) > 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(data=event, event_id=_event_id(event)))
        return events


def _end_of_event(data: bytes) -> int:
    ends = [
        at + len(blank)
        for blank in _BLANK_LINES
        if (at := data.find(blank)) >= 0
    ]
    return min(ends, default=0)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_DIGITS
            return int(text) if is_number else None
    return None
