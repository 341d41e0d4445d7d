"""The bundle head: which bundle is the fleet's, moved only upwards.

The head is one row of the platform's table. ``submission`` moves it by
compare-and-set to a higher number; ``Follower`` decides what an instance puts
in force.

Promise: the head's number only grows; of two operators who race, one wins and
the other gets a conflict that names the winner; an instance never puts a lower
number in force than it had. Assumes that the table keeps its word on
conditions and that operators' private keys are kept.

Not promised: that an instance which starts alone, cut off from the platform
and from every peer, knows the newest bundle; it does not serve then.
"""

from __future__ import annotations

import dataclasses
from typing import Any

import result

from irisshelf.store import errors
from irisshelf.store import messages

ROW = "bundle/head"
HISTORY_PREFIX = "bundle/history/"


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Head:
    """The bundle that the fleet should run.

    Attributes:
        number: The bundle's number.
        object_key: Where its envelope lies in the object store.
        submission_id: Unique to one submission; settles lost answers.
    """

    number: int
    object_key: str
    submission_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """The submission took effect."""

    head: Head


@dataclasses.dataclass(frozen=True, kw_only=True)
class Superseded:
    """Another bundle is ahead; ``winner`` names it."""

    winner: Head


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The answer is lost: read the row, then ``after_read``."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotApplied:
    """The platform refused; nothing changed."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resubmit:
    """Undecided, as the write may still arrive: send the same write again.

    Its condition makes the second of the two fail.
    """


Step = Committed | Superseded | ReadBack | NotApplied | Resubmit


def decode(value: Any) -> Head | None:
    """Reads a head from a row's content; None if it is malformed."""
    try:
        return Head(
            number=int(value["number"]),
            object_key=str(value["object_key"]),
            submission_id=str(value["submission_id"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def history_row(number: int) -> str:
    """Returns the row that keeps what the head was at a number."""
    return f"{HISTORY_PREFIX}{number}"


def submission(
    head: Head, *, current: messages.Row | None
) -> tuple[messages.Write, ...]:
    """Returns the transaction that moves the head by compare-and-set.

    It also keeps the head in the history, from which a rollback is made.

    Args:
        head: The new head.
        current: The row as read before; None if there is none.

    Raises:
        ValueError: The new number is not above the current one.
    """
    if current is not None:
        before = decode(current.value)
        if before is not None and before.number >= head.number:
            raise ValueError(
                f"number is {head.number}, allowed: above {before.number}"
            )
    value = dataclasses.asdict(head)
    return (
        messages.Write(
            key=ROW,
            value=value,
            if_version=current.version if current else messages.ABSENT,
        ),
        messages.Write(key=history_row(head.number), value=value),
    )


def after_submission(
    head: Head,
    answer: result.Result[
        tuple[int, ...], errors.Conflict | errors.Unavailable
    ],
) -> Step:
    """Decides what follows from the answer to a submission."""
    if isinstance(answer, result.Ok):
        return Committed(head=head)
    problem = answer.err_value
    if isinstance(problem, errors.Conflict):
        return _compare(head, problem.failed[0].value)
    if problem.effect is errors.Effect.NONE:
        return NotApplied(detail=problem.detail)
    return ReadBack()


def after_read(
    head: Head,
    answer: result.Result[messages.Row, errors.NotFound | errors.Unavailable],
    *,
    if_version: int | None,
) -> Step:
    """Decides what follows from reading the head back.

    A head that is still as the submission expects it proves nothing: the
    write may be on its way. Only another version shows that it lost.

    Args:
        head: The head that was submitted.
        answer: What the table answered.
        if_version: The version that the submission expects.
    """
    if isinstance(answer, result.Ok):
        row = answer.ok_value
        if row.version == if_version:
            return Resubmit()
        return _compare(head, row.value)
    if isinstance(answer.err_value, errors.NotFound):
        return Resubmit()
    return ReadBack()


def _compare(head: Head, value: Any) -> Step:
    found = decode(value)
    if found is None:
        return NotApplied(detail=f"the head row is malformed: {value!r}")
    if found.submission_id == head.submission_id:
        return Committed(head=head)
    return Superseded(winner=found)


class Follower:
    """Which head an instance should fetch, and what it may put in force.

    Example:
        >>> follower = Follower()
        >>> follower.see(Head(number=2, object_key="x"))
        True
        >>> follower.adopt(2), follower.see(Head(number=1, object_key="y"))
        (True, False)
    """

    def __init__(self):
        self._in_force = 0
        self._wanted: Head | None = None
        self._rejected: set[str] = set()

    @property
    def in_force(self) -> int:
        """Number of the bundle in force; 0 for none."""
        return self._in_force

    @property
    def pending(self) -> Head | None:
        """The head to fetch next; None if there is nothing newer."""
        return self._wanted

    def observe(self, head: Head) -> bool:
        """Takes a head from any source; tells whether it should be fetched."""
        if head.number <= self._in_force or head.object_key in self._rejected:
            return False
        if self._wanted is None or head.number > self._wanted.number:
            self._wanted = head
        return True

    def adopt(self, number: int) -> bool:
        """Puts a verified bundle in force unless that would go back."""
        if number <= self._in_force:
            return False
        self._in_force = number
        if self._wanted is not None and self._wanted.number <= number:
            self._wanted = None
        return True

    def reject(self, head: Head) -> None:
        """Remembers that a head's bundle does not verify."""
        self._rejected.add(head.object_key)
        if self._wanted == head:
            self._wanted = None
