"""Checks the body of a chat-completions request."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import result

from irisshelf.bundle import schema
from irisshelf.daemon import http
from irisshelf.routing.owned import service

MAX_MESSAGES = 10_000


def parse(
    raw: bytes, *, services: Mapping[str, service.ServiceRouter]
) -> result.Result[dict[str, Any], http.Problem]:
    """Checks what the router needs of a body; engines check the rest.

    Args:
        raw: The body.
        services: Services of the bundle in force.

    Returns:
        The decoded body, or what is wrong with it.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        return _wrong(None, f"the body is no JSON: {exc}")
    if not isinstance(body, dict):
        return _wrong(None, f"the body is a {_kind(body)}, allowed: an object")
    model = body.get("model")
    models = sorted(
        name
        for name, router in services.items()
        if router.cfg.kind is schema.ServiceKind.MODEL
    )
    if not isinstance(model, str) or model not in models:
        return _wrong("model", f"model is {model!r}, allowed: {models}")
    if not isinstance(body.get("stream", False), bool):
        return _wrong(
            "stream", f"stream is {body['stream']!r}, allowed: true, false"
        )
    return _check_messages(body)


def _check_messages(
    body: dict[str, Any],
) -> result.Result[dict[str, Any], http.Problem]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _wrong(
            "messages",
            f"messages is a {_kind(messages)}, allowed: a list of one or more",
        )
    if len(messages) > MAX_MESSAGES:
        return _wrong(
            "messages",
            f"messages has {len(messages)} items, allowed: {MAX_MESSAGES}",
        )
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            return _wrong(
                f"messages.{index}",
                f"messages.{index} is a {_kind(message)}, allowed: an object",
            )
        if not isinstance(message.get("role"), str):
            return _wrong(
                f"messages.{index}.role",
                f"messages.{index}.role is {message.get('role')!r},"
                " allowed: a string",
            )
    return result.Ok(body)


def _kind(value: Any) -> str:
    return type(value).__name__


def _wrong(
    param: str | None, message: str
) -> result.Result[dict[str, Any], http.Problem]:
    return result.Err(
        http.Problem(
            status=400, message=message, code="invalid_value", param=param
        )
    )
