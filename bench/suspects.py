"""What looking for requests that end servers costs each healthy request.

In microseconds, the shortest of some runs of many requests each; and the clock
that counts a sleep, beside the steady one that stood in its place.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from irisshelf import boottime
from irisshelf.catalog import model
from irisshelf.gateway import instance
from irisshelf.gateway import messages
from irisshelf.gateway import settings
from irisshelf.observe import decision_log
from irisshelf.platform import http_dialect
from irisshelf.routing import crash_evidence
from irisshelf.routing import fingerprints

_BODIES = (1_000, 64_000, 1_000_000)
_RUNS = 9
_NOWHERE = os.open(os.devnull, os.O_WRONLY)
_TIMES = 2000


def measure() -> dict[str, float | None]:
    """Returns microseconds a request, or a look at a clock."""
    figures: dict[str, float | None] = {
        "clock_steady_us": _best_us(time.monotonic),
        "clock_boottime_us": _best_us(boottime.now),
    }
    for size in _BODIES:
        job = _job(b"x" * size)
        inst = _instance()
        figures[f"suspects_none_{size}_b_us"] = _best_us(
            lambda i=inst, j=job: _serve(i, j)
        )
        end = crash_evidence.ServerCrash(server_key=b"other", at_s=inst.now())
        inst.crash_tracker.suspects.record_crash(
            b"another content.", end, inst.now()
        )
        figures[f"suspects_others_{size}_b_us"] = _best_us(
            lambda i=inst, j=job: _serve(i, j)
        )
        figures[f"suspects_alike_{size}_b_us"] = _best_us(
            lambda j=job: fingerprints.request_fingerprint(
                j.team, j.inbound.method, j.inbound.target, j.inbound.body
            ),
            times=_TIMES * 1000 // size,
        )
    return figures


def _serve(inst: instance.Instance, job: messages.Job) -> None:
    inst.log_suspend()
    inst.suspect_requests.verdict(job)
    inst.crash_tracker.record_success(job)


def _instance() -> instance.Instance:
    cfg = settings.Settings(
        instance="entry-1",
        data_centre="a",
        listen=settings.Listen(front="", ready="", metrics="", peers=""),
        store="",
    )
    return instance.Instance(
        cfg=cfg,
        dialect=http_dialect.HttpDialect(),
        log=decision_log.DecisionLog(instance="entry-1", fd=_NOWHERE),
        rng=None,
    )


def _job(body: bytes) -> messages.Job:
    inbound = messages.InboundRequest(
        method="POST",
        target="/lezi911/2f",
        headers=(),
        body=body,
        has_body=True,
        arrived_s=0.0,
    )
    return messages.Job(
        inbound=inbound,
        head=messages.RequestHead(request_id="r", host="h", path="/lezi911/2f"),
        route=model.Route(
            name="r",
            host="h",
            path_prefix="/lezi911/",
            kind=model.RouteKind.SAFE,
            timeout_s=1.0,
            latency_target_s=0.2,
            split=(),
        ),
        service="s",
        team="blue",
        priority=1,
        version=1,
        deadline_s=1.0,
    )


def _best_us(act: Callable[[], object], *, times: int = _TIMES) -> float:
    """The shortest of some runs: what else the machine does only adds."""
    spans = []
    for _ in range(_RUNS):
        began = time.perf_counter()
        for _ in range(times):
            act()
        spans.append((time.perf_counter() - began) / times * 1e6)
    return min(spans)
