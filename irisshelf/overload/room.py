"""Available capacity of a service: the slots that its servers provide."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerCapacity:
    """What a server that accepts requests can process.

    Attributes:
        slots: Number of requests that it processes concurrently.
        slowdown: Its current processing time relative to normal.
    """

    slots: int
    slowdown: float = 1.0


def available_slots(servers: Iterable[ServerCapacity]) -> float:
    """Returns the number of slots of servers of usual speed that they equal.

    Example:
        >>> slow = ServerCapacity(slots=4, slowdown=2.0)
        >>> available_slots([slow, ServerCapacity(slots=4)])
        6.0

    Raises:
        ValueError: A slowdown is not positive.
    """
    total = 0.0
    for server in servers:
        if not server.slowdown > 0:
            raise ValueError(
                f"slowdown is {server.slowdown!r}, allowed: more than 0"
            )
        total += max(0, server.slots) / server.slowdown
    return total
