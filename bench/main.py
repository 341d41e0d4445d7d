"""``make bench``: tables, pictures and, last, one JSON line."""

from __future__ import annotations

import json

from bench.routing import decision
from bench.routing import run
from bench.routing import workloads


def main() -> None:
    """Measures everything."""
    figures: dict[str, float] = {}
    results = run.run_all()
    for workload in workloads.SHAPES:
        print(run.table(results, workload), flush=True)
        figures |= run.summary(results, workload)
    run.plot(results)
    figures |= decision.measure()
    rounded = {name: round(value, 4) for name, value in figures.items()}
    print(json.dumps(rounded))


if __name__ == "__main__":
    main()
