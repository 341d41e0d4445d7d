"""Expected response time of each server of a service.

The estimate takes into account earlier response times, the requests that the
server has now, its failure rate, and the network delay.
"""

from __future__ import annotations

from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import server_stats
from irisshelf.routing.direct import stale_load
from irisshelf.routing.direct import unknown_speed

# Round trip to another data centre; such requests also use bandwidth.
_REMOTE_RTT_S = 0.001
_FAILURE_WEIGHT = 4.0
# Response times vary between requests. Servers whose average is within this
# factor of the fastest one's count as equally fast and keep taking turns.
_SIMILAR_FACTOR = 1.5


def costs(
    servers: Sequence[directory.BackendServer],
    stats: server_stats.ServerStats,
    *,
    data_centre: str,
    strategy: unknown_speed.Strategy,
    now: float,
) -> list[stale_load.Cost]:
    """Returns the expected response times, in seconds.

    Args:
        servers: Servers of one service; not empty.
        stats: Statistics of these servers.
        data_centre: Where requests come from.
        strategy: Which speed to assume for servers without any response.
        now: Time in seconds.
    """
    names = [server.server_id for server in servers]
    durations_s = unknown_speed.fill_unknown(
        strategy,
        {name: stats.duration_s(name) for name in names},
        {name: stats.own_requests(name) for name in names},
    )
    fastest_s = min(durations_s.values())

    def cost(server: directory.BackendServer) -> stale_load.Cost:
        name = server.server_id
        slots = max(1, server.slots)
        duration_s = durations_s[name]
        if duration_s <= _SIMILAR_FACTOR * fastest_s:
            duration_s = fastest_s
        load = stats.estimate(name, now)
        queued = (load.remaining + 1) / slots
        penalty = 1 + _FAILURE_WEIGHT * stats.failure_rate(name)
        rtt_s = _REMOTE_RTT_S if server.data_centre != data_centre else 0.0
        return stale_load.Cost(
            name=name,
            cost=(duration_s * (1 + queued) + rtt_s) * penalty,
            marginal_cost=duration_s / slots * penalty,
            known_requests=load.remaining,
            sent=load.sent,
            ended=load.ended,
            sends_to_others=stats.sends_to_others(name),
        )

    return [cost(server) for server in servers]
