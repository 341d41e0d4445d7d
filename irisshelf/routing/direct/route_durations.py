"""How long the requests of each route have taken lately."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from collections.abc import Callable

# A request counts for this long after its end, and at most for twice as long.
_PERIOD_S = 30.0
# Durations are counted in classes, each of which reaches to this multiple of
# the one before; the first one reaches to the least duration.
_CLASS_GROWTH = 1.25
_LEAST_S = 0.05
# Routes come and go with the configuration; above this number, those without
# recent requests are forgotten.
_MAX_ROUTES = 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class _Route:
    """Requests of a route.

    Attributes:
        period: Number of the period in which the latest request ended.
        counts: Number of requests by the class of their duration, in that
            period.
        counts_before: The same of the period before it.
        started_s: When each request in progress began, monotonic seconds.
    """

    period: int = 0
    counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    counts_before: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    started_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def advance(self, period: int) -> None:
        """Moves on to a period."""
        if period == self.period:
            return
        follows = period == self.period + 1
        self.counts_before = self.counts if follows else collections.Counter()
        self.counts = collections.Counter()
        self.period = period


class RouteDurations:
    """Records requests by the name of their route.

    Args:
        now: Monotonic seconds.

    Example:
        >>> times_s = iter([0.0, 0.5, 1.0])
        >>> durations = RouteDurations(now=lambda: next(times_s))
        >>> ticket = durations.record_start("alarm")
        >>> durations.record_end("alarm", ticket)
        >>> durations.share_longer("alarm", 0.4)
        1.0
    """

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self._routes: dict[str, _Route] = {}
        self._tickets = itertools.count()

    def record_start(self, name: str) -> int:
        """Records the start of a request; returns a number for its end."""
        if len(self._routes) >= _MAX_ROUTES and name not in self._routes:
            self._forget_unused()
        ticket = next(self._tickets)
        route = self._routes.setdefault(name, _Route())
        route.started_s[ticket] = self._now()
        return ticket

    def record_end(self, name: str, ticket: int) -> None:
        """Records the end of a request."""
        now = self._now()
        route = self._routes[name]
        duration_s = now - route.started_s.pop(ticket)
        route.advance(_period(now))
        route.counts[_class(duration_s)] += 1

    def share_longer(self, name: str, limit_s: float) -> float | None:
        """Returns the share of a route's recent requests that took longer.

        A duration counts as the longest of its class. A request in progress
        counts if it already takes longer.

        Args:
            name: Name of the route.
            limit_s: Duration in seconds.

        Returns:
            The share; None without recent requests.
        """
        route = self._routes.get(name)
        if route is None:
            return None
        now = self._now()
        route.advance(_period(now))
        counts = route.counts + route.counts_before
        longer = sum(
            count
            for number, count in counts.items()
            if _class_end_s(number) > limit_s
        )
        open_longer = sum(
            now - started_s > limit_s for started_s in route.started_s.values()
        )
        total = counts.total() + open_longer
        return (longer + open_longer) / total if total else None

    def _forget_unused(self) -> None:
        period = _period(self._now())
        self._routes = {
            name: route
            for name, route in self._routes.items()
            if route.started_s or route.period >= period - 1
        }


def _period(now: float) -> int:
    return int(now // _PERIOD_S)


def _class(duration_s: float) -> int:
    if duration_s <= _LEAST_S:
        return 0
    return math.ceil(math.log(duration_s / _LEAST_S, _CLASS_GROWTH))


def _class_end_s(number: int) -> float:
    return _LEAST_S * _CLASS_GROWTH**number
