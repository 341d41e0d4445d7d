"""Expected response time of each server of a service.

The estimate takes into account earlier response times, the requests that the
server has now, its failure rate, its slowdown, and the network delay.
"""

from __future__ import annotations

import math
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
# Weight of a lasting slowdown next to the load. With 0.5, servers that are 3
# times as slow get about their share from three quarters of the sustainable
# load on, and few requests below half of it. With 1.0 they get less than their
# share at three quarters; with 0 they get it while faster servers are idle.
_LASTING_WEIGHT = 0.5
# Servers of equal cost take turns. One that was slow has missed its turns at
# all instances, which would all choose it next. Its lead is therefore limited
# to this multiple of the number of servers; ties are then broken randomly.
_MAX_TURNS_MISSED = 0.5


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
    slowdowns = stats.slowdowns
    max_sends = _MAX_TURNS_MISSED * len(servers) if slowdowns else math.inf

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
        delay, slope = 1 + queued, 1.0
        if slowdowns:
            delay, slope = _slowed(*slowdowns.split(name, now), queued)
        return stale_load.Cost(
            name=name,
            cost=(duration_s * delay + rtt_s) * penalty,
            marginal_cost=duration_s * slope / slots * penalty,
            known_requests=load.remaining,
            sent=load.sent,
            ended=load.ended,
            sends_to_others=min(max_sends, stats.sends_to_others(name)),
        )

    return [cost(server) for server in servers]


def _slowed(
    lasting: float, present: float, queued: float
) -> tuple[float, float]:
    """Returns the delay of a request at a server that reports a slowdown.

    A multiple of the whole slowdown would leave most slots of a server that is
    slow for good unused until the others have long queues. Therefore only the
    present part multiplies the delay, the lasting one makes a server get its
    first requests later, and beyond its slots as few as it can sustain.

    Args:
        lasting: Lasting part of the slowdown, see ``slowdown.Slowdowns.split``.
        present: Present part of the slowdown.
        queued: Requests at the server, including this one, divided by its
            slots.

    Returns:
        The delay in normal processing times, and by how much it increases with
        each further unit of ``queued``.
    """
    delay = 1 + queued + _LASTING_WEIGHT * (1 - 1 / lasting)
    if queued <= 1:
        return present * delay, present
    delay += (lasting - 1) * (queued - 1)
    return present * delay, present * lasting
