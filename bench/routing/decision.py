"""What one decision costs, and what a router's memory holds."""

from __future__ import annotations

import random
import time
import tracemalloc

from irisshelf.routing.owned import context
from irisshelf.routing.owned import placement
from irisshelf.routing.owned import ranking

LARGE = 9_300
SMALL = 48
OWNED = 24
DECISIONS = 20_000
CHATS = 3_400_000
ROUTERS = 400
_HISTORIES = 500


def _placer(count: int, owned: int) -> placement.Placer:
    placer = placement.Placer(
        cfg=placement.Config(),
        members=[ranking.Member(name=f"e{i}") for i in range(count)],
        rng=random.Random(1),
    )
    placer.set_owned(range(min(owned, count)))
    placer.set_remote_totals(
        placement.WorkTotals(
            work=1000.0 * (count - owned), engines=count - owned
        )
    )
    return placer


def _context(rng: random.Random) -> context.Context:
    history = int(rng.paretovariate(0.8)) % _HISTORIES
    return context.Context(
        shared_key=context.hash64(b"h", history.to_bytes(4, "big")),
        chat_key=rng.getrandbits(64),
        shared_tokens=4000,
        chat_tokens=500,
        new_tokens=100,
        decode_tokens=200,
    )


def decisions_us(count: int) -> list[float]:
    """Times decisions: entry and, where the engine is owned, placement.

    Returns:
        Microseconds of each, sorted; the first tenth, which fills rankings,
        is left out.
    """
    placer = _placer(count, OWNED)
    rng = random.Random(2)
    contexts = [_context(rng) for _ in range(DECISIONS)]
    taken = []
    now = 0.0
    for ctx in contexts:
        now += 0.05
        began = time.perf_counter_ns()
        placer.record_arrival(ctx, now)
        placer.preferred_engine(ctx)
        placed = placer.place(ctx, may_forward=True)
        taken.append((time.perf_counter_ns() - began) / 1000)
        if isinstance(placed, placement.Placement):
            placer.record_sent(ctx, placed, now)
            placer.record_end(placed.engine, placed.work, now)
    return sorted(taken[DECISIONS // 10 :])


def memory_mb() -> float:
    """Returns the memory of one router's placer for 3.4 million chats.

    Each router sees its sliver of chats; it keeps rankings, cache views of
    its engines and displaced chats, all bounded.
    """
    tracemalloc.start()
    placer = _placer(LARGE, OWNED)
    rng = random.Random(3)
    seen = CHATS // ROUTERS
    for i in range(seen * 2):
        ctx = _context(rng)
        placer.record_arrival(ctx, i * 0.05)
        placer.preferred_engine(ctx)
        placed = placer.place(ctx, may_forward=True)
        if isinstance(placed, placement.Placement):
            placer.record_sent(ctx, placed, i * 0.05)
            placer.record_end(placed.engine, placed.work, i * 0.05)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1e6


def measure() -> dict[str, float]:
    """Returns the figures of the last line."""
    small = decisions_us(SMALL)
    large = decisions_us(LARGE)
    middle = len(large) // 2
    return {
        "decision_us_p50": large[middle],
        "decision_us_p99": large[int(len(large) * 0.99)],
        "decision_cost_slope": large[middle] / small[len(small) // 2],
        "router_memory_mb_3_4m_chats": memory_mb(),
    }
