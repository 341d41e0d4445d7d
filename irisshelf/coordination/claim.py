"""Claims: a call that may not be repeated runs at most once.

Before the call is sent, a row for its key is inserted into the platform's
table on condition that there is none. Whoever inserted it may send the call,
once. Nobody else may, ever, until the row's time to live has passed.

Promise: for one key, at most one instance sends the call, at most once, as
long as the table keeps its word on conditions and the row lives longer than
any caller repeats the key (``TTL_S``).

Not promised: that a claimed call runs. An instance that dies between claim
and send leaves a claim whose call never ran; a repeat is told ``unknown``.
A claim whose insert was given up may take effect late, with the same result.

Everything here is a pure function of the table's answers; the caller carries
out the reads and writes.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from collections.abc import Sequence
from typing import Any

import result

from irisshelf.store import errors
from irisshelf.store import messages

TTL_S = 86_400.0
ROW_PREFIX = "claims/"
MAX_BATCH = 100
MAX_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """One instance's request to be the one that sends a call.

    Attributes:
        row: The table's key, from ``row_key``.
        claim_id: Unique to this request; tells our insert from another's.
        attempts: Inserts of this claim already tried.
        if_version: The row's version that the insert expects: none, or that
            of a row whose claim was released.
    """

    row: str
    claim_id: str
    attempts: int = 0
    if_version: int = messages.ABSENT


class State(enum.StrEnum):
    """What the row says of the call."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordedOutcome:
    """Outcome of a call that ran, as kept in its row."""

    status: int
    content_type: str
    body: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The caller may send the call, once."""

    claim: Claim
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Duplicate:
    """Another claim came first; what is recorded of it, if anything."""

    claim: Claim
    recorded: RecordedOutcome | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """No claim could be made; the call did not run."""

    claim: Claim
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The insert's answer is lost: read the row, then ``after_read``."""

    claim: Claim


@dataclasses.dataclass(frozen=True, kw_only=True)
class Insert:
    """Try the insert of this claim (again)."""

    claim: Claim


Step = Granted | Duplicate | Refused | ReadBack | Insert


def row_key(*, team: str, service: str, key: str) -> str:
    """Returns the table's key for a caller's idempotency key."""
    text = "\0".join((team, service, key))
    return ROW_PREFIX + hashlib.sha256(text.encode()).hexdigest()[:40]


def insert_write(claim: Claim) -> messages.Write:
    """Returns the conditional write that makes a claim."""
    return messages.Write(
        key=claim.row,
        value={"id": claim.claim_id, "state": State.CLAIMED.value},
        if_version=claim.if_version,
        ttl_s=TTL_S,
    )


def outcome_write(
    granted: Granted, recorded: RecordedOutcome
) -> messages.Write:
    """Returns the write that keeps a call's outcome for repeats."""
    return messages.Write(
        key=granted.claim.row,
        value={
            "id": granted.claim.claim_id,
            "state": State.DONE.value,
            "outcome": dataclasses.asdict(recorded),
        },
        if_version=granted.version,
        ttl_s=TTL_S,
    )


def release_write(granted: Granted) -> messages.Write:
    """Returns the write that gives a claim up whose call did not run.

    Only the holder may release, and must not send the call afterwards, even
    if the release's answer is lost.
    """
    return messages.Write(
        key=granted.claim.row,
        value={
            "id": granted.claim.claim_id,
            "state": State.RELEASED.value,
        },
        if_version=granted.version,
        ttl_s=TTL_S,
    )


def after_insert(
    claims: Sequence[Claim],
    answer: result.Result[
        tuple[int, ...], errors.Conflict | errors.Unavailable
    ],
) -> list[Step]:
    """Decides what follows from the answer to one grouped insert.

    Args:
        claims: The claims of the transaction, in order.
        answer: What the table answered.

    Returns:
        One step a claim, in order.
    """
    if isinstance(answer, result.Ok):
        return [
            Granted(claim=claim, version=version)
            for claim, version in zip(claims, answer.ok_value, strict=True)
        ]
    problem = answer.err_value
    if isinstance(problem, errors.Conflict):
        return _after_conflict(claims, problem)
    if problem.effect is errors.Effect.NONE:
        return [_again(claim, problem.detail) for claim in claims]
    return [ReadBack(claim=claim) for claim in claims]


def after_read(
    claim: Claim,
    answer: result.Result[messages.Row, errors.NotFound | errors.Unavailable],
) -> Step:
    """Decides what follows from reading a claim's row back."""
    if isinstance(answer, result.Ok):
        row = answer.ok_value
        return _existing(claim, row.value, row.version)
    if isinstance(answer.err_value, errors.NotFound):
        # Not (yet) in effect. The same claim id goes in again: should the
        # lost insert still take effect, its row is recognised as ours.
        fresh = dataclasses.replace(claim, if_version=messages.ABSENT)
        return _again(fresh, "the insert was lost")
    return Refused(claim=claim, detail=answer.err_value.detail)


def _after_conflict(
    claims: Sequence[Claim], conflict: errors.Conflict
) -> list[Step]:
    failed = {item.index: item for item in conflict.failed}
    steps: list[Step] = []
    for index, claim in enumerate(claims):
        if index in failed:
            item = failed[index]
            steps.append(_existing(claim, item.value, item.version))
        else:
            # The transaction did nothing; this claim was not at fault.
            steps.append(Insert(claim=claim))
    return steps


def _existing(claim: Claim, value: Any, version: int) -> Step:
    if not isinstance(value, dict):
        return Duplicate(claim=claim, recorded=None)
    if value.get("state") == State.RELEASED:
        return Insert(claim=dataclasses.replace(claim, if_version=version))
    if value.get("id") == claim.claim_id:
        return Granted(claim=claim, version=version)
    return Duplicate(claim=claim, recorded=_recorded(value))


def _recorded(value: dict[str, Any]) -> RecordedOutcome | None:
    outcome = value.get("outcome")
    if value.get("state") != State.DONE or not isinstance(outcome, dict):
        return None
    try:
        return RecordedOutcome(**outcome)
    except TypeError:
        return None


def _again(claim: Claim, detail: str) -> Step:
    if claim.attempts + 1 >= MAX_ATTEMPTS:
        return Refused(claim=claim, detail=detail)
    return Insert(claim=dataclasses.replace(claim, attempts=claim.attempts + 1))
