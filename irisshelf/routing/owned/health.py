"""Health of backend servers and engines, from traffic, probes and server lists.

The states are defined in ``charts/backend_health.json``. A server that has gone
down is held down for a time that grows with each flap, so that placement does
not oscillate.
"""

from __future__ import annotations

import dataclasses
import enum

from irisshelf.charts import chart

MIN_HOLD_DOWN_S = 1.0
MAX_HOLD_DOWN_S = 30.0
FLAP_RESET_S = 120.0


class Event(enum.StrEnum):
    """An observation of a backend server or engine."""

    SUCCESS = "success"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    PROBE_OK = "probe_ok"
    LEAVE = "leave"
    REJOIN = "rejoin"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Health:
    """Health of one backend server or engine."""

    state: str
    flaps: int = 0
    last_success_s: float = float("-inf")
    down_since_s: float = float("-inf")


class HealthTracker:
    """Health of backend servers (``SERVER``) and engines (``SERVER/ENGINE``).

    A server or engine without observations counts as healthy, so that a new
    instance can serve immediately and learn from its own traffic. An engine is
    available for new work if both it and its server are.
    """

    def __init__(self):
        self._chart = chart.load("backend_health")
        self._servers: dict[str, Health] = {}

    def state(self, name: str) -> str:
        """Returns the state of a server or engine."""
        return self._get(name).state

    def last_success_s(self, name: str) -> float:
        """Returns the time of the last successful request or probe."""
        return self._get(name).last_success_s

    def takes_work(self, name: str) -> bool:
        """Tells whether a server or engine may receive new work."""
        server, _, engine = name.partition("/")
        available = self._chart.has_tag(self._get(server).state, "takes_work")
        if not engine or not available:
            return available
        return self._chart.has_tag(self._get(name).state, "takes_work")

    def observe(self, name: str, event: Event, now: float) -> bool:
        """Records an observation.

        Args:
            name: Name of the server or engine.
            event: The observation.
            now: Time in seconds.

        Returns:
            Whether its availability for new work has changed.
        """
        before = self._get(name)
        if event is Event.PROBE_OK and self._is_held_down(before, now):
            return False
        state = self._chart.step_or_stay(before.state, event.value)
        after = dataclasses.replace(before, state=state)
        if event in (Event.SUCCESS, Event.PROBE_OK):
            after = dataclasses.replace(after, last_success_s=now)
        if state == "down" and before.state != "down":
            after = _record_down(after, now)
        self._servers[name] = after
        was_available = self._chart.has_tag(before.state, "takes_work")
        return was_available != self._chart.has_tag(state, "takes_work")

    def retain(self, names: frozenset[str]) -> None:
        """Removes all servers not in ``names``, with their engines."""
        for name in list(self._servers):
            if name.partition("/")[0] not in names:
                del self._servers[name]

    def _get(self, name: str) -> Health:
        return self._servers.get(name) or Health(state=self._chart.initial)

    def _is_held_down(self, health: Health, now: float) -> bool:
        if health.state != "down":
            return False
        return now - health.down_since_s < hold_down_s(health.flaps)


def hold_down_s(flaps: int) -> float:
    """Returns how long a server is held down after its latest flap.

    Example:
        >>> hold_down_s(1), hold_down_s(3)
        (1.0, 4.0)
    """
    return min(MAX_HOLD_DOWN_S, MIN_HOLD_DOWN_S * 2 ** max(0, flaps - 1))


def _record_down(health: Health, now: float) -> Health:
    recent = now - health.down_since_s < FLAP_RESET_S
    flaps = health.flaps + 1 if recent else 1
    return dataclasses.replace(health, flaps=flaps, down_since_s=now)
