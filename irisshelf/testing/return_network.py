"""Exchanges of reservations between instances, without sockets."""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import Any

import cbor2

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import return_exchange

# Answers arrive at once here, or not at all.
_ANSWER_TIMEOUT_S = 0.001
# IP and UDP headers.
_HEADER_BYTES = 28
_REMOTE_PLACES = datagrams_module.Kind.REMOTE_RETURN_PLACES


class Network:
    """Instances in one process.

    Delivers datagrams at once, unless they are lost, held back, or on their way
    to another data centre.

    Args:
        names: Names of the instances, each with its data centre before a
            hyphen.
        old: Names of those of a build that knows no reservations.
        earlier: Names of those of a build that keeps reservations in their
            data centre.
        known: How many instances of each other data centre an instance knows;
            all if None.
        seed: Of the random numbers.

    Attributes:
        now: Monotonic seconds, moved by the caller.
        remote_s: How long datagrams take between two data centres, at least and
            at most.
        cut: Names of instances that nothing reaches.
        partitioned: Data centres that exchange nothing with the others.
        hold: Sender and receiver of the datagrams that are held back.
        sent: All datagrams.
        sent_bytes: Bytes that instances have sent, by name and kind, with
            headers.
        received_bytes: Bytes that have been delivered, likewise.
        instances: By name.
    """

    def __init__(
        self,
        names: Sequence[str],
        *,
        old: Collection[str] = (),
        earlier: Collection[str] = (),
        known: int | None = None,
        seed: int = 1,
    ):
        self.now = 100.0
        self.remote_s = (0.0, 0.0)
        self.cut: set[str] = set()
        self.partitioned: set[str] = set()
        self.hold: set[tuple[str, str]] = set()
        self.sent: list[bytes] = []
        self.sent_bytes: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.received_bytes: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._rng = random.Random(seed)
        self._known = known
        self._order = itertools.count()
        self._underway: list[tuple[float, int, Callable[[], None]]] = []
        self._held: dict[tuple[str, str], list[bytes]] = (
            collections.defaultdict(list)
        )
        self.instances = {
            name: Instance(
                network=self,
                name=name,
                address=f"10.0.{number // 250}.{number % 250}:80",
                is_old=name in old,
                is_earlier=name in earlier,
            )
            for number, name in enumerate(names)
        }
        self._by_address = {
            one.member.address: one for one in self.instances.values()
        }
        self.keep_known()

    def keep_known(self) -> None:
        """Makes all instances known to each other, as heartbeats do."""
        by_data_centre: dict[str, list[membership_module.Member]] = {}
        for one in self.instances.values():
            by_data_centre.setdefault(one.member.data_centre, []).append(
                one.member
            )
        for one in self.instances.values():
            for data_centre, members in by_data_centre.items():
                is_local = data_centre == one.member.data_centre
                known = members
                if not is_local and self._known is not None:
                    count = min(self._known, len(members))
                    known = self._rng.sample(members, count)
                for member in known:
                    one.membership.record_alive(member, self.now)

    def advance(self, for_s: float) -> None:
        """Lets time pass, and delivers what arrives from other data centres."""
        end_s = self.now + for_s
        while self._underway and self._underway[0][0] <= end_s:
            self.now, _, deliver = heapq.heappop(self._underway)
            deliver()
        self.now = end_s

    def send(self, sender: str, address: str, data: bytes) -> None:
        """Delivers a datagram, or holds it back, or loses it."""
        self.sent.append(data)
        self.sent_bytes[sender, data[0]] += len(data) + _HEADER_BYTES
        receiver = self._by_address[address]
        name = receiver.member.name
        if self.cut & {sender, name}:
            return
        places = {
            self.instances[sender].member.data_centre,
            receiver.member.data_centre,
        }
        if len(places) > 1 and places & self.partitioned:
            return
        if (sender, name) in self.hold:
            self._held[sender, name].append(data)
            return
        delay_s = self._rng.uniform(*self.remote_s) if len(places) > 1 else 0.0
        if delay_s == 0.0:
            self._deliver(receiver, data)
            return
        heapq.heappush(
            self._underway,
            (
                self.now + delay_s,
                next(self._order),
                functools.partial(self._deliver, receiver, data),
            ),
        )

    def release(self, sender: str, receiver: str) -> None:
        """Delivers what has been held back."""
        self.hold.discard((sender, receiver))
        for data in self._held.pop((sender, receiver)):
            self._deliver(self.instances[receiver], data)

    def ranked(
        self, fingerprint: bytes, data_centre: str | None = None
    ) -> list[str]:
        """Returns the instances, the holders of a reservation first.

        Args:
            fingerprint: Fingerprint of the caller's request.
            data_centre: Whose instances are returned; those of all if None.
        """
        members = [
            one.member
            for one in self.instances.values()
            if data_centre in (None, one.member.data_centre)
        ]
        ranked = stream_origins.rank_replicas(members, fingerprint)
        return [member.name for member in ranked]

    def _deliver(self, receiver: Instance, data: bytes) -> None:
        key = receiver.member.name, data[0]
        self.received_bytes[key] += len(data) + _HEADER_BYTES
        receiver.receive(data)


class Instance:
    """Stands in for the daemon, and for its socket, around one exchange.

    Args:
        network: The network.
        name: Its name.
        address: Its address.
        is_old: Whether it is of a build that knows no reservations.
        is_earlier: Whether it is of a build that neither sends reservations to
            other data centres nor knows such datagrams.

    Attributes:
        member: Its membership entry.
        membership: The instances that it knows.
        metrics: Its metrics.
        lines: Names and fields of the warnings that it has logged.
        exchange: The exchange; None if it knows no reservations.
    """

    def __init__(
        self,
        *,
        network: Network,
        name: str,
        address: str,
        is_old: bool,
        is_earlier: bool = False,
    ):
        self.member = membership_module.Member(
            name=name, address=address, data_centre=name.partition("-")[0]
        )
        self.membership = membership_module.Membership(own=self.member)
        self.metrics = metrics.Metrics()
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self._network = network
        self._is_earlier = is_earlier
        self._handlers: dict[int, Callable[[Any], None]] = {}
        self.exchange: return_exchange.ReturnExchange | None = None
        if not is_old:
            self.exchange = return_exchange.ReturnExchange(
                datagrams=self,
                membership=self.membership,
                counts=self.metrics,
                log=self,
                rng=random.Random(name),
                now=lambda: network.now,
                answer_timeout_s=_ANSWER_TIMEOUT_S,
            )

    def warning(self, name: str, **fields: Any) -> None:
        """See ``DecisionLog.warning``."""
        self.lines.append((name, fields))

    def subscribe(self, kind: int, handler: Callable[[Any], None]) -> None:
        """See ``Datagrams.subscribe``."""
        if not (self._is_earlier and kind == _REMOTE_PLACES):
            self._handlers[kind] = handler

    def send(self, address: str, data: bytes) -> None:
        """See ``Datagrams.send``."""
        if not (self._is_earlier and data[0] == _REMOTE_PLACES):
            self._network.send(self.member.name, address, data)

    def receive(self, data: bytes) -> None:
        """Handles a datagram; kinds without a handler are ignored."""
        handler = self._handlers.get(data[0])
        if handler is not None:
            handler(cbor2.loads(data[1:]))
