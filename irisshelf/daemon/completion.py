"""What an answer's events add up to: its usage, and the whole completion."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import result

from irisshelf.backends import engine_stream
from irisshelf.routing.owned import stream


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """What the engine reported at the end of its answer."""

    prompt_tokens: int
    cached_tokens: int
    decode_tokens: int


def usage_of(event: bytes) -> Usage | None:
    """Reads the usage from an answer's last chunk; None if it has none."""
    try:
        usage = json.loads(stream.payload(event))["usage"]
        details = usage.get("prompt_tokens_details") or {}
        return Usage(
            prompt_tokens=int(usage["prompt_tokens"]),
            cached_tokens=int(details.get("cached_tokens", 0)),
            decode_tokens=int(usage["completion_tokens"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def assemble(
    parts_read: list[bytes], *, request_id: str, model: str
) -> result.Result[dict[str, Any], str]:
    """Builds a whole chat completion from an answer's events.

    Args:
        parts_read: What the stream gave, each part one event or more.
        request_id: The completion's id.
        model: The service that served it.

    Returns:
        The completion, or what is wrong with the events.
    """
    parts: list[str] = []
    reason = None
    usage = None
    try:
        events = b"".join(parts_read).split(engine_stream.EVENT_END)
        for event in events[:-1]:
            data = stream.payload(event)
            if data == stream.END_MARK:
                continue
            chunk = json.loads(data)
            choice = chunk["choices"][0]
            parts.append(choice["delta"].get("content") or "")
            reason = choice.get("finish_reason") or reason
            usage = chunk.get("usage") or usage
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as exc:
        return result.Err(f"{type(exc).__name__}: {exc}")
    message = {"role": "assistant", "content": "".join(parts)}
    return result.Ok(
        {
            "id": request_id,
            "object": "chat.completion",
            "model": model,
            "choices": [
                {"index": 0, "message": message, "finish_reason": reason}
            ],
            "usage": usage,
        }
    )
