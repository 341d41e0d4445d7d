"""Chooses the engine for a request by cache affinity, within a load bound.

Each engine is owned by one instance. The entry instance passes a request to the
owner of the preferred engine. The owner knows all requests that run on its
engines; it places the request or forwards it to the owner of the next
candidate. Until ``set_owned`` is called, an instance owns all engines.

Candidates, in order: the engine known to cache a displaced chat; the chat's
home; the other homes of its shared history; the engines of this instance in
ranking order; the least loaded engine of this instance. The first candidate
that is available and below the load bound is chosen.

Guarantee: no request is placed on an engine whose estimated load is at or above
``load_bound`` times the mean while an engine known to this instance is below
it. Since load is added in whole requests, an engine may exceed the bound by
part of one request. The guarantee applies to estimated loads, which may differ
from the actual ones; see ``load`` and docs/notes/placement.md.
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
_GROUP_SHIFT = 32  # The group of a chat uses other key bits than its slot.
_GROUP_SALT = 0x9E3779B97F4A7C15
_KEY_MASK = (1 << 64) - 1
_RANDOM_PROBES = 32


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
    """Parameters of placement.

    Attributes:
        load_bound: Bound on an engine's load, as a multiple of the mean.
        prefill_weight: Work of an uncached prompt token, relative to a token
            to decode.
        spread: Number of homes of a shared history, as a multiple of its share
            of the total load times the number of engines.
        margin: Fraction, 0 to 1, of the headroom between the mean and the bound
            that is left unused because load estimates are inexact.
        cache_tokens: Size of an engine's prefix cache.
        use_reports: Whether load reports of engines are used.
        use_displaced: Whether displaced chats are tracked.
        use_cache_view: Whether an owner simulates the caches of its engines. If
            not, the context of a chat is assumed to be cached at its homes.
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
    """The chosen engine, the estimated work, and the reason."""

    engine: int
    work: float
    reason: Reason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forward:
    """The request should be placed by the owner of this engine."""

    engine: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkTotals:
    """Outstanding work on a group of engines.

    Attributes:
        work: Total work, in tokens.
        engines: Number of engines in the group that are available.
    """

    work: float
    engines: int


class Placer:
    """Places the requests of one service.

    Args:
        cfg: Parameters.
        members: The engines listed in the bundle, with weights.
        rng: Breaks ties among the least loaded engines.
        instances: Number of instances that place requests on these engines,
            for engines without an owner.
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
        self._cache_views = {
            engine: self._new_cache_view() for engine in range(len(members))
        }
        self._popularity = popularity.Popularity()
        self._rng = rng
        self._available = [True] * len(members)
        self._owned: Sequence[int] = range(len(members))
        self._owned_flags = [True] * len(members)
        self._remote_full: frozenset[int] = frozenset()
        self._remote_totals = WorkTotals(work=0.0, engines=0)
        self._target_ratio = 1 + (cfg.load_bound - 1) * (1 - cfg.margin)

    @property
    def owned(self) -> Sequence[int]:
        """The engines that this instance owns."""
        return self._owned

    def set_available(self, engine: int, available: bool) -> None:
        """Sets whether an engine can take new work."""
        self._available[engine] = available

    def is_available(self, engine: int) -> bool:
        """Tells whether an engine can take new work."""
        return self._available[engine]

    def set_owned(self, owned: Sequence[int]) -> None:
        """Sets the engines that this instance owns."""
        self._owned = tuple(owned)
        self._cache_views = {
            engine: self._cache_views.get(engine) or self._new_cache_view()
            for engine in owned
        }
        self._owned_flags = [False] * len(self.ranking)
        for engine in owned:
            self._owned_flags[engine] = True

    def set_remote_totals(
        self, totals: WorkTotals, *, full: frozenset[int] = frozenset()
    ) -> None:
        """Sets the loads reported by the other owners.

        Args:
            totals: Work on all engines of other owners.
            full: Engines of other owners that are at their bound.
        """
        self._remote_totals = totals
        self._remote_full = full

    def totals(self) -> WorkTotals:
        """Returns the work on the available engines that this instance owns."""
        loads = [
            self.loads.estimate(engine)
            for engine in self._owned
            if self._available[engine]
        ]
        return WorkTotals(work=sum(loads), engines=len(loads))

    def full_engines(self) -> frozenset[int]:
        """Returns the owned engines that are at their bound."""
        limit = self._target_ratio * self._mean(0.0)
        return frozenset(
            engine
            for engine in self._owned
            if self.loads.estimate(engine) >= limit > 0
        )

    def record_arrival(self, ctx: context.Context, now: float) -> None:
        """Records a request received from a caller, wherever it is placed."""
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
            avoid: Engines that have failed or refused this request.
            may_forward: Whether the request may be forwarded.

        Returns:
            A placement, a forward, or None if no engine is available. The
            caller calls ``record_sent`` when it carries out a placement.
        """
        limit = self._target_ratio * self._mean(ctx.decode_tokens)
        for engine, reason in self._candidates(ctx):
            if not self._available[engine] or engine in avoid:
                continue
            if not self._owned_flags[engine]:
                if may_forward and engine not in self._remote_full:
                    return Forward(engine=engine)
            elif self._is_below(engine, limit):
                return self._placement(ctx, engine, reason)
        return self._fallback(ctx, avoid, may_forward, limit)

    def work(self, ctx: context.Context, engine: int, reason: Reason) -> float:
        """Returns the estimated work of a request on an engine, in tokens."""
        if self.cfg.use_cache_view:
            cached = self._cache_views[engine].cached_tokens(ctx)
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
        """Records that a request is sent to its engine."""
        self.loads.add(placement.engine, placement.work, now)
        if self.cfg.use_cache_view and placement.engine in self._cache_views:
            self._cache_views[placement.engine].touch(ctx)
        self.record_location(ctx, placement.engine, placement.reason)

    def record_location(
        self, ctx: context.Context, engine: int, reason: Reason
    ) -> None:
        """Records the engine of a chat's context, if it is not its home."""
        if not self.cfg.use_displaced:
            return
        if reason is Reason.HOME:
            self.displaced.discard(ctx.chat_key)
        else:
            self.displaced.put(ctx.chat_key, engine)

    def record_answer(
        self, ctx: context.Context, engine: int, answer_tokens: int
    ) -> None:
        """Records a complete answer, whose text is then cached as well."""
        if self.cfg.use_cache_view and engine in self._cache_views:
            self._cache_views[engine].touch(ctx, answer_tokens=answer_tokens)

    def reset_cache(self, engine: int) -> None:
        """Clears the cache state of an engine that has restarted."""
        if engine in self._cache_views:
            self._cache_views[engine].clear()
        self.displaced.discard_engine(engine)

    def record_end(self, engine: int, work: float, now: float) -> None:
        """Removes work that is done or no longer runs."""
        self.loads.add(engine, -work, now)

    def report(self, engine: int, report: load.LoadReport) -> None:
        """Applies an engine's load report."""
        if self.cfg.use_reports and self._owned_flags[engine]:
            self.loads.report(engine, report)

    def home_count(self, ctx: context.Context) -> int:
        """Returns the current number of homes of a shared history.

        It is a power of two, so that instances that see slightly different
        load shares mostly agree, and a change moves at most half of the chats.
        """
        share = self._popularity.share(ctx.shared_key)
        target = share * len(self.ranking) * self.cfg.spread
        count = 1 << max(0, math.ceil(math.log2(max(1.0, target))))
        return min(count, len(self.ranking))

    def _homes(self, ctx: context.Context) -> Sequence[int]:
        """Returns the homes of a chat's shared history, the chat's own first.

        The homes are divided into groups of up to ``HOMES_PER_GROUP``, each
        ranked by its own key, and a chat uses only one group. The cost is thus
        independent of the number of homes, and if the number of groups doubles,
        half of the chats keep their home.
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
                if self._owned_flags[engine]:
                    yield engine, Reason.SPILL

    def _mean(self, extra_work: float) -> float:
        """Returns the fleet-wide mean engine load after adding some work."""
        own = self.totals()
        engines = own.engines + self._remote_totals.engines
        return (own.work + self._remote_totals.work + extra_work) / max(
            1, engines
        )

    def _is_below(self, engine: int, limit: float) -> bool:
        before = self.loads.estimate(engine)
        return before <= 0 or before < limit

    def _placement(
        self, ctx: context.Context, engine: int, reason: Reason
    ) -> Placement:
        return Placement(
            engine=engine, work=self.work(ctx, engine, reason), reason=reason
        )

    def _new_cache_view(self) -> cache_view.CacheView:
        return cache_view.CacheView(capacity_tokens=self.cfg.cache_tokens)

    def _fallback(
        self,
        ctx: context.Context,
        avoid: frozenset[int],
        may_forward: bool,
        limit: float,
    ) -> Placement | Forward | None:
        """Falls back to the least loaded owned engine, or another owner's."""
        engine = self._least_loaded(avoid)
        if engine is not None and self._is_below(engine, limit):
            return self._placement(ctx, engine, Reason.LEAST_LOADED)
        if may_forward:
            other = self._remote_engine_below_bound(ctx, avoid)
            if other is not None:
                return Forward(engine=other)
        if engine is None:
            return None
        return self._placement(ctx, engine, Reason.OVER_BOUND)

    def _least_loaded(self, avoid: frozenset[int]) -> int | None:
        candidates: list[int] = []
        lowest = math.inf
        for engine in self._owned:
            if not self._available[engine] or engine in avoid:
                continue
            estimate = self.loads.estimate(engine)
            if estimate < lowest:
                lowest = estimate
                candidates = []
            if estimate == lowest:
                candidates.append(engine)
        return self._rng.choice(candidates) if candidates else None

    def _remote_engine_below_bound(
        self, ctx: context.Context, avoid: frozenset[int]
    ) -> int | None:
        count = len(self.ranking)
        order = self.ranking.first_members(ctx.chat_key)
        probes = (self._rng.randrange(count) for _ in range(_RANDOM_PROBES))
        for engine in itertools.chain(order, probes):
            if (
                not self._owned_flags[engine]
                and self._available[engine]
                and engine not in self._remote_full
                and engine not in avoid
            ):
                return engine
        return None
