"""Correction of the capacity by what is observed: a feedback controller.

Demand and capacity are estimates of some age. If too much is admitted for them,
queues of servers grow and answers are late; if too little, servers are idle
while requests are rejected. The controller scales the capacity so that a short
queue remains: a proportional part, since a queue grows as long as the excess
lasts, and an integral part, which removes a lasting error of the estimates.
"""

from __future__ import annotations

import math

# Wait, as a share of the longest one allowed, that the controller aims at. A
# queue that is often empty wastes slots; a longer one makes requests late.
TARGET_WAIT_SHARE = 0.25
# Least fraction of admitted requests that begin in time; below it, the capacity
# is reduced although queues seem short.
MIN_IN_TIME = 0.95
# Capacity factor per unit of the deviation of the wait from its target.
_PROPORTIONAL_GAIN = 0.4
# Change of the integral part per second and unit of that deviation.
_INTEGRAL_GAIN_PER_S = 0.5
# Change of the integral part per second and unit of the fraction below
# ``MIN_IN_TIME``.
_LATE_GAIN_PER_S = 2.0
# Limits of the factor: estimated service times are rarely wrong by more than
# a factor of two or three.
_MIN_FACTOR = 0.3
_MAX_FACTOR = 2.0
# Without overload, the integral part returns to 1 with this time constant.
_RESET_S = 1.0
_WAIT_HALF_LIFE_S = 0.1
# After a pause without requests, only so much time counts.
_MAX_STEP_S = 0.5


class CapacityCorrection:
    """Factor by which the estimated capacity of a service is scaled."""

    def __init__(self):
        self._integral = 1.0
        self._wait_share = TARGET_WAIT_SHARE
        self._at_s = -math.inf

    @property
    def factor(self) -> float:
        """The factor; 1 if the estimates seem right."""
        deviation = TARGET_WAIT_SHARE - self._wait_share
        return _clamp(self._integral + _PROPORTIONAL_GAIN * deviation)

    def update(
        self,
        *,
        wait_share: float,
        in_time: float,
        overloaded: bool,
        now: float,
    ) -> None:
        """Records what an arriving request finds.

        Args:
            wait_share: Expected wait at its server as a share of the longest
                one allowed.
            in_time: Fraction of the admitted requests that begin in time.
            overloaded: Whether demand exceeds the corrected capacity. If not,
                servers are idle for lack of requests, which does not show that
                the capacity is larger.
            now: Time in seconds.
        """
        elapsed_s = min(max(0.0, now - self._at_s), _MAX_STEP_S)
        self._at_s = now
        # Waits far above the limit are rejected anyway and count as twice it.
        deviation = TARGET_WAIT_SHARE - min(wait_share, 2.0)
        kept = 0.5 ** (elapsed_s / _WAIT_HALF_LIFE_S)
        self._wait_share += (1 - kept) * (
            min(wait_share, 2.0) - self._wait_share
        )
        if overloaded or deviation < 0:
            self._integral += _INTEGRAL_GAIN_PER_S * elapsed_s * deviation
        else:
            step = min(1.0, elapsed_s / _RESET_S)
            self._integral += step * (1.0 - self._integral)
        if in_time < MIN_IN_TIME:
            late = MIN_IN_TIME - in_time
            self._integral -= _LATE_GAIN_PER_S * elapsed_s * late
        self._integral = _clamp(self._integral)


def _clamp(factor: float) -> float:
    return min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
