"""Whether a failed attempt is followed by another.

A retry needs all of: the request did not run, or may be repeated; nothing of
an answer has reached the caller; budget; time; attempts left.
"""

from __future__ import annotations

import dataclasses

from irisshelf.routing import outcome
from irisshelf.routing import retry_budget

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """How an attempt failed.

    Attributes:
        outcome: Whether the attempt may have run.
        cause: What went wrong.
        delivered: Whether the caller has got any part of the answer.
    """

    outcome: outcome.Outcome
    cause: outcome.Cause
    delivered: bool = False
    detail: str = ""


def decide(
    failure: Failure,
    *,
    attempts: int,
    repeatable: bool,
    now: float,
    deadline_s: float,
    budget: retry_budget.RetryBudget,
) -> outcome.Refusal | None:
    """Decides what follows a failed attempt.

    Args:
        failure: How the last attempt failed.
        attempts: Attempts made so far.
        repeatable: Whether the request may run twice.
        now: Time in seconds.
        deadline_s: When the caller's time is up.
        budget: The service's retry budget.

    Returns:
        None to try again, or the caller's final answer. An earlier attempt
        that may have run is the caller's to remember: see ``combined_outcome``.
    """
    ran = failure.outcome is outcome.Outcome.UNKNOWN
    may_repeat = repeatable or not ran
    if (
        may_repeat
        and not failure.delivered
        and attempts < MAX_ATTEMPTS
        and now < deadline_s
        and budget.try_take(now)
    ):
        return None
    return outcome.Refusal(
        outcome=failure.outcome,
        cause=failure.cause,
        retry_after_s=None if ran else RETRY_AFTER_S,
        detail=failure.detail,
    )


def combined_outcome(
    first: outcome.Outcome, second: outcome.Outcome
) -> outcome.Outcome:
    """Returns what to say of two attempts: ``unknown`` if either may have run.

    Example:
        >>> combined_outcome(outcome.Outcome.UNKNOWN, outcome.Outcome.NOT_RUN)
        <Outcome.UNKNOWN: 'unknown'>
    """
    if outcome.Outcome.UNKNOWN in (first, second):
        return outcome.Outcome.UNKNOWN
    return outcome.Outcome.NOT_RUN


class RetryState:
    """How one request fares over its attempts, and what follows each.

    Args:
        repeatable: Whether the request may run twice.
        deadline_s: When the caller's time is up.
        budget: The service's retry budget.

    Attributes:
        worst: What may be said of all attempts so far.
    """

    def __init__(
        self,
        *,
        repeatable: bool,
        deadline_s: float,
        budget: retry_budget.RetryBudget,
    ):
        self._repeatable = repeatable
        self._deadline_s = deadline_s
        self._budget = budget
        self._attempts = 0
        self.worst_outcome = outcome.Outcome.NOT_RUN

    def start_attempt(self) -> None:
        """Counts an attempt."""
        self._attempts += 1

    def cancel_attempt(self) -> None:
        """Takes an attempt back, as nobody took it."""
        self._attempts -= 1

    def record_failure(
        self, failure: Failure, now: float
    ) -> outcome.Refusal | None:
        """Takes how an attempt failed.

        Returns:
            None to try again, or the caller's final answer.
        """
        self.worst_outcome = combined_outcome(
            self.worst_outcome, failure.outcome
        )
        return decide(
            dataclasses.replace(failure, outcome=self.worst_outcome),
            attempts=self._attempts,
            repeatable=self._repeatable,
            now=now,
            deadline_s=self._deadline_s,
            budget=self._budget,
        )

    def no_target_left(self, detail: str) -> outcome.Refusal:
        """Returns the final answer when nobody is left to try."""
        return outcome.Refusal(
            outcome=self.worst_outcome,
            cause=outcome.Cause.NO_ENGINE,
            retry_after_s=RETRY_AFTER_S,
            detail=detail,
        )
