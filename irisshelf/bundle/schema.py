"""Schema of a bundle, the complete configuration of the fleet.

A bundle is a JSON document. All models are frozen and reject unknown fields.
See ``check.parse`` for how errors are reported.
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
    """Type of backend servers that a service has."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(enum.StrEnum):
    """Priority of a team's queued requests over those of other teams."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class WithoutPlatform(enum.StrEnum):
    """How to handle a non-repeatable call while it cannot be claimed.

    ``REFUSE`` answers ``not_run``. ``RUN_UNCLAIMED`` sends the call once from
    this instance without a claim. A request with the same key that arrives at
    another instance in the meantime may then run a second time.
    """

    REFUSE = "refuse"
    RUN_UNCLAIMED = "run_unclaimed"


class Signers(_Model):
    """Keys that may sign the next bundle, and how many must sign it."""

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
    """A data centre; other data centres of its region are nearby."""

    region: Name


class CallRule(_Model):
    """Matches non-repeatable calls by method and path prefix."""

    method: Annotated[str, pydantic.StringConstraints(pattern="^[A-Z]+$")]
    path: Annotated[str, pydantic.StringConstraints(pattern="^/")]


class Timeouts(_Model):
    """Time-outs of a call in seconds.

    ``idle_s`` is the maximum time without data from the backend server,
    ``queue_s`` the maximum wait before the first send, and ``total_s`` the
    maximum duration of the whole call.
    """

    connect_s: float = pydantic.Field(1.0, gt=0, le=60)
    idle_s: float = pydantic.Field(20.0, gt=0, le=3600)
    total_s: float = pydantic.Field(600.0, gt=0, le=36000)
    queue_s: float = pydantic.Field(5.0, gt=0, le=3600)


class RetryBudget(_Model):
    """Retries allowed as a ratio of first attempts, plus a burst."""

    ratio: float = pydantic.Field(0.1, ge=0, le=1)
    burst: float = pydantic.Field(10.0, ge=0, le=1000)


class Service(_Model):
    """A service: a model served by engines, or a plain service."""

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
    """A backend server: its service, data centre, address and engines."""

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
    """The complete configuration of the fleet under a version number."""

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
        path = f"backend_servers.{name}"
        if server.service not in bundle.services:
            yield (
                f"{path}.service is {server.service!r}, allowed:"
                f" {sorted(bundle.services)}"
            )
            continue
        if server.data_centre not in bundle.data_centres:
            yield (
                f"{path}.data_centre is {server.data_centre!r}, allowed:"
                f" {sorted(bundle.data_centres)}"
            )
        is_model = bundle.services[server.service].kind is ServiceKind.MODEL
        if is_model and not server.engines:
            yield f"{path}.engines is empty, allowed: one engine or more"
        if len(set(server.engines)) != len(server.engines):
            yield f"{path}.engines names an engine twice"
    owners: dict[str, str] = {}
    for name, team in bundle.teams.items():
        other = owners.setdefault(team.key_sha256, name)
        if other != name:
            yield f"teams.{name}.key_sha256 is also that of teams.{other}"


def is_name(text: str) -> bool:
    """Returns whether a string is a valid name in a bundle.

    Example:
        >>> is_name("espoo-a")
        True
    """
    return re.match(NAME_PATTERN, text) is not None
