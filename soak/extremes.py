"""What runs with extremes have in their configuration and at their servers."""

from __future__ import annotations

from typing import Any

from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world
from soak import observations

TIMEOUT_S = 12.0
OBJECTIVE_S = 2.5
OPEN_TARGET = "/open/1"
TARGETS = {
    observations.RequestKind.UNSAFE: "/report/1",
    observations.RequestKind.SAFE: "/lookup/1",
}


def add_to(document: dict[str, Any]) -> None:
    """Adds a public route, and routes whose requests may take long."""
    times = {
        "timeoutMs": int(TIMEOUT_S * 1000),
        "targetLatencyMs": int(OBJECTIVE_S * 1000),
    }
    document["routes"] += [
        world.route("/open/", "safe", "crew", public=True),
        world.route("/report/", "unsafe", "crew", **times),
        world.route("/lookup/", "safe", "crew", **times),
    ]


def extra_work_s(run: server.Run) -> float:
    """Returns how long a request takes, as its body says."""
    return float(run.body) if run.target in TARGETS.values() else 0.0
