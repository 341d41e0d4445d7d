"""Chooses by loads that were reported some time ago.

Between two reports of a server, requests end there and others come, from every
instance. Instances that all send to the server whose last report was lowest
raise its load together, far above that of the others: the herd effect of stale
load information. Two ways:

- *reported*: the server that costs least by its report and own sends since.
- *spread*: work that came since the reports is estimated and spread over the
  servers; the request goes to one of those that cost least with it.

Other instances are assumed to have sent as this one has, as far as it has sent
anything since the reports; and for the rest to the cheapest servers, until
these cost as much as the next.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections.abc import Mapping
from collections.abc import Sequence

# The spread by cost weighs as much as so many own requests.
_PRIOR = 0.5
# Costs that differ by less than this part of a request are equal.
_EQUAL = 1e-6


class Strategy(enum.StrEnum):
    """How a server is chosen by old reports."""

    REPORTED = "reported"
    SPREAD = "spread"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """What one more request costs at a server.

    Attributes:
        name: The server.
        cost: By the load that is known of, in any unit.
        step: What each further request adds, in the same unit; above 0.
        known: Requests that are known of, see ``server_book.Estimate``.
        sent: Of these, own ones that the server's report is too old for.
        ended: Requests that have ended since the report.
        elsewhere: Requests that this instance has sent to others since it sent
            one here; infinite if never.
    """

    name: str
    cost: float
    marginal_cost: float
    known_requests: float = 0.0
    sent: int = 0
    ended: float = 0.0
    sends_to_others: float = math.inf


def estimate_unreported(costs: Sequence[Cost]) -> float:
    """Estimates how many requests others have sent since the reports.

    In a steady state as many come as end; own ones are known.
    """
    return max(0.0, sum(one.ended - one.sent for one in costs))


def water_level(
    costs: Sequence[float], steps: Sequence[float], more: float
) -> float:
    """Returns the cost up to which further requests fill servers.

    Args:
        costs: What one more request costs, by server; not empty.
        steps: What each further one adds there.
        more: Number of the further requests.

    Example:
        >>> water_level([1.0, 2.0], [1.0, 1.0], 3.0)
        3.0
    """
    ranked = sorted(zip(costs, steps, strict=True))
    reached, left, taken_per_cost = ranked[0][0], more, 0.0
    for cost, step in ranked:
        needed = taken_per_cost * (cost - reached)
        if taken_per_cost and needed >= left:
            break
        left -= needed
        reached = cost
        taken_per_cost += 1 / step
    return reached + left / taken_per_cost


def spread_unreported(costs: Sequence[Cost], more: float) -> dict[str, float]:
    """Estimates how many of the unseen requests each server has got.

    Args:
        costs: By server; not empty.
        more: Requests of other instances that no report contains.
    """
    if not more:
        return dict.fromkeys((one.name for one in costs), 0.0)
    like_own = more / (sum(one.sent for one in costs) + _PRIOR)
    raised = [
        one.cost + like_own * one.sent * one.marginal_cost for one in costs
    ]
    highest = water_level(
        raised, [one.marginal_cost for one in costs], like_own * _PRIOR
    )
    return {
        one.name: like_own * one.sent
        + max(0.0, (highest - cost) / one.marginal_cost)
        for one, cost in zip(costs, raised, strict=True)
    }


def choose(
    costs: Sequence[Cost], added: Mapping[str, float], rng: random.Random
) -> str:
    """Chooses one of the servers that cost least.

    Equal ones take turns, which keeps their loads closer together than chance
    would: the one that was sent nothing for longest, for what it can do.

    Args:
        costs: By server; not empty.
        added: Requests that each has beyond the known ones.
        rng: Breaks ties.

    Returns:
        The server's name.
    """
    totals = [one.cost + added[one.name] * one.marginal_cost for one in costs]
    least = min(totals)
    equal = [
        one
        for one, total in zip(costs, totals, strict=True)
        if total <= least + _EQUAL * one.marginal_cost
    ]
    return min(
        equal,
        key=lambda one: (
            -one.sends_to_others / one.marginal_cost,
            rng.random(),
        ),
    ).name
