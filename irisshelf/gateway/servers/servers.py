"""State of backend servers, as one instance sees them, and access to them."""

from __future__ import annotations

import collections
import functools
import random
from collections.abc import Callable
from collections.abc import Iterable

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.coordination import fleet_size
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway.servers import connection_pool
from irisshelf.gateway.servers import eligibility
from irisshelf.gateway.servers import process_exits
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import relays
from irisshelf.gateway.servers import server_reports
from irisshelf.observe import decision_log
from irisshelf.routing import retry_budget
from irisshelf.routing.direct import overload
from irisshelf.routing.direct import own_link
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_paths
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import errors

# From this number of failed attempts in a row on, and for this long after the
# latest, a server is known to be unreachable without a further attempt. Servers
# are probed more often than that.
_CERTAIN_FAILURES = 2
_RECENT_FAILURE_S = 1.2
# Longer times are logged as unknown.
_MAX_LOGGED_S = 1e6
# How long a server is remembered after it is no longer listed.
_DELISTED_KNOWN_S = 60.0


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
        self.connection_pool = connection_pool.ConnectionPool(now=now)
        self.prober = reachability.ReachabilityProber(
            connection_pool=self.connection_pool,
            listed=eligible.probeable,
            last_activity_s=self._last_activity_s,
            on_reached=self._on_probed,
            on_unreachable=self._on_unreachable,
            rng=rng,
            now=now,
            enabled=cfg.policy.reach,
        )
        self.relays = relays.Relays(
            data_centre=cfg.data_centre,
            regions=cfg.regions,
            connection_pool=self.connection_pool,
            on_verdict=self._on_relay_verdict,
            on_checked=self._on_path_checked,
            log=log,
            counts=counts,
            rng=rng,
            now=now,
            enabled=cfg.policy.relays,
        )
        self.exits = process_exits.ProcessExits(
            listed=eligible.probeable,
            probe=self._probe_directly,
            check=self.relays.check,
            rng=rng,
            now=now,
        )
        self.publish: Callable[[facts.Fact], None] = _discard
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
        self._own_links: dict[str, own_link.OwnLink] = collections.defaultdict(
            own_link.OwnLink
        )
        # Unreachable servers that other instances have been found to reach.
        self._relayed: set[str] = set()
        # By service: since when none of its servers can be reached.
        self._out_of_reach_s: dict[str, float] = {}
        self._listed = listed
        self._log = log
        self._metrics = counts
        self._rng = rng
        self._now = now
        self._by_key: dict[bytes, directory.BackendServer] = {}
        # Entry ids by their keys; these differ from the keys of server ids.
        self._entry_ids: dict[bytes, str] = {}
        self._delisted_s: dict[bytes, float] = {}
        self._choosers: dict[str, server_choice.Chooser] = {}
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._overloads: dict[str, overload.AdmissionControl] = (
            collections.defaultdict(overload.AdmissionControl)
        )

    def is_isolated(self, services: Iterable[str]) -> bool:
        """Returns whether no server can be reached by any path.

        Args:
            services: The services in the configuration.
        """
        return self.reaches_none(services) and not self.relays.works()

    def reaches_none(self, services: Iterable[str]) -> bool:
        """Returns whether this instance itself can reach no server at all.

        All servers hardly fail at once. It is more likely that this instance is
        partitioned, so that other instances can serve its callers better.

        Args:
            services: The services in the configuration. Entries of other
                services are ignored: no requests are sent to them, so that
                they would never be found unreachable.
        """
        servers = [s for name in services for s in self.eligible.usable(name)]
        return bool(servers) and all(map(self.is_unreachable, servers))

    def chooser(self, service: str) -> server_choice.Chooser:
        """Returns the chooser for a service."""
        found = self._choosers.get(service)
        if found is None:
            found = server_choice.Chooser(
                data_centre=self.cfg.data_centre,
                rng=self._rng,
                policy=self.cfg.policy,
            )
            found.is_relayed = self.relays.may_reach
            self._choosers[service] = found
        return found

    def overload(self, service: str) -> overload.AdmissionControl:
        """Returns the admission control of a service."""
        return self._overloads[service]

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = retry_budget.RetryBudget(
                ratio=self.cfg.bounds.retry_share
                * retry_budget.FLEET_SAFETY_FACTOR,
                slack=0.0,
                window_s=self.cfg.bounds.retry_window_s,
            )
            self._budgets[service] = found
        found.slack = retry_budget.instance_slack(
            self.cfg.bounds.retry_slack, self.fleet.estimate(self._now())
        )
        return found

    def record_reported_load(
        self, server: directory.BackendServer, load: messages.Load
    ) -> None:
        """Records the load that a server reports and publishes it."""
        now = self._now()
        work = load.running + load.waiting
        stats = self.chooser(server.service).stats
        stats.record_load_report(server.server_id, work=work, at_s=now)
        key = directory.short_id(server.server_id)
        self.publish(facts.ServerLoad(server=key, work=work, at_s=now))

    def record_sent_prompt(
        self, server: directory.BackendServer, sent: prompt.Prompt
    ) -> None:
        """Records the prompt parts that a server now caches; publishes them."""
        chooser = self.chooser(server.service)
        new_parts = chooser.record_sent(sent, server.server_id, self._now())
        key = directory.short_id(server.server_id)
        for part in new_parts:
            self.publish(facts.PartCached(server=key, part=part))

    @functools.singledispatchmethod
    def apply_fact(self, fact: facts.Fact) -> None:
        """Applies a fact about a server that another instance published."""
        raise TypeError(f"fact is {fact!r}, allowed: {facts.Fact}")

    @apply_fact.register
    def _(self, fact: facts.PartCached) -> None:
        server = self._by_key.get(fact.server)
        if server is not None:
            cache = self.chooser(server.service).cache_locations
            cache.record_from_peer(fact.part, server.server_id, self._now())

    @apply_fact.register
    def _(self, fact: facts.ServerCold) -> None:
        entry_id = self._entry_ids.get(fact.server)
        server = None if entry_id is None else self._listed.get(entry_id)
        if server is not None:
            now = self._now()
            remaining_s = fact.until_s - now
            self.eligible.cold.assume_cold(server.server_id, remaining_s, now)

    @apply_fact.register
    def _(self, fact: facts.ServerPause) -> None:
        server = self._by_key.get(fact.server)
        if server is not None:
            now = self._now()
            remaining_s = fact.until_s - now
            self.eligible.availability.record_peer_pause(
                server.server_id, remaining_s, now
            )
            self._on_backoff(server)

    @apply_fact.register
    def _(self, fact: facts.ServerLeaving) -> None:
        departures = self.eligible.availability.departures
        server = self._by_key.get(fact.server)
        if server is None:
            departures.announce_unlisted(fact.server, self._now())
        else:
            self.reports.handle_peer_report(server)

    @apply_fact.register
    def _(self, fact: facts.ServerLoad) -> None:
        server = self._by_key.get(fact.server)
        if server is not None:
            stats = self.chooser(server.service).stats
            stats.record_load_report(
                server.server_id, work=fact.work, at_s=fact.at_s
            )

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
        before = self._by_key
        self._by_key = {
            directory.short_id(server.server_id): server for server in servers
        }
        self._entry_ids = {
            directory.short_id(server.entry_id): server.entry_id
            for server in servers
        }
        self._note_delisted(before.keys() - self._by_key.keys())
        for chooser in self._choosers.values():
            chooser.stats.retain(names)
            chooser.load_limits.retain(names)
        self.connection_pool.retain(names)
        self.prober.retain(names)
        self.eligible.cold.retain(names)
        self.eligible.availability.retain(names, self._now())
        self.relays.retain(names)
        self.exits.retain(names)
        self._relayed &= names
        self._abort_replaced(servers)
        self._metrics.servers.set(len(servers))

    def by_key(self, key: bytes) -> directory.BackendServer | None:
        """Returns the listed server that has a key, if any."""
        return self._by_key.get(key)

    def recently_delisted(self, key: bytes) -> bool:
        """Returns whether a server was listed until recently."""
        delisted_s = self._delisted_s.get(key, float("-inf"))
        return self._now() - delisted_s < _DELISTED_KNOWN_S

    def _note_delisted(self, keys: Iterable[bytes]) -> None:
        now = self._now()
        self._delisted_s = {
            key: delisted_s
            for key, delisted_s in self._delisted_s.items()
            if now - delisted_s < _DELISTED_KNOWN_S
        }
        self._delisted_s |= dict.fromkeys(keys, now)

    def _abort_replaced(
        self, servers: tuple[directory.BackendServer, ...]
    ) -> None:
        incarnations = {server.entry_id: server.server_id for server in servers}
        count = self.connection_pool.abort_replaced(incarnations)
        if count:
            self._log.instance("exchanges_of_ended_lives", broken_off=count)

    def record_activity(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Records that data has arrived from a server.

        Args:
            server: The server.
            conn: The connection by which it arrived.
        """
        if conn.relay:
            self.relays.paths.record_data(self._now())
            return
        self._own_links[server.service].record_alive()
        stats = self.chooser(server.service).stats
        stats.record_received(server.server_id, self._now())

    def is_unreachable(self, server: directory.BackendServer) -> bool:
        """Returns whether this instance's last attempt to connect failed."""
        return self.chooser(server.service).stats.is_unreachable(
            server.server_id
        )

    def has_path(self, server: directory.BackendServer) -> bool:
        """Returns whether a server can be reached, directly or by relays."""
        return not self.is_unreachable(server) or self.relays.may_reach(
            server.server_id
        )

    def may_have_lost_link(self, service: str) -> bool:
        """Returns whether the own link to a service's servers may be lost."""
        return self._own_links[service].is_suspect(self._now())

    def connect_failure(
        self, server: directory.BackendServer
    ) -> server_stats.ConnectFailure | None:
        """Returns how connections to an unreachable server have failed."""
        stats = self.chooser(server.service).stats
        return stats.connect_failure(server.server_id)

    def recent_connect_failure(
        self, server: directory.BackendServer
    ) -> server_stats.ConnectFailure | None:
        """Returns the failures if another attempt now would fail as well.

        That is so if the server is probed in the background, and the latest of
        several attempts has failed just now.
        """
        failure = self.connect_failure(server)
        if (
            failure is None
            or failure.count < _CERTAIN_FAILURES
            or not self.cfg.policy.reach
            or self._now() - failure.at_s > _RECENT_FAILURE_S
        ):
            return None
        return failure

    def record_unreachable(
        self,
        server: directory.BackendServer,
        exc: errors.ConnectError,
        request: str,
    ) -> None:
        """Records a failed connection attempt and starts probing."""
        stats = self.chooser(server.service).stats
        stats.record_connect_failure(
            server.server_id, timed_out=exc.timed_out, now=self._now()
        )
        if not stats.is_unreachable(server.server_id):
            self._own_links[server.service].record_failed(
                server.server_id, timed_out=exc.timed_out, now=self._now()
            )
        outcome = server_stats.Outcome.UNREACHABLE
        self.record_observation(server, outcome, request, str(exc))
        if not exc.timed_out:
            self.exits.record_refused(server)
        self.prober.start_probing(server, silent=exc.timed_out)
        self.relays.check_if_due(server)

    def close_suspect_connections(
        self,
        server: directory.BackendServer,
        silent_since_s: float,
        *,
        relayed: bool,
    ) -> None:
        """Closes idle connections that may be as dead as one that is silent.

        Args:
            server: The server that they lead to.
            silent_since_s: When one of them went silent, monotonic seconds.
            relayed: Whether it leads through another instance.
        """
        count = self.connection_pool.close_idle(
            server, before_s=silent_since_s, relayed=relayed
        )
        if count:
            self._log.instance(
                "connections_doubted",
                server=server.server_id,
                address=server.address,
                closed=count,
            )

    def _on_backoff(self, server: directory.BackendServer) -> None:
        chooser = self.chooser(server.service)
        chooser.load_limits.record_backoff(server.server_id, self._now())

    def _last_activity_s(self, server: directory.BackendServer) -> float:
        return self.chooser(server.service).stats.last_received_s(
            server.server_id
        )

    def _on_probed(self, server: directory.BackendServer) -> None:
        self._metrics.connects.labels(server.service).inc()
        self.record_reached(server)

    def record_reached(self, server: directory.BackendServer) -> None:
        """Records that a connection to a server was established directly."""
        self._own_links[server.service].record_alive()
        self._relayed.discard(server.server_id)
        self.relays.record_reached(server)
        if self.is_unreachable(server):
            self._log_in_reach(server, "connect")
            if self.relays.works():
                # What failed was the link of this instance.
                self._clear_failures(server)
        if self.exits.take_exited(server):
            # The process has restarted; its new entry follows a little later.
            self.eligible.assume_cold(server)
        stats = self.chooser(server.service).stats
        stats.record_connect(server.server_id, self._now())

    def _log_in_reach(self, server: directory.BackendServer, by: str) -> None:
        self._log.instance(
            "server_in_reach",
            server=server.server_id,
            address=server.address,
            service=server.service,
            by=by,
        )
        if self._out_of_reach_s.pop(server.service, None) is not None:
            self._log.instance("service_in_reach", service=server.service)

    def _check_service_reach(self, service: str) -> None:
        """Logs that none of a service's servers can be reached."""
        if service in self._out_of_reach_s:
            return
        servers = self.eligible.usable(service)
        if not servers or not all(map(self.is_unreachable, servers)):
            return
        self._out_of_reach_s[service] = self._now()
        received_s = max(map(self._last_activity_s, servers))
        silent_s = self._now() - received_s
        self._log.warning(
            "service_out_of_reach",
            service=service,
            servers=len(servers),
            silent_s=round(silent_s, 3) if silent_s < _MAX_LOGGED_S else None,
        )

    def _clear_failures(self, server: directory.BackendServer) -> None:
        stats = self.chooser(server.service).stats
        stats.clear_failures(server.server_id)

    def _on_relay_verdict(
        self,
        server: directory.BackendServer,
        verdict: server_paths.Verdict,
        relay: str,
    ) -> None:
        if verdict is server_paths.Verdict.LEAVING:
            self.reports.handle_peer_report(server)
        if (
            verdict is not server_paths.Verdict.REACHED
            or not self.is_unreachable(server)
            or server.server_id in self._relayed
        ):
            return
        self._relayed.add(server.server_id)
        self._clear_failures(server)
        self.exits.judge(server, verdict)
        self._log.instance(
            "server_relayed",
            server=server.server_id,
            address=server.address,
            service=server.service,
            relay=relay,
        )

    def _on_path_checked(
        self,
        server: directory.BackendServer,
        verdict: server_paths.Verdict | None,
    ) -> None:
        if self.is_unreachable(server):
            self.exits.judge(server, verdict)

    def _probe_directly(self, server: directory.BackendServer) -> bool:
        self._metrics.connects.labels(server.service).inc()
        try:
            conn = client.connect(
                server.address, timeout_s=reachability.CONNECT_TIMEOUT_S
            )
        except errors.ConnectError as exc:
            self.record_unreachable(server, exc, "")
            return False
        self.connection_pool.add_idle(server, conn)
        self.record_reached(server)
        return True

    def _on_unreachable(
        self, server: directory.BackendServer, exc: errors.ConnectError
    ) -> None:
        self.record_unreachable(server, exc, "")

    def record_observation(
        self,
        server: directory.BackendServer,
        outcome: server_stats.Outcome,
        request: str,
        detail: str = "",
    ) -> None:
        """Records what a request showed about a server."""
        stats = self.chooser(server.service).stats
        was_unreachable = self.is_unreachable(server)
        why = stats.record_outcome(server.server_id, outcome, self._now())
        if was_unreachable and not self.is_unreachable(server):
            self._log_in_reach(server, "response")
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
        if outcome is server_stats.Outcome.UNREACHABLE and why:
            self._check_service_reach(server.service)


def _discard(fact: facts.Fact) -> None:
    """Default for ``publish``, used until gossip is connected."""
