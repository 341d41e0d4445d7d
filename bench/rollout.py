"""How soon a bundle is in force, and a leaving server is left alone.

Real processes: three instances in three data centres. A server leaves by the
platform's list alone, which is the slowest way for instances to learn of it;
the time is counted from when the list shows it.
"""

from __future__ import annotations

import json
import pathlib
import tempfile
import time

import gevent

from irisshelf.testing.demo import fleets
from irisshelf.testing.demo import processes
from irisshelf.testing.demo import rig

_FLEET = fleets.small(
    instances=3, engines=(4, 4, 4), data_centres=("a", "b", "c")
)
_BUNDLES = 5
_LIST_LAG_S = 0.0
_CALLERS = 6
_LOAD_AFTER_S = 6.0
_LIMIT_S = 20.0


def measure() -> dict[str, float]:
    """Returns the figures of the last line."""
    with tempfile.TemporaryDirectory() as temporary:
        made = rig.Rig(
            fleet=_FLEET,
            folder=pathlib.Path(temporary),
            list_lag_s=_LIST_LAG_S,
        )
        try:
            made.start()
            return {
                "bundle_in_force_s_max": _in_force(made),
                "leaving_last_work_s_max": _leaving(made),
            }
        finally:
            made.stop()


def _in_force(made: rig.Rig) -> float:
    slowest = 0.0
    for number in range(2, 2 + _BUNDLES):
        made.submit(number=number, note=f"bundle {number}")
        began = time.monotonic()
        waiting = list(made.plan.instances)
        while waiting and time.monotonic() - began < _LIMIT_S:
            waiting = [i for i in waiting if made.bundle_of(i) < number]
            gevent.sleep(0.02)
        slowest = max(slowest, time.monotonic() - began)
    return slowest


def _leaving(made: rig.Rig) -> float:
    """Returns when the leaving server last started work, in seconds."""
    until_s = time.monotonic() + 2.0 + _LOAD_AFTER_S
    callers = [
        gevent.spawn(_ask, made, number, until_s) for number in range(_CALLERS)
    ]
    gevent.sleep(2.0)
    leaver = made.plan.servers[0]
    made.list_server(leaver, "leaving")
    left_s = time.time()
    gevent.joinall(callers)
    runs = processes.call(leaver.address, "/_runs", timeout_s=10)["runs"]
    last = max((run["started_s"] for run in runs), default=left_s)
    if not runs:
        raise RuntimeError("the leaving server never had work")
    return max(0.0, last - left_s)


def _ask(made: rig.Rig, caller: int, until_s: float) -> None:
    count = 0
    while time.monotonic() < until_s:
        count += 1
        instance = made.plan.instances[count % len(made.plan.instances)]
        made.ask(instance, f"c{caller}n{count}", 3)


if __name__ == "__main__":
    print(json.dumps(measure()))
