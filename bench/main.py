"""``make bench``: tables, pictures and, last, one JSON line."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from bench import bundle
from bench import chart
from bench import claims
from bench import gossip
from bench import relay
from bench import rollout
from bench.routing import decision
from bench.routing import fleet
from bench.routing import run
from bench.routing import workloads


def main() -> None:
    """Measures everything, one part after the other."""
    parts: dict[str, Callable[[], dict[str, float]]] = {
        "charts": chart.measure,
        "bundle": bundle.measure,
        "decisions": decision.measure,
        "relay": relay.measure,
        "claims": claims.measure,
        "rollout": rollout.measure,
        "routing": _routing,
        "routing at 400": fleet.measure,
        "exchange": gossip.measure,
    }
    figures: dict[str, float] = {}
    for name, measure in parts.items():
        began = time.monotonic()
        print(f"== {name}", flush=True)
        found = measure()
        figures |= found
        rounded = {key: round(value, 4) for key, value in found.items()}
        print(f"{rounded}\n   {time.monotonic() - began:.0f} s", flush=True)
    print(json.dumps({k: round(v, 4) for k, v in figures.items()}))


def _routing() -> dict[str, float]:
    results = run.run_all()
    figures: dict[str, float] = {}
    for workload in workloads.SHAPES:
        print(run.table(results, workload), flush=True)
        figures |= run.summary(results, workload)
    run.plot(results)
    return figures


if __name__ == "__main__":
    main()
