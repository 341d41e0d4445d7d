"""Asks whether a request is sent where it would have to wait, and logs it."""

from __future__ import annotations

from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.routing.direct import overload
from irisshelf.routing.direct import server_choice

# A caller whom another instance or server could serve at once is told to come
# back this soon.
RETRY_SOON_S = 0.1


def refuse(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
) -> overload.Refusal | None:
    """Decides on a request that was not sent yet.

    Args:
        inst: The instance.
        job: The request.
        choice: Where it would be sent.

    Returns:
        None if it is to be sent.
    """
    if not inst.cfg.policy.admission:
        return None
    service = inst.servers.overload(job.service)
    now = inst.now()
    arrival = overload.Arrival(
        priority=job.priority,
        team=job.team,
        objective_s=job.route.target_s,
        remaining_s=job.deadline_s - now,
    )
    wait_s = service.estimated_wait_s(choice.load, choice.server.slots)
    refusal = service.admit(arrival, wait_s, now, full=choice.full)
    if refusal is not None:
        _log(inst, job, choice, refusal)
    return refusal


def retry_after_s(
    inst: instance.Instance, choice: server_choice.Choice
) -> float:
    """Tells when a caller should return whom a server has turned down.

    Soon if the server had free places as far as is known: then the server is
    to blame, not the load, and another try may find another one.
    """
    service = inst.servers.overload(choice.server.service)
    wait_s = service.estimated_wait_s(choice.load, choice.server.slots)
    if not wait_s:
        return RETRY_SOON_S
    return service.retry_after_s(wait_s, inst.now())


def _log(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
    refusal: overload.Refusal,
) -> None:
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
        retry_after_s=round(refusal.retry_after_s, 3),
    )
