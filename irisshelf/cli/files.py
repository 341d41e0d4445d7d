"""Reads and writes bundle files, with and without signatures."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pydantic
import result

from irisshelf.bundle import check
from irisshelf.bundle import envelope
from irisshelf.bundle import schema
from irisshelf.cli import output


class SignedFile(pydantic.BaseModel):
    """Bundle and its envelope, as written by ``bundle sign``."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    envelope: envelope.Envelope
    bundle: schema.Bundle


def read_text(path: pathlib.Path) -> str:
    """Reads a text file; ends the command if that fails."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        output.fail(f"cannot read {path}: {exc}", code=output.EXIT_BAD_INPUT)


def write_text(path: pathlib.Path, text: str) -> None:
    """Writes a text file; ends the command if that fails."""
    try:
        path.write_text(text)
    except OSError as exc:
        output.fail(f"cannot write {path}: {exc}", code=output.EXIT_BAD_INPUT)


def read_bundle(path: pathlib.Path) -> schema.Bundle:
    """Reads the bundle from a plain or signed bundle file."""
    return read_signed(path).bundle


def read_signed(path: pathlib.Path) -> SignedFile:
    """Reads a bundle file; for a plain one, creates an unsigned envelope."""
    text = read_text(path)
    document = _decode(path, text)
    if isinstance(document, dict) and "envelope" in document:
        signed = _check(path, text, SignedFile)
        sealed, _ = envelope.create(signed.bundle)
        if sealed.manifest != signed.envelope.manifest:
            output.fail(
                f"{path}: the bundle was altered after it was signed",
                code=output.EXIT_REFUSED,
            )
        return signed
    bundle = _check(path, text, schema.Bundle)
    sealed, _ = envelope.create(bundle)
    return SignedFile(envelope=sealed, bundle=bundle)


def write_bundle(path: pathlib.Path, bundle: schema.Bundle) -> None:
    """Writes a plain bundle file."""
    text = json.dumps(bundle.model_dump(mode="json"), indent=2)
    write_text(path, text + "\n")


def write_signed(path: pathlib.Path, signed: SignedFile) -> None:
    """Writes a signed bundle file."""
    text = json.dumps(signed.model_dump(mode="json"), indent=2)
    write_text(path, text + "\n")


def _decode(path: pathlib.Path, text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        output.fail(f"{path} is no JSON: {exc}", code=output.EXIT_BAD_INPUT)


def _check(path: pathlib.Path, text: str, model: type) -> Any:
    checked = check.parse(text, model=model)
    if isinstance(checked, result.Err):
        output.fail(
            f"{path} is not valid:\n{checked.err_value}",
            code=output.EXIT_BAD_INPUT,
        )
    return checked.ok_value
