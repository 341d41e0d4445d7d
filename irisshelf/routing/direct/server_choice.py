"""Chooses a backend server for a request.

Requests that share the parts of a prompt belong to one server a data centre,
its first in the rendezvous ranking of the last shared part: every instance
ranks alike from the same list without messages, and a server that comes or goes
moves only the parts that were, or are to be, its own; whoever takes parts over
fetches them from a holder. Parts are read once, by the first in the ranking of
all. Where answers are long against the parts, other data centres' homes fetch
them from there when they first need them, so that a data centre that is cut off
takes no answers of others with it. A server at its load bound passes its turn
to the next, which fetches the parts from it. Requests without shared parts go
to the server that is expected to answer first.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import math
import random
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import cache_locations
from irisshelf.routing.direct import fetch_source
from irisshelf.routing.direct import load_limits
from irisshelf.routing.direct import policy as policy_module
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import ranking
from irisshelf.routing.direct import response_time
from irisshelf.routing.direct import server_stats
from irisshelf.routing.direct import stale_load

# No server may hold more than this multiple of its service's mean and so many
# more, idle servers included, unless all that take requests hold as much.
CAP_FACTOR = 2.0
CAP_EXTRA = 3.0
# A server takes requests up to a multiple of the mean load, and so many more,
# since small loads are lumpy. Prompts whose shared parts are dear to move may
# go further than others.
LOAD_FACTOR = 1.6
LOAD_EXTRA = 2.0
LONG_LOAD_FACTOR = 1.75
LONG_LOAD_EXTRA = 2.5
LONG_PREFIX_TOKENS = 2000
# Where few servers take all, each is above a bound by the mean of all; they
# keep to what is even among them, so that prompts still find their homes.
_EVEN = 1.1
# A server that was first sent a part so long ago has read it, and can hand it
# on: the longest prompts, 30,000 tokens, take 0.6 s to read, more in company.
PREFILL_S = 1.0
# A home in the caller's own data centre protects the answer in the making from
# a cut between data centres, the more the longer the answer; it costs a copy of
# the shared parts. It is made where a token of the answer protects no more than
# so many shared tokens.
_COPIED_PER_ANSWER_TOKEN = 4


class Reason(enum.StrEnum):
    """Why a server was chosen."""

    HELD = "held"
    HOME = "home"
    SPILL = "spill"
    LEAST_LOADED = "least_loaded"
    FASTEST = "fastest"
    LAST_RESORT = "last_resort"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The server chosen, why, and what decided.

    Attributes:
        server: The server.
        reason: Why.
        load: Its estimated load, in requests; without shared parts, that of the
            least loaded server by its report.
        mean_load: The mean of its service.
        report_age_s: Age of the server's last report of its load.
        full: Whether one more request is more than it is known to take.
        source: A server that is thought to hold the shared parts, if the
            chosen one is not.
    """

    server: directory.BackendServer
    reason: Reason
    load: float
    mean_load: float
    report_age_s: float
    full: bool = False
    source: directory.BackendServer | None = None


class Chooser:
    """Chooses among the servers of one service.

    Args:
        data_centre: Where this instance stands.
        rng: Breaks ties.
        policy: Mechanisms that are switched on.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        rng: random.Random,
        policy: policy_module.Policy = policy_module.DEFAULT,
    ):
        self.stats = server_stats.ServerStats(ejects=policy.rests)
        self._policy = policy
        self._data_centre = data_centre
        self._rng = rng
        self.cache_locations = cache_locations.CacheLocations()
        self.load_limits = load_limits.LoadLimits()

    def choose(
        self,
        servers: Sequence[directory.BackendServer],
        asked: prompt.Prompt,
        *,
        avoid: frozenset[str],
        now: float,
        sources: Sequence[directory.BackendServer] | None = None,
        idle: Sequence[directory.BackendServer] = (),
    ) -> Choice | None:
        """Chooses a server, or None if there is none.

        Args:
            servers: Servers of the service that may get the request.
            asked: The request's prompt.
            avoid: Servers that have failed this request.
            now: Time in seconds.
            sources: Servers that may serve the prompt's shared parts; the
                same as ``servers`` without.
            idle: Further servers of the service that get nothing now; the
                load bound is a multiple of the mean of all.
        """
        sources = servers if sources is None else sources
        ready = _ready(servers, avoid)
        if not ready:
            return None
        fit = self._fit(ready, now)
        pool = fit or ready
        if asked.affinity_key:
            choice = self._by_subject(pool, asked, sources, idle, now)
        else:
            choice = self._fastest(pool, now)
        if not fit:
            choice = dataclasses.replace(choice, reason=Reason.LAST_RESORT)
        return choice

    def _fit(
        self, servers: Sequence[directory.BackendServer], now: float
    ) -> list[directory.BackendServer]:
        return [s for s in servers if self.stats.is_available(s.server_id, now)]

    def record_sent(
        self, asked: prompt.Prompt, server_id: str, now: float
    ) -> list[bytes]:
        """Remembers that a server holds a prompt's shared parts.

        Returns:
            Keys of the parts that other instances should be told of.
        """
        keys = [cache_locations.part_key(part.part_id) for part in asked.shared]
        for key in keys:
            self.cache_locations.record(key, server_id, now)
        return [
            k
            for k in keys
            if self.cache_locations.should_announce(k, server_id, now)
        ]

    def _holders_of(
        self, part_id: str, now: float
    ) -> dict[str, cache_locations.CacheEntry]:
        return self.cache_locations.holders(
            cache_locations.part_key(part_id), now
        )

    def _reachable_holders(
        self,
        servers: Sequence[directory.BackendServer],
        part_id: str,
        now: float,
    ) -> dict[str, cache_locations.CacheEntry]:
        """Returns the holders of a part that can hand it on.

        Leaving ones can, and so can those that rest as they fail requests.
        """
        listed = {s.server_id for s in servers}
        held = self._holders_of(part_id, now)
        return {
            name: one
            for name, one in held.items()
            if name in listed and not self.stats.is_unreachable(name)
        }

    def _by_subject(
        self,
        pool: Sequence[directory.BackendServer],
        asked: prompt.Prompt,
        sources: Sequence[directory.BackendServer],
        idle: Sequence[directory.BackendServer],
        now: float,
    ) -> Choice:
        loads = self.stats.loads([s.server_id for s in pool], now)
        total = sum(loads.values())
        total += sum(self.stats.load(s.server_id, now) for s in idle)
        mean = total / (len(loads) + len(idle))
        held = self._reachable_holders(sources, asked.affinity_key, now)
        ranked = self._by_preference(pool, asked, held, now)
        bound = self._load_bound(asked, loads, mean)
        server, reason = self._within(bound, ranked, held, loads, now)
        return self._choice(
            server,
            reason,
            loads[server.server_id],
            mean,
            now,
            source=self._source(sources, server, asked, now),
        )

    def _load_bound(
        self, asked: prompt.Prompt, loads: dict[str, float], mean: float
    ) -> float:
        if not self._policy.load_bound:
            return math.inf
        own_mean = sum(loads.values()) / len(loads)
        bound = max(_bound(asked, mean), _EVEN * own_mean + LOAD_EXTRA)
        return min(bound, CAP_FACTOR * mean + CAP_EXTRA)

    def _within(
        self,
        bound: float,
        ranked: Sequence[directory.BackendServer],
        held: dict[str, cache_locations.CacheEntry],
        loads: dict[str, float],
        now: float,
    ) -> tuple[directory.BackendServer, Reason]:
        for place, server in enumerate(ranked):
            most = min(bound, self._most(server, now))
            if loads[server.server_id] + 1 <= most:
                return server, _reason(server, place, held)
        least = min(ranked, key=lambda s: loads[s.server_id])
        return least, Reason.LEAST_LOADED

    def _by_preference(
        self,
        pool: Sequence[directory.BackendServer],
        asked: prompt.Prompt,
        held: dict[str, cache_locations.CacheEntry],
        now: float,
    ) -> list[directory.BackendServer]:
        """Sorts servers as they are ranked, but the near home first.

        There is one once it can fetch the parts from somebody.
        """
        ranked = ranking.rank(pool, asked.affinity_key)
        home = None
        if self._policy.near_homes and any(
            now - one.first_sent_s >= PREFILL_S for one in held.values()
        ):
            home = _home(ranked, asked, self._data_centre)
        return sorted(ranked, key=lambda server: server is not home)

    def _source(
        self,
        servers: Sequence[directory.BackendServer],
        chosen: directory.BackendServer,
        asked: prompt.Prompt,
        now: float,
    ) -> directory.BackendServer | None:
        """Finds who may hold the shared parts that the chosen one lacks.

        Leaving servers still hand out what they hold.
        """
        if not self._policy.fetches:
            return None
        others = [
            s
            for s in servers
            if s.server_id != chosen.server_id
            and not self.stats.is_unreachable(s.server_id)
        ]
        return fetch_source.choose(
            self._policy.sources,
            others,
            chosen,
            asked,
            lambda part_id: self._holders_of(part_id, now),
        )

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
        unseen = stale_load.estimate_unreported(costs) if spreads else 0.0
        added = stale_load.spread_unreported(costs, unseen)
        known = {one.name: one.known_requests for one in costs}
        loads = {name: known[name] + added[name] for name in known}
        open_names = {
            server.server_id
            for server in pool
            if loads[server.server_id] + 1 <= self._most(server, now)
        }
        open_costs = [one for one in costs if one.name in open_names]
        name = stale_load.choose(open_costs or costs, added, self._rng)
        server = next(s for s in pool if s.server_id == name)
        mean = sum(loads.values()) / len(loads)
        return dataclasses.replace(
            self._choice(server, Reason.FASTEST, loads[name], mean, now),
            # Nobody is refused for work that is only assumed, nor for a wait
            # that is shorter elsewhere.
            load=min(self.stats.loads(list(known), now).values()),
        )

    def _most(self, server: directory.BackendServer, now: float) -> float:
        """Returns how many requests a server may have."""
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
            full=load + 1 > self._most(server, now),
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


def _home(
    ranked: Sequence[directory.BackendServer],
    asked: prompt.Prompt,
    data_centre: str,
) -> directory.BackendServer | None:
    """Returns a data centre's home of a subject, or None if it has none."""
    firsts: dict[str, directory.BackendServer] = {}
    for server in ranked:
        firsts.setdefault(server.data_centre, server)
    if asked.shared_tokens > _COPIED_PER_ANSWER_TOKEN * asked.max_answer_tokens:
        firsts = dict(itertools.islice(firsts.items(), 1))
    return firsts.get(data_centre)


def _bound(asked: prompt.Prompt, mean: float) -> float:
    if asked.shared_tokens >= LONG_PREFIX_TOKENS:
        return LONG_LOAD_FACTOR * mean + LONG_LOAD_EXTRA
    return LOAD_FACTOR * mean + LOAD_EXTRA


def _reason(
    server: directory.BackendServer,
    place: int,
    held: dict[str, cache_locations.CacheEntry],
) -> Reason:
    if server.server_id in held:
        return Reason.HELD
    return Reason.SPILL if place else Reason.HOME
