"""Chooses the engine for a request: cached context first, load bound always.

Each engine has one owner among the instances. The entry instance hands a
request to the owner of the engine that it should go to; the owner knows all
that runs on its engines and decides, or forwards to the owner of the next
candidate. With ``owned`` left at None one instance decides for all engines.

Candidates, in order: the engine that is known to hold the chat although it is
not its home; the chat's home; the other homes of its shared history; then any
engine of this instance, first in the ranking first, last the least loaded.
The first that is available and below the bound is taken.

What it promises: no request goes to an engine whose believed load is at or
above ``load_bound`` times the mean, while any engine that this instance knows
of is below it. As loads come in whole requests, an engine may end above the
bound by part of one request. What it cannot promise: that believed loads are
the true ones; see ``load`` and docs/notes/placement.md.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import math
import random
from collections.abc import Iterator
from collections.abc import Sequence

from irisshelf.routing import popularity
from irisshelf.routing.owned import cache_view
from irisshelf.routing.owned import context
from irisshelf.routing.owned import displaced
from irisshelf.routing.owned import load
from irisshelf.routing.owned import ranking

HOMES_PER_GROUP = 8
_GROUP_SHIFT = 32  # Group and slot of a chat use different bits of its key.
_GROUP_SALT = 0x9E3779B97F4A7C15
_KEY_MASK = (1 << 64) - 1
_ROOM_TRIES = 32


class Reason(enum.StrEnum):
    """Why an engine was chosen."""

    DISPLACED = "displaced"
    HOME = "home"
    OTHER_HOME = "other_home"
    SPILL = "spill"
    LEAST_LOADED = "least_loaded"
    OVER_BOUND = "over_bound"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Config:
    """What placement takes from the bundle, and its switches.

    Attributes:
        load_bound: Bound on an engine's load, as a multiple of the mean.
        prefill_weight: Work of an uncached prompt token, where a token to
            decode is 1.
        spread: Homes of a shared history, as a multiple of its share of all
            load times the number of engines.
        margin: Part of the room above the mean that is left unused, since
            believed loads are not exact; 0 to 1.
        cache_tokens: Size of an engine's prefix cache.
        use_reports: Whether engines' reports are used.
        use_displaced: Whether displaced chats are remembered.
        use_cache_view: Whether an owner follows its engines' caches; without,
            a chat is thought cached where it belongs.
    """

    load_bound: float = 1.25
    prefill_weight: float = 0.1
    spread: float = 6.0
    margin: float = 0.45
    cache_tokens: int = 400_000
    use_reports: bool = False
    use_displaced: bool = True
    use_cache_view: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """The engine chosen, the work it will have, and why."""

    engine: int
    work: float
    reason: Reason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forward:
    """The owner of this engine should place the request."""

    engine: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkTotals:
    """Outstanding work on a group of engines.

    Attributes:
        work: Sum of the work, in tokens.
        engines: Number of those engines that take work.
    """

    work: float
    engines: int


class Placer:
    """Places the requests of one service.

    Args:
        cfg: Limits and switches.
        members: The engines that the bundle lists, with weights.
        rng: Breaks ties among least loaded engines.
        instances: Number of instances that place on these engines, where
            engines have no owners.
    """

    def __init__(
        self,
        *,
        cfg: Config,
        members: Sequence[ranking.Member],
        rng: random.Random,
        instances: int = 1,
    ):
        self.cfg = cfg
        self.ranking = ranking.Ranking(members=members)
        self.loads = load.LoadTracker(size=len(members), instances=instances)
        self.displaced = displaced.DisplacedChats()
        self._views = {
            engine: self._new_view() for engine in range(len(members))
        }
        self._popularity = popularity.Popularity()
        self._rng = rng
        self._available = [True] * len(members)
        self._owned: Sequence[int] = range(len(members))
        self._is_owned = [True] * len(members)
        self._full: frozenset[int] = frozenset()
        self._others = WorkTotals(work=0.0, engines=0)
        self._allowed = 1 + (cfg.load_bound - 1) * (1 - cfg.margin)

    @property
    def owned(self) -> Sequence[int]:
        """The engines that this instance places on."""
        return self._owned

    def set_available(self, engine: int, available: bool) -> None:
        """Marks an engine as able or unable to take new work."""
        self._available[engine] = available

    def is_available(self, engine: int) -> bool:
        """Tells whether an engine may take new work."""
        return self._available[engine]

    def set_owned(self, owned: Sequence[int]) -> None:
        """Sets the engines that this instance places on."""
        self._owned = tuple(owned)
        self._views = {
            engine: self._views.get(engine) or self._new_view()
            for engine in owned
        }
        self._is_owned = [False] * len(self.ranking)
        for engine in owned:
            self._is_owned[engine] = True

    def set_remote_totals(
        self, totals: WorkTotals, *, full: frozenset[int] = frozenset()
    ) -> None:
        """Takes what the other owners say.

        Args:
            totals: Work on all engines of others together.
            full: Engines of others that are at their bound.
        """
        self._others = totals
        self._full = full

    def totals(self) -> WorkTotals:
        """Returns what this instance says of the engines that it owns."""
        works = [
            self.loads.estimate(engine)
            for engine in self._owned
            if self._available[engine]
        ]
        return WorkTotals(work=sum(works), engines=len(works))

    def full_engines(self) -> frozenset[int]:
        """Returns the engines owned here that are at their bound."""
        limit = self._allowed * self._mean(0.0)
        return frozenset(
            engine
            for engine in self._owned
            if self.loads.estimate(engine) >= limit > 0
        )

    def record_arrival(self, ctx: context.Context, now: float) -> None:
        """Counts a request that enters here, wherever it is placed."""
        self._popularity.add(ctx.shared_key, ctx.decode_tokens, now)

    def preferred_engine(
        self, ctx: context.Context, *, avoid: frozenset[int] = frozenset()
    ) -> int | None:
        """Returns the engine whose owner should place a request."""
        for engine in self._homes(ctx):
            if self._available[engine] and engine not in avoid:
                return engine
        for key in (ctx.shared_key, ctx.chat_key):
            for engine in self.ranking.first_members(key) if key else ():
                if self._available[engine] and engine not in avoid:
                    return engine
        for engine in range(len(self.ranking)):
            if self._available[engine] and engine not in avoid:
                return engine
        return None

    def place(
        self,
        ctx: context.Context,
        *,
        avoid: frozenset[int] = frozenset(),
        may_forward: bool = False,
    ) -> Placement | Forward | None:
        """Chooses an engine of this instance, or an owner to forward to.

        Args:
            ctx: The request's context.
            avoid: Engines that already failed, or turned down, this request.
            may_forward: Whether another instance may be asked.

        Returns:
            The placement; or a forward; or None if no engine is available.
            The caller says ``sent`` once it acts on a placement.
        """
        limit = self._allowed * self._mean(ctx.decode_tokens)
        for engine, reason in self._candidates(ctx):
            if not self._available[engine] or engine in avoid:
                continue
            if not self._is_owned[engine]:
                if may_forward and engine not in self._full:
                    return Forward(engine=engine)
            elif self._fits(engine, limit):
                return self._placement(ctx, engine, reason)
        return self._last_resort(ctx, avoid, may_forward, limit)

    def work(self, ctx: context.Context, engine: int, reason: Reason) -> float:
        """Returns the work, in tokens, that a request is thought to be."""
        if self.cfg.use_cache_view:
            cached = self._views[engine].cached_tokens(ctx)
        elif reason in (Reason.HOME, Reason.DISPLACED):
            cached = ctx.shared_tokens + ctx.chat_tokens
        elif reason is Reason.OTHER_HOME:
            cached = ctx.shared_tokens
        else:
            cached = 0
        uncached = ctx.prompt_tokens - cached
        return ctx.decode_tokens + uncached * self.cfg.prefill_weight

    def record_sent(
        self, ctx: context.Context, placement: Placement, now: float
    ) -> None:
        """Counts a request that goes to its engine."""
        self.loads.add(placement.engine, placement.work, now)
        if self.cfg.use_cache_view and placement.engine in self._views:
            self._views[placement.engine].touch(ctx)
        self.record_location(ctx, placement.engine, placement.reason)

    def record_location(
        self, ctx: context.Context, engine: int, reason: Reason
    ) -> None:
        """Notes where a chat's context now is, if that is not its home."""
        if not self.cfg.use_displaced:
            return
        if reason is Reason.HOME:
            self.displaced.discard(ctx.chat_key)
        else:
            self.displaced.put(ctx.chat_key, engine)

    def record_answer(
        self, ctx: context.Context, engine: int, answer_tokens: int
    ) -> None:
        """Notes that an answer is whole, so that its text is cached too."""
        if self.cfg.use_cache_view and engine in self._views:
            self._views[engine].touch(ctx, answer_tokens=answer_tokens)

    def reset_cache(self, engine: int) -> None:
        """Notes that an engine has started anew."""
        if engine in self._views:
            self._views[engine].clear()
        self.displaced.discard_engine(engine)

    def record_end(self, engine: int, work: float, now: float) -> None:
        """Counts work that is done, or that no longer runs."""
        self.loads.add(engine, -work, now)

    def report(self, engine: int, report: load.LoadReport) -> None:
        """Takes an engine's report of its load."""
        if self.cfg.use_reports and self._is_owned[engine]:
            self.loads.report(engine, report)

    def home_count(self, ctx: context.Context) -> int:
        """Returns over how many homes a shared history is spread now.

        A power of two, so that instances which see somewhat different shares
        mostly agree, and a step moves half the chats at most.
        """
        share = self._popularity.share(ctx.shared_key)
        wanted = share * len(self.ranking) * self.cfg.spread
        count = 1 << max(0, math.ceil(math.log2(max(1.0, wanted))))
        return min(count, len(self.ranking))

    def _homes(self, ctx: context.Context) -> Sequence[int]:
        """Returns the homes that a chat may have, its own first.

        Homes beyond a group of ``HOMES_PER_GROUP`` form further groups, each
        ranked by a key of its own, and a chat keeps to one group: the cost
        does not grow with the number of homes, and when groups double, half
        of the chats stay where they are.
        """
        if not ctx.shared_key:
            return self.ranking.first_members(ctx.chat_key)[:1]
        count = self.home_count(ctx)
        if count == 1:
            return self.ranking.first_members(ctx.shared_key)[:1]
        groups = max(1, count // HOMES_PER_GROUP)
        group = (ctx.chat_key >> _GROUP_SHIFT) & (groups - 1)
        key = ctx.shared_key ^ (group * _GROUP_SALT & _KEY_MASK)
        homes = self.ranking.first_members(key)[: min(count, HOMES_PER_GROUP)]
        return self.ranking.rank_subset(ctx.chat_key, homes)

    def _candidates(self, ctx: context.Context) -> Iterator[tuple[int, Reason]]:
        if self.cfg.use_displaced and ctx.has_history:
            known = self.displaced.get(ctx.chat_key)
            if known is not None:
                yield known, Reason.DISPLACED
        homes = self._homes(ctx)
        yield homes[0], Reason.HOME
        for engine in homes[1:]:
            yield engine, Reason.OTHER_HOME
        for key in (ctx.shared_key, ctx.chat_key):
            for engine in self.ranking.first_members(key) if key else ():
                if self._is_owned[engine]:
                    yield engine, Reason.SPILL

    def _mean(self, more: float) -> float:
        """Returns the mean load of an engine, fleet-wide, with more work."""
        own = self.totals()
        engines = own.engines + self._others.engines
        return (own.work + self._others.work + more) / max(1, engines)

    def _fits(self, engine: int, limit: float) -> bool:
        before = self.loads.estimate(engine)
        return before <= 0 or before < limit

    def _placement(
        self, ctx: context.Context, engine: int, reason: Reason
    ) -> Placement:
        return Placement(
            engine=engine, work=self.work(ctx, engine, reason), reason=reason
        )

    def _new_view(self) -> cache_view.CacheView:
        return cache_view.CacheView(capacity_tokens=self.cfg.cache_tokens)

    def _last_resort(
        self,
        ctx: context.Context,
        avoid: frozenset[int],
        may_forward: bool,
        limit: float,
    ) -> Placement | Forward | None:
        """Takes the least loaded engine, here or with another owner."""
        engine = self._least_loaded(avoid)
        if engine is not None and self._fits(engine, limit):
            return self._placement(ctx, engine, Reason.LEAST_LOADED)
        if may_forward:
            other = self._other_with_room(ctx, avoid)
            if other is not None:
                return Forward(engine=other)
        if engine is None:
            return None
        return self._placement(ctx, engine, Reason.OVER_BOUND)

    def _least_loaded(self, avoid: frozenset[int]) -> int | None:
        best: list[int] = []
        least = math.inf
        for engine in self._owned:
            if not self._available[engine] or engine in avoid:
                continue
            estimate = self.loads.estimate(engine)
            if estimate < least:
                least = estimate
                best = []
            if estimate == least:
                best.append(engine)
        return self._rng.choice(best) if best else None

    def _other_with_room(
        self, ctx: context.Context, avoid: frozenset[int]
    ) -> int | None:
        count = len(self.ranking)
        order = self.ranking.first_members(ctx.chat_key)
        tries = (self._rng.randrange(count) for _ in range(_ROOM_TRIES))
        for engine in itertools.chain(order, tries):
            if (
                not self._is_owned[engine]
                and self._available[engine]
                and engine not in self._full
                and engine not in avoid
            ):
                return engine
        return None
