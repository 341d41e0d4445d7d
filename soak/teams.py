"""Teams and routes of callers that send more than the servers can process."""

from __future__ import annotations

from typing import Any

from irisshelf.platform.stand_in import world

# Share of each team in the requests under normal load, and the one that surges.
SHARES = {"amber": 4, "birch": 3, "cedar": 3, "dune": 2, "elm": 2}
SURGING = "dune"
# Share of each priority in the requests.
PRIORITIES = {0: 0.3, 1: 0.3, 2: 0.4}
OBJECTIVE_S = 0.6
# Deadline of streams that are read slowly.
SLOW_DEADLINE_S = 8.0
SLOW_TARGET = "/slow/1"


def key_of(team: str) -> str:
    """Returns the API key of a team."""
    return f"key-of-{team}"


def target_of(priority: int, *, safe: bool) -> str:
    """Returns the path of requests of a priority."""
    return f"/{'look' if safe else 'load'}{priority}/1"


def add_to(document: dict[str, Any]) -> None:
    """Adds the teams and their routes to a configuration."""
    document["tenants"] = [
        *document["tenants"],
        *({"name": team, "apiKeys": [key_of(team)]} for team in SHARES),
    ]
    objective_ms = int(OBJECTIVE_S * 1000)
    for priority in PRIORITIES:
        for safe in (False, True):
            prefix = target_of(priority, safe=safe).removesuffix("1")
            document["routes"].append(
                world.route(
                    prefix,
                    "safe" if safe else "unsafe",
                    "crew",
                    priority=priority,
                    targetLatencyMs=objective_ms,
                )
            )
    document["routes"].append(
        world.route(
            SLOW_TARGET.removesuffix("1"),
            "streaming",
            "lm",
            timeoutMs=int(SLOW_DEADLINE_S * 1000),
            maxAttempts=1,
        )
    )
