"""A small world on loopback: store, servers, one entry instance in process."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import time
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import gevent

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.gateway import messages
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import entry as entry_module
from irisshelf.platform.stand_in import proxy
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.routing.direct import policy
from irisshelf.transport import client
from irisshelf.transport import errors

KEY = "key-of-blue"
HOST = "world.example"
_WAIT_S = 10.0
_HEARTBEAT_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 if the connection ended without one.
        headers: By name in lower case.
        body: What came of the body.
        whole: Whether the body came to its proper end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route's document."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 200,
        "gapTargetMs": 100,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


# Latency targets from which no time-out follows that ends before a request's
# deadline: an instance waits for a silent server that it can reach. For cases
# in which nothing is silent, as a pause of the process looks like silence.
PATIENT = {"targetLatencyMs": 5000, "gapTargetMs": 5000}


def config(
    version: int, *, targets: Mapping[str, Any] | None = None, **more: Any
) -> dict[str, Any]:
    """Returns a configuration with one route of each kind.

    Args:
        version: Its version.
        targets: Latency targets of all routes, such as ``PATIENT``.
        **more: Further fields.
    """
    own = targets or {}
    return {
        "version": version,
        "routes": [
            route("/digest/", "streaming", "lm", resumable=True, **own),
            route("/query/", "streaming", "lm", maxAttempts=1, **own),
            route("/alarm/", "unsafe", "crew", **own),
            route("/valve/", "safe", "crew", **own),
        ],
        "services": [{"name": "lm"}, {"name": "crew"}],
        "limits": {},
        "tenants": [{"name": "blue", "apiKeys": [KEY]}],
        **more,
    }


def inbound(
    target: str, headers: list[tuple[bytes, bytes]]
) -> messages.InboundRequest:
    """Returns a request as an instance reads it."""
    return messages.InboundRequest(
        method="POST",
        target=target,
        headers=tuple(headers),
        body=b"{}",
        has_body=True,
        arrived_s=boottime.now(),
    )


class World:
    """Runs everything in this process until closed.

    Args:
        servers: Servers of each service.
        bounds: Bounds of the instances' settings.
        configured: Whether a configuration is there from the start.
        switched: Mechanisms that the instances use.
        data_centres: Where the instances stand, one each.
        places: Where the servers of each service stand, by turns.
        known_places: All data centres that the instances know by settings.
        regions: The region of each data centre, by settings.
        versions: Versions of the engines' software, by turns.
        events: Events of a stream.
        event_s: Pause before each event.
        servers_age_s: How long ago the servers have started, as their entries
            tell it; None if they do not.
        linked: Whether each instance reaches each server over a link of its
            own, which can be cut.
        targets: Latency targets of all routes.
        keys_required: Whether callers have keys, by settings.

    Attributes:
        entries: The instances.
        links: The links of each instance to servers, by server id.
        store_ports: The port of the store that each instance uses.
        inst: The first of them.
        listener: Its listener for callers.
        follower: What follows the store for it.
    """

    def __init__(
        self,
        *,
        servers: int = 2,
        bounds: settings.Bounds | None = None,
        configured: bool = True,
        switched: policy.Policy = policy.DEFAULT,
        data_centres: Sequence[str] = ("a",),
        places: Sequence[str] = ("a",),
        known_places: Sequence[str] = (),
        regions: Mapping[str, str] | None = None,
        versions: Sequence[str] = (server.FIRST_VERSION,),
        events: int = 4,
        event_s: float = 0.002,
        servers_age_s: float | None = None,
        linked: bool = False,
        targets: Mapping[str, Any] | None = None,
        keys_required: bool = True,
    ):
        self._servers_age_s = servers_age_s
        self._places = places
        self._make_server = functools.partial(
            server.Server, events=events, event_s=event_s
        )
        self._linked = linked
        self.links: list[dict[str, proxy.Proxy]] = []
        self.store = store.Store().start()
        self.plain = self._servers("crew", servers, streaming=False)
        self.engines = self._servers(
            "lm", servers, streaming=True, versions=versions
        )
        if configured:
            self.store.put("op", "config", config(1, targets=targets))
        self._ids = itertools.count(1)
        self.store_ports: list[store.Port] = []
        self.entries: list[entry_module.Entry] = []
        self._make_entry = functools.partial(
            entry_module.Entry,
            bounds=bounds or settings.Bounds(),
            switched=switched,
            known_places=known_places,
            regions=regions or {},
            keys_required=keys_required,
        )
        for data_centre in data_centres:
            self.add_entry(data_centre)
        self._heartbeats = gevent.spawn(self._keep_known)
        self.inst = self.entries[0].inst
        self.listener = self.entries[0].listener
        self.follower = self.entries[0].follower
        if configured:
            self.wait(lambda: all(e.inst.ready for e in self.entries))

    def add_entry(self, data_centre: str) -> entry_module.Entry:
        """Starts one more instance, which the others know at once."""
        port = self.store.open_port()
        self.store_ports.append(port)
        self.links.append(self._link(port) if self._linked else {})
        made = self._make_entry(
            name=f"entry-{len(self.entries) + 1}",
            data_centre=data_centre,
            store=port.address,
        )
        self.entries.append(made)
        self.meet()
        return made

    def meet(self) -> None:
        """Makes all running instances known to each other."""
        running = [entry for entry in self.entries if not entry.closed]
        for entry in running:
            entry.meet(running)

    def _keep_known(self) -> None:
        """Stands in for the heartbeats between instances."""
        while True:
            gevent.sleep(_HEARTBEAT_S)
            self.meet()

    def cut(
        self, entry: int, how: proxy.Cut, service: str | None = None
    ) -> None:
        """Cuts an instance's links to all servers, or to those of a service."""
        for server_id, link in self.links[entry].items():
            if service is None or server_id.startswith(f"{service}-"):
                link.cut(how)

    def heal(self, entry: int) -> None:
        """Restores an instance's links to servers."""
        for link in self.links[entry].values():
            link.heal()

    def _link(self, port: store.Port) -> dict[str, proxy.Proxy]:
        links = {}
        for one in (*self.plain, *self.engines):
            links[one.server_id] = proxy.Proxy(target=one.address)
            port.addresses[one.address] = links[one.server_id].address
        return links

    def close(self) -> None:
        """Ends everything."""
        self._heartbeats.kill()
        for entry in self.entries:
            entry.close()
        for links in self.links:
            for link in links.values():
                link.close()
        for one in [*self.plain, *self.engines]:
            one.close()
        self.store.close()

    def list_all_at(self, address: str) -> None:
        """Lists all servers at one address, and waits until that is known."""
        everyone = [*self.plain, *self.engines]
        for one in everyone:
            entry = one.entry() | {"address": address}
            self.store.put("servers", one.server_id, entry)
        listed = self.inst.directory.get
        self.wait(
            lambda: all(
                listed(one.server_id).address == address for one in everyone
            )
        )

    def wait(self, until: Callable[[], bool]) -> None:
        """Waits for something that must come.

        Raises:
            TimeoutError: It did not.
        """
        end_s = boottime.now() + _WAIT_S
        while not until():
            if boottime.now() > end_s:
                raise TimeoutError("what was waited for did not come")
            gevent.sleep(0.005)

    def connect(self, entry: int = 0) -> client.Connection:
        """Opens a caller's connection to an instance, by its place."""
        address = f"127.0.0.1:{self.entries[entry].listener.port}"
        return client.connect(address, timeout_s=5.0)

    def connect_to(self, server: directory.BackendServer) -> client.Connection:
        """Opens a connection to a server, as the instance does."""
        return client.connect(server.address, timeout_s=5.0)

    def ask(
        self,
        target: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        conn: client.Connection | None = None,
        entry: int = 0,
        **headers: str,
    ) -> Answer:
        """Sends one request and collects the answer.

        Args:
            target: Path and query.
            method: HTTP method.
            body: The body; none for an empty one.
            conn: A connection to use again; a new one without.
            entry: The instance, by its place.
            **headers: Further headers, ``_`` for ``-``.
        """
        own = conn or self.connect(entry)
        sent = self.headers(body, **headers)
        own.send(method, target, sent, body, timeout_s=5.0)
        answer = read_answer(own)
        if conn is None:
            own.close()
        return answer

    def headers(self, body: bytes, **more: str) -> list[tuple[bytes, bytes]]:
        """Returns a caller's headers."""
        found = {
            "Host": HOST,
            "Request-Id": f"r{next(self._ids)}",
            "Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        found |= {name.replace("_", "-"): v for name, v in more.items()}
        if body:
            found["Content-Length"] = str(len(body))
        return [(n.encode(), v.encode()) for n, v in found.items() if v]

    def runs(self, request_id: str) -> int:
        """Returns how often any server ran a request."""
        everyone = [*self.plain, *self.engines]
        return sum(one.ran(request_id) for one in everyone)

    def _servers(
        self,
        service: str,
        count: int,
        *,
        streaming: bool,
        versions: Sequence[str] = (server.FIRST_VERSION,),
    ) -> list[server.Server]:
        made = [
            self._make_server(
                server_id=f"{service}-{number}",
                service=service,
                streaming=streaming,
                data_centre=self._places[number % len(self._places)],
                version=versions[number % len(versions)],
                born_ms=self._born_ms(self._servers_age_s),
            ).start()
            for number in range(count)
        ]
        for one in made:
            self.list_server(one)
            one.on_return = functools.partial(self.list_server, one)
        return made

    def _born_ms(self, age_s: float | None) -> int | None:
        """Returns when a server has started, in Unix milliseconds."""
        if age_s is None or self._servers_age_s is None:
            return None
        return int((time.time() - age_s) * 1000)

    def add_engine(self, version: str) -> server.Server:
        """Starts one more engine and lists it."""
        made = self._make_server(
            server_id=f"lm-{len(self.engines)}",
            service="lm",
            streaming=True,
            data_centre=self._places[len(self.engines) % len(self._places)],
            version=version,
            born_ms=self._born_ms(0.0),
        ).start()
        self.engines.append(made)
        self.list_server(made)
        return made

    def remove_engine(self, one: server.Server) -> None:
        """Ends an engine for good, with its connections and its entry."""
        one.on_return = lambda: None
        one.end()
        self.store.drop("servers", one.server_id)

    def list_server(self, one: server.Server) -> None:
        """Writes a server's entry."""
        self.store.put("servers", one.server_id, one.entry())


def read_answer(conn: client.Connection) -> Answer:
    """Collects an answer, as much as comes."""
    try:
        status, raw = conn.read_head(timeout_s=10.0)
    except errors.TransportError:
        return Answer(status=0, headers={}, body=b"", whole=False)
    headers = {n.decode().lower(): v.decode() for n, v in raw}
    parts = []
    whole = True
    while True:
        try:
            part = conn.read_data(timeout_s=10.0)
        except errors.TransportError:
            whole = False
            break
        if part is None:
            break
        parts.append(part)
    return Answer(
        status=status, headers=headers, body=b"".join(parts), whole=whole
    )
