"""What a request requires of the servers that may get it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Requirements:
    """What a request requires of servers, whatever their load and health.

    Attributes:
        regions: The regions that they may be in; None for any.
        release: Key of the release that they must run, see
            ``catalog.releases``; None for any.
    """

    regions: frozenset[str] | None = None
    release: bytes | None = None


NONE = Requirements()
