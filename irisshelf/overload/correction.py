"""Correction of the capacity by what is observed: a feedback controller.

Demand and capacity are estimates of some age. If too much is admitted for them,
queues of servers grow and answers are late; if too little, servers are idle
while requests are rejected. The controller scales the capacity so that a short
queue remains. Its proportional part reacts to the queue within the age of load
reports, which is less than that of the demand: it limits a load that has just
begun, and admits what an overload that has just ended leaves room for. Its
integral part removes a lasting error of the estimates.
"""

from __future__ import annotations

import math

# The controller leaves the capacity as estimated while the mean backlog, as a
# share of the longest wait allowed, is in this range. Queues that are often
# empty waste slots; if they are longer, requests at the servers with more than
# the mean are late.
MIN_BACKLOG_SHARE = 0.15
MAX_BACKLOG_SHARE = 0.5
# Least fraction of admitted requests that begin in time; below it, the capacity
# is reduced although queues seem short.
MIN_IN_TIME = 0.95
# Change of the factor per second that the backlog is beyond the range. A
# backlog grows by the excess, so that larger values overshoot with load
# reports that are 0.2 s old.
_PROPORTIONAL_GAIN_PER_S = 1.5
# If more than this share of the slots is idle while requests are rejected, the
# demand has fallen since it was reported. The factor then grows exponentially,
# by this rate per unit of the idle share, until the slots are in use.
_IDLE_SHARE = 0.3
_IDLE_GROWTH_PER_S = 6.0
_IDLE_GAIN_PER_S = 20.0
_IDLE_FALL_PER_S = 1.5
_LONG_QUEUE_FALL_PER_S = 15.0
_MAX_IDLE_GROWTH = 3.0
# Change of the integral part per second and per second of backlog beyond the
# range.
_INTEGRAL_GAIN = 0.3
# Change of the integral part per second and unit of the fraction below
# ``MIN_IN_TIME``. The fraction is older than load reports.
_LATE_GAIN_PER_S = 0.1
# Limits of the integral part: estimated service times are rarely wrong by more
# than a factor of two.
_MIN_INTEGRAL = 0.5
_MAX_INTEGRAL = 2.0
# The integral part returns to 1 with this time constant, so that the reaction
# to a moment of delayed figures does not last.
_RESET_S = 10.0
_BACKLOG_HALF_LIFE_S = 0.05
# The fraction in time is as old as this. If queues were long then, they are the
# reason for late answers, and the proportional part has reacted to them.
_USUAL_HALF_LIFE_S = 1.0
# After a pause without requests, only so much time counts.
_MAX_STEP_S = 0.5


class CapacityCorrection:
    """Factor by which the estimated capacity of a service is scaled."""

    def __init__(self):
        self._integral = 1.0
        self._backlog_s = 0.0
        self._usual_backlog_s = 0.0
        self._idle = 0.0
        self._idle_growth = 0.0
        self._max_wait_s = math.inf
        self._at_s = -math.inf

    @property
    def backlog_s(self) -> float:
        """Mean expected wait at the servers, smoothed."""
        return self._backlog_s

    @property
    def factor(self) -> float:
        """The factor; 1 if the estimates seem right."""
        return self._integral * math.exp(self._idle_growth)

    @property
    def excess(self) -> float:
        """Load to reject until queues are shorter, relative to the capacity."""
        return max(0.0, -_PROPORTIONAL_GAIN_PER_S * self._deviation_s())

    def update(
        self,
        *,
        backlog_s: float,
        idle: float,
        max_wait_s: float,
        in_time: float,
        overloaded: bool,
        now: float,
    ) -> None:
        """Records what an arriving request finds.

        Args:
            backlog_s: Mean time that requests wait at the servers.
            idle: Share of the servers' slots that are idle.
            max_wait_s: Longest wait at which requests are admitted.
            in_time: Fraction of the admitted requests that begin in time.
            overloaded: Whether demand exceeds the estimated capacity. If not,
                servers are idle for lack of requests, which does not show that
                the capacity is larger.
            now: Time in seconds.
        """
        elapsed_s = min(max(0.0, now - self._at_s), _MAX_STEP_S)
        self._at_s = now
        self._max_wait_s = max_wait_s
        step = 1 - 0.5 ** (elapsed_s / _BACKLOG_HALF_LIFE_S)
        self._backlog_s += step * (backlog_s - self._backlog_s)
        self._idle += step * (idle - self._idle)
        usual_step = 1 - 0.5 ** (elapsed_s / _USUAL_HALF_LIFE_S)
        self._usual_backlog_s += usual_step * (
            backlog_s - self._usual_backlog_s
        )
        self._update_idle_growth(elapsed_s)
        deviation_s = self._deviation_s()
        if overloaded:
            late = 0.0
            if self._usual_backlog_s <= MAX_BACKLOG_SHARE * max_wait_s:
                late = max(0.0, MIN_IN_TIME - in_time)
            self._integral += elapsed_s * (
                _INTEGRAL_GAIN * deviation_s - _LATE_GAIN_PER_S * late
            )
        reset = min(1.0, elapsed_s / _RESET_S)
        self._integral += reset * (1.0 - self._integral)
        self._integral = min(max(self._integral, _MIN_INTEGRAL), _MAX_INTEGRAL)

    def _update_idle_growth(self, elapsed_s: float) -> None:
        excess = self._idle - _IDLE_SHARE
        if excess > 0:
            rate = _IDLE_GROWTH_PER_S + _IDLE_GAIN_PER_S * excess
        elif self._deviation_s() < 0:
            rate = -_LONG_QUEUE_FALL_PER_S
        else:
            rate = -_IDLE_FALL_PER_S
        self._idle_growth = min(
            max(self._idle_growth + rate * elapsed_s, 0.0), _MAX_IDLE_GROWTH
        )

    def _deviation_s(self) -> float:
        """Returns how far the backlog is below (above 0) or above its range."""
        if math.isinf(self._max_wait_s):
            return 0.0
        least_s = MIN_BACKLOG_SHARE * self._max_wait_s
        most_s = MAX_BACKLOG_SHARE * self._max_wait_s
        if self._backlog_s < least_s:
            # Idle slots are a negative backlog; of requests that take about as
            # long as they may wait.
            return least_s - self._backlog_s + self._idle * self._max_wait_s
        return min(0.0, most_s - self._backlog_s)
