"""Selects a backend server for each send of a request and connects to it."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import crash_gate
from irisshelf.gateway.requests import rejection
from irisshelf.gateway.requests import request_demand
from irisshelf.gateway.requests import send_history
from irisshelf.gateway.requests import stream_binding
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import relays as relays_module
from irisshelf.routing import crash_suspects
from irisshelf.routing.direct import outage
from irisshelf.routing.direct import server_choice
from irisshelf.transport import client
from irisshelf.transport import errors

# Limit on connection attempts per request. Each takes up to 0.1 s of the
# caller's time.
_MAX_CONNECTS = 5
# After this number of failed connections a request takes the path through other
# instances, and limit on these attempts.
_FAILED_BEFORE_RELAY = 2
_MAX_RELAY_ATTEMPTS = 3
# Callers' retries are spread over this time after the servers' backoff ends, as
# the servers take one request at a time at first.
_BACKOFF_JITTER_S = 1.0
# If admission control takes longer, as it waits for the holders of a
# reservation, other requests have been sent meanwhile, and the server is
# selected again. Without a wait it takes a fraction of this.
_MAX_ADMISSION_S = 0.001
# Upper factor on Retry-After while servers are cold, to spread the retries.
_COLD_JITTER = 1.3
# Servers of a region return after seconds, if at all.
_NO_REGION_RETRY_S = 2.0
# Reason given when no server of the release that began a stream is left, and
# when to retry: one that has crashed is back after about that time.
NO_SERVER_OF_VERSION = "no_server_of_version"
_NO_VERSION_RETRY_S = (1.5, 2.5)
# A request that must not run twice is sent only over a connection that has been
# idle for no longer than this: if a connection died while idle, it cannot be
# known whether the server received the request.
_MAX_IDLE_FOR_ONCE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A selected server and a connection to it."""

    choice: server_choice.Choice
    conn: client.Connection


class Placement:
    """Selects servers for the sends of one request.

    Args:
        inst: The instance.
        job: The request.
        sends: Its sends so far; unreachable servers are added to those that it
            avoids.
        binding: The release that its stream is bound to.
        demand: Counts whether it is admitted.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        sends: send_history.SendHistory,
        binding: stream_binding.StreamBinding,
        demand: request_demand.RequestDemand,
    ):
        self._inst = inst
        self._job = job
        self._sends = sends
        self._binding = binding
        self._demand = demand
        self._chooser = inst.servers.chooser(job.service)
        self._gate = crash_gate.CrashGate(inst=inst, job=job)
        self._admitted = False
        self._connects = 0
        self._failed_connects = 0
        self._relay_attempts = 0
        self._replacement: Assignment | None = None

    def next(self) -> Assignment | rejection.Rejection | None:
        """Selects a server for the next send.

        Returns:
            None if the server that was chosen is unreachable or has stopped
            accepting requests.
        """
        verdict = self._gate.check()
        if isinstance(verdict, rejection.Rejection):
            return verdict
        assignment, self._replacement = self._replacement, None
        if assignment is None:
            choice = (
                self._choose_suspect(verdict) if verdict else self._choose()
            )
            if isinstance(choice, rejection.Rejection):
                return choice
            if choice is None:
                return self._no_server()
            chosen_s = self._inst.now()
            refusal = self._admit(choice)
            if refusal is not None:
                return refusal
            waited = self._inst.now() - chosen_s > _MAX_ADMISSION_S
            if waited and not verdict:
                choice = self._choose() or choice
            assignment = self._connect(choice)
        if assignment is None or self._record_send(assignment.choice.server):
            return assignment
        self._return_connection(assignment)
        return None

    def _record_send(self, server: directory.BackendServer) -> bool:
        """Records a send if the server still accepts the request.

        The server may have started to drain or to back off, its entry may have
        changed, or the request may have become suspect, while the connection
        was established.
        """
        eligible = self._inst.eligible
        if (
            not eligible.accepts(server)
            or not eligible.meets(server, self._binding.requirements)
            or not self._gate.allows(server)
        ):
            return False
        self._binding.record_send(server)
        self._inst.eligible.availability.record_sent(
            server.server_id, self._inst.now()
        )
        return True

    def _no_server(self) -> rejection.Rejection:
        """Returns why there is no server and when to retry."""
        inst = self._inst
        if self._binding.release is not None and not self._usable():
            return rejection.Rejection(
                why=NO_SERVER_OF_VERSION,
                retry_after_s=inst.rng.uniform(*_NO_VERSION_RETRY_S),
            )
        if self._job.regions is not None and not self._usable():
            # Other instances have the same list: do not invite a quick retry.
            return rejection.Rejection(
                why="no_region", retry_after_s=_NO_REGION_RETRY_S
            )
        evacuated_s = inst.eligible.all_evacuated_for_s(self._job.service)
        if evacuated_s is not None:
            return rejection.Rejection(
                why="evacuated",
                retry_after_s=outage.retry_after_s(evacuated_s, inst.rng),
            )
        pause_s = inst.eligible.accepting_in_s(
            self._job.service, self._binding.requirements
        )
        if pause_s is not None:
            jitter_s = inst.rng.uniform(0.0, _BACKOFF_JITTER_S)
            return rejection.Rejection(
                why="resting", retry_after_s=pause_s + jitter_s
            )
        cold_s = min(
            map(inst.eligible.cold_wait_s, self._accepting()), default=0.0
        )
        if cold_s:
            jitter = inst.rng.uniform(1.0, _COLD_JITTER)
            return rejection.Rejection(
                why="cold", retry_after_s=cold_s * jitter
            )
        return rejection.Rejection(why="no_server")

    def fail_over(
        self, current: directory.BackendServer, conn: client.Connection
    ) -> bool:
        """Decides whether to abandon a silent server for another one.

        That requires a new connection to the other server, and that no data
        has arrived from the silent one meanwhile. When this instance's own
        network link is saturated, every server seems silent and unreachable
        while the response is already on its way, and abandoning the server
        loses that response. An idle connection, to any server, does not prove
        that the link works.

        Args:
            current: The silent server.
            conn: The connection to it.

        Returns:
            Whether it is abandoned; ``next`` then returns the other server.
        """
        if not self._may_send_again():
            return False
        other = self._connect_to_other(current)
        if other is None:
            return False
        if conn.has_input() or not self._sends.take_retry():
            self._return_connection(other)
            return False
        self._replacement = other
        return True

    def close(self) -> None:
        """Releases what the request has reserved and not used."""
        self._gate.close()
        if self._replacement is not None:
            self._return_connection(self._replacement)
            self._replacement = None

    def _return_connection(self, assignment: Assignment) -> None:
        self._inst.servers.connection_pool.add_idle(
            assignment.choice.server, assignment.conn
        )

    def _remaining_s(self) -> float:
        return self._job.deadline_s - self._inst.now()

    def _choose_suspect(
        self, verdict: crash_suspects.Verdict
    ) -> server_choice.Choice | rejection.Rejection | None:
        placed = self._gate.place(
            verdict, self._sends.avoid, self._binding.requirements
        )
        if isinstance(placed, rejection.Rejection):
            return placed
        if self._is_exhausted() or placed is None:
            return None
        return self._choose_among((placed,), set())

    def _is_exhausted(self) -> bool:
        return self._connects >= _MAX_CONNECTS or self._remaining_s() <= 0

    def _choose(self) -> server_choice.Choice | None:
        if self._is_exhausted():
            return None
        servers = self._accepting()
        choice = self._choose_among(servers, self._sends.avoid)
        if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
            # A server that returned an error for this request is at least
            # alive; a retry there may succeed.
            failed = [s for s in servers if s.server_id in self._sends.failed]
            retry = self._choose_among(failed, set())
            if retry and retry.reason is not server_choice.Reason.LAST_RESORT:
                return retry
        return choice

    def _usable(self) -> tuple[directory.BackendServer, ...]:
        return self._inst.eligible.usable(
            self._job.service, self._binding.requirements
        )

    def _accepting(self) -> tuple[directory.BackendServer, ...]:
        return self._inst.eligible.accepting(
            self._job.service, self._binding.requirements
        )

    def _choose_among(
        self, servers: Sequence[directory.BackendServer], avoid: set[str]
    ) -> server_choice.Choice | None:
        eligible = self._inst.eligible
        warm, cold = eligible.split(self._job.service, servers)
        service = self._job.service
        idle = (
            *eligible.evacuated(service),
            *eligible.paused(service),
            *self._other_releases(),
        )
        choice = self._choose_from(warm, avoid, [*idle, *cold])
        if not cold or not _is_saturated(choice):
            return choice
        ready = [s for s in cold if not eligible.cold_wait_s(s)]
        other = self._choose_from(ready, avoid, [*idle, *warm])
        if other is None or other.reason is server_choice.Reason.LAST_RESORT:
            return choice
        eligible.record_sent_to_cold(other.server)
        return other

    def _other_releases(self) -> list[directory.BackendServer]:
        """Returns servers that take requests, but not this bound stream."""
        if self._binding.release is None:
            return []
        fit = {server.server_id for server in self._accepting()}
        everyone = self._inst.eligible.accepting(self._job.service)
        return [s for s in everyone if s.server_id not in fit]

    def _choose_from(
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

    def _admit(
        self, choice: server_choice.Choice
    ) -> rejection.Rejection | None:
        """Applies admission control, once per request."""
        if self._admitted:
            return None
        refusal = admission.check(
            self._inst,
            self._job,
            choice,
            resumes=self._binding.release is not None,
        )
        if refusal is not None:
            return rejection.Rejection(
                why=refusal.why, retry_after_s=refusal.retry_after_s
            )
        self._admitted = True
        self._demand.record_admitted()
        self._inst.returns.record_admitted(
            self._job.service, self._job.priority
        )
        return None

    def _may_send_again(self) -> bool:
        """Returns whether another send may follow the current one."""
        route = self._job.route
        budget = self._inst.servers.budget(self._job.service)
        return (
            self._inst.cfg.policy.patience
            and route.repeatable
            and self._sends.attempts_left
            and budget.remaining(self._inst.now()) >= 1
            and not self._inst.suspect_requests.verdict(self._job)
        )

    def _connect_to_other(
        self, current: directory.BackendServer
    ) -> Assignment | None:
        """Connects to a healthy server other than the current one."""
        if self._connects >= _MAX_CONNECTS:
            return None
        choice = self._choose_among(
            self._accepting(),
            self._sends.avoid | {current.server_id},
        )
        if choice is None or choice.full:
            return None
        if self._prefers_relay(choice.server):
            return self._connect_by_relay(choice)
        if choice.reason is server_choice.Reason.LAST_RESORT:
            return None
        return self._connect_new(choice)

    def _connect(self, choice: server_choice.Choice) -> Assignment | None:
        """Returns None if the server is unreachable."""
        servers = self._inst.servers
        failure = servers.reach.connect_failure(choice.server)
        if failure is None and (found := self._take_idle(choice)):
            return found
        if self._prefers_relay(choice.server) and (
            found := self._connect_by_relay(choice)
        ):
            return found
        # Connections outlive a partition that refuses new ones. Requests on
        # idle connections to a server that does not respond are lost.
        refused = failure is not None and not failure.timed_out
        if refused and (found := self._take_idle(choice)):
            return found
        if servers.reach.recent_connect_failure(choice.server) is not None:
            self._avoid(choice)
            return None
        return self._connect_new(choice)

    def _prefers_relay(self, server: directory.BackendServer) -> bool:
        """Returns whether a new connection is opened by another instance."""
        servers = self._inst.servers
        return (
            servers.reach.is_unreachable(server)
            or self._failed_connects >= _FAILED_BEFORE_RELAY
            or servers.reach.may_have_lost_link(server.service)
        )

    def _take_idle(
        self, choice: server_choice.Choice, *, relayed: bool = False
    ) -> Assignment | None:
        relays = self._inst.servers.reach.relays
        conn = self._inst.servers.connection_pool.acquire(
            choice.server,
            max_idle_s=self._max_idle_s(),
            relayed=relayed,
            allowed=lambda conn: relays.allows(conn.relay, self._job.regions),
        )
        return None if conn is None else Assignment(choice=choice, conn=conn)

    def _connect_by_relay(
        self, choice: server_choice.Choice
    ) -> Assignment | None:
        """Returns None if no other instance reaches the server."""
        found = self._take_idle(choice, relayed=True)
        if found is not None:
            return found
        relays = self._inst.servers.reach.relays
        if self._relay_attempts >= _MAX_RELAY_ATTEMPTS or not relays.may_try(
            choice.server, self._job.regions
        ):
            return None
        self._relay_attempts += 1
        result = relays.connect(
            choice.server,
            timeout_s=min(relays_module.OPEN_TIMEOUT_S, self._remaining_s()),
            regions=self._job.regions,
        )
        if result.conn is None:
            return None
        return Assignment(choice=choice, conn=result.conn)

    def _connect_new(self, choice: server_choice.Choice) -> Assignment | None:
        """Returns None if the server is unreachable."""
        server = choice.server
        self._connects += 1
        self._inst.metrics.connects.labels(server.service).inc()
        timeout_s = min(reachability.CONNECT_TIMEOUT_S, self._remaining_s())
        try:
            conn = client.connect(server.address, timeout_s=timeout_s)
        except errors.ConnectError as exc:
            self._failed_connects += 1
            self._avoid(choice)
            self._inst.servers.reach.record_unreachable(
                server, exc, self._job.head.request_id
            )
            return None
        self._inst.servers.reach.record_reached(server)
        return Assignment(choice=choice, conn=conn)

    def _max_idle_s(self) -> float:
        run_once = not self._job.route.repeatable
        if run_once and self._inst.cfg.policy.fresh_connections:
            return _MAX_IDLE_FOR_ONCE_S
        return float("inf")

    def _avoid(self, choice: server_choice.Choice) -> None:
        """Excludes a server that cannot be reached by any path."""
        self._sends.avoid.add(choice.server.server_id)
        if (
            choice.reason is server_choice.Reason.LAST_RESORT
            and self._relay_attempts in (0, _MAX_RELAY_ATTEMPTS)
        ):
            # The other servers are known to be unreachable as well. Respond
            # while the caller still has time to try another instance.
            self._connects = _MAX_CONNECTS


def _is_saturated(choice: server_choice.Choice | None) -> bool:
    """Returns whether no warm server has a free slot."""
    if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
        return True
    return choice.load >= choice.server.slots
