"""Connections to backend servers, in use and kept between requests."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping

from irisshelf.catalog import directory
from irisshelf.transport import client

# Used where a server does not say how long it keeps idle connections, and at
# the most where it does: some drop them earlier without a sign.
_MAX_IDLE_S = 4.0
# Closed so long before the server would.
_CLOSE_MARGIN_S = 1.0
_MAX_IDLE_PER_SERVER = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Idle:
    conn: client.Connection
    since_s: float
    until_s: float


class ConnectionPool:
    """Connections by life of a server.

    Args:
        now: Monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self._idle: dict[str, list[_Idle]] = {}
        self._in_use: dict[client.Connection, directory.BackendServer] = {}

    def acquire(
        self, server: directory.BackendServer, *, max_idle_s: float
    ) -> client.Connection | None:
        """Returns a connection that has rested no longer than asked."""
        now = self._now()
        idle_conns = self._idle.get(server.server_id, [])
        while idle_conns:
            idle = idle_conns.pop()
            if now - idle.since_s > max_idle_s:
                idle_conns.append(idle)
                return None
            if now < idle.until_s and not idle.conn.is_stale():
                idle.conn.rested_s = now - idle.since_s
                return idle.conn
            idle.conn.close()
        return None

    def mark_in_use(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Takes that an exchange begins."""
        self._in_use[conn] = server

    def abort_replaced(self, incarnations: Mapping[str, str]) -> int:
        """Aborts exchanges with incarnations that another one has replaced.

        A server that starts again has lost what it worked on. If it went dark,
        nothing else tells: those who wait there would until their patience or
        their callers' time is over.

        Args:
            incarnations: The listed life of each id.

        Returns:
            How many were broken off.
        """
        ended = [
            conn
            for conn, server in self._in_use.items()
            if incarnations.get(server.entry_id, server.server_id)
            != server.server_id
        ]
        for conn in ended:
            conn.break_off()
        return len(ended)

    def release(
        self,
        server: directory.BackendServer,
        conn: client.Connection,
        keep_alive_s: float | None,
    ) -> None:
        """Takes that an exchange has ended; keeps its connection if it may."""
        self._in_use.pop(conn, None)
        idle_conns = self._idle.setdefault(server.server_id, [])
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
        """Keeps a connection that nothing has been sent on yet."""
        now = self._now()
        idle_conns = self._idle.setdefault(server.server_id, [])
        idle_conns.append(
            _Idle(conn=conn, since_s=now, until_s=now + _MAX_IDLE_S)
        )

    def close_idle(
        self, server: directory.BackendServer, *, before_s: float
    ) -> int:
        """Closes a server's connections that have rested since before a time.

        Open connections may all go silent at once, without a reset, while new
        ones work; then each would swallow one request more.

        Returns:
            How many were closed.
        """
        idle_conns = self._idle.get(server.server_id, [])
        old = [idle for idle in idle_conns if idle.since_s < before_s]
        for idle in old:
            idle_conns.remove(idle)
            idle.conn.close()
        return len(old)

    def retain(self, names: frozenset[str]) -> None:
        """Closes idle connections to servers that are not listed."""
        for name in [n for n in self._idle if n not in names]:
            for idle in self._idle.pop(name):
                idle.conn.close()

    def close_expired(self) -> None:
        """Closes connections that have rested too long."""
        now = self._now()
        for name, idle_conns in self._idle.items():
            kept = []
            for idle in idle_conns:
                if now < idle.until_s:
                    kept.append(idle)
                else:
                    idle.conn.close()
            self._idle[name] = kept
