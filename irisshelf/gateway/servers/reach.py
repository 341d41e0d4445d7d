"""Finds out, by bare connections, whether backend servers can be reached.

A server that goes dark, or a data centre that is cut off, says nothing: its
requests just wait. So a server that has been silent while it should speak is
asked for a connection, which costs it nothing. One that cannot be reached is
asked again and again until it can; no request has to try it meanwhile. And as
what stands together is cut off together, a few of its neighbours are asked at
once, and a few of theirs if they are lost as well: never all, as every instance
asks at the same moment.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Iterable

import gevent

from irisshelf.catalog import directory
from irisshelf.gateway.servers import links as links_module
from irisshelf.transport import client
from irisshelf.transport import errors

# Servers answer a connect in 1 to 3 ms. One that does not in this time is
# dark or cut off.
CONNECT_S = 0.1
# A server asked by many instances at once is slower, and nobody waits for this
# answer but requests that have been silent anyway.
_ASK_S = 0.2
# A time-out that is noticed so late was spent by this process, not the server.
_HELD_UP_S = 0.03
# Neighbours of a silent server that are asked.
_NEIGHBOURS = 2
# Engines say something every 20 to 60 ms while they work; a server that has
# said nothing for so long is asked for a connection.
SILENT_S = 0.15
# A server that has just been reached is not asked again so soon.
_ASK_AGAIN_S = 0.5
# Pauses between the tries to reach a lost server; the last one repeats. Each
# try is a packet or two.
_PAUSES_S = (0.3, 0.5, 0.8)


class Reach:
    """Asks servers for connections.

    Args:
        links: Takes connections that came about.
        listed: Tells the servers that are listed now.
        heard_s: Tells when a server was last heard, monotonic seconds.
        on_reached: Told of a server that can be reached.
        on_lost: Told of a server that cannot, and why; told each time.
        rng: Picks neighbours.
        now: Monotonic seconds.
        asks: Whether servers are asked at all.
        connect: Makes a connection.
        sleep: Waits between tries.
    """

    def __init__(
        self,
        *,
        links: links_module.Links,
        listed: Callable[[], Iterable[directory.BackendServer]],
        heard_s: Callable[[directory.BackendServer], float],
        on_reached: Callable[[directory.BackendServer], None],
        on_lost: Callable[[directory.BackendServer, errors.ConnectError], None],
        rng: random.Random,
        now: Callable[[], float],
        asks: bool = True,
        connect: Callable[..., client.Connection] = client.connect,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self._links = links
        self._listed = listed
        self._heard_s = heard_s
        self._on_reached = on_reached
        self._on_lost = on_lost
        self._rng = rng
        self._now = now
        self._asks = asks
        self._connect = connect
        self._sleep = sleep
        self._asking: dict[str, gevent.Greenlet] = {}
        self._reached_s: dict[str, float] = {}

    def doubt(self, server: directory.BackendServer) -> None:
        """Asks a server that has been silent, unless it has just been heard."""
        name = server.server_id
        known_s = max(
            self._heard_s(server) + SILENT_S,
            self._reached_s.get(name, float("-inf")) + _ASK_AGAIN_S,
        )
        if self._now() >= known_s:
            self._ask(server, pause_s=0.0)

    def lost(self, server: directory.BackendServer, *, silent: bool) -> None:
        """Takes that a server cannot be reached; asks until it can be.

        Args:
            server: The server.
            silent: Whether it said nothing at all, rather than refuse.
        """
        self._ask(server, pause_s=_PAUSES_S[0])
        if not silent:
            return
        near = [
            other
            for other in self._listed()
            if other.data_centre == server.data_centre
            and other.server_id not in self._asking
        ]
        for other in self._rng.sample(near, min(_NEIGHBOURS, len(near))):
            self.doubt(other)

    def keep(self, names: frozenset[str]) -> None:
        """Forgets servers that are not listed any more."""
        self._reached_s = {
            name: at_s
            for name, at_s in self._reached_s.items()
            if name in names
        }

    def close(self) -> None:
        """Ends all asking."""
        gevent.killall(list(self._asking.values()))

    def _ask(self, server: directory.BackendServer, *, pause_s: float) -> None:
        name = server.server_id
        if self._asks and name not in self._asking:
            self._asking[name] = gevent.spawn(self._run, server, pause_s)

    def _run(self, server: directory.BackendServer, pause_s: float) -> None:
        try:
            self._sleep(pause_s)
            tries = 0
            while self._is_listed(server) and not self._try(server):
                self._sleep(_PAUSES_S[min(tries, len(_PAUSES_S) - 1)])
                tries += 1
        finally:
            del self._asking[server.server_id]

    def _try(self, server: directory.BackendServer) -> bool:
        began_s = self._now()
        try:
            conn = self._connect(server.address, timeout_s=_ASK_S)
        except errors.ConnectError as exc:
            passed_s = self._now() - began_s
            if not exc.silent or passed_s <= _ASK_S + _HELD_UP_S:
                self._on_lost(server, exc)
            return False
        self._reached_s[server.server_id] = self._now()
        self._links.put_new(server, conn)
        self._on_reached(server)
        return True

    def _is_listed(self, server: directory.BackendServer) -> bool:
        return any(s.server_id == server.server_id for s in self._listed())
