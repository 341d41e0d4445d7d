"""Health of backend servers and engines, from traffic, probes and lists.

The states are those of ``charts/backend_health.json``. A server that was down
must stay up for a while before it gets work again, longer each time that it
flaps, so that placement does not swing to and fro.
"""

from __future__ import annotations

import dataclasses
import enum

from irisshelf.charts import chart

MIN_HOLD_DOWN_S = 1.0
MAX_HOLD_DOWN_S = 30.0
FLAP_RESET_S = 120.0


class Event(enum.StrEnum):
    """What was seen of a backend server or engine."""

    SUCCESS = "success"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    PROBE_OK = "probe_ok"
    LEAVE = "leave"
    REJOIN = "rejoin"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Health:
    """What is known of one backend server or engine."""

    state: str
    flaps: int = 0
    last_success_s: float = float("-inf")
    down_since_s: float = float("-inf")


class HealthTracker:
    """Health of backend servers, named ``SERVER``, and ``SERVER/ENGINE``.

    One not heard of is taken as healthy: a new instance serves at once and
    learns from its own traffic. An engine takes work if it and its server do.
    """

    def __init__(self):
        self._chart = chart.load("backend_health")
        self._servers: dict[str, Health] = {}

    def state(self, name: str) -> str:
        """Returns the state of a server or engine itself."""
        return self._get(name).state

    def last_success_s(self, name: str) -> float:
        """Returns when a server or engine last answered well."""
        return self._get(name).last_success_s

    def takes_work(self, name: str) -> bool:
        """Tells whether a server or engine may get new work."""
        server, _, engine = name.partition("/")
        fit = self._chart.has_tag(self._get(server).state, "takes_work")
        if not engine or not fit:
            return fit
        return self._chart.has_tag(self._get(name).state, "takes_work")

    def observe(self, name: str, event: Event, now: float) -> bool:
        """Takes an observation.

        Args:
            name: The server's or engine's name.
            event: What was seen.
            now: Time in seconds.

        Returns:
            Whether its fitness for new work has changed.
        """
        before = self._get(name)
        if event is Event.PROBE_OK and self._held_down(before, now):
            return False
        state = self._chart.move(before.state, event.value)
        after = dataclasses.replace(before, state=state)
        if event in (Event.SUCCESS, Event.PROBE_OK):
            after = dataclasses.replace(after, last_success_s=now)
        if state == "down" and before.state != "down":
            after = _gone_down(after, now)
        self._servers[name] = after
        was = self._chart.has_tag(before.state, "takes_work")
        return was != self._chart.has_tag(state, "takes_work")

    def retain(self, names: frozenset[str]) -> None:
        """Drops all servers, and their engines, but these servers."""
        for name in list(self._servers):
            if name.partition("/")[0] not in names:
                del self._servers[name]

    def _get(self, name: str) -> Health:
        return self._servers.get(name) or Health(state=self._chart.initial)

    def _held_down(self, health: Health, now: float) -> bool:
        if health.state != "down":
            return False
        return now - health.down_since_s < hold_down_s(health.flaps)


def hold_down_s(flaps: int) -> float:
    """Returns how long a server stays out after its latest flap.

    Example:
        >>> hold_down_s(1), hold_down_s(3)
        (1.0, 4.0)
    """
    return min(MAX_HOLD_DOWN_S, MIN_HOLD_DOWN_S * 2 ** max(0, flaps - 1))


def _gone_down(health: Health, now: float) -> Health:
    recent = now - health.down_since_s < FLAP_RESET_S
    flaps = health.flaps + 1 if recent else 1
    return dataclasses.replace(health, flaps=flaps, down_since_s=now)
