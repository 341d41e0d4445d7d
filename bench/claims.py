"""What a claim adds to a call, and how many writes a call costs."""

from __future__ import annotations

import random
import time

import gevent

from irisshelf.coordination import claim
from irisshelf.daemon import claims
from irisshelf.observe import metrics
from irisshelf.testing import platform as fake_platform

PLATFORM_DELAY_S = 0.005
CALLS = 2000
RATE_PER_S = 400.0  # On one instance; a surge, at which writes are shared.


def measure() -> dict[str, float]:
    """Returns the figures of the last line."""
    platform = fake_platform.FakePlatform(
        clock=time.monotonic, rng=random.Random(1), sleep=gevent.sleep
    )
    platform.faults = fake_platform.Faults(delay_s=PLATFORM_DELAY_S)
    writer = claims.ClaimWriter(platform=platform, counts=metrics.Metrics())
    loops = [gevent.spawn(writer.run), gevent.spawn(writer.run_records)]
    rng = random.Random(2)
    taken: list[float] = []

    def one(number: int) -> None:
        began = time.perf_counter()
        granted = writer.claim(f"claims/{number}")
        taken.append(time.perf_counter() - began)
        recorded = claim.RecordedOutcome(status=200, content_type="x", body="y")
        writer.record(granted, recorded)

    calls = []
    for number in range(CALLS):
        calls.append(gevent.spawn(one, number))
        gevent.sleep(rng.expovariate(RATE_PER_S))
    gevent.joinall(calls)
    gevent.sleep(2.5)  # The last outcomes are written.
    gevent.killall(loops)
    taken.sort()
    return {
        "claim_added_ms_p50": taken[CALLS // 2] * 1e3,
        "claim_added_ms_p99": taken[int(CALLS * 0.99)] * 1e3,
        "claim_writes_per_request": writer.writes / CALLS,
    }
