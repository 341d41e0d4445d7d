"""At-most-once execution of non-idempotent calls, by claims on their keys.

Before a call is sent, a row for its idempotency key is inserted into the
platform's table on condition that there is none. The instance that inserted the
row may send the call once. No other instance may send it until the row's time
to live has passed.

Guarantee: for each key, at most one instance sends the call, at most once,
provided that the table honours conditional writes and the row outlives the
caller's last retry of the key (``TTL_S``).

Not guaranteed: that a claimed call runs. An instance that crashes between the
claim and the send leaves a claim whose call never ran; a retry is answered with
``unknown``. The same holds for an insert that was abandoned and takes effect
late.

All functions are pure functions of the table's responses; the caller performs
the reads and writes.
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
    """An instance's request for the exclusive right to send a call.

    Attributes:
        row: Key of the row, from ``row_key``.
        claim_id: Unique to this request; distinguishes this instance's insert
            from those of others.
        attempts: Number of earlier attempts at the insert.
        if_version: Version of the row on which the insert is conditional:
            ``messages.ABSENT``, or that of a row whose claim was released.
    """

    row: str
    claim_id: str
    attempts: int = 0
    if_version: int = messages.ABSENT


class State(enum.StrEnum):
    """State of a call as stored in its row."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordedOutcome:
    """Outcome of a call that ran, as stored in its row."""

    status: int
    content_type: str
    body: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The claim succeeded; the caller may send the call once."""

    claim: Claim
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Duplicate:
    """Another claim holds the key; contains its outcome if one is stored."""

    claim: Claim
    recorded: RecordedOutcome | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The claim failed; the call did not run."""

    claim: Claim
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadBack:
    """The insert's response was lost; read the row and call ``after_read``."""

    claim: Claim


@dataclasses.dataclass(frozen=True, kw_only=True)
class Insert:
    """Attempt the insert of this claim, or attempt it again."""

    claim: Claim


Step = Granted | Duplicate | Refused | ReadBack | Insert


def row_key(*, team: str, service: str, key: str) -> str:
    """Returns the key of the row for a caller's idempotency key."""
    text = "\0".join((team, service, key))
    return ROW_PREFIX + hashlib.sha256(text.encode()).hexdigest()[:40]


def insert_write(claim: Claim) -> messages.Write:
    """Returns the conditional write that inserts a claim."""
    return messages.Write(
        key=claim.row,
        value={"id": claim.claim_id, "state": State.CLAIMED.value},
        if_version=claim.if_version,
        ttl_s=TTL_S,
    )


def outcome_write(
    granted: Granted, recorded: RecordedOutcome
) -> messages.Write:
    """Returns the write that stores a call's outcome for later retries."""
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
    """Returns the write that releases a claim whose call did not run.

    Only the holder may release a claim. It must not send the call afterwards,
    even if the response to the release is lost.
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
    """Determines the next steps after a transaction of inserts.

    Args:
        claims: Claims of the transaction, in order.
        answer: The table's response.

    Returns:
        One step for each claim, in the same order.
    """
    if isinstance(answer, result.Ok):
        return [
            Granted(claim=claim, version=version)
            for claim, version in zip(claims, answer.ok_value, strict=True)
        ]
    error = answer.err_value
    if isinstance(error, errors.Conflict):
        return _after_conflict(claims, error)
    if error.effect is errors.Effect.NONE:
        return [_retry(claim, error.detail) for claim in claims]
    return [ReadBack(claim=claim) for claim in claims]


def after_read(
    claim: Claim,
    answer: result.Result[messages.Row, errors.NotFound | errors.Unavailable],
) -> Step:
    """Determines the next step after a claim's row was read back."""
    if isinstance(answer, result.Ok):
        row = answer.ok_value
        return _step_for_row(claim, row.value, row.version)
    if isinstance(answer.err_value, errors.NotFound):
        # The insert has not taken effect, or not yet. It is retried with the
        # same claim id, so that the row of a late insert is still recognised
        # as this instance's own.
        reset = dataclasses.replace(claim, if_version=messages.ABSENT)
        return _retry(reset, "the insert was lost")
    return Refused(claim=claim, detail=answer.err_value.detail)


def _after_conflict(
    claims: Sequence[Claim], conflict: errors.Conflict
) -> list[Step]:
    failed = {item.index: item for item in conflict.failed}
    steps: list[Step] = []
    for index, claim in enumerate(claims):
        if index in failed:
            item = failed[index]
            steps.append(_step_for_row(claim, item.value, item.version))
        else:
            # The transaction was rolled back because of another claim.
            steps.append(Insert(claim=claim))
    return steps


def _step_for_row(claim: Claim, value: Any, version: int) -> Step:
    if not isinstance(value, dict):
        return Duplicate(claim=claim, recorded=None)
    if value.get("state") == State.RELEASED:
        return Insert(claim=dataclasses.replace(claim, if_version=version))
    if value.get("id") == claim.claim_id:
        return Granted(claim=claim, version=version)
    return Duplicate(claim=claim, recorded=_stored_outcome(value))


def _stored_outcome(value: dict[str, Any]) -> RecordedOutcome | None:
    outcome = value.get("outcome")
    if value.get("state") != State.DONE or not isinstance(outcome, dict):
        return None
    try:
        return RecordedOutcome(**outcome)
    except TypeError:
        return None


def _retry(claim: Claim, detail: str) -> Step:
    if claim.attempts + 1 >= MAX_ATTEMPTS:
        return Refused(claim=claim, detail=detail)
    return Insert(claim=dataclasses.replace(claim, attempts=claim.attempts + 1))
