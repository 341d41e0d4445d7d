"""Serves one call to a plain service."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import result

from irisshelf.backends import messages
from irisshelf.backends import registry
from irisshelf.daemon import node
from irisshelf.observe import timeline
from irisshelf.routing import outcome
from irisshelf.routing.owned import context
from irisshelf.routing.owned import health
from irisshelf.routing.owned import retry
from irisshelf.routing.owned import service

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A call to a plain service that has been admitted."""

    request_id: str
    router: service.ServiceRouter
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    repeatable: bool
    deadline_s: float


class PlainCall:
    """Serves one request.

    Args:
        nd: This instance.
        req: The request.
    """

    def __init__(self, *, nd: node.Node, req: Request):
        self._nd = nd
        self._req = req
        self._failed: set[str] = set()
        self._course = retry.RetryState(
            repeatable=req.repeatable,
            deadline_s=req.deadline_s,
            budget=req.router.budget,
        )

    def run(self) -> result.Result[messages.ServiceResponse, outcome.Refusal]:
        """Sends the call, again if it may and must."""
        while True:
            send = self._place()
            if send is None:
                detail = f"no server of {self._req.router.name!r} takes work"
                return result.Err(self._course.no_target_left(detail))
            self._course.start_attempt()
            answer = self._try(send)
            if isinstance(answer, result.Ok):
                return answer
            self._failed.add(send.target.name)
            error = answer.err_value
            failure = retry.Failure(
                outcome=error.outcome, cause=error.cause, detail=error.detail
            )
            refusal = self._course.record_failure(failure, self._nd.now())
            if refusal is not None:
                return result.Err(refusal)
            self._nd.metrics.retries.labels(self._req.router.name).inc()

    def _place(self) -> service.Send | None:
        # Any server does: a fresh key each time spreads the calls evenly.
        ctx = context.Context(
            shared_key=0,
            chat_key=self._nd.rng.getrandbits(64),
            shared_tokens=0,
            chat_tokens=0,
            new_tokens=1,
            decode_tokens=1,
        )
        return self._req.router.route(ctx, avoid=frozenset(self._failed))

    def _try(self, send: service.Send) -> result.Result:
        timeouts = self._req.router.cfg.timeouts
        call = messages.ServiceCall(
            address=send.target.address,
            method=self._req.method,
            path=self._req.path,
            headers=self._req.headers,
            body=self._req.body,
            attempt_id=self._nd.new_id(),
            limits=messages.Limits(
                connect_s=timeouts.connect_s,
                idle_s=timeouts.idle_s,
                max_body_bytes=self._req.router.cfg.max_body_bytes,
            ),
        )
        self._nd.timeline.add(
            timeline.Kind.SEND,
            request=self._req.request_id,
            attempt=call.attempt_id,
            engine=send.target.name,
        )
        self._req.router.record_sent(send, self._nd.now())
        try:
            answer = registry.start(call, clients=self._nd.clients)
        finally:
            work = send.placement.work
            self._req.router.record_progress(send, work, self._nd.now())
        self._nd.observe_call(send.target, answer.err())
        if answer.is_ok() and answer.ok_value.draining:
            server = send.target.server
            self._nd.observe(server, health.Event.LEAVE, "says so")
        return answer
