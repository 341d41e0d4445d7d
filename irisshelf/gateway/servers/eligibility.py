"""Which backend servers may receive a request, whatever their load and health.

Servers in evacuated data centres receive no requests, nor do those that report
that they accept none, see ``routing.direct.availability``. Requests stay within
their regions, and cold servers receive few, see ``routing.direct.cold_start``.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.catalog import entry_doubts
from irisshelf.catalog import evacuations as evacuations_module
from irisshelf.catalog import model
from irisshelf.catalog import releases
from irisshelf.gateway import settings
from irisshelf.gateway.servers import requirements
from irisshelf.routing.direct import availability as availability_module
from irisshelf.routing.direct import cold_start


class Eligibility:
    """Determines which servers may receive requests.

    Args:
        cfg: The settings; replaced when they are reloaded.
        listed: The servers that the store lists.
        evacuations: Data centres whose servers receive no requests.
        rng: Adds jitter to the ends of backoffs.
        now: Monotonic seconds.

    Attributes:
        availability: What servers report about themselves.
        services: The services of the configuration in force, by name.
        members: Returns the names of the instances in the own data centre; none
            if they are not known well enough.
        cold: Which servers are cold.
        doubts: Servers whose entries may describe an earlier process.
        list_as_of_s: Returns when the list in use was the latest.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        listed: directory.Directory,
        evacuations: evacuations_module.Evacuations,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self.cfg = cfg
        self.availability = availability_module.Availability(rng=rng)
        self.services: Mapping[str, model.Service] = {}
        self.members: Callable[[], tuple[str, ...]] = lambda: (cfg.instance,)
        self.cold = cold_start.ColdStarts(own=cfg.instance)
        self.doubts = entry_doubts.EntryDoubts()
        self.list_as_of_s: Callable[[], float] = lambda: math.inf
        self._listed = listed
        self._evacuations = evacuations
        self._now = now

    def usable(
        self,
        service: str,
        required: requirements.Requirements = requirements.NONE,
    ) -> tuple[directory.BackendServer, ...]:
        """Returns the listed servers of a service in permitted locations.

        Some of them may accept no requests now, see ``accepting``.

        Args:
            service: The service.
            required: What the request requires.
        """
        servers = self._not_evacuated(self._listed.servers_of(service))
        if required.release is not None:
            servers = tuple(
                s for s in servers if self._runs(s, required.release)
            )
        return self._in_regions(servers, required.regions)

    def is_usable(self, server: directory.BackendServer) -> bool:
        """Returns whether a server's data centre is not evacuated."""
        return server.data_centre not in self._evacuations.active()

    def accepting(
        self,
        service: str,
        required: requirements.Requirements = requirements.NONE,
    ) -> tuple[directory.BackendServer, ...]:
        """Returns the servers of a service that accept requests now.

        Args:
            service: The service.
            required: What the request requires.
        """
        return tuple(filter(self.accepts, self.usable(service, required)))

    def accepts(self, server: directory.BackendServer) -> bool:
        """Returns whether a request may be sent to a server now."""
        return self._block(server) is None

    def meets(
        self,
        server: directory.BackendServer,
        required: requirements.Requirements,
    ) -> bool:
        """Returns whether a server still meets what a request requires.

        Its entry may have changed since the server was selected.
        """
        if required.release is None:
            return True
        listed = self._listed.get(server.entry_id)
        return listed is not None and self._runs(listed, required.release)

    def release_of(self, server: directory.BackendServer) -> bytes:
        """Returns the key of the release that a server runs.

        As long as the server's entry is in doubt, the key fits no stream.
        """
        if self.is_doubtful(server):
            return releases.unproven_key(server)
        return releases.release_key(server)

    def _runs(self, server: directory.BackendServer, release: bytes) -> bool:
        """Returns whether it is certain that a server runs a release.

        A server whose entry is in doubt runs none, not even what has begun
        there while another instance had the same doubt.
        """
        return releases.release_key(server) == release and not self.is_doubtful(
            server
        )

    def is_doubtful(self, server: directory.BackendServer) -> bool:
        """Returns whether a server's entry may describe an earlier process."""
        return self.doubts.is_doubtful(
            server.server_id, self._now(), self.list_as_of_s()
        )

    def is_leaving(self, server: directory.BackendServer) -> bool:
        """Returns whether a server has announced that it leaves."""
        departure = self.availability.departures.get(server.server_id)
        return departure is not None

    def paused(self, service: str) -> tuple[directory.BackendServer, ...]:
        """Returns the servers of a service that are in a temporary backoff."""
        return tuple(
            server
            for server in self.usable(service)
            if self._pause_s(server) is not None
        )

    def accepting_in_s(
        self,
        service: str,
        required: requirements.Requirements = requirements.NONE,
    ) -> float | None:
        """Returns how long until the first server accepts requests again.

        None if one accepts them now, or if none will as far as is known.

        Args:
            service: The service.
            required: What the request requires.
        """
        servers = self.usable(service, required)
        if any(map(self.accepts, servers)):
            return None
        pauses_s = [p for p in map(self._pause_s, servers) if p is not None]
        return min(pauses_s, default=None)

    def evacuated(self, service: str) -> tuple[directory.BackendServer, ...]:
        """Returns the listed servers of a service in evacuated data centres."""
        evacuated = self._evacuations.active()
        if not evacuated:
            return ()
        listed = self._listed.servers_of(service)
        return tuple(s for s in listed if s.data_centre in evacuated)

    def sources(
        self, service: str, regions: frozenset[str] | None = None
    ) -> tuple[directory.BackendServer, ...]:
        """Returns the listed servers that cached prompt parts may be read from.

        Args:
            service: The service.
            regions: Where the prompt may be processed; None for anywhere.
        """
        servers = self._listed.servers_of(service)
        if self._evacuations.active():
            now = self._now()
            servers = tuple(
                server
                for server in servers
                if self._evacuations.allows_cache_fetch(server.data_centre, now)
            )
        return self._in_regions(servers, regions)

    def all_evacuated_for_s(self, service: str) -> float | None:
        """Returns how long evacuations have kept all servers from requests.

        None if evacuations are not the reason.
        """
        if self.usable(service) or not self._listed.servers_of(service):
            return None
        return self._evacuations.latest_duration_s(self._now())

    def probeable(self) -> tuple[directory.BackendServer, ...]:
        """Returns the servers that may be probed."""
        return self._not_evacuated(self._listed.servers())

    def update_from_entries(
        self, changes: Iterable[directory.Change]
    ) -> tuple[directory.BackendServer, ...]:
        """Updates which servers leave or are cold from their entries.

        Returns:
            The servers that are listed as ready although they have announced
            that they leave.
        """
        now = self._now()
        contradicting = []
        for change in changes:
            server = change.server
            if self.availability.departures.observe(change, now):
                contradicting.append(server)
            if server is not None:
                self.doubts.record_entry(server)
                self.cold.record_cold_time(server.server_id, server.cold_s, now)
        return tuple(contradicting)

    def evacuation_lifted(self, data_centre: str) -> None:
        """Handles that servers of a data centre may receive requests again.

        They may have become cold just before, which no entry shows yet.
        """
        for server in self._listed.servers():
            if server.data_centre == data_centre:
                self.assume_cold(server)

    def cold_bounds(self, service: str) -> cold_start.Bounds | None:
        """Returns the request limits of cold servers; None if unlimited."""
        config = self.services.get(service)
        if config is None or not config.cold_per_s:
            return None
        bounds = self.cfg.bounds
        overage = bounds.cold_overage or 1.0
        return cold_start.Bounds(
            requests_per_s=config.cold_per_s,
            max_in_any_second=(
                config.cold_per_s * overage + (bounds.cold_slack or 0.0)
            ),
        )

    def split(
        self, service: str, servers: Sequence[directory.BackendServer]
    ) -> tuple[
        Sequence[directory.BackendServer], Sequence[directory.BackendServer]
    ]:
        """Splits a service's servers into warm and cold ones."""
        if self.cold_bounds(service) is None:
            return servers, ()
        return self.cold.split(servers, self._now())

    def cold_wait_s(self, server: directory.BackendServer) -> float:
        """Returns how long until a cold server may get a request from here.

        By then it has become warm, or it is this instance's turn.
        """
        now = self._now()
        remaining_s = self.cold.remaining_s(server.server_id, now)
        bounds = self.cold_bounds(server.service)
        if bounds is None or not remaining_s:
            return 0.0
        if server.data_centre != self.cfg.data_centre:
            return remaining_s
        turn_s = self.cold.next_send_in_s(
            server.server_id, bounds, self.members(), now
        )
        return min(remaining_s, turn_s)

    def record_sent_to_cold(self, server: directory.BackendServer) -> None:
        """Records that this instance sends a request to a cold server."""
        bounds = self.cold_bounds(server.service)
        if bounds is not None:
            count = len(self.members())
            self.cold.record_sent(server.server_id, bounds, count, self._now())

    def assume_cold(self, server: directory.BackendServer) -> None:
        """Assumes that a server is cold although no entry says so."""
        service = self.services.get(server.service)
        if service is not None:
            now = self._now()
            self.cold.assume_cold(server.server_id, service.cold_start_s, now)

    def _block(
        self, server: directory.BackendServer
    ) -> availability_module.Block | None:
        return self.availability.block(server.server_id, self._now())

    def _pause_s(self, server: directory.BackendServer) -> float | None:
        block = self._block(server)
        if block is None or math.isinf(block.remaining_s):
            return None
        return block.remaining_s

    def _in_regions(
        self,
        servers: tuple[directory.BackendServer, ...],
        regions: frozenset[str] | None,
    ) -> tuple[directory.BackendServer, ...]:
        if regions is None:
            return servers
        region_of = self.cfg.regions
        return tuple(
            s for s in servers if region_of.get(s.data_centre) in regions
        )

    def _not_evacuated(
        self, servers: tuple[directory.BackendServer, ...]
    ) -> tuple[directory.BackendServer, ...]:
        evacuated = self._evacuations.active()
        if not evacuated:
            return servers
        return tuple(s for s in servers if s.data_centre not in evacuated)
