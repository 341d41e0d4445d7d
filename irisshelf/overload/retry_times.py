"""Times after which rejected callers should retry."""

from __future__ import annotations

import math

# An overload has ended when no request was rejected for this time.
_QUIET_S = 1.0
# An overload is expected to continue for this multiple of its duration so far.
_REMAINING_FACTOR = 2.0
# Minimum Retry-After: a slot has to become free in the meantime.
_MIN_RETRY_AFTER_S = 0.2
# Maximum Retry-After: callers that act for a person have given up by then, and
# the duration of such an overload so far is a poor predictor of the rest.
_MAX_RETRY_AFTER_S = 30.0
# Share of the rate of admitted requests that is reserved for retries.
_RETRY_SHARE = 0.5


class RetryTimes:
    """Schedules the retries of the callers that one instance rejects."""

    def __init__(self):
        self._overload_began_s = math.inf
        self._last_rejected_s = -math.inf
        self._next_retry_s = -math.inf

    def next_s(
        self, *, wait_s: float, admitted_per_s: float, now: float
    ) -> float:
        """Returns after which time a caller that is rejected now should retry.

        That is when the queue has been processed, but not before the overload
        has probably ended: of overloads that have lasted for some time, two in
        three end before they have lasted three times as long, if nothing else
        is known. A caller that retries too early is rejected again, which costs
        it more than the longer wait. Retries are scheduled one after the other,
        in the order of the rejections, at a share of the rate at which requests
        are admitted.

        Args:
            wait_s: Expected wait at the server, in seconds.
            admitted_per_s: Requests that the instance admits per second.
            now: Time in seconds.
        """
        if now - self._last_rejected_s > _QUIET_S:
            self._overload_began_s = now
            self._next_retry_s = -math.inf
        self._last_rejected_s = now
        expected_s = _REMAINING_FACTOR * (now - self._overload_began_s)
        delay_s = max(_MIN_RETRY_AFTER_S, wait_s, expected_s)
        rate = _RETRY_SHARE * admitted_per_s
        gap_s = 1 / rate if rate > 0 else 0.0
        retry_s = max(now + delay_s, self._next_retry_s + gap_s)
        self._next_retry_s = min(retry_s, now + _MAX_RETRY_AFTER_S)
        return self._next_retry_s - now
