"""A decision not to send a request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A decision not to send a request.

    Attributes:
        why: The reason, for logs and the response.
        retry_after_s: When the caller should retry; None if the reason does
            not determine it.
        elsewhere: Whether the caller should retry at another instance.
    """

    why: str
    retry_after_s: float | None = None
    elsewhere: bool = False
