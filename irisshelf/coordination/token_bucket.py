"""A budget of bytes that a sender enforces on itself."""

from __future__ import annotations

BUDGET_BYTES_PER_S = 1600.0  # Of 2 KB/s; the rest is polls and probes.
_BURST_S = 2.0


class TokenBucket:
    """Bytes that may be sent, as a token bucket.

    Args:
        bytes_per_s: Rate.
    """

    def __init__(self, *, bytes_per_s: float = BUDGET_BYTES_PER_S):
        self._rate = bytes_per_s
        self._left = bytes_per_s * _BURST_S
        self._at_s: float | None = None

    def has_tokens(self, now: float) -> bool:
        """Tells whether anything may be sent now."""
        if self._at_s is not None:
            grown = self._left + (now - self._at_s) * self._rate
            self._left = min(self._rate * _BURST_S, grown)
        self._at_s = now
        return self._left > 0

    def consume(self, size: int) -> None:
        """Counts bytes that were sent."""
        self._left -= size
