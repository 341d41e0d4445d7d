"""Exchanges of reservations between instances, without sockets."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import Any

import cbor2

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import return_exchange

# Answers arrive at once here, or not at all.
_ANSWER_TIMEOUT_S = 0.001


class Network:
    """Instances of one data centre in one process.

    Delivers datagrams at once, unless they are lost or held back.

    Args:
        names: Names of the instances.
        old: Names of those of the earlier build, which knows no reservations.

    Attributes:
        now: Monotonic seconds, moved by the caller.
        cut: Names of instances that nothing reaches.
        hold: Sender and receiver of the datagrams that are held back.
        sent: All datagrams.
        instances: By name.
    """

    def __init__(self, names: Sequence[str], *, old: Collection[str] = ()):
        self.now = 100.0
        self.cut: set[str] = set()
        self.hold: set[tuple[str, str]] = set()
        self.sent: list[bytes] = []
        self._held: dict[tuple[str, str], list[bytes]] = (
            collections.defaultdict(list)
        )
        self.instances = {
            name: Instance(
                network=self,
                name=name,
                address=f"10.0.{number // 250}.{number % 250}:80",
                is_old=name in old,
            )
            for number, name in enumerate(names)
        }
        self._by_address = {
            one.member.address: one for one in self.instances.values()
        }
        self.keep_known()

    def keep_known(self) -> None:
        """Makes all instances known to each other, as heartbeats do."""
        for one in self.instances.values():
            for other in self.instances.values():
                one.membership.record_alive(other.member, self.now)

    def send(self, sender: str, address: str, data: bytes) -> None:
        """Delivers a datagram, or holds it back, or loses it."""
        self.sent.append(data)
        receiver = self._by_address[address]
        if self.cut & {sender, receiver.member.name}:
            return
        link = (sender, receiver.member.name)
        if link in self.hold:
            self._held[link].append(data)
            return
        receiver.receive(data)

    def release(self, sender: str, receiver: str) -> None:
        """Delivers what has been held back."""
        self.hold.discard((sender, receiver))
        for data in self._held.pop((sender, receiver)):
            self.instances[receiver].receive(data)

    def ranked(self, fingerprint: bytes) -> list[str]:
        """Returns the instances, the holders of a reservation first."""
        members = [one.member for one in self.instances.values()]
        ranked = stream_origins.rank_replicas(members, fingerprint)
        return [member.name for member in ranked]


class Instance:
    """Stands in for the daemon, and for its socket, around one exchange.

    Args:
        network: The network.
        name: Its name.
        address: Its address.
        is_old: Whether it is of the earlier build.

    Attributes:
        member: Its membership entry.
        membership: The instances that it knows.
        metrics: Its metrics.
        exchange: The exchange; None if it is of the earlier build.
    """

    def __init__(
        self, *, network: Network, name: str, address: str, is_old: bool
    ):
        self.member = membership_module.Member(
            name=name, address=address, data_centre="a"
        )
        self.membership = membership_module.Membership(own=self.member)
        self.metrics = metrics.Metrics()
        self._network = network
        self._handlers: dict[int, Callable[[Any], None]] = {}
        self.exchange: return_exchange.ReturnExchange | None = None
        if not is_old:
            self.exchange = return_exchange.ReturnExchange(
                datagrams=self,
                membership=self.membership,
                counts=self.metrics,
                rng=random.Random(name),
                now=lambda: network.now,
                answer_timeout_s=_ANSWER_TIMEOUT_S,
            )

    def subscribe(self, kind: int, handler: Callable[[Any], None]) -> None:
        """See ``Datagrams.subscribe``."""
        self._handlers[kind] = handler

    def send(self, address: str, data: bytes) -> None:
        """See ``Datagrams.send``."""
        self._network.send(self.member.name, address, data)

    def receive(self, data: bytes) -> None:
        """Handles a datagram; kinds without a handler are ignored."""
        handler = self._handlers.get(data[0])
        if handler is not None:
            handler(cbor2.loads(data[1:]))
