"""Scenarios: what goes wrong while a workload runs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """One set of faults.

    Attributes:
        name: Its name.
        churn: Share of engines that leave, die or flap in a minute.
        surge: Whether a large and a small team surge to 10 times.
        list_lag_s: Most that a router's list of live engines lags.
        report_every_s: Time between an engine's load reports.
        report_lag_s: How late a report reaches routers.
    """

    name: str
    churn: float = 0.0
    surge: bool = False
    list_lag_s: float = 0.0
    report_every_s: float = 1.0
    report_lag_s: float = 0.1


SCENARIOS = (
    Scenario(name="calm"),
    Scenario(name="churn", churn=0.1),
    Scenario(name="surge", surge=True),
    Scenario(name="lists", churn=0.05, list_lag_s=5.0),
    Scenario(name="late", report_lag_s=2.0),
    Scenario(
        name="all", churn=0.1, surge=True, list_lag_s=5.0, report_lag_s=2.0
    ),
)
