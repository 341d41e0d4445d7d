"""Tracks requests that crash the backend servers that process them.

``routing.crash_suspects`` makes the decisions. This module provides the input:
whether a server's process has exited, which requests have succeeded recently,
and what other instances report.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

import gevent

from irisshelf.catalog import directory
from irisshelf.catalog import releases
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway.servers import exit_probe
from irisshelf.gateway.servers import recent_successes
from irisshelf.gateway.servers import request_fingerprints
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.observe import decision_log
from irisshelf.routing import crash_evidence
from irisshelf.routing import crash_suspects

_MAX_LOGGED = 16
# By then the strong evidence of the same crash has arrived from others.
_LATE_DELAY_S = 0.1
# A server that is gone within this time after connections to it broke has
# probably crashed then; limit on the servers that this is remembered of.
_UNCONFIRMED_S = 10.0
_MAX_UNCONFIRMED = 64

_Crash = crash_evidence.ServerCrash
# Fingerprints that one request had in progress at a server that crashed, with
# the crash as evidence against each.
Evidence = Sequence[tuple[bytes, _Crash]]


class CrashTracker:
    """Tracks which requests crash servers, and notifies other instances.

    Args:
        servers: State of the servers and connections to them.
        listed: The servers that the store lists.
        log: The decision log.
        counts: Metrics.
        now: Monotonic seconds.

    Attributes:
        suspects: Suspect fingerprints and the crashes behind them.
        successes: What has succeeded lately.
        on_crash: Called with the evidence of a crash that this instance
            observed, to notify others.
        on_clear: Called with fingerprints that are cleared, to notify others.
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
        self.successes = recent_successes.RecentSuccesses()
        self.on_crash: Callable[[Evidence], None] = _discard
        self.on_clear: Callable[[Collection[bytes]], None] = _discard
        self._servers = servers
        self._log = log
        self._metrics = counts
        self._now = now
        self._probe = exit_probe.ExitProbe(
            servers=servers, listed=listed, counts=counts, now=now
        )
        # By key of a server that nobody reached nor confirmed to have exited:
        # what its end would show.
        self._unconfirmed: dict[bytes, list[tuple[bytes, _Crash]]] = {}
        servers.on_gone = self._apply_unconfirmed

    def record_disconnect(
        self,
        job: messages.Job,
        server: directory.BackendServer,
        *,
        late: bool = False,
        wait: bool = True,
    ) -> bool:
        """Records that a connection broke before the response was complete.

        Args:
            job: The request.
            server: The server.
            late: Whether the response was well under way.
            wait: Whether to wait until other instances confirm that the server
                has exited; otherwise that is done in the background.

        Returns:
            Whether the request seems to have crashed the server.
        """
        if not self._probe.is_refused(server) or self.successes.has_request(
            job
        ):
            return False
        evidence = self._evidence(job, server, late=late)
        # Until it is known whether the server has exited, no other server is
        # put at risk.
        new = [
            (fingerprint, crash)
            for fingerprint, crash in evidence
            if self.suspects.record_crash(fingerprint, crash, self._now())
        ]
        if new and late:
            gevent.spawn_later(_LATE_DELAY_S, self._publish_late, new)
        elif new:
            self.on_crash(new)
        confirm = gevent.spawn(self._confirm, job, server, evidence, new)
        return not wait or confirm.get()

    def record_success(self, job: messages.Job) -> None:
        """Records that a request has succeeded."""
        self.successes.record(job, self._now())
        if self.suspects:
            known = [
                f
                for f in request_fingerprints.possibly_suspect(
                    job, self.suspects
                )
                if f in self.suspects
            ]
            self._clear(known, job.head.request_id, self._now(), publish=True)

    def record_refusal(
        self, job: messages.Job, verdict: crash_suspects.Verdict
    ) -> None:
        """Records that a request is rejected for crashing servers."""
        self._metrics.crashes.labels("refused").inc()
        self._log.request(
            "request_barred",
            job.head.request_id,
            content=verdict.fingerprint.hex(),
            part=request_fingerprints.part_id(job, verdict.fingerprint),
            servers=[crash.server_key.hex() for crash in verdict.crashes],
            barred_for_s=round(verdict.barred_for_s, 1),
        )

    def receive_crash(self, evidence: Evidence) -> None:
        """Applies a crash that another instance reports, if confirmed here.

        A datagram may be forged or wrong. It counts only if this instance also
        finds that the server has exited: its entry is gone, or nothing
        listens at its address.

        Args:
            evidence: The evidence; all of one crash.
        """
        key = evidence[0][1].server_key
        server = self._servers.by_key(key)
        if server is None:
            if self._servers.recently_delisted(key):
                self._apply_reported(evidence, "")
            return
        if self._probe.is_refused(server):
            new = self._apply_reported(evidence, server.server_id)
            if new:
                gevent.spawn(self._confirm_reported, server, new)

    def receive_clear(self, cleared: Collection[bytes], at_s: float) -> None:
        """Applies that another instance has seen a request succeed.

        Args:
            cleared: Fingerprints of the request.
            at_s: When, on the clock of this instance.
        """
        self._clear(cleared, "", at_s, publish=False)

    def merge_crash(
        self, fingerprint: bytes, crash: crash_evidence.ServerCrash
    ) -> None:
        """Adds a crash from a peer's snapshot that this instance requested."""
        if self.suspects.record_crash(fingerprint, crash, self._now()):
            self._log_crash([(fingerprint, crash)], "", "")

    def refuses_now(self, server: directory.BackendServer) -> bool:
        """Returns whether a server refuses connections from now on.

        Connects to it; the connection is kept for the next request.
        """
        return self._probe.refuses_now(server)

    def has_exited(self, server: directory.BackendServer) -> bool:
        """Returns whether a listed server's process has exited."""
        return self._probe.is_refused(server) and self._probe.is_confirmed(
            server
        )

    def _evidence(
        self, job: messages.Job, server: directory.BackendServer, *, late: bool
    ) -> Evidence:
        """Returns what the end of a request's server shows."""
        now = self._now()
        known = server.version is not None
        crash = crash_evidence.ServerCrash(
            server_key=directory.short_id(server.server_id),
            at_s=now,
            late=late,
            release=releases.release_key(server) if known else b"",
        )
        sound = dataclasses.replace(crash, sound=True)
        evidence = [
            (
                fingerprint,
                sound if self.successes.has_part(fingerprint, now) else crash,
            )
            for fingerprint in request_fingerprints.parts(job)
        ]
        if not late:
            evidence.append((request_fingerprints.content(job), crash))
        return evidence

    def _confirm(
        self,
        job: messages.Job,
        server: directory.BackendServer,
        evidence: Evidence,
        new: Evidence,
    ) -> bool:
        if not self._probe.is_confirmed(server):
            self._retract(evidence, server)
            return False
        self._log_crash(new, job.head.request_id, server.server_id)
        return True

    def _confirm_reported(
        self, server: directory.BackendServer, evidence: Evidence
    ) -> None:
        if not self._probe.is_confirmed(server):
            self._retract(evidence, server)

    def _retract(
        self, evidence: Evidence, server: directory.BackendServer
    ) -> None:
        """Takes a crash back, as the server's process may not have exited.

        It counts again if the server turns out to be gone.
        """
        for fingerprint, crash in evidence:
            self.suspects.retract_crash(fingerprint, crash)
        if self._servers.reach.is_unreachable(server):
            key = directory.short_id(server.server_id)
            self._unconfirmed.setdefault(key, []).extend(evidence)
            while len(self._unconfirmed) > _MAX_UNCONFIRMED:
                del self._unconfirmed[next(iter(self._unconfirmed))]
        self._probe.forget(server)
        self._metrics.crashes.labels("retracted").inc()
        self._log.instance(
            "crash_not_confirmed",
            content=[one.hex() for one, _ in evidence[:_MAX_LOGGED]],
            server=server.server_id,
        )

    def _publish_late(self, evidence: Evidence) -> None:
        """Publishes weak evidence, where it may change what others decide.

        Most requests in progress at a crash had come far, and nothing else is
        held against most of their fingerprints.
        """
        needed = [
            (fingerprint, crash)
            for fingerprint, crash in evidence
            if self.suspects.is_suspect(fingerprint)
        ]
        if needed:
            self.on_crash(needed)

    def _apply_unconfirmed(self, gone: Collection[bytes]) -> None:
        """Applies crashes of servers that are gone after all."""
        now = self._now()
        for key in self._unconfirmed.keys() & set(gone):
            new = [
                (fingerprint, crash)
                for fingerprint, crash in self._unconfirmed.pop(key)
                if now - crash.at_s <= _UNCONFIRMED_S
                and self.suspects.record_crash(fingerprint, crash, now)
            ]
            self._log_crash(new, "", "")

    def _apply_reported(self, evidence: Evidence, name: str) -> Evidence:
        """Applies a crash; returns what of it is new."""
        new = []
        for fingerprint, crash in evidence:
            if self.successes.has_fingerprint(fingerprint):
                self.on_clear([fingerprint])
                continue
            if self.successes.has_part(fingerprint, crash.at_s):
                crash = dataclasses.replace(crash, sound=True)
            if self.suspects.record_crash(fingerprint, crash, self._now()):
                new.append((fingerprint, crash))
        self._log_crash(new, "", name)
        return new

    def _log_crash(self, new: Evidence, request: str, name: str) -> None:
        """Logs new evidence, and what it is held against most."""
        if not new:
            return
        now = self._now()
        verdicts = [self.suspects.judge(one, now) for one, _ in new]
        verdict = max(verdicts, key=crash_suspects.severity)
        crash = new[0][1]
        self._metrics.crashes.labels(verdict.stage.value).inc()
        self._log.warning(
            "server_ended_under_request",
            content=verdict.fingerprint.hex(),
            others=[one.hex() for one, _ in new[:_MAX_LOGGED]],
            request=request,
            server=name,
            key=crash.server_key.hex(),
            late=crash.late,
            ends=len(verdict.crashes),
            stage=verdict.stage.value,
        )

    def _clear(
        self,
        known: Collection[bytes],
        request: str,
        at_s: float,
        *,
        publish: bool,
    ) -> None:
        cleared = [f for f in known if self.suspects.record_success(f, at_s)]
        for fingerprint in cleared:
            self._metrics.crashes.labels("cleared").inc()
            self._log.instance(
                "content_cleared", content=fingerprint.hex(), request=request
            )
        if cleared and publish:
            self.on_clear(cleared)


def _discard(*facts: object) -> None:
    """Default callback, used until gossip is connected."""
