"""Processor time of a request by three paths to its server.

Direct; through a tunnel of another instance, as ``gateway.servers.relays``
does; and as a message that another instance handles as if a caller had sent it.
All parts run in this process, callers and servers too, so that only differences
count.
"""

from __future__ import annotations

import dataclasses
import statistics
import time
from collections.abc import Callable

from gevent import server as gevent_server

from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import policy
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import server as http

_ROUNDS = 5
_REQUESTS = 100
_TARGETS = {"safe": "/valve/1", "stream": "/digest/1"}
_LIMITS = http.Limits(
    head_bytes=65536, body_bytes=65536, head_s=9.0, idle_s=60.0
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Path:
    """How requests of one path are sent.

    Attributes:
        connect: Opens a caller's connection.
        prepare: Called before each round.
    """

    connect: Callable[[], client.Connection]
    prepare: Callable[[], None]


class _Forwarder:
    """Passes each request as a message to an instance.

    Args:
        address: The instance's address for callers.
    """

    def __init__(self, *, address: str):
        self._address = address
        self._idle: list[client.Connection] = []
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def connect(self) -> client.Connection:
        """Opens a connection to the forwarder."""
        address = f"127.0.0.1:{self.server.server_port}"
        return client.connect(address, timeout_s=5.0)

    def _serve(self, sock, peer) -> None:
        http.Connection(
            sock=sock,
            limits=lambda: _LIMITS,
            handle=self._handle,
            refuse=lambda status, text: ([], text.encode()),
        ).serve()

    def _handle(self, request: http.Request, conn: http.Connection) -> None:
        onward = (
            self._idle.pop()
            if self._idle
            else client.connect(self._address, timeout_s=5.0)
        )
        onward.send(
            request.method,
            request.target,
            list(request.headers),
            request.body,
            timeout_s=5.0,
        )
        status, headers = onward.read_head(timeout_s=5.0)
        framing = (b"content-length", b"transfer-encoding")
        kept = [pair for pair in headers if pair[0].lower() not in framing]
        conn.begin(status, kept)
        while (part := onward.read_data(timeout_s=5.0)) is not None:
            conn.write(part)
        conn.end()
        self._idle.append(onward)


def measure() -> dict[str, float | None]:
    """Returns microseconds of processor time a request, by kind and path."""
    world = world_module.World(
        servers=2,
        data_centres=("a", "a"),
        switched=policy.Policy(reach=False),
    )
    forwarder = _Forwarder(
        address=f"127.0.0.1:{world.entries[1].listener.port}"
    )
    paths = {
        "direct": _Path(connect=lambda: world.connect(1), prepare=lambda: None),
        "tunnel": _Path(
            connect=lambda: world.connect(0),
            prepare=lambda: _make_unreachable(world),
        ),
        "message": _Path(connect=forwarder.connect, prepare=lambda: None),
    }
    figures: dict[str, float | None] = {}
    try:
        for kind, target in _TARGETS.items():
            rounds: dict[str, list[float]] = {name: [] for name in paths}
            for _ in range(_ROUNDS):
                for name, path in paths.items():
                    rounds[name].append(_round_us(world, path, target))
            for name, times_us in rounds.items():
                figures[f"{kind}_{name}_us"] = statistics.median(times_us)
        metric = world.inst.metrics.relayed_sends
        figures["relayed_sends"] = sum(
            sample.value
            for family in metric.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        )
    finally:
        forwarder.server.stop(timeout=0)
        world.close()
    return figures


def _round_us(world: world_module.World, path: _Path, target: str) -> float:
    world.meet()
    path.prepare()
    conn = path.connect()
    for _ in range(3):
        assert world.ask(target, conn=conn).status == 200
    began_s = time.process_time()
    for _ in range(_REQUESTS):
        assert world.ask(target, conn=conn).status == 200
    took_s = time.process_time() - began_s
    conn.close()
    return took_s / _REQUESTS * 1e6


def _make_unreachable(world: world_module.World) -> None:
    servers = world.inst.servers
    for server in world.inst.directory.servers():
        stats = servers.chooser(server.service).stats
        now = world.inst.now()
        stats.record_connect_failure(server.server_id, timed_out=True, now=now)
        outcome = server_stats.Outcome.UNREACHABLE
        stats.record_outcome(server.server_id, outcome, now)


if __name__ == "__main__":
    print(measure())
