"""State of backend servers, as one instance sees them, and access to them."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from irisshelf.catalog import directory
from irisshelf.catalog import releases
from irisshelf.coordination import facts
from irisshelf.coordination import fleet_size
from irisshelf.coordination import stream_origins
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway.servers import connection_pool
from irisshelf.gateway.servers import eligibility
from irisshelf.gateway.servers import fact_application
from irisshelf.gateway.servers import listed_servers
from irisshelf.gateway.servers import server_reach
from irisshelf.gateway.servers import server_reports
from irisshelf.gateway.servers import service_limits
from irisshelf.observe import decision_log
from irisshelf.overload import admission
from irisshelf.overload import local_admission
from irisshelf.routing import retry_budget
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats


class Servers:
    """Servers of all services: selection, load, health, connections.

    Args:
        cfg: The settings; replaced when they are reloaded.
        listed: The servers that the store lists.
        eligible: Which of them may receive requests.
        log: The decision log.
        counts: Metrics.
        rng: For weights and ties.
        now: Monotonic seconds.

    Attributes:
        publish: Sends a fact to other instances.
        releases: The releases that services have had lately.
        on_releases_changed: Called after ``releases`` may have changed.
        controls_overload: Returns whether the deployment asks for overload
            control by the whole fleet for a service.
        on_gone: Called with the keys of servers that are no longer listed, or
            whose exit another instance has confirmed.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        listed: directory.Directory,
        eligible: eligibility.Eligibility,
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self.cfg = cfg
        self.eligible = eligible
        self.connection_pool = connection_pool.ConnectionPool(
            now=now,
            on_closed_early=lambda server: self._doubt_entry(
                server, "connection closed early", returned=True
            ),
        )
        self.reach = server_reach.ServerReach(
            cfg=cfg,
            eligible=eligible,
            connection_pool=self.connection_pool,
            stats_of=lambda service: self.chooser(service).stats,
            on_unreachable=self._record_unreachable,
            on_leaving=lambda server: self.reports.handle_peer_report(server),
            on_exit=functools.partial(self._on_exit, returned=False),
            on_return=functools.partial(self._on_exit, returned=True),
            log=log,
            counts=counts,
            rng=rng,
            now=now,
        )
        self.publish: Callable[[facts.Fact], None] = _discard
        self.releases = releases.ReleaseHistory(
            life_s=stream_origins.MIN_LIFE_S
        )
        # Whether no server has ever been removed from the first list.
        self.list_is_complete = False
        self.controls_overload: Callable[[str], bool] = _never
        self.on_releases_changed: Callable[[], None] = _do_nothing
        self.on_gone: Callable[[Collection[bytes]], None] = _ignore
        self.reports = server_reports.ReportHandler(
            availability=eligible.availability,
            on_load=self.record_reported_load,
            on_backoff=self._on_backoff,
            publish=lambda fact: self.publish(fact),
            log=log,
            counts=counts,
            now=now,
        )
        self.fleet = fleet_size.FleetSize(alone=not cfg.seeds)
        self._listed = listed
        self._log = log
        self._metrics = counts
        self._rng = rng
        self._now = now
        self._keys = listed_servers.ListedServers(now=now)
        self._choosers: dict[str, server_choice.Chooser] = {}
        self._limits = service_limits.ServiceLimits(
            current=lambda: self.cfg,
            instance_count=lambda: self.fleet.estimate(now()),
        )
        self._facts = fact_application.FactApplication(
            listed=listed,
            keys=self._keys,
            eligible=eligible,
            chooser=self.chooser,
            reports=self.reports,
            on_backoff=self._on_backoff,
            on_exit=self._on_peer_exit,
            now=now,
        )

    def chooser(self, service: str) -> server_choice.Chooser:
        """Returns the chooser for a service."""
        found = self._choosers.get(service)
        if found is None:
            found = server_choice.Chooser(
                data_centre=self.cfg.data_centre,
                rng=self._rng,
                policy=self.cfg.policy,
            )
            found.is_relayed = self.reach.relays.may_reach
            found.cached_parts.avoids_silent = functools.partial(
                self._controls_overload, service
            )
            self._choosers[service] = found
        return found

    def _controls_overload(self, service: str) -> bool:
        return self.controls_overload(service)

    def overload(self, service: str) -> local_admission.AdmissionControl:
        """Returns the admission control of a service."""
        return self._limits.overload(service)

    def fleet_admission(self, service: str) -> admission.FleetAdmission:
        """Returns the admission control of a service by the fleet's demand."""
        return self._limits.fleet_admission(service)

    def reset_fleet_admission(self) -> None:
        """Makes changed weights of teams take effect."""
        self._limits.reset_fleet_admission()

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        return self._limits.budget(service)

    def reports_slowdown(self, service: str) -> bool:
        """Returns whether servers of a service have reported slowdowns lately.

        That is, in ``slowdown.REPORTED_S``, to this or another instance.
        """
        chooser = self._choosers.get(service)
        return chooser is not None and chooser.stats.slowdowns.is_reported(
            self._now()
        )

    def record_reported_load(
        self, server: directory.BackendServer, load: messages.Load
    ) -> None:
        """Records the load that a server reports and publishes it."""
        now = self._now()
        work = load.running + load.waiting
        stats = self.chooser(server.service).stats
        slowdown = load.slowdown if load.reports_slowdown else None
        stats.record_load_report(
            server.server_id, work=work, at_s=now, slowdown=slowdown
        )
        key = directory.short_id(server.server_id)
        self.publish(
            facts.ServerLoad(server=key, work=work, at_s=now, slowdown=slowdown)
        )

    def record_sent_prompt(
        self, server: directory.BackendServer, sent: prompt.Prompt
    ) -> None:
        """Records the prompt parts that a server now caches; publishes them."""
        chooser = self.chooser(server.service)
        new_parts = chooser.record_sent(sent, server.server_id, self._now())
        key = directory.short_id(server.server_id)
        for part in new_parts:
            self.publish(facts.PartCached(server=key, part=part))

    def apply_fact(self, fact: facts.Fact) -> None:
        """Applies a fact about a server that another instance published."""
        self._facts.apply(fact)

    def publish_cold(self, changes: Iterable[directory.Change]) -> None:
        """Publishes which servers the store lists as cold."""
        now = self._now()
        for change in changes:
            if change.server is not None and change.server.cold_s:
                key = directory.short_id(change.entry_id)
                until_s = now + change.server.cold_s
                self.publish(facts.ServerCold(server=key, until_s=until_s))

    def publish_leaving(
        self, leaving: Iterable[directory.BackendServer]
    ) -> None:
        """Publishes which servers have announced that they leave."""
        for server in leaving:
            key = directory.short_id(server.server_id)
            self.publish(facts.ServerLeaving(server=key))

    def on_list_changed(self) -> None:
        """Drops the state of servers that are no longer listed."""
        servers = self._listed.servers()
        names = frozenset(server.server_id for server in servers)
        gone = self._keys.update(servers)
        for chooser in self._choosers.values():
            chooser.stats.retain(names)
            chooser.load_limits.retain(names)
        self.connection_pool.retain(names)
        self.reach.retain(names)
        self.eligible.cold.retain(names)
        self.eligible.doubts.retain(names)
        self.eligible.availability.retain(names, self._now())
        self._abort_replaced(servers)
        self.releases.update(
            servers,
            self._now(),
            is_complete=self.list_is_complete,
        )
        self.on_releases_changed()
        self.on_gone(gone)
        self._metrics.servers.set(len(servers))

    def by_key(self, key: bytes) -> directory.BackendServer | None:
        """Returns the listed server that has a key, if any."""
        return self._keys.by_key(key)

    def recently_delisted(self, key: bytes) -> bool:
        """Returns whether a server was listed until recently."""
        return self._keys.recently_delisted(key)

    def _abort_replaced(
        self, servers: tuple[directory.BackendServer, ...]
    ) -> None:
        incarnations = {server.entry_id: server.server_id for server in servers}
        count = self.connection_pool.abort_replaced(incarnations)
        if count:
            self._log.instance("exchanges_of_ended_lives", broken_off=count)

    def _on_peer_exit(
        self, server: directory.BackendServer, *, returned: bool
    ) -> None:
        self._doubt_entry(server, "exit seen by peer", returned=returned)
        self.on_gone([directory.short_id(server.server_id)])

    def _on_exit(
        self, server: directory.BackendServer, *, returned: bool
    ) -> None:
        key = directory.short_id(server.server_id)
        fact = facts.ServerExited(server=key, returned=returned)
        self.publish(fact)
        self._doubt_entry(server, "exit", returned=returned)

    def _doubt_entry(
        self, server: directory.BackendServer, sign: str, *, returned: bool
    ) -> None:
        """Notes that an entry may describe a process that has ended."""
        if not self.eligible.is_doubtful(server):
            self._log.instance(
                "server_entry_in_doubt", server=server.server_id, sign=sign
            )
        doubts = self.eligible.doubts
        record = doubts.record_return if returned else doubts.record_exit
        record(server, self._now())

    def _on_backoff(self, server: directory.BackendServer) -> None:
        chooser = self.chooser(server.service)
        chooser.load_limits.record_backoff(server.server_id, self._now())

    def _record_unreachable(
        self, server: directory.BackendServer, request: str, detail: str
    ) -> None:
        outcome = server_stats.Outcome.UNREACHABLE
        self.record_observation(server, outcome, request, detail)

    def record_observation(
        self,
        server: directory.BackendServer,
        outcome: server_stats.Outcome,
        request: str,
        detail: str = "",
    ) -> None:
        """Records what a request showed about a server."""
        stats = self.chooser(server.service).stats
        why = stats.record_outcome(server.server_id, outcome, self._now())
        if outcome is not server_stats.Outcome.SUCCESS:
            self._metrics.failures.labels(outcome.value).inc()
        if why:
            self._metrics.rests.labels(server.service).inc()
            self._log.warning(
                "server_rests",
                server=server.server_id,
                address=server.address,
                service=server.service,
                why=why,
                seen=outcome.value,
                request=request,
                detail=detail,
            )


def _ignore(keys: Collection[bytes]) -> None:
    """Default for ``on_gone``."""


def _never(service: str) -> bool:
    """Default for ``controls_overload``."""
    return False


def _do_nothing() -> None:
    """Default for ``on_releases_changed``."""


def _discard(fact: facts.Fact) -> None:
    """Default for ``publish``, used until gossip is connected."""
