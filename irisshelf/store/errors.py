"""Errors of the platform layer."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


class Effect(enum.StrEnum):
    """Whether a write that failed may nevertheless have taken effect."""

    NONE = "none"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The platform did not answer, or answered that it cannot now."""

    effect: Effect
    detail: str
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedCondition:
    """One write of a transaction whose condition did not hold.

    Attributes:
        index: Place of the write in the transaction.
        version: Version of the row now; 0 if there is none.
        value: Content of the row now; None if there is none.
    """

    index: int
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A transaction that did nothing, since some condition did not hold."""

    failed: tuple[FailedCondition, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotFound:
    """There is no such row or object."""

    key: str


Error = Unavailable | Conflict | NotFound
