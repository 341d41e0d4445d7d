"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded: a server may fail in the middle of an event,
and the response of another server starts with a new one.
"""

from __future__ import annotations

import dataclasses
import re

_BLANK_LINE = re.compile(rb"\n\n|\r\n\r\n|\r\r")
_LONGEST_BLANK_BYTES = len(b"\r\n\r\n")
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
        self._buffer = bytearray()
        # No blank line begins before this place.
        self._searched = 0

    @property
    def pending(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return bytes(self._buffer)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of an event that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Appends bytes to the buffer; returns the events they complete."""
        self._buffer += data
        events = []
        start = 0
        for blank in _BLANK_LINE.finditer(self._buffer, self._searched):
            event = bytes(self._buffer[start : blank.end()])
            events.append(Event(data=event, event_id=_event_id(event)))
            start = blank.end()
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - _LONGEST_BLANK_BYTES + 1)
        return events


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_DIGITS
            return int(text) if is_number else None
    return None
