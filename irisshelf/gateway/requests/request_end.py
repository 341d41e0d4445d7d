"""What is logged and counted of a request when it has ended."""

from __future__ import annotations

import dataclasses
import functools

from irisshelf.gateway import messages
from irisshelf.gateway.requests import request_handler
from irisshelf.transport import errors


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """What is logged of a request once its response has been delivered.

    Attributes:
        request_id: Its id.
        kind: Kind of its route.
        route: Name of its route.
        team: Its team; empty if there is none.
        version: Version of the configuration.
        arrived_s: When it arrived, monotonic seconds.
        fields: Further fields.
    """

    request_id: str
    kind: str
    route: str
    team: str
    version: int
    arrived_s: float
    fields: dict[str, object]


def summarize(
    job: messages.Job, handler: request_handler.RequestHandler
) -> Summary:
    """Returns what is logged of a request, without the request itself."""
    return Summary(
        request_id=job.head.request_id,
        kind=job.route.kind.value,
        route=job.route.name,
        team=job.team,
        version=job.version,
        arrived_s=job.inbound.arrived_s,
        fields=handler.summary(),
    )


@functools.singledispatch
def describe(exc: BaseException) -> str:
    """Returns the result of a request that an error has ended."""
    return "failed_inside"


@describe.register
def _(exc: errors.CallerDisconnectedError) -> str:
    return "caller_left"


@describe.register
def _(exc: errors.SlowCallerError) -> str:
    return "slow_caller"


@describe.register
def _(exc: OSError) -> str:
    return "caller_lost"
