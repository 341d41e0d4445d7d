"""Starts instances by the deploy file, and servers, and ends them all.

Settings are filled into the project's template with fields like those of a
small deployment on the users' platform.
"""

from __future__ import annotations

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request
from collections.abc import Callable
from typing import Any

from stand_ins import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "wuny96.example"
KEY = "n2ctnfzs989anu6wsjnb"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Of the small deployments of the pages.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 10,
    "capFactor": 2,
}
_CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
]
_START_LIMIT_S = 15.0
_SERVER = pathlib.Path(__file__).with_name("server.py")


class Rig:
    """A small deployment on loopback.

    Args:
        folder: The folder of the case; ``record.txt`` is written there.
        instances: How many instances there are.
        bounds: Bounds that differ from those of the small deployments.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        instances: int = 2,
        bounds: dict[str, Any] | None = None,
    ):
        self.began_s = time.monotonic()
        self._record = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self._lock = threading.Lock()
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = store_module.Store()
        self.bounds = BOUNDS | (bounds or {})
        self._processes: list[subprocess.Popen] = []
        # A net of its own on loopback, so that runs don't share ports.
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._ips = [f"{net}.{2 + number}" for number in range(instances)]
        self._ports = _free_ports(self._ips)

    def say(self, text: str) -> None:
        """Writes a line to the record."""
        at_s = time.monotonic() - self.began_s
        with self._lock:
            self._record.write(f"{at_s:8.3f}  {text}\n")

    def front(self, number: int) -> str:
        """Returns an instance's address for clients."""
        return f"{self._ips[number]}:{self._ports['front']}"

    def is_ready(self, number: int) -> bool:
        """Asks an instance whether it is ready, as the platform does."""
        url = f"http://{self._ips[number]}:{self._ports['ready']}/api/ready"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as answer:
                return answer.status == 200
        except OSError:
            return False

    def start_instance(self, number: int) -> subprocess.Popen:
        """Starts an instance with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        settings = self.temp / f"settings-{number}.json"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(_fill(template, self._fields(number)))
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["IRISSHELF_CONFIG"] = str(settings)
        process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=env,
            stdout=open(self.temp / f"instance-{number}.log", "ab"),  # noqa: SIM115
            stderr=subprocess.STDOUT,
        )
        self._processes.append(process)
        self.say(f"instance {number} starts at {self.front(number)}")
        return process

    def start_server(
        self, server_id: str, service: str, *options: str
    ) -> subprocess.Popen:
        """Starts a server and lists it once it accepts connections."""
        port = _free_port("127.0.0.1")
        process = subprocess.Popen(
            [
                sys.executable,
                str(_SERVER),
                *("--port", str(port), "--id", server_id),
                *("--record", str(self.temp / "runs.jsonl")),
                *options,
            ],
            env={"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1"},
        )
        self._processes.append(process)
        self.wait(lambda: _accepts(port), f"server {server_id}")
        entry = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "espoo-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        self.store.put("servers", server_id, entry)
        self.say(f"server {server_id} of {service} is listed")
        return process

    def drop_server(self, server_id: str) -> None:
        """Removes a server's entry."""
        self.store.drop("servers", server_id)
        self.say(f"the store has dropped {server_id}")

    def runs(self) -> list[dict[str, Any]]:
        """Returns what the servers have recorded."""
        path = self.temp / "runs.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def wait(self, until: Callable[[], bool], what: str) -> None:
        """Waits for something that comes with any sound start.

        Raises:
            TimeoutError: It did not come.
        """
        end_s = time.monotonic() + _START_LIMIT_S
        while not until():
            if time.monotonic() > end_s:
                raise TimeoutError(f"{what}: not there in {_START_LIMIT_S} s")
            time.sleep(0.02)

    def close(self) -> None:
        """Ends all processes; adds what the servers ran to the record."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.store.close()
        for run in self.runs():
            at_s = run.pop("at_s") - self.began_s
            event, request = run.pop("event"), run.pop("request")
            more = ", ".join(f"{k} {v}" for k, v in run.items())
            with self._lock:
                self._record.write(
                    f"{at_s:8.3f}  {event}: request {request}, {more}\n"
                )
        if logs := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, logs, dirs_exist_ok=True)
        shutil.rmtree(self.temp)
        self._record.close()

    def _fields(self, number: int) -> dict[str, Any]:
        ip, ports = self._ips[number], self._ports
        seeds = [f"{each}:{ports['control']}" for each in self._ips[:3]]
        return {
            "nodeName": f"front-espoo-a-{number + 1}",
            "role": "entry",
            "ip": ip,
            "zone": "espoo-a",
            "region": "fi-south",
            "zones": {"espoo-a": "fi-south"},
            "listenAddrs": {
                name: f"{ip}:{ports[name]}"
                for name in ("front", "ready", "control")
            },
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "contracts": _CONTRACTS,
            "bounds": self.bounds,
            "platform": {"address": self.store.address, "form": "table"},
        }


def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "priority": 1,
        **more,
    }


def config(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    services = sorted({one["service"] for one in routes})
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": n, "maxConnections": 100} for n in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    }


def run(case: Callable[[Rig], bool], **options: Any) -> int:
    """Runs a case; returns the exit code of its script."""
    signal.signal(signal.SIGTERM, _stop)
    rig = Rig(**options)
    try:
        broken = case(rig)
    except Exception as exc:
        rig.say(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        rig.close()
    return BROKEN if broken else HELD


def _stop(signum: int, frame: object) -> None:
    """Ends the script, so that it ends its processes."""
    sys.exit(COULD_NOT_RUN)


def _fill(text: str, fields: dict[str, Any]) -> str:
    """Fills a template as the platform does: values, JSON, and entries."""

    def find(path: str) -> Any:
        value: Any = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = value.get(name)
        return value

    def block(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = find(name)
        if kind == "^":
            return "" if value else inner
        if not isinstance(value, dict):
            return inner if value else ""
        parts = []
        for number, (key, entry) in enumerate(value.items()):
            part = inner.replace("{{@}}", key)
            part = part.replace("{{.|json}}", json.dumps(entry))
            comma = "," if number < len(value) - 1 else ""
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    def gap(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        value = find(path)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", block, text)
    return re.sub(r"\{\{([\w.|]+)\}\}", gap, text)


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def _free_ports(ips: list[str]) -> dict[str, int]:
    """Returns ports that are free at all addresses."""
    names = ("front", "ready", "control", "internal")
    found: dict[str, int] = {}
    first = random.randint(12000, 28000)
    for port in range(first, first + 4000):
        if len(found) == len(names):
            break
        if all(_is_free(ip, port) for ip in ips):
            found[names[len(found)]] = port
    return found


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def _accepts(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), timeout=0.2).close()
    except OSError:
        return False
    return True
