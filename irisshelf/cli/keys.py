"""Commands on keys."""

from __future__ import annotations

import hashlib
import os
import pathlib
import secrets
from typing import Annotated

import typer

from irisshelf.bundle import signing
from irisshelf.cli import output
from irisshelf.cli import remote

app = typer.Typer(no_args_is_help=True, help="Make keys.")
_PRIVATE_MODE = 0o600
_TEAM_KEY_BYTES = 32


@app.command("new", epilog="Example: irisshelf keys new --out anna.pem")
def new_command(
    out: Annotated[
        pathlib.Path, typer.Option("--out", help="File for the private key.")
    ],
    as_json: remote.JsonOption = False,
):
    """Makes an operator's key pair; prints the public key."""
    private_pem = signing.generate_key()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with open(os.open(out, flags, _PRIVATE_MODE), "wb") as file:
            file.write(private_pem)
    except OSError as exc:
        output.fail(f"cannot write {out}: {exc}", code=output.EXIT_BAD_INPUT)
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
