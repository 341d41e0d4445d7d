"""A retry budget that all instances keep without a word to each other.

The users bound, over every sliding window and all instances together, the
sends beyond the first of each request by a share of the requests and a fixed
slack. Each instance keeps to the same share of its own requests, and to a
small fixed part of the slack.
"""

from __future__ import annotations

import collections

# Part of the bound that is used; requests and retries of a window do not fall
# into the same one everywhere.
_SAFETY = 0.8


class WindowBudget:
    """The retry budget of one service on one instance.

    Args:
        ratio: Retries allowed for each request.
        slack: Retries allowed beside those, for this instance.
        window_s: Length of the sliding window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def arrived(self, now: float) -> None:
        """Counts a request."""
        self._requests.append(now)
        _expire(self._requests, now - self._window_s)

    def left(self, now: float) -> float:
        """Returns how many retries are left in the window that ends now."""
        _expire(self._requests, now - self._window_s)
        _expire(self._retries, now - self._window_s)
        allowed = self._ratio * _SAFETY * len(self._requests) + self._slack
        return allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Takes one retry, if one is left."""
        if self.left(now) < 1:
            return False
        self._retries.append(now)
        return True


def _expire(times: collections.deque[float], before_s: float) -> None:
    while times and times[0] <= before_s:
        times.popleft()
