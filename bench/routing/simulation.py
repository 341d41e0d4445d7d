"""Runs one policy on one workload under one scenario."""

from __future__ import annotations

import collections
import dataclasses
import enum
import heapq
import random
from collections.abc import Sequence
from typing import Protocol

from bench.routing import engines
from bench.routing import scenarios
from bench.routing import workloads

SAMPLE_EVERY_S = 1.0
PROGRESS_EVERY_S = 0.25
WARM_UP = 0.25  # Share of a run that is not counted.
_CHURN_EVERY_S = 5.0
_MAX_RESENDS = 5


class View(Protocol):
    """What a policy may see; only the oracle uses ``engines``."""

    engines: Sequence[engines.Engine]
    now: float


class Policy(Protocol):
    """A fleet's routers under one policy."""

    name: str

    def place(self, req: workloads.Request, view: View) -> int | None:
        """Chooses an engine."""

    def sent(self, req: workloads.Request, engine: int, now: float) -> None:
        """The request has been sent."""

    def ended(self, req: workloads.Request, engine: int, now: float) -> None:
        """The request has ended on its engine, or was lost there."""

    def report(self, engine: int, work: float, at_s: float, now: float) -> None:
        """An engine's report reaches the routers."""

    def available(self, router: int, engine: int, up: bool) -> None:
        """A router learns that an engine is up or down."""

    def tick(self, now: float) -> None:
        """A second has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What one run gave.

    Attributes:
        reuse: Share of prompt tokens found cached.
        cached_tokens: Prompt tokens found cached.
        bound_broken: Share of engine-seconds in which an engine was above
            the bound by more than its largest request: the bound rounded up
            to a whole request, as in consistent hashing with bounded loads.
        bound_broken_strict: The same without rounding up.
        sends_over: Share of sends to an engine that was above the bound.
        skew: Mean over time of the fullest engine's load over the mean load.
        wait_p99_s: 99th percentile of the time to the first token.
        requests: Requests counted.
    """

    policy: str
    reuse: float
    cached_tokens: int
    bound_broken: float
    bound_broken_strict: float
    sends_over: float
    skew: float
    wait_p99_s: float
    requests: int


class _Kind(enum.IntEnum):
    ENGINE = 0
    ARRIVE = 1
    LIST = 2
    REPORT = 3
    REPORTED = 4
    CHURN = 5
    UP = 6
    SAMPLE = 7
    PROGRESS = 8


class Simulation:
    """One run.

    Args:
        policy: The policy.
        arrivals: All requests.
        scenario: What goes wrong.
        count: Number of engines.
        routers: Number of routers.
        load_bound: The bound that is checked.
        seed: Of churn and lags, the same for all policies.
        duration_s: Length of the run.
        count_sends: Whether each send is held against the bound, which costs
            a look at every engine.
    """

    def __init__(
        self,
        *,
        policy: Policy,
        arrivals: Sequence[workloads.Request],
        scenario: scenarios.Scenario,
        count: int,
        routers: int,
        load_bound: float,
        seed: int,
        duration_s: float,
        count_sends: bool = True,
    ):
        self.engines = [engines.Engine(number=i) for i in range(count)]
        self.now = 0.0
        self._policy = policy
        self._arrivals = arrivals
        self._scenario = scenario
        self._routers = routers
        self._bound = load_bound
        self._rng = random.Random(seed)
        self._duration_s = duration_s
        self._count_sends = count_sends
        self._heap: list[tuple[float, int, int, object]] = []
        self._order = 0
        self._wake = [float("inf")] * count
        self._sent: dict[int, int] = {}
        self._resends: collections.Counter[int] = collections.Counter()
        self._waits: list[float] = []
        self._prompt = 0
        self._cached = 0
        self._sends = 0
        self._sends_over = 0
        self._seconds = 0
        self._broken = 0
        self._strict = 0
        self._skews: list[float] = []

    def run(self) -> Result:
        """Runs to the end."""
        for req in self._arrivals:
            self._push(req.at_s, _Kind.ARRIVE, req)
        self._push(0.0, _Kind.REPORT, None)
        self._push(0.0, _Kind.PROGRESS, None)
        self._push(SAMPLE_EVERY_S, _Kind.SAMPLE, None)
        if self._scenario.churn:
            self._push(_CHURN_EVERY_S, _Kind.CHURN, None)
        handlers = {
            _Kind.ENGINE: self._on_engine,
            _Kind.ARRIVE: self._on_arrive,
            _Kind.LIST: self._on_list,
            _Kind.REPORT: self._on_report,
            _Kind.REPORTED: self._on_reported,
            _Kind.CHURN: self._on_churn,
            _Kind.UP: self._on_up,
            _Kind.SAMPLE: self._on_sample,
            _Kind.PROGRESS: self._on_progress,
        }
        while self._heap:
            at_s, kind, _, what = heapq.heappop(self._heap)
            if at_s > self._duration_s:
                break
            self.now = at_s
            handlers[_Kind(kind)](what)
        return self._result()

    def _push(self, at_s: float, kind: _Kind, what: object) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at_s, int(kind), self._order, what))

    @property
    def _counting(self) -> bool:
        return self.now >= WARM_UP * self._duration_s

    def _on_arrive(self, req: workloads.Request) -> None:
        number = self._policy.place(req, self)
        if number is None or not self.engines[number].up:
            self._resend(req)
            return
        engine = self.engines[number]
        cached = engine.cache.match(req.blocks)
        prompt = sum(block.tokens for block in req.blocks)
        engine.cache.insert(req.blocks)
        job = engines.Job(
            request=req.number,
            prefill=prompt - cached,
            decode=req.decode,
            expected=req.context.decode_tokens,
            entered_s=self.now,
        )
        if self._counting:
            self._prompt += prompt
            self._cached += cached
            if self._count_sends:
                self._count_send(engine, job)
        engine.add(job, self.now)
        self._sent[req.number] = number
        self._policy.sent(req, number, self.now)
        self._settle(engine)

    def _resend(self, req: workloads.Request) -> None:
        self._resends[req.number] += 1
        if self._resends[req.number] <= _MAX_RESENDS:
            self._push(self.now + 0.05, _Kind.ARRIVE, req)

    def _count_send(self, engine: engines.Engine, job: engines.Job) -> None:
        before = engine.work(self.now)
        work = job.expected + engines.PREFILL_WEIGHT * job.prefill
        ups = [e for e in self.engines if e.up]
        total = sum(e.work(self.now) for e in ups) + work
        self._sends += 1
        self._sends_over += before > self._bound * total / len(ups)

    def _settle(self, engine: engines.Engine) -> None:
        """Handles what is due on an engine and plans its next event."""
        first, ended = engine.collect(self.now)
        for job in first:
            req = self._arrivals[job.request]
            if self._counting:
                self._waits.append(self.now - req.at_s)
        for job in ended:
            req = self._arrivals[job.request]
            engine.cache.insert((*req.blocks, req.answer))
            del self._sent[job.request]
            self._policy.ended(req, engine.number, self.now)
        wake = engine.next_event_s()
        self._wake[engine.number] = wake
        if wake != float("inf"):
            self._push(wake, _Kind.ENGINE, (engine.number, wake))

    def _on_engine(self, what: tuple[int, float]) -> None:
        number, planned = what
        if self._wake[number] == planned:
            self._settle(self.engines[number])

    def _on_report(self, _: object) -> None:
        works = [e.work(self.now) if e.up else None for e in self.engines]
        self._push(
            self.now + self._scenario.report_lag_s,
            _Kind.REPORTED,
            (self.now, works),
        )
        again_s = self.now + self._scenario.report_every_s
        self._push(again_s, _Kind.REPORT, None)
        self._policy.tick(self.now)

    def _on_progress(self, _: object) -> None:
        """Owners see the tokens that they relay, all the time."""
        tell = getattr(self._policy, "progress", None)
        if tell is None:
            return
        self._push(self.now + PROGRESS_EVERY_S, _Kind.PROGRESS, None)
        for engine in self.engines:
            for number, decoded in engine.progress(self.now):
                tell(self._arrivals[number], decoded, self.now)

    def _on_reported(self, what: tuple[float, list[float | None]]) -> None:
        at_s, works = what
        for number, work in enumerate(works):
            if work is not None:
                self._policy.report(number, work, at_s, self.now)

    def _on_churn(self, _: object) -> None:
        """Takes some engines down: a third each die, leave and flap."""
        share = self._scenario.churn * _CHURN_EVERY_S / 60
        for engine in self.engines:
            if not engine.up or self._rng.random() >= share:
                continue
            kind = self._rng.choice(("die", "leave", "flap"))
            out_s = 2.0 if kind == "flap" else self._rng.uniform(15, 45)
            engine.up = False
            if kind == "die":
                self._lose(engine)
            self._push(self.now + out_s, _Kind.UP, (engine.number, kind))
            self._tell(engine.number, False)
        self._push(self.now + _CHURN_EVERY_S, _Kind.CHURN, None)

    def _lose(self, engine: engines.Engine) -> None:
        self._tell_lost_cache(engine.number)
        for job in engine.fail(self.now):
            req = self._arrivals[job.request]
            del self._sent[job.request]
            self._policy.ended(req, engine.number, self.now)
            self._resend(req)

    def _on_up(self, what: tuple[int, str]) -> None:
        number, kind = what
        engine = self.engines[number]
        engine.up = True
        if kind == "leave":
            engine.cache.clear()
            self._tell_lost_cache(number)
        self._tell(number, True)

    def _tell_lost_cache(self, number: int) -> None:
        tell = getattr(self._policy, "lost_cache", None)
        if tell is not None:
            tell(number)

    def _tell(self, number: int, up: bool) -> None:
        """Routers learn of it at different times."""
        for router in range(self._routers):
            lag = self._rng.uniform(0, self._scenario.list_lag_s)
            self._push(self.now + lag, _Kind.LIST, (router, number, up))

    def _on_list(self, what: tuple[int, int, bool]) -> None:
        self._policy.available(*what)

    def _on_sample(self, _: object) -> None:
        self._push(self.now + SAMPLE_EVERY_S, _Kind.SAMPLE, None)
        if not self._counting:
            return
        ups = [e for e in self.engines if e.up]
        each = [e.works(self.now) for e in ups]
        works = [sum(found) for found in each]
        mean = sum(works) / len(works)
        if mean <= 0:
            return
        self._seconds += len(ups)
        self._skews.append(max(works) / mean)
        for found, work in zip(each, works, strict=True):
            if work > self._bound * mean and len(found) > 1:
                self._strict += 1
                self._broken += work - max(found) > self._bound * mean

    def _result(self) -> Result:
        waits = sorted(self._waits) or [0.0]
        return Result(
            policy=self._policy.name,
            reuse=self._cached / max(1, self._prompt),
            cached_tokens=self._cached,
            bound_broken=self._broken / max(1, self._seconds),
            bound_broken_strict=self._strict / max(1, self._seconds),
            sends_over=self._sends_over / max(1, self._sends),
            skew=sum(self._skews) / max(1, len(self._skews)),
            wait_p99_s=waits[int(0.99 * (len(waits) - 1))],
            requests=len(waits),
        )
