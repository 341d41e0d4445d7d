"""Retry-After of requests rejected in an outage of unknown length.

Such an outage is that of the store, or the evacuation of all servers.
"""

from __future__ import annotations

import random

# Callers rarely wait longer, whatever Retry-After says: a third of 12 s, the
# longest time-out among them.
_MAX_RETRY_AFTER_S = 4.0
_MIN_RETRY_AFTER_S = 0.1
# Jitter factors, so that callers do not all retry at once.
_JITTER = (0.75, 1.25)


def retry_after_s(lasted_s: float, rng: random.Random) -> float:
    """Returns after which time a caller should retry, in seconds.

    A caller retries once, so a retry that comes too early fails for good. Of
    outages of unknown length, half of those that have lasted for some time end
    before they have lasted twice as long.

    Args:
        lasted_s: How long the outage has lasted.
        rng: Source of the jitter.
    """
    return min(
        max(lasted_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S
    ) * rng.uniform(*_JITTER)
