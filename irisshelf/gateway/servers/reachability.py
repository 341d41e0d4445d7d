"""Probes backend servers by opening TCP connections to them.

When a server becomes unresponsive or a data centre is partitioned, nothing
reports it: requests there just wait. So a server that is silent while it should
send data is probed by opening a connection, which costs it next to nothing. An
unreachable server is probed until it is reachable again, so that no request has
to try it. As servers of a data centre are usually cut off together, a few
neighbours of an unreachable server are probed at once, and a few of theirs if
they are unreachable as well: never all, as every instance probes at the same
moment.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Iterable

import gevent

from irisshelf.catalog import directory
from irisshelf.gateway.servers import connection_pool as connection_pool_module
from irisshelf.transport import client
from irisshelf.transport import errors

# Servers accept a connection in 1 to 3 ms. One that does not within this time
# is unresponsive or partitioned.
CONNECT_TIMEOUT_S = 0.1
# Longer than CONNECT_TIMEOUT_S, as a server probed by many instances at once is
# slower, and only requests that are silent anyway wait for the result.
_PROBE_TIMEOUT_S = 0.2
# A time-out noticed later than this was caused by a delay in this process, not
# by the server.
_MAX_SCHEDULING_DELAY_S = 0.03
# Number of neighbours of an unreachable server that are probed.
_NEIGHBOURS_PROBED = 2
# Engines send data every 20 to 60 ms while they work. A server that has sent
# nothing for this long is probed.
SILENCE_THRESHOLD_S = 0.15
# A server that was reached is not probed again within this time.
_MIN_PROBE_INTERVAL_S = 0.5
# Intervals between probes of an unreachable server; the last one repeats. Each
# probe is one or two packets.
_RETRY_INTERVALS_S = (0.3, 0.5, 0.8)


class ReachabilityProber:
    """Probes servers in the background.

    Args:
        connection_pool: Receives the connections that probes open.
        listed: Returns the servers that are listed now.
        last_activity_s: Returns when data last arrived from a server, monotonic
            seconds.
        on_reached: Called with a server that is reachable.
        on_unreachable: Called with a server that is not, and the error, after
            every failed probe.
        rng: Picks neighbours.
        now: Monotonic seconds.
        enabled: Whether servers are probed at all.
        connect: Opens a connection.
        sleep: Waits between probes.
    """

    def __init__(
        self,
        *,
        connection_pool: connection_pool_module.ConnectionPool,
        listed: Callable[[], Iterable[directory.BackendServer]],
        last_activity_s: Callable[[directory.BackendServer], float],
        on_reached: Callable[[directory.BackendServer], None],
        on_unreachable: Callable[
            [directory.BackendServer, errors.ConnectError], None
        ],
        rng: random.Random,
        now: Callable[[], float],
        enabled: bool = True,
        connect: Callable[..., client.Connection] = client.connect,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self._connection_pool = connection_pool
        self._listed = listed
        self._last_activity_s = last_activity_s
        self._on_reached = on_reached
        self._on_unreachable = on_unreachable
        self._rng = rng
        self._now = now
        self._enabled = enabled
        self._connect = connect
        self._sleep = sleep
        self._probes: dict[str, gevent.Greenlet] = {}
        self._reached_s: dict[str, float] = {}

    def probe_if_silent(self, server: directory.BackendServer) -> None:
        """Probes a server unless it has sent data or been reached recently."""
        name = server.server_id
        next_probe_s = max(
            self._last_activity_s(server) + SILENCE_THRESHOLD_S,
            self._reached_s.get(name, float("-inf")) + _MIN_PROBE_INTERVAL_S,
        )
        if self._now() >= next_probe_s:
            self._start_probe(server, delay_s=0.0)

    def start_probing(
        self, server: directory.BackendServer, *, silent: bool
    ) -> None:
        """Probes an unreachable server until it is reachable again.

        Args:
            server: The server.
            silent: Whether the attempt timed out, rather than being refused.
        """
        self._start_probe(server, delay_s=_RETRY_INTERVALS_S[0])
        if not silent:
            return
        neighbours = [
            other
            for other in self._listed()
            if other.data_centre == server.data_centre
            and other.server_id not in self._probes
        ]
        for other in self._rng.sample(
            neighbours, min(_NEIGHBOURS_PROBED, len(neighbours))
        ):
            self.probe_if_silent(other)

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are no longer listed."""
        self._reached_s = {
            name: at_s
            for name, at_s in self._reached_s.items()
            if name in names
        }

    def close(self) -> None:
        """Stops all probes."""
        gevent.killall(list(self._probes.values()))

    def _start_probe(
        self, server: directory.BackendServer, *, delay_s: float
    ) -> None:
        name = server.server_id
        if self._enabled and name not in self._probes:
            self._probes[name] = gevent.spawn(self._run, server, delay_s)

    def _run(self, server: directory.BackendServer, delay_s: float) -> None:
        try:
            self._sleep(delay_s)
            attempts = 0
            while self._is_listed(server) and not self._probe(server):
                self._sleep(
                    _RETRY_INTERVALS_S[
                        min(attempts, len(_RETRY_INTERVALS_S) - 1)
                    ]
                )
                attempts += 1
        finally:
            del self._probes[server.server_id]

    def _probe(self, server: directory.BackendServer) -> bool:
        started_s = self._now()
        try:
            conn = self._connect(server.address, timeout_s=_PROBE_TIMEOUT_S)
        except errors.ConnectError as exc:
            elapsed_s = self._now() - started_s
            if (
                not exc.timed_out
                or elapsed_s <= _PROBE_TIMEOUT_S + _MAX_SCHEDULING_DELAY_S
            ):
                self._on_unreachable(server, exc)
            return False
        self._reached_s[server.server_id] = self._now()
        self._connection_pool.add_idle(server, conn)
        self._on_reached(server)
        return True

    def _is_listed(self, server: directory.BackendServer) -> bool:
        return any(s.server_id == server.server_id for s in self._listed())
