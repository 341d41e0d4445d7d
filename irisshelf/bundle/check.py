"""Checks JSON documents against a schema and explains every error at once.

Both bundles and the daemon's settings go through ``parse``.
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
_M = TypeVar("_M", bound=pydantic.BaseModel)


def parse(
    text: str | bytes, *, model: type[_M]
) -> result.Result[_M, errors.SchemaError]:
    """Parses a JSON document into a model.

    Args:
        text: The document.
        model: The pydantic model that it must match.

    Returns:
        The model, or every field that is wrong.

    Example:
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
                        path="$", value="no JSON", allowed=f"JSON text: {exc}"
                    ),
                )
            )
        )
    return validate(document, model=model)


def validate(
    document: Any, *, model: type[_M]
) -> result.Result[_M, errors.SchemaError]:
    """Validates a decoded JSON document.

    Args:
        document: What ``json.loads`` gave.
        model: The pydantic model that it must match.

    Returns:
        The model, or every field that is wrong.

    See Also:
        parse: the same from text.
    """
    try:
        return result.Ok(model.model_validate(document))
    except pydantic.ValidationError as exc:
        found = tuple(_field_error(item, model) for item in exc.errors())
        return result.Err(errors.SchemaError(fields=found))


def _field_error(item: Any, model: type[pydantic.BaseModel]):
    loc = [part for part in item["loc"] if part != "[key]"]
    path = ".".join(str(part) for part in loc) or "$"
    if item["type"] == "extra_forbidden":
        known = _known_fields(model, loc[:-1])
        allowed = f"unknown field, allowed: {sorted(known)}"
        near = difflib.get_close_matches(str(loc[-1]), known, n=1)
        if near:
            allowed = f"unknown field, did you mean {near[0]!r}?"
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
    """Finds the fields of the object at a path inside a model."""
    current: Any = model
    for part in loc:
        current = _step(current, part)
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        return list(current.model_fields)
    return []


def _step(current: Any, part: Any) -> Any:
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        field = current.model_fields.get(str(part))
        return field.annotation if field else None
    args = getattr(current, "__args__", ())
    for arg in reversed(args):
        if isinstance(arg, type) and issubclass(arg, pydantic.BaseModel):
            return arg
    return None
