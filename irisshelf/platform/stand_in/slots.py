"""Limited concurrency of a stand-in server, with a bounded queue."""

from __future__ import annotations

import gevent
from gevent import lock


class Slots:
    """Processes a limited number of requests at a time.

    Args:
        count: Requests that are processed concurrently.
        queue: Requests that may wait for a slot.

    Attributes:
        count: Requests that are processed concurrently.
    """

    def __init__(self, *, count: int, queue: int):
        self.count = count
        self._queue = queue
        self._free = lock.BoundedSemaphore(count)
        self._held = 0

    @property
    def is_full(self) -> bool:
        """Whether a further request is to be rejected."""
        return self._held >= self.count + self._queue

    def load(self) -> str:
        """Returns the running and waiting requests and the slots."""
        running = min(self._held, self.count)
        return f"{running},{self._held - running},{self.count}"

    def work(self, duration_s: float) -> None:
        """Occupies a slot for a time, once one is free."""
        self._held += 1
        try:
            with self._free:
                gevent.sleep(duration_s)
        finally:
            self._held -= 1
