"""Estimates for how long a request has occupied a slot of a server."""

from __future__ import annotations

# Share of its processing time that a running request still needs, on average,
# when another one arrives: half of it if all take equally long, all of it if
# the times are exponentially distributed.
_REMAINING_SHARE = 0.75


def estimate_s(
    elapsed_s: float,
    *,
    load: float,
    slots: int,
    load_after: float = 0.0,
    slowdown: float = 1.0,
) -> float:
    """Returns the slot time of a request, as at a server of usual speed.

    The time until the response includes the wait in the queue of the server,
    which grows with the load. Counted as slot time, it would make the demand
    appear the larger the more requests wait.

    The load before is an estimate that lacks what other instances have just
    sent, and the server with the least estimate is selected, so that it is too
    low on average. In a queue in order of arrival, a request leaves behind
    about as many requests as it found, which the response reports. The larger
    of the two is used.

    Args:
        elapsed_s: Time from the send to the end of the response, in seconds.
        load: Number of requests that the server had before.
        slots: Number of requests that it processes concurrently; 0 if unknown.
        load_after: Number of requests that it reports with the response; 0 if
            it does not.
        slowdown: Its processing time relative to normal.

    Example:
        >>> estimate_s(0.25, load=3, slots=4)
        0.25
        >>> estimate_s(0.25, load=3, slots=4, slowdown=2.5)
        0.1
    """
    load = max(load, load_after)
    queued_share = 0.0
    if slots > 0 and load >= slots:
        # Requests that have to end before this one starts, per slot.
        queued_share = (load - slots + _REMAINING_SHARE) / slots
    return elapsed_s / (1 + queued_share) / slowdown
