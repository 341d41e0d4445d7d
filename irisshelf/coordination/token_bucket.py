"""Token bucket by which a sender limits its own traffic."""

from __future__ import annotations

# Of an instance's 2 KB/s; the remainder is left for polls and probes.
BUDGET_BYTES_PER_S = 1600.0
_BURST_S = 2.0


class TokenBucket:
    """Limits the bytes that may be sent; one token is one byte.

    The level may become negative, as a message is counted after the check.

    Args:
        bytes_per_s: Refill rate.
        burst_s: The bucket holds what is refilled in this time.
    """

    def __init__(
        self,
        *,
        bytes_per_s: float = BUDGET_BYTES_PER_S,
        burst_s: float = _BURST_S,
    ):
        self._rate = bytes_per_s
        self._most = bytes_per_s * burst_s
        self._tokens = self._most
        self._refilled_s: float | None = None

    def has_tokens(self, now: float) -> bool:
        """Refills the bucket and returns whether anything may be sent now."""
        if self._refilled_s is not None:
            refilled = self._tokens + (now - self._refilled_s) * self._rate
            self._tokens = min(self._most, refilled)
        self._refilled_s = now
        return self._tokens > 0

    def consume(self, size: int) -> None:
        """Removes tokens for bytes that were sent."""
        self._tokens -= size
