"""Connects to the backend servers that are selected for one request."""

from __future__ import annotations

import dataclasses

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import send_history
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import relays as relays_module
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
# A request that must not run twice is sent only over a connection that has been
# idle for no longer than this: if a connection died while idle, it cannot be
# known whether the server received the request.
_MAX_IDLE_FOR_ONCE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A selected server and a connection to it."""

    choice: server_choice.Choice
    conn: client.Connection


class ServerConnector:
    """Opens connections for one request, or takes idle ones.

    Args:
        inst: The instance.
        job: The request.
        sends: Its sends so far; unreachable servers are added to those that it
            avoids.
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
        self._connects = 0
        self._failed_connects = 0
        self._relay_attempts = 0

    @property
    def exhausted(self) -> bool:
        """Whether the limit on connection attempts has been reached."""
        return self._connects >= _MAX_CONNECTS

    def connect(self, choice: server_choice.Choice) -> Assignment | None:
        """Connects to a server.

        Returns:
            None if it is unreachable.
        """
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

    def connect_elsewhere(
        self, choice: server_choice.Choice
    ) -> Assignment | None:
        """Connects to a server in place of a silent one.

        Idle connections of this instance are not used: they do not prove that
        its own network link works.

        Returns:
            None if it is unreachable.
        """
        if self._prefers_relay(choice.server):
            return self._connect_by_relay(choice)
        if choice.reason is server_choice.Reason.LAST_RESORT:
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

    def _remaining_s(self) -> float:
        return self._job.deadline_s - self._inst.now()
