"""Load bounds of servers for requests that share parts of a prompt.

A bound is a multiple of the mean load plus a constant. The multiple is weighted
by what a server sustains: one that is three times as slow as the others keeps
each request three times as long, so that a third of the requests wait there as
long as all of them elsewhere.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadBounds:
    """Load bounds of servers for one request.

    Attributes:
        weights: What each server sustains, relative to the mean of all; servers
            that are missing have the weight 1.
        mean_multiple: The mean load times the factor of the bound.
        active_multiple: The mean load of the servers that get requests, times
            the factor for these.
        extra: Constant of the former.
        active_extra: Constant of the latter.
        cap: Upper limit of all bounds; not weighted.
    """

    weights: Mapping[str, float]
    mean_multiple: float
    active_multiple: float
    extra: float
    active_extra: float
    cap: float

    def bound(self, name: str) -> float:
        """Returns how many requests a server may have.

        Example:
            >>> bounds = LoadBounds(
            ...     weights={"slow": 0.5},
            ...     mean_multiple=6.0,
            ...     active_multiple=4.0,
            ...     extra=2.0,
            ...     active_extra=2.0,
            ...     cap=10.0,
            ... )
            >>> bounds.bound("s-1"), bounds.bound("slow")
            (8.0, 5.0)
        """
        weight = self.weights.get(name, 1.0)
        bound = max(
            weight * self.mean_multiple + self.extra,
            weight * self.active_multiple + self.active_extra,
        )
        return min(bound, self.cap)

    def excess(self, name: str, load: float) -> tuple[bool, float]:
        """Returns a sort key for servers that are all at their bounds.

        Args:
            name: The server.
            load: Its load, in requests.

        Returns:
            Whether one more request exceeds the cap, and the load including it
            divided by what the server sustains.
        """
        return load + 1 > self.cap, (load + 1) / self.weights.get(name, 1.0)
