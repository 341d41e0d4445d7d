"""Admission by the demand and the capacity of the whole fleet.

Callers that return are recognised first: one whose reservation is due takes
precedence over new callers, one that returns early gets the remaining time as
its Retry-After.
"""

from __future__ import annotations

from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.gateway.requests import overload_log
from irisshelf.gateway.requests import returning
from irisshelf.overload import admission
from irisshelf.overload import reservations
from irisshelf.routing.direct import server_choice

# Stands for the refusal of a request that is admitted.
_NO_REFUSAL = admission.Refusal(retry_after_s=0.0, wait_s=0.0, max_wait_s=0.0)


def check(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
    *,
    resumes: bool,
) -> admission.Refusal | None:
    """Decides whether a request that has not been sent yet is admitted.

    Args:
        inst: The instance.
        job: The request.
        choice: The server that it would be sent to.
        resumes: Whether it continues a stream of which the caller has a part.

    Returns:
        Why it is rejected and when its caller is to return; None if it is
        admitted.
    """
    claim = returning.recognise(inst, job)
    refusal = _decide(inst, job, choice, claim, resumes=resumes)
    if refusal is not None:
        overload_log.log_rejection(inst, job, choice, refusal)
    return refusal


def _decide(
    inst: instance.Instance,
    job: messages.Job,
    choice: server_choice.Choice,
    claim: reservations.Claim | None,
    *,
    resumes: bool,
) -> admission.Refusal | None:
    state = reservations.State.UNKNOWN if claim is None else claim.state
    wait_s = _wait_s(inst, choice, choice.load)
    if state is reservations.State.EARLY:
        early = admission.Refusal(
            retry_after_s=claim.wait_s, wait_s=wait_s, max_wait_s=0.0
        )
        return returning.resolve(inst, job, early, claim=claim)
    refusal = inst.servers.fleet_admission(job.service).admit(
        admission.Arrival(
            priority=job.priority,
            team=job.team,
            objective_s=job.route.latency_target_s,
            remaining_s=job.deadline_s - inst.now(),
            resumes=resumes,
            returning=state is reservations.State.DUE,
        ),
        wait_s=wait_s,
        now=inst.now(),
        full=choice.full,
        demand=inst.demand.service(job.service),
        capacity_slots=inst.demand.capacity_slots(job.service),
        backlog_s=_wait_s(inst, choice, choice.mean_load),
        idle=max(0.0, 1 - choice.mean_load / max(1, choice.server.slots)),
    )
    if state is reservations.State.DUE:
        # Logs that the reservation is used, whatever follows from the load.
        returning.resolve(inst, job, refusal or _NO_REFUSAL, claim=claim)
        claim = None
    if refusal is None:
        return None
    return returning.resolve(inst, job, refusal, claim=claim)


def _wait_s(
    inst: instance.Instance, choice: server_choice.Choice, load: float
) -> float:
    """Returns how long a request waits at a server with a load, in seconds."""
    control = inst.servers.fleet_admission(choice.server.service)
    wait_s = control.estimated_wait_s(load, choice.server.slots)
    return wait_s * inst.demand.slowdown(choice.server)
