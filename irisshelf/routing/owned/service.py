"""All decisions about one service's requests on one instance.

Joins placement, admission, retry budget and health, and gives engines and
backend servers their names. Survives bundles: what runs is carried over.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.bundle import schema
from irisshelf.routing import retry_budget
from irisshelf.routing.owned import admission
from irisshelf.routing.owned import context
from irisshelf.routing.owned import health
from irisshelf.routing.owned import load
from irisshelf.routing.owned import ownership
from irisshelf.routing.owned import placement
from irisshelf.routing.owned import ranking

_DECODE_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Where one engine (or a plain backend server) is reached.

    Attributes:
        name: ``SERVER/ENGINE`` for an engine, ``SERVER`` for a plain server.
        server: The backend server's name.
        engine: The engine's name on its server; empty for a plain server.
        data_centre: Where it stands.
        address: IP number and port.
    """

    name: str
    server: str
    engine: str
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """The decision to send a request to a target."""

    target: Target
    placement: placement.Placement
    context: context.Context


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forward:
    """The decision to hand a request on to an engine's owner."""

    owner: str
    target: Target


class ServiceRouter:
    """Decides for one service.

    Args:
        name: The service's name.
        health_tracker: Health of all backend servers, shared between services.
        rng: For ties.
    """

    def __init__(
        self,
        *,
        name: str,
        health_tracker: health.HealthTracker,
        rng: random.Random,
    ):
        self.name = name
        self._health = health_tracker
        self._rng = rng
        self._targets: tuple[Target, ...] = ()
        self._index: dict[str, int] = {}
        self._by_server: dict[str, list[int]] = {}
        self._placer: placement.Placer | None = None
        self._instances = 1
        self._expected_decode: dict[int, float] = {}
        self._owners: ownership.OwnershipMap | None = None
        self._instance = ""
        self.cfg: schema.Service | None = None
        self.admission = admission.Admission(limit=1, shares={})
        self.budget = _budget(schema.RetryBudget(ratio=0.0, burst=0.0))

    @property
    def targets(self) -> tuple[Target, ...]:
        """All targets that the bundle lists."""
        return self._targets

    @property
    def placer(self) -> placement.Placer:
        """The placer in use.

        Raises:
            RuntimeError: No bundle has been taken yet.
        """
        if self._placer is None:
            raise RuntimeError(f"service {self.name!r} has no bundle yet")
        return self._placer

    def configure(
        self,
        *,
        bundle: schema.Bundle,
        instances: int,
        now: float,
    ) -> None:
        """Takes a bundle, or a new number of instances.

        Args:
            bundle: The bundle in force.
            instances: Live instances of irisshelf.
            now: Time in seconds.
        """
        cfg = bundle.services[self.name]
        if cfg != self.cfg:
            self.budget = _budget(cfg.retry)
        targets = tuple(_targets(self.name, bundle))
        if targets != self._targets or cfg != self.cfg:
            self._rebuild(cfg, targets, now)
        self.cfg = cfg
        self._instances = max(1, instances)
        self.placer.loads.set_instances(self._instances)
        self._limit_admission(bundle)

    def set_owners(
        self, owners: ownership.OwnershipMap, *, instance: str
    ) -> None:
        """Sets which instance owns which target; before, this one owns all.

        Args:
            owners: Tells each target's owner.
            instance: This instance's name.
        """
        self._owners = owners
        self._instance = instance
        self._apply_owners()

    def forward(self, target: Target) -> Forward:
        """Returns the decision to ask a target's owner."""
        return Forward(owner=self._owner(target.name), target=target)

    def owns(self, name: str) -> bool:
        """Tells whether this instance places on a target."""
        return self._owner(name) == self._instance

    def _owner(self, name: str) -> str:
        owner = self._owners.owner_of(name) if self._owners else None
        return self._instance if owner is None else owner

    def target(self, name: str) -> Target | None:
        """Returns a target by its name."""
        index = self._index.get(name)
        return None if index is None else self._targets[index]

    def route(
        self,
        ctx: context.Context,
        *,
        avoid: frozenset[str] = frozenset(),
        hops_left: int = 0,
        entering: bool = False,
    ) -> Send | Forward | None:
        """Decides where a request goes.

        Args:
            ctx: The request's context.
            avoid: Targets that already failed this request.
            hops_left: How many more instances may hand it on.
            entering: Whether it came from a caller, not from an instance.

        Returns:
            A send to a target, a hand-on to an owner, or None if no target
            takes work.
        """
        avoided = frozenset(
            self._index[name] for name in avoid if name in self._index
        )
        if entering and hops_left > 0:
            first = self.placer.preferred_engine(ctx, avoid=avoided)
            if first is None:
                return None
            target = self._targets[first]
            if not self.owns(target.name):
                return self.forward(target)
        chosen = self.placer.place(
            ctx, avoid=avoided, may_forward=hops_left > 0
        )
        if isinstance(chosen, placement.Forward):
            return self.forward(self._targets[chosen.engine])
        if chosen is None:
            return self._adopt(ctx, avoided)
        target = self._targets[chosen.engine]
        return Send(target=target, placement=chosen, context=ctx)

    def _adopt(
        self, ctx: context.Context, avoided: frozenset[int]
    ) -> Send | None:
        """Places on an engine of another owner, as a last resort."""
        first = self.placer.preferred_engine(ctx, avoid=avoided)
        if first is None:
            return None
        chosen = placement.Placement(
            engine=first,
            work=float(ctx.decode_tokens),
            reason=placement.Reason.OVER_BOUND,
        )
        target = self._targets[first]
        return Send(target=target, placement=chosen, context=ctx)

    def record_sent(self, send: Send, now: float) -> None:
        """Counts a request that goes to its target."""
        self.placer.record_sent(send.context, send.placement, now)

    def record_progress(self, send: Send, work: float, now: float) -> None:
        """Counts work of a request that is done, or no longer runs."""
        index = self._index.get(send.target.name)
        if index is not None:
            self.placer.record_end(index, work, now)

    def record_answer(self, send: Send, answer_tokens: int) -> None:
        """Notes a whole answer, whose text its engine has cached."""
        index = self._index.get(send.target.name)
        if index is not None:
            self.placer.record_answer(send.context, index, answer_tokens)

    def record_remote_placement(
        self, ctx: context.Context, target: str, reason: str
    ) -> None:
        """Notes where another owner placed a chat whose home is here."""
        index = self._index.get(target)
        known = reason in {r.value for r in placement.Reason}
        if index is not None and known:
            self.placer.record_location(ctx, index, placement.Reason(reason))

    def reset_cache(self, name: str) -> None:
        """Notes that a target has started anew."""
        index = self._index.get(name)
        if index is not None:
            self.placer.reset_cache(index)

    def totals(self) -> placement.WorkTotals:
        """Returns the work on the targets that this instance owns."""
        return self.placer.totals()

    def full_targets(self) -> frozenset[int]:
        """Returns the owned targets, by number, that are at their bound."""
        return self.placer.full_engines()

    def refresh(self, name: str) -> None:
        """Applies the health of a server or an engine to placement."""
        known = self._index.get(name)
        indexes = self._by_server.get(name, []) if known is None else [known]
        for index in indexes:
            fit = self._health.takes_work(self._targets[index].name)
            self.placer.set_available(index, fit)

    def report(self, target: str, report: load.LoadReport) -> None:
        """Takes a target's report of its load."""
        index = self._index.get(target)
        if index is not None:
            self.placer.report(index, report)

    def record_answer_length(self, limit: int, tokens: int) -> None:
        """Learns from an answer's length what to expect of the next.

        Args:
            limit: The caller's limit on the answer's length; 0 for none.
            tokens: The answer's length.
        """
        size = limit.bit_length()
        before = self._expected_decode.get(size, float(tokens))
        self._expected_decode[size] = before + _DECODE_WEIGHT * (
            tokens - before
        )

    def expected_decode(self, limit: int) -> int:
        """Returns the tokens to expect of an answer with this limit."""
        default = min(limit, context.DEFAULT_DECODE_TOKENS)
        expected = self._expected_decode.get(
            limit.bit_length(), default or context.DEFAULT_DECODE_TOKENS
        )
        return max(1, round(min(expected, limit) if limit else expected))

    def tick(self, now: float) -> list[admission.Rejection]:
        """Drops old reports and refuses what has waited too long."""
        self.placer.loads.expire(now)
        return self.admission.expire(now)

    def _rebuild(
        self, cfg: schema.Service, targets: tuple[Target, ...], now: float
    ) -> None:
        before = self._placer
        old_index = self._index
        self._targets = targets
        self._index = {t.name: i for i, t in enumerate(targets)}
        self._by_server = {}
        for i, target in enumerate(targets):
            self._by_server.setdefault(target.server, []).append(i)
        self._placer = placement.Placer(
            cfg=placement.Config(
                load_bound=cfg.load_bound,
                prefill_weight=cfg.prefill_weight,
                use_reports=True,
                use_displaced=cfg.kind is schema.ServiceKind.MODEL,
                use_cache_view=cfg.kind is schema.ServiceKind.MODEL,
            ),
            members=[ranking.Member(name=t.name) for t in targets],
            rng=self._rng,
            instances=self._instances,
        )
        self._apply_owners()
        for server in self._by_server:
            self.refresh(server)
        if before is not None:
            self._carry_over(before, old_index, now)

    def _carry_over(
        self, before: placement.Placer, old_index: Mapping[str, int], now: float
    ) -> None:
        """Keeps count of what runs on engines that stay."""
        for name, old in old_index.items():
            new = self._index.get(name)
            own = before.loads.own_work(old)
            if new is not None and own > 0:
                self.placer.loads.add(new, own, now)

    def _apply_owners(self) -> None:
        if self._placer is not None:
            self._placer.set_owned(self._owned_indexes())

    def _owned_indexes(self) -> Sequence[int]:
        if self._owners is None:
            return range(len(self._targets))
        owned = self._owners.owned_by(self._instance)
        return [self._index[name] for name in owned if name in self._index]

    def _limit_admission(self, bundle: schema.Bundle) -> None:
        slots = len(self._targets) * bundle.services[self.name].engine_slots
        limit = max(1, -(-slots // self._instances))
        shares = {name: team.share for name, team in bundle.teams.items()}
        self.admission.configure(limit=limit, shares=shares)


def _targets(service: str, bundle: schema.Bundle):
    for name, server in sorted(bundle.backend_servers.items()):
        if server.service != service:
            continue
        engines = server.engines or ("",)
        for engine in engines:
            yield Target(
                name=f"{name}/{engine}" if engine else name,
                server=name,
                engine=engine,
                data_centre=server.data_centre,
                address=server.address,
            )


def _budget(cfg: schema.RetryBudget) -> retry_budget.RetryBudget:
    return retry_budget.RetryBudget(
        ratio=cfg.ratio, slack=cfg.burst, window_s=retry_budget.WINDOW_S
    )
