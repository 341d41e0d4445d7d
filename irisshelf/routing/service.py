"""All decisions about one service's requests on one instance.

Joins placement, admission, retry budget and health, and gives engines and
backend servers their names. Survives bundles: what runs is carried over.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from irisshelf.bundle import schema
from irisshelf.routing import admission
from irisshelf.routing import context
from irisshelf.routing import health
from irisshelf.routing import load
from irisshelf.routing import placement
from irisshelf.routing import ranking
from irisshelf.routing import retry

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


class ServiceRouter:
    """Decides for one service.

    Args:
        name: The service's name.
        health_book: Health of all backend servers, shared between services.
        rng: For ties.
    """

    def __init__(
        self, *, name: str, health_book: health.HealthBook, rng: random.Random
    ):
        self.name = name
        self._health = health_book
        self._rng = rng
        self._targets: tuple[Target, ...] = ()
        self._index: dict[str, int] = {}
        self._by_server: dict[str, list[int]] = {}
        self._placer: placement.Placer | None = None
        self._instances = 1
        self._expected_decode = float(context.DEFAULT_DECODE_TOKENS)
        self.cfg: schema.Service | None = None
        self.admission = admission.Admission(limit=1, shares={})
        self.budget = retry.Budget(ratio=0, burst=0)

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
        local_region: str,
        now: float,
    ) -> None:
        """Takes a bundle, or a new number of instances.

        Args:
            bundle: The bundle in force.
            instances: Live instances of irisshelf.
            local_region: Region whose engines come first.
            now: Time in seconds.
        """
        cfg = bundle.services[self.name]
        if cfg != self.cfg:
            self.budget = retry.Budget(
                ratio=cfg.retry.ratio, burst=cfg.retry.burst
            )
        targets = tuple(_targets(self.name, bundle))
        if targets != self._targets or cfg != self.cfg:
            self._rebuild(cfg, targets, now)
        self.cfg = cfg
        self._instances = max(1, instances)
        self.placer.loads.set_instances(self._instances)
        self._limit_admission(bundle)

    def place(
        self,
        ctx: context.Context,
        now: float,
        *,
        avoid: frozenset[str] = frozenset(),
    ) -> Send | None:
        """Chooses a target; None if there is none."""
        self.placer.arrived(ctx, now)
        avoided = frozenset(
            self._index[name] for name in avoid if name in self._index
        )
        chosen = self.placer.place(ctx, avoid=avoided)
        if not isinstance(chosen, placement.Placement):
            return None
        target = self._targets[chosen.engine]
        return Send(target=target, placement=chosen, context=ctx)

    def sent(self, send: Send, now: float) -> None:
        """Counts a request that goes to its target."""
        self.placer.sent(send.context, send.placement, now)

    def ended(self, send: Send, now: float) -> None:
        """Counts a request that no longer runs."""
        index = self._index.get(send.target.name)
        if index is not None:
            self.placer.ended(index, send.placement.work, now)

    def refresh(self, name: str) -> None:
        """Applies the health of a server or an engine to placement."""
        known = self._index.get(name)
        indexes = self._by_server.get(name, []) if known is None else [known]
        for index in indexes:
            fit = self._health.takes_work(self._targets[index].name)
            self.placer.set_available(index, fit)

    def report(self, target: str, report: load.Report) -> None:
        """Takes a target's report of its load."""
        index = self._index.get(target)
        if index is not None:
            self.placer.report(index, report)

    def decoded(self, tokens: int) -> None:
        """Learns from an answer's length what to expect of the next."""
        self._expected_decode += _DECODE_WEIGHT * (
            tokens - self._expected_decode
        )

    @property
    def expected_decode(self) -> int:
        """Tokens to expect of an answer."""
        return max(1, round(self._expected_decode))

    def tick(self, now: float) -> list[admission.GiveUp]:
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
            ),
            members=[ranking.Member(name=t.name) for t in targets],
            rng=self._rng,
            instances=self._instances,
        )
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
            own = before.loads.own(old)
            if new is not None and own > 0:
                self.placer.loads.add(new, own, now)

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
