"""A retry budget over a sliding window.

Retries are bounded by a share of the requests of the last seconds and a fixed
slack, so that a fleet in trouble does not multiply its own load. The users'
platform bounds the retries of all instances together: each keeps, without a
word to the others, to the same share of its own requests, and to its part of
the slack by the number of instances that it knows of.
"""

from __future__ import annotations

import collections

# Part of a bound on all instances together that is used: requests and retries
# of a window do not fall into the same one everywhere.
FLEET_SAFETY_FACTOR = 0.8
# Seconds over which a bundle's budget is counted.
WINDOW_S = 10.0
# Part of the slack that is dealt out: instances come, and others may not be
# known yet.
_DEALT = 0.6
# An instance that has heard of no other assumes the largest fleet that is
# built for: it may be one of as many that start at once, or that are cut off
# from each other.
_ASSUMED = 400
# Nobody gets more than if there were this few.
_FEWEST = 6


def instance_slack(slack: float, instances: int | None) -> float:
    """Returns one instance's part of the slack of all.

    Args:
        slack: Retries in a window, of all instances together.
        instances: How many there are; None if that is not known.

    Example:
        >>> instance_slack(60.0, 9)
        4.0
    """
    count = _ASSUMED if instances is None else max(_FEWEST, instances)
    return slack * _DEALT / count


class RetryBudget:
    """The retry budget of one service on one instance.

    Args:
        ratio: Retries allowed for each request.
        slack: Retries allowed beside those, for this instance.
        window_s: Length of the sliding window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Counts a request."""
        self._requests.append(now)
        _expire(self._requests, now - self._window_s)

    def remaining(self, now: float) -> float:
        """Returns how many retries are left in the window that ends now."""
        _expire(self._requests, now - self._window_s)
        _expire(self._retries, now - self._window_s)
        allowed = self._ratio * len(self._requests) + self.slack
        return allowed - len(self._retries)

    def try_take(self, now: float) -> bool:
        """Takes one retry, if one is left."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True


def _expire(times: collections.deque[float], before_s: float) -> None:
    while times and times[0] <= before_s:
        times.popleft()
