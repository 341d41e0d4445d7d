"""Context keys: what of an engine's prefix cache a request can reuse.

A prompt is a chain of blocks, one a message. The leading system messages are
the shared history (many chats start with it), the rest belongs to the chat.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

BYTES_PER_TOKEN = 4  # A customary estimate; engines report the true count.
DEFAULT_DECODE_TOKENS = 200
_DIGEST_SIZE = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """What of a request matters for its placement.

    Attributes:
        shared_key: 64-bit hash of the shared history; 0 if there is none.
        chat_key: 64-bit hash that names the chat.
        shared_tokens: Length of the shared history.
        chat_tokens: Length of the chat so far without the last message.
        new_tokens: Length of the last message.
        decode_tokens: Tokens that the answer is expected to take.
    """

    shared_key: int
    chat_key: int
    shared_tokens: int
    chat_tokens: int
    new_tokens: int
    decode_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Length of the whole prompt."""
        return self.shared_tokens + self.chat_tokens + self.new_tokens

    @property
    def has_history(self) -> bool:
        """Whether the chat has had an answer before."""
        return self.chat_tokens > 0


def hash64(*parts: bytes) -> int:
    """Hashes some parts to 64 bits, alike on every instance.

    Example:
        >>> hash64(b"a", b"b") == hash64(b"ab")
        False
    """
    state = hashlib.blake2b(digest_size=_DIGEST_SIZE)
    for part in parts:
        state.update(len(part).to_bytes(4, "big"))
        state.update(part)
    return int.from_bytes(state.digest(), "big")


def decode_limit(body: Mapping[str, Any]) -> int:
    """Returns the caller's limit on the answer's length; 0 for none."""
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    if isinstance(limit, int) and limit > 0:
        return limit
    return 0


def from_chat(
    *, team: str, model: str, body: Mapping[str, Any], expected_decode: int
) -> Context:
    """Derives the context of a chat-completions request.

    Args:
        team: The team that asks.
        model: The service that serves the model.
        body: The decoded request; ``messages`` has been checked.
        expected_decode: Tokens to expect of the answer.

    Returns:
        The context. The chat is named by ``prompt_cache_key`` where the
        caller gives one, else by its first message that is not shared.
    """
    messages: Sequence[Mapping[str, Any]] = body["messages"]
    encoded = [_encode(message) for message in messages]
    shared_count = _leading_system(messages)
    shared = encoded[:shared_count]
    rest = encoded[shared_count:]
    shared_key = hash64(model.encode(), *shared) if shared else 0
    named = body.get("prompt_cache_key")
    if isinstance(named, str):
        first = named.encode("utf-8", "surrogatepass")
    else:
        first = b"".join(rest[:1])
    return Context(
        shared_key=shared_key,
        chat_key=hash64(
            model.encode(), team.encode(), shared_key.to_bytes(8, "big"), first
        ),
        shared_tokens=_tokens(shared),
        chat_tokens=_tokens(rest[:-1]),
        new_tokens=max(1, _tokens(rest[-1:])),
        decode_tokens=expected_decode,
    )


def _encode(message: Mapping[str, Any]) -> bytes:
    role = str(message.get("role", ""))
    content = message.get("content", "")
    # A lone surrogate is valid JSON but not UTF-8; engines decide about it.
    return f"{role}\n{content}".encode("utf-8", "surrogatepass")


def _leading_system(messages: Sequence[Mapping[str, Any]]) -> int:
    count = 0
    for message in messages:
        if message.get("role") not in ("system", "developer"):
            break
        count += 1
    return count


def _tokens(parts: Sequence[bytes]) -> int:
    return sum(len(part) for part in parts) // BYTES_PER_TOKEN
