"""Finds out whether the process of a server has exited, by connecting to it.

A connection reset does not show that: connections are also reset for other
reasons, and break while an instance is suspended. But when a process has
exited, its host refuses new connections, also those of instances that reach
other servers. A silent server is unresponsive or partitioned, which no request
causes, and one that is draining exits as planned.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from irisshelf.catalog import directory
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.transport import client
from irisshelf.transport import errors

# A server that refuses connections is not probed again for this long, as none
# restarts faster. That a server listens is not remembered: it may exit at any
# moment.
_REFUSAL_KNOWN_S = 1.0


class ExitProbe:
    """Connects to servers that may have exited.

    Args:
        servers: State of the servers and connections to them.
        listed: The servers that the store lists.
        counts: Metrics.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        servers: servers_module.Servers,
        listed: directory.Directory,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self._servers = servers
        self._listed = listed
        self._metrics = counts
        self._now = now
        # By server id: when its host refused a connection.
        self._refused_s: dict[str, float] = {}
        self._probes: dict[str, gevent.Greenlet] = {}
        # By address: probes that have not begun to connect.
        self._end_probes: dict[str, gevent.Greenlet] = {}

    def is_refused(self, server: directory.BackendServer) -> bool:
        """Returns whether connections to a server's process are refused here.

        That is certain if another incarnation is listed.
        """
        listed = self._listed.get(server.entry_id)
        if listed is None or self._servers.eligible.is_leaving(server):
            return False
        if self._is_replaced(server):
            return True
        name = server.server_id
        if (
            self._now() - self._refused_s.get(name, float("-inf"))
            < _REFUSAL_KNOWN_S
        ):
            return True
        if name not in self._probes:
            self._probes[name] = gevent.spawn(self._probe, server)
        return self._probes[name].get()

    def refuses_now(self, server: directory.BackendServer) -> bool:
        """Returns whether connections to a server are refused from now on.

        Also tells of a server that leaves, or whose entry is gone. A probe that
        has begun before may have reached the process before it exited.
        """
        if self._is_replaced(server) or self._is_address_reused(server):
            return True
        if server.address not in self._end_probes:
            self._end_probes[server.address] = gevent.spawn(
                self._probe_end, server
            )
        return self._end_probes[server.address].get()

    def _probe_end(self, server: directory.BackendServer) -> bool:
        # Those that ask from now on need another probe.
        del self._end_probes[server.address]
        self._metrics.connects.labels(server.service).inc()
        try:
            conn = client.connect_to_listener(
                server.address, timeout_s=reachability.CONNECT_TIMEOUT_S
            )
        except errors.ConnectError as exc:
            self._servers.reach.record_unreachable(server, exc, "")
            return not exc.timed_out
        if conn is not None:
            self._keep(server, conn)
        return False

    def _keep(
        self, server: directory.BackendServer, conn: client.Connection
    ) -> None:
        """Keeps a connection for the next request, if there will be one."""
        if self._listed.get(server.entry_id) is None:
            conn.close()
            return
        self._servers.connection_pool.add_idle(server, conn)
        self._servers.reach.record_reached(server)

    def is_confirmed(self, server: directory.BackendServer) -> bool:
        """Returns whether a server that refuses connections has exited."""
        return self._is_replaced(server) or self._servers.reach.exits.confirm(
            server
        )

    def forget(self, server: directory.BackendServer) -> None:
        """Forgets that a server has refused a connection."""
        self._refused_s.pop(server.server_id, None)

    def _is_replaced(self, server: directory.BackendServer) -> bool:
        listed = self._listed.get(server.entry_id)
        return listed is not None and listed.server_id != server.server_id

    def _is_address_reused(self, server: directory.BackendServer) -> bool:
        """Returns whether another server is listed at a server's address."""
        if self._listed.get(server.entry_id) is not None:
            return False
        return any(
            one.address == server.address for one in self._listed.servers()
        )

    def _probe(self, server: directory.BackendServer) -> bool:
        try:
            refused = self._connect(server)
        finally:
            del self._probes[server.server_id]
        if refused:
            now = self._now()
            self._refused_s = {
                name: refused_s
                for name, refused_s in self._refused_s.items()
                if now - refused_s < _REFUSAL_KNOWN_S
            }
            self._refused_s[server.server_id] = now
        return refused

    def _connect(self, server: directory.BackendServer) -> bool:
        """Connects to a server; returns whether its host refuses that."""
        self._metrics.connects.labels(server.service).inc()
        try:
            conn = client.connect(
                server.address, timeout_s=reachability.CONNECT_TIMEOUT_S
            )
        except errors.ConnectError as exc:
            self._servers.reach.record_unreachable(server, exc, "")
            return not exc.timed_out
        self._servers.connection_pool.add_idle(server, conn)
        self._servers.reach.record_reached(server)
        return False
