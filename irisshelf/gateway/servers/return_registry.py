"""The reservations of returning callers that an instance assigns and keeps."""

from __future__ import annotations

import math
from collections.abc import Callable

from irisshelf.overload import admitted_rates
from irisshelf.overload import reservations
from irisshelf.overload import returns

# A service rejects requests until none has been rejected for this time.
_REJECTING_S = 1.0


class ReturnRegistry:
    """Keeps reservations at this instance alone.

    Args:
        draw: Returns a random number from 0 to 1, 1 excluded.
        now: Monotonic seconds.

    Attributes:
        rate_per_s: Returns, for a service and a priority, this instance's part
            of the rate at which callers may return. It is replaced by one that
            knows the fleet; until then the rate follows from what this instance
            has admitted.
    """

    def __init__(self, *, draw: Callable[[], float], now: Callable[[], float]):
        self._draw = draw
        self._now = now
        self._schedules: dict[str, returns.ReturnSchedule] = {}
        self._admitted = admitted_rates.AdmittedRates()
        self._kept = reservations.Reservations()
        # When a caller of a service was last rejected.
        self._rejected_s: dict[str, float] = {}
        self.rate_per_s: Callable[[str, int], float] = self._own_rate_per_s

    @property
    def kept_count(self) -> int:
        """Number of reservations that this instance keeps."""
        return len(self._kept)

    def record_admitted(self, service: str, priority: int) -> None:
        """Records that a request has been admitted."""
        self._admitted.add(service, priority, self._now())

    def assign(
        self,
        service: str,
        priority: int,
        *,
        remaining_s: float,
        not_before_s: float = 0.0,
    ) -> returns.Place | returns.NoPlace:
        """Assigns a reservation; see ``ReturnSchedule.assign``."""
        now = self._now()
        self._rejected_s[service] = now
        schedule = self._schedules.get(service)
        if schedule is None:
            schedule = returns.ReturnSchedule(draw=self._draw)
            self._schedules[service] = schedule
        return schedule.assign(
            priority,
            remaining_s=remaining_s,
            rate_per_s=self.rate_per_s(service, priority),
            now=now,
            not_before_s=not_before_s,
        )

    def is_rejecting(self, service: str) -> bool:
        """Returns whether this instance rejects requests to a service now."""
        rejected_s = self._rejected_s.get(service, -math.inf)
        return self._now() - rejected_s <= _REJECTING_S

    def record(self, fingerprint: bytes, due_s: float) -> None:
        """Records a reservation that this instance has assigned.

        Args:
            fingerprint: Fingerprint of the caller's request.
            due_s: When it is due, in monotonic seconds.
        """
        self._kept.record(fingerprint, due_s, self._now())

    def claim(self, fingerprint: bytes) -> reservations.Claim:
        """Uses the reservation of a caller that returns now, if it is due."""
        return self._kept.claim(fingerprint, self._now())

    def _own_rate_per_s(self, service: str, priority: int) -> float:
        rate_per_s = self._admitted.per_s(service, priority, self._now())
        return returns.RETURN_SHARE * rate_per_s
