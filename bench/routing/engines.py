"""Fake engines for an event-driven bench: batch, prefix cache, true load.

All running requests of an engine decode at the same pace, which falls with the
size of the batch, so progress is one number an engine: virtual tokens.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq

from irisshelf.testing import prefix_cache

STEP_S = 0.025  # Time for a token with an empty batch.
STEP_PER_REQUEST_S = 0.001  # More time a token for each request in the batch.
PREFILL_TOKENS_PER_S = 8000.0
SLOTS = 64
PREFILL_WEIGHT = 0.1
CACHE_TOKENS = 400_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A request on an engine.

    Attributes:
        request: Its number.
        prefill: Uncached prompt tokens.
        decode: Tokens to decode.
        expected: Tokens that one would expect it to decode.
        entered_s: When it reached the engine.
    """

    request: int
    prefill: int
    decode: int
    expected: int
    entered_s: float


class Engine:
    """One engine.

    Args:
        number: Its number.
        cache_tokens: Size of its prefix cache.
    """

    def __init__(self, *, number: int, cache_tokens: int = CACHE_TOKENS):
        self.number = number
        self.cache = prefix_cache.PrefixCache(capacity_tokens=cache_tokens)
        self.up = True
        self._at_s = 0.0
        self._tokens = 0.0  # Virtual tokens decoded by each running job.
        self._heap: list[tuple[float, int, Job]] = []
        self._ends_sum = 0.0
        self._prefill: collections.deque[Job] = collections.deque()
        self._prefill_left = 0.0
        self._waiting: collections.deque[Job] = collections.deque()
        self._queued_decode = 0
        self._queued_expected = 0
        self._queued_prefill = 0
        # Running jobs that are not yet past what was expected of them, by the
        # virtual time at which they will be.
        self._open: list[tuple[float, int, float]] = []
        self._open_jobs: dict[int, float] = {}
        self._open_sum = 0.0

    @property
    def jobs(self) -> int:
        """Requests on the engine."""
        return len(self._heap) + len(self._prefill) + len(self._waiting)

    def works(self, now: float) -> list[float]:
        """Returns the outstanding work of each request, in tokens.

        Work is what one would expect: nobody knows an answer's length. An
        answer that has run past it counts as one token.
        """
        self._advance(now)
        works = [
            max(1.0, job.expected - (job.decode - end + self._tokens))
            for end, _, job in self._heap
        ]
        works += [float(job.expected) for job in self._waiting]
        works += [
            job.expected + PREFILL_WEIGHT * job.prefill for job in self._prefill
        ]
        if self._prefill:
            done = self._prefill[0].prefill - self._prefill_left
            works[-len(self._prefill)] -= PREFILL_WEIGHT * done
        return works

    def work(self, now: float) -> float:
        """Returns the outstanding work, in tokens: the sum of ``works``."""
        self._advance(now)
        while self._open and self._open[0][0] <= self._tokens:
            _, number, above = heapq.heappop(self._open)
            if number in self._open_jobs:
                self._close(number, above)
        past = len(self._heap) - len(self._open_jobs)
        decode = self._open_sum - len(self._open_jobs) * self._tokens + past
        prefill = self._queued_prefill + self._prefill_left
        return decode + self._queued_expected + PREFILL_WEIGHT * prefill

    def true_work(self, now: float) -> float:
        """Returns the work as it will turn out, which nobody knows yet."""
        self._advance(now)
        decode = self._ends_sum - len(self._heap) * self._tokens
        prefill = self._queued_prefill + self._prefill_left
        return decode + self._queued_decode + PREFILL_WEIGHT * prefill

    def progress(self, now: float) -> list[tuple[int, int]]:
        """Returns each running request's number and tokens decoded."""
        self._advance(now)
        return [
            (job.request, int(job.decode - (end - self._tokens)))
            for end, _, job in self._heap
        ]

    def add(self, job: Job, now: float) -> None:
        """Takes a request."""
        self._advance(now)
        if not self._prefill:
            self._prefill_left = float(job.prefill)
        else:
            self._queued_prefill += job.prefill
        self._prefill.append(job)
        self._queued_decode += job.decode
        self._queued_expected += job.expected

    def next_event_s(self) -> float:
        """Returns when something happens here next, as of the last call."""
        soonest = float("inf")
        if self._prefill:
            soonest = self._prefill_left / PREFILL_TOKENS_PER_S
        if self._heap:
            left = max(0.0, self._heap[0][0] - self._tokens)
            soonest = min(soonest, left / self._pace())
        return self._at_s + soonest

    def collect(self, now: float) -> tuple[list[Job], list[Job]]:
        """Moves on to a time.

        Returns:
            Jobs whose first token has just come, and jobs that have ended.
        """
        self._advance(now)
        first = []
        while self._prefill and self._prefill_left <= 1e-6:
            job = self._prefill.popleft()
            if self._prefill:
                self._prefill_left = float(self._prefill[0].prefill)
                self._queued_prefill -= self._prefill[0].prefill
            else:
                self._prefill_left = 0.0
            self._waiting.append(job)
        ended = []
        while self._heap and self._heap[0][0] <= self._tokens + 1e-6:
            end, _, job = heapq.heappop(self._heap)
            self._ends_sum -= end
            if job.request in self._open_jobs:
                self._close(job.request, self._open_jobs[job.request])
            ended.append(job)
        while self._waiting and len(self._heap) < SLOTS:
            job = self._waiting.popleft()
            self._queued_decode -= job.decode
            end = self._tokens + job.decode
            heapq.heappush(self._heap, (end, job.request, job))
            self._ends_sum += end
            self._queued_expected -= job.expected
            above = self._tokens + job.expected
            heapq.heappush(self._open, (above - 1, job.request, above))
            self._open_jobs[job.request] = above
            self._open_sum += above
            first.append(job)
        return first, ended

    def fail(self, now: float) -> list[Job]:
        """Dies: loses its cache; returns the jobs that are lost."""
        self._advance(now)
        lost = [job for _, _, job in self._heap]
        lost += [*self._prefill, *self._waiting]
        self._heap = []
        self._ends_sum = 0.0
        self._prefill.clear()
        self._waiting.clear()
        self._prefill_left = 0.0
        self._queued_decode = 0
        self._queued_prefill = 0
        self._queued_expected = 0
        self._open = []
        self._open_jobs = {}
        self._open_sum = 0.0
        self.cache.clear()
        return lost

    def _close(self, number: int, above: float) -> None:
        del self._open_jobs[number]
        self._open_sum -= above

    def _pace(self) -> float:
        """Tokens a second that each running job decodes."""
        return 1 / (STEP_S + STEP_PER_REQUEST_S * len(self._heap))

    def _advance(self, now: float) -> None:
        passed = now - self._at_s
        if passed <= 0:
            return
        self._at_s = now
        if self._heap:
            self._tokens += passed * self._pace()
        if self._prefill:
            done = passed * PREFILL_TOKENS_PER_S
            self._prefill_left = max(0.0, self._prefill_left - done)
