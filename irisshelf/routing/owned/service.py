"""All routing decisions for the requests of one service on one instance.

Combines placement, admission, retry budget and health, and maps engines to
their names. The state is kept across bundles: the work of running requests is
carried over.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.bundle import schema
from irisshelf.overload import waiting
from irisshelf.routing import retry_budget
from irisshelf.routing.owned import context
from irisshelf.routing.owned import health
from irisshelf.routing.owned import load
from irisshelf.routing.owned import ownership
from irisshelf.routing.owned import placement
from irisshelf.routing.owned import ranking

# Weight of the latest answer in the moving average of the answer length.
_ANSWER_LENGTH_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """An engine or a plain backend server that requests can be sent to.

    Attributes:
        name: ``SERVER/ENGINE`` for an engine, ``SERVER`` for a plain server.
        server: Name of the backend server.
        engine: Name of the engine on its server; empty for a plain server.
        data_centre: Data centre of the server.
        address: IP address and port.
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
    """The decision to forward a request to the owner of a target."""

    owner: str
    target: Target


class ServiceRouter:
    """Routes the requests of one service.

    Args:
        name: Name of the service.
        health_tracker: Health of all backend servers, shared by all services.
        rng: Breaks ties.
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
        self.admission = waiting.Admission(limit=1, shares={})
        self.budget = _budget(schema.RetryBudget(ratio=0.0, burst=0.0))

    @property
    def targets(self) -> tuple[Target, ...]:
        """All targets listed in the bundle."""
        return self._targets

    @property
    def placer(self) -> placement.Placer:
        """The current placer.

        Raises:
            RuntimeError: No bundle has been applied yet.
        """
        if self._placer is None:
            raise RuntimeError(
                f"service {self.name!r} is not configured: no bundle applied"
            )
        return self._placer

    def configure(
        self,
        *,
        bundle: schema.Bundle,
        instances: int,
        now: float,
    ) -> None:
        """Applies a bundle or a new number of instances.

        Args:
            bundle: The bundle in force.
            instances: Number of live instances.
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
        """Sets the owners of the targets.

        Until this is called, this instance owns all targets.

        Args:
            owners: Owner of each target.
            instance: Name of this instance.
        """
        self._owners = owners
        self._instance = instance
        self._apply_owners()

    def forward(self, target: Target) -> Forward:
        """Returns the decision to forward a request to a target's owner."""
        return Forward(owner=self._owner(target.name), target=target)

    def owns(self, name: str) -> bool:
        """Tells whether this instance owns a target."""
        return self._owner(name) == self._instance

    def _owner(self, name: str) -> str:
        owner = self._owners.owner_of(name) if self._owners else None
        return self._instance if owner is None else owner

    def target(self, name: str) -> Target | None:
        """Returns the target with a name; None if there is none."""
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
        """Decides where to send a request.

        Args:
            ctx: The request's context.
            avoid: Targets that have already failed this request.
            hops_left: How many more times the request may be forwarded.
            entering: Whether it came from a caller, not from an instance.

        Returns:
            A send to a target, a forward to an owner, or None if no target is
            available.
        """
        avoided_indexes = frozenset(
            self._index[name] for name in avoid if name in self._index
        )
        if entering and hops_left > 0:
            first = self.placer.preferred_engine(ctx, avoid=avoided_indexes)
            if first is None:
                return None
            target = self._targets[first]
            if not self.owns(target.name):
                return self.forward(target)
        chosen = self.placer.place(
            ctx, avoid=avoided_indexes, may_forward=hops_left > 0
        )
        if isinstance(chosen, placement.Forward):
            return self.forward(self._targets[chosen.engine])
        if chosen is None:
            return self._place_on_unowned(ctx, avoided_indexes)
        target = self._targets[chosen.engine]
        return Send(target=target, placement=chosen, context=ctx)

    def _place_on_unowned(
        self, ctx: context.Context, avoided_indexes: frozenset[int]
    ) -> Send | None:
        """Places a request on an engine of another owner, as a last resort."""
        first = self.placer.preferred_engine(ctx, avoid=avoided_indexes)
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
        """Records that a request is sent to its target."""
        self.placer.record_sent(send.context, send.placement, now)

    def record_progress(self, send: Send, work: float, now: float) -> None:
        """Removes work of a request that is done or no longer runs."""
        index = self._index.get(send.target.name)
        if index is not None:
            self.placer.record_end(index, work, now)

    def record_answer(self, send: Send, answer_tokens: int) -> None:
        """Records a complete answer, whose text its engine has cached."""
        index = self._index.get(send.target.name)
        if index is not None:
            self.placer.record_answer(send.context, index, answer_tokens)

    def record_remote_placement(
        self, ctx: context.Context, target: str, reason: str
    ) -> None:
        """Records where another owner placed a chat whose home is here."""
        index = self._index.get(target)
        is_known = reason in {r.value for r in placement.Reason}
        if index is not None and is_known:
            self.placer.record_location(ctx, index, placement.Reason(reason))

    def reset_cache(self, name: str) -> None:
        """Clears the cache state of a target that has restarted."""
        index = self._index.get(name)
        if index is not None:
            self.placer.reset_cache(index)

    def totals(self) -> placement.WorkTotals:
        """Returns the work on the targets that this instance owns."""
        return self.placer.totals()

    def full_targets(self) -> frozenset[int]:
        """Returns the indexes of owned targets that are at their bound."""
        return self.placer.full_engines()

    def refresh(self, name: str) -> None:
        """Updates placement after a health change of a server or engine."""
        engine = self._index.get(name)
        indexes = self._by_server.get(name, []) if engine is None else [engine]
        for index in indexes:
            available = self._health.takes_work(self._targets[index].name)
            self.placer.set_available(index, available)

    def report(self, target: str, report: load.LoadReport) -> None:
        """Applies a target's load report."""
        index = self._index.get(target)
        if index is not None:
            self.placer.report(index, report)

    def record_answer_length(self, limit: int, tokens: int) -> None:
        """Updates the expected answer length for limits of this magnitude.

        Args:
            limit: The caller's limit on the answer length; 0 for none.
            tokens: Length of the answer in tokens.
        """
        bucket = limit.bit_length()
        before = self._expected_decode.get(bucket, float(tokens))
        self._expected_decode[bucket] = before + _ANSWER_LENGTH_WEIGHT * (
            tokens - before
        )

    def expected_decode(self, limit: int) -> int:
        """Returns the expected answer length for a limit, in tokens."""
        default = min(limit, context.DEFAULT_DECODE_TOKENS)
        expected = self._expected_decode.get(
            limit.bit_length(), default or context.DEFAULT_DECODE_TOKENS
        )
        return max(1, round(min(expected, limit) if limit else expected))

    def tick(self, now: float) -> list[waiting.Rejection]:
        """Drops old load reports and rejects requests past their deadline."""
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
        """Carries over the work that runs on engines that remain."""
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
        total_slots = (
            len(self._targets) * bundle.services[self.name].engine_slots
        )
        limit = max(1, -(-total_slots // self._instances))
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
