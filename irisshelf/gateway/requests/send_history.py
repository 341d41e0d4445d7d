"""What came of one request's sends, and whether another may follow."""

from __future__ import annotations

from irisshelf.catalog import directory
from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.gateway.requests import attempt
from irisshelf.routing import outcome

# Why a request is refused that servers ended under, or not sent again.
SERVERS_CRASHED = "servers_ended_under_it"


class SendHistory:
    """The sends of one request so far.

    Args:
        inst: The instance.
        job: The request.

    Attributes:
        avoid: Servers that are not asked again.
        failed: Those of them that gave a whole answer.
        count: How many sends there were.
        worst: Whether any of them may have run.
        final: The latest whole answer of a server that failed it.
    """

    def __init__(self, *, inst: instance.Instance, job: messages.Job):
        self.avoid: set[str] = set()
        self.failed: set[str] = set()
        self.count = 0
        self.worst = outcome.Outcome.NOT_RUN
        self.final: messages.CompleteAnswer | None = None
        self._inst = inst
        self._job = job
        self._retry_taken = False

    def went_wrong(
        self, server: directory.BackendServer, exc: attempt.SendError
    ) -> None:
        """Takes what a send that went wrong shows."""
        if not exc.excuse:
            self.avoid.add(server.server_id)
        if exc.outcome is outcome.Outcome.UNKNOWN:
            self.worst = outcome.Outcome.UNKNOWN
        if exc.final is not None:
            self.final = exc.final
            self.failed.add(server.server_id)

    def why_stop(
        self, exc: attempt.SendError, *, blamed: bool, left_s: float
    ) -> str:
        """Tells why the request is given up; empty to send again.

        Takes a retry from the budget if it is sent again.

        Args:
            exc: What went wrong with the latest send.
            blamed: Whether the request looks as if it had ended its server.
            left_s: Of the caller's time, in seconds.
        """
        route = self._job.route
        policy = self._inst.cfg.policy
        if self.worst is outcome.Outcome.UNKNOWN and not route.repeatable:
            return "may_have_run"
        if exc.final is not None and exc.final.status < 500:
            return "server_says_so"
        if left_s <= 0:
            return "timeout"
        if self.count >= route.max_attempts or not policy.second_sends:
            return "attempts_used"
        if blamed:
            # It would end the next server as well. If it did not do it, its
            # caller's own repeat serves it.
            return SERVERS_CRASHED
        if not self.take_retry():
            return "no_retry_budget"
        self._retry_taken = False
        self._inst.metrics.retries.labels(self._job.service).inc()
        return ""

    def take_retry(self) -> bool:
        """Takes the next send from the retry budget, once.

        Returns:
            Whether the budget has left it.
        """
        if not self._retry_taken:
            budget = self._inst.servers.budget(self._job.service)
            taken = budget.try_take(self._inst.now())
            bounded = self._inst.cfg.policy.retry_budget
            self._retry_taken = taken or not bounded
        return self._retry_taken
