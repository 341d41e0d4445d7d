"""Instances that exchange their demand, in simulated time without sockets."""

from __future__ import annotations

import collections
import heapq
import itertools
import os
import random
import time
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import cbor2

from irisshelf.catalog import directory
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway import metrics
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import demand_exchange
from irisshelf.gateway.servers import demand_monitor
from irisshelf.observe import decision_log
from irisshelf.overload import demand
from irisshelf.routing.direct import server_stats

SERVICE = "engines"
SLOT_TIME_S = 0.25
# IP and UDP headers.
_HEADER_BYTES = 28
# Time that datagrams take within a data centre, and between two.
_LOCAL_S = (0.0005, 0.002)
_REMOTE_S = (0.01, 0.03)
# Instances query each other at this interval.
_HEARTBEAT_S = 2.5
_TEAMS = [demand.team_key(f"team-{number}") for number in range(24)]


class Network:
    """Instances in one process, with a clock and datagrams of its own.

    Args:
        names: Name and data centre of each instance.
        loss: Share of the datagrams that are lost.
        earlier: Names of instances of the earlier build, which know nothing of
            demand.
        seed: Of all random numbers.

    Attributes:
        now: Monotonic seconds.
        per_s: Requests that arrive per second, at all instances together.
        weights: Share of each instance in them, not normalised.
        down: Names of instances that have ended.
        cut: Data centres that exchange nothing with the others.
        sent: Bytes that each instance has sent, headers included.
        received: Bytes that each instance has received.
        cpu_s: Computing time of each instance.
        instances: Those of the current build, by name.
    """

    def __init__(
        self,
        names: Sequence[tuple[str, str]],
        *,
        loss: float = 0.0,
        earlier: Sequence[str] = (),
        seed: int = 1,
    ):
        self.now = 0.0
        self.per_s = 0.0
        self.weights: dict[str, float] = {name: 1.0 for name, _ in names}
        self.down: set[str] = set()
        self.cut: set[str] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.cpu_s: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed)
        self._loss = loss
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.members = {
            name: membership_module.Member(
                name=name, address=name, data_centre=data_centre
            )
            for name, data_centre in names
        }
        counts = metrics.Metrics()
        self.instances = {
            name: Instance(
                network=self,
                member=member,
                counts=counts,
                rng=random.Random(self._rng.random()),
            )
            for name, member in self.members.items()
            if name not in earlier
        }
        self._keep_known()
        self._arrive()
        for one in self.instances.values():
            self.at(self.now, one.step)

    @property
    def true_slots(self) -> float:
        """The load that callers offer, in slots."""
        return self.per_s * SLOT_TIME_S

    def run(self, for_s: float) -> None:
        """Lets time pass, in seconds."""
        end_s = self.now + for_s
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end_s

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def send(self, sender: str, address: str, data: bytes) -> None:
        """Delivers a datagram after some time, unless it is lost."""
        size = len(data) + _HEADER_BYTES
        self.sent[sender] += size
        if self._rng.random() < self._loss or not self._passes(sender, address):
            return
        places = {self.members[n].data_centre for n in (sender, address)}
        delay = _LOCAL_S if len(places) == 1 else _REMOTE_S

        def deliver() -> None:
            if address in self.down:
                return
            self.received[address] += size
            if address in self.instances:
                self.instances[address].receive(data)

        self.at(self.now + self._rng.uniform(*delay), deliver)

    def estimates(self) -> list[float]:
        """Returns the offered slots that each running instance knows of."""
        return [
            one.monitor.service(SERVICE).offered_slots
            for name, one in self.instances.items()
            if name not in self.down
        ]

    def leaders(self, data_centre: str) -> list[str]:
        """Returns the instances of a data centre by rank, the leader first."""
        members = [
            m for m in self.members.values() if m.data_centre == data_centre
        ]
        return [member.name for member in membership_module.rank(members)]

    def _passes(self, sender: str, receiver: str) -> bool:
        places = {self.members[n].data_centre for n in (sender, receiver)}
        return len(places) == 1 or not places & self.cut

    def _keep_known(self) -> None:
        """Makes the instances that reach each other known, as queries do."""
        running = [m for n, m in self.members.items() if n not in self.down]
        for name, one in self.instances.items():
            if name in self.down:
                continue
            for member in running:
                if self._passes(member.name, name):
                    one.membership.record_alive(member, self.now)
        self.at(self.now + _HEARTBEAT_S, self._keep_known)

    def _arrive(self) -> None:
        """Lets a request arrive, and schedules the next one."""
        # While nothing arrives, the rate is looked at again at this interval.
        delay_s = 0.05
        if self.per_s:
            names = list(self.weights)
            (name,) = self._rng.choices(names, list(self.weights.values()))
            if name in self.instances and name not in self.down:
                self.instances[name].take(self._rng.choice(_TEAMS))
            delay_s = self._rng.expovariate(self.per_s)
        self.at(self.now + delay_s, self._arrive)


class Instance:
    """Stands in for the daemon around one exchange.

    Args:
        network: The network.
        member: Its membership entry.
        counts: Metrics, which all instances share.
        rng: Its random numbers.

    Attributes:
        membership: The instances that it knows.
        monitor: Its demand and that of the fleet.
        problems: Names of the warnings that it has logged.
    """

    def __init__(
        self,
        *,
        network: Network,
        member: membership_module.Member,
        counts: metrics.Metrics,
        rng: random.Random,
    ):
        self.membership = membership_module.Membership(own=member)
        self.problems: list[str] = []
        self.services: Mapping[str, Any] = {SERVICE: None}
        self._name = member.name
        self._network = network
        self._due_s = -1.0
        with open(os.devnull, "wb") as sink:
            log = decision_log.DecisionLog(
                instance=member.name, fd=sink.fileno()
            )
        log.warning = lambda line, **fields: self.problems.append(line)
        log.instance = lambda line, **fields: None
        stats = server_stats.ServerStats()
        self.monitor = demand_monitor.DemandMonitor(
            cfg=_settings(member),
            eligible=self,
            stats_of=lambda service: stats,
            reports_slowdown=lambda service: False,
            log=log,
            counts=counts,
            now=lambda: network.now,
        )
        self.monitor.meter.record_slot_time(SERVICE, 1, SLOT_TIME_S)
        self.exchange = demand_exchange.DemandExchange(
            monitor=self.monitor,
            datagrams=self,
            membership=self.membership,
            log=log,
            rng=rng,
            now=lambda: network.now,
        )

    def take(self, team: bytes) -> None:
        """Receives a request that is served at once."""
        now = self._network.now
        self.monitor.meter.record_arrival(SERVICE, 1, team, now)
        self.monitor.meter.record_admitted(SERVICE, 1, now)
        self.monitor.meter.record_begun(SERVICE, 1, now, in_time=True)

    def step(self) -> None:
        """Sends what is due, and schedules the next time."""
        if self._name in self._network.down or self._network.now < self._due_s:
            return
        began_s = time.process_time()
        delay_s = self.exchange.step()
        self._network.cpu_s[self._name] += time.process_time() - began_s
        self._due_s = self._network.now + delay_s
        self._network.at(self._due_s, self.step)

    def receive(self, data: bytes) -> None:
        """Handles a datagram as ``Datagrams`` does."""
        began_s = time.process_time()
        try:
            self._handler(cbor2.loads(data[1:]))
        except ValueError:
            self.problems.append("datagram_unreadable")
        self._network.cpu_s[self._name] += time.process_time() - began_s
        # The exchange may have to send earlier now.
        self._due_s = self._network.now
        self._network.at(self._network.now, self.step)

    # What the exchange needs of ``Datagrams``, the monitor of ``Eligibility``.

    def subscribe(self, kind: int, handler: Callable[[Any], None]) -> None:
        """See ``Datagrams.subscribe``."""
        self._handler = handler

    def send(self, address: str, data: bytes) -> None:
        """See ``Datagrams.send``."""
        self._network.send(self._name, address, data)

    def accepting(self, service: str) -> tuple[directory.BackendServer, ...]:
        """See ``Eligibility.accepting``."""
        return ()

    def split(
        self, service: str, servers: Sequence[directory.BackendServer]
    ) -> tuple[Sequence[directory.BackendServer], tuple[()]]:
        """See ``Eligibility.split``."""
        return servers, ()


def make_names(size: int, data_centres: int) -> list[tuple[str, str]]:
    """Returns names of instances and the data centres that they stand in."""
    return [
        (f"router-{number:03}", f"dc-{number % data_centres:02}")
        for number in range(size)
    ]


def _settings(member: membership_module.Member) -> settings.Settings:
    address = "127.0.0.1:0"
    return settings.Settings(
        instance=member.name,
        data_centre=member.data_centre,
        listen=settings.Listen(
            front=address, ready=address, metrics=address, peers=address
        ),
        store=address,
        overload=settings.Overload(fleet_admission=settings.FleetAdmission.ON),
    )
