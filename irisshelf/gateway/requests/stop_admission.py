"""Decides which requests an instance that stops still starts.

A request that is cut by the stop may have run, so that its caller cannot repeat
it. One that is rejected before it is sent can be served by another instance.
"""

from __future__ import annotations

from collections.abc import Callable

from irisshelf.catalog import model
from irisshelf.gateway import messages
from irisshelf.gateway import shutdown
from irisshelf.routing.direct import route_durations

# After a signal to stop, new streams are accepted for this long, as they may
# still end in time: callers open new connections for about two seconds more.
_ACCEPT_STREAMS_S = 2.5
# So are other requests of which it is not known how long they take.
_ACCEPT_UNKNOWN_S = 3.0
# Requests that may take until after the stop are not started any more when
# this much time remains, however short they usually are.
_RESERVE_S = 1.5
# Such requests are started if no more than this share of the recent requests of
# their route took longer than the remaining time less a margin, as servers may
# be busier by now.
_MAX_SHARE_CUT = 0.1
_MARGIN_S = 0.3


class StopAdmission:
    """Decides on requests of callers while an instance stops.

    Args:
        now: Monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self.durations = route_durations.RouteDurations(now=now)

    def is_too_late(
        self, job: messages.Job, schedule: shutdown.Schedule
    ) -> bool:
        """Returns whether a request would probably be cut by the stop.

        Args:
            job: The request, read completely.
            schedule: The schedule of the stop.
        """
        now = self._now()
        elapsed_s = now - schedule.began_s
        left_s = schedule.ends_s - now
        if job.route.kind is model.RouteKind.STREAMING:
            return elapsed_s > _ACCEPT_STREAMS_S
        if job.deadline_s <= schedule.ends_s:
            return False
        if left_s < _RESERVE_S:
            return True
        fits_s = left_s - _MARGIN_S
        share_cut = self.durations.share_longer(job.route.name, fits_s)
        if share_cut is not None:
            return share_cut > _MAX_SHARE_CUT
        objective_s = job.route.latency_target_s
        if objective_s:
            return objective_s > fits_s
        return elapsed_s > _ACCEPT_UNKNOWN_S
