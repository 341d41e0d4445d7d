"""Serves callers during a planned stop, and ends what is left of it."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from irisshelf.gateway import listener as listener_module
from irisshelf.gateway import shutdown
from irisshelf.gateway.servers import relay_endpoint as relay_endpoint_module

# How long new callers are served after the stop signal. The load balancer
# checks readiness every second and stops sending callers after two failures.
_LAME_DUCK_S = 3.2
# Time for the last responses, after the end of the schedule.
_LAST_RESPONSES_S = 0.2
_POLL_INTERVAL_S = 0.05


class Drain:
    """Serves until nothing is in progress, or until the schedule ends.

    Args:
        schedule: The schedule.
        callers: The listener for callers.
        relay_endpoint: Connections to servers for other instances.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        schedule: shutdown.Schedule,
        callers: listener_module.Listener,
        relay_endpoint: relay_endpoint_module.RelayEndpoint,
        now: Callable[[], float],
    ):
        self._schedule = schedule
        self._callers = callers
        self._relay_endpoint = relay_endpoint
        self._now = now

    def run(self) -> None:
        """Returns when the process may exit.

        Requests that are in progress when the schedule ends get a response that
        says so, as far as none has begun.
        """
        noticed_s = self._schedule.began_s + _LAME_DUCK_S
        self._wait(lambda: self._now() > noticed_s and not self._is_busy())
        self._callers.stop_accepting()
        self._callers.close_idle()
        self._wait(lambda: not self._is_busy())
        self._callers.end_requests()
        self._wait(lambda: not self._callers.busy, extra_s=_LAST_RESPONSES_S)

    def _is_busy(self) -> bool:
        return bool(self._callers.busy or self._relay_endpoint.open)

    def _wait(self, until: Callable[[], bool], *, extra_s: float = 0.0) -> None:
        end_s = self._schedule.ends_s + extra_s
        while self._now() < end_s and not until():
            gevent.sleep(_POLL_INTERVAL_S)
