"""What every request of a caller goes through: admission and refusal."""

from __future__ import annotations

import contextlib

from irisshelf.daemon import admit
from irisshelf.daemon import http
from irisshelf.daemon import node
from irisshelf.observe import log
from irisshelf.observe import timeline
from irisshelf.overload import waiting
from irisshelf.routing import outcome
from irisshelf.routing.owned import service

MAX_KEY_CHARS = 255


class Gate:
    """Admits requests, and refuses them in one way.

    Args:
        nd: This instance.
        admitter: Where requests wait for admission.
    """

    def __init__(self, *, nd: node.Node, admitter: admit.Admitter):
        self._nd = nd
        self._admitter = admitter
        self._log = log.get("front")

    def enter(
        self, router: service.ServiceRouter, team: node.Team, request_id: str
    ) -> outcome.Refusal | None:
        """Waits for admission; returns the refusal if it is not granted."""
        now = self._nd.now()
        router.budget.record_request(now)
        ticket = waiting.Ticket(
            request_id=request_id,
            team=team.name,
            priority=team.cfg.priority,
            deadline_s=now + router.cfg.timeouts.queue_s,
        )
        step = self._admitter.enter(router, ticket, now)
        if isinstance(step, waiting.Admitted):
            return None
        return outcome.Refusal(
            outcome=outcome.Outcome.NOT_RUN,
            cause=outcome.Cause.QUEUE_TIMEOUT,
            retry_after_s=step.retry_after_s,
            detail=f"team {team.name!r} is over its share",
        )

    def slot(
        self, router: service.ServiceRouter, team: node.Team
    ) -> contextlib.AbstractContextManager[None]:
        """Holds the slot of a request that has entered."""
        return self._admitter.slot(router, team.name, self._nd.now)

    def refuse(
        self,
        router: service.ServiceRouter,
        request_id: str,
        refusal: outcome.Refusal,
        start_response: http.StartResponse,
    ) -> list[bytes]:
        """Gives a request its final answer, and says so everywhere."""
        self.count(router, refusal.outcome.value)
        self._nd.timeline.add(
            timeline.Kind.REFUSED,
            request=request_id,
            detail=f"{refusal.outcome} {refusal.cause}",
        )
        self._log.info(
            "request refused",
            extra={
                "request": request_id,
                "outcome": refusal.outcome.value,
                "cause": refusal.cause.value,
                "detail": refusal.detail,
            },
        )
        return http.answer_refusal(start_response, refusal)

    def count(self, router: service.ServiceRouter, ended: str) -> None:
        """Counts how a request ended."""
        self._nd.metrics.requests.labels(router.name, ended).inc()


def idempotency_key(environ: dict) -> str | http.Problem:
    """Returns the caller's key, empty for none, or what is wrong with it."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()
    if len(key) > MAX_KEY_CHARS:
        return http.Problem(
            status=400,
            message=(
                f"Idempotency-Key has {len(key)} characters, allowed:"
                f" {MAX_KEY_CHARS}"
            ),
            code="idempotency_key",
            param="Idempotency-Key",
        )
    return key
