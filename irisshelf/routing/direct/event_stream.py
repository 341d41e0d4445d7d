"""Cuts a stream of server-sent events into whole events.

An event is passed on only when all of it is there: a server may break off in
the middle of one, and what follows from another server begins anew.
"""

from __future__ import annotations

import dataclasses

_BLANK_LINES = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID = b"id:"
# Fifteen digits are exact in any number format; an event's number has fewer.
_MOST_DIGITS = 15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        data: Its bytes, with the blank line that ends it.
        event_id: Its id; None if it has none that is a whole number.
    """

    data: bytes
    event_id: int | None


class Splitter:
    r"""Takes bytes as they come and gives whole events.

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
        """The beginning of an event that is not whole yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Takes more bytes; returns the events that are now whole."""
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer)) > 0:
            whole, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(data=whole, event_id=_event_id(whole)))
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
            numbered = text.isdigit() and len(text) <= _MOST_DIGITS
            return int(text) if numbered else None
    return None
