"""Admission control: rejects requests that would queue for too long."""

from __future__ import annotations

from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.overload import admission
from irisshelf.overload import local_admission
from irisshelf.routing.direct import server_choice

# Retry-After for a caller that another instance or server could probably serve
# at once.
RETRY_SOON_S = 0.1


def check(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
    *,
    resumes: bool = False,
    returning: bool = False,
) -> admission.Refusal | None:
    """Decides whether a request that has not been sent yet is admitted.

    Args:
        inst: The instance.
        job: The request.
        choice: The server that it would be sent to.
        resumes: Whether it continues a stream of which the caller has a part.
        returning: Whether it was rejected before and its reservation is due.

    Returns:
        Why and for how long it is rejected; None if it is admitted.
    """
    if not inst.cfg.policy.admission:
        return None
    now = inst.now()
    arrival = admission.Arrival(
        priority=job.priority,
        team=job.team,
        objective_s=job.route.latency_target_s,
        remaining_s=job.deadline_s - now,
        resumes=resumes,
        returning=returning,
    )
    if inst.demand.in_effect(job.service):
        refusal = _check_fleet(inst, job.service, arrival, choice, now)
    else:
        control = inst.servers.overload(job.service)
        wait_s = control.estimated_wait_s(choice.load, choice.server.slots)
        refusal = control.admit(arrival, wait_s, now, full=choice.full)
    if refusal is not None:
        _log(inst, job, choice, refusal)
    return refusal


def retry_after_s(
    inst: instance.Instance, choice: server_choice.Choice
) -> float:
    """Returns the Retry-After for a request that a server has rejected.

    It is short if the server had free slots as far as is known: the rejection
    is then not due to load, and a retry may reach another server.
    """
    service = choice.server.service
    control: local_admission.AdmissionControl | admission.FleetAdmission
    if inst.demand.in_effect(service):
        control = inst.servers.fleet_admission(service)
    else:
        control = inst.servers.overload(service)
    wait_s = control.estimated_wait_s(choice.load, choice.server.slots)
    if not wait_s:
        return RETRY_SOON_S
    return control.retry_after_s(wait_s, inst.now())


def _check_fleet(
    inst: instance.Instance,
    service: str,
    arrival: admission.Arrival,
    choice: server_choice.Choice,
    now: float,
) -> admission.Refusal | None:
    """Decides by the demand and the capacity of the fleet."""
    control = inst.servers.fleet_admission(service)
    slots = choice.server.slots
    idle = max(0.0, 1 - choice.mean_load / slots) if slots > 0 else 0.0
    return control.admit(
        arrival,
        wait_s=control.estimated_wait_s(choice.load, slots),
        now=now,
        full=choice.full,
        demand=inst.demand.service(service),
        capacity_slots=inst.demand.capacity_slots(service),
        backlog_s=control.estimated_wait_s(choice.mean_load, slots),
        idle=idle,
    )


def _log(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
    refusal: admission.Refusal,
) -> None:
    # Only admission by fleet demand has fractions.
    fractions = (
        {"fraction": round(refusal.fraction, 3)} if refusal.fraction < 1 else {}
    )
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
        **fractions,
    )
