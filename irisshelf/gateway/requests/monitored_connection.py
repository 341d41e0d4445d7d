"""A connection to a backend server whose silence is looked into."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.servers import reachability
from irisshelf.transport import client
from irisshelf.transport import errors

_T = TypeVar("_T")
# How often a silent server's fate is looked up.
_LOOK_S = 0.05
# A connection that has been silent for so long may have lost its other end.
# Engines pause for 0.02 to 0.06 s, beside a long prompt for up to 0.3 s.
CONNECTION_SILENCE_LIMIT_S = 0.5


class MonitoredConnection:
    """Reads from a server as long as it can be reached.

    Args:
        inst: The instance.
        server: The server.
        conn: The connection to it.
        leave: Decides whether a silent server is left for another; if not, it
            is waited for, as its answer may still come.
        end_s: When the request has to be answered, monotonic seconds.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        server: directory.BackendServer,
        conn: client.Connection,
        leave: Callable[[], bool],
        end_s: float,
    ):
        self._conn = conn
        self._inst = inst
        self._server = server
        self._leave = leave
        self._end_s = end_s

    def read_head(self, until_s: float) -> tuple[int, client.Headers]:
        """Waits for an answer's head; see ``client.Connection.read_head``.

        Raises:
            errors.OutOfReachError: Nothing comes, as the server is lost.
        """
        return self._read(
            lambda wait_s: self._conn.read_head(timeout_s=wait_s), until_s
        )

    def read_data(self, until_s: float) -> bytes | None:
        """Waits for more of a body; see ``client.Connection.read_data``.

        Raises:
            errors.OutOfReachError: Nothing comes, as the server is lost.
        """
        return self._read(
            lambda wait_s: self._conn.read_data(timeout_s=wait_s), until_s
        )

    def _read(self, read: Callable[[float], _T], until_s: float) -> _T:
        wait_s = reachability.SILENCE_THRESHOLD_S
        began_s = self._inst.now()
        doubted = False
        while True:
            left_s = until_s - self._inst.now()
            try:
                found = read(min(wait_s, left_s))
            except errors.SilentError:
                if left_s <= wait_s:
                    if until_s >= self._end_s or self._leave():
                        raise
                    patience_s = self._inst.now() - began_s
                    until_s = min(self._end_s, until_s + patience_s)
                self._look()
                if not doubted and self._is_doubtful(began_s):
                    doubted = True
                    self._inst.servers.close_suspect_connections(
                        self._server, began_s
                    )
                wait_s = _LOOK_S
                continue
            self._inst.servers.record_activity(self._server)
            return found

    def _is_doubtful(self, began_s: float) -> bool:
        return self._inst.now() - began_s >= CONNECTION_SILENCE_LIMIT_S

    def _look(self) -> None:
        """Asks what became of a silent server.

        Raises:
            errors.OutOfReachError: It cannot be reached.
        """
        self._inst.servers.prober.probe_if_silent(self._server)
        if self._inst.servers.is_unreachable(self._server) and self._leave():
            raise errors.OutOfReachError("silent and out of reach")
