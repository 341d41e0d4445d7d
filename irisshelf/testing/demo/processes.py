"""Processes of the demo: stand-ins and daemons on loopback."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import geventhttpclient

from irisshelf import boottime

_START_S = 20.0
_STEP_S = 0.05


def call(
    address: str, path: str, document: Any = None, timeout_s: float = 3.0
) -> Any:
    """Calls a JSON endpoint of a stand-in or an admin port.

    Raises:
        OSError: It does not answer.
    """
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host,
        int(port),
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
    )
    try:
        if document is None:
            response = client.get(path)
        else:
            response = client.post(path, body=json.dumps(document).encode())
        return json.loads(bytes(response.read()))
    finally:
        client.close()


class Processes:
    """Starts processes and ends them all, by id.

    Args:
        folder: Where logs and files go.
    """

    def __init__(self, *, folder: pathlib.Path):
        self.folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, *args: str) -> None:
        """Starts a Python module as a process."""
        log = (self.folder / f"{name}.log").open("ab")
        self._running[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args], stdout=log, stderr=log
        )

    def run(self, module: str, *args: str) -> str:
        """Runs a Python module to its end; returns what it printed.

        Raises:
            subprocess.CalledProcessError: It did not end well.
        """
        done = subprocess.run(
            [sys.executable, "-m", module, *args],
            check=True,
            capture_output=True,
            text=True,
        )
        return done.stdout

    def pid(self, name: str) -> int:
        """Returns a process's id."""
        return self._running[name].pid

    def terminate(self, name: str) -> None:
        """Asks a process to stop as planned."""
        self._running[name].terminate()

    def kill(self, name: str) -> None:
        """Kills a process."""
        self._running[name].kill()
        self._running.pop(name).wait()

    def has_ended(self, name: str) -> bool:
        """Tells whether a process has ended."""
        return self._running[name].poll() is not None

    def end_all(self) -> None:
        """Ends what still runs."""
        for process in self._running.values():
            process.send_signal(signal.SIGKILL)
        for process in self._running.values():
            process.wait()
        self._running.clear()


def wait_until_answers(address: str, path: str) -> None:
    """Waits until an endpoint answers.

    Raises:
        TimeoutError: It does not, in time.
    """
    limit = boottime.now() + _START_S
    while boottime.now() < limit:
        try:
            call(address, path)
        except (OSError, ValueError):
            time.sleep(_STEP_S)
        else:
            return
    raise TimeoutError(f"{address}{path} does not answer")
