"""Errors returned by calls to the platform."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


class Effect(enum.StrEnum):
    """Whether a failed write may nevertheless have been applied."""

    NONE = "none"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The platform did not answer or is temporarily unavailable."""

    effect: Effect
    detail: str
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailedCondition:
    """A write of a transaction whose condition was not met.

    Attributes:
        index: Index of the write in the transaction.
        version: Current version of the row; 0 if it does not exist.
        value: Current content of the row; None if it does not exist.
    """

    index: int
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A transaction that was not applied because a condition was not met."""

    failed: tuple[FailedCondition, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotFound:
    """The row or object does not exist."""

    key: str


Error = Unavailable | Conflict | NotFound
