"""When callers come back who are refused for something of unknown length.

The store is away, or all servers are evacuated.
"""

from __future__ import annotations

import random

# Callers hardly wait longer, whatever they are told: a third of the 12 s that
# the most patient ones have.
_LONGEST_S = 4.0
_SHORTEST_S = 0.1
# So that they do not all come back at once.
_SPREAD = (0.75, 1.25)


def retry_after_s(lasted_s: float, rng: random.Random) -> float:
    """Returns when to come back, in seconds.

    A caller tries once more, so that coming back too early is to be refused
    for good. Of outages of unknown length, half of those that have lasted for
    some time end before they have lasted twice as long.

    Args:
        lasted_s: How long it has lasted.
        rng: Spreads callers.
    """
    return min(max(lasted_s, _SHORTEST_S), _LONGEST_S) * rng.uniform(*_SPREAD)
