"""Runs one entry instance: listeners, followers, signals, graceful stop."""

from __future__ import annotations

import pathlib
import random
import signal
import sys
from collections.abc import Callable

import gevent
import result

from irisshelf import lifetime_signals
from irisshelf.coordination import local_membership
from irisshelf.coordination import membership
from irisshelf.gateway import dialect
from irisshelf.gateway import drain
from irisshelf.gateway import instance
from irisshelf.gateway import listener
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import catch_up
from irisshelf.gateway.knowledge import crash_gossip
from irisshelf.gateway.knowledge import datagrams
from irisshelf.gateway.knowledge import demand_exchange
from irisshelf.gateway.knowledge import fact_gossip
from irisshelf.gateway.knowledge import follower
from irisshelf.gateway.knowledge import origin_exchange
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import release_exchange
from irisshelf.gateway.knowledge import return_exchange
from irisshelf.gateway.knowledge import store_updates
from irisshelf.gateway.knowledge import stored_origins
from irisshelf.gateway.requests import frontend
from irisshelf.gateway.servers import relay_endpoint
from irisshelf.gateway.servers import relays
from irisshelf.observe import decision_log
from irisshelf.store import feed
from irisshelf.store import records
from irisshelf.transport import server as caller_server

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
_POLL_INTERVAL_S = 0.05
# Share of the file descriptors for connections of callers. The rest is for
# backend servers, other instances, the store and files.
_CALLER_DESCRIPTOR_SHARE = 0.5
# Share of them for connections of other instances to servers; each takes two.
_RELAY_DESCRIPTOR_SHARE = 0.125
# The settings file is checked for changes at this interval, since it may be
# replaced without a signal.
_SETTINGS_POLL_S = 2.0
# For how long an instance that starts waits for its peers' answers.
_CATCH_UP_LIMIT_S = 0.6
_ADMIN_LIMITS = caller_server.Limits(
    head_bytes=16384, body_bytes=65536, head_s=3.0, idle_s=60.0
)
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503

Decoder = Callable[[bytes], result.Result[settings.Settings, str]]


class Daemon:
    """One entry instance.

    Args:
        cfg: The settings.
        path: The settings file.
        make_dialect: Creates the dialect of callers and backend servers.
        make_store: Creates the store client for an address.
        make_records: Creates the client of its records for an address.
        decode_settings: Validates the content of the settings file.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        path: pathlib.Path,
        make_dialect: Callable[[], dialect.Dialect],
        make_store: Callable[[str], feed.Feed],
        make_records: Callable[[str], records.Records],
        decode_settings: Decoder = settings.decode,
    ):
        self._path = path
        self._decode_settings = decode_settings
        self._data = _read_file(path)
        self._log = decision_log.DecisionLog(
            instance=cfg.instance, lines_per_s=cfg.log_lines_per_s
        )
        self._inst = instance.Instance(
            cfg=cfg,
            dialect=make_dialect(),
            log=self._log,
            rng=random.Random(),
        )
        self._peers = peer_discovery.PeerDiscovery(
            own=membership.Member(
                name=cfg.instance,
                address=cfg.listen.peers,
                data_centre=cfg.data_centre,
                link_mbps=cfg.link_mbps,
            ),
            seeds=cfg.seeds,
            log=self._log,
            on_peer_count=self._update_fleet_size,
        )
        self._members = local_membership.LocalMembership(
            membership=self._peers.membership,
            alone=not cfg.seeds,
            began_s=self._inst.now(),
        )
        self._inst.eligible.members = self._local_instance_names
        self._datagrams = datagrams.Datagrams(
            address=cfg.listen.peers, log=self._log
        )
        self._crash_gossip = crash_gossip.CrashGossip(
            crashes=self._inst.crash_tracker,
            datagrams=self._datagrams,
            membership=self._peers.membership,
            log=self._log,
        )
        self._inst.suspect_requests.is_designated = (
            self._crash_gossip.is_designated
        )
        self._crash_catch_up = catch_up.CatchUp(
            path=crash_gossip.SNAPSHOT_PATH,
            encode=self._crash_gossip.snapshot,
            apply=self._crash_gossip.apply_snapshot,
            needed_s=crash_gossip.NEEDED_S,
            peers=self._peers,
            rng=self._inst.rng,
            now=self._inst.now,
        )
        self._demand_exchange = demand_exchange.DemandExchange(
            monitor=self._inst.demand,
            datagrams=self._datagrams,
            membership=self._peers.membership,
            log=self._log,
            rng=self._inst.rng,
            now=self._inst.now,
        )
        self._origins = origin_exchange.OriginExchange(
            releases=self._inst.servers.releases,
            datagrams=self._datagrams,
            peers=self._peers,
            log=self._log,
            counts=self._inst.metrics,
            rng=self._inst.rng,
            is_current=self._inst.is_in_contact,
            has_recent_list=self._inst.has_recent_list,
            now=self._inst.now,
        )
        self._inst.origins = self._origins
        self._stored_origins = stored_origins.StoredOrigins(
            name=cfg.instance,
            store=make_records(cfg.store),
            registry=self._origins,
            history=self._inst.servers.releases,
            has_recent_list=self._inst.has_recent_list,
            count_members=lambda: len(self._peers.members()) + 1,
            log=self._log,
            counts=self._inst.metrics,
            now=self._inst.now,
        )
        self._inst.use_returns(
            return_exchange.ReturnExchange(
                datagrams=self._datagrams,
                membership=self._peers.membership,
                counts=self._inst.metrics,
                log=self._log,
                rng=self._inst.rng,
                now=self._inst.now,
            )
        )
        self._releases = release_exchange.ReleaseExchange(
            releases=self._inst.servers.releases,
            peers=self._peers,
            log=self._log,
            rng=self._inst.rng,
            on_changed=self._origins.on_releases_changed,
            on_in_vain=self._origins.record_asked_in_vain,
            has_recent_list=self._inst.has_recent_list,
            now=self._inst.now,
        )
        self._inst.servers.on_releases_changed = (
            self._origins.on_releases_changed
        )
        departures = catch_up.DepartureExchange(
            known=self._inst.eligible.availability.departures,
            on_fact=self._inst.servers.apply_fact,
            log=self._log,
        )
        self._departure_catch_up = catch_up.CatchUp(
            path=catch_up.DEPARTURES_PATH,
            encode=departures.encode,
            apply=departures.apply,
            needed_s=catch_up.DEPARTURES_NEEDED_S,
            peers=self._peers,
            rng=self._inst.rng,
            now=self._inst.now,
        )
        self._follower = follower.Follower(
            inst=self._inst,
            store=make_store(cfg.store),
            updates=store_updates.StoreUpdates(
                datagrams=self._datagrams,
                membership=self._peers.membership,
                log=self._log,
            ),
            peers=self._peers,
        )
        self._relay_endpoint = relay_endpoint.RelayEndpoint(
            servers=self._inst.servers,
            reaches_none=self._inst.reaches_none,
            log=self._log,
            counts=self._inst.metrics,
            max_connections=int(_RELAY_DESCRIPTOR_SHARE * cfg.descriptors / 2),
        )
        self._peers.register_stream_handler(
            relays.PATH, self._relay_endpoint.handle
        )
        self._inst.servers.reach.relays.members = self._peers.members
        self._front = frontend.Frontend(inst=self._inst)
        self._callers = self._make_listener(
            cfg.listen.front,
            self._front.limits,
            self._front.handle,
            buffers=self._front.slow_callers.buffers,
            bodies=self._inst.request_memory,
        )
        self._listeners = [
            self._callers,
            self._make_listener(
                cfg.listen.ready, _admin_limits, self._handle_ready
            ),
            self._make_listener(
                cfg.listen.metrics, _admin_limits, self._handle_metrics
            ),
            self._make_listener(
                cfg.listen.peers, _admin_limits, self._peers.handle
            ),
        ]

    def run(self) -> None:
        """Serves until a stop signal is received.

        Raises:
            OSError: An address cannot be bound.
        """
        decision_log.start(self._log)
        self._inst.crashes_known = not self._inst.cfg.seeds
        gevent.spawn(self._datagrams.run)
        gevent.spawn(self._origins.run)
        gevent.spawn(self._stored_origins.run)
        if self._inst.cfg.policy.gossip:
            self._start_gossip()
        for each in self._listeners:
            each.start()
        self._handle_signals()
        for table in feed.Table:
            gevent.spawn(self._follower.run, table)
        gevent.spawn(self._follower.expire_lapsed)
        gevent.spawn(self._watch_settings)
        gevent.spawn(self._peers.run)
        gevent.spawn(self._catch_up_with_crashes)
        gevent.spawn(self._releases.catch_up)
        gevent.spawn(self._departure_catch_up.run)
        cfg = self._inst.cfg
        self._log.instance(
            "start", data_centre=cfg.data_centre, front=cfg.listen.front
        )
        while not self._inst.stopping:
            gevent.sleep(_POLL_INTERVAL_S)
        self._drain()
        self._log.instance("stop", in_flight=self._inst.in_flight)
        self._log.flush()

    def _catch_up_with_crashes(self) -> None:
        """Asks peers which requests crash servers, before any is served.

        Neither peers that cannot be reached nor peers that have just started as
        well keep the instance from serving; it goes on asking meanwhile.
        """
        gevent.spawn(self._crash_catch_up.run)
        if not self._crash_catch_up.answered.wait(_CATCH_UP_LIMIT_S):
            self._log.instance("crashes_not_caught_up")
        self._inst.crashes_known = True

    def _handle_signals(self) -> None:
        """Handles signals, those of the start included."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, self._begin_stop)
        gevent.signal_handler(signal.SIGHUP, self._reload, "signal")
        arrived_s = lifetime_signals.take()
        if signal.SIGHUP in arrived_s:
            self._reload("signal")
        for signum in (signal.SIGTERM, signal.SIGINT):
            if signum in arrived_s:
                self._begin_stop(arrived_s[signum])

    def _start_gossip(self) -> None:
        gossip = fact_gossip.FactGossip(
            datagrams=self._datagrams,
            membership=self._peers.membership,
            on_fact=self._inst.servers.apply_fact,
            rng=self._inst.rng,
        )
        self._inst.servers.publish = gossip.publish
        gevent.spawn(gossip.run)
        gevent.spawn(self._demand_exchange.run)

    def _update_fleet_size(self, local_peers: int) -> None:
        """Updates the fleet size from the size of the own data centre.

        All data centres are assumed to have the same number of instances. The
        result is used to divide retry slack; its unallocated part covers data
        centres that are larger by half.

        Args:
            local_peers: Number of other instances in the own data centre.
        """
        count = 1
        if local_peers:
            data_centres = max(1, len(self._inst.cfg.data_centres))
            count = (local_peers + 1) * data_centres
        self._inst.servers.fleet.record(count, self._inst.now())
        # Current members count for another minute, see ``local_membership``.
        self._local_instance_names()

    def _local_instance_names(self) -> tuple[str, ...]:
        return self._members.names(self._inst.now())

    def _make_listener(
        self, address, limits, handle, **memory
    ) -> listener.Listener:
        return listener.Listener(
            address=address,
            limits=limits,
            handle=handle,
            refuse=self._front.refuse,
            log=self._log,
            max_connections=max(
                1, int(_CALLER_DESCRIPTOR_SHARE * self._inst.cfg.descriptors)
            ),
            **memory,
        )

    def _begin_stop(self, signalled_s: float | None = None) -> None:
        if not self._inst.stopping:
            self._inst.begin_stop(signalled_s)
            self._log.instance("stopping", in_flight=self._inst.in_flight)
            self._callers.announce_close()
            gevent.spawn(self._peers.announce_departure)
            self._demand_exchange.retire()
            gevent.spawn(self._relay_endpoint.stop)

    def _drain(self) -> None:
        drain.Drain(
            schedule=self._inst.shutdown,
            callers=self._callers,
            relay_endpoint=self._relay_endpoint,
            now=self._inst.now,
        ).run()

    def _watch_settings(self) -> None:
        while True:
            gevent.sleep(_SETTINGS_POLL_S)
            if _read_file(self._path) != self._data:
                self._reload("file changed")

    def _reload(self, why: str) -> None:
        """Applies changed settings; some take effect at the next start only."""
        self._data = _read_file(self._path)
        loaded = self._decode_settings(self._data)
        if isinstance(loaded, result.Err):
            self._log.warning("reload_refused", why=why, detail=loaded.err())
            return
        cfg = loaded.ok_value
        fixed = ("instance", "data_centre", "listen", "store", "seeds")
        deferred = [
            n
            for n in fixed
            if getattr(cfg, n) != _get_setting(self._inst.cfg, n)
        ]
        self._inst.apply_settings(cfg)
        self._log.instance("reload", why=why, from_next_start=deferred)

    def _handle_ready(
        self, request: caller_server.Request, conn: caller_server.Connection
    ) -> None:
        ready = self._inst.check_readiness()
        conn.answer(_OK if ready else _UNAVAILABLE, [], b"")

    def _handle_metrics(
        self, request: caller_server.Request, conn: caller_server.Connection
    ) -> None:
        if request.target.partition("?")[0] != "/metrics":
            conn.answer(_NOT_FOUND, [], b"")
            return
        self._inst.metrics.lines_dropped.set(self._log.dropped)
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        conn.answer(_OK, headers, self._inst.metrics.expose())


def run(
    path: pathlib.Path,
    *,
    make_dialect: Callable[[], dialect.Dialect],
    make_store: Callable[[str], feed.Feed],
    make_records: Callable[[str], records.Records],
    decode_settings: Decoder = settings.decode,
) -> int:
    """Runs an instance from a settings file; returns the exit code."""
    loaded = settings.load(path, decode_settings)
    if isinstance(loaded, result.Err):
        print(loaded.err_value, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        Daemon(
            cfg=loaded.ok_value,
            path=path,
            make_dialect=make_dialect,
            make_store=make_store,
            make_records=make_records,
            decode_settings=decode_settings,
        ).run()
    except OSError as exc:
        print(f"cannot listen: {exc}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return EXIT_OK


def _admin_limits() -> caller_server.Limits:
    return _ADMIN_LIMITS


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # The file is probably being replaced; the next check will find it.
        return b""


def _get_setting(cfg: settings.Settings, name: str) -> object:
    return getattr(cfg, name)
