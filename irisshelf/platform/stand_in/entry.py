"""Entry instances in one process, listening on loopback."""

from __future__ import annotations

import os
import random
from collections.abc import Mapping
from collections.abc import Sequence

import gevent
import result
from gevent import socket

from irisshelf import boottime
from irisshelf.coordination import membership
from irisshelf.gateway import instance
from irisshelf.gateway import listener
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import catch_up
from irisshelf.gateway.knowledge import crash_gossip
from irisshelf.gateway.knowledge import datagrams
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
from irisshelf.platform import http_dialect
from irisshelf.platform import store_feed
from irisshelf.platform import store_records
from irisshelf.platform.stand_in import server
from irisshelf.routing.direct import policy
from irisshelf.store import feed

_ANY_PORT = "127.0.0.1:0"
_PORT_ATTEMPTS = 20
_MAX_RELAYED = 100
_CONNECT_TIMEOUT_S = 0.15


class _Listener(listener.Listener):
    """A listener whose connections can end as those of a killed process."""

    def __init__(self, **options):
        super().__init__(**options)
        self._socks: set[socket.socket] = set()

    def limit_send_buffers(self, size: int) -> None:
        """Limits what the kernel holds for each new connection, in bytes."""
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, size
        )

    def kill(self) -> None:
        """Stops accepting connections and ends those that are open."""
        self.stop_accepting()
        server.end_connections(self._socks)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self._socks.add(sock)
        try:
            super()._serve(sock, peer)
        finally:
            self._socks.discard(sock)


class _Datagrams(datagrams.Datagrams):
    """Datagrams that do not reach some instances.

    Attributes:
        unreachable: Addresses of these.
    """

    def __init__(self, *, unreachable: set[str], **options):
        super().__init__(**options)
        self.unreachable = unreachable

    def send(self, address: str, data: bytes) -> None:
        """See ``datagrams.Datagrams.send``."""
        if address not in self.unreachable:
            super().send(address, data)


class _PeerDiscovery(peer_discovery.PeerDiscovery):
    """Requests that do not reach some instances.

    Attributes:
        unreachable: Addresses of these.
    """

    def __init__(self, *, unreachable: set[str], **options):
        super().__init__(**options)
        self.unreachable = unreachable

    def _get(self, address: str, *args, **options) -> result.Result[bytes, str]:
        if address in self.unreachable:
            gevent.sleep(_CONNECT_TIMEOUT_S)
        else:
            response = super()._get(address, *args, **options)
            # The link may have been cut meanwhile.
            if address not in self.unreachable:
                return response
        return result.Err(f"{address} cannot be reached")


class Entry:
    """One entry instance, put together as the daemon does it.

    Args:
        name: Its name.
        data_centre: Where it stands.
        store: The store's address.
        bounds: Bounds of its settings.
        switched: Mechanisms that it uses.
        known_places: All data centres that it knows by settings.
        regions: The region of each data centre, by settings.
        keys_required: Whether callers have keys, by settings.

    Attributes:
        inst: Its state.
        listener: Its listener for callers.
        slow_callers: Its callers that read slowly.
        follower: What follows the store.
        peers: Its exchanges with other instances.
        closed: Whether it has ended.
        membership: The instances that it knows.
        unreachable: Addresses of instances that it does not reach.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        store: str,
        bounds: settings.Bounds,
        switched: policy.Policy,
        known_places: Sequence[str] = (),
        regions: Mapping[str, str] | None = None,
        keys_required: bool = True,
    ):
        self.closed = False
        self.unreachable: set[str] = set()
        self._log_fd = os.open(os.devnull, os.O_WRONLY)
        log = decision_log.DecisionLog(instance=name, fd=self._log_fd)
        self.inst = instance.Instance(
            cfg=settings.Settings(
                instance=name,
                data_centre=data_centre,
                data_centres=tuple(known_places),
                regions=dict(regions or {}),
                listen=settings.Listen(
                    front=_ANY_PORT,
                    ready=_ANY_PORT,
                    metrics=_ANY_PORT,
                    peers=_ANY_PORT,
                ),
                store=store,
                bounds=bounds,
                keys_required=keys_required,
                policy=switched,
            ),
            dialect=http_dialect.HttpDialect(),
            log=log,
            rng=random.Random(1),
        )
        self._front = frontend.Frontend(inst=self.inst)
        self.slow_callers = self._front.slow_callers
        self.listener = _Listener(
            address=_ANY_PORT,
            limits=self._front.limits,
            handle=self._front.handle,
            refuse=self._front.refuse,
            log=log,
            buffers=self._front.slow_callers.buffers,
            bodies=self.inst.request_memory,
        )
        self.listener.start()
        self._log = log
        self._listen_for_peers()
        self.membership = self.peers.membership
        self.follower = follower.Follower(
            inst=self.inst,
            store=store_feed.StoreFeed(address=store),
            updates=store_updates.StoreUpdates(
                datagrams=self._datagrams, membership=self.membership, log=log
            ),
            peers=self.peers,
        )
        self.crash_gossip = crash_gossip.CrashGossip(
            crashes=self.inst.crash_tracker,
            datagrams=self._datagrams,
            membership=self.membership,
            log=log,
        )
        self._gossip = fact_gossip.FactGossip(
            datagrams=self._datagrams,
            membership=self.membership,
            on_fact=self.inst.servers.apply_fact,
            rng=random.Random(2),
        )
        self.inst.suspect_requests.is_designated = (
            self.crash_gossip.is_designated
        )
        self.crash_catch_up = catch_up.CatchUp(
            path=crash_gossip.SNAPSHOT_PATH,
            encode=self.crash_gossip.snapshot,
            apply=self.crash_gossip.apply_snapshot,
            needed_s=crash_gossip.NEEDED_S,
            peers=self.peers,
            rng=random.Random(5),
            now=boottime.now,
        )
        self.origins = origin_exchange.OriginExchange(
            releases=self.inst.servers.releases,
            datagrams=self._datagrams,
            peers=self.peers,
            log=log,
            counts=self.inst.metrics,
            rng=random.Random(3),
            is_current=self.inst.is_in_contact,
            has_recent_list=self.inst.has_recent_list,
            now=boottime.now,
        )
        self.inst.origins = self.origins
        self.stored_origins = stored_origins.StoredOrigins(
            name=name,
            store=store_records.StoreRecords(address=store),
            registry=self.origins,
            history=self.inst.servers.releases,
            has_recent_list=self.inst.has_recent_list,
            count_members=lambda: len(self.peers.members()) + 1,
            log=log,
            counts=self.inst.metrics,
            now=boottime.now,
        )
        self.inst.use_returns(
            return_exchange.ReturnExchange(
                datagrams=self._datagrams,
                membership=self.membership,
                counts=self.inst.metrics,
                log=log,
                rng=random.Random(7),
                now=boottime.now,
            )
        )
        self.inst.servers.on_releases_changed = self.origins.on_releases_changed
        self.releases = release_exchange.ReleaseExchange(
            releases=self.inst.servers.releases,
            peers=self.peers,
            log=log,
            rng=random.Random(4),
            on_changed=self.origins.on_releases_changed,
            on_in_vain=self.origins.record_asked_in_vain,
            has_recent_list=self.inst.has_recent_list,
            now=boottime.now,
        )
        departures = catch_up.DepartureExchange(
            known=self.inst.eligible.availability.departures,
            on_fact=self.inst.servers.apply_fact,
            log=log,
        )
        self._departure_catch_up = catch_up.CatchUp(
            path=catch_up.DEPARTURES_PATH,
            encode=departures.encode,
            apply=departures.apply,
            needed_s=catch_up.DEPARTURES_NEEDED_S,
            peers=self.peers,
            rng=random.Random(6),
            now=boottime.now,
        )
        self.inst.servers.publish = self._gossip.publish
        self.relay_endpoint = relay_endpoint.RelayEndpoint(
            servers=self.inst.servers,
            reaches_none=self.inst.reaches_none,
            log=log,
            counts=self.inst.metrics,
            max_connections=_MAX_RELAYED,
        )
        self.peers.register_stream_handler(
            relays.PATH, self.relay_endpoint.handle
        )
        self.inst.servers.reach.relays.members = self._reachable_members
        self._greenlets = [
            gevent.spawn(self.follower.run, table) for table in feed.Table
        ]
        self._greenlets.append(gevent.spawn(self.follower.expire_lapsed))
        self._greenlets.append(gevent.spawn(self._datagrams.run))
        self._greenlets.append(gevent.spawn(self._gossip.run))
        self._greenlets.append(gevent.spawn(self.origins.run))
        self._greenlets.append(gevent.spawn(self.stored_origins.run))
        self._greenlets.append(gevent.spawn(self.releases.catch_up))
        self._greenlets.append(gevent.spawn(self._departure_catch_up.run))

    def _listen_for_peers(self) -> None:
        """Binds a port that is free for both datagrams and connections."""
        for attempt in range(_PORT_ATTEMPTS):
            bound = _Datagrams(
                address=_ANY_PORT, log=self._log, unreachable=self.unreachable
            )
            self.member = membership.Member(
                name=self.inst.cfg.instance,
                address=bound.address,
                data_centre=self.inst.cfg.data_centre,
            )
            self.peers = _PeerDiscovery(
                own=self.member,
                seeds=(),
                log=self._log,
                unreachable=self.unreachable,
            )
            self._peer_listener = _Listener(
                address=bound.address,
                limits=self._front.limits,
                handle=self.peers.handle,
                refuse=self._front.refuse,
                log=self._log,
            )
            try:
                self._peer_listener.start()
            except OSError:
                if attempt == _PORT_ATTEMPTS - 1:
                    raise
                continue
            self._datagrams = bound
            return

    def meet(self, others: Sequence[Entry]) -> None:
        """Makes other instances known to this one."""
        for other in others:
            if other.member.address not in self.unreachable:
                self.membership.record_alive(other.member, boottime.now())

    def part(self, others: Sequence[Entry]) -> None:
        """Cuts the links between this instance and others."""
        for other in others:
            self.unreachable.add(other.member.address)
            other.unreachable.add(self.member.address)

    def _reachable_members(self) -> list[membership.Member]:
        return [
            member
            for member in self.peers.members()
            if member.address not in self.unreachable
        ]

    def kill(self) -> None:
        """Ends as a killed process does, all its connections with it."""
        self.close()
        self.listener.kill()
        self._peer_listener.kill()

    def close(self) -> None:
        """Ends everything."""
        if self.closed:
            return
        self.closed = True
        gevent.killall(self._greenlets)
        self.listener.stop_accepting()
        self._peer_listener.stop_accepting()
        self.inst.servers.reach.close()
        os.close(self._log_fd)
