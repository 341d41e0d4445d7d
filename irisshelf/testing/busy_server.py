"""A simulated server that processes a number of requests at a time."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math

from irisshelf.testing import busy_load


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request on its way.

    Attributes:
        kind: Its kind.
        team: Its team.
        came_s: When its caller first sent it.
        instance: Number of the instance that it came at.
        returning: Whether it was refused before.
        sent_s: When it was sent to a server.
    """

    kind: busy_load.Kind
    team: str
    came_s: float
    instance: int
    returning: bool = False
    sent_s: float = 0.0


class Server:
    """Slots, a queue, and rests.

    Args:
        slots: Requests that it processes at a time.
    """

    def __init__(self, slots: int):
        self.free = slots
        self.rests_until_s = -math.inf
        self.rested_s = -math.inf
        # When it turned down requests, by instance, in each of its rests.
        self.in_rests: list[dict[int, list[float]]] = []
        self.waiting: list[tuple[int, int, Request]] = []
        self.running = 0
        self._order = itertools.count()

    @property
    def work(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    def enqueue(self, request: Request, rank: int) -> None:
        """Adds a request to the queue, which is ordered by rank."""
        heapq.heappush(self.waiting, (rank, next(self._order), request))

    def next_request(self) -> Request:
        """Removes the request that is next from the queue."""
        return heapq.heappop(self.waiting)[2]
