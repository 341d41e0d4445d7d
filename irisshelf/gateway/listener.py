"""Listens for connections and serves each in a greenlet of its own.

Connections are bounded below the process' descriptors: once those run out no
new connection is accepted, and callers hang that another instance would serve.
At the bound the connection that has rested longest makes room; where all are
busy, a new one is told so at once.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import server
from gevent import socket

from irisshelf.observe import decision_log
from irisshelf.transport import server as caller_side

_BACKLOG = 512


class Listener:
    """Serves one address.

    Args:
        address: IP number and port.
        limits: Tells the limits on callers now.
        handle: Answers a request.
        refuse: Builds answers to what cannot be read.
        log: Takes what goes wrong.
        most: Connections that are open at a time; None for any number.
    """

    def __init__(
        self,
        *,
        address: str,
        limits: Callable[[], caller_side.Limits],
        handle: Callable[[caller_side.Request, caller_side.Connection], None],
        refuse: Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]],
        log: decision_log.DecisionLog,
        most: int | None = None,
    ):
        host, _, port = address.rpartition(":")
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._log = log
        self._most = most
        # The one that has been open longest first.
        self._conns: dict[caller_side.Connection, None] = {}
        self._server = server.StreamServer(
            (host, int(port)), self._serve, backlog=_BACKLOG
        )

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._server.server_port

    @property
    def busy(self) -> int:
        """Connections that have a request."""
        return sum(not conn.idle for conn in self._conns)

    def start(self) -> None:
        """Begins to listen.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._server.start()

    def stop_accepting(self) -> None:
        """Takes no new connections; those that are open go on."""
        self._server.close()

    def close_idle(self) -> None:
        """Closes connections that are at rest."""
        for conn in list(self._conns):
            conn.close_if_idle()

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        conn = caller_side.Connection(
            sock=sock,
            limits=self._limits,
            handle=self._handle,
            refuse=self._refuse,
        )
        self._conns[conn] = None
        if self._most is not None and len(self._conns) > self._most:
            self._make_room(conn)
        try:
            conn.serve()
        except gevent.GreenletExit:
            raise
        except Exception as exc:
            # A fault of ours must not end the instance; its place is told.
            self._log.problem(
                "connection_failed",
                peer=f"{peer[0]}:{peer[1]}",
                error=repr(exc),
                place=_place(exc),
            )
        finally:
            self._conns.pop(conn, None)

    def _make_room(self, newest: caller_side.Connection) -> None:
        """Closes a connection at rest, or the newest after its answer."""
        for conn in self._conns:
            if conn.idle and conn is not newest:
                conn.close_if_idle()
                return
        newest.turn_down()


def _place(exc: BaseException) -> str:
    """Names the innermost line that an error came from."""
    trace = exc.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    code = trace.tb_frame.f_code
    return f"{code.co_filename}:{trace.tb_lineno} {code.co_name}"
