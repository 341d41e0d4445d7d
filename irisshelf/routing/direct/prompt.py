"""The parts of a request's prompt, some of which other requests may share."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """One part of a prompt, identified by the hash of its content."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """The parts of a prompt in order; the last one is specific to the request.

    Attributes:
        parts: All parts; empty for requests without a prompt.
        max_answer_tokens: Upper limit of the response's length in tokens.
    """

    parts: tuple[Part, ...] = ()
    max_answer_tokens: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Key by which requests with the same shared parts are placed.

        The id of the last shared part; empty if there is none.
        """
        return self.parts[-2].part_id if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of the shared parts."""
        return sum(part.tokens for part in self.shared)
