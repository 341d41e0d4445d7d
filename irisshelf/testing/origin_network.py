"""Exchanges of origins of streams between instances, without sockets."""

from __future__ import annotations

import collections
import os
import random
import urllib.parse
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
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import origin_exchange
from irisshelf.gateway.knowledge import origin_questions
from irisshelf.gateway.knowledge import release_exchange
from irisshelf.gateway.knowledge import stored_origins
from irisshelf.observe import decision_log
from irisshelf.testing import memory_records

SERVICE = "lm"
# Datagrams and questions arrive at once here, and answers before they are
# waited for.
_TIMING = origin_questions.Timing(
    find_s=0.001, all_asked_after_s=5.0, gather_s=0.0, gather_again_s=0.0
)
# IP and UDP headers.
_HEADER_BYTES = 28


def server(
    number: int,
    version: str | None = "v1",
    service: str = SERVICE,
    *,
    born_s: float | None = None,
) -> directory.BackendServer:
    """Returns a server of a version, which has started at a time."""
    return directory.BackendServer(
        server_id=f"i-{number}",
        service=service,
        address="10.0.0.1:80",
        data_centre="a",
        slots=4,
        version=version,
        born_ms=None if born_s is None else int(born_s * 1000),
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
        is_new: Whether no server has been removed yet.
        born_s: When the servers of a version have started, if they tell it.
        records: The records in the store.
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
        self.born_s: dict[str, float] = {}
        self.records = memory_records.MemoryRecords(now=lambda: self.now)
        self.is_new = False
        self._rng = random.Random(7)
        self._loss = loss
        self._addresses = {
            name: f"10.0.{number // 250}.{number % 250}:80"
            for number, (name, _) in enumerate(names)
        }
        self._names = {at: name for name, at in self._addresses.items()}
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
        name = self._names[address]
        if not lost and self._passes(sender, name):
            self.instances[name].receive(data)

    def request(
        self, sender: str, address: str, target: str
    ) -> result.Result[bytes, str]:
        """Delivers a question and returns the answer."""
        name = self._names[address]
        if not self._passes(sender, name):
            return result.Err("cut off")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        body = self.instances[name].handlers[path](fields)
        return result.Err("refused") if body is None else result.Ok(body)

    def address_of(self, name: str) -> str:
        """Returns the address of an instance."""
        return self._addresses[name]

    def _passes(self, sender: str, receiver: str) -> bool:
        return not self.cut & {sender, receiver}


class Instance:
    """Stands in for the daemon around one exchange.

    Args:
        network: The network.
        name: Its name.
        data_centre: Its data centre.
        versions: Versions of the servers that it lists at first.

    Attributes:
        versions: Versions of the servers that it lists.
        is_current: Whether it is in contact with the store.
        member: Its membership entry.
        membership: The instances that it knows.
        history: The releases that it has listed.
        exchange: The exchange.
        releases: Tells others its history, and asks for theirs.
        origins: What it keeps.
        stored: What it keeps in the store; None if nothing.
        problems: Names of the warnings that it has logged.
    """

    def __init__(
        self,
        *,
        network: Network,
        name: str,
        data_centre: str,
        versions: Sequence[str] = (),
    ):
        self.name = name
        self.versions: tuple[str, ...] = ()
        self.is_current = True
        self.member = membership_module.Member(
            name=name, address=network.address_of(name), data_centre=data_centre
        )
        self.membership = membership_module.Membership(own=self.member)
        self.handlers: dict[
            str, Callable[[Mapping[str, str]], bytes | None]
        ] = {}
        self.problems: list[str] = []
        self._network = network
        self._subscribed: dict[int, Callable[[Any], None]] = {}
        self.history = releases.ReleaseHistory(life_s=stream_origins.MIN_LIFE_S)
        if versions:
            self.list_servers(versions)
        with open(os.devnull, "wb") as sink:
            log = decision_log.DecisionLog(instance=name, fd=sink.fileno())
        log.warning = lambda line, **fields: self.problems.append(line)
        self._log = log
        self.stored: stored_origins.StoredOrigins | None = None
        self.exchange = origin_exchange.OriginExchange(
            releases=self.history,
            datagrams=self,
            peers=self,
            log=log,
            counts=metrics.Metrics(),
            rng=random.Random(3),
            is_current=lambda: self.is_current,
            has_recent_list=lambda: self.is_current,
            now=lambda: network.now,
            timing=_TIMING,
        )
        self.origins = self.exchange.origins
        self.releases = release_exchange.ReleaseExchange(
            releases=self.history,
            peers=self,
            log=log,
            rng=random.Random(4),
            on_changed=self.exchange.on_releases_changed,
            has_recent_list=lambda: self.is_current,
            now=lambda: network.now,
        )

    def use_records(self, count_members: Callable[[], int]) -> None:
        """Keeps origins and releases in the store as well."""
        self.stored = stored_origins.StoredOrigins(
            name=self.name,
            store=self._network.records,
            registry=self.exchange,
            history=self.history,
            has_recent_list=lambda: self.is_current,
            count_members=count_members,
            log=self._log,
            counts=metrics.Metrics(),
            now=lambda: self._network.now,
        )

    def list_servers(self, versions: Sequence[str]) -> None:
        """Lists one server of each version from now on."""
        self.versions = tuple(versions)
        network = self._network
        servers = [
            server(n, version, born_s=network.born_s.get(version))
            for n, version in enumerate(versions)
        ]
        self.history.update(
            servers,
            network.now,
            is_complete=network.is_new,
        )

    def knows(self, key: bytes) -> bool:
        """Returns whether it keeps or finds an origin."""
        return (
            self.exchange.get(key) is not None
            or self.exchange.find(key, [SERVICE]).known
        )

    def questions(self, content: Any) -> None:
        """Handles the content of a question about origins."""
        self._subscribed[datagrams_module.Kind.STREAM_QUESTIONS](content)

    def ask_for_releases(self, count: int) -> None:
        """Asks others which releases there have been."""
        self.releases.ask(count)

    def request_each(
        self, members: Sequence[membership_module.Member], path: str
    ) -> list[bytes]:
        """See ``PeerDiscovery.request_each``."""
        responses = [
            self.request(member.address, path, timeout_s=1.0)
            for member in members
        ]
        return [r.ok_value for r in responses if isinstance(r, result.Ok)]

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
