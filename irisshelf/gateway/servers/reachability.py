"""Finds out, by bare connections, whether backend servers can be reached.

A server that goes dark, or a data centre that is cut off, says nothing: its
requests just wait. So a server that has been silent while it should speak is
asked for a connection, which costs it nothing. One that cannot be reached is
asked again and again until it can; no request has to try it meanwhile. And as
what stands together is cut off together, a few of its neighbours are asked at
once, and a few of theirs if they are lost as well: never all, as every instance
enabled at the same moment.
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

# Servers answer a connect in 1 to 3 ms. One that does not in this time is
# dark or cut off.
CONNECT_TIMEOUT_S = 0.1
# A server asked by many instances at once is slower, and nobody waits for this
# answer but requests that have been silent anyway.
_PROBE_TIMEOUT_S = 0.2
# A time-out that is noticed so late was spent by this process, not the server.
_MAX_SCHEDULING_DELAY_S = 0.03
# Neighbours of a silent server that are asked.
_NEIGHBOURS_PROBED = 2
# Engines say something every 20 to 60 ms while they work; a server that has
# said nothing for so long is asked for a connection.
SILENCE_THRESHOLD_S = 0.15
# A server that has just been reached is not asked again so soon.
_MIN_PROBE_INTERVAL_S = 0.5
# Pauses between the tries to reach a lost server; the last one repeats. Each
# try is a packet or two.
_RETRY_INTERVALS_S = (0.3, 0.5, 0.8)


class ReachabilityProber:
    """Asks servers for connections.

    Args:
        links: Takes connections that came about.
        listed: Tells the servers that are listed now.
        last_activity_s: Tells when a server was last heard, monotonic seconds.
        on_reached: Told of a server that can be reached.
        on_unreachable: Told of a server that cannot, and why; told each time.
        rng: Picks neighbours.
        now: Monotonic seconds.
        enabled: Whether servers are asked at all.
        connect: Makes a connection.
        sleep: Waits between attempts.
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
        """Asks a server that has been silent, unless it has just been heard."""
        name = server.server_id
        known_s = max(
            self._last_activity_s(server) + SILENCE_THRESHOLD_S,
            self._reached_s.get(name, float("-inf")) + _MIN_PROBE_INTERVAL_S,
        )
        if self._now() >= known_s:
            self._start(server, pause_s=0.0)

    def start_probing(
        self, server: directory.BackendServer, *, silent: bool
    ) -> None:
        """Takes that a server cannot be reached; asks until it can be.

        Args:
            server: The server.
            silent: Whether it said nothing at all, rather than refuse.
        """
        self._start(server, pause_s=_RETRY_INTERVALS_S[0])
        if not silent:
            return
        near = [
            other
            for other in self._listed()
            if other.data_centre == server.data_centre
            and other.server_id not in self._probes
        ]
        for other in self._rng.sample(near, min(_NEIGHBOURS_PROBED, len(near))):
            self.probe_if_silent(other)

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are not listed any more."""
        self._reached_s = {
            name: at_s
            for name, at_s in self._reached_s.items()
            if name in names
        }

    def close(self) -> None:
        """Ends all asking."""
        gevent.killall(list(self._probes.values()))

    def _start(
        self, server: directory.BackendServer, *, pause_s: float
    ) -> None:
        name = server.server_id
        if self._enabled and name not in self._probes:
            self._probes[name] = gevent.spawn(self._run, server, pause_s)

    def _run(self, server: directory.BackendServer, pause_s: float) -> None:
        try:
            self._sleep(pause_s)
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
        began_s = self._now()
        try:
            conn = self._connect(server.address, timeout_s=_PROBE_TIMEOUT_S)
        except errors.ConnectError as exc:
            passed_s = self._now() - began_s
            if (
                not exc.silent
                or passed_s <= _PROBE_TIMEOUT_S + _MAX_SCHEDULING_DELAY_S
            ):
                self._on_unreachable(server, exc)
            return False
        self._reached_s[server.server_id] = self._now()
        self._connection_pool.add_idle(server, conn)
        self._on_reached(server)
        return True

    def _is_listed(self, server: directory.BackendServer) -> bool:
        return any(s.server_id == server.server_id for s in self._listed())
