"""Results of one request's sends, and whether another one may follow."""

from __future__ import annotations

from irisshelf.catalog import directory
from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.gateway.requests import send_error
from irisshelf.routing import outcome

# Reason given when a request is rejected or not retried because backend servers
# crashed while they processed it.
SERVERS_CRASHED = "servers_ended_under_it"
# Limit on sends of a request beyond the maximum of its route. These replace
# sends that servers rejected as not run.
MAX_EXTRA_SENDS = 3


class SendHistory:
    """The sends of one request so far.

    Args:
        inst: The instance.
        job: The request.

    Attributes:
        avoid: Ids of servers that are not tried again.
        failed: Those of them that returned a complete error response, and have
            not rejected the request since.
        count: Number of sends, the one in progress included.
        outcome: Whether any of the sends may have run the request.
        last_response: The latest complete error response of a server.
    """

    def __init__(self, *, inst: instance.Instance, job: messages.Job):
        self.avoid: set[str] = set()
        self.failed: set[str] = set()
        self.count = 0
        self.outcome = outcome.Outcome.NOT_RUN
        self.last_response: messages.CompleteAnswer | None = None
        self._inst = inst
        self._job = job
        self._retry_taken = False
        self._rejections = 0

    @property
    def attempts_left(self) -> bool:
        """Whether the maximum of the route allows one more send.

        The maximum limits the sends that may have run the request.
        """
        limit = self._job.route.max_attempts
        may_have_run = self.count - self._rejections
        return may_have_run < limit and self.count < limit + MAX_EXTRA_SENDS

    def record_failure(
        self, server: directory.BackendServer, exc: send_error.SendError
    ) -> None:
        """Records a failed send."""
        if not exc.stale_connection:
            self.avoid.add(server.server_id)
        if exc.request_outcome is outcome.Outcome.UNKNOWN:
            self.outcome = outcome.Outcome.UNKNOWN
        else:
            # It does not run this request, or is another server by now.
            self._rejections += 1
            self.failed.discard(server.server_id)
        if exc.response is not None:
            self.last_response = exc.response
            self.failed.add(server.server_id)

    def stop_reason(
        self,
        exc: send_error.SendError,
        *,
        crashed_server: bool,
        remaining_s: float,
    ) -> str:
        """Returns why the request is not retried; empty if it is.

        A retry is taken from the retry budget.

        Args:
            exc: The failure of the latest send.
            crashed_server: Whether the request seems to have crashed its
                server.
            remaining_s: Seconds until the caller's deadline.
        """
        route = self._job.route
        policy = self._inst.cfg.policy
        if self.outcome is outcome.Outcome.UNKNOWN and not route.repeatable:
            return "may_have_run"
        if exc.response is not None and exc.response.status < 500:
            return "server_says_so"
        if remaining_s <= 0:
            return "timeout"
        if not (self.attempts_left and policy.second_sends):
            return "attempts_used"
        if crashed_server:
            # It would crash the next server as well. If it was not the cause,
            # the caller's own retry is served.
            return SERVERS_CRASHED
        if not self.take_retry():
            return "no_retry_budget"
        self._retry_taken = False
        self._inst.metrics.retries.labels(self._job.service).inc()
        return ""

    def take_retry(self) -> bool:
        """Takes the next send from the retry budget, at most once.

        Returns:
            Whether the budget allowed it.
        """
        if not self._retry_taken:
            budget = self._inst.servers.budget(self._job.service)
            taken = budget.try_take(self._inst.now())
            bounded = self._inst.cfg.policy.retry_budget
            self._retry_taken = taken or not bounded
        return self._retry_taken
