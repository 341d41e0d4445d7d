"""Tracks requests that crash the backend servers that process them.

``routing.crash_suspects`` makes the decisions. This module provides the input:
whether a server's process has exited, which requests have succeeded recently,
and what other instances report.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

import gevent

from irisshelf.catalog import directory
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import reachability
from irisshelf.gateway.servers import requirements
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.observe import decision_log
from irisshelf.routing import crash_suspects
from irisshelf.transport import client
from irisshelf.transport import errors

# Number of recent successful requests that are remembered, and the largest body
# among them: about 3 MB at most. A request that many callers repeat is usually
# among them when a server exits, and is then not blamed for the crash.
_MAX_RECENT = 512
_MAX_RECENT_BODY_BYTES = 4096
# A server that refuses connections is not probed again for this long, as none
# restarts faster. That a server listens is not remembered: it may exit at any
# moment.
_REFUSAL_KNOWN_S = 1.0
# A server that exited within this time may have crashed under a suspect request
# from another instance whose message, which is sent twice, is still under way.
_PRESUMED_CRASH_S = 1.0

_RequestKey = tuple[str, str, str, bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectPlacement:
    """Where a suspect may be sent; see ``crash_suspects.DesignatedServer``."""

    server: directory.BackendServer | None
    uncertain: bool


class CrashTracker:
    """Tracks which requests crash servers, and notifies other instances.

    Args:
        servers: State of the servers and connections to them.
        listed: The servers that the store lists.
        log: The decision log.
        counts: Metrics.
        now: Monotonic seconds.

    Attributes:
        suspects: Suspect request fingerprints and the crashes behind them.
        on_crash: Called with a crash that this instance observed, to notify
            others.
        on_clear: Called with a fingerprint that is cleared, to notify others.
    """

    def __init__(
        self,
        *,
        servers: servers_module.Servers,
        listed: directory.Directory,
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self.suspects = crash_suspects.CrashSuspects()
        self.on_crash: Callable[[bytes, crash_suspects.ServerCrash], None] = (
            _discard
        )
        self.on_clear: Callable[[bytes], None] = _discard
        self._servers = servers
        self._listed = listed
        self._log = log
        self._metrics = counts
        self._now = now
        self._succeeded: collections.deque[_RequestKey] = collections.deque(
            maxlen=_MAX_RECENT
        )
        # By server id: when its host refused a connection.
        self._refused_s: dict[str, float] = {}
        self._probes: dict[str, gevent.Greenlet] = {}

    def verdict(self, job: messages.Job) -> crash_suspects.Verdict | None:
        """Returns the verdict on a request; None if it is not suspect.

        While nothing is suspect, which is nearly always, this is a single
        check. The body is hashed only if team, method, path and length match a
        suspect request, as hashing a long body blocks the event loop.
        """
        if not self._may_be_suspect(job):
            return None
        found = self.suspects.judge(_fingerprint(job), self._now())
        return None if found.stage is crash_suspects.Stage.CLEAR else found

    def place_suspect(
        self,
        job: messages.Job,
        verdict: crash_suspects.Verdict,
        avoid: set[str],
        required: requirements.Requirements,
    ) -> SuspectPlacement:
        """Returns the only server that a suspect request may be sent to."""
        by_id = {
            server.server_id: server
            for server in self._servers.eligible.accepting(
                job.service, required
            )
        }
        exited = {
            name
            for name, server in by_id.items()
            if self._servers.reach.exits.refused_for_s(server)
            <= _PRESUMED_CRASH_S
        }
        candidates = [
            name
            for name, server in by_id.items()
            if name in exited
            or (name not in avoid and self._servers.reach.has_path(server))
        ]
        keys = {crash.server_key for crash in verdict.crashes}
        found = crash_suspects.designate_server(
            _fingerprint(job),
            candidates,
            crashed={
                name for name in candidates if directory.short_id(name) in keys
            },
            recently_gone=exited,
            crash_count=len(verdict.crashes),
        )
        server = None if found.server is None else by_id[found.server]
        return SuspectPlacement(server=server, uncertain=found.uncertain)

    def record_disconnect(
        self, job: messages.Job, server: directory.BackendServer
    ) -> bool:
        """Records that a connection broke before any response data arrived.

        Returns:
            Whether the request seems to have crashed the server.
        """
        if not self._is_refused(server) or _request_key(job) in self._succeeded:
            return False
        crash = crash_suspects.ServerCrash(
            server_key=directory.short_id(server.server_id), at_s=self._now()
        )
        fingerprint = _fingerprint(job)
        # Until it is known whether the server has exited, no other server is
        # put at risk.
        is_new = self.suspects.record_crash(fingerprint, crash, self._now())
        if is_new:
            self.on_crash(fingerprint, crash)
        if not self._is_exit_confirmed(server):
            self._retract(fingerprint, crash, server)
            return False
        if is_new:
            self._log_crash(
                fingerprint, crash, job.head.request_id, server.server_id
            )
        return True

    def record_success(self, job: messages.Job) -> None:
        """Records that a request has succeeded."""
        if len(job.inbound.body) <= _MAX_RECENT_BODY_BYTES:
            self._succeeded.append(_request_key(job))
        if not self._may_be_suspect(job):
            return
        fingerprint = _fingerprint(job)
        if self._clear(fingerprint, job.head.request_id, self._now()):
            self.on_clear(fingerprint)

    def record_refusal(
        self, job: messages.Job, verdict: crash_suspects.Verdict
    ) -> None:
        """Records that a request is rejected for crashing servers."""
        self._metrics.crashes.labels("refused").inc()
        self._log.request(
            "request_barred",
            job.head.request_id,
            content=_fingerprint(job).hex(),
            servers=[crash.server_key.hex() for crash in verdict.crashes],
            barred_for_s=round(verdict.barred_for_s, 1),
        )

    def receive_crash(
        self, fingerprint: bytes, crash: crash_suspects.ServerCrash
    ) -> None:
        """Applies a crash that another instance reports, if confirmed here.

        A datagram may be forged or wrong. It counts only if this instance also
        finds that the server has exited: its entry is gone, or nothing
        listens at its address.
        """
        server = self._servers.by_key(crash.server_key)
        if server is None:
            if self._servers.recently_delisted(crash.server_key):
                self._apply_reported_crash(fingerprint, crash, "")
            return
        if self._is_refused(server) and self._apply_reported_crash(
            fingerprint, crash, server.server_id
        ):
            gevent.spawn(self._confirm_reported, fingerprint, crash, server)

    def receive_clear(self, fingerprint: bytes, at_s: float) -> None:
        """Applies that another instance has seen the request succeed.

        Args:
            fingerprint: The request fingerprint.
            at_s: When, on the clock of this instance.
        """
        self._clear(fingerprint, "", at_s)

    def merge_crash(
        self, fingerprint: bytes, crash: crash_suspects.ServerCrash
    ) -> None:
        """Adds a crash from a peer's snapshot that this instance requested."""
        self._apply_crash(fingerprint, crash, "", "")

    def has_exited(self, server: directory.BackendServer) -> bool:
        """Returns whether a listed server's process has exited.

        A connection reset does not show that: connections are also reset for
        other reasons, and break while an instance is suspended. But when a
        process has exited, its host refuses new connections, also those of
        instances that reach other servers. A silent server is unresponsive or
        partitioned, which no request causes, and one that is draining exits as
        planned.
        """
        return self._is_refused(server) and self._is_exit_confirmed(server)

    def _is_replaced(self, server: directory.BackendServer) -> bool:
        listed = self._listed.get(server.entry_id)
        return listed is not None and listed.server_id != server.server_id

    def _is_refused(self, server: directory.BackendServer) -> bool:
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

    def _is_exit_confirmed(self, server: directory.BackendServer) -> bool:
        return self._is_replaced(server) or self._servers.reach.exits.confirm(
            server
        )

    def _may_be_suspect(self, job: messages.Job) -> bool:
        if not self.suspects:
            return False
        inbound = job.inbound
        prefix = crash_suspects.fingerprint_prefix(
            job.team, inbound.method, inbound.target, len(inbound.body)
        )
        return self.suspects.has_prefix(prefix)

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

    def _confirm_reported(
        self,
        fingerprint: bytes,
        crash: crash_suspects.ServerCrash,
        server: directory.BackendServer,
    ) -> None:
        if not self._is_exit_confirmed(server):
            self._retract(fingerprint, crash, server)

    def _retract(
        self,
        fingerprint: bytes,
        crash: crash_suspects.ServerCrash,
        server: directory.BackendServer,
    ) -> None:
        """Forgets a crash, as the server's process has not exited."""
        self.suspects.retract_crash(fingerprint, crash)
        self._refused_s.pop(server.server_id, None)
        self._metrics.crashes.labels("retracted").inc()
        self._log.instance(
            "crash_not_confirmed",
            content=fingerprint.hex(),
            server=server.server_id,
        )

    def _apply_reported_crash(
        self, fingerprint: bytes, crash: crash_suspects.ServerCrash, name: str
    ) -> bool:
        """Applies a crash; returns whether it is new."""
        succeeded = any(
            crash_suspects.request_fingerprint(*a) == fingerprint
            for a in self._succeeded
        )
        if succeeded:
            self.on_clear(fingerprint)
            return False
        return self._apply_crash(fingerprint, crash, "", name)

    def _apply_crash(
        self,
        fingerprint: bytes,
        crash: crash_suspects.ServerCrash,
        request: str,
        name: str,
    ) -> bool:
        if not self.suspects.record_crash(fingerprint, crash, self._now()):
            return False
        self._log_crash(fingerprint, crash, request, name)
        return True

    def _log_crash(
        self,
        fingerprint: bytes,
        crash: crash_suspects.ServerCrash,
        request: str,
        name: str,
    ) -> None:
        verdict = self.suspects.judge(fingerprint, self._now())
        self._metrics.crashes.labels(verdict.stage.value).inc()
        self._log.warning(
            "server_ended_under_request",
            content=fingerprint.hex(),
            request=request,
            server=name,
            key=crash.server_key.hex(),
            ends=len(verdict.crashes),
            stage=verdict.stage.value,
        )

    def _clear(self, fingerprint: bytes, request: str, at_s: float) -> bool:
        if not self.suspects.record_success(fingerprint, at_s):
            return False
        self._metrics.crashes.labels("cleared").inc()
        self._log.instance(
            "content_cleared", content=fingerprint.hex(), request=request
        )
        return True


def _request_key(job: messages.Job) -> _RequestKey:
    inbound = job.inbound
    return (job.team, inbound.method, inbound.target, inbound.body)


def _fingerprint(job: messages.Job) -> bytes:
    return crash_suspects.request_fingerprint(*_request_key(job))


def _discard(*facts: object) -> None:
    """Default callback, used until gossip is connected."""
