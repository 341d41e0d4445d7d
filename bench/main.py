"""``make bench``: tables, pictures and, last, one JSON line."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from bench import bundle
from bench import chart
from bench import choice
from bench import claims
from bench import crash_parts
from bench import demand
from bench import documents
from bench import gossip
from bench import relay
from bench import relayed
from bench import returning
from bench import rollout
from bench import stream_origins
from bench import suspects
from bench.routing import decision
from bench.routing import fleet
from bench.routing import run
from bench.routing import workloads

Figures = dict[str, float | None]


def main() -> None:
    """Measures everything, one part after the other."""
    parts: dict[str, Callable[[], Figures]] = {
        "charts": chart.measure,
        "bundle": bundle.measure,
        "decisions": decision.measure,
        "choices": choice.measure,
        "relay": relay.measure,
        "relayed requests": relayed.measure,
        "claims": claims.measure,
        "documents": documents.measure,
        "suspects": suspects.measure,
        "crashing parts": crash_parts.measure,
        "demand": demand.measure,
        "returning callers": returning.measure,
        "stream origins": stream_origins.measure,
        "rollout": rollout.measure,
        "routing": _routing,
        "routing at 400": fleet.measure,
        "exchange": gossip.measure,
    }
    figures: Figures = {}
    for name, measure in parts.items():
        began = time.monotonic()
        print(f"== {name}", flush=True)
        found = measure()
        figures |= found
        print(
            f"{_rounded(found)}\n   {time.monotonic() - began:.0f} s",
            flush=True,
        )
    print(json.dumps(_rounded(figures)))


def _rounded(figures: Figures) -> Figures:
    return {
        name: None if value is None else round(value, 4)
        for name, value in figures.items()
    }


def _routing() -> Figures:
    results = run.run_all()
    figures: Figures = {}
    for workload in workloads.SHAPES:
        print(run.table(results, workload), flush=True)
        figures |= run.summary(results, workload)
    run.plot(results)
    return figures


if __name__ == "__main__":
    main()
