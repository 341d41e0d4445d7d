"""The bound where each router sees a sliver: one region of the coming size.

67 routers, a sixth of 400, before 500 engines, a third of what they would have
(1,550), so that the run stays short: the sliver of an engine's load that each
router sees, a 67th, is that of the full region, and so is the number of
requests in flight an engine at the letter's peak.
"""

from __future__ import annotations

import multiprocessing

from bench.routing import baselines
from bench.routing import ours
from bench.routing import scenarios
from bench.routing import simulation
from bench.routing import workloads

ENGINES = 500
ROUTERS = 67
DURATION_S = 60.0
SCALE = 10.4
SEED = 3
_NAMES = (
    "ours",
    "no owners, reports",
    "no owners, own sends",
    "consistent hash",
)


def _policy(name: str) -> simulation.Policy:
    fleet = {"count": ENGINES, "routers": ROUTERS, "seed": SEED}
    if name == "ours":
        return ours.Owned(name=name, cfg=ours.config(), **fleet)
    if name == "no owners, reports":
        cfg = ours.config(use_reports=True)
        return ours.Direct(name=name, cfg=cfg, **fleet)
    if name == "no owners, own sends":
        return ours.Direct(name=name, cfg=ours.config(), **fleet)
    return baselines.ConsistentHash(**fleet)


def run(name: str) -> simulation.Result:
    """Runs one policy on Kanu's workload with reports 1 s apart."""
    scenario = scenarios.Scenario(name="sliver")
    arrivals = workloads.arrivals(
        workloads.KANU,
        seed=SEED,
        duration_s=DURATION_S,
        scale=SCALE,
        surge=False,
    )
    sim = simulation.Simulation(
        policy=_policy(name),
        arrivals=arrivals,
        scenario=scenario,
        count=ENGINES,
        routers=ROUTERS,
        load_bound=1.25,
        seed=SEED,
        duration_s=DURATION_S,
        count_sends=False,
    )
    return sim.run()


def measure() -> dict[str, float]:
    """Prints a table and returns the figures of the last line."""
    with multiprocessing.Pool(len(_NAMES)) as pool:
        results = pool.map(run, _NAMES, chunksize=1)
    for found in results:
        print(
            f"{found.policy:24} broken {found.bound_broken:.4f}"
            f" strict {found.bound_broken_strict:.3f} skew {found.skew:.2f}"
            f" reuse {found.reuse:.3f} n {found.requests}"
        )
    mine, _, sliver, plain = results
    return {
        "bound_broken_sliver_fleet": mine.bound_broken,
        "bound_broken_sliver_fleet_own_sends": sliver.bound_broken,
        "skew_sliver_fleet": mine.skew,
        "skew_sliver_fleet_consistent_hash": plain.skew,
    }
