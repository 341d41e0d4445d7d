"""Commands that create keys and certificates."""

from __future__ import annotations

import datetime
import hashlib
import os
import pathlib
import secrets
from typing import Annotated

import typer

from irisshelf.bundle import signing
from irisshelf.cli import files
from irisshelf.cli import output
from irisshelf.cli import remote
from irisshelf.peers import authority

app = typer.Typer(no_args_is_help=True, help="Make keys.")
_PRIVATE_MODE = 0o600
_TEAM_KEY_BYTES = 32
_AUTHORITY_CERTIFICATE = "authority.crt"
_AUTHORITY_KEY = "authority.key"


@app.command("new", epilog="Example: irisshelf keys new --out anna.pem")
def new_command(
    out: Annotated[
        pathlib.Path, typer.Option("--out", help="File for the private key.")
    ],
    as_json: remote.JsonOption = False,
):
    """Makes an operator's key pair; prints the public key."""
    private_pem = signing.generate_key()
    _write_new(out, private_pem)
    public = signing.public_key(private_pem)
    output.show(public, {"public_key": public}, as_json=as_json)


@app.command("team", epilog="Example: irisshelf keys team")
def team_command(as_json: remote.JsonOption = False):
    """Makes a team's bearer key; prints it and the hash for the bundle."""
    key = secrets.token_urlsafe(_TEAM_KEY_BYTES)
    hashed = hashlib.sha256(key.encode()).hexdigest()
    output.show(
        f"key: {key}\nkey_sha256: {hashed}",
        {"key": key, "key_sha256": hashed},
        as_json=as_json,
    )


@app.command(
    "authority", epilog="Example: irisshelf keys authority --out fleet"
)
def authority_command(
    out: Annotated[
        pathlib.Path, typer.Option("--out", help="Folder for its files.")
    ],
):
    """Makes a certificate authority for the instances of one fleet.

    Keep its key away from instances: whoever has it can make one.
    """
    created = authority.make_authority(name="irisshelf fleet", now=_now())
    _make_directory(out)
    _write_new(out / _AUTHORITY_CERTIFICATE, created.certificate)
    _write_new(out / _AUTHORITY_KEY, created.key)
    typer.echo(f"{out}: {_AUTHORITY_CERTIFICATE}, {_AUTHORITY_KEY}")


@app.command(
    "instance",
    epilog="Example: irisshelf keys instance espoo-a-1 --authority fleet"
    " --out espoo-a-1",
)
def instance_command(
    name: Annotated[str, typer.Argument(help="The instance's name.")],
    authority_dir: Annotated[
        pathlib.Path, typer.Option("--authority", help="Authority's folder.")
    ],
    out: Annotated[
        pathlib.Path, typer.Option("--out", help="Folder for its files.")
    ],
):
    """Issues a certificate for one instance, for 90 days."""
    issuer = authority.Issued(
        certificate=files.read_text(
            authority_dir / _AUTHORITY_CERTIFICATE
        ).encode(),
        key=files.read_text(authority_dir / _AUTHORITY_KEY).encode(),
    )
    try:
        issued = authority.issue(issuer, name=name, now=_now())
    except ValueError as exc:
        output.fail(
            f"--authority {authority_dir}: {exc}", code=output.EXIT_BAD_INPUT
        )
    _make_directory(out)
    _write_new(out / "instance.crt", issued.certificate)
    _write_new(out / "instance.key", issued.key)
    typer.echo(f"{out}: instance.crt, instance.key")


def _now() -> datetime.datetime:
    return datetime.datetime.now(tz=datetime.UTC)


def _make_directory(path: pathlib.Path) -> None:
    try:
        path.mkdir(parents=True, exist_ok=True)
    except OSError as exc:
        output.fail(f"cannot make {path}: {exc}", code=output.EXIT_BAD_INPUT)


def _write_new(path: pathlib.Path, data: bytes) -> None:
    """Writes a file readable only by its owner; never overwrites a file."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with open(os.open(path, flags, _PRIVATE_MODE), "wb") as file:
            file.write(data)
    except OSError as exc:
        output.fail(f"cannot write {path}: {exc}", code=output.EXIT_BAD_INPUT)
