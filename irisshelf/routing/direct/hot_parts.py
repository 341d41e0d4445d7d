"""Shared prompt parts whose requests are too many for one server.

The home of such a part reaches its load bound, and the requests for its other
parts then move those to other servers. A hot part therefore gets further
servers before that, the next ones in its ranking, in proportion to its load.
Instances that see about the same share of requests for the part select the same
servers.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

# Share of a server's load bound that the requests for a hot part may take; the
# rest is for the other parts of which the server is the home.
MAX_BOUND_SHARE = 0.5
# The popularity of parts changes within seconds; requests last about one.
_HALF_LIFE_S = 4.0
# A share of the requests of an instance that sends few is not known well.
_MIN_COUNT = 2.0
_MAX_PARTS = 5_000


def required_servers(part_load: float, bound: float) -> int:
    """Returns how many servers the requests for a part need.

    Args:
        part_load: Requests for the part at all servers.
        bound: The load bound of its home, in requests.

    Returns:
        One for a part that is not hot. Others get one server more than their
        load requires, since their requests vary and loads are known late.

    Example:
        >>> required_servers(4.0, 10.0), required_servers(12.0, 10.0)
        (1, 4)
    """
    required = part_load / (MAX_BOUND_SHARE * bound)
    return 1 if required <= 1 else 1 + math.ceil(required)


def choose_rank(bound_shares: Iterable[float]) -> int | None:
    """Selects one of a hot part's servers.

    Args:
        bound_shares: Their loads with one more request, as shares of their
            bounds, by rank; infinite for servers that must not get it.

    Returns:
        The rank of the first one below the share that the part may take, or
        else of the one with the lowest share; None if all are at their bounds.

    Example:
        >>> choose_rank([0.8, 0.4, 0.1]), choose_rank([0.8, 0.7])
        (1, 1)
        >>> choose_rank([1.2, 1.1]) is None
        True
    """
    least_rank, least = None, math.inf
    for rank, share in enumerate(bound_shares):
        if share <= MAX_BOUND_SHARE:
            return rank
        if share < least:
            least_rank, least = rank, share
    return least_rank if least <= 1 else None


class PartRates:
    """Exponentially decayed counts of an instance's requests by shared part."""

    def __init__(self):
        self._total = 0.0
        self._total_s = -math.inf
        # Count and time of the latest request, the least recently used first.
        self._counts: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def record(self, part_id: str, now: float) -> None:
        """Counts a request.

        Args:
            part_id: Its last shared part; empty if it has none.
            now: Time in seconds.
        """
        self._total = 1.0 + self._total * _weight(now - self._total_s)
        self._total_s = now
        if not part_id:
            return
        count, at_s = self._counts.get(part_id, (0.0, now))
        self._counts[part_id] = (1.0 + count * _weight(now - at_s), now)
        self._counts.move_to_end(part_id)
        if len(self._counts) > _MAX_PARTS:
            self._counts.popitem(last=False)

    def share(self, part_id: str, now: float) -> float:
        """Returns the share of the requests that are for a part, from 0 to 1.

        0 for parts with few recent requests.

        Example:
            >>> rates = PartRates()
            >>> for part in ("a", "b", "b", "b", "b", "b", "b", "b"):
            ...     rates.record(part, 1.0)
            >>> rates.share("b", 2.0), rates.share("a", 2.0)
            (0.875, 0.0)
        """
        count, at_s = self._counts.get(part_id, (0.0, now))
        count *= _weight(now - at_s)
        if count < _MIN_COUNT:
            return 0.0
        return count / (self._total * _weight(now - self._total_s))


def _weight(age_s: float) -> float:
    return 0.5 ** (max(0.0, age_s) / _HALF_LIFE_S)
