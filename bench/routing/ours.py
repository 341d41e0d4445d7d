"""Our policy's real decision code, one placer a router."""

from __future__ import annotations

import random

from bench.routing import engines
from bench.routing import workloads
from irisshelf.routing.owned import context
from irisshelf.routing.owned import load
from irisshelf.routing.owned import placement
from irisshelf.routing.owned import ranking


class Direct:
    """Each router decides by itself, on what it believes of all engines.

    Args:
        name: Shown in tables.
        cfg: The placer's switches.
        count: Number of engines.
        routers: Number of routers.
        seed: For ties.
    """

    def __init__(
        self,
        *,
        name: str,
        cfg: placement.Config,
        count: int,
        routers: int,
        seed: int,
    ):
        self.name = name
        self._placers = [
            placement.Placer(
                cfg=cfg,
                members=[ranking.Member(name=f"e{i}") for i in range(count)],
                rng=random.Random(seed + i),
                instances=routers,
            )
            for i in range(routers)
        ]
        self._placed: dict[int, placement.Placement] = {}

    def _placer(self, req: workloads.Request) -> placement.Placer:
        return self._placers[req.entry % len(self._placers)]

    def place(self, req, view) -> int | None:
        """Chooses an engine."""
        placer = self._placer(req)
        placer.record_arrival(req.context, view.now)
        placed = placer.place(req.context)
        if placed is None:
            return None
        self._placed[req.number] = placed
        return placed.engine

    def sent(self, req, engine, now):
        """Counts a send."""
        del engine
        placed = self._placed[req.number]
        self._placer(req).record_sent(req.context, placed, now)

    def ended(self, req, engine, now):
        """Counts an end."""
        del engine
        placed = self._placed.pop(req.number)
        self._placer(req).record_end(placed.engine, placed.work, now)
        self._placer(req).record_answer(req.context, placed.engine, req.decode)

    def report(self, engine, work, at_s, now):
        """Takes a report."""
        del now
        for placer in self._placers:
            placer.report(engine, load.LoadReport(work=work, at_s=at_s))

    def available(self, router, engine, up):
        """Learns that an engine is up or down."""
        self._placers[router].set_available(engine, up)

    def tick(self, now):
        """A second has passed."""
        for placer in self._placers:
            placer.loads.expire(now)


class Owned(Direct):
    """Each engine has one owner among the routers, which places on it.

    The entry router passes a request to the owner of the chat's home. The
    owner knows all that runs on its engines; of others it knows totals and
    which are full, which they exchange once a second.
    """

    def __init__(
        self, *, use_progress: bool = True, use_full: bool = True, **kwargs
    ):
        super().__init__(**kwargs)
        count = kwargs["count"]
        routers = kwargs["routers"]
        ranks = ranking.Ranking(
            members=[ranking.Member(name=f"r{i}") for i in range(routers)]
        )
        self._owner = [
            ranks.first_members(context.hash64(b"e%d" % i))[0]
            for i in range(count)
        ]
        for router, placer in enumerate(self._placers):
            mine = [i for i in range(count) if self._owner[i] == router]
            placer.set_owned(mine)
            placer.loads.set_instances(1)
        self._use_progress = use_progress
        self._use_full = use_full
        self._by: dict[int, int] = {}
        self._left: dict[int, float] = {}
        self.hops = 0
        self.requests = 0

    def place(self, req, view) -> int | None:
        """Chooses an engine, with two hops at the most."""
        entry = self._placer(req)
        entry.record_arrival(req.context, view.now)
        first = entry.preferred_engine(req.context)
        if first is None:
            return None
        owner = self._owner[first]
        self.requests += 1
        self.hops += self._placers[owner] is not entry
        by = owner
        placed = self._placers[owner].place(req.context, may_forward=True)
        if isinstance(placed, placement.Forward):
            by = self._owner[placed.engine]
            self.hops += 1
            placed = self._placers[by].place(req.context)
        if placed is None:
            return None
        if by != owner:
            self._placers[owner].record_location(
                req.context, placed.engine, placed.reason
            )
        self._placed[req.number] = placed
        self._by[req.number] = by
        self._left[req.number] = placed.work
        return placed.engine

    def sent(self, req, engine, now):
        """Counts a send."""
        del engine
        placer = self._placers[self._by[req.number]]
        placer.record_sent(req.context, self._placed[req.number], now)

    def ended(self, req, engine, now):
        """Counts an end."""
        placer = self._placers[self._by.pop(req.number)]
        del self._placed[req.number]
        placer.record_end(engine, self._left.pop(req.number), now)
        placer.record_answer(req.context, engine, req.decode)

    def lost_cache(self, engine: int) -> None:
        """An engine has started anew."""
        self._placers[self._owner[engine]].reset_cache(engine)

    def progress(self, req, decoded: int, now):
        """The owner has relayed some tokens of an answer."""
        if not self._use_progress or not decoded:
            return
        left = max(1.0, req.context.decode_tokens - decoded)
        before = self._left[req.number]
        if left < before:
            self._left[req.number] = left
            placer = self._placers[self._by[req.number]]
            engine = self._placed[req.number].engine
            placer.record_end(engine, before - left, now)

    def tick(self, now):
        """A second has passed: owners exchange totals."""
        super().tick(now)
        totals = [placer.totals() for placer in self._placers]
        work = sum(t.work for t in totals)
        count = sum(t.engines for t in totals)
        full = frozenset().union(*(p.full_engines() for p in self._placers))
        for mine, placer in zip(totals, self._placers, strict=True):
            placer.set_remote_totals(
                placement.WorkTotals(
                    work=work - mine.work, engines=count - mine.engines
                ),
                full=full if self._use_full else frozenset(),
            )


def config(**switches) -> placement.Config:
    """Returns the default switches, some of them changed."""
    base = {"prefill_weight": engines.PREFILL_WEIGHT}
    return placement.Config(**{**base, **switches})
