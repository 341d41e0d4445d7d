"""Errors found when bundles are validated."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class FieldError:
    """An invalid field: its path, its value and what is allowed."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}; {self.allowed}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SchemaError:
    """All invalid fields of a document."""

    fields: tuple[FieldError, ...]

    def __str__(self) -> str:
        return "\n".join(str(field) for field in self.fields)


class SignatureProblem(enum.StrEnum):
    """Why a bundle could not be verified."""

    TOO_FEW = "too_few_valid_signatures"
    DIGEST = "content_does_not_match_manifest"
    MALFORMED = "malformed_envelope"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignatureError:
    """A bundle that could not be verified against its signed manifest."""

    problem: SignatureProblem
    detail: str

    def __str__(self) -> str:
        return f"{self.problem}: {self.detail}"
