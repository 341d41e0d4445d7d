"""History checking: decides each promise from a record of what happened.

A history has what callers asked and were told, and what back ends ran. The
checker knows nothing of how irisshelf works.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Sequence


class Promise(enum.StrEnum):
    """What must hold in every history."""

    AT_MOST_ONCE = "a key runs at most once"
    NOT_RUN = "what is refused as not run did not run"
    WHOLE = "an answer is whole and the caller's own"
    ANSWERED = "every call gets an answer, a refusal or a broken connection"
    REPLAY = "a repeat gets the first run's answer"


class Told(enum.StrEnum):
    """What a caller was told."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CUT = "cut"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call as its caller saw it.

    Attributes:
        call_id: Unique to the call.
        key: Its idempotency key; empty if it may be repeated.
        marker: Word that the call's answer must carry: repeats of a key have
            the same.
        told: What the caller was told.
        answer: The answer's marker, or the text that came instead.
        whole: Whether the answer claims to be whole.
    """

    call_id: str
    key: str
    marker: str
    told: Told
    answer: str = ""
    whole: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One run at a back end."""

    marker: str
    key: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """Everything that happened."""

    calls: tuple[Call, ...]
    runs: tuple[Run, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that a history breaks."""

    promise: Promise
    detail: str


def check(history: History) -> list[Violation]:
    """Returns every violation in a history.

    Example:
        >>> check(History(calls=(), runs=()))
        []
    """
    return [
        *_at_most_once(history.runs),
        *_not_run(history),
        *_whole(history.calls),
        *_answered(history.calls),
        *_replay(history),
    ]


def _at_most_once(runs: Sequence[Run]):
    counts = collections.Counter(run.key for run in runs if run.key)
    for key, count in counts.items():
        if count > 1:
            yield Violation(
                promise=Promise.AT_MOST_ONCE, detail=f"{key} ran {count} times"
            )


def _not_run(history: History):
    """A refusal is false if no other call with this marker explains the run.

    Calls that repeat a key share its run: if any of them may have made it,
    the refused one did not have to.
    """
    ran = {run.marker for run in history.runs}
    told = collections.defaultdict(set)
    for call in history.calls:
        told[call.marker].add(call.told)
    for marker, kinds in told.items():
        if marker in ran and kinds == {Told.NOT_RUN}:
            yield Violation(
                promise=Promise.NOT_RUN,
                detail=f"{marker} ran, and all were told it did not",
            )


def _whole(calls: Sequence[Call]):
    for call in calls:
        if call.told is not Told.ANSWER:
            continue
        if not call.whole or call.answer != call.marker:
            yield Violation(
                promise=Promise.WHOLE,
                detail=f"{call.call_id} wants {call.marker}, got"
                f" {call.answer!r:.60}",
            )


def _answered(calls: Sequence[Call]):
    for call in calls:
        if call.told is Told.NOTHING:
            yield Violation(promise=Promise.ANSWERED, detail=call.call_id)


def _replay(history: History):
    """An answer to a keyed call needs a run of that key."""
    keys = {run.key for run in history.runs}
    for call in history.calls:
        if call.key and call.told is Told.ANSWER and call.key not in keys:
            yield Violation(
                promise=Promise.REPLAY,
                detail=f"{call.call_id} got an answer, {call.key} never ran",
            )
