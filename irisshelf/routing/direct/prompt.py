"""What a request tells of its prompt: parts that requests may share."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """One part of a prompt, named by the hash of its content."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """A prompt's parts in order; the last is the request's own.

    Attributes:
        parts: All parts; empty for requests without a prompt.
        max_answer_tokens: Most tokens of the answer.
    """

    parts: tuple[Part, ...] = ()
    max_answer_tokens: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Names what requests with the same shared parts have in common."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared)
