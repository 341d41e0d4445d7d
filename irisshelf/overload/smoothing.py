"""Smooths successive estimates of demand, unless the demand has changed.

An estimate over ``meter.WINDOW_S`` of 300 requests a second has a standard
error of 10 percent, as requests arrive at random. The mean of the last two
estimates, each weighted by half as much as the later one, has a smaller error,
but reaches a new level late. It is therefore used only while the difference is
one that chance explains.
"""

from __future__ import annotations

import math

from irisshelf.overload import demand
from irisshelf.overload import meter

# Chance explains a difference of this many standard errors.
_STANDARD_ERRORS = 3.0
# A larger relative difference is taken for a change in any case, so that the
# error after a change stays below half of it.
_MAX_DIFFERENCE = 0.25
_LATEST_WEIGHT = 0.5
# A team that is no longer among those listed keeps half of its load with each
# estimate. Below this share of all load it is left out: the load is counted
# with that of the teams that are not listed. Without a limit, all teams that
# were ever listed would be kept while the demand does not change.
_MIN_TEAM_SHARE = 0.0005


def smooth(
    before: demand.ServiceDemand, latest: demand.ServiceDemand
) -> demand.ServiceDemand:
    """Returns the demand by the latest estimate and the result before it.

    Args:
        before: The result for the estimate before, which is half a second old.
        latest: The latest estimate.
    """
    if _has_changed(before, latest):
        return latest
    smoothed = _scale(before, 1 - _LATEST_WEIGHT) + _scale(
        latest, _LATEST_WEIGHT
    )
    return _without_smallest(smoothed, listed=latest)


def _has_changed(
    before: demand.ServiceDemand, latest: demand.ServiceDemand
) -> bool:
    offered = max(before.offered_slots, latest.offered_slots)
    count = meter.WINDOW_S * max(map(_requests_per_s, (before, latest)))
    if not offered or not count:
        return True
    relative = min(_STANDARD_ERRORS / math.sqrt(count), _MAX_DIFFERENCE)
    difference = abs(latest.offered_slots - before.offered_slots)
    return difference > relative * offered


def _requests_per_s(of_service: demand.ServiceDemand) -> float:
    return sum(
        rates.rejected_per_s + rates.begun_per_s
        for rates in of_service.by_priority.values()
    )


def _without_smallest(
    smoothed: demand.ServiceDemand, *, listed: demand.ServiceDemand
) -> demand.ServiceDemand:
    """Leaves out teams that are not listed and whose load has decayed."""
    least = _MIN_TEAM_SHARE * smoothed.offered_slots
    return demand.ServiceDemand(
        by_priority=smoothed.by_priority,
        by_team={
            group: offered
            for group, offered in smoothed.by_team.items()
            if offered >= least or group in listed.by_team
        },
    )


def _scale(
    of_service: demand.ServiceDemand, factor: float
) -> demand.ServiceDemand:
    return demand.ServiceDemand(
        by_priority={
            priority: demand.GroupRates(
                offered_slots=factor * rates.offered_slots,
                admitted_slots=factor * rates.admitted_slots,
                rejected_per_s=factor * rates.rejected_per_s,
                begun_per_s=factor * rates.begun_per_s,
                in_time_per_s=factor * rates.in_time_per_s,
            )
            for priority, rates in of_service.by_priority.items()
        },
        by_team={
            group: factor * offered
            for group, offered in of_service.by_team.items()
        },
    )
