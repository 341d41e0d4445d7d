"""The signed envelope of a bundle: a manifest and its signatures."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import pydantic
import result

from irisshelf.bundle import canonical
from irisshelf.bundle import check
from irisshelf.bundle import errors
from irisshelf.bundle import schema

SECTION_PREFIX = "bundles/sections/"
MAX_SECTIONS = 4096


class Manifest(pydantic.BaseModel):
    """Names a bundle's number, note and sections by digest."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    format: int = pydantic.Field(ge=schema.FORMAT, le=schema.FORMAT)
    number: int = pydantic.Field(ge=1, le=2**53)
    note: str = pydantic.Field("", max_length=2000)
    sections: dict[str, schema.Sha256] = pydantic.Field(
        min_length=1, max_length=MAX_SECTIONS
    )


class Envelope(pydantic.BaseModel):
    """A manifest with base64 signatures by signer's name."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    manifest: Manifest
    signatures: dict[str, str] = {}


def create(bundle: schema.Bundle) -> tuple[Envelope, dict[str, bytes]]:
    """Makes an unsigned envelope and the sections of a bundle."""
    sections = canonical.split(bundle.model_dump(mode="json"))
    digests = {name: canonical.digest(data) for name, data in sections.items()}
    manifest = Manifest(
        format=bundle.format,
        number=bundle.number,
        note=bundle.note,
        sections=digests,
    )
    return Envelope(manifest=manifest), sections


def encode(sealed: Envelope) -> bytes:
    """Encodes an envelope as canonical bytes."""
    return canonical.encode(sealed.model_dump())


def object_key(sealed: Envelope) -> str:
    """Returns the object store's key for an envelope."""
    short = canonical.digest(encode(sealed))[:16]
    return f"bundles/{sealed.manifest.number}-{short}"


def section_key(digest: str) -> str:
    """Returns the object store's key for a section."""
    return SECTION_PREFIX + digest


def assemble_bundle(
    sealed: Envelope, sections: Mapping[str, bytes]
) -> result.Result[schema.Bundle, errors.SchemaError | errors.SignatureError]:
    """Checks sections against a manifest and builds the bundle.

    Args:
        sealed: The envelope; its signatures are checked elsewhere.
        sections: The bytes of each section by name.

    Returns:
        The bundle, or the digest or schema error that stops it.

    See Also:
        signing.verify: checks the signatures.
    """
    for name, digest in sealed.manifest.sections.items():
        if canonical.digest(sections.get(name, b"")) != digest:
            return result.Err(
                errors.SignatureError(
                    problem=errors.SignatureProblem.DIGEST,
                    detail=f"section {name!r} is missing or altered",
                )
            )
    listed = {name: sections[name] for name in sealed.manifest.sections}
    try:
        document: Any = canonical.join(
            listed, number=sealed.manifest.number, note=sealed.manifest.note
        )
    except (ValueError, AttributeError) as exc:
        return result.Err(
            errors.SignatureError(
                problem=errors.SignatureProblem.MALFORMED, detail=str(exc)
            )
        )
    return check.validate(document, model=schema.Bundle)
