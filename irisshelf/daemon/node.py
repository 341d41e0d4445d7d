"""Everything that one instance holds while it runs."""

from __future__ import annotations

import dataclasses
import random
import time
import uuid
from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

from irisshelf import boottime
from irisshelf.backends import errors
from irisshelf.backends import pool
from irisshelf.bundle import schema
from irisshelf.charts import chart
from irisshelf.coordination import clock
from irisshelf.daemon import claims
from irisshelf.daemon import follower
from irisshelf.daemon import settings
from irisshelf.observe import log
from irisshelf.observe import metrics
from irisshelf.observe import timeline
from irisshelf.peers import tls
from irisshelf.routing.owned import health
from irisshelf.routing.owned import service
from irisshelf.store import interface
from irisshelf.store import messages as platform_messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    """A team as the bundle in force describes it."""

    name: str
    cfg: schema.Team


class Running(Protocol):
    """A model call that runs on this instance."""

    def progress(self) -> None:
        """Counts the work that has been done since the last look."""

    def close(self) -> None:
        """Ends the call."""


_R = TypeVar("_R", bound=Running)


class Node:
    """One instance: its state and the parts that act on it.

    Args:
        cfg: The settings.
        platform: The platform's client.
        rng: For ids, jitter and ties.
        now: Monotonic seconds, for all decisions.
        wall: Wall-clock seconds, for the time line only.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        platform: interface.Platform,
        rng: random.Random,
        now: Callable[[], float] = boottime.now,
        wall: Callable[[], float] = time.time,
    ):
        self.cfg = cfg
        self.platform = platform
        self.rng = rng
        self.now = now
        self.metrics = metrics.Metrics()
        self.timeline = timeline.Timeline(
            clock=clock.HybridClock(process=cfg.instance, wall=wall)
        )
        secured = cfg.peers.tls
        self.peer_context = (
            tls.client_context(secured.files()) if secured else None
        )
        self.clients = pool.ClientPool(peer_context=self.peer_context)
        self.health = health.HealthTracker()
        self.services: dict[str, service.ServiceRouter] = {}
        self.claims = claims.ClaimWriter(platform=platform, counts=self.metrics)
        self.instances = 1
        self.open_requests = 0
        self.nodes: dict[str, platform_messages.Node] = {}
        self.running: set[Running] = set()
        self.peer_secret = cfg.peers.secret.load()
        self.peer_unreachable: Callable[[str], None] = lambda address: None
        self._teams: dict[str, Team] = {}
        self._chart = chart.load("instance")
        self._state = self._chart.initial
        self._log = log.get("node")
        keys = {n: s.load() for n, s in cfg.operators.keys.items()}
        self.follower = follower.Follower(
            platform=platform,
            keys=keys,
            required=cfg.operators.required,
            poll_s=cfg.pace.head_poll_s,
            rng=rng,
            events=self.timeline,
            adopt=self.adopt,
        )

    @property
    def state(self) -> str:
        """State of this instance, as in ``charts/instance.json``."""
        return self._state

    @property
    def accepts(self) -> bool:
        """Whether new requests are taken."""
        return self._chart.has_tag(self._state, "accepts")

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new connections here."""
        return self._chart.has_tag(self._state, "ready")

    @property
    def bundle(self) -> schema.Bundle | None:
        """The bundle in force."""
        return self.follower.bundle

    def move(self, event: str) -> None:
        """Takes an event of the instance's life."""
        before = self._state
        self._state = self._chart.step_or_stay(before, event)
        if self._state != before:
            self.timeline.add(timeline.Kind.INSTANCE, detail=self._state)
            self._log.info("instance is %s", self._state)

    def adopt(self, bundle: schema.Bundle) -> None:
        """Applies a bundle that has come into force."""
        self._teams = {
            team.key_sha256: Team(name=name, cfg=team)
            for name, team in bundle.teams.items()
        }
        for name in [n for n in self.services if n not in bundle.services]:
            del self.services[name]
        for name in bundle.services:
            if name not in self.services:
                self.services[name] = service.ServiceRouter(
                    name=name, health_tracker=self.health, rng=self.rng
                )
        self.configure(bundle)
        self.health.retain(frozenset(bundle.backend_servers))
        servers = bundle.backend_servers.values()
        self.clients.retain(frozenset(server.address for server in servers))
        self.metrics.bundle_number.set(bundle.number)
        self.move("bundle_in_force")

    def configure(self, bundle: schema.Bundle) -> None:
        """Gives every service the bundle and the number of instances."""
        for router in self.services.values():
            router.configure(
                bundle=bundle,
                instances=self.instances,
                now=self.now(),
            )

    def set_instances(self, count: int) -> None:
        """Takes how many instances of irisshelf are live."""
        if count == self.instances:
            return
        self.instances = count
        if self.bundle is not None:
            self.configure(self.bundle)

    def team(self, key_sha256: str) -> Team | None:
        """Returns the team that a bearer key belongs to."""
        return self._teams.get(key_sha256)

    def observe(self, name: str, event: health.Event, detail: str = "") -> None:
        """Takes an observation of a backend server's or engine's health."""
        if not self.health.observe(name, event, self.now()):
            return
        for router in self.services.values():
            router.refresh(name)
        self.timeline.add(
            timeline.Kind.HEALTH,
            engine=name,
            detail=f"{event} {self.health.state(name)} {detail}".strip(),
        )

    def observe_call(
        self, target: service.Target, error: errors.CallError | None
    ) -> None:
        """Takes what a call says of its engine and its server."""
        if error is None:
            self.observe(target.server, health.Event.SUCCESS)
            if target.engine:
                self.observe(target.name, health.Event.SUCCESS)
        elif error.draining:
            self.observe(target.server, health.Event.LEAVE, error.detail)
        elif error.unreachable:
            self.observe(target.server, health.Event.UNREACHABLE, error.detail)
        else:
            self.observe(target.name, health.Event.FAILURE, error.detail)

    def relay_address(self, instance: str) -> str:
        """Returns where another instance takes requests forwarded to it."""
        found = self.nodes.get(instance)
        return found.relay_address if found else ""

    def begin(self, call: _R) -> _R:
        """Notes that a model call runs, until ``end``."""
        self.running.add(call)
        return call

    def end(self, call: Running) -> None:
        """Ends a model call."""
        self.running.discard(call)
        call.close()

    def count_control(self, kind: str, size: int) -> None:
        """Counts bytes of control traffic."""
        self.metrics.control_bytes.labels(kind).inc(size)

    def new_id(self) -> str:
        """Makes an id that no other process makes."""
        return uuid.uuid4().hex
