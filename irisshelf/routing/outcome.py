"""Outcome and cause reported to the caller of a failed request."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Whether the request was executed.

    ``NOT_RUN`` is reported only if no byte of the request was sent to a backend
    server, or if that server stated that it did not run the attempt.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Cause(enum.StrEnum):
    """Why a request was refused or failed."""

    NO_ENGINE = "no_engine_available"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DRAINING = "instance_draining"
    NO_BUNDLE = "no_bundle_in_force"
    NO_CLAIM = "claim_not_possible"
    DUPLICATE = "key_used_before"
    UNREACHABLE = "backend_server_unreachable"
    BROKEN = "answer_broken"
    GARBLED = "answer_garbled"
    TIMEOUT = "backend_server_silent"
    REFUSED = "refused_by_backend_server"
    INTERNAL = "internal_error"
    CANCELLED = "caller_went_away"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """The final response to a request that will not be served.

    Attributes:
        outcome: Whether the request was executed.
        cause: Why it was refused or failed.
        retry_after_s: Delay before a retry; None if a retry would not help.
        detail: Human-readable explanation.
    """

    outcome: Outcome
    cause: Cause
    retry_after_s: float | None = None
    detail: str = ""
