"""Mean time for which requests occupy a slot, and the waits that follow."""

from __future__ import annotations


class ServiceTime:
    """Moving average of the time for which requests occupy a slot.

    Args:
        initial_s: Assumed mean before any request has ended.
        weight: Weight of the latest request, above 0 and at most 1.
        averages_first: Whether the first requests count equally and the assumed
            mean counts as one of them, so that an instance with few requests
            does not keep the assumed mean for long.
    """

    def __init__(
        self, *, initial_s: float, weight: float, averages_first: bool = False
    ):
        self._mean_s = initial_s
        self._weight = weight
        self._averages_first = averages_first
        self._count = 1

    @property
    def mean_s(self) -> float:
        """Mean time for which a request occupies a slot, in seconds."""
        return self._mean_s

    def record(self, service_time_s: float) -> None:
        """Records for how long a request has occupied a slot."""
        weight = self._weight
        if self._averages_first:
            self._count += 1
            weight = max(weight, 1 / self._count)
        self._mean_s += weight * (service_time_s - self._mean_s)

    def wait_s(self, requests: float, slots: float) -> float:
        """Returns the time in which slots process a number of requests.

        Args:
            requests: Number of requests.
            slots: Number of requests processed concurrently; above 0.

        Example:
            >>> ServiceTime(initial_s=0.5, weight=0.1).wait_s(8, 4)
            1.0
        """
        return requests * self._mean_s / slots
