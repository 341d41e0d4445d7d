"""Reads from a backend server and probes it while it is silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.servers import reachability
from irisshelf.transport import client
from irisshelf.transport import errors

_T = TypeVar("_T")
# Interval at which the reachability of a silent server is checked.
_CHECK_INTERVAL_S = 0.05
# A connection that has been silent for this long may have lost its peer.
# Engines pause for 0.02 to 0.06 s between tokens, and for up to 0.3 s while
# another request's long prompt is processed.
CONNECTION_SILENCE_LIMIT_S = 0.5


class MonitoredConnection:
    """Reads from a server for as long as the server is reachable.

    Args:
        inst: The instance.
        server: The server.
        conn: The connection to it.
        fail_over: Decides whether to abandon a silent server for another one.
            If not, reading goes on, as the response may still come.
        deadline_s: Deadline of the request, monotonic seconds.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        server: directory.BackendServer,
        conn: client.Connection,
        fail_over: Callable[[], bool],
        deadline_s: float,
    ):
        self._conn = conn
        self._inst = inst
        self._server = server
        self._fail_over = fail_over
        self._deadline_s = deadline_s
        # Until when reading goes on, as the response may still come.
        self._extended_s = float("-inf")

    def read_head(self, until_s: float) -> tuple[int, client.Headers]:
        """Waits for a response head; see ``client.Connection.read_head``.

        Raises:
            errors.UnreachableError: The server is silent and unreachable.
        """
        return self._read(
            lambda wait_s: self._conn.read_head(timeout_s=wait_s), until_s
        )

    def read_data(self, until_s: float) -> bytes | None:
        """Waits for more body data; see ``client.Connection.read_data``.

        Raises:
            errors.UnreachableError: The server is silent and unreachable.
        """
        return self._read(
            lambda wait_s: self._conn.read_data(timeout_s=wait_s), until_s
        )

    def _read(self, read: Callable[[float], _T], until_s: float) -> _T:
        wait_s = reachability.SILENCE_THRESHOLD_S
        started_s = self._inst.now()
        suspected = False
        while True:
            until_s = max(until_s, self._extended_s)
            remaining_s = until_s - self._inst.now()
            try:
                data = read(min(wait_s, remaining_s))
            except errors.PeerTimeoutError:
                if remaining_s <= wait_s:
                    if until_s >= self._deadline_s or self._fail_over():
                        raise
                    self._extend(until_s, started_s)
                self._check_path(started_s)
                if not suspected and self._is_suspect(started_s):
                    suspected = True
                    self._inst.servers.reach.close_suspect_connections(
                        self._server, started_s, relayed=bool(self._conn.relay)
                    )
                wait_s = _CHECK_INTERVAL_S
                continue
            self._inst.servers.reach.record_activity(self._server, self._conn)
            return data

    def _extend(self, until_s: float, started_s: float) -> None:
        """Extends the time limit, by as much as has been waited for."""
        now = self._inst.now()
        waited_s = now - started_s
        self._extended_s = min(
            self._deadline_s,
            max(until_s + waited_s, now + _CHECK_INTERVAL_S),
        )

    def _is_suspect(self, started_s: float) -> bool:
        return self._inst.now() - started_s >= CONNECTION_SILENCE_LIMIT_S

    def _check_path(self, started_s: float) -> None:
        """Probes the path to a silent server and raises if it is lost.

        Raises:
            errors.UnreachableError: The server is unreachable, and another
                one takes over the request.
            errors.RelayLostError: The same of the instance in between.
        """
        if self._conn.relay:
            self._check_relay(started_s)
            return
        self._inst.servers.reach.prober.probe_if_silent(self._server)
        if self._is_gone(started_s) and self._fail_over():
            raise errors.UnreachableError("server is silent and unreachable")

    def _is_gone(self, started_s: float) -> bool:
        """Returns whether the response is unlikely to come.

        If new connections are refused, this one would have been reset, had the
        server's process exited. It may then work, and is given more time.
        """
        failure = self._inst.servers.reach.connect_failure(self._server)
        if failure is None:
            return False
        return failure.timed_out or self._is_suspect(started_s)

    def _check_relay(self, started_s: float) -> None:
        relays = self._inst.servers.reach.relays
        relays.check_relay(self._conn.relay, self._server)
        lost = relays.paths.is_lost(
            self._conn.relay, self._server.server_id, started_s
        )
        if lost and self._fail_over():
            raise errors.RelayLostError("relay is silent and unreachable")
