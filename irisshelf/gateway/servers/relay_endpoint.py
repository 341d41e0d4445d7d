"""Connects other instances to backend servers that they cannot reach.

The other instance names a listed server and gets a byte stream to it, see
``transport.tunnel``. Connections are opened to servers that accept requests, to
no other address, and never through a further instance.
"""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable

from gevent import socket

from irisshelf.catalog import directory
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import relays
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.observe import decision_log
from irisshelf.routing.direct import server_paths
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as http
from irisshelf.transport import tunnel

_Verdict = server_paths.Verdict
_STATUSES = {
    _Verdict.UNKNOWN: 404,
    _Verdict.LEAVING: 409,
    _Verdict.REFUSED: 502,
    _Verdict.UNREACHABLE: 504,
    _Verdict.ISOLATED: 503,
    _Verdict.BUSY: 503,
    _Verdict.STOPPING: 503,
}


class RelayEndpoint:
    """Opens connections to servers for other instances.

    Args:
        servers: The servers of this instance.
        reaches_none: Returns whether this instance reaches no server itself.
        log: The decision log.
        counts: Metrics.
        max_connections: Limit on open connections for other instances.
    """

    def __init__(
        self,
        *,
        servers: servers_module.Servers,
        reaches_none: Callable[[], bool],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        max_connections: int,
    ):
        self._servers = servers
        self._reaches_none = reaches_none
        self._log = log
        self._metrics = counts
        self._max_connections = max_connections
        self._open: set[tunnel.Relay] = set()
        self._stopping = False

    @property
    def open(self) -> int:
        """Number of open connections for other instances."""
        return len(self._open)

    def stop(self) -> None:
        """Opens no more connections; requests on open ones may end."""
        self._stopping = True
        for relay in list(self._open):
            relay.announce_stop()

    def handle(self, request: http.Request, conn: http.Connection) -> None:
        """Handles the request of another instance for a connection."""
        _, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        server = self._find(fields.get(relays.SERVER_FIELD, ""))
        verdict = self._check(server)
        if verdict is not None:
            self._reject(conn, verdict)
            return
        try:
            sock = client.open_socket(
                server.address, timeout_s=reachability.CONNECT_TIMEOUT_S
            )
        except errors.ConnectError as exc:
            self._servers.reach.record_unreachable(server, exc, "")
            exited = self._has_exited(server, refused=not exc.timed_out)
            self._reject(conn, _unreachable(exited=exited))
            return
        self._metrics.connects.labels(server.service).inc()
        try:
            self._relay(request, conn, server, sock)
        finally:
            sock.close()

    def _relay(
        self,
        request: http.Request,
        conn: http.Connection,
        server: directory.BackendServer,
        target: socket.socket,
    ) -> None:
        sock, early = conn.take_over()
        client.set_options(sock)
        relay = tunnel.Relay(sock=sock, early=early, target=target)
        self._open.add(relay)
        self._metrics.relayed_open.set(len(self._open))
        self._metrics.relay_requests.labels(_Verdict.REACHED.value).inc()
        try:
            relay.run(request)
        finally:
            self._open.discard(relay)
            self._metrics.relayed_open.set(len(self._open))
            self._metrics.relayed_bytes.inc(relay.relayed_bytes)
            if relay.server_broke:
                self._log.warning(
                    "relayed_connection_broke",
                    server=server.server_id,
                    address=server.address,
                    relayed_bytes=relay.relayed_bytes,
                )

    def _find(self, server_id: str) -> directory.BackendServer | None:
        """Returns the listed server of an incarnation, if there is one."""
        return self._servers.by_key(directory.short_id(server_id))

    def _check(self, server: directory.BackendServer | None) -> _Verdict | None:
        """Returns why no connection is opened; None if one may be."""
        eligible = self._servers.eligible
        if self._stopping:
            return _Verdict.STOPPING
        if len(self._open) >= self._max_connections:
            return _Verdict.BUSY
        if server is None:
            return _Verdict.UNKNOWN
        if eligible.is_leaving(server):
            return _Verdict.LEAVING
        if not eligible.is_usable(server):
            return _Verdict.UNKNOWN
        if self._reaches_none():
            return _Verdict.ISOLATED
        failure = self._servers.reach.recent_connect_failure(server)
        if failure is not None:
            exited = self._has_exited(server, refused=not failure.timed_out)
            return _unreachable(exited=exited)
        return None

    def _has_exited(
        self, server: directory.BackendServer, *, refused: bool
    ) -> bool:
        """Returns whether a server has exited, as far as this instance sees.

        Whoever asks may itself be the one whose answer this instance waits for
        to confirm the exit.
        """
        exits = self._servers.reach.exits
        return exits.has_exited(server) or (
            refused and exits.reaches_others(server)
        )

    def _reject(self, conn: http.Connection, verdict: _Verdict) -> None:
        self._metrics.relay_requests.labels(verdict.value).inc()
        conn.answer(_STATUSES[verdict], [], verdict.value.encode())


def _unreachable(*, exited: bool) -> _Verdict:
    return _Verdict.REFUSED if exited else _Verdict.UNREACHABLE
