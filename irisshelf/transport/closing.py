"""Ways to close a caller's connection."""

from __future__ import annotations

import struct

from gevent import socket

from irisshelf import boottime
from irisshelf.transport import errors
from irisshelf.transport import turns

_READ_BYTES = 65536
# Before a socket is closed, input is read and discarded until none arrives for
# this long: closing it with unread input sends a reset, which discards a
# response that the caller has not read yet.
_LINGER_S = 0.5
# A caller that sends on for longer is not waited for.
_MAX_LINGER_S = 2.0
_RESET = struct.pack("ii", 1, 0)


def close(sock: socket.socket, *, discard_input: bool) -> None:
    """Closes a connection so that the caller can still read its response.

    Args:
        sock: The socket.
        discard_input: Whether the caller may have sent more than was read.
    """
    try:
        sock.shutdown(socket.SHUT_WR)
        if discard_input:
            sock.settimeout(_LINGER_S)
            _discard_input(sock)
    except (OSError, errors.CloseIdleError, errors.CallerDisconnectedError):
        # Nothing is left to be read, or no one to read it.
        pass
    finally:
        sock.close()


def _discard_input(sock: socket.socket) -> None:
    work = turns.Turns()
    until_s = boottime.now() + _MAX_LINGER_S
    while boottime.now() < until_s and (data := sock.recv(_READ_BYTES)):
        work.record(len(data) + turns.PART_COST)


def reset(sock: socket.socket) -> None:
    """Resets a connection, which discards what the caller has not read.

    The kernel would keep it in memory for minutes. A response whose end only
    the end of the connection shows does not look complete.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        # The caller has closed the connection already.
        pass
    finally:
        sock.close()
