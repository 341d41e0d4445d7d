"""Selects a backend server for a request.

Requests that share parts of a prompt go to one server in each data centre, its
first in the rendezvous ranking of the last shared part (its *home* there). All
instances compute the same ranking from the same list without messages. A server
that is added or removed moves only the parts of which it becomes or was the
home; the new home fetches them from a server that has them cached. Parts are
processed once, by the first server in the ranking of all data centres. If
responses are long in relation to the parts, the homes in other data centres
fetch the parts from there on first use, so that a data centre that is cut off
does not interrupt responses of others. A server at its load bound is skipped in
favour of the next one, which fetches the parts from it. If the servers report
slowdowns, requests for a hot part go to the next servers in its ranking before
that, see ``hot_parts``. Requests without shared parts go to the server with the
lowest expected response time.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections.abc import Callable
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import cache_locations
from irisshelf.routing.direct import cached_parts
from irisshelf.routing.direct import homes
from irisshelf.routing.direct import hot_parts
from irisshelf.routing.direct import load_bounds
from irisshelf.routing.direct import load_limits
from irisshelf.routing.direct import policy as policy_module
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import ranking
from irisshelf.routing.direct import response_time
from irisshelf.routing.direct import server_stats
from irisshelf.routing.direct import stale_load

# No server may have more requests than this multiple of its service's mean load
# (idle servers included) plus the constant, unless all servers that take
# requests have as many.
CAP_FACTOR = 2.0
CAP_EXTRA = 3.0
# A server takes requests up to a multiple of the mean load plus a constant,
# since small loads vary in whole requests. The bound is higher for prompts
# whose shared parts are expensive to move.
LOAD_FACTOR = 1.6
LOAD_EXTRA = 2.0
LONG_LOAD_FACTOR = 1.75
LONG_LOAD_EXTRA = 2.5
LONG_PREFIX_TOKENS = 2000
# If few servers take all requests, each exceeds a bound by the mean of all
# servers. Their bound is then a multiple of the mean among themselves, so that
# requests still go to the homes of their prompts.
_ACTIVE_MEAN_FACTOR = 1.1
# A server that was first sent a part this long ago has processed it and can
# serve it to others: the longest prompts, 30,000 tokens, take 0.6 s to process,
# and longer next to other requests.
PREFILL_S = 1.0


class Reason(enum.StrEnum):
    """Why a server was selected."""

    HELD = "held"
    HOME = "home"
    SPILL = "spill"
    LEAST_LOADED = "least_loaded"
    FASTEST = "fastest"
    LAST_RESORT = "last_resort"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The selected server, and what the selection is based on.

    Attributes:
        server: The server.
        reason: Why it was selected.
        load: Its estimated load, in requests; for requests without shared
            parts, the reported load of the least loaded server.
        mean_load: Mean load of its service.
        report_age_s: Age of the server's last load report.
        full: Whether one more request exceeds its load limit.
        source: A server that probably has the shared parts cached, if the
            selected one does not.
    """

    server: directory.BackendServer
    reason: Reason
    load: float
    mean_load: float
    report_age_s: float
    full: bool = False
    source: directory.BackendServer | None = None


class Chooser:
    """Selects servers of one service.

    Args:
        data_centre: The data centre of this instance.
        rng: Breaks ties.
        policy: Mechanisms that are switched on, and strategies.

    Attributes:
        is_relayed: Returns whether a server to which this instance cannot
            connect is reached through other instances.
        cached_parts: Prompt parts in the servers' caches.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        rng: random.Random,
        policy: policy_module.Policy = policy_module.DEFAULT,
    ):
        self.stats = server_stats.ServerStats(ejects=policy.rests)
        self.is_relayed: Callable[[str], bool] = lambda server_id: False
        self._policy = policy
        self._data_centre = data_centre
        self._rng = rng
        self.cached_parts = cached_parts.CachedParts(
            stats=self.stats, has_path=self._has_path, policy=policy
        )
        self.cache_locations = self.cached_parts.locations
        self.load_limits = load_limits.LoadLimits()
        self._part_rates = hot_parts.PartRates()

    def choose(
        self,
        servers: Sequence[directory.BackendServer],
        requested: prompt.Prompt,
        *,
        avoid: frozenset[str],
        now: float,
        sources: Sequence[directory.BackendServer] | None = None,
        idle: Sequence[directory.BackendServer] = (),
    ) -> Choice | None:
        """Selects a server; None if there is none.

        Args:
            servers: Servers of the service that may get the request.
            requested: The request's prompt.
            avoid: Servers that have failed this request.
            now: Time in seconds.
            sources: Servers that may serve the prompt's shared parts; by
                default the same as ``servers``.
            idle: Further servers of the service, which get no requests now. The
                load bound is a multiple of the mean over all servers.
        """
        sources = servers if sources is None else sources
        ready = _ready(servers, avoid)
        if not ready:
            return None
        available = [s for s in ready if self._is_available(s.server_id, now)]
        pool = available or ready
        if requested.affinity_key:
            choice = self._by_affinity(pool, requested, sources, idle, now)
        else:
            choice = self._fastest(pool, now)
        if not available:
            choice = dataclasses.replace(choice, reason=Reason.LAST_RESORT)
        return choice

    def _is_available(self, name: str, now: float) -> bool:
        if self.stats.is_available(name, now):
            return True
        return (
            self.stats.is_unreachable(name)
            and self.stats.handles_requests(name, now)
            and self.is_relayed(name)
        )

    def _has_path(self, name: str) -> bool:
        return not self.stats.is_unreachable(name) or self.is_relayed(name)

    def record_sent(
        self, requested: prompt.Prompt, server_id: str, now: float
    ) -> list[bytes]:
        """Records a sent prompt; see ``CachedParts.record_sent``."""
        self._part_rates.record(requested.affinity_key, now)
        return self.cached_parts.record_sent(requested, server_id, now)

    def _by_affinity(
        self,
        pool: Sequence[directory.BackendServer],
        requested: prompt.Prompt,
        sources: Sequence[directory.BackendServer],
        idle: Sequence[directory.BackendServer],
        now: float,
    ) -> Choice:
        loads = self.stats.loads([s.server_id for s in pool], now)
        total = sum(loads.values())
        total += sum(self.stats.load(s.server_id, now) for s in idle)
        mean = total / (len(loads) + len(idle))
        held = self.cached_parts.reachable_holders(
            sources, requested.affinity_key, now
        )
        ranked = self._by_preference(pool, requested, held, now)
        bounds = self._load_bounds(requested, loads, mean, now)
        part_load = total * self._hot_share(requested, now)
        server, reason = self._spread(
            bounds, ranked, held, loads, requested, part_load, now
        ) or self._first_within(bounds, ranked, held, loads, now)
        return self._choice(
            server,
            reason,
            loads[server.server_id],
            mean,
            now,
            source=self.cached_parts.source(sources, server, requested, now),
        )

    def _load_bounds(
        self,
        requested: prompt.Prompt,
        loads: dict[str, float],
        mean: float,
        now: float,
    ) -> load_bounds.LoadBounds:
        is_long = requested.shared_tokens >= LONG_PREFIX_TOKENS
        factor = LONG_LOAD_FACTOR if is_long else LOAD_FACTOR
        active_mean = sum(loads.values()) / len(loads)
        return load_bounds.LoadBounds(
            weights=self.stats.slowdowns.weights(loads, now),
            mean_multiple=factor * mean,
            active_multiple=_ACTIVE_MEAN_FACTOR * active_mean,
            extra=LONG_LOAD_EXTRA if is_long else LOAD_EXTRA,
            active_extra=LOAD_EXTRA,
            cap=CAP_FACTOR * mean + CAP_EXTRA,
        )

    def _hot_share(self, requested: prompt.Prompt, now: float) -> float:
        """Returns the share of requests for a part; 0 if it is not needed."""
        if not self.stats.slowdowns or not self._policy.load_bound:
            return 0.0
        return self._part_rates.share(requested.affinity_key, now)

    def _spread(
        self,
        bounds: load_bounds.LoadBounds,
        ranked: Sequence[directory.BackendServer],
        held: dict[str, cache_locations.CacheEntry],
        loads: dict[str, float],
        requested: prompt.Prompt,
        part_load: float,
        now: float,
    ) -> tuple[directory.BackendServer, Reason] | None:
        """Selects one of the servers of a hot part.

        A part with a home in each of several data centres gets no further ones:
        copies of it at each home's next server cost more than they save.

        Returns:
            None if the part is not hot or its servers are at their bounds.
        """
        count = hot_parts.required_servers(
            part_load, bounds.bound(ranked[0].server_id)
        )
        if count == 1 or (
            self._policy.near_homes and homes.are_several(ranked, requested)
        ):
            return None
        rank = hot_parts.choose_rank(
            (loads[server.server_id] + 1) / bounds.bound(server.server_id)
            if loads[server.server_id] + 1 <= self._load_limit(server, now)
            else math.inf
            for server in ranked[:count]
        )
        if rank is None:
            return None
        return ranked[rank], _reason(ranked[rank], rank, held)

    def _first_within(
        self,
        bounds: load_bounds.LoadBounds,
        ranked: Sequence[directory.BackendServer],
        held: dict[str, cache_locations.CacheEntry],
        loads: dict[str, float],
        now: float,
    ) -> tuple[directory.BackendServer, Reason]:
        for rank, server in enumerate(ranked):
            name = server.server_id
            limit = self._load_limit(server, now)
            if self._policy.load_bound:
                limit = min(limit, bounds.bound(name))
            if loads[name] + 1 <= limit:
                return server, _reason(server, rank, held)
        least = min(
            ranked,
            key=lambda s: bounds.excess(s.server_id, loads[s.server_id]),
        )
        return least, Reason.LEAST_LOADED

    def _by_preference(
        self,
        pool: Sequence[directory.BackendServer],
        requested: prompt.Prompt,
        held: dict[str, cache_locations.CacheEntry],
        now: float,
    ) -> list[directory.BackendServer]:
        """Sorts servers by rank, but the home in the own data centre first.

        There is such a home only once it can fetch the parts from a server.
        """
        ranked = ranking.rank(pool, requested.affinity_key)
        home = None
        if self._policy.near_homes and any(
            now - one.first_sent_s >= PREFILL_S for one in held.values()
        ):
            home = homes.home(ranked, requested, self._data_centre)
        return sorted(ranked, key=lambda server: server is not home)

    def _fastest(
        self, pool: Sequence[directory.BackendServer], now: float
    ) -> Choice:
        costs = response_time.costs(
            pool,
            self.stats,
            data_centre=self._data_centre,
            strategy=self._policy.unknown_speed,
            now=now,
        )
        spreads = self._policy.stale_load is stale_load.Strategy.SPREAD
        unreported = stale_load.estimate_unreported(costs) if spreads else 0.0
        added = stale_load.spread_unreported(costs, unreported)
        known = {one.name: one.known_requests for one in costs}
        loads = {name: known[name] + added[name] for name in known}
        mean = sum(loads.values()) / len(loads)
        # Without slowdowns, costs keep servers of equal speed below the cap.
        cap = math.inf
        if self.stats.slowdowns:
            cap = CAP_FACTOR * mean + CAP_EXTRA
        open_names = {
            server.server_id
            for server in pool
            if loads[server.server_id] + 1
            <= min(cap, self._load_limit(server, now))
        }
        open_costs = [one for one in costs if one.name in open_names]
        name = stale_load.choose(open_costs or costs, added, self._rng)
        server = next(s for s in pool if s.server_id == name)
        return dataclasses.replace(
            self._choice(server, Reason.FASTEST, loads[name], mean, now),
            # Requests are not rejected for load that is only estimated, nor for
            # a wait that is shorter at another server.
            load=min(self.stats.loads(list(known), now).values()),
        )

    def _load_limit(self, server: directory.BackendServer, now: float) -> float:
        """Returns the load limit of a server, in requests."""
        if not self._policy.full_loads:
            return math.inf
        return self.load_limits.limit(server.server_id, server.slots, now)

    def _choice(
        self,
        server: directory.BackendServer,
        reason: Reason,
        load: float,
        mean: float,
        now: float,
        *,
        source: directory.BackendServer | None = None,
    ) -> Choice:
        return Choice(
            server=server,
            reason=reason,
            load=load,
            mean_load=mean,
            full=load + 1 > self._load_limit(server, now),
            report_age_s=self.stats.report_age_s(server.server_id, now),
            source=source,
        )


def _ready(
    servers: Sequence[directory.BackendServer], avoid: frozenset[str]
) -> list[directory.BackendServer]:
    return [
        s
        for s in servers
        if s.state is directory.ServerState.READY and s.server_id not in avoid
    ]


def _reason(
    server: directory.BackendServer,
    rank: int,
    held: dict[str, cache_locations.CacheEntry],
) -> Reason:
    if server.server_id in held:
        return Reason.HELD
    return Reason.SPILL if rank else Reason.HOME
