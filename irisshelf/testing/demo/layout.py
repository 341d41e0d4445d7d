"""Where everything of a demo runs, and the files that describe it."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import pathlib
from typing import Any

from irisshelf.bundle import signing
from irisshelf.testing import ports as ports_module
from irisshelf.testing.demo import fleets

OPERATORS = ("anna", "bo")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """One entry instance."""

    name: str
    data_centre: str
    address: str
    admin_address: str
    link_address: str
    relay_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Server:
    """One backend server."""

    name: str
    service: str
    data_centre: str
    address: str
    engines: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """All addresses and keys of one demo."""

    fleet: fleets.Fleet
    folder: pathlib.Path
    platform: str
    instances: tuple[Instance, ...]
    spare: Instance
    servers: tuple[Server, ...]
    team_keys: dict[str, str]
    operator_keys: dict[str, str]
    # Keeps others from taking the ports until it is closed.
    ports: ports_module.Block


def make(fleet: fleets.Fleet, folder: pathlib.Path) -> Layout:
    """Chooses addresses and makes keys."""
    block = ports_module.Block()

    def address() -> str:
        return f"127.0.0.1:{block.take()}"

    def instance(index: int) -> Instance:
        place = fleet.data_centres[index % len(fleet.data_centres)]
        return Instance(
            name=f"{place}-{index}",
            data_centre=place,
            address=address(),
            admin_address=address(),
            link_address=address(),
            relay_address=address(),
        )

    return Layout(
        fleet=fleet,
        folder=folder,
        platform=address(),
        instances=tuple(instance(i) for i in range(fleet.instances)),
        spare=instance(fleet.instances),
        servers=tuple(_servers(fleet, address)),
        team_keys={f"team-{i}": f"key-of-team-{i}" for i in range(fleet.teams)},
        operator_keys=_operators(folder),
        ports=block,
    )


def _servers(fleet: fleets.Fleet, address):
    places = fleet.data_centres
    for index, count in enumerate(fleet.engines):
        yield Server(
            name=f"{fleet.model}-{index}",
            service=fleet.model,
            data_centre=places[index % len(places)],
            address=address(),
            engines=tuple(f"e{i}" for i in range(count)),
        )
    for index in range(fleet.plain_servers):
        yield Server(
            name=f"{fleet.plain}-{index}",
            service=fleet.plain,
            data_centre=places[index % len(places)],
            address=address(),
        )


def _operators(folder: pathlib.Path) -> dict[str, str]:
    keys = {}
    for name in OPERATORS:
        private_pem = signing.generate_key()
        (folder / f"{name}.pem").write_bytes(private_pem)
        keys[name] = signing.public_key(private_pem)
    return keys


def settings(layout: Layout, instance: Instance) -> dict[str, Any]:
    """Returns the settings of one instance."""
    return {
        "instance": instance.name,
        "data_centre": instance.data_centre,
        "listen": instance.address,
        "admin_listen": instance.admin_address,
        "platform": {"address": layout.platform},
        "operators": {
            "required": 2,
            "keys": {
                name: {"value": key}
                for name, key in layout.operator_keys.items()
            },
        },
        "peers": {
            "link_listen": instance.link_address,
            "relay_listen": instance.relay_address,
            "secret": {"value": "secret-of-the-demo"},
            "tls": {
                "authority": str(layout.folder / "fleet" / "authority.crt"),
                "certificate": str(layout.folder / "peer" / "instance.crt"),
                "key": str(layout.folder / "peer" / "instance.key"),
            },
        },
        "limits": {"drain_s": 20},
    }


def bundle(layout: Layout, *, number: int, note: str) -> dict[str, Any]:
    """Returns a bundle for the whole fleet."""
    fleet = layout.fleet
    once = {"method": "POST", "path": fleet.once_path}
    return {
        "format": 1,
        "number": number,
        "note": note,
        "signers": {"required": 2, "keys": layout.operator_keys},
        "data_centres": {
            name: {"region": fleet.region} for name in fleet.data_centres
        },
        "services": {
            fleet.model: {"kind": "model", "engine_slots": 32},
            fleet.plain: {"kind": "plain", "not_repeatable": [once]},
        },
        "backend_servers": {
            server.name: {
                "service": server.service,
                "data_centre": server.data_centre,
                "address": server.address,
                "engines": list(server.engines),
            }
            for server in layout.servers
        },
        "teams": {
            name: {
                "key_sha256": hashlib.sha256(key.encode()).hexdigest(),
                "share": 5 if index < fleet.large_teams else 1,
            }
            for index, (name, key) in enumerate(layout.team_keys.items())
        },
    }


def write(folder: pathlib.Path, name: str, document: Any) -> str:
    """Writes a JSON file and returns its path."""
    path = folder / name
    path.write_text(json.dumps(document, indent=2))
    return str(path)
