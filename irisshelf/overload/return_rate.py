"""The rate at which callers may return, by the demand of the fleet."""

from __future__ import annotations

from irisshelf.overload import demand as demand_module
from irisshelf.overload import quotas as quotas_module
from irisshelf.overload import returns


def rate_per_s(
    priority: int,
    *,
    quotas: quotas_module.Quotas,
    fleet: demand_module.ServiceDemand,
    own: demand_module.ServiceDemand,
    slot_time_s: float,
) -> float:
    """Returns one instance's part of the rate at which callers may return.

    The capacity that is allocated to a priority is what more urgent requests
    leave. Each instance uses its part of the fleet's rejections of it, so that
    all instances together assign as many reservations as there is capacity.

    Args:
        priority: The priority; 0 is the most urgent.
        quotas: The allocated capacity of the service.
        fleet: Demand of the fleet.
        own: The part of it that this instance receives.
        slot_time_s: Mean time for which a request of the priority occupies a
            slot, in seconds.

    Returns:
        Requests per second.
    """
    slots = quotas.slots_by_priority.get(priority, 0.0)
    if slots <= 0 or slot_time_s <= 0:
        return 0.0
    none = demand_module.GroupRates()
    rejected = own.by_priority.get(priority, none).rejected_per_s
    # The demand of the fleet is older than that of this instance.
    of_all = max(rejected, fleet.by_priority.get(priority, none).rejected_per_s)
    part = rejected / of_all if of_all > 0 else 1.0
    return returns.RETURN_SHARE * part * slots / slot_time_s
