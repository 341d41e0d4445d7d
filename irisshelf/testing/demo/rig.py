"""A small fleet of real processes on loopback, for tests and benches."""

from __future__ import annotations

import json
import pathlib
import time

import geventhttpclient

from irisshelf import boottime
from irisshelf.testing.demo import fleets
from irisshelf.testing.demo import layout
from irisshelf.testing.demo import processes

_STAND_IN = "irisshelf.testing.stand_in"
_DAEMON = "irisshelf.daemon.main"
_TOOL = "irisshelf.cli.main"
_START_S = 30.0
_STEP_S = 0.05
_CALLER_S = 30.0


class Rig:
    """Platform, back ends and instances of one fleet.

    Args:
        fleet: What to run.
        folder: Where files and logs go.
        token_s: Time that an engine takes for a token.
        list_lag_s: Lag of the platform's list.
    """

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        folder: pathlib.Path,
        token_s: float = 0.01,
        list_lag_s: float = 1.0,
    ):
        self.plan = layout.make(fleet, folder)
        self.processes = processes.Processes(folder=folder)
        self._folder = folder
        self._token_s = token_s
        self._list_lag_s = list_lag_s

    def start(self) -> None:
        """Starts everything and waits until owners are settled.

        Raises:
            TimeoutError: It does not come up in time.
        """
        self._make_certificates()
        self._start_stand_ins()
        self.submit(number=1, note="first")
        for instance in self.plan.instances:
            self.start_instance(instance)
        limit_s = boottime.now() + _START_S
        while not self._owners_agree():
            if boottime.now() > limit_s:
                raise TimeoutError("instances do not agree on owners")
            time.sleep(_STEP_S)

    def stop(self) -> None:
        """Ends every process that was started."""
        self.processes.end_all()
        self.plan.ports.close()

    def start_instance(self, instance: layout.Instance) -> None:
        """Starts an instance and lists it as live."""
        path = layout.write(
            self._folder,
            f"{instance.name}.json",
            layout.settings(self.plan, instance),
        )
        self.processes.start(instance.name, _DAEMON, "--settings", path)
        self.list_instance(instance, "live")

    def list_instance(self, instance: layout.Instance, state: str) -> None:
        """Sets an instance's entry in the platform's list."""
        node = {
            "name": instance.name,
            "role": "instance",
            "state": state,
            "data_centre": instance.data_centre,
            "address": instance.address,
            "admin_address": instance.admin_address,
            "link_address": instance.link_address,
            "relay_address": instance.relay_address,
        }
        processes.call(self.plan.platform, "/_node", node)

    def list_server(self, server: layout.Server, state: str) -> None:
        """Sets a backend server's entry in the platform's list."""
        node = {
            "name": server.name,
            "role": "backend_server",
            "state": state,
            "data_centre": server.data_centre,
            "address": server.address,
        }
        processes.call(self.plan.platform, "/_node", node)

    def submit(self, *, number: int, note: str) -> None:
        """Signs a bundle by two people and submits it, by the tool."""
        document = layout.bundle(self.plan, number=number, note=note)
        path = layout.write(self._folder, f"bundle-{number}.json", document)
        for name in layout.OPERATORS:
            signed = str(self._folder / f"signed-{number}-{name}.json")
            key = str(self._folder / f"{name}.pem")
            self.processes.run(
                _TOOL, "bundle", "sign", path,
                "--key", key, "--name", name, "--out", signed,
            )  # fmt: skip
            path = signed
        self.processes.run(
            _TOOL, "bundle", "submit", path, "--platform", self.plan.platform
        )

    def bundle_of(self, instance: layout.Instance) -> int:
        """Returns the bundle an instance has in force; 0 for no answer."""
        try:
            status = processes.call(instance.admin_address, "/status")
        except (OSError, ValueError):
            return 0
        return status["bundle"]

    def ask(self, instance: layout.Instance, marker: str, tokens: int) -> bytes:
        """Asks one question of a chat of its own; returns the stream."""
        host, _, port = instance.address.rpartition(":")
        client = geventhttpclient.HTTPClient(
            host, int(port), network_timeout=_CALLER_S
        )
        body = {
            "model": self.plan.fleet.model,
            "messages": [{"role": "user", "content": f"{marker} x"}],
            "max_tokens": tokens,
            "stream": True,
        }
        key = next(iter(self.plan.team_keys.values()))
        try:
            response = client.post(
                "/v1/chat/completions",
                body=json.dumps(body).encode(),
                headers={"Authorization": f"Bearer {key}"},
            )
            return bytes(response.read())
        finally:
            client.close()

    def _make_certificates(self) -> None:
        """One certificate serves all instances of a rig."""
        fleet = str(self._folder / "fleet")
        peer = str(self._folder / "peer")
        self.processes.run(_TOOL, "keys", "authority", "--out", fleet)
        self.processes.run(
            _TOOL, "keys", "instance", "peer",
            "--authority", fleet, "--out", peer,
        )  # fmt: skip

    def _start_stand_ins(self) -> None:
        plan = self.plan
        self.processes.start(
            "platform", _STAND_IN, "platform", _port(plan.platform),
            "--list-lag-s", str(self._list_lag_s),
        )  # fmt: skip
        plain = []
        for server in plan.servers:
            if server.engines:
                self.processes.start(
                    server.name, _STAND_IN, "engines", _port(server.address),
                    str(len(server.engines)), "--token-s", str(self._token_s),
                )  # fmt: skip
            else:
                plain.append(_port(server.address))
        self.processes.start("plain", _STAND_IN, "plain", *plain)
        processes.wait_until_answers(plan.platform, "/v1/nodes")
        for server in plan.servers:
            processes.wait_until_answers(server.address, "/load")
            self.list_server(server, "live")

    def _owners_agree(self) -> bool:
        """Tells whether each engine has exactly one owner."""
        try:
            owned = [
                processes.call(i.admin_address, "/status")["engines_owned"]
                for i in self.plan.instances
            ]
        except (OSError, ValueError):
            return False
        return sum(owned) == sum(self.plan.fleet.engines) and min(owned) > 0


def _port(address: str) -> str:
    return address.rpartition(":")[2]
