"""What it costs an instance to decode what the store tells.

A configuration is decoded on the loop, beside the requests, at each version;
the list of servers at each start. Both are worst at the smallest instance,
which has half of one core.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from collections.abc import Callable

from irisshelf.platform import documents
from irisshelf.platform.stand_in import world

_ROUTES = (100, 400, 1600, 6400)
_SERVERS = 1200
_RUNS = 15


def measure() -> dict[str, float | None]:
    """Returns milliseconds, kilobytes transferred and memory taken."""
    figures: dict[str, float | None] = {}
    for count in _ROUTES:
        data = _configuration(count)
        name = f"catalog_{count}_routes"
        figures[f"{name}_ms"] = _best_ms(lambda d=data: documents.catalog(d))
        # The store encodes it in base64.
        figures[f"{name}_kb"] = len(data) * 4 / 3 / 1000
        figures[f"{name}_memory_kb"] = _memory_kb(
            lambda d=data: documents.catalog(d)
        )
    entries = [_entry(number) for number in range(_SERVERS)]
    figures[f"list_{_SERVERS}_servers_ms"] = _best_ms(
        lambda: [documents.server(key, data) for key, data in entries]
    )
    return figures


def _configuration(count: int) -> bytes:
    routes = [
        world.route(f"/route-{number:06d}/", "safe", "crew")
        for number in range(count)
    ]
    return json.dumps(world.config(1, routes=routes)).encode()


def _entry(number: int) -> tuple[str, bytes]:
    document = {
        "service": "lm",
        "address": f"10.1.{number % 250}.{number % 200 + 1}:8060",
        "zone": "a",
        "version": 1,
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": number,
        "born": 1_786_503_869_131 + number,
    }
    return f"i-{number:010x}", json.dumps(document).encode()


def _best_ms(act: Callable[[], object]) -> float:
    """The shortest of some runs: what else the machine does only adds."""
    spans = []
    for _ in range(_RUNS):
        began = time.perf_counter()
        act()
        spans.append(time.perf_counter() - began)
    return min(spans) * 1000


def _memory_kb(make: Callable[[], object]) -> float:
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000
