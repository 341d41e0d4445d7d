"""Signed envelope of a bundle: the manifest and its signatures."""

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
    """A bundle's number, its note and the digests of its sections."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    format: int = pydantic.Field(ge=schema.FORMAT, le=schema.FORMAT)
    number: int = pydantic.Field(ge=1, le=2**53)
    note: str = pydantic.Field("", max_length=2000)
    sections: dict[str, schema.Sha256] = pydantic.Field(
        min_length=1, max_length=MAX_SECTIONS
    )


class Envelope(pydantic.BaseModel):
    """A manifest and its base64 signatures, keyed by signer name."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    manifest: Manifest
    signatures: dict[str, str] = {}


def create(bundle: schema.Bundle) -> tuple[Envelope, dict[str, bytes]]:
    """Creates an unsigned envelope and the sections of a bundle."""
    sections = canonical.split(bundle.model_dump(mode="json"))
    digests = {name: canonical.digest(data) for name, data in sections.items()}
    manifest = Manifest(
        format=bundle.format,
        number=bundle.number,
        note=bundle.note,
        sections=digests,
    )
    return Envelope(manifest=manifest), sections


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope as canonical bytes."""
    return canonical.encode(envelope.model_dump())


def object_key(envelope: Envelope) -> str:
    """Returns the key of an envelope in the object store."""
    short = canonical.digest(encode(envelope))[:16]
    return f"bundles/{envelope.manifest.number}-{short}"


def section_key(digest: str) -> str:
    """Returns the key of a section in the object store."""
    return SECTION_PREFIX + digest


def assemble_bundle(
    envelope: Envelope, sections: Mapping[str, bytes]
) -> result.Result[schema.Bundle, errors.SchemaError | errors.SignatureError]:
    """Verifies sections against a manifest and assembles the bundle.

    Args:
        envelope: The envelope; its signatures are not verified here.
        sections: The bytes of the sections, keyed by section name.

    Returns:
        The bundle, or why the sections do not form a valid bundle.

    See Also:
        signing.verify: verifies the signatures.
    """
    for name, digest in envelope.manifest.sections.items():
        if canonical.digest(sections.get(name, b"")) != digest:
            return result.Err(
                errors.SignatureError(
                    problem=errors.SignatureProblem.DIGEST,
                    detail=f"section {name!r} is missing or has another digest",
                )
            )
    listed = {name: sections[name] for name in envelope.manifest.sections}
    try:
        document: Any = canonical.join(
            listed, number=envelope.manifest.number, note=envelope.manifest.note
        )
    except (ValueError, AttributeError) as exc:
        return result.Err(
            errors.SignatureError(
                problem=errors.SignatureProblem.MALFORMED, detail=str(exc)
            )
        )
    return check.validate(document, model=schema.Bundle)
