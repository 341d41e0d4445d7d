"""Costs and errors of the demand that instances exchange.

In simulated time (``demand_network``): bytes a second of an instance and of the
leader of a data centre, sent and received with IP and UDP headers; computing
time; the errors of all instances' estimates one second after steps in load, by
the rate of requests and the share of lost datagrams; the time until the demand
of instances that ended is no longer counted.
"""

from __future__ import annotations

import statistics
import time

from irisshelf.overload import meter
from irisshelf.testing import demand_network

# Instances, data centres, requests per second.
_FLEETS = ((8, 2, 300), (8, 2, 1500), (64, 4, 300), (64, 4, 2000))
_LARGE_FLEET = (400, 14, 4000)
_LOSSES = (0.0, 0.1)
_SETTLE_S = 4.0
_MEASURED_S = 5.0
_STEP = 3.2
_STEPS = 8
_STEPS_LARGE = 2
_TOLERANCE = 0.15
# Between two steps, so that they meet the cycles at other phases.
_PHASE_S = 2.13
_ADDS = 20_000


def measure() -> dict[str, float | None]:
    """Returns bytes, computing time, and errors."""
    figures: dict[str, float | None] = {"demand_record_us": _record_us()}
    for size, data_centres, per_s in (*_FLEETS, _LARGE_FLEET):
        large = size == _LARGE_FLEET[0]
        label = f"demand_{size}_at_{per_s}"
        figures |= _costs(label, size, data_centres, per_s)
        for loss in _LOSSES:
            errors = _errors(
                size,
                data_centres,
                per_s,
                loss=loss,
                steps=_STEPS_LARGE if large else _STEPS,
            )
            within = sum(error < _TOLERANCE for error in errors) / len(errors)
            name = f"{label}_loss_{loss:.1f}"
            figures[f"{name}_median_error"] = statistics.median(errors)
            figures[f"{name}_within_15_percent"] = within
    return figures


def _network(
    size: int, data_centres: int, per_s: float, *, loss: float = 0.0
) -> demand_network.Network:
    names = demand_network.make_names(size, data_centres)
    net = demand_network.Network(names, loss=loss)
    net.per_s = per_s
    net.run(_SETTLE_S)
    return net


def _costs(
    label: str, size: int, data_centres: int, per_s: float
) -> dict[str, float | None]:
    net = _network(size, data_centres, per_s)
    for counter in (net.sent, net.received, net.cpu_s):
        counter.clear()
    net.run(_MEASURED_S)
    leaders = {
        net.leaders(data_centre)[0]
        for data_centre in {m.data_centre for m in net.members.values()}
    }
    bytes_per_s = {
        name: (net.sent[name] + net.received[name]) / _MEASURED_S
        for name in net.members
    }
    cpu = {name: net.cpu_s[name] / _MEASURED_S for name in net.members}
    others = net.members.keys() - leaders
    return {
        f"{label}_bytes_per_s": statistics.mean(map(bytes_per_s.get, others)),
        f"{label}_bytes_per_s_max": max(map(bytes_per_s.get, others)),
        f"{label}_leader_bytes_per_s_max": max(map(bytes_per_s.get, leaders)),
        f"{label}_cpu_percent": 100 * statistics.mean(map(cpu.get, others)),
        f"{label}_leader_cpu_percent_max": 100 * max(map(cpu.get, leaders)),
    }


def _errors(
    size: int, data_centres: int, per_s: float, *, loss: float, steps: int
) -> list[float]:
    """Returns the relative errors one second after steps, of all instances."""
    net = _network(size, data_centres, per_s / _STEP, loss=loss)
    errors = []
    for number in range(steps):
        net.per_s = per_s / _STEP if number % 2 else per_s
        net.run(1.0)
        errors += [abs(e / net.true_slots - 1) for e in net.estimates()]
        net.run(_PHASE_S)
    return errors


def _record_us() -> float:
    """Returns the computing time of all records of a request, in us."""
    measured = meter.DemandMeter()
    began_s = time.process_time()
    for number in range(_ADDS):
        now_s = number / 500
        measured.record_arrival("s", 1, b"abc", now_s)
        measured.record_admitted("s", 1, now_s)
        measured.record_begun("s", 1, now_s, in_time=True)
        measured.record_slot_time("s", 1, 0.25)
    return (time.process_time() - began_s) / _ADDS * 1e6


if __name__ == "__main__":
    for name, value in measure().items():
        print(f"{name}: {value:.4g}")
