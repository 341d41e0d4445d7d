"""Admission control: rejects requests that would queue for too long."""

from __future__ import annotations

from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.gateway.requests import fleet_admission
from irisshelf.gateway.requests import overload_log
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
) -> admission.Refusal | None:
    """Decides whether a request that has not been sent yet is admitted.

    Args:
        inst: The instance.
        job: The request.
        choice: The server that it would be sent to.
        resumes: Whether it continues a stream of which the caller has a part.

    Returns:
        Why and for how long it is rejected; None if it is admitted.
    """
    if not inst.cfg.policy.admission:
        return None
    if inst.demand.in_effect(job.service):
        return fleet_admission.check(inst, job, choice, resumes=resumes)
    control = inst.servers.overload(job.service)
    now = inst.now()
    arrival = admission.Arrival(
        priority=job.priority,
        team=job.team,
        objective_s=job.route.latency_target_s,
        remaining_s=job.deadline_s - now,
        resumes=resumes,
    )
    wait_s = control.estimated_wait_s(choice.load, choice.server.slots)
    refusal = control.admit(arrival, wait_s, now, full=choice.full)
    if refusal is not None:
        overload_log.log_rejection(inst, job, choice, refusal)
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
