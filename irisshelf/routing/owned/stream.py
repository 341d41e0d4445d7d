"""Checks that a stream from an engine is whole and the right one.

Engines label each server-sent event ``id: ATTEMPT:OFFSET``. A stream is whole
if every event carries our attempt id, offsets follow one another, and the end
mark comes last. Anything else ends the attempt.
"""

from __future__ import annotations

import enum

END_MARK = b"[DONE]"
_LINE_END = b"\n"
_DATA = b"data: "
_KEEP_ALIVE = b":"


class Verdict(enum.StrEnum):
    """What one event is."""

    CHUNK = "chunk"
    END = "end"
    KEEP_ALIVE = "keep_alive"
    OTHER_ATTEMPT = "other_attempt"
    REPEATED = "repeated"
    GAP = "gap"
    GARBLED = "garbled"
    AFTER_END = "after_end"


INVALID = frozenset(
    {
        Verdict.OTHER_ATTEMPT,
        Verdict.GAP,
        Verdict.GARBLED,
        Verdict.AFTER_END,
    }
)


class StreamChecker:
    r"""Follows one attempt's stream.

    Args:
        attempt_id: The id sent with the attempt.
        next_offset: Offset expected first; above 0 after a resume.

    Example:
        >>> StreamChecker(attempt_id="a").check(b"id: a:0\ndata: x\n\n")
        <Verdict.CHUNK: 'chunk'>
    """

    def __init__(self, *, attempt_id: str, next_offset: int = 0):
        self._prefix = b"id: " + attempt_id.encode() + b":"
        self.next_offset = next_offset
        self.ended = False

    def check(self, event: bytes) -> Verdict:
        """Judges one event and, if it is a chunk, moves on."""
        if self.ended:
            return Verdict.AFTER_END
        if not event.startswith(self._prefix):
            return _foreign(event)
        line_end = event.find(_LINE_END, len(self._prefix))
        offset_text = event[len(self._prefix) : line_end]
        if not offset_text.isdigit() or len(offset_text) > 18:
            return Verdict.GARBLED
        offset = int(offset_text)
        if offset < self.next_offset:
            return Verdict.REPEATED
        if offset > self.next_offset:
            return Verdict.GAP
        if not event.startswith(_DATA, line_end + 1):
            return Verdict.GARBLED
        self.next_offset += 1
        if event.startswith(END_MARK, line_end + 1 + len(_DATA)):
            self.ended = True
            return Verdict.END
        return Verdict.CHUNK


def payload(event: bytes) -> bytes:
    """Returns the data of an event that was judged a chunk."""
    start = event.find(_DATA)
    return event[start + len(_DATA) :].strip()


def _foreign(event: bytes) -> Verdict:
    if event.startswith(_KEEP_ALIVE):
        return Verdict.KEEP_ALIVE
    if event.startswith(b"id: "):
        return Verdict.OTHER_ATTEMPT
    return Verdict.GARBLED
