"""Which servers this instance reaches, directly or through other instances.

An instance that cannot open a connection to a server does not know whether the
server, or only its own link to it, has failed. Another instance (a *relay*)
that opens the connection instead shows that it is the link, and carries the
requests. Decided from the results of such attempts; there is no input or output
here.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
from collections.abc import Iterable

# Relays count as working for this long after one has last opened a connection
# to a server or passed data of one.
_WORKING_S = 3.0
# A server that no relay reached is not tried through relays for this long.
_OUT_OF_REACH_S = 1.0
# A relay that did not reach a server of a service is tried after the others for
# requests to that service for this long.
_AVOID_S = 4.0
# A relay that failed is not used for this long, doubled with each failure.
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 8.0
# A relay that stops does not come back under its name within this time.
_STOPPING_PAUSE_S = 10.0
# A relay of another data centre is used if those of the own one have so many
# connections more.
_LOCAL_PREFERENCE = 4
# After this many relays in a row were lost, the own link is the likely cause;
# none is tried for a while.
_MAX_LOST_IN_A_ROW = 2
_ALL_LOST_PAUSE_S = 1.0


class Verdict(enum.StrEnum):
    """Result of the attempt to reach a server through a relay.

    Attributes:
        REACHED: The relay has connected to the server.
        REFUSED: The server's host refuses the relay's connection, and the relay
            reaches other servers: the server's process has exited.
        UNREACHABLE: The relay could not connect to the server.
        LEAVING: The relay knows that the server leaves.
        UNKNOWN: The relay does not list the server, or it takes no requests.
        ISOLATED: The relay reaches no server itself.
        BUSY: The relay has as many connections as it may.
        STOPPING: The relay stops.
        LOST: The relay did not answer, or not as it should.
    """

    REACHED = "reached"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    UNKNOWN = "unknown"
    ISOLATED = "isolated"
    BUSY = "busy"
    STOPPING = "stopping"
    LOST = "lost"

    @property
    def about_server(self) -> bool:
        """Whether it shows something about the server, not the relay."""
        return self in _ABOUT_SERVER


_ABOUT_SERVER = frozenset(
    {
        Verdict.REACHED,
        Verdict.REFUSED,
        Verdict.UNREACHABLE,
        Verdict.LEAVING,
        Verdict.UNKNOWN,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """An instance that may connect to servers for this one.

    Attributes:
        name: Its name.
        address: Address at which other instances reach it.
        data_centre: Its data centre.
    """

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class _RelayState:
    failures: int = 0
    paused_until_s: float = -math.inf
    lost_s: float = -math.inf
    connections: int = 0
    # By service: when the relay last did not reach one of its servers.
    missed_s: dict[str, float] = dataclasses.field(default_factory=dict)
    # By server: when the relay last did not reach it.
    unreached_s: dict[str, float] = dataclasses.field(default_factory=dict)


class ServerPaths:
    """Paths to servers through other instances.

    Args:
        data_centre: The data centre of this instance.
        rng: Breaks ties between relays.
    """

    def __init__(self, *, data_centre: str, rng: random.Random):
        self._data_centre = data_centre
        self._rng = rng
        self._relays: dict[str, _RelayState] = collections.defaultdict(
            _RelayState
        )
        self._worked_s = -math.inf
        self._out_of_reach_s: dict[str, float] = {}
        self._lost_in_a_row: set[str] = set()
        self._all_paused_until_s = -math.inf

    def record(
        self,
        relay: str,
        server_id: str,
        service: str,
        verdict: Verdict,
        now: float,
    ) -> bool:
        """Records the result of an attempt to reach a server by one relay.

        Args:
            relay: Name of the relay.
            server_id: The server.
            service: The server's service.
            verdict: The result.
            now: Monotonic seconds.

        Returns:
            Whether the relay is not used for a while because of it.
        """
        state = self._relays[relay]
        if verdict is Verdict.REACHED:
            state.unreached_s.pop(server_id, None)
        elif verdict is not Verdict.BUSY:
            state.unreached_s[server_id] = now
        if verdict is Verdict.LOST:
            state.lost_s = now
            self._record_lost(relay, now)
        else:
            self._lost_in_a_row.clear()
        if verdict.about_server:
            state.failures = 0
            if verdict is Verdict.REACHED:
                self._worked_s = now
                state.missed_s.pop(service, None)
            else:
                state.missed_s[service] = now
            return False
        if now < state.paused_until_s:
            # Another attempt had begun before the pause.
            return False
        pause_s = _STOPPING_PAUSE_S
        if verdict is not Verdict.STOPPING:
            pause_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**state.failures)
            state.failures += 1
        state.paused_until_s = now + pause_s
        return True

    def record_result(
        self, server_id: str, verdict: Verdict | None, now: float
    ) -> None:
        """Records what several relays in turn have found of a server.

        Args:
            server_id: The server.
            verdict: What they found; None if none of them could tell.
            now: Monotonic seconds.
        """
        if verdict is None:
            self._worked_s = -math.inf
        elif verdict is Verdict.REACHED:
            self._out_of_reach_s.pop(server_id, None)
        else:
            self._out_of_reach_s[server_id] = now

    def record_data(self, now: float) -> None:
        """Records that a relay has passed data of a server."""
        self._worked_s = now

    def record_opened(self, relay: str) -> None:
        """Counts a connection through a relay."""
        self._relays[relay].connections += 1

    def record_closed(self, relay: str) -> None:
        """Counts the end of a connection through a relay."""
        state = self._relays[relay]
        state.connections = max(0, state.connections - 1)

    def works(self, now: float) -> bool:
        """Returns whether relays have recently reached servers."""
        return now - self._worked_s <= _WORKING_S

    def may_reach(self, server_id: str, now: float) -> bool:
        """Returns whether a server may be reachable through relays."""
        tried_s = self._out_of_reach_s.get(server_id, -math.inf)
        return now - tried_s > _OUT_OF_REACH_S

    def is_lost(self, relay: str, server_id: str, since_s: float) -> bool:
        """Returns whether a server's path through a relay has been lost.

        Args:
            relay: Name of the relay.
            server_id: The server.
            since_s: Since when, monotonic seconds.
        """
        state = self._relays[relay]
        unreached_s = state.unreached_s.get(server_id, -math.inf)
        return max(state.lost_s, unreached_s) >= since_s

    def rank(
        self, relays: Iterable[Relay], service: str, now: float
    ) -> list[Relay]:
        """Returns the relays that may be used, the best first.

        Connections are spread evenly over the relays of the own data centre,
        and over those of others once these have many. Relays that did not reach
        the service's servers come last.
        """
        if now < self._all_paused_until_s:
            return []
        usable = [
            relay
            for relay in relays
            if now >= self._relays[relay.name].paused_until_s
        ]
        self._rng.shuffle(usable)
        return sorted(usable, key=lambda one: self._cost(one, service, now))

    def retain(self, server_ids: frozenset[str]) -> None:
        """Removes servers that are no longer listed."""
        for name in self._out_of_reach_s.keys() - server_ids:
            del self._out_of_reach_s[name]
        for state in self._relays.values():
            for name in state.unreached_s.keys() - server_ids:
                del state.unreached_s[name]

    def _cost(self, relay: Relay, service: str, now: float) -> tuple[bool, int]:
        state = self._relays[relay.name]
        missed = now - state.missed_s.get(service, -math.inf) <= _AVOID_S
        local = relay.data_centre == self._data_centre
        return missed, state.connections + (0 if local else _LOCAL_PREFERENCE)

    def _record_lost(self, relay: str, now: float) -> None:
        self._lost_in_a_row.add(relay)
        if len(self._lost_in_a_row) >= _MAX_LOST_IN_A_ROW:
            self._lost_in_a_row.clear()
            self._all_paused_until_s = now + _ALL_LOST_PAUSE_S
