"""Servers that have a prompt's shared parts cached, and can serve them."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import cache_locations
from irisshelf.routing.direct import fetch_source
from irisshelf.routing.direct import policy as policy_module
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_stats

# A choice must not look at all servers of a large service each time.
_SUMMARY_LIFE_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _DataCentre:
    """The servers of a data centre, and when one of them last reported."""

    servers: int = 0
    latest_s: float = -math.inf


class CachedParts:
    """Shared prompt parts in the caches of one service's servers.

    Args:
        stats: Statistics of the servers.
        has_path: Returns whether a server can be reached.
        policy: Mechanisms that are switched on, and strategies.

    Attributes:
        locations: Which servers are assumed to have which parts.
        avoids_silent: Returns whether no parts are fetched from a data centre
            whose servers have reported nothing lately. Such a fetch delays the
            request until the selected server gives it up.
    """

    def __init__(
        self,
        *,
        stats: server_stats.ServerStats,
        has_path: Callable[[str], bool],
        policy: policy_module.Policy,
    ):
        self.locations = cache_locations.CacheLocations()
        self.avoids_silent: Callable[[], bool] = lambda: False
        self._summary: dict[str, _DataCentre] = {}
        self._summary_s = -math.inf
        self._stats = stats
        self._has_path = has_path
        self._policy = policy

    def record_sent(
        self, requested: prompt.Prompt, server_id: str, now: float
    ) -> list[bytes]:
        """Records that a server caches a prompt's shared parts.

        Returns:
            Keys of the parts to announce to other instances.
        """
        keys = [
            cache_locations.part_key(part.part_id) for part in requested.shared
        ]
        for key in keys:
            self.locations.record(key, server_id, now)
        return [
            k for k in keys if self.locations.should_announce(k, server_id, now)
        ]

    def reachable_holders(
        self,
        servers: Sequence[directory.BackendServer],
        part_id: str,
        now: float,
    ) -> dict[str, cache_locations.CacheEntry]:
        """Returns the servers that have a part cached and can serve it.

        Servers that are shutting down can, and so can those that are ejected
        because they fail requests.
        """
        listed = {s.server_id for s in servers}
        held = self._holders_of(part_id, now)
        return {
            name: one
            for name, one in held.items()
            if name in listed and self._has_path(name)
        }

    def source(
        self,
        servers: Sequence[directory.BackendServer],
        selected: directory.BackendServer,
        requested: prompt.Prompt,
        now: float,
    ) -> directory.BackendServer | None:
        """Returns a server that may have the parts the selected one lacks.

        Servers that are shutting down still serve fetches. A cache is readable
        only to servers of the version that wrote it.

        Args:
            servers: Servers that may serve the parts.
            selected: The server selected for the request.
            requested: The request's prompt.
            now: Time in seconds.
        """
        if not self._policy.fetches:
            return None
        if selected.server_id in self._holders_of(requested.affinity_key, now):
            # No strategy names a source then; most requests end here.
            return None
        others = [
            s
            for s in servers
            if s.server_id != selected.server_id
            and s.version == selected.version
            and s.version is not None
            and self._has_path(s.server_id)
        ]
        while True:
            found = fetch_source.choose(
                self._policy.sources,
                others,
                selected,
                requested,
                lambda part_id: self._holders_of(part_id, now),
                lambda part_id: self._former_holders_of(part_id, now),
            )
            if found is None or not self._is_silent(found, servers, now):
                return found
            cut_off = found.data_centre
            others = [s for s in others if s.data_centre != cut_off]

    def _is_silent(
        self,
        server: directory.BackendServer,
        servers: Sequence[directory.BackendServer],
        now: float,
    ) -> bool:
        """Returns whether a server's data centre seems to be cut off.

        A single server's silence does not count: one that gets few requests
        reports as seldom as one that has failed.
        """
        if not self.avoids_silent():
            return False
        rate = self._stats.report_rate
        if now - self._summary_s > _SUMMARY_LIFE_S:
            self._summary_s = now
            self._summary = self._summarise(servers)
        known = self._summary.get(server.data_centre)
        return known is not None and rate.is_silent(
            now - known.latest_s, len(servers) / known.servers, now
        )

    def _summarise(
        self, servers: Sequence[directory.BackendServer]
    ) -> dict[str, _DataCentre]:
        """Returns when a server of each data centre last reported."""
        found: dict[str, _DataCentre] = {}
        for server in servers:
            known = found.get(server.data_centre, _DataCentre())
            reported_s = self._stats.reported_s(server.server_id)
            found[server.data_centre] = _DataCentre(
                servers=known.servers + 1,
                latest_s=max(known.latest_s, reported_s),
            )
        return found

    def _holders_of(
        self, part_id: str, now: float
    ) -> dict[str, cache_locations.CacheEntry]:
        return self.locations.holders(cache_locations.part_key(part_id), now)

    def _former_holders_of(
        self, part_id: str, now: float
    ) -> dict[str, cache_locations.CacheEntry]:
        if not self._stats.slowdowns:
            return {}
        key = cache_locations.part_key(part_id)
        return self.locations.former_holders(key, now)
