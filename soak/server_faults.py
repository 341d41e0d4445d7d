"""Faults of the backend servers and of their entries in a soak run."""

from __future__ import annotations

import dataclasses
import math
import random
import time
from collections.abc import Callable
from collections.abc import Sequence

import gevent

from irisshelf.platform.stand_in import proxy
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import slots
from irisshelf.platform.stand_in import store
from soak import observations
from soak import plan

# How long a server is cold, unreachable before that, and listed as cold before
# requests reach it.
COLD_S = 5.0
_COLD_DOWN_S = 0.3
COLD_KNOWN_S = 1.5
# A server that leaves serves for so much longer than its fault lasts.
_LEAVES_FOR_S = 4.0
_REST_S = 2.0
_VERSIONS = (server.FIRST_VERSION, "v1.1", "v1.2")
# A server that changes its version is away for so long at most, and listed for
# so long before it accepts requests.
_LONGEST_CHANGE_S = 1.5
_LISTED_BEFORE_S = 0.3
# In a rollout a server is away for so long, the next one goes so much later,
# and a version serves alone for so long.
_ROLLED_OUT_S = 0.2
_BETWEEN_S = 0.1
_ALONE_S = 5.0
# Slots and queue of a plain server under hard load, and its processing time.
SLOTS = 2
_QUEUE = 6
WORK_S = 0.1
_NORMAL_PERCENT = 100
# A stream of 12 events takes a slow reader seconds. The socket buffers of the
# operating system still hold all of it, so that servers are not blocked.
PADDING_BYTES = 32_768
# What another writer may leave in the list.
_FOREIGN = (
    None,
    7,
    "not base64!",
    {"service": "crew"},
    {"service": "crew", "address": "127.0.0.1", "state": "ready"},
)


class ServerFaults:
    """The backend servers of a run, what goes wrong with them, their entries.

    Args:
        seed: Of the run.
        rng: Draws what the plan leaves open.
        served: The store.
        servers: Backend servers.
        links: Their proxies, in the same order.

    Attributes:
        left: When each server's leaving was accepted by the store.
        cold: Spans in which a server, by its number, was cold.
        versions: Spans in which servers served streams at versions.
    """

    def __init__(
        self,
        *,
        seed: int,
        rng: random.Random,
        served: store.Store,
        servers: list[server.Server],
        links: list[proxy.Proxy],
    ):
        self._seed = seed
        self._rng = rng
        self._served = served
        self._servers = servers
        self._links = links
        self.left: dict[str, float] = {}
        self.cold: list[observations.Span] = []
        self._cold_until_s: dict[int, float] = {}
        # Numbers of servers that are about to come back with another version.
        self._changing: set[int] = set()
        self.versions: list[observations.VersionSpan] = []

    def list_all(self) -> None:
        """Lists all servers as they are."""
        for number, one in enumerate(self._servers):
            left = one.server_id in self.left
            self._list(number, "draining" if left else "ready")

    def remove_one(self) -> None:
        """A server is gone without notice, unless the drawn one is needed."""
        number = self._rng.randrange(len(self._servers))
        one = self._servers[number]
        if one.server_id in self.left or not self._spare(number):
            return
        self._served.drop("servers", one.server_id)
        self.left[one.server_id] = time.monotonic()
        self._end_version(number)

    def misbehave(self, fault: plan.Fault) -> None:
        """A server answers a share of its requests wrongly, for a while."""
        one = self._servers[fault.target]
        wanted = server.Fault(fault.variant)
        rng = random.Random(self._seed + fault.target)

        def choose_fault() -> server.Fault:
            hit = rng.random() < fault.share
            return wanted if hit else server.Fault.NONE

        one.choose_fault = choose_fault
        gevent.spawn_later(fault.for_s, _heal, one, choose_fault)

    def limit(self) -> None:
        """Gives plain servers few slots; all servers report their slowdown."""
        for one in self._servers:
            one.slowdown_percent = _NORMAL_PERCENT
        for number in self._engines():
            self._servers[number].padding_bytes = PADDING_BYTES
        for one in self._servers[: plan.SERVERS]:
            one.slots = slots.Slots(count=SLOTS, queue=_QUEUE)
            one.work_s = WORK_S

    def slow(self, fault: plan.Fault) -> None:
        """A plain server is slow for a while, and reports it."""
        one = self._servers[fault.target % plan.SERVERS]
        if one.slowdown_percent != _NORMAL_PERCENT:
            return
        one.slowdown_percent = int(fault.variant)
        gevent.spawn_later(
            fault.for_s, setattr, one, "slowdown_percent", _NORMAL_PERCENT
        )

    def crash(self, fault: plan.Fault) -> None:
        """A crashed server says nothing to the store; it comes back."""
        link = self._links[fault.target]
        if plan.has_endings(self._seed):
            link.set_listening(False, reset=False)
            gevent.spawn_later(fault.for_s, link.set_listening, True)
            return
        link.set_mode("reset")
        gevent.spawn_later(fault.for_s, link.set_mode, "pass")

    def restart(self, fault: plan.Fault) -> None:
        """A server crashes, and another life of it comes under its id.

        Its clock may have jumped, so that the new life may seem the older one.
        """
        self.crash(fault)
        one = self._servers[fault.target]
        one.born_ms = _start_ms(one) + self._rng.choice((0, -3_600_000))
        gevent.spawn_later(fault.for_s, self.list_unless_left, fault.target)

    def cool(self, fault: plan.Fault) -> None:
        """A server comes back cold; its entry says so just before."""
        number = fault.target
        one = self._servers[number]
        link = self._links[number]
        if one.server_id in self.left:
            return
        link.set_mode("reset")
        gevent.sleep(_COLD_DOWN_S)
        if one.server_id in self.left:
            link.set_mode("pass")
            return
        one.born_ms = _start_ms(one)
        until_s = time.monotonic() + COLD_S
        self._cold_until_s[number] = until_s
        self._list(number, "ready")
        gevent.sleep(COLD_KNOWN_S)
        span = observations.Span(
            target=number, from_s=time.monotonic(), to_s=until_s
        )
        self.cold.append(span)
        link.set_mode("pass")

    def leave(self, fault: plan.Fault) -> None:
        """A server leaves for good, if there are others of its service."""
        number = fault.target
        one = self._servers[number]
        if one.server_id in self.left or not self._spare(number):
            return
        self._list(number, "draining")
        self.left[one.server_id] = time.monotonic()
        self._end_version(number)

    def write_late(self, fault: plan.Fault) -> None:
        """A server leaves; then an entry is written that it sent before."""
        one = self._servers[fault.target]
        old = self._entry_of(fault.target, "ready")
        before = len(self.left)
        self.leave(fault)
        if len(self.left) > before:
            gevent.spawn_later(
                fault.for_s, self._served.put, "servers", one.server_id, old
            )

    def say_leaving(self, fault: plan.Fault) -> None:
        """A server's answers say that it leaves; its entry never does."""
        one = self._servers[fault.target]
        if one.leaving or one.server_id in self.left:
            return
        one.leaving = True
        self._end_version(fault.target)
        until_s = fault.for_s + _LEAVES_FOR_S
        gevent.spawn_later(until_s, self._start_again, fault.target)

    def rest(self, fault: plan.Fault) -> None:
        """A server turns all away, and asks for rest as it does."""
        one = self._servers[fault.target]
        if one.refuses:
            return
        one.rest_s = _REST_S
        one.refuses = True
        gevent.spawn_later(fault.for_s, setattr, one, "refuses", False)

    def write_foreign(self) -> None:
        """Another writer leaves entries in the list that name no server."""
        for number, value in enumerate(_FOREIGN):
            self._served.put_raw("servers", f"foreign-{number}", value)

    def begin_versions(self) -> None:
        """Gives the model engines versions, two of them at first."""
        at_first = 1 if plan.has_one_version(self._seed) else 2
        for number in self._engines():
            version = _VERSIONS[number % at_first]
            self._servers[number].version = version
            self._record_version(number)

    def roll_out(self, fault: plan.Fault) -> None:
        """Many model engines take one version, one soon after the other.

        Either every second one, so that a version comes, or all of them, so
        that the others go; then another version comes after a while.
        """
        if plan.has_one_version(self._seed):
            return
        version = self._rng.choice(_VERSIONS)
        numbers = self._engines()
        if fault.variant == "version_comes":
            self._give(numbers[::2], version, fault)
            return
        if fault.variant != "version_goes":
            return
        self._give(numbers, version, fault)
        gevent.sleep(_ALONE_S)
        others = [v for v in _VERSIONS if v != version]
        self._give(numbers[::2], self._rng.choice(others), fault)

    def _give(
        self, numbers: Sequence[int], version: str, fault: plan.Fault
    ) -> None:
        for number in numbers:
            if self._servers[number].version != version:
                one = dataclasses.replace(
                    fault, target=number - plan.SERVERS, for_s=_ROLLED_OUT_S
                )
                gevent.spawn(self.change_version, one, version)
                gevent.sleep(_BETWEEN_S)

    def _engines(self) -> range:
        """Returns the numbers of the model engines."""
        return range(plan.SERVERS, len(self._servers))

    def change_version(self, fault: plan.Fault, version: str = "") -> None:
        """A model engine ends and comes back with another version.

        Its entry is written before it accepts requests. Versions change in
        both directions.

        Args:
            fault: Tells which one, and for how long it is away.
            version: What it comes back with; drawn if empty.
        """
        number = plan.SERVERS + fault.target
        one = self._servers[number]
        if one.server_id in self.left or number in self._changing:
            return
        self._changing.add(number)
        link = self._links[number]
        link.set_mode("reset")
        self._end_version(number)
        gevent.sleep(min(fault.for_s, _LONGEST_CHANGE_S))
        others = [v for v in _VERSIONS if v != one.version]
        one.version = version or self._rng.choice(others)
        one.born_ms = _start_ms(one)
        self.list_unless_left(number)
        gevent.sleep(_LISTED_BEFORE_S)
        link.set_mode("pass")
        self._record_version(number)
        self._changing.discard(number)

    def _record_version(self, number: int) -> None:
        self.versions.append(
            observations.VersionSpan(
                server=number,
                version=self._servers[number].version,
                from_s=time.monotonic(),
            )
        )

    def _end_version(self, number: int) -> None:
        """Notes that a server no longer serves at its version."""
        now = time.monotonic()
        self.versions = [
            dataclasses.replace(span, to_s=now)
            if span.server == number and span.to_s == math.inf
            else span
            for span in self.versions
        ]

    def list_unless_left(self, number: int) -> None:
        """Lists a server that is back, by its number, unless it has left."""
        if self._servers[number].server_id not in self.left:
            self._list(number, "ready")

    def _spare(self, number: int) -> bool:
        """Returns whether a server may leave: two of its service are left."""
        service = self._servers[number].service
        same = [s for s in self._servers if s.service == service]
        return sum(s.server_id not in self.left for s in same) >= 3

    def _start_again(self, number: int) -> None:
        """Another life of a server that left takes its place."""
        one = self._servers[number]
        one.leaving = False
        one.born_ms = _start_ms(one)
        self.list_unless_left(number)
        self._record_version(number)

    def _list(self, number: int, state: str) -> None:
        entry = self._entry_of(number, state)
        self._served.put("servers", self._servers[number].server_id, entry)

    def _entry_of(self, number: int, state: str) -> dict[str, object]:
        """Returns the next entry of a server, by its number."""
        one = self._servers[number]
        left_s = self._cold_until_s.get(number, 0.0) - time.monotonic()
        one.cold_ms = max(0, int(1000 * left_s))
        one.sequence += 1
        return {**one.entry(state), "address": self._links[number].address}


def _start_ms(one: server.Server) -> int:
    """Returns when a server's next life starts, in Unix milliseconds."""
    return max(one.born_ms + 1, int(time.time() * 1000))


def _heal(one: server.Server, chosen_by: Callable[[], server.Fault]) -> None:
    """Ends a fault, unless a later one has taken its place."""
    if one.choose_fault is chosen_by:
        one.choose_fault = None
