"""Which servers this instance reaches, by itself or through other instances.

Collects the results of all connection attempts: those of requests, of probes in
the background, and of other instances. From them follows whether a server, its
process, or the link of this instance is at fault.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from collections.abc import Iterable

import gevent

from irisshelf.catalog import directory
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway.servers import connection_pool as connection_pool_module
from irisshelf.gateway.servers import eligibility
from irisshelf.gateway.servers import process_exits
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import relays
from irisshelf.observe import decision_log
from irisshelf.routing.direct import own_link
from irisshelf.routing.direct import server_paths
from irisshelf.routing.direct import server_state
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


class ServerReach:
    """Paths to the servers of all services.

    Args:
        cfg: The settings.
        eligible: Which servers may receive requests.
        connection_pool: Receives the connections that probes open.
        stats_of: Returns the statistics of a service's servers.
        on_unreachable: Called with a server to which a connection has failed,
            the request that needed it, and details.
        on_leaving: Called with a server that leaves, as other instances know.
        on_exit: Called with a server whose process has exited.
        on_return: Called with such a server once it is back.
        log: The decision log.
        counts: Metrics.
        rng: Picks servers and relays.
        now: Monotonic seconds.

    Attributes:
        prober: Probes silent and unreachable servers.
        relays: Connects to servers through other instances.
        exits: Whether processes of servers have exited.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        eligible: eligibility.Eligibility,
        connection_pool: connection_pool_module.ConnectionPool,
        stats_of: Callable[[str], server_stats.ServerStats],
        on_unreachable: Callable[[directory.BackendServer, str, str], None],
        on_leaving: Callable[[directory.BackendServer], None],
        on_exit: Callable[[directory.BackendServer], None],
        on_return: Callable[[directory.BackendServer], None],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._cfg = cfg
        self._eligible = eligible
        self._connection_pool = connection_pool
        self._stats_of = stats_of
        self._on_unreachable = on_unreachable
        self._on_leaving = on_leaving
        self._on_return = on_return
        self._log = log
        self._metrics = counts
        self._now = now
        self.prober = reachability.ReachabilityProber(
            connection_pool=connection_pool,
            listed=eligible.probeable,
            last_activity_s=self._last_activity_s,
            on_reached=self._on_probed,
            on_unreachable=self._on_probe_failed,
            rng=rng,
            now=now,
            enabled=cfg.policy.reach,
        )
        self.relays = relays.Relays(
            data_centre=cfg.data_centre,
            regions=cfg.regions,
            connection_pool=connection_pool,
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
            on_exit=on_exit,
            rng=rng,
            now=now,
        )
        self._own_links: dict[str, own_link.OwnLink] = collections.defaultdict(
            own_link.OwnLink
        )
        # Unreachable servers that other instances have been found to reach.
        self._relayed: set[str] = set()
        # By server id: checks in progress of whether its process has ended.
        self._checked: dict[str, gevent.Greenlet] = {}
        # By service: since when none of its servers can be reached.
        self._out_of_reach_s: dict[str, float] = {}

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
        servers = [s for name in services for s in self._eligible.usable(name)]
        return bool(servers) and all(map(self.is_unreachable, servers))

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
        stats = self._stats_of(server.service)
        stats.record_received(server.server_id, self._now())

    def is_unreachable(self, server: directory.BackendServer) -> bool:
        """Returns whether this instance's last attempt to connect failed."""
        return self._stats_of(server.service).is_unreachable(server.server_id)

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
    ) -> server_state.ConnectFailure | None:
        """Returns how connections to an unreachable server have failed."""
        stats = self._stats_of(server.service)
        return stats.connect_failure(server.server_id)

    def recent_connect_failure(
        self, server: directory.BackendServer
    ) -> server_state.ConnectFailure | None:
        """Returns the failures if another attempt now would fail as well.

        That is so if the server is probed in the background, and the latest of
        several attempts has failed just now.
        """
        failure = self.connect_failure(server)
        if (
            failure is None
            or failure.count < _CERTAIN_FAILURES
            or not self._cfg.policy.reach
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
        stats = self._stats_of(server.service)
        stats.record_connect_failure(
            server.server_id, timed_out=exc.timed_out, now=self._now()
        )
        if not stats.is_unreachable(server.server_id):
            self._own_links[server.service].record_failed(
                server.server_id, timed_out=exc.timed_out, now=self._now()
            )
        was_unreachable = stats.is_unreachable(server.server_id)
        self._on_unreachable(server, request, str(exc))
        if not was_unreachable:
            self._check_service_reach(server.service)
        if not exc.timed_out:
            self.exits.record_refused(server)
        self.prober.start_probing(server, silent=exc.timed_out)
        self.relays.check_if_due(server)

    def check_process(self, server: directory.BackendServer) -> None:
        """Finds out whether a server's process has ended, in the background.

        Called when the server has broken off a response.
        """
        if server.server_id not in self._checked and not self.is_unreachable(
            server
        ):
            self._checked[server.server_id] = gevent.spawn(
                self._check_process, server
            )

    def _check_process(self, server: directory.BackendServer) -> None:
        try:
            self._probe_directly(server)
        finally:
            del self._checked[server.server_id]

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are no longer listed."""
        self.prober.retain(names)
        self.relays.retain(names)
        self.exits.retain(names)
        self._relayed &= names

    def close(self) -> None:
        """Stops all probes."""
        gevent.killall(list(self._checked.values()))
        self.prober.close()
        self.relays.close()

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
        count = self._connection_pool.close_idle(
            server, before_s=silent_since_s, relayed=relayed
        )
        if count:
            self._log.instance(
                "connections_doubted",
                server=server.server_id,
                address=server.address,
                closed=count,
            )

    def _last_activity_s(self, server: directory.BackendServer) -> float:
        return self._stats_of(server.service).last_received_s(server.server_id)

    def _on_probed(self, server: directory.BackendServer) -> None:
        self._metrics.connects.labels(server.service).inc()
        self.record_reached(server)

    def record_reached(self, server: directory.BackendServer) -> None:
        """Records that a connection to a server was established directly."""
        self._own_links[server.service].record_alive()
        self._relayed.discard(server.server_id)
        self.relays.record_reached(server)
        if self.is_unreachable(server):
            self._log_in_reach(server)
            if self.relays.works():
                # What failed was the link of this instance.
                self._clear_failures(server)
        if self.exits.take_exited(server):
            # The process has restarted; its new entry follows a little later.
            self._eligible.assume_cold(server)
            self._on_return(server)
        stats = self._stats_of(server.service)
        stats.record_connect(server.server_id, self._now())

    def _log_in_reach(self, server: directory.BackendServer) -> None:
        self._log.instance(
            "server_in_reach",
            server=server.server_id,
            address=server.address,
            service=server.service,
        )
        if self._out_of_reach_s.pop(server.service, None) is not None:
            self._log.instance("service_in_reach", service=server.service)

    def _check_service_reach(self, service: str) -> None:
        """Logs that none of a service's servers can be reached."""
        if service in self._out_of_reach_s:
            return
        servers = self._eligible.usable(service)
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
        stats = self._stats_of(server.service)
        stats.clear_failures(server.server_id)

    def _on_relay_verdict(
        self,
        server: directory.BackendServer,
        verdict: server_paths.Verdict,
        relay: str,
    ) -> None:
        if verdict is server_paths.Verdict.LEAVING:
            self._on_leaving(server)
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
        if not self.is_unreachable(server):
            return
        self.exits.judge(server, verdict)
        self._log.instance(
            "server_path_checked",
            server=server.server_id,
            found=verdict.value if verdict else "",
            exited=self.exits.has_exited(server),
        )

    def _probe_directly(self, server: directory.BackendServer) -> bool:
        self._metrics.connects.labels(server.service).inc()
        try:
            conn = client.connect(
                server.address, timeout_s=reachability.CONNECT_TIMEOUT_S
            )
        except errors.ConnectError as exc:
            self.record_unreachable(server, exc, "")
            return False
        self._connection_pool.add_idle(server, conn)
        self.record_reached(server)
        return True

    def _on_probe_failed(
        self, server: directory.BackendServer, exc: errors.ConnectError
    ) -> None:
        self.record_unreachable(server, exc, "")
