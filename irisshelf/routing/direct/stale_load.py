"""Server selection by load reports of some age.

Between two reports of a server, requests of every instance end and arrive
there. If all instances send to the server with the lowest report, they raise
its load far above that of the others: the herd effect of stale load
information. There are two strategies:

- *reported*: the server with the lowest cost by its report and the requests
  sent by this instance since.
- *spread*: the requests that arrived since the reports are estimated and spread
  over the servers; the request goes to one of the servers with the lowest cost
  including them.

Other instances are assumed to distribute their requests like this one, weighted
by the requests that it has sent since the reports. The rest is assumed to go to
the cheapest servers until their cost reaches that of the next one.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections.abc import Mapping
from collections.abc import Sequence

# Weight of the distribution by cost, in requests of this instance.
_PRIOR_REQUESTS = 0.5
# Costs that differ by less than this share of a marginal cost count as equal.
_TOLERANCE = 1e-6


class Strategy(enum.StrEnum):
    """How a server is selected by load reports of some age."""

    REPORTED = "reported"
    SPREAD = "spread"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Cost of one more request at a server.

    Attributes:
        name: The server.
        cost: Cost at the known load, in any unit.
        marginal_cost: Added by each further request, in the same unit; above 0.
        known_requests: Requests known to be there, see
            ``server_state.LoadEstimate``.
        sent: Those of them that this instance has sent since the last report.
        ended: Requests that have ended since the report.
        sends_to_others: Requests that this instance has sent to other servers
            since the last one to this server; infinite if there was none.
    """

    name: str
    cost: float
    marginal_cost: float
    known_requests: float = 0.0
    sent: int = 0
    ended: float = 0.0
    sends_to_others: float = math.inf


def estimate_unreported(costs: Sequence[Cost]) -> float:
    """Estimates how many requests other instances sent since the reports.

    In a steady state as many requests arrive as end; the number sent by this
    instance is known.
    """
    return max(0.0, sum(one.ended - one.sent for one in costs))


def water_level(
    costs: Sequence[float], marginal_costs: Sequence[float], count: float
) -> float:
    """Returns the cost that servers reach with further requests.

    Each request goes to the cheapest server, like water that fills basins.

    Args:
        costs: Cost of one more request, by server; not empty.
        marginal_costs: Cost that each further request adds, by server.
        count: Number of further requests.

    Example:
        >>> water_level([1.0, 2.0], [1.0, 1.0], 3.0)
        3.0
    """
    ranked = sorted(zip(costs, marginal_costs, strict=True))
    reached, remaining, requests_per_cost = ranked[0][0], count, 0.0
    for cost, marginal_cost in ranked:
        needed = requests_per_cost * (cost - reached)
        if requests_per_cost and needed >= remaining:
            break
        remaining -= needed
        reached = cost
        requests_per_cost += 1 / marginal_cost
    return reached + remaining / requests_per_cost


def spread_unreported(costs: Sequence[Cost], count: float) -> dict[str, float]:
    """Estimates how many of the unreported requests each server has.

    Args:
        costs: By server; not empty.
        count: Number of requests of other instances that no report contains.
    """
    if not count:
        return dict.fromkeys((one.name for one in costs), 0.0)
    per_own_send = count / (sum(one.sent for one in costs) + _PRIOR_REQUESTS)
    raised = [
        one.cost + per_own_send * one.sent * one.marginal_cost for one in costs
    ]
    highest = water_level(
        raised,
        [one.marginal_cost for one in costs],
        per_own_send * _PRIOR_REQUESTS,
    )
    return {
        one.name: per_own_send * one.sent
        + max(0.0, (highest - cost) / one.marginal_cost)
        for one, cost in zip(costs, raised, strict=True)
    }


def choose(
    costs: Sequence[Cost], added: Mapping[str, float], rng: random.Random
) -> str:
    """Selects one of the servers with the lowest cost.

    Servers of equal cost take turns, which keeps their loads closer together
    than a random choice would: selected is the one that has been sent nothing
    for longest, relative to its capacity.

    Args:
        costs: By server; not empty.
        added: Estimated requests at each server beyond the known ones.
        rng: Breaks ties.

    Returns:
        The server's name.
    """
    totals = [one.cost + added[one.name] * one.marginal_cost for one in costs]
    least = min(totals)
    equal = [
        one
        for one, total in zip(costs, totals, strict=True)
        if total <= least + _TOLERANCE * one.marginal_cost
    ]
    return min(
        equal,
        key=lambda one: (
            -one.sends_to_others / one.marginal_cost,
            rng.random(),
        ),
    ).name
