"""Admission control and retry budget of each service, at one instance."""

from __future__ import annotations

import collections
from collections.abc import Callable

from irisshelf.gateway import settings
from irisshelf.overload import admission
from irisshelf.overload import local_admission
from irisshelf.routing import retry_budget


class ServiceLimits:
    """What limits the requests and retries to each service.

    Args:
        current: Returns the settings in force.
        instance_count: Returns how many instances there are; None if it
            is not known.
    """

    def __init__(
        self,
        *,
        current: Callable[[], settings.Settings],
        instance_count: Callable[[], int | None],
    ):
        self._settings = current
        self._instance_count = instance_count
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._fleet_admissions: dict[str, admission.FleetAdmission] = {}
        self._overloads: dict[str, local_admission.AdmissionControl] = (
            collections.defaultdict(local_admission.AdmissionControl)
        )

    def overload(self, service: str) -> local_admission.AdmissionControl:
        """Returns the admission control of a service."""
        return self._overloads[service]

    def fleet_admission(self, service: str) -> admission.FleetAdmission:
        """Returns the admission control of a service by the fleet's demand."""
        found = self._fleet_admissions.get(service)
        if found is None:
            weights = self._settings().overload.team_weights
            found = admission.FleetAdmission(team_weights=weights)
            self._fleet_admissions[service] = found
        return found

    def reset_fleet_admission(self) -> None:
        """Makes changed weights of teams take effect."""
        self._fleet_admissions.clear()

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = retry_budget.RetryBudget(
                ratio=self._settings().bounds.retry_share
                * retry_budget.FLEET_SAFETY_FACTOR,
                slack=0.0,
                window_s=self._settings().bounds.retry_window_s,
            )
            self._budgets[service] = found
        found.slack = retry_budget.instance_slack(
            self._settings().bounds.retry_slack, self._instance_count()
        )
        return found
