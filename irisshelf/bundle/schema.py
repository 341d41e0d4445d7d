"""Schema of a bundle, the fleet's whole configuration.

A bundle is one JSON document. Every model here is frozen and refuses unknown
fields. See ``check.parse`` for the way errors are reported.
"""

from __future__ import annotations

import enum
import re
from typing import Annotated

import pydantic

FORMAT = 1
NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"
KEY_PATTERN = r"^[A-Za-z0-9+/]{43}=$"

Name = Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
Address = Annotated[str, pydantic.StringConstraints(pattern=ADDRESS_PATTERN)]
Sha256 = Annotated[str, pydantic.StringConstraints(pattern=SHA256_PATTERN)]
PublicKey = Annotated[str, pydantic.StringConstraints(pattern=KEY_PATTERN)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(enum.StrEnum):
    """Order in which waiting requests of different teams go first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class WithoutPlatform(enum.StrEnum):
    """What to do with a call that may not be repeated and cannot be claimed.

    ``REFUSE`` answers ``not_run``. ``RUN_UNCLAIMED`` sends the call once from
    this instance without a claim: the same key that arrives at a second
    instance meanwhile may then run a second time.
    """

    REFUSE = "refuse"
    RUN_UNCLAIMED = "run_unclaimed"


class Signers(_Model):
    """Who may sign the next bundle."""

    required: int = pydantic.Field(1, ge=1, le=16)
    keys: dict[Name, PublicKey] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _enough_keys(self) -> Signers:
        if self.required > len(self.keys):
            raise ValueError(
                f"required is {self.required}, but only {len(self.keys)} keys"
                " are listed; allowed: at most the number of keys"
            )
        return self


class DataCentre(_Model):
    """A data centre and the region whose data centres are near it."""

    region: Name


class CallRule(_Model):
    """Calls that may not be repeated: a method and a path prefix."""

    method: Annotated[str, pydantic.StringConstraints(pattern="^[A-Z]+$")]
    path: Annotated[str, pydantic.StringConstraints(pattern="^/")]


class Timeouts(_Model):
    """Limits on a call's time, each in seconds.

    ``idle_s`` is the longest silence of a backend server, ``queue_s`` the
    longest wait before the first send, ``total_s`` the whole call.
    """

    connect_s: float = pydantic.Field(1.0, gt=0, le=60)
    idle_s: float = pydantic.Field(20.0, gt=0, le=3600)
    total_s: float = pydantic.Field(600.0, gt=0, le=36000)
    queue_s: float = pydantic.Field(5.0, gt=0, le=3600)


class RetryBudget(_Model):
    """Retries allowed as a share of first attempts, plus a small burst."""

    ratio: float = pydantic.Field(0.1, ge=0, le=1)
    burst: float = pydantic.Field(10.0, ge=0, le=1000)


class Service(_Model):
    """One service: a model that engines serve, or a plain service."""

    kind: ServiceKind
    load_bound: float = pydantic.Field(1.25, ge=1.05, le=10)
    prefill_weight: float = pydantic.Field(0.1, gt=0, le=1)
    engine_slots: int = pydantic.Field(32, ge=1, le=4096)
    timeouts: Timeouts = Timeouts()
    retry: RetryBudget = RetryBudget()
    max_body_bytes: int = pydantic.Field(4_194_304, ge=1, le=67_108_864)
    not_repeatable: tuple[CallRule, ...] = ()
    without_platform: WithoutPlatform = WithoutPlatform.REFUSE


class BackendServer(_Model):
    """A backend server: its service, place, address and engines."""

    service: Name
    data_centre: Name
    address: Address
    engines: tuple[Name, ...] = ()
    checks_fencing: bool = True


class Team(_Model):
    """A team: the hash of its bearer key, its share and its priority."""

    key_sha256: Sha256
    share: float = pydantic.Field(1.0, gt=0, le=1_000_000)
    priority: Priority = Priority.NORMAL


class Bundle(_Model):
    """The fleet's whole configuration at one number."""

    format: int = pydantic.Field(ge=FORMAT, le=FORMAT)
    number: int = pydantic.Field(ge=1, le=2**53)
    note: str = pydantic.Field("", max_length=2000)
    signers: Signers
    data_centres: dict[Name, DataCentre] = pydantic.Field(min_length=1)
    services: dict[Name, Service] = pydantic.Field(min_length=1)
    backend_servers: dict[Name, BackendServer] = {}
    teams: dict[Name, Team] = {}

    @pydantic.model_validator(mode="after")
    def _references(self) -> Bundle:
        problems = list(_reference_problems(self))
        if problems:
            raise ValueError("; ".join(problems))
        return self


def _reference_problems(bundle: Bundle):
    for name, server in bundle.backend_servers.items():
        where = f"backend_servers.{name}"
        if server.service not in bundle.services:
            yield (
                f"{where}.service is {server.service!r}, allowed:"
                f" {sorted(bundle.services)}"
            )
            continue
        if server.data_centre not in bundle.data_centres:
            yield (
                f"{where}.data_centre is {server.data_centre!r}, allowed:"
                f" {sorted(bundle.data_centres)}"
            )
        is_model = bundle.services[server.service].kind is ServiceKind.MODEL
        if is_model and not server.engines:
            yield f"{where}.engines is empty, allowed: one engine or more"
        if len(set(server.engines)) != len(server.engines):
            yield f"{where}.engines names an engine twice"
    owners: dict[str, str] = {}
    for name, team in bundle.teams.items():
        other = owners.setdefault(team.key_sha256, name)
        if other != name:
            yield f"teams.{name}.key_sha256 is also that of teams.{other}"


def is_name(text: str) -> bool:
    """Tells whether a text may be a name in a bundle.

    Example:
        >>> is_name("espoo-a")
        True
    """
    return re.match(NAME_PATTERN, text) is not None
