"""Carries the exchange between instances, and what follows from it."""

from __future__ import annotations

import time

import gevent
import result
from gevent import server

from irisshelf.coordination import gossip
from irisshelf.coordination import gossip_messages
from irisshelf.coordination import head
from irisshelf.coordination import token_bucket
from irisshelf.daemon import node
from irisshelf.observe import log
from irisshelf.observe import timeline
from irisshelf.peers import errors
from irisshelf.peers import link
from irisshelf.peers import tls
from irisshelf.routing.owned import ownership
from irisshelf.routing.owned import placement
from irisshelf.store import messages as platform_messages

UNREACHABLE_HOLD_S = 3.0
MAX_LINKS = 64
_LIVE = platform_messages.NodeState.LIVE


class Peers:
    """This instance among the others.

    Args:
        nd: This instance.
    """

    def __init__(self, *, nd: node.Node):
        self._nd = nd
        self._log = log.get("peers")
        self._links: dict[str, link.Link] = {}
        self._unreachable: dict[str, float] = {}
        self._live: tuple[ownership.Candidate, ...] = ()
        self._targets: dict[str, object] = {}
        cfg = nd.cfg
        self.gossip = gossip.Gossip(
            name=cfg.instance,
            data_centre=cfg.data_centre,
            incarnation=int(time.time() * 1000),
            rng=nd.rng,
            budget=token_bucket.TokenBucket(),
            first_heartbeat=int(time.time() / gossip.TICK_S),
        )
        host, _, port = cfg.peers.link_listen.rpartition(":")
        secured = cfg.peers.tls
        context = tls.server_context(secured.files()) if secured else None
        # The handshake is made in the link's own greenlet, with a time limit.
        self._tls = context
        self._server = server.StreamServer((host, int(port)), self._accept)

    def start(self) -> None:
        """Listens for links.

        Raises:
            OSError: The port cannot be listened on.
        """
        self._server.start()

    def stop(self) -> None:
        """Ends all links."""
        self._server.stop()
        for open_link in list(self._links.values()):
            open_link.close()

    def run(self) -> None:
        """Ticks for ever."""
        while True:
            self.tick()
            gevent.sleep(gossip.TICK_S)

    def tick(self) -> None:
        """Tells others of this instance, and takes what is known of them."""
        now = self._nd.now()
        nodes = self._others()
        self.gossip.set_peers(
            [
                gossip.Peer(name=n.name, data_centre=n.data_centre)
                for n in nodes.values()
                if n.state is _LIVE
            ]
        )
        self.gossip.set_local_state(
            loads=self._loads(),
            leaving=not self._nd.ready,
            head=self._head(),
            now=now,
        )
        for outgoing in self.gossip.tick(now):
            gevent.spawn(self._send, nodes[outgoing.to], outgoing.message)
        self._take_owners(nodes, now)
        self._take_others(now)

    def mark_unreachable(self, relay_address: str) -> None:
        """Takes it that an instance could not be connected to."""
        now = self._nd.now()
        for name, item in self._others().items():
            if item.relay_address == relay_address:
                self._unreachable[name] = now + UNREACHABLE_HOLD_S
        self._take_owners(self._others(), now)

    def statuses(self) -> dict[str, str]:
        """Returns what this instance thinks of each other one."""
        now = self._nd.now()
        return {
            name: self.gossip.status(name, now).value for name in self._others()
        }

    def _others(self) -> dict[str, platform_messages.Node]:
        return {
            name: item
            for name, item in self._nd.nodes.items()
            if item.role is platform_messages.NodeRole.INSTANCE
            and name != self._nd.cfg.instance
        }

    def _loads(self) -> list[gossip_messages.Load]:
        loads = []
        for name, router in self._nd.services.items():
            totals = router.totals()
            if totals.engines:
                full = sorted(router.full_targets())[
                    : gossip_messages.MAX_FULL_ENGINES
                ]
                loads.append(
                    gossip_messages.Load(
                        service=name,
                        work=totals.work,
                        engines=totals.engines,
                        full_engines=tuple(full),
                    )
                )
        return loads

    def _head(self) -> gossip_messages.HeadHint:
        found = self._nd.follower.head_in_force
        if found is None:
            return gossip_messages.HeadHint(number=0, object_key="")
        return gossip_messages.HeadHint(
            number=found.number, object_key=found.object_key
        )

    def _take_owners(
        self, nodes: dict[str, platform_messages.Node], now: float
    ) -> None:
        """Works out who owns which engine, if who lives has changed."""
        live = self._candidates(nodes, now)
        if live != self._live:
            self._live = live
            self._targets.clear()
            self._nd.timeline.add(
                timeline.Kind.MEMBERSHIP,
                detail=f"{len(live)} live instances",
            )
        for name, router in self._nd.services.items():
            if self._targets.get(name) is router.targets:
                continue
            self._targets[name] = router.targets
            engines = {
                t.name: t.data_centre for t in router.targets if t.engine
            }
            router.set_owners(
                ownership.OwnershipMap(engines=engines, instances=live),
                instance=self._nd.cfg.instance,
            )

    def _candidates(
        self, nodes: dict[str, platform_messages.Node], now: float
    ) -> tuple[ownership.Candidate, ...]:
        """Live instances: near ones by their beats, far ones by the list."""
        cfg = self._nd.cfg
        found = []
        for name in self.gossip.live_local_instances(now):
            held_until = self._unreachable.get(name, 0.0)
            if name == cfg.instance or (name in nodes and held_until < now):
                found.append((name, cfg.data_centre))
        for name, item in nodes.items():
            far = item.data_centre != cfg.data_centre
            reachable = self._unreachable.get(name, 0.0) < now
            if far and item.state is _LIVE and reachable:
                found.append((name, item.data_centre))
        return tuple(
            ownership.Candidate(name=name, data_centre=place)
            for name, place in sorted(found)
        )

    def _take_others(self, now: float) -> None:
        for name, router in self._nd.services.items():
            others = self.gossip.load_of_others(name, now)
            router.placer.set_remote_totals(
                placement.WorkTotals(work=others.work, engines=others.engines),
                full=frozenset(others.full_engines),
            )
        hint = self.gossip.head
        if hint.number > self._nd.follower.in_force and hint.object_key:
            gevent.spawn(
                self._nd.follower.see,
                head.Head(number=hint.number, object_key=hint.object_key),
            )

    def _send(
        self, to: platform_messages.Node, message: gossip_messages.Message
    ) -> None:
        try:
            self._link_to(to).send(gossip_messages.encode(message))
            size = gossip_messages.size_of(message)
            self._nd.count_control("gossip_sent", size)
        except errors.LinkError as exc:
            self._drop(to.name)
            self._log.debug("link to %s: %s", to.name, exc)

    def _link_to(self, to: platform_messages.Node) -> link.Link:
        found = self._links.get(to.name)
        if found is not None:
            return found
        opened = link.connect(
            to.link_address,
            secret=self._nd.peer_secret,
            context=self._nd.peer_context,
        )
        if len(self._links) >= MAX_LINKS:
            self._drop(next(iter(self._links)))
        self._links[to.name] = opened
        gevent.spawn(self._read, opened, to.name)
        return opened

    def _drop(self, name: str) -> None:
        dropped = self._links.pop(name, None)
        if dropped is not None:
            dropped.close()

    def _accept(self, sock, _address) -> None:
        opened = link.accept(
            sock,
            secret=self._nd.peer_secret,
            refused=self._refused,
            context=self._tls,
        )
        if opened is None:
            sock.close()
            return
        self._read(opened, "")

    def _refused(self, why: str) -> None:
        self._nd.metrics.peer_refusals.labels("link").inc()
        self._log.warning("peer refused", extra={"why": why})

    def _read(self, opened: link.Link, name: str) -> None:
        """Takes messages of a link until it ends."""
        try:
            for data in opened.messages():
                self._take(opened, data)
        except errors.LinkError as exc:
            self._log.debug("link ended: %s", exc)
        finally:
            opened.close()
            if name and self._links.get(name) is opened:
                del self._links[name]

    def _take(self, opened: link.Link, data: bytes) -> None:
        decoded = gossip_messages.decode(data)
        if isinstance(decoded, result.Err):
            self._refused(decoded.err_value)
            raise errors.LinkError(decoded.err_value)
        answer = self.gossip.receive(decoded.ok_value, self._nd.now())
        if answer is not None:
            encoded = gossip_messages.encode(answer)
            opened.send(encoded)
            size = gossip_messages.size_of(answer)
            self._nd.count_control("gossip_sent", size)
