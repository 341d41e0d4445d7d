"""Listens for connections and serves each in a greenlet of its own."""

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
    """

    def __init__(
        self,
        *,
        address: str,
        limits: Callable[[], caller_side.Limits],
        handle: Callable[[caller_side.Request, caller_side.Connection], None],
        refuse: Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]],
        log: decision_log.DecisionLog,
    ):
        host, _, port = address.rpartition(":")
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._log = log
        self._conns: set[caller_side.Connection] = set()
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
        self._conns.add(conn)
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
            self._conns.discard(conn)


def _place(exc: BaseException) -> str:
    """Names the innermost line that an error came from."""
    trace = exc.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    code = trace.tb_frame.f_code
    return f"{code.co_filename}:{trace.tb_lineno} {code.co_name}"
