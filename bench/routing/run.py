"""Runs all policies on all workloads and scenarios; prints and plots."""

from __future__ import annotations

import dataclasses
import multiprocessing
import pathlib
from collections.abc import Callable
from typing import Any

from bench.routing import baselines
from bench.routing import ours
from bench.routing import scenarios
from bench.routing import simulation
from bench.routing import workloads

ENGINES = 48
ROUTERS = 6
LOAD_BOUND = 1.25
DURATION_S = 240.0
SEED = 1
PROCESSES = 8
KEEPS_BOUND = 0.01  # A baseline keeps the bound if it breaks it less often.
RESULTS = pathlib.Path(__file__).parent.parent / "results"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One run to make."""

    workload: str
    scenario: str
    policy: str


def _owned(name: str, **kwargs: Any) -> Callable[..., ours.Owned]:
    switches = {k: v for k, v in kwargs.items() if k not in ("use_full",)}
    rest = {k: v for k, v in kwargs.items() if k == "use_full"}

    def make(**fleet: Any) -> ours.Owned:
        return ours.Owned(
            name=name, cfg=ours.config(**switches), **rest, **fleet
        )

    return make


def _direct(name: str, **switches: Any) -> Callable[..., ours.Direct]:
    def make(**fleet: Any) -> ours.Direct:
        return ours.Direct(name=name, cfg=ours.config(**switches), **fleet)

    return make


OURS = "ours"
POLICIES: dict[str, Callable] = {
    **{cls.name: cls for cls in baselines.BASELINES},
    OURS: _owned(OURS),
    "no owners, reports": _direct("no owners, reports", use_reports=True),
    "no owners, own sends": _direct("no owners, own sends"),
    "no cache view": _owned("no cache view", use_cache_view=False),
    "no displaced chats": _owned("no displaced chats", use_displaced=False),
    "one home": _owned("one home", spread=0.0),
    "no margin": _owned("no margin", margin=0.0),
    "no full list": _owned("no full list", use_full=False),
    "with reports": _owned("with reports", use_reports=True),
}
BASELINE_NAMES = tuple(
    cls.name for cls in baselines.BASELINES if cls is not baselines.Oracle
)


def run_case(case: Case) -> tuple[Case, simulation.Result]:
    """Makes one run."""
    scenario = next(s for s in scenarios.SCENARIOS if s.name == case.scenario)
    arrivals = workloads.arrivals(
        workloads.SHAPES[case.workload],
        seed=SEED,
        duration_s=DURATION_S,
        scale=ENGINES / 48,
        surge=scenario.surge,
    )
    policy = POLICIES[case.policy](count=ENGINES, routers=ROUTERS, seed=SEED)
    sim = simulation.Simulation(
        policy=policy,
        arrivals=arrivals,
        scenario=scenario,
        count=ENGINES,
        routers=ROUTERS,
        load_bound=LOAD_BOUND,
        seed=SEED + 1,
        duration_s=DURATION_S,
    )
    return case, sim.run()


Results = dict[tuple[str, str, str], simulation.Result]


def run_all() -> Results:
    """Makes all runs, some at a time."""
    cases = [
        Case(workload=workload, scenario=scenario.name, policy=policy)
        for workload in workloads.SHAPES
        for scenario in scenarios.SCENARIOS
        for policy in POLICIES
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
        done = pool.map(run_case, cases, chunksize=1)
    return {(c.workload, c.scenario, c.policy): found for c, found in done}


def table(results: Results, workload: str) -> str:
    """Returns a readable table for one workload."""
    lines = [
        f"{workload}: {ENGINES} engines, {ROUTERS} routers",
        f"{'scenario':9}{'policy':24}{'reuse':>7}{'broken':>9}"
        f"{'strict':>8}{'sends':>8}{'skew':>6}{'p99 s':>7}",
    ]
    for scenario in scenarios.SCENARIOS:
        for policy in POLICIES:
            found = results[workload, scenario.name, policy]
            lines.append(
                f"{scenario.name:9}{policy:24}{found.reuse:7.3f}"
                f"{found.bound_broken:9.4f}{found.bound_broken_strict:8.3f}"
                f"{found.sends_over:8.4f}{found.skew:6.2f}"
                f"{found.wait_p99_s:7.2f}"
            )
    return "\n".join(lines)


def summary(results: Results, workload: str) -> dict[str, float | None]:
    """Returns the figures of the last line for one workload.

    ``reuse_vs_best_baseline`` is None if no baseline keeps the bound in any
    scenario; ``reuse_vs_any_baseline`` compares with all of them.
    """
    reuse, best, anyone, broken, skew, wait = [], [], [], [], [], []
    for scenario in scenarios.SCENARIOS:
        mine = results[workload, scenario.name, OURS]
        oracle = results[workload, scenario.name, baselines.Oracle.name]
        others = [
            results[workload, scenario.name, name] for name in BASELINE_NAMES
        ]
        keeping = [o.reuse for o in others if o.bound_broken < KEEPS_BOUND]
        reuse.append(mine.reuse / oracle.reuse)
        if keeping:
            best.append(mine.reuse / max(keeping))
        anyone.append(mine.reuse / max(o.reuse for o in others))
        broken.append(mine.bound_broken)
        skew.append(mine.skew)
        wait.append(mine.wait_p99_s / max(1e-9, oracle.wait_p99_s))
    return {
        f"reuse_vs_oracle_{workload}": min(reuse),
        f"reuse_vs_best_baseline_{workload}": min(best, default=None),
        f"reuse_vs_any_baseline_{workload}": min(anyone),
        f"bound_broken_{workload}": max(broken),
        f"skew_max_over_mean_{workload}": max(skew),
        f"wait_p99_vs_oracle_{workload}": max(wait),
    }


def plot(results: Results) -> None:
    """Writes reuse against skew, a point a policy, scenario ``all``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(workloads.SHAPES), figsize=(13, 6))
    for axis, workload in zip(axes, workloads.SHAPES, strict=True):
        for policy in POLICIES:
            found = results[workload, "all", policy]
            own = policy not in BASELINE_NAMES and policy != "oracle"
            axis.scatter(found.skew, found.reuse, marker="o" if own else "x")
            axis.annotate(
                policy, (found.skew, found.reuse), fontsize=7, xytext=(4, 3),
                textcoords="offset points",
            )  # fmt: skip
        axis.set_title(f"{workload}, all faults at once")
        axis.set_xlabel("fullest engine over mean")
        axis.set_ylabel("share of prompt tokens found cached")
    figure.tight_layout()
    RESULTS.mkdir(exist_ok=True)
    figure.savefig(RESULTS / "routing.png", dpi=100)
