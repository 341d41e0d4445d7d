"""Context keys: the parts of an engine's prefix cache a request can reuse.

A prompt is a sequence of blocks, one per message. The leading system messages
form the shared history, with which many chats start; the rest belongs to the
chat.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

BYTES_PER_TOKEN = 4  # Common estimate; engines report the exact count.
DEFAULT_DECODE_TOKENS = 200
_DIGEST_SIZE = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """The properties of a request that determine its placement.

    Attributes:
        shared_key: 64-bit hash of the shared history; 0 if there is none.
        chat_key: 64-bit hash that identifies the chat.
        shared_tokens: Length of the shared history in tokens.
        chat_tokens: Length of the chat without its last message, in tokens.
        new_tokens: Length of the last message in tokens.
        decode_tokens: Expected length of the answer in tokens.
    """

    shared_key: int
    chat_key: int
    shared_tokens: int
    chat_tokens: int
    new_tokens: int
    decode_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Length of the complete prompt in tokens."""
        return self.shared_tokens + self.chat_tokens + self.new_tokens

    @property
    def has_history(self) -> bool:
        """Whether the chat has earlier messages."""
        return self.chat_tokens > 0


def hash64(*parts: bytes) -> int:
    """Returns a 64-bit hash of a sequence, identical on every instance.

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
    """Returns the caller's limit on the answer length; 0 if there is none."""
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    if isinstance(limit, int) and limit > 0:
        return limit
    return 0


def from_chat(
    *, team: str, model: str, body: Mapping[str, Any], expected_decode: int
) -> Context:
    """Derives the context of a chat-completions request.

    Args:
        team: The caller's team.
        model: The service that serves the model.
        body: The decoded request, with validated ``messages``.
        expected_decode: Expected length of the answer in tokens.

    Returns:
        The context. The chat is identified by ``prompt_cache_key`` if the
        caller sets it, else by the first message after the shared history.
    """
    messages: Sequence[Mapping[str, Any]] = body["messages"]
    encoded = [_encode(message) for message in messages]
    shared_count = _count_leading_system(messages)
    shared = encoded[:shared_count]
    chat = encoded[shared_count:]
    shared_key = hash64(model.encode(), *shared) if shared else 0
    cache_key = body.get("prompt_cache_key")
    if isinstance(cache_key, str):
        chat_id = cache_key.encode("utf-8", "surrogatepass")
    else:
        chat_id = b"".join(chat[:1])
    return Context(
        shared_key=shared_key,
        chat_key=hash64(
            model.encode(),
            team.encode(),
            shared_key.to_bytes(8, "big"),
            chat_id,
        ),
        shared_tokens=_tokens(shared),
        chat_tokens=_tokens(chat[:-1]),
        new_tokens=max(1, _tokens(chat[-1:])),
        decode_tokens=expected_decode,
    )


def _encode(message: Mapping[str, Any]) -> bytes:
    role = str(message.get("role", ""))
    content = message.get("content", "")
    # An unpaired surrogate is valid in JSON but cannot be encoded in UTF-8.
    # Whether to accept it is left to the engines.
    return f"{role}\n{content}".encode("utf-8", "surrogatepass")


def _count_leading_system(messages: Sequence[Mapping[str, Any]]) -> int:
    count = 0
    for message in messages:
        if message.get("role") not in ("system", "developer"):
            break
        count += 1
    return count


def _tokens(parts: Sequence[bytes]) -> int:
    return sum(len(part) for part in parts) // BYTES_PER_TOKEN
