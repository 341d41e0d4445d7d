"""The state of a socket, polled without waiting, and what its errors mean."""

from __future__ import annotations

import select

from gevent import socket


def is_connected(sock: socket.socket) -> bool:
    """Returns whether the connect has succeeded in spite of a time-out.

    When a process resumes after a pause, its timers have expired although the
    connection may have been established.
    """
    if not is_ready(sock, select.POLLOUT):
        return False
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def is_ready(sock: socket.socket, events: int) -> bool:
    """Polls a socket without waiting.

    Uses poll, because select supports only file descriptors below 1,024.
    """
    poll = select.poll()
    poll.register(sock, events)
    return bool(poll.poll(0))


def is_own_timeout(exc: Exception) -> bool:
    """Returns whether an error is a time limit that this process has set.

    After a time-out of the kernel's, which has an error number, the connection
    is of no use.
    """
    return isinstance(exc, TimeoutError) and exc.errno is None
