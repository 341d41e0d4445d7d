"""Settings of one daemon, a JSON file checked by a schema."""

from __future__ import annotations

import os
import pathlib
from collections.abc import Mapping
from typing import Literal

import pydantic
import result

from irisshelf.bundle import check
from irisshelf.bundle import errors
from irisshelf.bundle import schema
from irisshelf.peers import errors as peer_errors
from irisshelf.peers import tls


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


class KeySource(_Model):
    """Where a key stands: in the settings, a file or the environment."""

    value: str | None = None
    file: str | None = None
    env: str | None = None

    @pydantic.model_validator(mode="after")
    def _exactly_one(self) -> KeySource:
        given = [n for n in ("value", "file", "env") if getattr(self, n)]
        if len(given) != 1:
            raise ValueError(
                f"{given or 'none'} given, allowed: exactly one of"
                " 'value', 'file', 'env'"
            )
        return self

    def load(self, environ: Mapping[str, str] = os.environ) -> str:
        """Returns the key.

        Raises:
            ValueError: The file or environment variable cannot be read.
        """
        if self.value is not None:
            return self.value.strip()
        if self.env is not None:
            if self.env not in environ:
                raise ValueError(f"environment has no variable {self.env!r}")
            return environ[self.env].strip()
        try:
            return pathlib.Path(str(self.file)).read_text().strip()
        except OSError as exc:
            raise ValueError(f"cannot read file {self.file!r}: {exc}") from exc


class Platform(_Model):
    """Where the platform is, and how long to wait for it."""

    address: schema.Address
    timeout_s: float = pydantic.Field(2.0, gt=0, le=60)


class Operators(_Model):
    """Whose signatures this daemon accepts on any bundle."""

    required: int = pydantic.Field(1, ge=1, le=16)
    keys: dict[schema.Name, KeySource] = pydantic.Field(min_length=1)


class PeersTls(_Model):
    """Paths of PEM files for TLS between instances."""

    authority: str
    certificate: str
    key: str

    def files(self) -> tls.Files:
        """Returns the paths for the peers layer."""
        return tls.Files(
            authority=self.authority,
            certificate=self.certificate,
            key=self.key,
        )


class Peers(_Model):
    """How instances reach each other.

    Attributes:
        link_listen: Where the exchange between instances comes in.
        relay_listen: Where requests come in that other instances forward.
        secret: What all instances of the fleet know.
        tls: Certificates for links and relays; without, they are plain TCP.
    """

    link_listen: schema.Address
    relay_listen: schema.Address
    secret: KeySource
    tls: PeersTls | None = None


class Limits(_Model):
    """Limits towards callers."""

    max_connections: int = pydantic.Field(2000, ge=1, le=100_000)
    caller_timeout_s: float = pydantic.Field(30.0, gt=0, le=600)
    drain_s: float = pydantic.Field(60.0, gt=0, le=3600)


class Pace(_Model):
    """How often the daemon looks at what it depends on, in seconds."""

    head_poll_s: float = pydantic.Field(5.0, gt=0, le=60)
    nodes_poll_s: float = pydantic.Field(2.0, gt=0, le=60)
    probe_s: float = pydantic.Field(2.0, gt=0, le=60)


class Settings(_Model):
    """All settings of one daemon."""

    instance: schema.Name
    data_centre: schema.Name
    listen: schema.Address
    admin_listen: schema.Address
    platform: Platform
    operators: Operators
    peers: Peers
    limits: Limits = Limits()
    pace: Pace = Pace()
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def load(
    path: str | pathlib.Path,
) -> result.Result[Settings, errors.SchemaError]:
    """Reads and checks a settings file, and that its keys can be read."""
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        return _error(str(path), "no readable file", str(exc))
    parsed = check.parse(text, model=Settings)
    if isinstance(parsed, result.Err):
        return parsed
    cfg = parsed.ok_value
    sources = {f"operators.keys.{n}": s for n, s in cfg.operators.keys.items()}
    sources["peers.secret"] = cfg.peers.secret
    for name, source in sources.items():
        try:
            source.load()
        except ValueError as exc:
            return _error(name, "no key", str(exc))
    if cfg.peers.tls is not None:
        try:
            tls.server_context(cfg.peers.tls.files())
        except peer_errors.LinkError as exc:
            return _error("peers.tls", "unfit files", str(exc))
    return parsed


def _error(path: str, value: str, allowed: str):
    field = errors.FieldError(path=path, value=value, allowed=allowed)
    return result.Err(errors.SchemaError(fields=(field,)))
