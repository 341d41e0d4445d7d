"""Accepts connections and serves each of them in its own greenlet.

The number of connections is limited below the process's file descriptor limit.
Without file descriptors no connection can be accepted, and callers would hang
although another instance could serve them. At the limit, an idle connection is
closed, the one that has been open longest; if all are busy, the new connection
is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import server
from gevent import socket

from irisshelf.observe import decision_log
from irisshelf.transport import memory_budget
from irisshelf.transport import response_buffer
from irisshelf.transport import server as caller_server

_BACKLOG = 512


class Listener:
    """Accepts and serves connections on one address.

    Args:
        address: IP address and port.
        limits: Returns the current limits on callers.
        handle: Handles a request.
        refuse: Builds the response to a request that cannot be parsed.
        log: Log for errors.
        max_connections: Maximum number of open connections; None for no limit.
        buffers: Keeps what callers have not read yet of their responses; None
            if nothing is kept.
        bodies: Memory of the bodies of requests; None if it is not limited.
    """

    def __init__(
        self,
        *,
        address: str,
        limits: Callable[[], caller_server.Limits],
        handle: Callable[
            [caller_server.Request, caller_server.Connection], None
        ],
        refuse: Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]],
        log: decision_log.DecisionLog,
        max_connections: int | None = None,
        buffers: response_buffer.ResponseBuffers | None = None,
        bodies: memory_budget.MemoryBudget | None = None,
    ):
        host, _, port = address.rpartition(":")
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._log = log
        self._max_connections = max_connections
        self._buffers = buffers
        self._bodies = bodies
        # In the order in which they were opened.
        self._conns: dict[caller_server.Connection, None] = {}
        self._server = server.StreamServer(
            (host, int(port)), self._serve, backlog=_BACKLOG
        )

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        return self._server.server_port

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(not conn.idle for conn in self._conns)

    def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server.start()

    def stop_accepting(self) -> None:
        """Stops accepting connections; open ones are kept."""
        self._server.close()

    def announce_close(self) -> None:
        """Makes each connection close after its next response."""
        for conn in self._conns:
            conn.announce_close()

    def close_idle(self) -> None:
        """Closes idle connections."""
        for conn in list(self._conns):
            conn.close_if_idle()

    def end_requests(self) -> None:
        """Ends the requests in progress, which respond that they were ended."""
        for conn in list(self._conns):
            conn.end_request()

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        conn = caller_server.Connection(
            sock=sock,
            limits=self._limits,
            handle=self._handle,
            refuse=self._refuse,
            buffers=self._buffers,
            bodies=self._bodies,
        )
        self._conns[conn] = None
        if (
            self._max_connections is not None
            and len(self._conns) > self._max_connections
        ):
            self._close_one(conn)
        try:
            conn.serve()
        except gevent.GreenletExit:
            raise
        except Exception as exc:
            # An internal error must not stop the instance. Its location is
            # logged.
            self._log.warning(
                "connection_failed",
                peer=f"{peer[0]}:{peer[1]}",
                error=repr(exc),
                place=_error_location(exc),
            )
        finally:
            self._conns.pop(conn, None)

    def _close_one(self, newest: caller_server.Connection) -> None:
        """Closes the oldest idle connection.

        If all are busy, the newest connection is refused instead.
        """
        for conn in self._conns:
            if conn.idle and conn is not newest:
                conn.close_if_idle()
                return
        newest.reject_over_limit()


def _error_location(exc: BaseException) -> str:
    """Returns the innermost code location of an exception's traceback."""
    trace = exc.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    code = trace.tb_frame.f_code
    return f"{code.co_filename}:{trace.tb_lineno} {code.co_name}"
