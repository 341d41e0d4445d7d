"""The configuration in force: routes, services, teams and limits on callers.

A catalog is immutable and is replaced as a whole by a new version. Times are in
seconds.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Mapping


class RouteKind(enum.StrEnum):
    """Whether a route's requests may be repeated, and its type of response."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route from a host and path prefix to services.

    Attributes:
        name: Name used in logs.
        host: Host name in lower case.
        path_prefix: Begins and ends with a slash.
        kind: Whether requests may be repeated, and the type of response.
        timeout_s: Maximum time to process a request.
        latency_target_s: Latency objective; for streams, to the first byte.
        event_gap_target_s: Objective for the longest pause between two events
            of a stream.
        priority: 0 is the most urgent.
        split: Services with their weights; at least one.
        max_attempts: Maximum number of backend servers that may run a request;
            those that reject it as not run are left out.
        public: Whether requests need no key.
        resumable: Whether a stream may be resumed on another backend server.
        regions: Regions in which requests may be served; empty for all.
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
        """Whether a request that may already have run may be sent again."""
        if self.kind is RouteKind.SAFE:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service: a set of interchangeable backend servers.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that a server accepts
            from all callers together.
        engine_slots: Number of requests in a batch of a model engine; 0 for
            plain services.
        cold_start_s: Duration for which a server is cold after its start.
        cold_per_s: Requests per second that a cold server can handle; 0 if a
            cold server can handle as many as a warm one.
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
        name: Name of the team.
        priority: Overrides the priority of the route; None to use the route's.
        regions: Regions in which requests may be served; empty for all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


def common_regions(*allowed: frozenset[str]) -> frozenset[str] | None:
    """Returns the regions that all sets allow; None for all regions.

    An empty argument allows all regions, whereas an empty result allows none.

    Example:
        >>> common_regions(frozenset({"north", "south"}), frozenset({"south"}))
        frozenset({'south'})
        >>> common_regions(frozenset(), frozenset()) is None
        True
    """
    restricted = [regions for regions in allowed if regions]
    return frozenset.intersection(*restricted) if restricted else None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_s: Maximum time to receive a request head.
        idle_s: Maximum idle time of a keep-alive connection.
    """

    head_bytes: int = 16384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Catalog:
    """A complete version of the configuration.

    Attributes:
        version: Its version.
        routes: All routes.
        services: The services by name.
        teams: All teams, also those without a key; None if the configuration
            does not mention teams.
        keys: The team of each valid key.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams: tuple[Team, ...] | None
    keys: Mapping[str, Team]
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.path_prefix] = route
        return by_host

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path.

        Args:
            host: The host given by the caller, with or without a port.
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

    @property
    def longest_stream_s(self) -> float:
        """The longest time-out of a route with streams; 0 if there is none."""
        return max(
            (
                route.timeout_s
                for route in self.routes
                if route.kind is RouteKind.STREAMING
            ),
            default=0.0,
        )

    def team(self, key: str) -> Team | None:
        """Returns the team to which a key belongs; an empty key has none."""
        return self.keys.get(key) if key else None

    def needs_key(self, route: Route, key: str, *, keys_required: bool) -> bool:
        """Returns whether a request runs only if its key is valid.

        Teams that have lost their last key are still teams: withdrawing it must
        not open their routes.

        Args:
            route: The route of the request.
            key: The key of the request; empty if it has none.
            keys_required: Whether callers of this deployment have keys; if not,
                only the teams of a configuration show that they do.
        """
        if route.public:
            return False
        if self.teams or not keys_required:
            return bool(self.teams)
        return self.teams is not None or bool(key)
