"""Weighted max-min fair shares of a divisible capacity."""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from collections.abc import Mapping
from typing import TypeVar

_Key = TypeVar("_Key", bound=Hashable)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """What one claimant asks of the capacity.

    Attributes:
        demand: What it can use; its share is never more. Not negative.
        weight: Its weight; above 0.
        minimum: What it gets in any case, at most its demand.
    """

    demand: float
    weight: float = 1.0
    minimum: float = 0.0


def allocate(
    claims: Mapping[_Key, Claim], capacity: float
) -> dict[_Key, float]:
    """Divides a capacity among claimants.

    The shares are proportional to the weights, except that nobody gets more
    than its demand or less than its minimum. What a claimant does not use is
    thus lent to the others. The sum is the capacity, or the sum of the demands
    if that is less, or the sum of the minimums if that is more.

    Args:
        claims: Claims by claimant.
        capacity: What is divided, in the unit of the claims.

    Returns:
        The share of each claimant.

    Raises:
        ValueError: A claim is out of range.

    Example:
        >>> claims = {n: Claim(demand=d) for n, d in (("a", 1.0), ("b", 9.0))}
        >>> allocate(claims, 6.0)
        {'a': 1.0, 'b': 5.0}
    """
    for key, claim in claims.items():
        _check(key, claim)
    level = _level(claims, capacity)
    return {key: _share(claim, level) for key, claim in claims.items()}


def _share(claim: Claim, level: float) -> float:
    return max(claim.minimum, min(claim.demand, claim.weight * level))


def _level(claims: Mapping[_Key, Claim], capacity: float) -> float:
    """Returns the share per weight at which the capacity is used up.

    The sum of the shares is a piecewise linear function of the level. Its slope
    changes where a share leaves its minimum and where it reaches its demand.
    """
    used = sum(claim.minimum for claim in claims.values())
    changes: list[tuple[float, float]] = []
    for claim in claims.values():
        changes.append((claim.minimum / claim.weight, claim.weight))
        changes.append((claim.demand / claim.weight, -claim.weight))
    level = slope = 0.0
    for next_level, change in sorted(changes):
        added = slope * (next_level - level)
        if slope > 0 and used + added >= capacity:
            return level + max(0.0, capacity - used) / slope
        used += added
        level = next_level
        slope += change
    return level


def _check(key: Hashable, claim: Claim) -> None:
    if not claim.weight > 0:
        raise ValueError(
            f"weight of {key!r} is {claim.weight!r}, allowed: above 0"
        )
    if not 0 <= claim.minimum <= claim.demand:
        raise ValueError(
            f"minimum of {key!r} is {claim.minimum!r}, allowed: 0 to its"
            f" demand {claim.demand!r}"
        )
