"""Exchanges of origins of streams between instances, without sockets."""

from __future__ import annotations

import collections
import os
import random
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import cbor2
import result

from irisshelf.catalog import directory
from irisshelf.catalog import releases
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import origin_exchange
from irisshelf.observe import decision_log

SERVICE = "lm"
# IP and UDP headers.
_HEADER_BYTES = 28


def server(
    number: int, version: str | None = "v1", service: str = SERVICE
) -> directory.BackendServer:
    """Returns a server of a version."""
    return directory.BackendServer(
        server_id=f"i-{number}",
        service=service,
        address="10.0.0.1:80",
        data_centre="a",
        slots=4,
        version=version,
    )


class Network:
    """Instances in one process; delivers datagrams and questions at once.

    Args:
        names: Name and data centre of each instance.
        loss: Share of the datagrams that are lost.
        versions: Versions of the servers that all instances list.

    Attributes:
        now: Monotonic seconds, moved by the caller.
        sent: Bytes of the datagrams that each instance has sent.
        datagrams: Number of datagrams.
        cut: Names of instances that nothing reaches.
        instances: By name.
    """

    def __init__(
        self,
        names: Sequence[tuple[str, str]],
        *,
        loss: float = 0.0,
        versions: Sequence[str] = ("v1", "v2"),
    ):
        self.now = 0.0
        self.sent: collections.Counter[str] = collections.Counter()
        self.datagrams = 0
        self.cut: set[str] = set()
        self._rng = random.Random(7)
        self._loss = loss
        self.instances = {
            name: Instance(
                network=self,
                name=name,
                data_centre=data_centre,
                versions=versions,
            )
            for name, data_centre in names
        }
        self.keep_known()

    def keep_known(self) -> None:
        """Makes all instances known to each other, as heartbeats do."""
        for one in self.instances.values():
            for other in self.instances.values():
                one.membership.record_alive(other.member, self.now)

    def flush(self) -> None:
        """Makes all instances send what has had to wait."""
        for one in self.instances.values():
            one.exchange.flush()

    def send(self, sender: str, address: str, data: bytes) -> None:
        """Delivers a datagram, unless it is lost."""
        self.sent[sender] += len(data) + _HEADER_BYTES
        self.datagrams += 1
        lost = self._rng.random() < self._loss
        if not lost and self._passes(sender, address):
            self.instances[address].receive(data)

    def request(
        self, sender: str, address: str, target: str
    ) -> result.Result[bytes, str]:
        """Delivers a question and returns the answer."""
        if not self._passes(sender, address):
            return result.Err("cut off")
        path, _, query = target.partition("?")
        fields = dict(item.split("=", 1) for item in query.split("&"))
        body = self.instances[address].handlers[path](fields)
        return result.Err("refused") if body is None else result.Ok(body)

    def _passes(self, sender: str, address: str) -> bool:
        return not self.cut & {sender, address}


class Instance:
    """Stands in for the daemon around one exchange.

    Args:
        network: The network.
        name: Its name, and its address.
        data_centre: Its data centre.
        versions: Versions of the servers that it lists.

    Attributes:
        member: Its membership entry.
        membership: The instances that it knows.
        history: The releases that it has listed.
        exchange: The exchange.
        origins: What it keeps.
        problems: Names of the warnings that it has logged.
    """

    def __init__(
        self,
        *,
        network: Network,
        name: str,
        data_centre: str,
        versions: Sequence[str],
    ):
        self.name = name
        self.member = membership_module.Member(
            name=name, address=name, data_centre=data_centre
        )
        self.membership = membership_module.Membership(own=self.member)
        self.handlers: dict[
            str, Callable[[Mapping[str, str]], bytes | None]
        ] = {}
        self.problems: list[str] = []
        self._network = network
        self._subscribed: dict[int, Callable[[Any], None]] = {}
        self.history = releases.ReleaseHistory(life_s=stream_origins.MIN_LIFE_S)
        self.list_servers(versions)
        with open(os.devnull, "wb") as sink:
            log = decision_log.DecisionLog(instance=name, fd=sink.fileno())
        log.warning = lambda line, **fields: self.problems.append(line)
        self.exchange = origin_exchange.OriginExchange(
            releases=self.history,
            datagrams=self,
            peers=self,
            log=log,
            counts=metrics.Metrics(),
            rng=random.Random(3),
            now=lambda: network.now,
        )
        self.origins = self.exchange.origins

    def list_servers(self, versions: Sequence[str]) -> None:
        """Lists one server of each version from now on."""
        servers = [server(n, version) for n, version in enumerate(versions)]
        self.history.update(servers, self._network.now)

    def knows(self, key: bytes) -> bool:
        """Returns whether it keeps or finds an origin."""
        return (
            self.exchange.get(key) is not None
            or self.exchange.find(key, [SERVICE]).known
        )

    def receive(self, data: bytes) -> None:
        """Handles a datagram."""
        self._subscribed[data[0]](cbor2.loads(data[1:]))

    # What the exchange needs of ``Datagrams`` and ``PeerDiscovery``.

    def subscribe(self, kind: int, handler: Callable[[Any], None]) -> None:
        """See ``Datagrams.subscribe``."""
        self._subscribed[kind] = handler

    def register_handler(
        self, path: str, handler: Callable[[Mapping[str, str]], bytes | None]
    ) -> None:
        """See ``PeerDiscovery.register_handler``."""
        self.handlers[path] = handler

    def send(self, address: str, data: bytes) -> None:
        """See ``Datagrams.send``."""
        self._network.send(self.name, address, data)

    def request(
        self, address: str, target: str, *, timeout_s: float
    ) -> result.Result[bytes, str]:
        """See ``PeerDiscovery.request``."""
        return self._network.request(self.name, address, target)

    def members(self) -> list[membership_module.Member]:
        """See ``PeerDiscovery.members``."""
        now = self._network.now
        local = self.membership.members(self.member.data_centre, now)
        return [
            *(member for member, _ in local),
            *self.membership.remote_members(now),
        ]
