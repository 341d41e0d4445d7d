"""Lets requests wait for admission."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable

from gevent import event

from irisshelf.overload import waiting
from irisshelf.routing.owned import service


class Admitter:
    """Joins the admission of services with the greenlets that wait."""

    def __init__(self):
        self._waiting: dict[str, event.AsyncResult] = {}

    def enter(
        self,
        router: service.ServiceRouter,
        ticket: waiting.Ticket,
        now: float,
    ) -> waiting.Admitted | waiting.Rejection:
        """Waits until a request may start or is refused."""
        step = router.admission.submit(ticket, now)
        if not isinstance(step, waiting.Queued):
            return step
        decided = event.AsyncResult()
        self._waiting[ticket.request_id] = decided
        try:
            return decided.get()
        except BaseException:
            router.admission.cancel(ticket)
            raise
        finally:
            self._waiting.pop(ticket.request_id, None)

    def leave(
        self, router: service.ServiceRouter, team: str, lasted_s: float
    ) -> None:
        """Counts a request that no longer runs; others may start."""
        self._tell(router.admission.record_end(team, lasted_s))

    def give_up(self, refused: waiting.Rejection) -> None:
        """Tells a waiting request that it is refused."""
        self._tell([refused])

    def _tell(
        self, steps: Iterable[waiting.Admitted | waiting.Rejection]
    ) -> None:
        for step in steps:
            decided = self._waiting.get(step.ticket.request_id)
            if decided is not None:
                decided.set(step)

    @contextlib.contextmanager
    def slot(self, router: service.ServiceRouter, team: str, now):
        """Holds the slot of a request that has started.

        Args:
            router: The request's service.
            team: The request's team.
            now: Returns monotonic seconds.
        """
        began_s = now()
        try:
            yield
        finally:
            self.leave(router, team, now() - began_s)
