"""The bundle head: which bundle the fleet runs, with increasing numbers.

The head is one row of the platform's table. ``submission`` moves it to a higher
number by compare-and-set; ``Follower`` decides which bundle an instance puts in
force.

Guarantees: the head's number only increases; of two concurrent submissions, one
succeeds and the other fails with a conflict that names the winner; an instance
never puts a lower number in force than before. Assumes that the table honours
conditional writes and that the operators' private keys are not compromised.

Not guaranteed: that an instance that starts while cut off from the platform and
from every peer knows the newest bundle. Such an instance does not serve.
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
        object_key: Key of its envelope in the object store.
        submission_id: Unique to one submission; shows after a lost response
            whether the submission took effect.
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
    """Another submission won; ``winner`` is its head."""

    winner: Head


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The response was lost; read the row and call ``after_read``."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotApplied:
    """The submission failed without any effect."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resubmit:
    """Undecided, as the write may still arrive; send the same write again.

    At most one of the two succeeds, as both have the same condition.
    """


Step = Committed | Superseded | ReadBack | NotApplied | Resubmit


def decode(value: Any) -> Head | None:
    """Decodes a head from the value of a row; None if it is malformed."""
    try:
        return Head(
            number=int(value["number"]),
            object_key=str(value["object_key"]),
            submission_id=str(value["submission_id"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def history_row(number: int) -> str:
    """Returns the key of the row that stores the head with a number."""
    return f"{HISTORY_PREFIX}{number}"


def submission(
    head: Head, *, current: messages.Row | None
) -> tuple[messages.Write, ...]:
    """Returns the transaction that moves the head by compare-and-set.

    It also stores the head in the history, which rollbacks read.

    Args:
        head: The new head.
        current: The row as last read; None if it does not exist.

    Raises:
        ValueError: The new number is not above the current one.
    """
    if current is not None:
        previous = decode(current.value)
        if previous is not None and previous.number >= head.number:
            raise ValueError(
                f"number is {head.number}, allowed: above {previous.number}"
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
    """Determines the next step after the response to a submission."""
    if isinstance(answer, result.Ok):
        return Committed(head=head)
    error = answer.err_value
    if isinstance(error, errors.Conflict):
        return _compare(head, error.failed[0].value)
    if error.effect is errors.Effect.NONE:
        return NotApplied(detail=error.detail)
    return ReadBack()


def after_read(
    head: Head,
    answer: result.Result[messages.Row, errors.NotFound | errors.Unavailable],
    *,
    if_version: int | None,
) -> Step:
    """Determines the next step after the head was read back.

    A row that still has the version expected by the submission proves nothing,
    as the write may still be in flight. Only another version shows whether the
    submission won or lost.

    Args:
        head: The head that was submitted.
        answer: The table's response.
        if_version: Version on which the submission is conditional.
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
    stored = decode(value)
    if stored is None:
        return NotApplied(detail=f"the head row is malformed: {value!r}")
    if stored.submission_id == head.submission_id:
        return Committed(head=head)
    return Superseded(winner=stored)


class Follower:
    """Tracks the head to fetch next and the bundle in force on an instance.

    Example:
        >>> follower = Follower()
        >>> follower.observe(Head(number=2, object_key="x"))
        True
        >>> follower.adopt(2), follower.observe(Head(number=1, object_key="y"))
        (True, False)
    """

    def __init__(self):
        self._in_force = 0
        self._pending: Head | None = None
        self._rejected: set[str] = set()

    @property
    def in_force(self) -> int:
        """Number of the bundle in force; 0 for none."""
        return self._in_force

    @property
    def pending(self) -> Head | None:
        """The head to fetch next; None if no newer one is known."""
        return self._pending

    def observe(self, head: Head) -> bool:
        """Records a head from any source; returns whether to fetch it."""
        if head.number <= self._in_force or head.object_key in self._rejected:
            return False
        if self._pending is None or head.number > self._pending.number:
            self._pending = head
        return True

    def adopt(self, number: int) -> bool:
        """Puts a verified bundle in force if its number is higher."""
        if number <= self._in_force:
            return False
        self._in_force = number
        if self._pending is not None and self._pending.number <= number:
            self._pending = None
        return True

    def reject(self, head: Head) -> None:
        """Records that a head's bundle failed verification."""
        self._rejected.add(head.object_key)
        if self._pending == head:
            self._pending = None
