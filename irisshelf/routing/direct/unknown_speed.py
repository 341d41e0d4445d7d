"""What is assumed of the speed of servers that have answered nothing yet.

A server that is new to an instance shows how fast it is only once it gets a
request. Two ways:

- *fixed*: it is assumed to take a fixed time. Beside neighbours that are faster
  than that it never gets a request, and beside slower ones it gets them all.
- *fastest*: it is assumed to be as fast as the fastest of its neighbours, for
  one request at a time; while that is on its way, as slow as the slowest.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

# The fixed time.
_FIXED_S = 0.02
# Where nobody has answered yet, any time makes them equal.
_ANY_S = 1.0


class Strategy(enum.StrEnum):
    """What is assumed."""

    FIXED = "fixed"
    FASTEST = "fastest"


def fill_unknown(
    way: Strategy, times_s: Mapping[str, float], under_way: Mapping[str, int]
) -> dict[str, float]:
    """Returns the time that each server is expected to take.

    Args:
        way: What is assumed of servers that have answered nothing.
        times_s: Average time to answer by server; 0 for those.
        under_way: Requests of this instance that each has now.

    Example:
        >>> fill_unknown(Strategy.FASTEST, {"a": 0.2, "b": 0.0}, {"a": 1, "b": 0})
        {'a': 0.2, 'b': 0.2}
    """
    known_s = [time_s for time_s in times_s.values() if time_s]
    if way is Strategy.FIXED:
        fastest_s = slowest_s = _FIXED_S
    else:
        fastest_s = min(known_s, default=_ANY_S)
        slowest_s = max(known_s, default=_ANY_S)
    return {
        name: time_s or (slowest_s if under_way[name] else fastest_s)
        for name, time_s in times_s.items()
    }
