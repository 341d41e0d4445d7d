"""Validates JSON documents against a schema and reports all errors at once.

``parse`` is used for bundles and for the daemon's settings.
"""

from __future__ import annotations

import difflib
import json
from typing import Any
from typing import TypeVar

import pydantic
import result

from irisshelf.bundle import errors

_MAX_VALUE_CHARS = 80
_ModelT = TypeVar("_ModelT", bound=pydantic.BaseModel)


def parse(
    text: str | bytes, *, model: type[_ModelT]
) -> result.Result[_ModelT, errors.SchemaError]:
    """Parses a JSON document into a model.

    Args:
        text: The document.
        model: The pydantic model to validate against.

    Returns:
        The parsed model, or an error that lists all invalid fields.

    Example:
        >>> from irisshelf.bundle import schema
        >>> parse("{}", model=schema.Signers).is_err()
        True
    """
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as exc:
        return result.Err(
            errors.SchemaError(
                fields=(
                    errors.FieldError(
                        path="$",
                        value="invalid JSON",
                        allowed=f"JSON text: {exc}",
                    ),
                )
            )
        )
    return validate(document, model=model)


def validate(
    document: Any, *, model: type[_ModelT]
) -> result.Result[_ModelT, errors.SchemaError]:
    """Validates a decoded JSON document.

    Args:
        document: The result of ``json.loads``.
        model: The pydantic model to validate against.

    Returns:
        The validated model, or an error that lists all invalid fields.

    See Also:
        parse: parses and validates JSON text.
    """
    try:
        return result.Ok(model.model_validate(document))
    except pydantic.ValidationError as exc:
        fields = tuple(_field_error(item, model) for item in exc.errors())
        return result.Err(errors.SchemaError(fields=fields))


def _field_error(item: Any, model: type[pydantic.BaseModel]):
    loc = [part for part in item["loc"] if part != "[key]"]
    path = ".".join(str(part) for part in loc) or "$"
    if item["type"] == "extra_forbidden":
        known = _known_fields(model, loc[:-1])
        allowed = f"unknown field, allowed: {sorted(known)}"
        similar = difflib.get_close_matches(str(loc[-1]), known, n=1)
        if similar:
            allowed = f"unknown field, did you mean {similar[0]!r}?"
        return errors.FieldError(
            path=path, value=_shorten(item["input"]), allowed=allowed
        )
    if item["type"] == "missing":
        return errors.FieldError(
            path=path, value="nothing", allowed="this field is required"
        )
    return errors.FieldError(
        path=path, value=_shorten(item["input"]), allowed=item["msg"]
    )


def _shorten(value: Any) -> str:
    text = repr(value)
    if isinstance(value, dict | pydantic.BaseModel):
        return "an object"
    if len(text) > _MAX_VALUE_CHARS:
        return text[:_MAX_VALUE_CHARS] + "..."
    return text


def _known_fields(model: type[pydantic.BaseModel], loc: list[Any]) -> list[str]:
    """Returns the field names of the object at a path in a model."""
    current: Any = model
    for part in loc:
        current = _resolve_part(current, part)
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        return list(current.model_fields)
    return []


def _resolve_part(current: Any, part: Any) -> Any:
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        field = current.model_fields.get(str(part))
        return field.annotation if field else None
    args = getattr(current, "__args__", ())
    for arg in reversed(args):
        if isinstance(arg, type) and issubclass(arg, pydantic.BaseModel):
            return arg
    return None
