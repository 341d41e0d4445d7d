"""Assumed speed of servers that have not responded yet.

A server that is new to an instance shows its speed only with its first request.
There are two strategies:

- *fixed*: it is assumed to take a fixed time. Next to servers that are faster
  it never gets a request, and next to slower ones it gets all of them.
- *fastest*: it is assumed to be as fast as the fastest server of the service
  as long as it has no request of this instance; while it has one, as slow as
  the slowest.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

# The fixed time.
_FIXED_S = 0.02
# If no server has responded yet, any value makes all of them equal.
_ANY_S = 1.0


class Strategy(enum.StrEnum):
    """Which speed is assumed."""

    FIXED = "fixed"
    FASTEST = "fastest"


def fill_unknown(
    strategy: Strategy,
    durations_s: Mapping[str, float],
    in_flight: Mapping[str, int],
) -> dict[str, float]:
    """Returns the expected response time of each server.

    Args:
        strategy: Which speed to assume for servers that have not responded.
        durations_s: Average response time by server; 0 if it has not responded.
        in_flight: Requests that this instance has at each server now.

    Example:
        >>> in_flight = {"a": 1, "b": 0}
        >>> fill_unknown(Strategy.FASTEST, {"a": 0.2, "b": 0.0}, in_flight)
        {'a': 0.2, 'b': 0.2}
    """
    known_s = [duration_s for duration_s in durations_s.values() if duration_s]
    if strategy is Strategy.FIXED:
        fastest_s = slowest_s = _FIXED_S
    else:
        fastest_s = min(known_s, default=_ANY_S)
        slowest_s = max(known_s, default=_ANY_S)
    return {
        name: duration_s or (slowest_s if in_flight[name] else fastest_s)
        for name, duration_s in durations_s.items()
    }
