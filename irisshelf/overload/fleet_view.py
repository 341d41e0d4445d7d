"""What admission asks about the fleet's demand, and an instance without it."""

from __future__ import annotations

from typing import Protocol

from irisshelf.overload import demand as demand_module


class FleetView(Protocol):
    """Demand and capacity of the fleet, as an instance knows them."""

    def service(self, name: str) -> demand_module.ServiceDemand:
        """Returns the demand for a service."""

    def capacity_slots(self, name: str) -> float:
        """Returns the available capacity of a service, in slots."""

    def in_effect(self, service: str) -> bool:
        """Tells whether a service's requests are admitted by fleet demand."""


class NoFleetView:
    """An instance that decides by what it observes itself."""

    def service(self, name: str) -> demand_module.ServiceDemand:
        """Returns no demand."""
        del name  # Nothing is known of any service.
        return demand_module.ServiceDemand()

    def capacity_slots(self, name: str) -> float:
        """Returns no capacity."""
        del name  # Nothing is known of any service.
        return 0.0

    def in_effect(self, service: str) -> bool:
        """Returns that no service is admitted by fleet demand."""
        del service  # The same for all.
        return False
