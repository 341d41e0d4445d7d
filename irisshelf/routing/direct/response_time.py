"""How long each server of a service is expected to take for an answer.

By the times that it has taken so far, the requests that it has, its failures,
and the way there.
"""

from __future__ import annotations

from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import server_stats
from irisshelf.routing.direct import stale_load
from irisshelf.routing.direct import unknown_speed

# Another data centre costs the way there and back, and bytes.
_FAR_S = 0.001
_FAILURE_WEIGHT = 4.0
# Times to answer vary from one request to the next; a server that takes up to
# so many times as long as the fastest is as fast, so that it keeps its turns.
_ALIKE = 1.5


def costs(
    servers: Sequence[directory.BackendServer],
    book: server_stats.ServerStats,
    *,
    data_centre: str,
    way: unknown_speed.Strategy,
    now: float,
) -> list[stale_load.Cost]:
    """Returns the expected times, in seconds.

    Args:
        servers: Of one service; not empty.
        book: What is known of them.
        data_centre: Where requests come from.
        way: What is assumed of servers that have answered nothing.
        now: Time in seconds.
    """
    names = [server.server_id for server in servers]
    times_s = unknown_speed.fill_unknown(
        way,
        {name: book.duration_s(name) for name in names},
        {name: book.own_requests(name) for name in names},
    )
    fastest_s = min(times_s.values())

    def cost(server: directory.BackendServer) -> stale_load.Cost:
        name = server.server_id
        slots = max(1, server.slots)
        each_s = times_s[name]
        if each_s <= _ALIKE * fastest_s:
            each_s = fastest_s
        load = book.estimate(name, now)
        queued = (load.remaining + 1) / slots
        penalty = 1 + _FAILURE_WEIGHT * book.failure_rate(name)
        far_s = _FAR_S if server.data_centre != data_centre else 0.0
        return stale_load.Cost(
            name=name,
            cost=(each_s * (1 + queued) + far_s) * penalty,
            marginal_cost=each_s / slots * penalty,
            known_requests=load.remaining,
            sent=load.sent,
            ended=load.ended,
            sends_to_others=book.sends_to_others(name),
        )

    return [cost(server) for server in servers]
