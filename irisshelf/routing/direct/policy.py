"""Settings that switch mechanisms off or select one of several strategies.

Each mechanism is a setting so that its effect can be measured by itself.
"""

from __future__ import annotations

import dataclasses

from irisshelf.routing.direct import fetch_source
from irisshelf.routing.direct import stale_load
from irisshelf.routing.direct import unknown_speed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Mechanisms beyond plain forwarding of requests; all on by default.

    Attributes:
        near_homes: Shared parts are copied to a home in the instance's own data
            centre.
        fetches: Requests name the server that has the shared parts that the
            selected server lacks.
        load_bound: A server far above the mean load is skipped.
        rests: Servers that fail requests are ejected for a while.
        patience: Requests that may run again are moved away from a server that
            does not respond.
        second_sends: Requests are retried after a failure.
        retry_budget: Retries are limited to a share of the requests.
        reach: Unresponsive and unreachable servers are probed for connections.
        relays: Servers to which an instance cannot connect are reached through
            other instances.
        gossip: Instances exchange servers' loads and cached prompt parts.
        admission: Requests that would wait too long are rejected at once.
        gathering: After a change in the store, the next call waits a little, so
            that several changes are read together.
        shared_watch: One instance of a data centre polls the store for all.
        turned_away: A server that rejects requests although it has free slots
            counts as failing them.
        fresh_connections: Requests that must not run twice are sent only on
            connections that were in use a moment ago.
        sources: How the server to fetch shared parts from is selected.
        stale_load: How a server is selected by load reports of some age.
        full_loads: Servers that have asked for a backoff get less load
            afterwards.
        unknown_speed: Assumed speed of servers that have not responded yet.
    """

    near_homes: bool = True
    fetches: bool = True
    load_bound: bool = True
    rests: bool = True
    patience: bool = True
    second_sends: bool = True
    retry_budget: bool = True
    reach: bool = True
    relays: bool = True
    gossip: bool = True
    admission: bool = True
    gathering: bool = True
    shared_watch: bool = True
    turned_away: bool = True
    fresh_connections: bool = True
    sources: fetch_source.Strategy = fetch_source.Strategy.LIKELY
    stale_load: stale_load.Strategy = stale_load.Strategy.SPREAD
    full_loads: bool = True
    unknown_speed: unknown_speed.Strategy = unknown_speed.Strategy.FASTEST


DEFAULT = Policy()
