"""Whether requests are suspected of crashing servers, and where they may go."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from irisshelf.catalog import directory
from irisshelf.catalog import releases
from irisshelf.gateway import messages
from irisshelf.gateway.servers import request_fingerprints
from irisshelf.gateway.servers import requirements
from irisshelf.gateway.servers import servers as servers_module
from irisshelf.routing import crash_suspects
from irisshelf.routing import designation

# A server that exited within this time may have crashed under a suspect request
# from another instance whose message, which is sent twice, is still under way.
_PRESUMED_CRASH_S = 1.0
# Requests with some of the possible causes wait for others that have been seen
# within this time and have fewer of them; limit on what is remembered.
_PARTIAL_KNOWN_S = 5.0
_MAX_PARTIAL = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectPlacement:
    """Where a suspect may be sent; see ``designation.DesignatedServer``."""

    server: directory.BackendServer | None
    uncertain: bool


class SuspectRequests:
    """Judges requests, and selects servers for suspect ones.

    Args:
        suspects: Suspect fingerprints and the crashes behind them.
        servers: State of the servers.
        now: Monotonic seconds.

    Attributes:
        is_designated: Returns whether this instance may try requests with a
            barred fingerprint.
    """

    def __init__(
        self,
        *,
        suspects: crash_suspects.CrashSuspects,
        servers: servers_module.Servers,
        now: Callable[[], float],
    ):
        self.is_designated: Callable[[bytes], bool] = lambda fingerprint: True
        self._suspects = suspects
        self._servers = servers
        self._now = now
        # Fingerprints of requests in progress of which only one may be.
        self._held: set[bytes] = set()
        # When requests with some of the possible causes were last seen, by
        # these.
        self._partial_s: dict[frozenset[bytes], float] = {}

    def verdict(self, job: messages.Job) -> crash_suspects.Verdict | None:
        """Returns the verdict on a request; None if it is not suspect.

        While nothing is suspect, which is nearly always, this is one check.
        """
        if not self._suspects:
            return None
        found = self._suspects.judge_request(
            request_fingerprints.possibly_suspect(job, self._suspects),
            self._now(),
        )
        if found.stage is crash_suspects.Stage.CLEAR:
            return None
        if not found.trial and self._is_of_other_releases(job, found):
            return dataclasses.replace(found, trial=True)
        return found

    def is_riskiest(self, verdict: crash_suspects.Verdict) -> bool:
        """Returns whether others should show first which cause it is.

        Of requests with some of the possible causes, one that has all of those
        of another one and more is riskier, and shows less if it succeeds. So is
        one that has the most likely cause.

        Args:
            verdict: The verdict on the request, which is cautious.
        """
        now = self._now()
        shared = verdict.shared
        self._partial_s.pop(shared, None)
        self._partial_s[shared] = now
        while len(self._partial_s) > _MAX_PARTIAL:
            del self._partial_s[next(iter(self._partial_s))]
        has_rarest = verdict.rarest in shared
        return any(
            now - seen_s <= _PARTIAL_KNOWN_S
            and (other < shared or (has_rarest and verdict.rarest not in other))
            for other, seen_s in self._partial_s.items()
        )

    def hold(self, fingerprint: bytes) -> bool:
        """Reserves a fingerprint of which one request at a time may be sent.

        Returns:
            Whether no other request of this instance has reserved it.
        """
        if fingerprint in self._held:
            return False
        self._held.add(fingerprint)
        return True

    def release(self, fingerprint: bytes) -> None:
        """Ends what ``hold`` has reserved."""
        self._held.discard(fingerprint)

    def place(
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
        found = designation.designate_server(
            verdict.fingerprint,
            candidates,
            crashed={
                name for name in candidates if directory.short_id(name) in keys
            },
            recently_gone=exited,
            crash_count=len(verdict.crashes),
        )
        server = None if found.server is None else by_id[found.server]
        return SuspectPlacement(server=server, uncertain=found.uncertain)

    def _is_of_other_releases(
        self, job: messages.Job, verdict: crash_suspects.Verdict
    ) -> bool:
        """Returns whether all servers run releases that have not crashed."""
        crashed = {crash.release for crash in verdict.crashes}
        if verdict.stage is not crash_suspects.Stage.BARRED or b"" in crashed:
            return False
        eligible = self._servers.eligible
        running = {
            releases.release_key(server)
            for server in eligible.usable(job.service)
        }
        return bool(running) and not running & crashed
