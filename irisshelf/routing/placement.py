"""Chooses the engine for a request: cached context first, load bound always.

The order of candidates is: the engine that is known to hold the chat although
it is not the home; the chat's home among the homes of its shared history; the
other homes; the ranking of the shared history; any engine, least loaded first.
The first candidate that is available and whose load stays within the bound is
taken. An idle engine may always take one request.

What it promises: no send takes an engine above ``load_bound`` times the mean
of the believed loads, unless the engine had none. What it cannot promise: that
believed loads are the true ones; see ``load`` and docs/notes/placement.md.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections.abc import Iterator
from collections.abc import Sequence

from irisshelf.routing import context
from irisshelf.routing import exceptions
from irisshelf.routing import load
from irisshelf.routing import popularity
from irisshelf.routing import ranking


class Reason(enum.StrEnum):
    """Why an engine was chosen."""

    EXCEPTION = "exception"
    HOME = "home"
    OTHER_HOME = "other_home"
    SPILL = "spill"
    LEAST_LOADED = "least_loaded"


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
            believed loads are late; 0 to 1.
        use_reports: Whether engines' reports are used.
        use_exceptions: Whether displaced chats are remembered.
    """

    load_bound: float = 1.25
    prefill_weight: float = 0.1
    spread: float = 1.5
    margin: float = 0.0
    use_reports: bool = True
    use_exceptions: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """The engine chosen, the work it will have, and why."""

    engine: int
    work: float
    reason: Reason


class Placer:
    """Places the requests of one service.

    Args:
        cfg: Limits and switches.
        members: The engines that the bundle lists, with weights.
        rng: Breaks ties among least loaded engines.
        instances: Number of instances that place on these engines.
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
        self.loads = load.LoadBook(size=len(members), instances=instances)
        self.exceptions = exceptions.Exceptions()
        self._popularity = popularity.Popularity()
        self._rng = rng
        self._available = [True] * len(members)
        self._available_count = len(members)
        self._allowed = 1 + (cfg.load_bound - 1) * (1 - cfg.margin)

    def set_available(self, engine: int, available: bool) -> None:
        """Marks an engine as able or unable to take new work."""
        if self._available[engine] == available:
            return
        self._available[engine] = available
        self._available_count += 1 if available else -1

    def is_available(self, engine: int) -> bool:
        """Tells whether an engine may take new work."""
        return self._available[engine]

    @property
    def available_count(self) -> int:
        """Engines that may take new work."""
        return self._available_count

    def place(
        self,
        ctx: context.Context,
        now: float,
        *,
        avoid: frozenset[int] = frozenset(),
        among: frozenset[int] | None = None,
    ) -> Placement | None:
        """Chooses an engine.

        Args:
            ctx: The request's context.
            now: Time in seconds.
            avoid: Engines that already failed this request.
            among: If given, only these engines are considered, and only as
                long as the bound holds: others may still have room.

        Returns:
            The placement, or None if no engine is available. The caller says
            ``sent`` once it acts on it.
        """
        home = self.home(ctx)
        for engine, reason in self._candidates(ctx, home):
            if not self._available[engine] or engine in avoid:
                continue
            if among is not None and engine not in among:
                continue
            work = self.work(ctx, reason)
            if self._fits(engine, work):
                return Placement(engine=engine, work=work, reason=reason)
        last = self._least_loaded(ctx, avoid, among)
        if last is None or among is None or self._fits(last.engine, last.work):
            return last
        return None

    def home(self, ctx: context.Context) -> int:
        """Returns the chat's home: where it goes if loads allow."""
        return self._homes(ctx)[0]

    def work(self, ctx: context.Context, reason: Reason) -> float:
        """Returns the work, in tokens, that a request is thought to be."""
        cached = 0
        if reason in (Reason.HOME, Reason.EXCEPTION):
            cached = ctx.shared_tokens + ctx.chat_tokens
        elif reason is Reason.OTHER_HOME:
            cached = ctx.shared_tokens
        uncached = ctx.prompt_tokens - cached
        return ctx.decode_tokens + uncached * self.cfg.prefill_weight

    def sent(
        self, ctx: context.Context, placement: Placement, now: float
    ) -> None:
        """Counts a request that goes to its engine."""
        self.loads.add(placement.engine, placement.work, now)
        self._popularity.add(ctx.shared_key, placement.work, now)
        if not self.cfg.use_exceptions:
            return
        if placement.reason is Reason.HOME:
            self.exceptions.discard(ctx.chat_key)
        elif placement.reason is not Reason.EXCEPTION:
            self.exceptions.put(ctx.chat_key, placement.engine)

    def ended(self, placement: Placement, now: float) -> None:
        """Counts a request that no longer runs."""
        self.loads.add(placement.engine, -placement.work, now)

    def report(self, engine: int, report: load.Report) -> None:
        """Takes an engine's report of its load."""
        if self.cfg.use_reports:
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
        if not ctx.shared_key:
            return self.ranking.order(ctx.chat_key)[:1]
        count = self.home_count(ctx)
        if count <= ranking.DEPTH:
            homes = self.ranking.order(ctx.shared_key)[:count]
        else:
            homes = self.ranking.whole_order(ctx.shared_key)[:count]
        if count == 1:
            return homes
        return self.ranking.among(ctx.chat_key, homes)

    def _candidates(
        self, ctx: context.Context, home: int
    ) -> Iterator[tuple[int, Reason]]:
        if self.cfg.use_exceptions:
            known = self.exceptions.get(ctx.chat_key)
            if known is not None and ctx.returning:
                yield known, Reason.EXCEPTION
        yield home, Reason.HOME
        if ctx.shared_key:
            for engine in self._homes(ctx)[1:]:
                yield engine, Reason.OTHER_HOME
            for engine in self.ranking.order(ctx.shared_key):
                yield engine, Reason.SPILL
        for engine in self.ranking.order(ctx.chat_key):
            yield engine, Reason.SPILL

    def _fits(self, engine: int, work: float) -> bool:
        before = self.loads.estimate(engine)
        if before <= 0:
            return True
        mean = (self.loads.total() + work) / max(1, self._available_count)
        return before + work <= self._allowed * mean

    def _least_loaded(
        self,
        ctx: context.Context,
        avoid: frozenset[int],
        among: frozenset[int] | None,
    ) -> Placement | None:
        best: list[int] = []
        least = math.inf
        wanted = range(len(self.ranking)) if among is None else among
        for engine in wanted:
            if not self._available[engine] or engine in avoid:
                continue
            estimate = self.loads.estimate(engine)
            if estimate < least:
                least = estimate
                best = []
            if estimate == least:
                best.append(engine)
        if not best:
            return None
        engine = self._rng.choice(sorted(best))
        reason = Reason.LEAST_LOADED
        return Placement(
            engine=engine, work=self.work(ctx, reason), reason=reason
        )
