"""Ports that nobody else takes: blocks for each run, held by locks.

A port that was free a moment ago may be taken as the local end of any outgoing
connection, and an instance that restarts then finds it in use. So ports come
from below the range that the kernel takes those from.
"""

from __future__ import annotations

import os
import socket

# Linux takes local ends from 32768 on (net.ipv4.ip_local_port_range).
FIRST = 12_000
LAST = 32_000
SIZE = 40


class Block:
    """A block of ports, and more of them as they are needed.

    Raises:
        RuntimeError: Every block is held by somebody.
    """

    def __init__(self):
        self._locks: list[socket.socket] = []
        self._claim()

    def take(self) -> int:
        """Returns a port that has not been taken yet.

        Raises:
            RuntimeError: Every block is held by somebody.
        """
        while True:
            if self._next >= self._end:
                self._claim()
            port = self._next
            self._next += 1
            probe = _bound(port)
            if probe is not None:
                probe.close()
                return port

    def _claim(self) -> None:
        """Takes a block that nobody holds."""
        count = (LAST - FIRST) // SIZE
        for step in range(count):
            # Runs that start together begin to look at different blocks.
            number = (os.getpid() * 7 + step) % count
            lock = _bound(FIRST + number * SIZE)
            if lock is not None:
                self._locks.append(lock)
                self._next = FIRST + number * SIZE + 1
                self._end = FIRST + (number + 1) * SIZE
                return
        raise RuntimeError(f"no block of {SIZE} ports from {FIRST} is free")

    def close(self) -> None:
        """Gives all back."""
        for lock in self._locks:
            lock.close()


def _bound(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        # Somebody has it; the next one is looked at.
        sock.close()
        return None
    return sock
