"""Recognises callers that return, and tells rejected ones when to return."""

from __future__ import annotations

import dataclasses
import functools

from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.servers import request_fingerprints
from irisshelf.overload import admission
from irisshelf.overload import reservations
from irisshelf.overload import returns

# Reason given to a caller for which there is no reservation in time.
NO_PLACE = "no_place_before_deadline"


def recognise(
    inst: instance_module.Instance, job: messages.Job
) -> reservations.Claim | None:
    """Looks for the caller's reservation before admission control decides.

    Otherwise a caller that returns early would be admitted as a new one with
    the same chance at each attempt, and the more often it comes, the better. A
    claim in the state ``EARLY`` or ``DUE`` has to be passed to ``resolve``; for
    others, admission control decides first.

    Args:
        inst: The instance.
        job: The request; it has not been sent to a server.

    Returns:
        The result; None while this instance rejects no requests to the service.
        Nothing is sent then.
    """
    if not inst.returns.is_rejecting(job.service):
        return None
    return inst.returns.claim(request_fingerprints.content(job))


def resolve(
    inst: instance_module.Instance,
    job: messages.Job,
    refusal: admission.Refusal,
    *,
    claim: reservations.Claim | None = None,
) -> admission.Refusal | None:
    """Decides what becomes of a request that is about to be rejected.

    It must not have been sent to a server. The answers of other instances are
    waited for, 10 ms at most. A caller that is admitted here and is then
    rejected for another reason, as its server is full, is assigned another
    reservation by a second call.

    Args:
        inst: The instance.
        job: The request.
        refusal: Why it would be rejected; ``retry_after_s`` is replaced.
        claim: What ``recognise`` has returned for this request; if None, the
            reservation is looked for here.

    Returns:
        None if the caller's reservation is due, so that the request is
        admitted; otherwise the refusal with the time at which its caller is to
        return.
    """
    fingerprint = request_fingerprints.content(job)
    if claim is None:
        claim = inst.returns.claim(fingerprint)
    if claim.state is reservations.State.DUE:
        _count(inst, job, "place_used")
        inst.log.request(
            "place_used",
            job.head.request_id,
            service=job.service,
            priority=job.priority,
            team=job.team,
            silent=claim.silent,
        )
        return None
    if claim.state is reservations.State.EARLY:
        _count(inst, job, "returned_early")
        inst.log.request(
            "returned_early",
            job.head.request_id,
            service=job.service,
            priority=job.priority,
            team=job.team,
            retry_after_s=round(claim.wait_s, 3),
            silent=claim.silent,
        )
        return dataclasses.replace(refusal, retry_after_s=claim.wait_s)
    assigned = inst.returns.assign(
        job.service,
        job.priority,
        remaining_s=job.deadline_s - inst.now(),
        not_before_s=refusal.wait_s - refusal.max_wait_s,
    )
    return _apply(assigned, inst, job, refusal, claim, fingerprint)


@functools.singledispatch
def _apply(
    assigned: returns.Place | returns.NoPlace,
    inst: instance_module.Instance,
    job: messages.Job,
    refusal: admission.Refusal,
    claim: reservations.Claim,
    fingerprint: bytes,
) -> admission.Refusal:
    """Returns the refusal for a caller that is treated as a new one."""
    raise TypeError(
        f"assigned is {assigned!r}, allowed: {returns.Place | returns.NoPlace}"
    )


@_apply.register
def _(
    assigned: returns.Place,
    inst: instance_module.Instance,
    job: messages.Job,
    refusal: admission.Refusal,
    claim: reservations.Claim,
    fingerprint: bytes,
) -> admission.Refusal:
    inst.returns.record(fingerprint, assigned.due_s)
    now = inst.now()
    wait_s = max(0.0, assigned.due_s - now)
    _count(inst, job, "place_given")
    inst.log.request(
        "place_given",
        job.head.request_id,
        service=job.service,
        priority=job.priority,
        team=job.team,
        retry_after_s=round(wait_s, 3),
        left_s=round(job.deadline_s - now, 3),
        before=claim.state.name.lower(),
        silent=claim.silent,
    )
    return dataclasses.replace(refusal, retry_after_s=wait_s)


@_apply.register
def _(
    assigned: returns.NoPlace,
    inst: instance_module.Instance,
    job: messages.Job,
    refusal: admission.Refusal,
    claim: reservations.Claim,
    fingerprint: bytes,
) -> admission.Refusal:
    now = inst.now()
    wait_s = max(0.0, assigned.next_s - now)
    _count(inst, job, "no_place_before_deadline")
    inst.log.request(
        "no_place_before_deadline",
        job.head.request_id,
        service=job.service,
        priority=job.priority,
        team=job.team,
        retry_after_s=round(wait_s, 3),
        left_s=round(job.deadline_s - now, 3),
        before=claim.state.name.lower(),
        silent=claim.silent,
    )
    return dataclasses.replace(refusal, retry_after_s=wait_s, why=NO_PLACE)


def _count(
    inst: instance_module.Instance, job: messages.Job, result: str
) -> None:
    inst.metrics.returns.labels(job.service, result).inc()
