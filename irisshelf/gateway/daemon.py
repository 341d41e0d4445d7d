"""Runs one entry instance: listeners, followers, signals, planned stop."""

from __future__ import annotations

import pathlib
import random
import signal
import sys
from collections.abc import Callable

import gevent
import result

from irisshelf.coordination import local_membership
from irisshelf.coordination import membership
from irisshelf.gateway import dialect
from irisshelf.gateway import instance
from irisshelf.gateway import listener
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import crash_gossip
from irisshelf.gateway.knowledge import datagrams
from irisshelf.gateway.knowledge import fact_gossip
from irisshelf.gateway.knowledge import follower
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import store_updates
from irisshelf.gateway.requests import frontend
from irisshelf.observe import decision_log
from irisshelf.store import feed
from irisshelf.transport import server as caller_side

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
# The balancer asks every second and needs two misses; meanwhile callers come.
_LAME_DUCK_S = 3.2
# Kept of the time to stop, for the process to end by itself.
_STOP_MARGIN_S = 0.5
_STEP_S = 0.05
# Of the process' descriptors, those for callers' connections; others go to
# servers, instances, the store and files.
_CALLERS_SHARE = 0.5
# The settings file may change without a signal; how often it is looked at.
_SETTINGS_EVERY_S = 2.0
_ADMIN_LIMITS = caller_side.Limits(
    head_bytes=16384, body_bytes=65536, head_s=3.0, idle_s=60.0
)
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class Daemon:
    """One entry instance.

    Args:
        cfg: The settings.
        path: Where they stand.
        make_dialect: Makes what callers and servers speak.
        make_store: Makes the store's client from its address.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        path: pathlib.Path,
        make_dialect: Callable[[], dialect.Dialect],
        make_store: Callable[[str], feed.Feed],
    ):
        self._path = path
        self._data = _read(path)
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
            on_peer_count=self._take_members,
        )
        self._members = local_membership.LocalMembership(
            membership=self._peers.membership,
            alone=not cfg.seeds,
            began_s=self._inst.now(),
        )
        self._inst.eligible.members = self._names_here
        self._datagrams = datagrams.Datagrams(
            address=cfg.listen.peers, log=self._log
        )
        self._crash_news = crash_gossip.CrashGossip(
            crashes=self._inst.crashes,
            datagrams=self._datagrams,
            membership=self._peers.membership,
            log=self._log,
        )
        self._peers.register_handler(
            crash_gossip.SNAPSHOT_PATH, self._crash_news.snapshot
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
        self._front = frontend.Frontend(inst=self._inst)
        self._listeners = [
            self._listener(
                cfg.listen.front, self._front.limits, self._front.handle
            ),
            self._listener(cfg.listen.ready, _admin_limits, self._ready),
            self._listener(cfg.listen.metrics, _admin_limits, self._metrics),
            self._listener(cfg.listen.peers, _admin_limits, self._peers.handle),
        ]

    def run(self) -> None:
        """Serves until told to stop.

        Raises:
            OSError: An address cannot be listened on.
        """
        decision_log.start(self._log)
        gevent.spawn(self._datagrams.run)
        if self._inst.cfg.policy.gossip:
            self._start_gossip()
        for one in self._listeners:
            one.start()
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, self._on_stop)
        gevent.signal_handler(signal.SIGHUP, self._reload, "signal")
        for table in feed.Table:
            gevent.spawn(self._follower.run, table)
        gevent.spawn(self._follower.expire_lapsed)
        gevent.spawn(self._watch_settings)
        gevent.spawn(self._peers.run)
        gevent.spawn(
            self._crash_news.catch_up,
            lambda: self._peers.request_any(crash_gossip.SNAPSHOT_PATH),
        )
        cfg = self._inst.cfg
        self._log.instance(
            "start", data_centre=cfg.data_centre, front=cfg.listen.front
        )
        while not self._inst.stopping:
            gevent.sleep(_STEP_S)
        self._drain()
        self._log.instance("stop", in_flight=self._inst.in_flight)
        self._log.flush()

    def _start_gossip(self) -> None:
        gossip = fact_gossip.FactGossip(
            datagrams=self._datagrams,
            membership=self._peers.membership,
            on_fact=self._inst.servers.apply_fact,
            rng=self._inst.rng,
        )
        self._inst.servers.publish = gossip.publish
        gevent.spawn(gossip.run)

    def _take_members(self, others_here: int) -> None:
        """Takes how many other instances the own data centre has.

        Data centres are taken to be alike: this serves to share a budget, of
        which enough is kept back for some that are half as large again.
        """
        count = 1
        if others_here:
            places = max(1, len(self._inst.cfg.data_centres))
            count = (others_here + 1) * places
        self._inst.servers.fleet.record(count, self._inst.now())
        # What is known now counts for a minute, see ``local_membership``.
        self._names_here()

    def _names_here(self) -> tuple[str, ...]:
        return self._members.names(self._inst.now())

    def _listener(self, address, limits, handle) -> listener.Listener:
        return listener.Listener(
            address=address,
            limits=limits,
            handle=handle,
            refuse=self._front.refuse,
            log=self._log,
            most=max(1, int(_CALLERS_SHARE * self._inst.cfg.descriptors)),
        )

    def _on_stop(self) -> None:
        if not self._inst.stopping:
            self._inst.stopping_since_s = self._inst.now()
            self._log.instance("stopping", in_flight=self._inst.in_flight)
            gevent.spawn(self._peers.announce_departure)

    def _drain(self) -> None:
        """Ends open requests; callers come until the balancer has noticed."""
        since_s = self._inst.stopping_since_s
        end_s = since_s + self._inst.cfg.bounds.stop_s - _STOP_MARGIN_S
        callers = self._listeners[0]
        while self._inst.now() < end_s:
            gevent.sleep(_STEP_S)
            noticed = self._inst.now() - since_s > _LAME_DUCK_S
            if noticed and not callers.busy:
                break
        callers.stop_accepting()
        callers.close_idle()
        while callers.busy and self._inst.now() < end_s:
            gevent.sleep(_STEP_S)

    def _watch_settings(self) -> None:
        while True:
            gevent.sleep(_SETTINGS_EVERY_S)
            if _read(self._path) != self._data:
                self._reload("file changed")

    def _reload(self, why: str) -> None:
        """Takes new settings; addresses hold until the next start."""
        self._data = _read(self._path)
        loaded = settings.decode(self._data)
        if isinstance(loaded, result.Err):
            self._log.problem("reload_refused", why=why, detail=loaded.err())
            return
        cfg = loaded.ok_value
        fixed = ("instance", "data_centre", "listen", "store", "seeds")
        later = [n for n in fixed if getattr(cfg, n) != _get(self._inst.cfg, n)]
        self._inst.apply_settings(cfg)
        self._log.instance("reload", why=why, from_next_start=later)

    def _ready(
        self, request: caller_side.Request, conn: caller_side.Connection
    ) -> None:
        ready = self._inst.check_readiness()
        conn.answer(_OK if ready else _UNAVAILABLE, [], b"")

    def _metrics(
        self, request: caller_side.Request, conn: caller_side.Connection
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
) -> int:
    """Runs an instance from a settings file; returns the exit code."""
    loaded = settings.load(path)
    if isinstance(loaded, result.Err):
        print(loaded.err_value, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        Daemon(
            cfg=loaded.ok_value,
            path=path,
            make_dialect=make_dialect,
            make_store=make_store,
        ).run()
    except OSError as exc:
        print(f"cannot listen: {exc}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return EXIT_OK


def _admin_limits() -> caller_side.Limits:
    return _ADMIN_LIMITS


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # Settings that are being replaced; the next look finds them.
        return b""


def _get(cfg: settings.Settings, name: str) -> object:
    return getattr(cfg, name)
