"""A loopback proxy that delays, resets, silences or refuses connections."""

from __future__ import annotations

import enum
import struct

import gevent
from gevent import server
from gevent import socket

_READ_BYTES = 65536
_BACKLOG = 256
_SLOW_S = 0.15
_STEP_S = 0.05
# Connections that fill the queue of a listener that accepts none.
_QUEUED = 2


class Cut(enum.StrEnum):
    """How a link between two processes is cut.

    Attributes:
        HANG: Nothing passes; new connections are not established.
        RESET: Open connections are reset, new ones are refused.
        REFUSE: Open connections work, new ones are refused.
        HANG_NEW: Open connections work, new ones are not established.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"
    HANG_NEW = "hang_new"


class Proxy:
    """Passes connections on to one address, as its mode says.

    Args:
        target: Where connections go.

    Attributes:
        mode: ``pass``, ``slow``, ``reset``, ``silent``, ``silent_up`` (nothing
            gets to the target), ``silent_down`` (nothing comes back) or
            ``mute`` (what is open by now says nothing any more, for good).
    """

    def __init__(self, *, target: str):
        self._target = target
        self.mode = "pass"
        self._open: set[socket.socket] = set()
        self._mute: set[socket.socket] = set()
        # Bound for as long as the proxy exists: while the listener is closed,
        # the port would else become the local end of somebody's connection.
        self._reserved = _bind(0)
        self._port = self._reserved.getsockname()[1]
        self._server = self._listener()
        self._server.start()
        self._blocking: list[socket.socket] = []
        self._listens = True
        self._cut: Cut | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._port}"

    def set_mode(self, mode: str) -> None:
        """Changes the mode; ``reset`` ends what is open as well."""
        self.mode = mode
        if mode == "reset":
            for sock in list(self._open):
                _reset(sock)
        if mode == "mute":
            self._mute |= self._open

    def set_listening(self, listens: bool, *, reset: bool = True) -> None:
        """Ends all connections and refuses new ones, or takes them again.

        Args:
            listens: Which of the two.
            reset: Whether connections are reset. The kernel closes those of a
                process that exits without, if all input has been read.
        """
        self._listens = listens
        self._update_listener()
        if listens:
            return
        if not reset:
            self.close_open()
            return
        for sock in list(self._open):
            _reset(sock)

    def cut(self, how: Cut) -> None:
        """Cuts the link until ``heal``."""
        self._cut = how
        self._update_listener()
        if how in (Cut.HANG, Cut.HANG_NEW) and not self._blocking:
            self._block_connects()
        if how is Cut.HANG:
            self.mode = "silent"
        if how is Cut.RESET:
            for sock in list(self._open):
                _reset(sock)

    def close_open(self) -> None:
        """Ends open connections as servers end idle ones."""
        for sock in list(self._open):
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                # It has ended already.
                continue

    def heal(self) -> None:
        """Restores a cut link."""
        for sock in self._blocking:
            sock.close()
        self._blocking = []
        self._cut = None
        self.mode = "pass"
        self._update_listener()

    def _update_listener(self) -> None:
        listens = self._listens and self._cut is None
        if not listens and not self._server.closed:
            self._server.stop_accepting()
            self._server.close()
        elif listens and self._server.closed:
            self._server = self._listener()
            self._server.start()

    def _block_connects(self) -> None:
        """Makes new connections wait: the listener's queue stays full."""
        blocker = _bind(self._port)
        blocker.listen(0)
        self._blocking.append(blocker)
        for _ in range(_QUEUED):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self._port))
            self._blocking.append(sock)

    def _listener(self) -> server.StreamServer:
        sock = _bind(self._port)
        sock.listen(_BACKLOG)
        return server.StreamServer(sock, self._serve)

    def close(self) -> None:
        """Stops."""
        self._server.stop(timeout=0)
        for sock in (*self._blocking, self._reserved):
            sock.close()

    def _serve(self, caller: socket.socket, peer: object) -> None:
        if self.mode == "reset":
            _reset(caller)
            return
        host, _, port = self._target.rpartition(":")
        target = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            target.connect((host, int(port)))
        except OSError:
            _reset(caller)
            return
        if self._cut is Cut.RESET:
            # The link was cut while this connection was being established.
            _reset(caller)
            _reset(target)
            return
        self._open |= {caller, target}
        ways = [
            gevent.spawn(self._pass_on, caller, target, "silent_up"),
            gevent.spawn(self._pass_on, target, caller, "silent_down"),
        ]
        gevent.joinall(ways)
        self._open -= {caller, target}
        self._mute -= {caller, target}
        caller.close()
        target.close()

    def _pass_on(
        self, source: socket.socket, sink: socket.socket, blocked: str
    ) -> None:
        """Copies one way; the other way ends when this one breaks."""
        try:
            while data := source.recv(_READ_BYTES):
                while self.mode in ("silent", blocked) or source in self._mute:
                    gevent.sleep(_STEP_S)
                if self.mode == "slow":
                    gevent.sleep(_SLOW_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)
            _reset(source)


def _bind(port: int) -> socket.socket:
    """Returns a socket bound to a port that others may be bound to as well."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", port))
    return sock


def _reset(sock: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
    except OSError:
        # It is closed already.
        return
