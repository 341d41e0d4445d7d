"""Estimates of the outstanding work of each engine.

Work is measured in tokens to decode; an uncached prompt token counts as the
service's ``prefill_weight``. An engine's report covers the work sent by all
instances, but arrives late, so that work this instance has sent or completed
since the report is added to it. A report that is too old is dropped, and the
estimate becomes the instance's own work times the number of instances.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Sequence

MAX_REPORT_AGE_S = 10.0
_MAX_CHANGES = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load reported by an engine.

    Attributes:
        work: Outstanding work in tokens.
        at_s: Time of the measurement, on this instance's clock.
    """

    work: float
    at_s: float


class LoadTracker:
    """Outstanding work of engines numbered 0 to ``size - 1``.

    Args:
        size: Number of engines.
        instances: Number of instances that send to these engines.
        max_report_age_s: Age above which a report is dropped.
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
        self._max_report_age_s = max_report_age_s
        self._own_work = [0.0] * size
        self._own_total = 0.0
        self._reported_work = [0.0] * size
        self._reported_at_s = [float("-inf")] * size
        self._work_since_report = [0.0] * size
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
        self._recompute_totals()

    def own_work(self, engine: int) -> float:
        """Returns this instance's own outstanding work on an engine."""
        return self._own_work[engine]

    def estimate(self, engine: int) -> float:
        """Returns the estimated outstanding work of all instances there."""
        if self._reported_at_s[engine] == float("-inf"):
            return self._own_work[engine] * self._instances
        return max(
            self._own_work[engine],
            self._reported_work[engine] + self._work_since_report[engine],
        )

    def total(self) -> float:
        """Returns the sum of all estimates."""
        return self._total

    def add(self, engine: int, work: float, now: float) -> None:
        """Adds work sent to an engine; negative work was completed there."""
        before = self.estimate(engine)
        self._own_work[engine] = max(0.0, self._own_work[engine] + work)
        self._own_total = max(0.0, self._own_total + work)
        self._changes[engine].append((now, work))
        self._work_since_report[engine] += work
        self._total += self.estimate(engine) - before

    def report(self, engine: int, report: LoadReport) -> None:
        """Applies an engine's report, unless it is older than the last one."""
        if report.at_s <= self._reported_at_s[engine]:
            return
        before = self.estimate(engine)
        changes = self._changes[engine]
        while changes and changes[0][0] <= report.at_s:
            changes.popleft()
        self._reported_work[engine] = report.work
        self._reported_at_s[engine] = report.at_s
        self._work_since_report[engine] = sum(work for _, work in changes)
        self._total += self.estimate(engine) - before

    def expire(self, now: float) -> None:
        """Drops reports that are too old; to be called about once a second."""
        for engine, at_s in enumerate(self._reported_at_s):
            if at_s != float("-inf") and now - at_s > self._max_report_age_s:
                self._reported_at_s[engine] = float("-inf")
        self._recompute_totals()

    def estimates(self) -> Sequence[float]:
        """Returns the estimates of all engines."""
        return [self.estimate(engine) for engine in range(self._size)]

    def _recompute_totals(self) -> None:
        """Recomputes the sums, so that rounding errors do not accumulate."""
        self._total = sum(self.estimates())
        self._own_total = sum(self._own_work)
