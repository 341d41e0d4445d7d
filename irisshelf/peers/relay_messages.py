"""The request that one instance forwards to another, and its form."""

from __future__ import annotations

import dataclasses
from typing import Any

import cbor2
import result

from irisshelf.coordination import gossip_messages
from irisshelf.routing.owned import context

VERSION = 1
MAX_HOPS = 2
FIRST_OWNER = 1  # It may tell the entry instance to ask another owner.
LAST_OWNER = 2  # It must place the request itself, or refuse.
_FIELDS = 11


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A model call on its way to an engine's owner.

    Attributes:
        request_id: The entry instance's id of the request.
        service: The model service.
        priority: Told to the engine.
        context: The request's context.
        limit: The caller's limit on the answer's length; 0 for none.
        body: The body for the engine, JSON.
        avoid: Engines that already failed this request.
        hops: ``FIRST_OWNER`` or ``LAST_OWNER``.
        left_s: Time that is left for the whole request.
        repeatable: Whether it may be sent again after it may have run.
    """

    request_id: str
    service: str
    priority: str
    context: context.Context
    limit: int
    body: bytes
    avoid: tuple[str, ...]
    hops: int
    left_s: float
    repeatable: bool


def encode(req: Request) -> bytes:
    """Encodes a request as CBOR."""
    return cbor2.dumps(
        [
            VERSION,
            req.request_id,
            req.service,
            req.priority,
            dataclasses.astuple(req.context),
            req.limit,
            req.body,
            list(req.avoid),
            req.hops,
            req.left_s,
            req.repeatable,
        ]
    )


def decode(data: bytes) -> result.Result[Request, str]:
    """Decodes a request.

    Returns:
        The request, or why it is refused.
    """
    try:
        return _request(cbor2.loads(data))
    except gossip_messages.DECODE_ERRORS as exc:
        return result.Err(f"{type(exc).__name__}: {exc}")


def _request(items: Any) -> result.Result[Request, str]:
    if not isinstance(items, list) or len(items) != _FIELDS:
        return result.Err(f"not a list of {_FIELDS} items")
    if items[0] != VERSION:
        return result.Err(f"version is {items[0]!r}, allowed: {VERSION}")
    hops = items[8]
    if not isinstance(hops, int) or not 0 <= hops <= MAX_HOPS:
        return result.Err(f"hops is {hops!r}, allowed: 0 to {MAX_HOPS}")
    return result.Ok(
        Request(
            request_id=str(items[1]),
            service=str(items[2]),
            priority=str(items[3]),
            context=_context(items[4]),
            limit=_count(items[5]),
            body=bytes(items[6]),
            avoid=tuple(str(name) for name in items[7]),
            hops=hops,
            left_s=float(items[9]),
            repeatable=items[10] is True,
        )
    )


def _context(items: Any) -> context.Context:
    names = [field.name for field in dataclasses.fields(context.Context)]
    if len(items) != len(names):
        raise ValueError(f"context has {len(items)} items")
    counts = [_count(item) for item in items]
    return context.Context(**dict(zip(names, counts, strict=True)))


def _count(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value < 2**64:
        raise ValueError(f"count is {value!r:.40}")
    return value
