"""Runs a backend server whose bytes do not end, see ``endless``."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import gevent
from gevent import subprocess as gevent_subprocess

from irisshelf.platform.stand_in import endless


class EndlessServer:
    """Such a server in a process of its own.

    Args:
        form: What does not end.
        pace: How fast it comes.

    Attributes:
        address: Where it listens.
        begun: Number of connections on which it has sent something.
        ended: For each of them that its peer has closed, the bytes sent.
    """

    def __init__(self, *, form: endless.Form, pace: endless.Pace):
        self._process = gevent_subprocess.Popen(
            [sys.executable, "-m", endless.__name__, form.value, pace.value],
            stdout=subprocess.PIPE,
        )
        port = int(self._process.stdout.readline())
        self.address = f"127.0.0.1:{port}"
        self.begun = 0
        self.ended: list[int] = []
        self._reader = gevent.spawn(self._read)

    def entry(self, service: str) -> dict[str, Any]:
        """Returns its entry in the store's list."""
        return {
            "service": service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    def is_left(self) -> bool:
        """Returns whether its peers have closed all connections."""
        return bool(self.begun) and len(self.ended) == self.begun

    def close(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()
        self._reader.kill()

    def _read(self) -> None:
        for line in self._process.stdout:
            word, *sent = line.decode().split()
            self.begun += word == endless.BEGUN
            self.ended += map(int, sent)
