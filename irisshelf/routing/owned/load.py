"""What an instance believes of each engine's outstanding work.

Work is counted in tokens to decode; uncached prompt tokens count by the
service's ``prefill_weight``. An engine's report covers what every instance
sent it, but is late; this instance's own sends and ends since the report are
added to it. A report that is too old is dropped, and the instance's own work,
scaled by the number of instances, takes its place.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Sequence

MAX_REPORT_AGE_S = 10.0
_MAX_CHANGES = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """An engine's load, as it reports it.

    Attributes:
        work: Outstanding work in tokens.
        at_s: When that was so, on this instance's clock.
    """

    work: float
    at_s: float


class LoadTracker:
    """Outstanding work of engines numbered 0 to ``size - 1``.

    Args:
        size: Number of engines.
        instances: Number of instances that send to these engines.
        max_report_age_s: Older reports are not used.
    """

    def __init__(
        self,
        *,
        size: int,
        instances: int = 1,
        max_report_age_s: float = MAX_REPORT_AGE_S,
    ):
        self._size = size
        self._instances = instances
        self._max_age_s = max_report_age_s
        self._own = [0.0] * size
        self._own_total = 0.0
        self._base = [0.0] * size
        self._base_at_s = [float("-inf")] * size
        self._since = [0.0] * size
        self._changes: list[collections.deque[tuple[float, float]]] = [
            collections.deque(maxlen=_MAX_CHANGES) for _ in range(size)
        ]
        self._total = 0.0

    @property
    def own_total(self) -> float:
        """This instance's outstanding work on all engines."""
        return self._own_total

    def set_instances(self, instances: int) -> None:
        """Sets how many instances send to these engines."""
        self._instances = max(1, instances)
        self._recount()

    def own_work(self, engine: int) -> float:
        """Returns this instance's own outstanding work on an engine."""
        return self._own[engine]

    def estimate(self, engine: int) -> float:
        """Returns what all instances together have outstanding there."""
        if self._base_at_s[engine] == float("-inf"):
            return self._own[engine] * self._instances
        return max(self._own[engine], self._base[engine] + self._since[engine])

    def total(self) -> float:
        """Returns the sum of all estimates."""
        return self._total

    def add(self, engine: int, work: float, now: float) -> None:
        """Counts work sent to (or, if negative, ended at) an engine."""
        before = self.estimate(engine)
        self._own[engine] = max(0.0, self._own[engine] + work)
        self._own_total = max(0.0, self._own_total + work)
        self._changes[engine].append((now, work))
        self._since[engine] += work
        self._total += self.estimate(engine) - before

    def report(self, engine: int, report: LoadReport) -> None:
        """Takes an engine's report; an older one than the last is ignored."""
        if report.at_s <= self._base_at_s[engine]:
            return
        before = self.estimate(engine)
        changes = self._changes[engine]
        while changes and changes[0][0] <= report.at_s:
            changes.popleft()
        self._base[engine] = report.work
        self._base_at_s[engine] = report.at_s
        self._since[engine] = sum(work for _, work in changes)
        self._total += self.estimate(engine) - before

    def expire(self, now: float) -> None:
        """Drops reports that are too old; call it about once a second."""
        for engine, at_s in enumerate(self._base_at_s):
            if at_s != float("-inf") and now - at_s > self._max_age_s:
                self._base_at_s[engine] = float("-inf")
        self._recount()

    def estimates(self) -> Sequence[float]:
        """Returns the estimates of all engines."""
        return [self.estimate(engine) for engine in range(self._size)]

    def _recount(self) -> None:
        """Sums anew, so that rounding errors do not pile up."""
        self._total = sum(self.estimates())
        self._own_total = sum(self._own)
