"""What a caller is told of a request that did not end well."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Whether the request ran.

    ``NOT_RUN`` is said only if no byte of the request went to a backend
    server, or on what that server says of the attempt.
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
    """The final answer to a request that will not be served.

    Attributes:
        outcome: Whether it ran.
        cause: Why.
        retry_after_s: When to come back; None if that would not help.
        detail: For people.
    """

    outcome: Outcome
    cause: Cause
    retry_after_s: float | None = None
    detail: str = ""
