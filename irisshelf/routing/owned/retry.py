"""Decides whether a failed attempt is retried.

A retry requires that the request did not run or is repeatable, that no part of
a response has reached the caller, that the deadline has not passed, and that
neither the retry budget nor the number of attempts is exhausted.
"""

from __future__ import annotations

import dataclasses

from irisshelf.routing import outcome
from irisshelf.routing import retry_budget

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A failed attempt.

    Attributes:
        outcome: Whether the attempt may have run.
        cause: Why it failed.
        delivered: Whether the caller has received any part of the response.
        detail: Human-readable explanation.
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
    """Decides whether to retry after a failed attempt.

    Args:
        failure: The last attempt's failure.
        attempts: Number of attempts so far.
        repeatable: Whether the request may run twice.
        now: Time in seconds.
        deadline_s: Deadline of the request.
        budget: The service's retry budget.

    Returns:
        None to retry, else the final response. Whether an earlier attempt may
        have run is not considered here; see ``combined_outcome``.
    """
    may_have_run = failure.outcome is outcome.Outcome.UNKNOWN
    may_repeat = repeatable or not may_have_run
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
        retry_after_s=None if may_have_run else RETRY_AFTER_S,
        detail=failure.detail,
    )


def combined_outcome(
    first: outcome.Outcome, second: outcome.Outcome
) -> outcome.Outcome:
    """Combines the outcomes of two attempts.

    The result is ``unknown`` if either of them may have run.

    Example:
        >>> combined_outcome(outcome.Outcome.UNKNOWN, outcome.Outcome.NOT_RUN)
        <Outcome.UNKNOWN: 'unknown'>
    """
    if outcome.Outcome.UNKNOWN in (first, second):
        return outcome.Outcome.UNKNOWN
    return outcome.Outcome.NOT_RUN


class RetryState:
    """The attempts of one request.

    Args:
        repeatable: Whether the request may run twice.
        deadline_s: Deadline of the request.
        budget: The service's retry budget.

    Attributes:
        worst_outcome: Combined outcome of all attempts so far.
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
        """Counts an attempt that is about to be made."""
        self._attempts += 1

    def cancel_attempt(self) -> None:
        """Uncounts an attempt that no target accepted."""
        self._attempts -= 1

    def record_failure(
        self, failure: Failure, now: float
    ) -> outcome.Refusal | None:
        """Records a failed attempt.

        Returns:
            None to retry, else the final response.
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
        """Returns the final response when no target is left to try."""
        return outcome.Refusal(
            outcome=self.worst_outcome,
            cause=outcome.Cause.NO_ENGINE,
            retry_after_s=RETRY_AFTER_S,
            detail=detail,
        )
