"""Baselines, and an oracle that knows all caches and loads at once."""

from __future__ import annotations

import random

from bench.routing import engines
from bench.routing import simulation
from bench.routing import workloads
from irisshelf.routing.owned import load
from irisshelf.routing.owned import ranking


class _Base:
    """What baselines share: each router's list of engines that are up."""

    name = ""

    def __init__(self, *, count: int, routers: int, seed: int):
        self.routers = routers
        self.count = count
        self.rng = random.Random(seed)
        self.up = [[True] * count for _ in range(routers)]

    def router(self, req: workloads.Request) -> int:
        """Returns the number of the router that a request comes to."""
        return req.entry % self.routers

    def live(self, req: workloads.Request) -> list[int]:
        """Returns the engines that a request's router takes to be up."""
        up = self.up[self.router(req)]
        return [i for i in range(self.count) if up[i]]

    def available(self, router: int, engine: int, up: bool) -> None:
        """Takes that a router sees an engine come or go."""
        self.up[router][engine] = up

    def sent(self, req: workloads.Request, engine: int, now: float) -> None:
        """Takes that a request was sent."""
        del req, engine, now

    def ended(self, req: workloads.Request, engine: int, now: float) -> None:
        """Takes that a request has ended."""
        del req, engine, now

    def report(self, engine: int, work: float, at_s: float, now: float):
        """Takes an engine's word on its work, in tokens."""
        del engine, work, at_s, now

    def tick(self, now: float) -> None:
        """Takes that time has passed."""
        del now


class Random(_Base):
    """Any engine."""

    name = "random"

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        return self.rng.choice(self.live(req))


class RoundRobin(_Base):
    """Each router takes its engines in turn."""

    name = "round robin"

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self._next = [self.rng.randrange(self.count) for _ in self.up]

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        live = self.live(req)
        router = self.router(req)
        self._next[router] += 1
        return live[self._next[router] % len(live)]


class _Counting(_Base):
    """Each router counts its own sends and takes reports."""

    use_reports = True

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.trackers = [
            load.LoadTracker(size=self.count, instances=self.routers)
            for _ in range(self.routers)
        ]
        self._works: dict[int, tuple[int, float]] = {}

    def work(self, req: workloads.Request) -> float:
        """Returns a request's work: tokens to decode and, less, to read."""
        ctx = req.context
        uncached = ctx.prompt_tokens - ctx.shared_tokens - ctx.chat_tokens
        return ctx.decode_tokens + engines.PREFILL_WEIGHT * uncached

    def sent(self, req, engine, now):
        """Counts a request."""
        self.trackers[self.router(req)].add(engine, self.work(req), now)

    def ended(self, req, engine, now):
        """Counts a request no more."""
        self.trackers[self.router(req)].add(engine, -self.work(req), now)

    def report(self, engine, work, at_s, now):
        """Takes an engine's word into every router's tracker."""
        if self.use_reports:
            for tracker in self.trackers:
                tracker.report(engine, load.LoadReport(work=work, at_s=at_s))


class LeastLoad(_Counting):
    """The engine with the least believed load."""

    name = "least load"

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        tracker = self.trackers[self.router(req)]
        live = self.live(req)
        self.rng.shuffle(live)
        return min(live, key=tracker.estimate)


class ConsistentHash(_Base):
    """The first live engine of the chat's ranking."""

    name = "consistent hash"

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        members = [ranking.Member(name=f"e{i}") for i in range(self.count)]
        self.ranking = ranking.Ranking(members=members)

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        up = self.up[self.router(req)]
        order = self.ranking.first_members(req.context.chat_key)
        return next((i for i in order if up[i]), None)


class BoundedHash(_Counting):
    """Consistent hashing with bounded loads, each router on its own sends.

    Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
    Bounded Loads", 2016.
    """

    name = "bounded hash"
    use_reports = False
    bound = 1.25

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        members = [ranking.Member(name=f"e{i}") for i in range(self.count)]
        self.ranking = ranking.Ranking(members=members)

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        up = self.up[self.router(req)]
        tracker = self.trackers[self.router(req)]
        work = self.work(req)
        allowed = self.bound * (tracker.own_total + work) / max(1, sum(up))
        order = self.ranking.full_order(req.context.chat_key)
        live = [i for i in order if up[i]]
        for engine in live:
            own = tracker.own_work(engine)
            if own == 0 or own < allowed:
                return engine
        return live[0] if live else None


class ReportedBoundedHash(BoundedHash):
    """The same, on believed loads of all routers together."""

    name = "bounded hash, reports"
    use_reports = True

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        up = self.up[self.router(req)]
        tracker = self.trackers[self.router(req)]
        work = self.work(req)
        allowed = self.bound * (tracker.total() + work) / max(1, sum(up))
        order = self.ranking.full_order(req.context.chat_key)
        live = [i for i in order if up[i]]
        for engine in live:
            found = tracker.estimate(engine)
            if found < allowed:
                return engine
        return min(live, key=tracker.estimate) if live else None


class Oracle(_Base):
    """Knows every cache and load: the most cached tokens within the bound."""

    name = "oracle"
    bound = 1.25

    def place(self, req, view: simulation.View) -> int | None:
        """Chooses an engine."""
        ups = [e for e in view.engines if e.up]
        works = {e.number: e.work(view.now) for e in ups}
        total = sum(works.values())
        allowed = self.bound * (total + req.context.decode_tokens) / len(ups)
        best = None
        for engine in ups:
            cached = engine.cache.match(req.blocks)
            before = works[engine.number]
            fits = engine.jobs == 0 or before < allowed
            key = (fits, cached if fits else 0, -before)
            if best is None or key > best[0]:
                best = (key, engine.number)
        return best[1] if best else None


BASELINES = (
    Random,
    RoundRobin,
    LeastLoad,
    ConsistentHash,
    BoundedHash,
    ReportedBoundedHash,
    Oracle,
)
