"""Errors of the bundle layer."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class FieldError:
    """One field that is wrong: its path, the value got, what is allowed."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}; {self.allowed}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SchemaError:
    """All the fields of one document that are wrong."""

    fields: tuple[FieldError, ...]

    def __str__(self) -> str:
        return "\n".join(str(field) for field in self.fields)


class SignatureProblem(enum.StrEnum):
    """Why the signatures of a bundle do not suffice."""

    TOO_FEW = "too_few_valid_signatures"
    DIGEST = "content_does_not_match_manifest"
    MALFORMED = "malformed_envelope"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignatureError:
    """A bundle whose signatures do not make it valid."""

    problem: SignatureProblem
    detail: str

    def __str__(self) -> str:
        return f"{self.problem}: {self.detail}"
