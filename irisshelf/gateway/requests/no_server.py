"""Why no backend server takes a request, and when its caller should retry."""

from __future__ import annotations

from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.gateway.requests import rejection
from irisshelf.gateway.requests import server_selection
from irisshelf.gateway.requests import stream_binding
from irisshelf.routing.direct import outage

# Callers' retries are spread over this time after the servers' backoff ends, as
# the servers take one request at a time at first.
_BACKOFF_JITTER_S = 1.0
# Upper factor on Retry-After while servers are cold, to spread the retries.
_COLD_JITTER = 1.3
# Servers of a region return after seconds, if at all.
_NO_REGION_RETRY_S = 2.0
# Reason given when no server of the release that began a stream is left, and
# when to retry: one that has crashed is back after about that time.
NO_SERVER_OF_VERSION = "no_server_of_version"
_NO_VERSION_RETRY_S = (1.5, 2.5)


def explain(
    inst: instance.Instance,
    job: messages.Job,
    binding: stream_binding.StreamBinding,
    selection: server_selection.ServerSelection,
) -> rejection.Rejection:
    """Returns why there is no server and when to retry.

    Args:
        inst: The instance.
        job: The request.
        binding: The release that its stream is bound to.
        selection: The servers that may run it.
    """
    if binding.release is not None and not selection.usable():
        return rejection.Rejection(
            why=NO_SERVER_OF_VERSION,
            retry_after_s=inst.rng.uniform(*_NO_VERSION_RETRY_S),
        )
    if job.regions is not None and not selection.usable():
        # Other instances have the same list: do not invite a quick retry.
        return rejection.Rejection(
            why="no_region", retry_after_s=_NO_REGION_RETRY_S
        )
    evacuated_s = inst.eligible.all_evacuated_for_s(job.service)
    if evacuated_s is not None:
        return rejection.Rejection(
            why="evacuated",
            retry_after_s=outage.retry_after_s(evacuated_s, inst.rng),
        )
    pause_s = inst.eligible.accepting_in_s(job.service, binding.requirements)
    if pause_s is not None:
        jitter_s = inst.rng.uniform(0.0, _BACKOFF_JITTER_S)
        return rejection.Rejection(
            why="resting", retry_after_s=pause_s + jitter_s
        )
    cold_s = min(
        map(inst.eligible.cold_wait_s, selection.accepting()), default=0.0
    )
    if cold_s:
        jitter = inst.rng.uniform(1.0, _COLD_JITTER)
        return rejection.Rejection(why="cold", retry_after_s=cold_s * jitter)
    return rejection.Rejection(why="no_server")
