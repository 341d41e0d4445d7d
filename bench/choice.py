"""What one choice of a server costs, by the number of a service's servers.

For servers that report three figures and for those that report a slowdown as
well, and for requests with and without shared prompt parts. Each choice is
followed by the load report that the response brings, as in an instance.
"""

from __future__ import annotations

import random
import time

from irisshelf.catalog import directory
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice

_SERVERS = (48, 300, 1200)
_SLOWDOWNS = (None, 1.5)
_DATA_CENTRES = 4
_PROMPTS = 200
_CHOICES = 400
# The first choices fill caches and rankings.
_LEFT_OUT = 100
_PER_S = 100.0


def measure() -> dict[str, float | None]:
    """Returns the median processor time of a choice in microseconds."""
    figures: dict[str, float | None] = {}
    for count in _SERVERS:
        for slowdown in _SLOWDOWNS:
            for shared in (False, True):
                reports = "three" if slowdown is None else "slowdown"
                kind = "shared" if shared else "plain"
                figures[f"choice_us_{count}_{reports}_{kind}"] = _median_us(
                    count, slowdown, shared=shared
                )
    return figures


def _median_us(count: int, slowdown: float | None, *, shared: bool) -> float:
    rng = random.Random(1)
    servers = [
        directory.BackendServer(
            server_id=f"s{number}",
            service="engine",
            address=f"127.0.0.1:{10_000 + number}",
            data_centre=f"dc{number % _DATA_CENTRES}",
            slots=16,
        )
        for number in range(count)
    ]
    chooser = server_choice.Chooser(data_centre="dc0", rng=random.Random(2))
    reported = {} if slowdown is None else {"slowdown": slowdown}
    now = 0.0
    for server in servers:
        chooser.stats.record_load_report(
            server.server_id, work=rng.randint(0, 8), at_s=now, **reported
        )
    taken = []
    for _ in range(_CHOICES):
        now += 1 / _PER_S
        requested = _prompt(rng) if shared else prompt.Prompt()
        began = time.process_time_ns()
        choice = chooser.choose(
            servers, requested, avoid=frozenset(), now=now, sources=servers
        )
        taken.append((time.process_time_ns() - began) / 1000)
        name = choice.server.server_id
        chooser.stats.record_start(name, now)
        chooser.stats.record_end(name, now)
        chooser.stats.record_load_report(
            name, work=rng.randint(0, 8), at_s=now, **reported
        )
    counted = sorted(taken[_LEFT_OUT:])
    return counted[len(counted) // 2]


def _prompt(rng: random.Random) -> prompt.Prompt:
    number = int(rng.paretovariate(0.8)) % _PROMPTS
    return prompt.Prompt(
        parts=(
            prompt.Part(part_id=f"system-{number % 7}", tokens=3000),
            prompt.Part(part_id=f"document-{number}", tokens=6000),
            prompt.Part(part_id=f"own-{rng.getrandbits(60)}", tokens=100),
        ),
        max_answer_tokens=200,
    )
