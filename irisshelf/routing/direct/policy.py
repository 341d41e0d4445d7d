"""Mechanisms that can be switched off, and decisions with several ways.

Both are settings, so that what each is worth can be measured.
"""

from __future__ import annotations

import dataclasses

from irisshelf.routing.direct import fetch_source
from irisshelf.routing.direct import stale_load
from irisshelf.routing.direct import unknown_speed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """What an instance does beyond passing requests on; all on by default.

    Attributes:
        near_homes: Shared parts are copied to a home in the own data centre.
        fetches: Servers are told who holds the shared parts that they lack.
        load_bound: A server far above the mean load passes its turn.
        rests: Servers that fail requests get none for a while.
        patience: Requests that may run again leave a silent server.
        second_sends: Requests are sent again after a failure.
        retry_budget: Second sends are bounded by a share of the requests.
        reach: Silent and lost servers are asked for connections.
        gossip: Instances tell each other of servers' loads and prompts.
        admission: Requests that would wait too long are refused at once.
        gathering: After a change in the store, the next call waits a little.
        shared_watch: One instance of a data centre asks the store for all.
        turned_away: A server that turns requests away though it has free places
            is one that fails them.
        fresh_connections: Requests that may run once go only on connections
            that were in use just now.
        sources: How a server is found to fetch shared parts from.
        stale_load: How a server is chosen by old reports of load.
        full_loads: Servers that have asked for rest get less load afterwards.
        unknown_speed: What is assumed of servers that have answered nothing.
    """

    near_homes: bool = True
    fetches: bool = True
    load_bound: bool = True
    rests: bool = True
    patience: bool = True
    second_sends: bool = True
    retry_budget: bool = True
    reach: bool = True
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
