"""Connections to backend servers, in use and kept between requests."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping

from irisshelf.catalog import directory
from irisshelf.transport import client

# Used where a server does not say how long it keeps idle connections, and at
# the most where it does: some drop them earlier without a sign.
_LONGEST_IDLE_S = 4.0
# Closed so long before the server would.
_MARGIN_S = 1.0
_MOST_IDLE = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Idle:
    conn: client.Connection
    since_s: float
    until_s: float


class Links:
    """Connections by life of a server.

    Args:
        now: Monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self._idle: dict[str, list[_Idle]] = {}
        self._used: dict[client.Connection, directory.BackendServer] = {}

    def take(
        self, server: directory.BackendServer, *, most_idle_s: float
    ) -> client.Connection | None:
        """Returns a connection that has rested no longer than asked."""
        now = self._now()
        resting = self._idle.get(server.server_id, [])
        while resting:
            idle = resting.pop()
            if now - idle.since_s > most_idle_s:
                resting.append(idle)
                return None
            if now < idle.until_s and not idle.conn.is_stale():
                idle.conn.rested_s = now - idle.since_s
                return idle.conn
            idle.conn.close()
        return None

    def begin(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Takes that an exchange begins."""
        self._used[conn] = server

    def break_off_ended(self, lives: Mapping[str, str]) -> int:
        """Breaks off exchanges with lives that another has taken the place of.

        A server that starts again has lost what it worked on. If it went dark,
        nothing else tells: those who wait there would until their patience or
        their callers' time is over.

        Args:
            lives: The listed life of each id.

        Returns:
            How many were broken off.
        """
        ended = [
            conn
            for conn, server in self._used.items()
            if lives.get(server.entry_id, server.server_id) != server.server_id
        ]
        for conn in ended:
            conn.break_off()
        return len(ended)

    def put(
        self,
        server: directory.BackendServer,
        conn: client.Connection,
        keep_alive_s: float | None,
    ) -> None:
        """Takes that an exchange has ended; keeps its connection if it may."""
        self._used.pop(conn, None)
        resting = self._idle.setdefault(server.server_id, [])
        rest_s = _LONGEST_IDLE_S
        if keep_alive_s is not None:
            rest_s = min(rest_s, keep_alive_s - _MARGIN_S)
        if rest_s <= 0 or not conn.reusable or len(resting) >= _MOST_IDLE:
            conn.close()
            return
        now = self._now()
        resting.append(_Idle(conn=conn, since_s=now, until_s=now + rest_s))

    def put_new(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Keeps a connection that nothing has been sent on yet."""
        now = self._now()
        resting = self._idle.setdefault(server.server_id, [])
        resting.append(
            _Idle(conn=conn, since_s=now, until_s=now + _LONGEST_IDLE_S)
        )

    def drop_rested(
        self, server: directory.BackendServer, *, before_s: float
    ) -> int:
        """Closes a server's connections that have rested since before a time.

        Open connections may all go silent at once, without a reset, while new
        ones work; then each would swallow one request more.

        Returns:
            How many were closed.
        """
        resting = self._idle.get(server.server_id, [])
        old = [idle for idle in resting if idle.since_s < before_s]
        for idle in old:
            resting.remove(idle)
            idle.conn.close()
        return len(old)

    def keep(self, names: frozenset[str]) -> None:
        """Closes idle connections to servers that are not listed."""
        for name in [n for n in self._idle if n not in names]:
            for idle in self._idle.pop(name):
                idle.conn.close()

    def expire(self) -> None:
        """Closes connections that have rested too long."""
        now = self._now()
        for name, resting in self._idle.items():
            kept = []
            for idle in resting:
                if now < idle.until_s:
                    kept.append(idle)
                else:
                    idle.conn.close()
            self._idle[name] = kept
