"""Plays one seed: a fleet on loopback, callers, faults, the verdict."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import time

import gevent

from irisshelf import boottime
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world
from irisshelf.transport import client
from irisshelf.transport import errors
from soak import checker
from soak import crashing
from soak import faults
from soak import fleet
from soak import observations
from soak import plan
from soak import ports
from soak import server_links
from soak import streams

EVENTS = 12
_CALLERS = 8
_PAUSE_S = 0.02
_DEADLINE_S = 2.0
_START_S = 20.0
# When the servers say that they started, Unix ms.
_BORN_MS = 1_700_000_000_000
# After the faults: links are back, processes restarted, lapses over.
_SETTLE_S = 6.0
_CALM_S = 3.0
# Share of the callers of resumable streams that leave midway, and how often a
# stream that is not whole is resumed, at most.
_LEAVING_SHARE = 0.4
_RESUMPTIONS = 2
_BOUNDS = checker.Bounds(key_s=5.0, left_s=2.5)
_ROUTES = {
    observations.RequestKind.SAFE: ("GET", "/valve/1", b""),
    observations.RequestKind.UNSAFE: ("POST", "/alarm/1", b"burst"),
    observations.RequestKind.STREAM: ("POST", "/query/1", b"ask"),
    observations.RequestKind.RESUMABLE: ("POST", "/digest/1", b"ask"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What came of a seed.

    Attributes:
        seed: The seed.
        faults: How many were injected.
        requests: How many were asked.
        served: How many of these were served whole.
        own_exits: Processes that ended of themselves.
        resumed: Resumptions of streams, and how many of them went on.
        ends: Servers that ended under the crashing request.
        violations: Promises that were broken.
    """

    seed: int
    faults: int
    requests: int
    served: int
    own_exits: int
    resumed: tuple[int, int]
    ends: int
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
        self.links = [
            server_links.ServerLink(target=one.address) for one in self.servers
        ]
        self._injector = faults.Injector(
            seed=seed,
            served=self.store,
            servers=self.servers,
            links=self.links,
        )
        if plan.has_versions(seed):
            self._injector.of_servers.begin_versions()
        self._injector.prepare()
        self._crashing: crashing.CrashingRequest | None = None
        if crashing.is_asked(seed):
            self._crashing = crashing.CrashingRequest(
                seed=seed,
                servers=self.servers,
                links=self.links,
                list_again=self._injector.of_servers.list_unless_left,
            )
        self._ports = ports.Block()
        peers = [f"127.0.0.1:{self._ports.take()}" for _ in range(instances)]
        self.entries = [
            fleet.Entry(
                number=number,
                folder=folder,
                store=self._open_store(),
                peers=peers[number],
                block=self._ports,
                seeds=peers[: plan.INSTANCES],
            )
            for number in range(instances)
        ]
        self._injector.entries = self.entries
        self._asked: list[observations.Asked] = []
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
        if self._crashing is not None:
            until_s = began_s + plan.FAULTS_UNTIL_S
            callers.append(
                gevent.spawn(self._crashing.ask_until, until_s, self._crash)
            )
        for fault in self._faults:
            gevent.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            self._injector.inject(fault)
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
        # Servers note the time that counts while a machine sleeps.
        apart_s = boottime.now() - time.monotonic()
        record = observations.Record(
            asked=tuple(self._asked),
            ran=tuple(
                observations.Ran(
                    request_id=run.request_id,
                    server_id=run.server_id,
                    at_s=run.at_s - apart_s,
                    server=number,
                    far=one.data_centre == faults.FAR,
                )
                for number, one in enumerate(self.servers)
                for run in one.runs
            ),
            withdrawn=self._injector.withdrawn,
            left=self._injector.of_servers.left,
            disturbed=tuple(self._injector.disturbed),
            stopped=tuple(self._injector.stopped),
            events=EVENTS,
            ends_s=tuple(self._crashing.ends_s if self._crashing else ()),
            evacuated=tuple(self._injector.evacuated),
            partitioned=tuple(self._injector.partitioned),
            cold=tuple(self._injector.of_servers.cold),
            unlisted=tuple(self._injector.unlisted),
            lagged=tuple(self._injector.lagged),
            versions=tuple(self._injector.of_servers.versions),
            arrived=tuple(
                observations.Arrived(
                    request_id=one.request_id,
                    server=number,
                    life=one.born_ms,
                    at_s=one.at_s - apart_s,
                    leaving=one.leaving,
                    rest_s=one.rest_s,
                )
                for number, served in enumerate(self.servers)
                for one in served.arrivals
            ),
        )
        return Verdict(
            seed=self._seed,
            faults=len(self._faults),
            requests=len(self._asked),
            served=sum(a.status == 200 and a.whole for a in self._asked),
            own_exits=sum(entry.own_exits for entry in self.entries),
            resumed=(
                sum(bool(a.resumes) for a in self._asked),
                sum(bool(a.resumes) and a.status == 200 for a in self._asked),
            ),
            ends=len(record.ends_s),
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
                born_ms=_BORN_MS,
                data_centre=self._place(number),
            ).start()
            for number in range(plan.SERVERS)
        ]

    def _open_store(self) -> str:
        """Returns the store's address for the next instance.

        With partitions, each instance has links of its own to the servers.
        """
        if not plan.has_partitions(self._seed):
            return self.store.address
        port = self.store.open_port()
        pairs = []
        for link in self.links:
            pairs.append(link.add_pair())
            port.addresses[link.address] = pairs[-1].address
        self._injector.pairs.append(pairs)
        return port.address

    def _place(self, number: int) -> str:
        """Returns where a server stands."""
        far = plan.is_further(self._seed) and number % 2
        return faults.FAR if far else "a"

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

    def _key(self) -> str:
        """Returns a key; a caller may not have heard that it is withdrawn."""
        withdrawn = self._injector.withdrawn
        if withdrawn and self._rng.random() < 0.2:
            return self._rng.choice(list(withdrawn))
        return self._injector.keys[0]

    def _crash(self, kind: observations.RequestKind, body: bytes) -> None:
        """Asks for what ends servers, on a new connection."""
        entry = self._rng.choice(self.entries)
        try:
            address = entry.caller_link.address
            conn = client.connect(address, timeout_s=0.5)
        except errors.TransportError:
            return
        conn = self._ask(conn, entry.number, kind, body)
        if conn is not None:
            conn.close()

    def _ask(
        self,
        conn: client.Connection,
        instance: int,
        crashing_kind: observations.RequestKind | None = None,
        crashing_body: bytes = b"",
    ) -> client.Connection | None:
        kind = crashing_kind or self._rng.choice(list(_ROUTES))
        leaves_after = None
        if kind is observations.RequestKind.RESUMABLE and not crashing_body:
            leaves_after = self._draw_leaving()
        asked = self._send(
            conn, instance, kind, crashing_body, leaves_after=leaves_after
        )
        if plan.has_versions(self._seed) and not crashing_body:
            self._resume(asked)
        if conn.reusable:
            return conn
        conn.close()
        return None

    def _draw_leaving(self) -> int | None:
        """Returns after how many events a caller leaves; None if it stays."""
        if not plan.has_versions(self._seed) or (
            self._rng.random() >= _LEAVING_SHARE
        ):
            return None
        return self._rng.randrange(1, EVENTS)

    def _resume(self, first: observations.Asked) -> None:
        """Takes up a resumable stream elsewhere, until it is whole."""
        body = first.body
        whole = first.whole
        for _ in range(_RESUMPTIONS):
            after = streams.last_event_id(body)
            if (
                first.kind is not observations.RequestKind.RESUMABLE
                or whole
                or after is None
            ):
                return
            entry = self._rng.choice(self.entries)
            try:
                address = entry.caller_link.address
                conn = client.connect(address, timeout_s=0.5)
            except errors.TransportError:
                continue
            asked = self._send(
                conn,
                entry.number,
                first.kind,
                b"",
                leaves_after=self._draw_leaving(),
                resumes=first,
                after=after,
            )
            conn.close()
            body, whole = body + asked.body, asked.whole

    def _send(
        self,
        conn: client.Connection,
        instance: int,
        kind: observations.RequestKind,
        crashing_body: bytes,
        *,
        leaves_after: int | None = None,
        resumes: observations.Asked | None = None,
        after: int = 0,
    ) -> observations.Asked:
        """Sends one attempt and records what came of it."""
        method, target, body = _ROUTES[kind]
        self._serial += 1
        request_id = f"s{self._seed}-{self._serial}"
        key = resumes.key if resumes else self._key()
        headers = self._headers(request_id, key)
        if resumes is not None:
            headers["Resumes"] = resumes.request_id
            headers["Last-Event-Id"] = str(after)
        calm = self._calm and key not in self._injector.withdrawn
        sent_s = time.monotonic()
        answer = _exchange(
            conn, method, target, crashing_body or body, headers, leaves_after
        )
        asked = observations.Asked(
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
            # A version may be gone; how many go on is checked apart.
            calm=calm and not crashing_body and resumes is None,
            crashing=bool(crashing_body),
            resumes=resumes.request_id if resumes else "",
            after_event=after,
            left=leaves_after is not None,
        )
        self._asked.append(asked)
        return asked


def _exchange(
    conn: client.Connection,
    method: str,
    target: str,
    body: bytes,
    headers: dict[str, str],
    leaves_after: int | None = None,
) -> world.Answer:
    """Sends a request and collects what comes of the answer.

    Args:
        conn: The connection.
        method: HTTP method.
        target: Path and query.
        body: The request's body.
        headers: The request's headers.
        leaves_after: After how many events the caller leaves; None if it stays.
    """
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
    if leaves_after is not None:
        return streams.read_part(conn, leaves_after)
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
