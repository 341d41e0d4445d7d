"""Which backend servers may get a request, whatever their load and health.

Servers of evacuated data centres get nothing, nor do those that say that they
want nothing, see ``routing.direct.availability``. Requests keep to their
regions, and cold servers get few, see ``routing.direct.cold_start``.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.catalog import evacuations as evacuations_module
from irisshelf.catalog import model
from irisshelf.gateway import settings
from irisshelf.routing.direct import availability as availability_module
from irisshelf.routing.direct import cold_start


class Eligibility:
    """Tells which servers may get requests.

    Args:
        cfg: The settings; replaced when they are read anew.
        listed: The servers that the store lists.
        evacuations: Data centres whose servers get nothing.
        rng: Spreads the ends of rests.
        now: Monotonic seconds.

    Attributes:
        availability: What servers say of themselves.
        services: Of the configuration in force, by name.
        members: Names of the instances of the own data centre; none if they
            are not known well enough.
        cold: Which servers are cold.
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
        self._listed = listed
        self._evacuations = evacuations
        self._now = now

    def usable(
        self, service: str, regions: frozenset[str] | None = None
    ) -> tuple[directory.BackendServer, ...]:
        """Returns the listed servers of a service that stand where they may.

        Some of them may take no request now, see ``accepting``.

        Args:
            service: The service.
            regions: Where the request may be served; None for anywhere.
        """
        servers = self._not_evacuated(self._listed.of(service))
        return self._in_regions(servers, regions)

    def accepting(
        self, service: str, regions: frozenset[str] | None = None
    ) -> tuple[directory.BackendServer, ...]:
        """Returns the servers of a service that take requests now.

        Args:
            service: The service.
            regions: Where the request may be served; None for anywhere.
        """
        return tuple(filter(self.accepts, self.usable(service, regions)))

    def accepts(self, server: directory.BackendServer) -> bool:
        """Tells whether a request may be sent to a server now."""
        if server.state is not directory.ServerState.READY:
            return False
        return self._block(server) is None

    def is_leaving(self, server: directory.BackendServer) -> bool:
        """Tells whether a server leaves, as it or its entry says."""
        listed = self._listed.get(server.entry_id)
        return (
            listed is not None and listed.state is directory.ServerState.LEAVING
        ) or self.availability.is_leaving(server.server_id)

    def paused(self, service: str) -> tuple[directory.BackendServer, ...]:
        """Returns the servers of a service that take no request for a while."""
        return tuple(
            server
            for server in self.usable(service)
            if self._pause_s(server) is not None
        )

    def accepting_in_s(
        self, service: str, regions: frozenset[str] | None = None
    ) -> float | None:
        """Returns when the first server of a service takes requests again.

        None if one takes them now, or if none will as far as is known.

        Args:
            service: The service.
            regions: Where the request may be served; None for anywhere.
        """
        servers = self.usable(service, regions)
        if any(map(self.accepts, servers)):
            return None
        pauses_s = [p for p in map(self._pause_s, servers) if p is not None]
        return min(pauses_s, default=None)

    def evacuated(self, service: str) -> tuple[directory.BackendServer, ...]:
        """Returns the listed servers that stand in evacuated places."""
        names = self._evacuations.now()
        if not names:
            return ()
        listed = self._listed.of(service)
        return tuple(s for s in listed if s.data_centre in names)

    def sources(
        self, service: str, regions: frozenset[str] | None = None
    ) -> tuple[directory.BackendServer, ...]:
        """Returns the listed servers that may serve parts of prompts.

        Args:
            service: The service.
            regions: Where the prompt may be; None for anywhere.
        """
        servers = self._listed.of(service)
        if self._evacuations.now():
            now = self._now()
            servers = tuple(
                server
                for server in servers
                if self._evacuations.serves_parts(server.data_centre, now)
            )
        return self._in_regions(servers, regions)

    def all_evacuated_for_s(self, service: str) -> float | None:
        """Returns for how long no server may get requests for evacuations.

        None if that is not why there is none.
        """
        if self.usable(service) or not self._listed.of(service):
            return None
        return self._evacuations.lasted_s(self._now())

    def probeable(self) -> tuple[directory.BackendServer, ...]:
        """Returns the servers that may be asked for a connection."""
        return self._not_evacuated(self._listed.servers())

    def update_from_entries(self, changes: Iterable[directory.Change]) -> None:
        """Takes what servers' entries say of coldness."""
        now = self._now()
        for change in changes:
            server = change.server
            if server is not None:
                self.cold.record_cold_time(server.server_id, server.cold_s, now)

    def evacuation_lifted(self, data_centre: str) -> None:
        """Takes that a data centre's servers may get requests again.

        They may have gone cold just before, of which no entry has told yet.
        """
        for server in self._listed.servers():
            if server.data_centre == data_centre:
                self.assume_cold(server)

    def cold_bounds(self, service: str) -> cold_start.Bounds | None:
        """Returns what a cold server may get; None for as much as others."""
        known = self.services.get(service)
        if known is None or not known.cold_per_s:
            return None
        bounds = self.cfg.bounds
        overage = bounds.cold_overage or 1.0
        return cold_start.Bounds(
            requests_per_s=known.cold_per_s,
            max_in_any_second=(
                known.cold_per_s * overage + (bounds.cold_slack or 0.0)
            ),
        )

    def split(
        self, service: str, servers: Sequence[directory.BackendServer]
    ) -> tuple[
        Sequence[directory.BackendServer], Sequence[directory.BackendServer]
    ]:
        """Returns a service's servers that are warm and those that are cold."""
        if self.cold_bounds(service) is None:
            return servers, ()
        return self.cold.split(servers, self._now())

    def cold_wait_s(self, server: directory.BackendServer) -> float:
        """Returns when a cold server may get a request from here, in seconds.

        Then it has become warm, or it is the turn of this instance.
        """
        now = self._now()
        left_s = self.cold.remaining_s(server.server_id, now)
        bounds = self.cold_bounds(server.service)
        if bounds is None or not left_s:
            return 0.0
        if server.data_centre != self.cfg.data_centre:
            return left_s
        turn_s = self.cold.next_send_in_s(
            server.server_id, bounds, self.members(), now
        )
        return min(left_s, turn_s)

    def record_sent_to_cold(self, server: directory.BackendServer) -> None:
        """Takes that a server that is cold gets a request from here."""
        bounds = self.cold_bounds(server.service)
        if bounds is not None:
            count = len(self.members())
            self.cold.record_sent(server.server_id, bounds, count, self._now())

    def assume_cold(self, server: directory.BackendServer) -> None:
        """Takes that a server may be cold, though it has not said so."""
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
        ready = server.state is directory.ServerState.READY
        if not ready or block is None or math.isinf(block.remaining_s):
            return None
        return block.remaining_s

    def _in_regions(
        self,
        servers: tuple[directory.BackendServer, ...],
        regions: frozenset[str] | None,
    ) -> tuple[directory.BackendServer, ...]:
        if regions is None:
            return servers
        where = self.cfg.regions
        return tuple(s for s in servers if where.get(s.data_centre) in regions)

    def _not_evacuated(
        self, servers: tuple[directory.BackendServer, ...]
    ) -> tuple[directory.BackendServer, ...]:
        evacuated = self._evacuations.now()
        if not evacuated:
            return servers
        return tuple(s for s in servers if s.data_centre not in evacuated)
