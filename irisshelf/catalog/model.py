"""The configuration in force: routes, services, teams and limits on callers.

A catalog is immutable; a new version replaces the whole of it. Times are in
seconds.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Mapping


class RouteKind(enum.StrEnum):
    """How often a request of a route may run, and what its answer is."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A service that takes a part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """One route.

    Attributes:
        name: Its name, for logs.
        host: The host it belongs to, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated and how answers come.
        timeout_s: Longest time that a request may be held.
        target_s: Latency objective, to the first byte of a stream.
        target_gap_s: Longest pause between events that is still in time.
        priority: 0 is the most urgent.
        split: Services by weight; at least one.
        max_attempts: Most backend servers that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another backend server.
        regions: Where its requests may be served; empty for anywhere.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    latency_target_s: float
    split: tuple[Split, ...]
    event_gap_target_s: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.SAFE:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service: a set of alike backend servers.

    Attributes:
        name: Its name.
        max_connections: Connections one server takes, from all callers.
        engine_slots: Requests a model engine batches; 0 for plain services.
        cold_start_s: How long a server is cold after its start.
        cold_per_s: Requests a second that a cold server bears; 0 if a cold one
            bears as many as others.
    """

    name: str
    max_connections: int = 0
    engine_slots: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Team:
    """A team.

    Attributes:
        name: Its name.
        priority: Goes before a route's, if there is one.
        regions: Where its requests may be served; empty for anywhere.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


def common_regions(*allowed: frozenset[str]) -> frozenset[str] | None:
    """Returns the regions that all sets allow; None for anywhere.

    An empty set allows all, so that what nothing allows is told apart.

    Example:
        >>> common_regions(frozenset({"north", "south"}), frozenset({"south"}))
        frozenset({'south'})
        >>> common_regions(frozenset(), frozenset()) is None
        True
    """
    binding = [regions for regions in allowed if regions]
    return frozenset.intersection(*binding) if binding else None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Attributes:
        head_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a request's body.
        head_s: Longest time for a head to come in.
        idle_s: Longest rest of a kept connection.
    """

    head_bytes: int = 16384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Catalog:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: Mapping[str, Team]
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, {})[route.path_prefix] = route
        return found

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path.

        Args:
            host: The host as the caller named it, with or without a port.
            path: The path without a query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def team(self, key: str) -> Team | None:
        """Returns the team that holds a key."""
        return self.teams.get(key)
