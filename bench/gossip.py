"""The exchange between instances, at sizes from 6 to 400.

The real decision code of every instance, with in-memory links between that
delay and lose messages; virtual time. Processor time is the process's own,
divided by instances and virtual seconds; it covers deciding and encoding, not
sockets (``bench.relay`` and the demo measure real processes).
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import multiprocessing
import random
import time
import tracemalloc
from collections.abc import Callable

from irisshelf.coordination import gossip
from irisshelf.coordination import gossip_messages as messages
from irisshelf.coordination import token_bucket

PROCESSES = 4
SIZES = (6, 12, 25, 50, 100, 200, 400)
PER_DATA_CENTRE = 28
LEAST_DATA_CENTRES = 3
LOSS = 0.05
NEAR_S = 0.0005
FAR_S = 0.02
WARM_UP_S = 10.0
RUN_S = 30.0
PAUSE_SHARE = 0.02  # Share of instances that pause in a run.
PAUSE_S = 1.5
SERVICES = ("m1", "m2", "m3", "m4", "m5", "m6", "m7")
_STEP_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Slope:
    """What one size gave; bytes and share are for each instance."""

    size: int
    bytes_per_s: float
    cpu_share: float
    converge_s: float
    detect_dead_s: float
    false_suspicions_per_hour: float
    heal_s: float
    heal_peak_bytes_per_s: float


class Fleet:
    """Instances under virtual time.

    Args:
        size: Number of instances.
        seed: Of all random numbers.
        services: Services that each instance tells of.
    """

    def __init__(self, *, size: int, seed: int, services: int):
        self.now = 0.0
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        count = max(LEAST_DATA_CENTRES, -(-size // PER_DATA_CENTRE))
        self.place = {
            f"dc{i % count}-{i}": f"dc{i % count}" for i in range(size)
        }
        self.nodes = {
            name: gossip.Gossip(
                name=name,
                data_centre=place,
                incarnation=1,
                rng=random.Random(self._rng.random()),
                budget=token_bucket.TokenBucket(),
            )
            for name, place in self.place.items()
        }
        self.down: set[str] = set()
        self.paused: set[str] = set()
        self.cut: set[str] = set()  # Data centres cut off from the others.
        self.sent_bytes = 0
        self.sent_by: dict[str, int] = dict.fromkeys(self.nodes, 0)
        self._loads = tuple(
            messages.Load(service=s, work=4321.0, engines=24 // services)
            for s in SERVICES[:services]
        )
        for name, node in self.nodes.items():
            node.set_peers(
                [
                    gossip.Peer(name=n, data_centre=p)
                    for n, p in self.place.items()
                    if n != name
                ]
            )
            self.tell(name, 1)
            start = self._rng.uniform(0, gossip.TICK_S)
            self._at(start, lambda name=name: self._tick(name))

    def tell(self, name: str, head: int) -> None:
        """Sets what an instance says of itself."""
        self.nodes[name].set_local_state(
            now=self.now,
            loads=self._loads,
            leaving=False,
            head=messages.HeadHint(
                number=head, object_key=f"bundles/{head}-0123456789abcdef"
            ),
        )

    def run_until(self, until_s: float, stop: Callable[[], bool] | None = None):
        """Runs to a time, or until something holds; checked now and then."""
        check_s = self.now
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, act = heapq.heappop(self._heap)
            act()
            if stop is not None and self.now >= check_s:
                if stop():
                    return
                check_s = self.now + _STEP_S
        self.now = until_s

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at_s, next(self._order), act))

    def _tick(self, name: str) -> None:
        if name in self.down:
            return
        self._at(self.now + gossip.TICK_S, lambda: self._tick(name))
        if name in self.paused:
            return
        for outgoing in self.nodes[name].tick(self.now):
            self._send(name, outgoing.to, outgoing.message)

    def _send(self, sender: str, to: str, message: messages.Message) -> None:
        data = messages.encode(message)
        self.sent_bytes += len(data) + 8
        self.sent_by[sender] += len(data) + 8
        here, there = self.place[sender], self.place[to]
        if here != there and {here, there} & self.cut:
            return
        if self._rng.random() < LOSS:
            return
        delay = NEAR_S if here == there else FAR_S
        delay *= self._rng.uniform(0.5, 2.0)
        self._at(self.now + delay, lambda: self._arrive(sender, to, data))

    def _arrive(self, sender: str, to: str, data: bytes) -> None:
        if to in self.down:
            return
        if to in self.paused:
            self._at(self.now + 0.1, lambda: self._arrive(sender, to, data))
            return
        message = messages.decode(data).unwrap()
        answer = self.nodes[to].receive(message, self.now)
        if answer is not None:
            self._send(to, sender, answer)

    def observers(self, name: str) -> list[str]:
        """Returns the live instances of the same data centre."""
        return [
            other
            for other, place in self.place.items()
            if place == self.place[name]
            and other != name
            and other not in self.down
        ]


def measure_size(size: int, *, services: int = 2) -> Slope:
    """Measures one size."""
    fleet = Fleet(size=size, seed=size, services=services)
    fleet.run_until(WARM_UP_S)
    before = fleet.sent_bytes
    began = time.process_time()
    false = _false_suspicions(fleet, RUN_S)
    used = time.process_time() - began
    lasted = fleet.now - WARM_UP_S
    rate = (fleet.sent_bytes - before) / lasted / size
    converge = _converge(fleet)
    detect = _detect(fleet)
    heal, peak = _heal(fleet)
    return Slope(
        size=size,
        bytes_per_s=rate,
        cpu_share=used / lasted / size,
        converge_s=converge,
        detect_dead_s=detect,
        false_suspicions_per_hour=false * 3600 / lasted,
        heal_s=heal,
        heal_peak_bytes_per_s=peak,
    )


def _false_suspicions(fleet: Fleet, lasts_s: float) -> int:
    """Counts live instances that some observer took for dead.

    Meanwhile some instances pause for ``PAUSE_S``.
    """
    rng = random.Random(5)
    until_s = fleet.now + lasts_s
    names = list(fleet.nodes)
    pausing = max(1, round(PAUSE_SHARE * len(names)))
    suspected: set[tuple[str, str]] = set()
    while fleet.now < until_s:
        fleet.paused = set(rng.sample(names, pausing))
        fleet.run_until(fleet.now + PAUSE_S)
        fleet.paused = set()
        fleet.run_until(fleet.now + PAUSE_S)
        for name in names:
            for other in fleet.observers(name)[:6]:
                status = fleet.nodes[other].status(name, fleet.now)
                if status is messages.Status.DEAD:
                    suspected.add((other, name))
    return len({name for _, name in suspected})


def _converge(fleet: Fleet) -> float:
    """Returns the seconds until a head told to one is known to all."""
    began = fleet.now
    fleet.tell(next(iter(fleet.nodes)), 2)
    fleet.run_until(
        began + 60,
        lambda: all(n.head.number == 2 for n in fleet.nodes.values()),
    )
    return fleet.now - began


def _detect(fleet: Fleet) -> float:
    """Returns the seconds until all near ones take a dead one for dead."""
    victim = list(fleet.nodes)[-1]
    fleet.down.add(victim)
    began = fleet.now
    fleet.run_until(
        began + 30,
        lambda: all(
            fleet.nodes[o].status(victim, fleet.now) is messages.Status.DEAD
            for o in fleet.observers(victim)
        ),
    )
    return fleet.now - began


def _heal(fleet: Fleet) -> tuple[float, float]:
    """Cuts a data centre off, heals it, and waits until all know the news.

    Returns:
        Seconds until a head told meanwhile is known everywhere, and the most
        that one instance sent in a second after the cut.
    """
    fleet.cut = {"dc0"}
    fleet.run_until(fleet.now + 20)
    fleet.tell(next(n for n, p in fleet.place.items() if p != "dc0"), 3)
    fleet.run_until(fleet.now + 20)
    fleet.cut = set()
    began = fleet.now
    live = [n for n in fleet.nodes if n not in fleet.down]
    peak = 0.0
    healed = None
    while fleet.now < began + 15:
        before = dict(fleet.sent_by)
        fleet.run_until(fleet.now + 1.0)
        peak = max(peak, max(fleet.sent_by[n] - before[n] for n in live))
        known = all(fleet.nodes[n].head.number == 3 for n in live)
        if known and healed is None:
            healed = fleet.now - began
    return healed or float("inf"), peak


def all_to_all_bytes_per_s(size: int) -> float:
    """Returns what heartbeats to everybody would cost an instance.

    A baseline: the same short message to each other instance every tick.
    """
    node = next(iter(Fleet(size=3, seed=1, services=2).nodes.values()))
    message = node._probe_message(wants_reply=False)
    return (size - 1) * messages.size_of(message) / gossip.TICK_S


def memory_mb(size: int) -> float:
    """Returns the memory of one instance's exchange at a size."""
    tracemalloc.start()
    fleet = Fleet(size=size, seed=1, services=7)
    fleet.run_until(5.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / size / 1e6


def measure() -> dict[str, float]:
    """Prints a table and returns the figures of the last line."""
    print(
        f"{'size':>5}{'B/s':>8}{'all-to-all':>12}{'cpu %':>8}"
        f"{'converge':>10}{'detect':>8}"
        f"{'false/h':>9}{'heal s':>8}{'peak B/s':>10}"
    )
    with multiprocessing.Pool(PROCESSES) as pool:
        slopes = pool.map(measure_size, SIZES, chunksize=1)
    for found in slopes:
        print(
            f"{found.size:5}{found.bytes_per_s:8.0f}"
            f"{all_to_all_bytes_per_s(found.size):12.0f}"
            f"{found.cpu_share * 100:8.3f}"
            f"{found.converge_s:10.2f}{found.detect_dead_s:8.2f}"
            f"{found.false_suspicions_per_hour:9.1f}{found.heal_s:8.1f}"
            f"{found.heal_peak_bytes_per_s:10.0f}",
            flush=True,
        )
    last = slopes[-1]
    return {
        "control_bytes_per_s_per_node_400": last.bytes_per_s,
        "control_cpu_share_per_node_400": last.cpu_share,
        "gossip_mb_per_node_400": memory_mb(100) * 4,
        "converge_s_400": last.converge_s,
        "false_suspicions_per_hour_400": last.false_suspicions_per_hour,
        "detect_dead_s_400": last.detect_dead_s,
        "all_to_all_bytes_per_s_per_node_400": all_to_all_bytes_per_s(400),
        "heal_s_after_cut": last.heal_s,
        "heal_peak_bytes_per_s": last.heal_peak_bytes_per_s,
    }


if __name__ == "__main__":
    print(measure())
