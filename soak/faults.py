"""Injects a run's faults, and notes whom they disturb."""

from __future__ import annotations

import dataclasses
import random
import time

import gevent

from irisshelf.coordination import membership
from irisshelf.platform.stand_in import proxy
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world
from soak import endless_peers
from soak import extremes
from soak import fleet
from soak import observations
from soak import plan
from soak import server_faults
from soak import teams

# An instance counts as in touch again so long after a disturbance.
_IN_TOUCH_S = 3.0
_NEXT_KEYS = 40
# Configurations without a valid key, by variant.
_KEYLESS = {
    "no_keys": [{"name": "blue", "apiKeys": []}],
    "null": [{"name": "blue", "apiKeys": None}],
    "no_teams": [],
}
# Instances that are killed at once count as in touch again so long after it,
# and are killed so often in a series, with such pauses. A herd comes so long
# after a rollout has begun.
_HERD_IN_TOUCH_S = 4.0
_SERIES = 3
_SERIES_PAUSE_S = (1.0, 2.5)
# Once the others have gone, instances that start know of one version alone.
_ROLLOUT_LEAD_S = {"version_comes": (0.3, 2.0), "version_goes": (1.3, 3.0)}
# How long the store is away before it comes back from a copy, and until what it
# lost is written again, at the most.
_COPY_AWAY_S = 0.3
_WRITTEN_AGAIN_S = 1.8
# The row that evacuates the data centre in which every second server stands.
FAR = "b"
_EVACUATION = f"evacuate/{FAR}"
_EVACUATED_FOR_S = 5.0
COLD_PER_S = 2.0
# A machine sleeps longer than a process stands still: 1 to 20 s.
_SLEEP_FACTOR = 5.0

# Faults after which no instance, or one instance, is in touch.
_DISTURBS_ALL = frozenset(
    {
        plan.Kind.STORE,
        plan.Kind.STORE_FORGETS,
        plan.Kind.STORE_COPY,
        plan.Kind.SERVER_COLD,
        plan.Kind.SERVER_LINK,
        plan.Kind.SERVER_CRASH,
        plan.Kind.SERVER_RESTARTS,
        plan.Kind.SERVER_MUTE,
    }
)
_DISTURBS_ONE = frozenset(
    {
        plan.Kind.KILL,
        plan.Kind.TERM,
        plan.Kind.PAUSE,
        plan.Kind.SLEEP,
        plan.Kind.STORE_LINK,
        plan.Kind.STORE_MUTE,
        plan.Kind.CALLER_LINK,
        plan.Kind.GONE_WHILE_CUT_OFF,
    }
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
        issued: All keys that were ever valid.
        withdrawn: When each withdrawn key was withdrawn, monotonic seconds.
        of_servers: Faults of the servers.
        disturbed: Spans in which an instance was not in touch.
        stopped: Spans of planned stops.
        pairs: The links of each instance to the servers, if each has its own.
        partitioned: Spans in which an instance reached no server by itself.
        evacuated: Spans in which the far data centre was evacuated.
        unlisted: Spans in which the store lacked what it had lost.
        lagged: Spans in which the store's list lagged.
        bursts: Spans in which all callers of hard load send more.
        surges: Spans in which one team sends more.
        endless: Peers that send without end.
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
        self._links = links
        self.of_servers = server_faults.ServerFaults(
            seed=seed,
            rng=self._rng,
            served=served,
            servers=servers,
            links=links,
        )
        self.endless = endless_peers.EndlessPeers(served=served)
        self._version = 0
        # The variant of the configuration, if no key is valid.
        self._keyless = ""
        self._next_key = _NEXT_KEYS
        self.entries: list[fleet.Entry] = []
        self.keys = [world.KEY] + [f"key-{n}" for n in range(_NEXT_KEYS)]
        self.issued = set(self.keys)
        self.withdrawn: dict[str, float] = {}
        self.disturbed: list[observations.Span] = []
        self.stopped: list[observations.Span] = []
        self.pairs: list[list[proxy.Proxy]] = []
        self.partitioned: list[observations.Span] = []
        self.evacuated: list[observations.Span] = []
        self.unlisted: list[observations.Span] = []
        self.lagged: list[observations.Span] = []
        self.bursts: list[observations.Span] = []
        self.surges: list[observations.Span] = []

    def prepare(self) -> None:
        """Writes the list of servers and the first configuration."""
        self.of_servers.list_all()
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
            plan.Kind.SERVER_FAULTS: lambda: self.of_servers.misbehave(fault),
            plan.Kind.SERVER_CRASH: lambda: self.of_servers.crash(fault),
            plan.Kind.SERVER_RESTARTS: lambda: self.of_servers.restart(fault),
            plan.Kind.FOREIGN_ENTRIES: self.of_servers.write_foreign,
            plan.Kind.SERVER_LEAVES: lambda: self.of_servers.leave(fault),
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
            plan.Kind.SERVER_COLD: lambda: gevent.spawn(
                self.of_servers.cool, fault
            ),
            plan.Kind.SERVER_SAYS_LEAVING: lambda: self.of_servers.say_leaving(
                fault
            ),
            plan.Kind.SERVER_RESTS: lambda: self.of_servers.rest(fault),
            plan.Kind.LATE_ENTRY: lambda: self.of_servers.write_late(fault),
            plan.Kind.STORE_LAGS: lambda: self._lag(fault),
            plan.Kind.GONE_WHILE_CUT_OFF: lambda: gevent.spawn(
                self._remove_unseen, fault
            ),
            plan.Kind.VERSION: lambda: gevent.spawn(
                self.of_servers.change_version, fault
            ),
            plan.Kind.SERVER_SLOW: lambda: self.of_servers.slow(fault),
            plan.Kind.BURST: lambda: self._raise_load(self.bursts, fault),
            plan.Kind.SURGE: lambda: self._raise_load(self.surges, fault),
            plan.Kind.LAST_KEY: lambda: self._withdraw_all(fault),
            plan.Kind.ENDLESS_SERVER: lambda: gevent.spawn(
                self.endless.serve, fault
            ),
            plan.Kind.ENDLESS_CALLER: lambda: self.endless.call(
                fault, self._entry(fault).front
            ),
            plan.Kind.PARTITION: lambda: self._partition(fault),
            plan.Kind.HERD: lambda: gevent.spawn(self._herd, fault),
        }
        actions[fault.kind]()
        self._note(fault)

    def _raise_load(
        self, spans: list[observations.Span], fault: plan.Fault
    ) -> None:
        """Notes for the callers that they send more, from now on."""
        now = time.monotonic()
        spans.append(
            observations.Span(target=0, from_s=now, to_s=now + fault.for_s)
        )

    def _aimed(self, fault: plan.Fault) -> plan.Fault:
        """Returns a fault with its target, where that is the first instance."""
        if not fault.hits_first:
            return fault
        place = self._entry(fault).data_centre
        members = [
            membership.Member(name=e.name, address=e.peers, data_centre=place)
            for e in self.entries
            if e.data_centre == place
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
                    observations.Span(
                        target=fault.target, from_s=now, to_s=until_s
                    )
                )
            return
        everywhere = fault.kind in _DISTURBS_ALL
        own = fault.kind in _DISTURBS_ONE
        targets = range(len(self.entries)) if everywhere else [fault.target]
        if fault.kind is plan.Kind.STORE_TURNS_AWAY:
            own = True
            targets = self._turned_away(fault)
        if everywhere or own:
            until_s = now + fault.for_s + _IN_TOUCH_S
            self.disturbed += [
                observations.Span(target=target, from_s=now, to_s=until_s)
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
        self.of_servers.list_all()
        if self.evacuated and self.evacuated[-1].to_s > time.monotonic():
            self._served.put("op", _EVACUATION, {})
        else:
            self._served.drop("op", _EVACUATION)
        self._write_configuration()
        known_s = time.monotonic() + server_faults.COLD_KNOWN_S
        self.unlisted.append(
            observations.Span(target=0, from_s=back_s, to_s=known_s)
        )

    def _evacuate(self, fault: plan.Fault) -> None:
        """The far data centre is evacuated, and that is lifted again."""
        now = time.monotonic()
        if self.evacuated and self.evacuated[-1].to_s > now:
            return
        span = observations.Span(
            target=0, from_s=now, to_s=now + _EVACUATED_FOR_S + fault.for_s
        )
        self._served.put("op", _EVACUATION, {})
        self.evacuated.append(span)
        gevent.spawn_later(
            span.to_s - now, self._served.drop, "op", _EVACUATION
        )

    def _link(self, link: proxy.Proxy, fault: plan.Fault) -> None:
        link.set_mode(fault.variant)
        gevent.spawn_later(fault.for_s, link.set_mode, "pass")

    def _partition(self, fault: plan.Fault) -> None:
        """Some or most instances lose their links to all servers."""
        now = time.monotonic()
        if any(span.to_s > now for span in self.partitioned):
            return
        count = 1
        if fault.share == 1.0:
            count = len(self.entries) * 2 // 3
        for number in range(fault.target, fault.target + count):
            target = number % len(self.entries)
            span = observations.Span(
                target=target, from_s=now, to_s=now + fault.for_s
            )
            self.partitioned.append(span)
            for pair in self.pairs[target]:
                pair.cut(proxy.Cut(fault.variant))
                gevent.spawn_later(fault.for_s, pair.heal)

    def _herd(self, fault: plan.Fault) -> None:
        """A large share of the instances is killed at the same moment."""
        lead_s = _ROLLOUT_LEAD_S.get(fault.variant)
        if lead_s:
            gevent.spawn(self.of_servers.roll_out, fault)
            gevent.sleep(self._rng.uniform(*lead_s))
        for _ in range(_SERIES if fault.variant == "series" else 1):
            count = max(1, round(fault.share * len(self.entries)))
            now = time.monotonic()
            for entry in self._rng.sample(self.entries, count):
                entry.kill()
                span = observations.Span(
                    target=entry.number,
                    from_s=now,
                    to_s=now + _HERD_IN_TOUCH_S,
                )
                self.disturbed.append(span)
            gevent.sleep(self._rng.uniform(*_SERIES_PAUSE_S))

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
        self.lagged.append(
            observations.Span(target=0, from_s=now, to_s=until_s)
        )

    def _remove_unseen(self, fault: plan.Fault) -> None:
        """A server is gone without notice while an instance is cut off."""
        self._link(
            self._entry(fault).store_link,
            dataclasses.replace(fault, variant="silent"),
        )
        gevent.sleep(fault.for_s / 2)
        self.of_servers.remove_one()

    def _withdraw(self) -> None:
        if len(self.keys) < 2:
            return
        key = self.keys.pop(0)
        self._configure()
        self.withdrawn[key] = time.monotonic()

    def _withdraw_all(self, fault: plan.Fault) -> None:
        """No key is valid for a while, and others than before after it."""
        if not self.keys:
            return
        withdrawn, self.keys = self.keys, []
        self._keyless = fault.variant
        self._configure()
        now = time.monotonic()
        self.withdrawn |= dict.fromkeys(withdrawn, now)
        gevent.spawn_later(fault.for_s, self._issue_keys)

    def _issue_keys(self) -> None:
        first, self._next_key = self._next_key, self._next_key + _NEXT_KEYS
        self._keyless = ""
        self.keys = [f"key-{n}" for n in range(first, self._next_key)]
        self.issued |= set(self.keys)
        self._configure()

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 3)
        self._write_configuration()

    def _write_configuration(self) -> None:
        tenants = _KEYLESS.get(
            self._keyless, [{"name": "blue", "apiKeys": self.keys}]
        )
        document = world.config(self._version, tenants=tenants)
        if plan.is_hard(self._seed):
            teams.add_to(document)
        if plan.has_extremes(self._seed):
            extremes.add_to(document)
        if plan.is_further(self._seed):
            for service in document["services"]:
                service |= {
                    "coldStartS": server_faults.COLD_S,
                    "coldPerS": COLD_PER_S,
                }
        self._served.put("op", "config", document)


def _mute(link: proxy.Proxy) -> None:
    link.set_mode("mute")
    link.set_mode("pass")
