"""Connects to backend servers through other instances.

Used for servers to which this instance cannot open connections itself. The
other instance passes bytes unread; choice, retries, deadlines and responses
remain with the instance that has the caller. See ``relay_endpoint`` for the
other side.
"""

from __future__ import annotations

import dataclasses
import functools
import random
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import gevent

from irisshelf.catalog import directory
from irisshelf.coordination import membership
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import connection_pool as connection_pool_module
from irisshelf.observe import decision_log
from irisshelf.routing.direct import server_paths
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import tunnel

# Path of the endpoint at other instances.
PATH = "/relay"
# Query parameter: the server's incarnation.
SERVER_FIELD = "server"
# An instance answers in milliseconds; it takes 0.1 s to find that a server does
# not respond.
OPEN_TIMEOUT_S = 0.15
# Limits on the attempts for one connection, made in turn.
_MAX_RELAYS = 4
_MAX_ATTEMPTS_S = 0.25
# Number of relays that must find that a server has exited.
_ENOUGH_REFUSALS = 2
# The host of a process that exits may still accept a connection, and reset it;
# the relay passes that on. Servers that have too many connections reset new
# ones as well, so that a further one shows which it is.
_REFUSAL_SETTLE_S = 0.02
_MAX_REFUSAL_PROBES = 3
# Servers that are tried through relays in the background at the same time.
_MAX_CHECKS = 8
# Whether relays work is checked at these intervals after it was found that they
# do and that they do not, while any server is unreachable.
_REFRESH_INTERVAL_S = 1.5
_RETRY_INTERVAL_S = 3.0


_Verdict = server_paths.Verdict
# Of the results of several relays, the first of these counts.
_PRECEDENCE = (
    _Verdict.REACHED,
    _Verdict.LEAVING,
    _Verdict.REFUSED,
    _Verdict.UNREACHABLE,
    _Verdict.UNKNOWN,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Result of the attempt to reach a server through relays.

    Attributes:
        verdict: What it shows of the server; None if no relay could tell.
        conn: The connection, if one was established.
    """

    verdict: _Verdict | None = None
    conn: client.Connection | None = None


class Relays:
    """Opens connections to servers through other instances.

    Args:
        data_centre: The data centre of this instance.
        regions: The region of each data centre.
        connection_pool: Receives the connections that checks open.
        on_verdict: Called with a server, what relays have found of it, and the
            last of them.
        on_checked: Called with the result of each check; None if no relay
            could tell.
        log: The decision log.
        counts: Metrics.
        rng: Breaks ties.
        now: Monotonic seconds.
        enabled: Whether relays are used at all.
        connect: Opens a tunnel.

    Attributes:
        members: Returns the other instances.
        paths: What is known of relays and of servers behind them.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        regions: Mapping[str, str],
        connection_pool: connection_pool_module.ConnectionPool,
        on_verdict: Callable[[directory.BackendServer, _Verdict, str], None],
        on_checked: Callable[[directory.BackendServer, _Verdict | None], None],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float],
        enabled: bool = True,
        connect: Callable[..., tunnel.TunnelSocket] = tunnel.connect,
    ):
        self.members: Callable[[], Iterable[membership.Member]] = lambda: ()
        self.paths = server_paths.ServerPaths(data_centre=data_centre, rng=rng)
        self._data_centre = data_centre
        self._regions = regions
        self._connection_pool = connection_pool
        self._on_verdict = on_verdict
        self._on_checked = on_checked
        self._log = log
        self._metrics = counts
        self._now = now
        self._enabled = enabled
        self._connect = connect
        self._data_centres: dict[str, str] = {}
        self._checks: dict[str, gevent.Greenlet] = {}
        # Unreachable servers that have been tried, and when silent relays were.
        self._checked: set[str] = set()
        self._checked_s: dict[str, float] = {}
        self._refresh_due_s = float("-inf")

    def connect(
        self,
        server: directory.BackendServer,
        *,
        timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> Result:
        """Connects to a server through the first relay that reaches it.

        Nothing has been sent to the server if there is no connection.

        Args:
            server: The server.
            timeout_s: Limit on each attempt.
            regions: Regions that the request may pass through, beside the data
                centre of this instance; None for all.
        """
        spent_s = 0.0
        conn = None
        verdicts = []
        for relay in self._candidates(server, regions)[:_MAX_RELAYS]:
            started_s = self._now()
            tried = self._try(relay, server, timeout_s)
            # An attempt that took longer was held up by a pause of this
            # process, which leaves time for the others.
            spent_s += min(timeout_s, self._now() - started_s)
            conn = tried.conn
            verdicts.append(tried.verdict)
            if _is_conclusive(verdicts) or spent_s >= _MAX_ATTEMPTS_S:
                break
        verdict = next((one for one in _PRECEDENCE if one in verdicts), None)
        # Without the relays of other regions, the others may still reach it.
        if regions is None or verdict is _Verdict.REACHED:
            now = self._now()
            self.paths.record_result(server.server_id, verdict, now)
        return Result(verdict=verdict, conn=conn)

    def refuses(self, server: directory.BackendServer) -> bool:
        """Returns whether a server seems to have exited, as relays see it.

        That is also assumed if no relay may connect to it, as it leaves, or
        none can tell. A server that does not respond in time is taken to be
        busy.
        """
        for _ in range(_MAX_REFUSAL_PROBES):
            found = self.connect(server, timeout_s=OPEN_TIMEOUT_S)
            if found.conn is None:
                return found.verdict is not _Verdict.UNREACHABLE
            gevent.sleep(_REFUSAL_SETTLE_S)
            if not found.conn.is_stale():
                self._connection_pool.add_idle(server, found.conn)
                return False
            found.conn.close()
        return False

    def may_reach(self, server_id: str) -> bool:
        """Returns whether a server can probably be reached through relays."""
        now = self._now()
        return self.paths.works(now) and self.paths.may_reach(server_id, now)

    def may_try(
        self, server: directory.BackendServer, regions: frozenset[str] | None
    ) -> bool:
        """Returns whether there is any relay that may be tried for a server.

        Args:
            server: The server.
            regions: As for ``connect``.
        """
        if not self.paths.may_reach(server.server_id, self._now()):
            return False
        return bool(self._candidates(server, regions))

    def works(self) -> bool:
        """Returns whether relays have recently reached servers."""
        return self.paths.works(self._now())

    def allows(self, relay: str, regions: frozenset[str] | None) -> bool:
        """Returns whether a request may pass through a relay.

        Args:
            relay: Its name.
            regions: The regions of the request; None for all.
        """
        if regions is None:
            return True
        data_centre = self._data_centres.get(relay, "")
        return (
            data_centre == self._data_centre
            or self._regions.get(data_centre) in regions
        )

    def check(self, server: directory.BackendServer) -> gevent.Greenlet:
        """Tries a server through relays in the background.

        Returns:
            The greenlet that does so; it calls ``on_checked`` before it ends.
        """
        name = server.server_id
        if name not in self._checks:
            self._checked.add(name)
            self._refresh_due_s = self._now() + _REFRESH_INTERVAL_S
            self._checks[name] = gevent.spawn(self._check, server)
        return self._checks[name]

    def check_if_due(self, server: directory.BackendServer) -> None:
        """Tries an unreachable server in the background, if that is of use.

        Each server is tried once, unless relays are known to work. After that,
        any of them is tried now and then to find whether relays work.
        """
        is_first = server.server_id not in self._checked and not self.works()
        if len(self._checks) < _MAX_CHECKS and (
            is_first or self._now() >= self._refresh_due_s
        ):
            self.check(server)

    def record_reached(self, server: directory.BackendServer) -> None:
        """Records that this instance itself has connected to a server."""
        self._checked.discard(server.server_id)

    def check_relay(self, relay: str, server: directory.BackendServer) -> None:
        """Tries a relay in the background through which a server is silent."""
        name = f"{relay}/{server.server_id}"
        due_s = self._checked_s.get(name, float("-inf")) + _REFRESH_INTERVAL_S
        known = [one for one in self._all() if one.name == relay]
        if name in self._checks or self._now() < due_s or not known:
            return
        self._checked_s[name] = self._now()
        self._checks[name] = gevent.spawn(
            self._check_relay, name, known[0], server
        )

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are no longer listed."""
        self.paths.retain(names)
        self._checked &= names
        self._checked_s = {
            name: at_s
            for name, at_s in self._checked_s.items()
            if self._now() - at_s < _REFRESH_INTERVAL_S
        }

    def close(self) -> None:
        """Stops all checks."""
        gevent.killall(list(self._checks.values()))

    def _all(self) -> list[server_paths.Relay]:
        relays = [
            server_paths.Relay(
                name=member.name,
                address=member.address,
                data_centre=member.data_centre,
            )
            for member in self.members()
        ]
        self._data_centres = {one.name: one.data_centre for one in relays}
        return relays

    def _candidates(
        self, server: directory.BackendServer, regions: frozenset[str] | None
    ) -> list[server_paths.Relay]:
        if not self._enabled:
            return []
        ranked = self.paths.rank(self._all(), server.service, self._now())
        return [one for one in ranked if self.allows(one.name, regions)]

    def _try(
        self,
        relay: server_paths.Relay,
        server: directory.BackendServer,
        timeout_s: float,
    ) -> Result:
        query = urllib.parse.urlencode({SERVER_FIELD: server.server_id})
        try:
            sock = self._connect(
                relay.address, f"{PATH}?{query}", timeout_s=timeout_s
            )
        except errors.ConnectError as exc:
            self._record(relay, server, _Verdict.LOST, str(exc))
            return Result(verdict=_Verdict.LOST)
        except tunnel.RejectedError as exc:
            verdict = _verdict(exc.reason)
            self._record(relay, server, verdict, str(exc))
            return Result(verdict=verdict)
        self._record(relay, server, _Verdict.REACHED, "")
        self.paths.record_opened(relay.name)
        conn = client.Connection(
            sock=sock,
            address=server.address,
            relay=relay.name,
            may_reuse=lambda: not sock.stopping,
            on_close=functools.partial(self.paths.record_closed, relay.name),
        )
        return Result(verdict=_Verdict.REACHED, conn=conn)

    def _record(
        self,
        relay: server_paths.Relay,
        server: directory.BackendServer,
        verdict: _Verdict,
        detail: str,
    ) -> None:
        now = self._now()
        paused = self.paths.record(
            relay.name, server.server_id, server.service, verdict, now
        )
        self._metrics.relay_connects.labels(verdict.value).inc()
        if verdict.about_server:
            self._on_verdict(server, verdict, relay.name)
        if paused:
            self._connection_pool.close_idle_through(relay.name)
            self._log.warning(
                "relay_pauses",
                relay=relay.name,
                address=relay.address,
                why=verdict.value,
                server=server.server_id,
                detail=detail,
            )

    def _check(self, server: directory.BackendServer) -> None:
        try:
            found = self.connect(server, timeout_s=OPEN_TIMEOUT_S)
            if found.conn is not None:
                self._connection_pool.add_idle(server, found.conn)
            else:
                self._refresh_due_s = self._now() + _RETRY_INTERVAL_S
            self._on_checked(server, found.verdict)
        finally:
            del self._checks[server.server_id]

    def _check_relay(
        self,
        name: str,
        relay: server_paths.Relay,
        server: directory.BackendServer,
    ) -> None:
        try:
            found = self._try(relay, server, OPEN_TIMEOUT_S)
            if found.conn is not None:
                self._connection_pool.add_idle(server, found.conn)
        finally:
            del self._checks[name]


def _is_conclusive(verdicts: Sequence[_Verdict]) -> bool:
    """Returns whether no further relay needs to be asked."""
    last = verdicts[-1]
    if last in (_Verdict.REACHED, _Verdict.LEAVING):
        return True
    return verdicts.count(_Verdict.REFUSED) >= _ENOUGH_REFUSALS


def _verdict(reason: str) -> _Verdict:
    try:
        return _Verdict(reason)
    except ValueError:
        # An instance of another version, or not one at all.
        return _Verdict.LOST
