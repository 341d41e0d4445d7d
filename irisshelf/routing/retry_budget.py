"""A retry budget over a sliding window.

Retries are limited to a share of the requests in the window plus a fixed slack,
so that retries do not amplify an overload of the fleet. The platform limits the
retries of all instances together. The instances do not coordinate for this:
each one applies the same share to its own requests and takes a fraction of the
slack according to the number of instances that it knows of.
"""

from __future__ import annotations

import collections

# Fraction of a fleet-wide limit that is used. The windows of the instances are
# not aligned, so that a request and its retry may be counted in different ones.
FLEET_SAFETY_FACTOR = 0.8
# Window of the retry budget of a bundle.
WINDOW_S = 10.0
# Fraction of the slack that is allocated to instances. The rest covers
# instances that have just started and are not known to the others yet.
_ALLOCATED_SHARE = 0.6
# Fleet size assumed by an instance that knows no other one: the largest
# supported fleet, since all its instances may start at once or be partitioned
# from each other.
_ASSUMED_INSTANCES = 400
# Lower limit of the fleet size, which limits the slack of one instance.
_MIN_INSTANCES = 6


def instance_slack(slack: float, instances: int | None) -> float:
    """Returns the slack of one instance.

    Args:
        slack: Slack of all instances together, in retries per window.
        instances: Number of instances; None if it is not known.

    Example:
        >>> instance_slack(60.0, 9)
        4.0
    """
    count = (
        _ASSUMED_INSTANCES
        if instances is None
        else max(_MIN_INSTANCES, instances)
    )
    return slack * _ALLOCATED_SHARE / count


class RetryBudget:
    """The retry budget of one service on one instance.

    Args:
        ratio: Retries allowed per request.
        slack: Additional retries allowed in a window, for this instance.
        window_s: Length of the sliding window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Counts a request in the current window."""
        self._requests.append(now)
        _expire(self._requests, now - self._window_s)

    def remaining(self, now: float) -> float:
        """Returns the number of retries left in the window that ends now."""
        _expire(self._requests, now - self._window_s)
        _expire(self._retries, now - self._window_s)
        allowed = self._ratio * len(self._requests) + self.slack
        return allowed - len(self._retries)

    def try_take(self, now: float) -> bool:
        """Consumes one retry; returns False if none is left."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True


def _expire(times: collections.deque[float], before_s: float) -> None:
    while times and times[0] <= before_s:
        times.popleft()
