"""Connections to backend servers, in use and idle."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping

from irisshelf.catalog import directory
from irisshelf.transport import client

# Idle limit for servers that do not announce a keep-alive time, and upper bound
# for those that do: some drop idle connections earlier without notice.
_MAX_IDLE_S = 4.0
# Idle connections are closed this long before the server would close them.
_CLOSE_MARGIN_S = 1.0
_MAX_IDLE_PER_SERVER = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Idle:
    conn: client.Connection
    since_s: float
    until_s: float


class ConnectionPool:
    """Connections, by server id.

    A server id stands for one incarnation of a server: the time from the start
    of its process to its exit. A restarted server has a new one.

    Args:
        now: Monotonic seconds.
        on_closed_early: Called with a server that has closed an idle connection
            earlier than it said.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        on_closed_early: Callable[
            [directory.BackendServer], None
        ] = lambda server: None,
    ):
        self._now = now
        self._on_closed_early = on_closed_early
        # By server id, and whether they lead through other instances.
        self._idle: dict[tuple[str, bool], list[_Idle]] = {}
        self._in_use: dict[client.Connection, directory.BackendServer] = {}

    def acquire(
        self,
        server: directory.BackendServer,
        *,
        max_idle_s: float,
        relayed: bool = False,
        allowed: Callable[[client.Connection], bool] = lambda conn: True,
    ) -> client.Connection | None:
        """Returns an idle connection; None if there is none recent enough.

        Args:
            server: The server that it leads to.
            max_idle_s: How long it may have been idle.
            relayed: Whether it leads through another instance.
            allowed: Returns whether a connection may be used.
        """
        now = self._now()
        idle_conns = self._idle.get((server.server_id, relayed), [])
        while idle_conns:
            idle = idle_conns.pop()
            if not allowed(idle.conn):
                idle_conns.append(idle)
                return None
            if now - idle.since_s > max_idle_s:
                idle_conns.append(idle)
                return None
            if now < idle.until_s:
                if not idle.conn.is_stale():
                    idle.conn.idle_s = now - idle.since_s
                    return idle.conn
                if not relayed:
                    self._on_closed_early(server)
            idle.conn.close()
        return None

    def mark_in_use(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Records that a connection is in use for a request."""
        self._in_use[conn] = server

    def abort_replaced(self, incarnations: Mapping[str, str]) -> int:
        """Aborts requests at servers whose process has been replaced.

        A restarted server has lost the requests that it was processing. If its
        host went silent, nothing else shows that, and these requests would wait
        until their response time-out or their caller's deadline.

        Args:
            incarnations: The server id now listed for each entry id.

        Returns:
            The number of requests aborted.
        """
        replaced = [
            conn
            for conn, server in self._in_use.items()
            if incarnations.get(server.entry_id, server.server_id)
            != server.server_id
        ]
        for conn in replaced:
            conn.shutdown()
        return len(replaced)

    def release(
        self,
        server: directory.BackendServer,
        conn: client.Connection,
        keep_alive_s: float | None,
    ) -> None:
        """Records the end of a request; keeps its connection if reusable."""
        self._in_use.pop(conn, None)
        idle_conns = self._idle.setdefault(_key(server, conn), [])
        keep_s = _MAX_IDLE_S
        if keep_alive_s is not None:
            keep_s = min(keep_s, keep_alive_s - _CLOSE_MARGIN_S)
        if (
            keep_s <= 0
            or not conn.reusable
            or len(idle_conns) >= _MAX_IDLE_PER_SERVER
        ):
            conn.close()
            return
        now = self._now()
        idle_conns.append(_Idle(conn=conn, since_s=now, until_s=now + keep_s))

    def add_idle(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Adds a connection on which nothing has been sent yet."""
        now = self._now()
        idle_conns = self._idle.setdefault(_key(server, conn), [])
        idle_conns.append(
            _Idle(conn=conn, since_s=now, until_s=now + _MAX_IDLE_S)
        )

    def close_idle(
        self,
        server: directory.BackendServer,
        *,
        before_s: float,
        relayed: bool = False,
    ) -> int:
        """Closes connections to a server that went idle before a given time.

        All open connections may go silent at once, without a reset, while new
        ones work. Each of them would then lose one more request.

        Returns:
            The number of connections closed.
        """
        idle_conns = self._idle.get((server.server_id, relayed), [])
        old = [idle for idle in idle_conns if idle.since_s < before_s]
        for idle in old:
            idle_conns.remove(idle)
            idle.conn.close()
        return len(old)

    def close_idle_through(self, relay: str) -> None:
        """Closes idle connections that lead through another instance.

        Args:
            relay: Its name.
        """
        for key, idle_conns in self._idle.items():
            through = [idle for idle in idle_conns if idle.conn.relay == relay]
            self._idle[key] = [i for i in idle_conns if i.conn.relay != relay]
            for idle in through:
                idle.conn.close()

    def retain(self, names: frozenset[str]) -> None:
        """Closes idle connections to servers that are no longer listed."""
        for key in [key for key in self._idle if key[0] not in names]:
            for idle in self._idle.pop(key):
                idle.conn.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self._now()
        for key, idle_conns in self._idle.items():
            kept = []
            for idle in idle_conns:
                if now < idle.until_s:
                    kept.append(idle)
                else:
                    idle.conn.close()
            self._idle[key] = kept


def _key(
    server: directory.BackendServer, conn: client.Connection
) -> tuple[str, bool]:
    return server.server_id, bool(conn.relay)
