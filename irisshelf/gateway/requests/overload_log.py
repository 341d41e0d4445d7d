"""Logs requests that admission control rejects."""

from __future__ import annotations

from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.overload import admission
from irisshelf.routing.direct import server_choice


def log_rejection(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
    refusal: admission.Refusal,
) -> None:
    """Logs why a request is rejected, and when its caller is to return."""
    inst.log.request(
        "overloaded",
        job.head.request_id,
        server=choice.server.server_id,
        load=round(choice.load, 1),
        priority=job.priority,
        team=job.team,
        full=choice.full,
        wait_s=round(refusal.wait_s, 3),
        accepted_s=round(refusal.max_wait_s, 3),
        fraction=round(refusal.fraction, 3),
        retry_after_s=round(refusal.retry_after_s, 3),
    )
