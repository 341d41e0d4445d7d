"""Plays one seed: a fleet on loopback, callers, faults, the verdict."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import time
from collections.abc import Callable

import gevent

from irisshelf.coordination import roster
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world
from irisshelf.transport import client
from irisshelf.transport import errors
from soak import checker
from soak import fleet
from soak import plan
from soak import ports
from soak import proxy

EVENTS = 12
_CALLERS = 8
_PAUSE_S = 0.02
_DEADLINE_S = 2.0
_START_S = 20.0
# After the faults: links are back, processes restarted, lapses over.
_SETTLE_S = 6.0
_CALM_S = 3.0
# An instance counts as in touch again so long after a disturbance.
_IN_TOUCH_S = 3.0
_NEXT_KEYS = 40
_BOUNDS = checker.Bounds(key_s=5.0, left_s=2.5)
_ROUTES = {
    checker.RequestKind.SAFE: ("GET", "/valve/1", b""),
    checker.RequestKind.UNSAFE: ("POST", "/alarm/1", b"burst"),
    checker.RequestKind.STREAM: ("POST", "/query/1", b"ask"),
    checker.RequestKind.RESUMABLE: ("POST", "/digest/1", b"ask"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What came of a seed."""

    seed: int
    faults: int
    requests: int
    served: int
    own_exits: int
    violations: tuple[checker.Violation, ...]


class Run:
    """One seed's run.

    Args:
        seed: Draws the faults.
        folder: For settings and logs.
        instances: How many there are.
    """

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        instances: int = plan.INSTANCES,
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._faults = plan.draw(seed, instances)
        self.store = store.Store().start()
        self.servers = [
            *self._make_servers("crew", streaming=False),
            *self._make_servers("lm", streaming=True),
        ]
        self.links = [proxy.Proxy(target=one.address) for one in self.servers]
        for number in range(len(self.servers)):
            self._list(number, "ready")
        self._keys = [world.KEY] + [f"key-{n}" for n in range(_NEXT_KEYS)]
        self._version = 0
        self._configure()
        self._ports = ports.Block()
        peers = [f"127.0.0.1:{self._ports.take()}" for _ in range(instances)]
        self.entries = [
            fleet.Entry(
                number=number,
                folder=folder,
                store=self.store.address,
                peers=peers[number],
                block=self._ports,
                seeds=peers[: plan.INSTANCES],
            )
            for number in range(instances)
        ]
        self._asked: list[checker.Asked] = []
        self._withdrawn: dict[str, float] = {}
        self._left: dict[str, float] = {}
        self._disturbed: list[checker.Span] = []
        self._stopped: list[checker.Span] = []
        self._serial = 0
        self._calm = False
        self._over = False

    def play(self) -> Verdict:
        """Plays the run to its end."""
        try:
            return self._play()
        finally:
            for entry in self.entries:
                entry.close()
            for link in self.links:
                link.close()
            for one in self.servers:
                one.close()
            self.store.close()
            self._ports.close()

    def _play(self) -> Verdict:
        for entry in self.entries:
            entry.start()
        if not self._all_serve(time.monotonic() + _START_S):
            raise RuntimeError("the instances did not come up")
        callers = [gevent.spawn(self._call) for _ in range(_CALLERS)]
        began_s = time.monotonic()
        for fault in self._faults:
            gevent.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            self._inject(self._aimed(fault))
        last_s = max(fault.at_s + fault.for_s for fault in self._faults)
        gevent.sleep(max(0.0, began_s + last_s - time.monotonic()))
        gevent.sleep(_SETTLE_S)
        self._all_serve(time.monotonic() + _START_S)
        self._calm = True
        gevent.sleep(_CALM_S)
        self._over = True
        gevent.joinall(callers)
        return self._verdict()

    def _verdict(self) -> Verdict:
        record = checker.Record(
            asked=tuple(self._asked),
            ran=tuple(
                checker.Ran(
                    request_id=run.request_id,
                    server_id=run.server_id,
                    at_s=0.0,
                )
                for one in self.servers
                for run in one.runs
            ),
            withdrawn=self._withdrawn,
            left=self._left,
            disturbed=tuple(self._disturbed),
            stopped=tuple(self._stopped),
            events=EVENTS,
        )
        return Verdict(
            seed=self._seed,
            faults=len(self._faults),
            requests=len(self._asked),
            served=sum(a.status == 200 and a.whole for a in self._asked),
            own_exits=sum(entry.own_exits for entry in self.entries),
            violations=tuple(checker.check(record, _BOUNDS)),
        )

    def _make_servers(
        self, service: str, *, streaming: bool
    ) -> list[server.Server]:
        return [
            server.Server(
                server_id=f"{service}-{number}",
                service=service,
                streaming=streaming,
                events=EVENTS,
                event_s=0.01,
                work_s=0.01,
            ).start()
            for number in range(plan.SERVERS)
        ]

    def _list(self, number: int, state: str) -> None:
        one = self.servers[number]
        entry = {**one.entry(state), "address": self.links[number].address}
        self.store.put("servers", one.server_id, entry)

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 3)
        teams = [{"name": "blue", "apiKeys": self._keys}]
        document = world.config(self._version, tenants=teams)
        self.store.put("op", "config", document)

    def _all_serve(self, until_s: float) -> bool:
        return all(
            fleet.wait_until(lambda e=entry: _is_ready(e), until_s)
            for entry in self.entries
        )

    def _call(self) -> None:
        """One caller: keeps its connection as long as it can."""
        conn = None
        while not self._over:
            entry = self._rng.choice(self.entries)
            try:
                if conn is None or self._rng.random() < 0.2:
                    address = entry.caller_link.address
                    conn, owner = client.connect(address, timeout_s=0.5), entry
                conn = self._ask(conn, owner.number)
            except errors.TransportError:
                conn = None
            gevent.sleep(_PAUSE_S)

    def _headers(self, request_id: str, key: str) -> dict[str, str]:
        return {
            "Host": world.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(_DEADLINE_S * 1000)),
            "Authorization": f"Bearer {key}",
            "Prefix-Hash": f"aa:300,b{self._serial % 7}:900,own:9",
        }

    def _ask(
        self, conn: client.Connection, instance: int
    ) -> client.Connection | None:
        kind = self._rng.choice(list(_ROUTES))
        method, target, body = _ROUTES[kind]
        self._serial += 1
        request_id = f"s{self._seed}-{self._serial}"
        key = self._keys[0]
        # A caller may not have heard that its key is withdrawn.
        if self._withdrawn and self._rng.random() < 0.2:
            key = self._rng.choice(list(self._withdrawn))
        calm = self._calm and key not in self._withdrawn
        sent_s = time.monotonic()
        answer = _exchange(
            conn, method, target, body, self._headers(request_id, key)
        )
        self._asked.append(
            checker.Asked(
                request_id=request_id,
                kind=kind,
                key=key,
                instance=instance,
                sent_s=sent_s,
                deadline_s=_DEADLINE_S,
                ended_s=time.monotonic(),
                status=answer.status,
                whole=answer.whole,
                body=answer.body,
                signature=answer.headers.get("response-signature", ""),
                calm=calm,
            )
        )
        if conn.reusable:
            return conn
        conn.close()
        return None

    def _inject(self, fault: plan.Fault) -> None:
        actions = {
            plan.Kind.KILL: lambda: self._entry(fault).kill(),
            plan.Kind.TERM: lambda: self._entry(fault).term(),
            plan.Kind.PAUSE: lambda: self._entry(fault).pause(fault.for_s),
            plan.Kind.HUP: lambda: self._entry(fault).hup(),
            plan.Kind.STORE: lambda: self._store(fault),
            plan.Kind.STORE_FORGETS: self.store.forget_history,
            plan.Kind.STORE_LINK: lambda: self._link(
                self._entry(fault).store_link, fault
            ),
            plan.Kind.SERVER_LINK: lambda: self._link(
                self.links[fault.target], fault
            ),
            plan.Kind.CALLER_LINK: lambda: self._link(
                self._entry(fault).caller_link, fault
            ),
            plan.Kind.SERVER_FAULTS: lambda: self._server_faults(fault),
            plan.Kind.SERVER_CRASH: lambda: self._crash(fault),
            plan.Kind.SERVER_LEAVES: lambda: self._leave(fault),
            plan.Kind.CONFIGURATION: self._configure,
            plan.Kind.WITHDRAW_KEY: self._withdraw,
            plan.Kind.STORE_TURNS_AWAY: lambda: self._turn_away(fault),
            plan.Kind.STORE_MUTE: lambda: _mute(self._entry(fault).store_link),
            plan.Kind.SERVER_MUTE: lambda: _mute(self.links[fault.target]),
            plan.Kind.HALF_SETTINGS: lambda: self._entry(fault).half_settings(
                fault.for_s
            ),
        }
        actions[fault.kind]()
        self._note(fault)

    def _aimed(self, fault: plan.Fault) -> plan.Fault:
        """Returns a fault with its target, where that is the first instance."""
        if not fault.hits_first:
            return fault
        members = [
            roster.Member(name=e.name, address=e.peers, data_centre="a")
            for e in self.entries
        ]
        first = roster.rank(members)[0].name
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
                self._stopped.append(
                    checker.Span(target=fault.target, from_s=now, to_s=until_s)
                )
            return
        everywhere = fault.kind in (
            plan.Kind.STORE,
            plan.Kind.STORE_FORGETS,
            plan.Kind.SERVER_LINK,
            plan.Kind.SERVER_CRASH,
        )
        own = fault.kind in (
            plan.Kind.KILL,
            plan.Kind.TERM,
            plan.Kind.PAUSE,
            plan.Kind.STORE_LINK,
            plan.Kind.CALLER_LINK,
        )
        everywhere = everywhere or fault.kind is plan.Kind.SERVER_MUTE
        own = own or fault.kind is plan.Kind.STORE_MUTE
        targets = range(len(self.entries)) if everywhere else [fault.target]
        if fault.kind is plan.Kind.STORE_TURNS_AWAY:
            own = True
            targets = self._turned_away(fault)
        if everywhere or own:
            until_s = now + fault.for_s + _IN_TOUCH_S
            self._disturbed += [
                checker.Span(target=target, from_s=now, to_s=until_s)
                for target in targets
            ]

    def _store(self, fault: plan.Fault) -> None:
        self.store.mode = store.Mode(fault.variant)
        gevent.spawn_later(fault.for_s, self._store_back)

    def _turn_away(self, fault: plan.Fault) -> None:
        for number in self._turned_away(fault):
            self._link(self.entries[number].store_link, fault)

    def _store_back(self) -> None:
        self.store.mode = store.Mode.WELL

    def _link(self, link: proxy.Proxy, fault: plan.Fault) -> None:
        link.set_mode(fault.variant)
        gevent.spawn_later(fault.for_s, link.set_mode, "pass")

    def _server_faults(self, fault: plan.Fault) -> None:
        one = self.servers[fault.target]
        wanted = server.Fault(fault.variant)
        rng = random.Random(self._seed + fault.target)

        def choose_fault() -> server.Fault:
            hit = rng.random() < fault.share
            return wanted if hit else server.Fault.NONE

        one.choose_fault = choose_fault
        gevent.spawn_later(fault.for_s, _heal, one, choose_fault)

    def _crash(self, fault: plan.Fault) -> None:
        """A crashed server says nothing to the store; it comes back."""
        link = self.links[fault.target]
        link.set_mode("reset")
        gevent.spawn_later(fault.for_s, link.set_mode, "pass")

    def _leave(self, fault: plan.Fault) -> None:
        """A server leaves, and another life of it comes."""
        number = fault.target
        one = self.servers[number]
        if one.server_id in self._left:
            return
        same = [s for s in self.servers if s.service == one.service]
        if sum(s.server_id not in self._left for s in same) < 3:
            return
        self._list(number, "draining")
        self._left[one.server_id] = time.monotonic()

    def _withdraw(self) -> None:
        if len(self._keys) < 2:
            return
        key = self._keys.pop(0)
        self._configure()
        self._withdrawn[key] = time.monotonic()


def _mute(link: proxy.Proxy) -> None:
    link.set_mode("mute")
    link.set_mode("pass")


def _heal(one: server.Server, chosen_by: Callable[[], server.Fault]) -> None:
    """Ends a fault, unless a later one has taken its place."""
    if one.choose_fault is chosen_by:
        one.choose_fault = None


def _exchange(
    conn: client.Connection,
    method: str,
    target: str,
    body: bytes,
    headers: dict[str, str],
) -> world.Answer:
    """Sends a request and collects what comes of the answer."""
    if body:
        headers["Content-Length"] = str(len(body))
    try:
        conn.send(
            method,
            target,
            [(n.encode(), v.encode()) for n, v in headers.items()],
            body,
            timeout_s=2.0,
        )
    except errors.TransportError:
        return world.Answer(status=0, headers={}, body=b"", whole=False)
    return world.read_answer(conn)


def _is_ready(entry: fleet.Entry) -> bool:
    try:
        conn = client.connect(entry.ready, timeout_s=0.5)
        conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=0.5)
        status, _ = conn.read_head(timeout_s=0.5)
    except errors.TransportError:
        return False
    conn.close()
    return status == 200
