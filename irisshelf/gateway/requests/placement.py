"""Finds a backend server for each send of a request, and connects to it."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import send_history
from irisshelf.gateway.servers import reachability
from irisshelf.routing import crash_suspects
from irisshelf.routing.direct import outage
from irisshelf.routing.direct import server_choice
from irisshelf.transport import client
from irisshelf.transport import errors

# Each takes a tenth of a second at the most, which is the caller's time.
_MOST_CONNECTS = 5
# Callers who wait for servers to take requests again come back spread over so
# much time: at first these take one request at a time.
_RESTED_SPREAD_S = 1.0
# Callers who wait for cold servers come back one after the other.
_COLD_SPREAD = 1.3
# Servers of a region come back after seconds, if at all.
_NO_REGION_RETRY_S = 2.0
# A server has gone that a suspect request was to go to, and why is not known.
_UNCERTAIN = "servers_may_have_ended_under_it"
# Known by then: messages about ends are sent again after 0.4 s.
_UNCERTAIN_RETRY_S = 0.5
# A request that must not run twice goes only on a connection that was in use
# just now: whether one that died at rest took the request cannot be known.
_REST_FOR_ONCE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A server that is chosen, and a connection to it."""

    choice: server_choice.Choice
    conn: client.Connection


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """The request is not sent.

    Attributes:
        why: A word for logs.
        retry_after_s: When its caller should come back; None if that does not
            follow from why.
    """

    why: str
    retry_after_s: float | None = None


class Placement:
    """Places the sends of one request.

    Args:
        inst: The instance.
        job: The request.
        sends: Its sends so far; servers out of reach are avoided from then on.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        sends: send_history.SendHistory,
    ):
        self._inst = inst
        self._job = job
        self._sends = sends
        self._chooser = inst.servers.chooser(job.service)
        self._admitted = False
        self._connects = 0
        self._replacement: Assignment | None = None

    def next(
        self, verdict: crash_suspects.Verdict | None
    ) -> Assignment | Rejection | None:
        """Places the next send.

        Args:
            verdict: What is thought of the request; None if it is clear.

        Returns:
            None if the server that was chosen could not be reached, or takes
            no request any more.
        """
        placed, self._replacement = self._replacement, None
        if placed is None:
            choice = (
                self._choose_suspect(verdict) if verdict else self._choose()
            )
            if isinstance(choice, Rejection):
                return choice
            if choice is None:
                return self._no_server()
            refusal = self._refuse(choice)
            if refusal is not None:
                return refusal
            placed = self._connect(choice)
        if placed is None or self._begin(placed.choice.server):
            return placed
        self._keep(placed)
        return None

    def _begin(self, server: directory.BackendServer) -> bool:
        """Takes that a request goes to a server now, if it still may.

        The server may have said otherwise while a connection came about.
        """
        if not self._inst.eligible.accepts(server):
            return False
        self._inst.eligible.availability.record_sent(
            server.server_id, self._inst.now()
        )
        return True

    def _no_server(self) -> Rejection:
        """Says why there is no server, and when that may have changed."""
        inst = self._inst
        if self._job.regions is not None and not self._usable():
            # Another instance knows no other servers.
            return Rejection(why="no_region", retry_after_s=_NO_REGION_RETRY_S)
        evacuated_s = inst.eligible.all_evacuated_for_s(self._job.service)
        if evacuated_s is not None:
            return Rejection(
                why="evacuated",
                retry_after_s=outage.retry_after_s(evacuated_s, inst.rng),
            )
        pause_s = inst.eligible.accepting_in_s(
            self._job.service, self._job.regions
        )
        if pause_s is not None:
            spread_s = inst.rng.uniform(0.0, _RESTED_SPREAD_S)
            return Rejection(why="resting", retry_after_s=pause_s + spread_s)
        cold_s = min(
            map(inst.eligible.cold_wait_s, self._accepting()), default=0.0
        )
        if cold_s:
            spread = inst.rng.uniform(1.0, _COLD_SPREAD)
            return Rejection(why="cold", retry_after_s=cold_s * spread)
        return Rejection(why="no_server")

    def replace(
        self, running: directory.BackendServer, conn: client.Connection
    ) -> bool:
        """Decides whether a silent server is left for another.

        Not before a new connection to the other one stands, and only if nothing
        has come from the silent one meanwhile: when this instance's own link is
        full, every server seems silent and out of reach, while the answer is
        on its way. An answer given up then was lost to its caller. A connection
        at rest, to whomever, says nothing of the link.

        Args:
            running: The silent server.
            conn: The connection to it.

        Returns:
            Whether it is left; ``next`` then returns the other one.
        """
        if not self._may_send_again():
            return False
        found = self._connect_to_other(running)
        if found is None:
            return False
        if conn.has_input() or not self._sends.take_retry():
            self._keep(found)
            return False
        self._replacement = found
        return True

    def close(self) -> None:
        """Takes that nothing more is sent."""
        if self._replacement is not None:
            self._keep(self._replacement)
            self._replacement = None

    def _keep(self, placed: Assignment) -> None:
        self._inst.servers.connection_pool.add_idle(
            placed.choice.server, placed.conn
        )

    def _left_s(self) -> float:
        return self._job.deadline_s - self._inst.now()

    def _choose_suspect(
        self, verdict: crash_suspects.Verdict
    ) -> server_choice.Choice | Rejection | None:
        place = self._inst.crashes.place_suspect(
            self._job, verdict, self._sends.avoid
        )
        if place.uncertain:
            return Rejection(why=_UNCERTAIN, retry_after_s=_UNCERTAIN_RETRY_S)
        if self._is_over() or place.server is None:
            return None
        return self._choose_among((place.server,), set())

    def _is_over(self) -> bool:
        return self._connects >= _MOST_CONNECTS or self._left_s() <= 0

    def _choose(self) -> server_choice.Choice | None:
        if self._is_over():
            return None
        servers = self._accepting()
        choice = self._choose_among(servers, self._sends.avoid)
        if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
            # One that failed this request lives; another try may do better.
            failed = [s for s in servers if s.server_id in self._sends.failed]
            again = self._choose_among(failed, set())
            if again and again.reason is not server_choice.Reason.LAST_RESORT:
                return again
        return choice

    def _usable(self) -> tuple[directory.BackendServer, ...]:
        return self._inst.eligible.usable(self._job.service, self._job.regions)

    def _accepting(self) -> tuple[directory.BackendServer, ...]:
        return self._inst.eligible.accepting(
            self._job.service, self._job.regions
        )

    def _choose_among(
        self, servers: Sequence[directory.BackendServer], avoid: set[str]
    ) -> server_choice.Choice | None:
        known = self._inst.eligible
        warm, cold = known.split(self._job.service, servers)
        service = self._job.service
        idle = (*known.evacuated(service), *known.paused(service))
        choice = self._choose_of(warm, avoid, [*idle, *cold])
        if not cold or not _is_short(choice):
            return choice
        turn = [s for s in cold if not known.cold_wait_s(s)]
        other = self._choose_of(turn, avoid, [*idle, *warm])
        if other is None or other.reason is server_choice.Reason.LAST_RESORT:
            return choice
        known.record_sent_to_cold(other.server)
        return other

    def _choose_of(
        self,
        servers: Sequence[directory.BackendServer],
        avoid: set[str],
        idle: Sequence[directory.BackendServer],
    ) -> server_choice.Choice | None:
        return self._chooser.choose(
            servers,
            self._job.head.prompt,
            avoid=frozenset(avoid),
            now=self._inst.now(),
            sources=self._inst.eligible.sources(
                self._job.service, self._job.regions
            ),
            idle=idle,
        )

    def _refuse(self, choice: server_choice.Choice) -> Rejection | None:
        """Decides once whether a request that would have to wait is sent."""
        if self._admitted:
            return None
        refusal = admission.refuse(self._inst, self._job, choice)
        if refusal is not None:
            return Rejection(
                why="overloaded", retry_after_s=refusal.retry_after_s
            )
        self._admitted = True
        return None

    def _may_send_again(self) -> bool:
        """Tells whether another send may follow the one that runs."""
        route = self._job.route
        budget = self._inst.servers.budget(self._job.service)
        return (
            self._inst.cfg.policy.patience
            and route.repeatable
            and self._sends.count < route.max_attempts
            and budget.remaining(self._inst.now()) >= 1
            and not self._inst.crashes.verdict(self._job)
        )

    def _connect_to_other(
        self, running: directory.BackendServer
    ) -> Assignment | None:
        """Connects to a fit server other than the one that runs."""
        if self._connects >= _MOST_CONNECTS:
            return None
        choice = self._choose_among(
            self._accepting(),
            self._sends.avoid | {running.server_id},
        )
        if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
            return None
        if choice.full:
            return None
        return self._connect_anew(choice)

    def _connect(self, choice: server_choice.Choice) -> Assignment | None:
        """Returns None if the server cannot be reached."""
        server = choice.server
        # A connection to a lost server rests in vain: it swallows requests.
        if not self._inst.servers.is_unreachable(server):
            rest_s = self._longest_rest_s()
            kept = self._inst.servers.connection_pool.acquire(
                server, max_idle_s=rest_s
            )
            if kept is not None:
                return Assignment(choice=choice, conn=kept)
        return self._connect_anew(choice)

    def _connect_anew(self, choice: server_choice.Choice) -> Assignment | None:
        """Returns None if the server cannot be reached."""
        server = choice.server
        self._connects += 1
        self._inst.metrics.connects.labels(server.service).inc()
        timeout_s = min(reachability.CONNECT_TIMEOUT_S, self._left_s())
        try:
            conn = client.connect(server.address, timeout_s=timeout_s)
        except errors.ConnectError as exc:
            self._not_reached(choice, exc)
            return None
        return Assignment(choice=choice, conn=conn)

    def _longest_rest_s(self) -> float:
        once = not self._job.route.repeatable
        if once and self._inst.cfg.policy.fresh_connections:
            return _REST_FOR_ONCE_S
        return float("inf")

    def _not_reached(
        self, choice: server_choice.Choice, exc: errors.ConnectError
    ) -> None:
        server = choice.server
        self._sends.avoid.add(server.server_id)
        if choice.reason is server_choice.Reason.LAST_RESORT:
            # The others are known to be lost as well; the caller should hear
            # so while there is time to ask another instance.
            self._connects = _MOST_CONNECTS
        self._inst.servers.record_unreachable(
            server, exc, self._job.head.request_id
        )


def _is_short(choice: server_choice.Choice | None) -> bool:
    """Tells whether warm servers cannot take a request at once."""
    if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
        return True
    return choice.load >= choice.server.slots
