"""Real entry instances as processes, restarted as the platform would."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Mapping

import gevent

from irisshelf.platform.stand_in import proxy
from irisshelf.testing import ports
from soak import sleeper

_RESTART_S = 0.3
_KB = 1024
_STEP_S = 0.05
# From the signal to stop until the kill.
STOP_S = 8
_STORE = "store"


class Entry:
    """One instance: its process, its addresses, its links.

    Args:
        number: Its number.
        folder: For its settings and its log.
        store: The store's address.
        peers: Its address for other instances.
        block: Where its ports come from.
        seeds: Those of all instances.
        data_centre: Where it stands.
        data_centres: Names of all data centres, as its settings have them; none
            if they are not told.
        overload: That section of its settings.
        bounds: Further bounds of its settings.

    Attributes:
        peak_bytes: The most memory that any of its processes has taken.
    """

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        store: str,
        peers: str,
        block: ports.Block,
        seeds: list[str],
        data_centre: str = "a",
        data_centres: tuple[str, ...] = (),
        overload: Mapping[str, object] | None = None,
        bounds: Mapping[str, object] | None = None,
    ):
        self.number = number
        self.peers = peers
        self._seeds = seeds
        self.data_centre = data_centre
        self._data_centres = data_centres
        self._overload = dict(overload or {})
        self._bounds = dict(bounds or {})
        self.name = f"entry-{number}"
        self.front = f"127.0.0.1:{block.take()}"
        self.ready = f"127.0.0.1:{block.take()}"
        self.store_link = proxy.Proxy(target=store)
        self.caller_link = proxy.Proxy(target=self.front)
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.json"
        self._sleep = folder / f"{self.name}.sleep"
        self._slept_s = 0.0
        self._write_sleep()
        self._process: subprocess.Popen | None = None
        self._keeper: gevent.Greenlet | None = None
        self.starts = 0
        self.own_exits = 0
        self.peak_bytes = 0
        self._told_to_end = False
        self._write_settings()

    @property
    def pid(self) -> int:
        """The process, as long as it runs."""
        return self._process.pid

    def start(self) -> None:
        """Starts the process, and starts it again whenever it ends."""
        self._keeper = gevent.spawn(self._keep)

    def close(self) -> None:
        """Ends the process for good."""
        if self._keeper is not None:
            self._keeper.kill()
        process = self._process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.store_link.close()
        self.caller_link.close()

    def kill(self) -> None:
        """Ends the process at once."""
        self._signal(signal.SIGKILL, ends=True)

    def term(self) -> None:
        """Stops the process as planned; it is killed if it takes too long."""
        self._signal(signal.SIGTERM, ends=True)
        process = self._process
        gevent.spawn_later(STOP_S, _kill_if_alive, process)

    def pause(self, for_s: float) -> None:
        """Stands the process still for a while."""
        process = self._process
        self._signal(signal.SIGSTOP)
        gevent.spawn_later(for_s, _continue, process)

    def sleep(self, for_s: float) -> None:
        """Lets the machine sleep: it takes no time, but the process' clock."""
        self._slept_s += for_s
        self._write_sleep()

    def hup(self) -> None:
        """Changes the settings and says so."""
        self._write_settings(lines_per_s=150 + self.starts)
        self._signal(signal.SIGHUP)

    def half_settings(self, for_s: float) -> None:
        """Leaves the settings half written for a while, and says so."""
        text = self._settings.read_text()
        self._settings.write_text(text[: len(text) // 2])
        self._signal(signal.SIGHUP)
        gevent.spawn_later(for_s, self.hup)

    def _signal(self, signum: int, *, ends: bool = False) -> None:
        process = self._process
        if process is None or process.poll() is not None:
            return
        self._told_to_end = self._told_to_end or ends
        process.send_signal(signum)

    def _keep(self) -> None:
        while True:
            self._run()
            while self._process.poll() is None:
                self.peak_bytes = max(self.peak_bytes, peak_bytes(self.pid))
                gevent.sleep(_STEP_S)
            if not self._told_to_end:
                self.own_exits += 1
            gevent.sleep(_RESTART_S)

    def _run(self) -> None:
        self._told_to_end = False
        self.starts += 1
        environment = {
            **os.environ,
            "IRISSHELF_CONFIG": str(self._settings),
            sleeper.VARIABLE: str(self._sleep),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.sleeper"],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def _write_sleep(self) -> None:
        aside = self._sleep.with_suffix(".new-sleep")
        aside.write_text(str(self._slept_s))
        aside.rename(self._sleep)

    def _write_settings(self, lines_per_s: float = 200) -> None:
        document = {
            "instance": self.name,
            "data_centre": self.data_centre,
            "data_centres": self._data_centres,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "metrics": "127.0.0.1:0",
                "peers": self.peers,
            },
            "seeds": self._seeds,
            _STORE: self.store_link.address,
            "bounds": {
                "stop_s": STOP_S,
                "evacuated_ms": 2500,
                "cold_overage": 1.5,
                "cold_slack": 5.0,
                **self._bounds,
            },
            "overload": self._overload,
            "log_lines_per_s": lines_per_s,
        }
        aside = self._settings.with_suffix(".new")
        aside.write_text(json.dumps(document))
        aside.rename(self._settings)


def peak_bytes(pid: int) -> int:
    """Returns the most memory that a process has taken; 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * _KB
    return 0


def _kill_if_alive(process: subprocess.Popen | None) -> None:
    if process is not None and process.poll() is None:
        process.kill()


def _continue(process: subprocess.Popen | None) -> None:
    if process is not None and process.poll() is None:
        process.send_signal(signal.SIGCONT)


def wait_until(what, until_s: float) -> bool:
    """Waits for something; returns whether it came in time."""
    while time.monotonic() < until_s:
        if what():
            return True
        gevent.sleep(_STEP_S)
    return False
