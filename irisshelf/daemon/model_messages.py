"""What a model call tells engines and other instances.

An admitted request, and the messages that are built from it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

from irisshelf.backends import messages
from irisshelf.daemon import attempt as attempt_module
from irisshelf.daemon import node
from irisshelf.peers import relay_messages
from irisshelf.routing.owned import context
from irisshelf.routing.owned import service


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A model call that has been admitted.

    Attributes:
        request_id: The entry instance's id.
        priority: Told to the engine.
        router: Decisions on the service.
        context: What placement needs to know.
        limit: The caller's limit on the answer's length; 0 for none.
        body: The body for the engine, JSON.
        repeatable: Whether it may be sent again after it may have run.
        deadline_s: When the caller's time is up.
        hops: 0 on the entry instance, above on an owner.
        avoid: Targets that failed it on other instances.
    """

    request_id: str
    priority: str
    router: service.ServiceRouter
    context: context.Context
    limit: int
    body: bytes
    repeatable: bool
    deadline_s: float
    hops: int = 0
    avoid: frozenset[str] = frozenset()


def engine_call(
    nd: node.Node, req: Request, send: service.Send
) -> messages.EngineCall:
    """Builds the call to an engine."""
    return messages.EngineCall(
        address=send.target.address,
        engine=send.target.engine,
        attempt_id=nd.new_id(),
        priority=req.priority,
        body=req.body,
        limits=_limits(req),
    )


def relay_call(
    nd: node.Node,
    req: Request,
    address: str,
    *,
    avoid: Collection[str],
    last_owner: bool,
) -> messages.RelayCall:
    """Builds the call that hands a request on to an engine's owner.

    Args:
        nd: This instance.
        req: The request.
        address: The owner's.
        avoid: Targets that have failed the request.
        last_owner: Whether the owner may name no other one.
    """
    hops = relay_messages.FIRST_OWNER
    if last_owner:
        hops = relay_messages.LAST_OWNER
    handed = relay_messages.Request(
        request_id=req.request_id,
        service=req.router.name,
        priority=req.priority,
        context=req.context,
        limit=req.limit,
        body=req.body,
        avoid=tuple(sorted(avoid)),
        hops=hops,
        left_s=max(0.0, req.deadline_s - nd.now()),
        repeatable=req.repeatable,
    )
    return messages.RelayCall(
        address=address,
        secret=nd.peer_secret,
        body=relay_messages.encode(handed),
        timestamp=nd.timeline.stamp_text(),
        limits=_limits(req),
    )


def resume_call(
    req: Request, attempt: attempt_module.Attempt
) -> messages.ResumeCall:
    """Builds the call that goes on with a cut stream."""
    return messages.ResumeCall(
        address=attempt.target.address,
        engine=attempt.target.engine,
        attempt_id=attempt.attempt_id,
        next_offset=attempt.stream.next_offset,
        generation=attempt.stream.generation,
        limits=_limits(req),
    )


def _limits(req: Request) -> messages.Limits:
    timeouts = req.router.cfg.timeouts
    return messages.Limits(
        connect_s=timeouts.connect_s,
        idle_s=timeouts.idle_s,
        max_body_bytes=0,
    )
