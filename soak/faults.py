"""Injects a run's faults, and notes whom they disturb."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

import gevent

from irisshelf.coordination import membership
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world
from soak import checker
from soak import fleet
from soak import plan
from soak import proxy

# An instance counts as in touch again so long after a disturbance.
_IN_TOUCH_S = 3.0
_NEXT_KEYS = 40
# How long the store is away before it comes back from a copy, and until what it
# lost is written again, at the most.
_COPY_AWAY_S = 0.3
_WRITTEN_AGAIN_S = 1.8
# The row that evacuates the data centre in which every second server stands.
FAR = "b"
_EVACUATION = f"evacuate/{FAR}"
_EVACUATED_FOR_S = 5.0
COLD_PER_S = 2.0
_COLD_S = 5.0
_COLD_DOWN_S = 0.3
_COLD_KNOWN_S = 1.5
# A server that leaves serves for so much longer than its fault lasts.
_LEAVES_FOR_S = 4.0
_REST_S = 2.0
# A machine sleeps longer than a process stands still: 1 to 20 s.
_SLEEP_FACTOR = 5.0
# What another writer may leave in the list.
_FOREIGN = (
    None,
    7,
    "not base64!",
    {"service": "crew"},
    {"service": "crew", "address": "127.0.0.1", "state": "ready"},
)


class Injector:
    """Does what a plan says, and keeps what the checker needs of it.

    Args:
        seed: Of the run.
        served: The store.
        servers: Backend servers.
        links: Their proxies, in the same order.

    Attributes:
        entries: The instances; set once they are made.
        keys: Keys that hold, those that are withdrawn next first.
        withdrawn: When each withdrawn key was withdrawn, monotonic seconds.
        left: When each server's leaving was accepted by the store.
        disturbed: Spans in which an instance was not in touch.
        stopped: Spans of planned stops.
        evacuated: Spans in which the far data centre was evacuated.
        cold: Spans in which a server, by its number, was cold.
        unlisted: Spans in which the store lacked what it had lost.
        lagged: Spans in which the store's list lagged.
    """

    def __init__(
        self,
        *,
        seed: int,
        served: store.Store,
        servers: list[server.Server],
        links: list[proxy.Proxy],
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._served = served
        self._servers = servers
        self._links = links
        self._version = 0
        self.entries: list[fleet.Entry] = []
        self.keys = [world.KEY] + [f"key-{n}" for n in range(_NEXT_KEYS)]
        self.withdrawn: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.disturbed: list[checker.Span] = []
        self.stopped: list[checker.Span] = []
        self.evacuated: list[checker.Span] = []
        self.cold: list[checker.Span] = []
        self.unlisted: list[checker.Span] = []
        self.lagged: list[checker.Span] = []
        self._cold_until_s: dict[int, float] = {}

    def prepare(self) -> None:
        """Writes the list of servers and the first configuration."""
        for number in range(len(self._servers)):
            self._list(number, "ready")
        self._configure()

    def inject(self, fault: plan.Fault) -> None:
        """Does what a fault says, now."""
        fault = self._aimed(fault)
        actions = {
            plan.Kind.KILL: lambda: self._entry(fault).kill(),
            plan.Kind.TERM: lambda: self._entry(fault).term(),
            plan.Kind.PAUSE: lambda: self._entry(fault).pause(fault.for_s),
            plan.Kind.SLEEP: lambda: self._entry(fault).sleep(
                _SLEEP_FACTOR * fault.for_s
            ),
            plan.Kind.HUP: lambda: self._entry(fault).hup(),
            plan.Kind.STORE: lambda: self._store(fault),
            plan.Kind.STORE_FORGETS: self._served.forget_history,
            plan.Kind.STORE_LINK: lambda: self._link(
                self._entry(fault).store_link, fault
            ),
            plan.Kind.SERVER_LINK: lambda: self._link(
                self._links[fault.target], fault
            ),
            plan.Kind.CALLER_LINK: lambda: self._link(
                self._entry(fault).caller_link, fault
            ),
            plan.Kind.SERVER_FAULTS: lambda: self._server_faults(fault),
            plan.Kind.SERVER_CRASH: lambda: self._crash(fault),
            plan.Kind.SERVER_RESTARTS: lambda: self._restart(fault),
            plan.Kind.FOREIGN_ENTRIES: self._write_foreign,
            plan.Kind.SERVER_LEAVES: lambda: self._leave(fault),
            plan.Kind.CONFIGURATION: self._configure,
            plan.Kind.WITHDRAW_KEY: self._withdraw,
            plan.Kind.STORE_TURNS_AWAY: lambda: self._turn_away(fault),
            plan.Kind.STORE_MUTE: lambda: _mute(self._entry(fault).store_link),
            plan.Kind.SERVER_MUTE: lambda: _mute(self._links[fault.target]),
            plan.Kind.HALF_SETTINGS: lambda: self._entry(fault).half_settings(
                fault.for_s
            ),
            plan.Kind.STORE_COPY: lambda: self._copy(fault),
            plan.Kind.EVACUATION: lambda: self._evacuate(fault),
            plan.Kind.SERVER_COLD: lambda: gevent.spawn(self._cool, fault),
            plan.Kind.SERVER_SAYS_LEAVING: lambda: self._say_leaving(fault),
            plan.Kind.SERVER_RESTS: lambda: self._rest(fault),
            plan.Kind.LATE_ENTRY: lambda: self._write_late(fault),
            plan.Kind.STORE_LAGS: lambda: self._lag(fault),
            plan.Kind.GONE_WHILE_CUT_OFF: lambda: gevent.spawn(
                self._remove_unseen, fault
            ),
        }
        actions[fault.kind]()
        self._note(fault)

    def _aimed(self, fault: plan.Fault) -> plan.Fault:
        """Returns a fault with its target, where that is the first instance."""
        if not fault.hits_first:
            return fault
        members = [
            membership.Member(name=e.name, address=e.peers, data_centre="a")
            for e in self.entries
        ]
        first = membership.rank(members)[0].name
        numbers = [e.number for e in self.entries if e.name == first]
        return dataclasses.replace(fault, target=numbers[0])

    def _turned_away(self, fault: plan.Fault) -> list[int]:
        """Returns the numbers of the instances that the store turns away."""
        count = round(fault.share * len(self.entries) / 2)
        numbers = range(fault.target, fault.target + max(1, count))
        return [number % len(self.entries) for number in numbers]

    def _entry(self, fault: plan.Fault) -> fleet.Entry:
        return self.entries[fault.target]

    def _note(self, fault: plan.Fault) -> None:
        """Notes which instances are not in touch, and for how long."""
        now = time.monotonic()
        if plan.is_planned(self._seed):
            if fault.kind is plan.Kind.TERM:
                until_s = now + fleet.STOP_S
                self.stopped.append(
                    checker.Span(target=fault.target, from_s=now, to_s=until_s)
                )
            return
        everywhere = fault.kind in (
            plan.Kind.STORE,
            plan.Kind.STORE_FORGETS,
            plan.Kind.STORE_COPY,
            plan.Kind.SERVER_COLD,
            plan.Kind.SERVER_LINK,
            plan.Kind.SERVER_CRASH,
            plan.Kind.SERVER_RESTARTS,
        )
        own = fault.kind in (
            plan.Kind.KILL,
            plan.Kind.TERM,
            plan.Kind.PAUSE,
            plan.Kind.SLEEP,
            plan.Kind.STORE_LINK,
            plan.Kind.CALLER_LINK,
            plan.Kind.GONE_WHILE_CUT_OFF,
        )
        everywhere = everywhere or fault.kind is plan.Kind.SERVER_MUTE
        own = own or fault.kind is plan.Kind.STORE_MUTE
        targets = range(len(self.entries)) if everywhere else [fault.target]
        if fault.kind is plan.Kind.STORE_TURNS_AWAY:
            own = True
            targets = self._turned_away(fault)
        if everywhere or own:
            until_s = now + fault.for_s + _IN_TOUCH_S
            self.disturbed += [
                checker.Span(target=target, from_s=now, to_s=until_s)
                for target in targets
            ]

    def _store(self, fault: plan.Fault) -> None:
        self._served.mode = store.Mode(fault.variant)
        gevent.spawn_later(fault.for_s, self._store_back)

    def _turn_away(self, fault: plan.Fault) -> None:
        for number in self._turned_away(fault):
            self._link(self.entries[number].store_link, fault)

    def _store_back(self) -> None:
        self._served.mode = store.Mode.WELL

    def _copy(self, fault: plan.Fault) -> None:
        """The store comes back from a copy; what it lost is written again."""
        copy = self._served.copy()
        gevent.spawn_later(fault.for_s, self._come_back, copy)

    def _come_back(self, copy: store.Copy) -> None:
        self._served.mode = store.Mode.RESET
        gevent.sleep(_COPY_AWAY_S)
        self._served.come_back_from(copy)
        back_s = time.monotonic()
        self._served.mode = store.Mode.WELL
        gevent.sleep(self._rng.uniform(0.0, _WRITTEN_AGAIN_S))
        for number, one in enumerate(self._servers):
            left = one.server_id in self.left
            self._list(number, "draining" if left else "ready")
        if self.evacuated and self.evacuated[-1].to_s > time.monotonic():
            self._served.put("op", _EVACUATION, {})
        else:
            self._served.drop("op", _EVACUATION)
        self._write_configuration()
        known_s = time.monotonic() + _COLD_KNOWN_S
        self.unlisted.append(
            checker.Span(target=0, from_s=back_s, to_s=known_s)
        )

    def _evacuate(self, fault: plan.Fault) -> None:
        """The far data centre is evacuated, and that is lifted again."""
        now = time.monotonic()
        if self.evacuated and self.evacuated[-1].to_s > now:
            return
        span = checker.Span(
            target=0, from_s=now, to_s=now + _EVACUATED_FOR_S + fault.for_s
        )
        self._served.put("op", _EVACUATION, {})
        self.evacuated.append(span)
        gevent.spawn_later(
            span.to_s - now, self._served.drop, "op", _EVACUATION
        )

    def _cool(self, fault: plan.Fault) -> None:
        """A server comes back cold; its entry says so just before."""
        number = fault.target
        one = self._servers[number]
        link = self._links[number]
        if one.server_id in self.left:
            return
        link.set_mode("reset")
        gevent.sleep(_COLD_DOWN_S)
        one.born_ms += 1000
        until_s = time.monotonic() + _COLD_S
        self._cold_until_s[number] = until_s
        self._list(number, "ready")
        gevent.sleep(_COLD_KNOWN_S)
        span = checker.Span(
            target=number, from_s=time.monotonic(), to_s=until_s
        )
        self.cold.append(span)
        link.set_mode("pass")

    def _link(self, link: proxy.Proxy, fault: plan.Fault) -> None:
        link.set_mode(fault.variant)
        gevent.spawn_later(fault.for_s, link.set_mode, "pass")

    def _server_faults(self, fault: plan.Fault) -> None:
        one = self._servers[fault.target]
        wanted = server.Fault(fault.variant)
        rng = random.Random(self._seed + fault.target)

        def choose_fault() -> server.Fault:
            hit = rng.random() < fault.share
            return wanted if hit else server.Fault.NONE

        one.choose_fault = choose_fault
        gevent.spawn_later(fault.for_s, _heal, one, choose_fault)

    def _crash(self, fault: plan.Fault) -> None:
        """A crashed server says nothing to the store; it comes back."""
        link = self._links[fault.target]
        link.set_mode("reset")
        gevent.spawn_later(fault.for_s, link.set_mode, "pass")

    def _restart(self, fault: plan.Fault) -> None:
        """A server crashes, and another life of it comes under its id.

        Its clock may have jumped, so that the new life may seem the older one.
        """
        self._crash(fault)
        one = self._servers[fault.target]
        one.born_ms += self._rng.choice((1000, -3_600_000))
        gevent.spawn_later(fault.for_s, self.list_unless_left, fault.target)

    def list_unless_left(self, number: int) -> None:
        """Lists a server that is back, by its number, unless it has left."""
        if self._servers[number].server_id not in self.left:
            self._list(number, "ready")

    def _write_foreign(self) -> None:
        """Another writer leaves entries in the list that name no server."""
        for number, value in enumerate(_FOREIGN):
            self._served.put_raw("servers", f"foreign-{number}", value)

    def _leave(self, fault: plan.Fault) -> None:
        """A server leaves, and another life of it comes."""
        number = fault.target
        one = self._servers[number]
        if one.server_id in self.left or not self._spare(number):
            return
        self._list(number, "draining")
        self.left[one.server_id] = time.monotonic()

    def _write_late(self, fault: plan.Fault) -> None:
        """A server leaves; then an entry is written that it sent before."""
        one = self._servers[fault.target]
        old = self._entry_of(fault.target, "ready")
        before = len(self.left)
        self._leave(fault)
        if len(self.left) > before:
            gevent.spawn_later(
                fault.for_s, self._served.put, "servers", one.server_id, old
            )

    def _lag(self, fault: plan.Fault) -> None:
        """The history is lost, and whole lists come as they were."""
        if self._served.lagging is not None:
            return
        copy = self._served.copy()
        now = time.monotonic()
        gevent.spawn_later(fault.for_s, setattr, self._served, "lagging", None)
        # Changes until then are known by the feed; the lists lack them.
        gevent.sleep(0)
        self._served.lagging = copy
        self._served.forget_history()
        until_s = now + fault.for_s + _IN_TOUCH_S
        self.lagged.append(checker.Span(target=0, from_s=now, to_s=until_s))

    def _remove_unseen(self, fault: plan.Fault) -> None:
        """A server is gone without notice while an instance is cut off."""
        self._link(
            self._entry(fault).store_link,
            dataclasses.replace(fault, variant="silent"),
        )
        gevent.sleep(fault.for_s / 2)
        number = self._rng.randrange(len(self._servers))
        one = self._servers[number]
        if one.server_id in self.left or not self._spare(number):
            return
        self._served.drop("servers", one.server_id)
        self.left[one.server_id] = time.monotonic()

    def _spare(self, number: int) -> bool:
        """Tells whether a server may leave: two of its service are left."""
        service = self._servers[number].service
        same = [s for s in self._servers if s.service == service]
        return sum(s.server_id not in self.left for s in same) >= 3

    def _say_leaving(self, fault: plan.Fault) -> None:
        """A server's answers say that it leaves; its entry never does."""
        one = self._servers[fault.target]
        if one.leaving or one.server_id in self.left:
            return
        one.leaving = True
        until_s = fault.for_s + _LEAVES_FOR_S
        gevent.spawn_later(until_s, self._start_again, fault.target)

    def _start_again(self, number: int) -> None:
        """Another life of a server that left takes its place."""
        one = self._servers[number]
        one.leaving = False
        one.born_ms += 1000
        self.list_unless_left(number)

    def _rest(self, fault: plan.Fault) -> None:
        """A server turns all away, and asks for rest as it does."""
        one = self._servers[fault.target]
        if one.refuses:
            return
        one.rest_s = _REST_S
        one.refuses = True
        gevent.spawn_later(fault.for_s, setattr, one, "refuses", False)

    def _withdraw(self) -> None:
        if len(self.keys) < 2:
            return
        key = self.keys.pop(0)
        self._configure()
        self.withdrawn[key] = time.monotonic()

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

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._write_configuration()

    def _write_configuration(self) -> None:
        teams = [{"name": "blue", "apiKeys": self.keys}]
        document = world.config(self._version, tenants=teams)
        if plan.is_further(self._seed):
            for service in document["services"]:
                service |= {"coldStartS": _COLD_S, "coldPerS": COLD_PER_S}
        self._served.put("op", "config", document)


def _mute(link: proxy.Proxy) -> None:
    link.set_mode("mute")
    link.set_mode("pass")


def _heal(one: server.Server, chosen_by: Callable[[], server.Fault]) -> None:
    """Ends a fault, unless a later one has taken its place."""
    if one.choose_fault is chosen_by:
        one.choose_fault = None
