"""Decides whether a request that may crash servers is sent, and where.

Asked before each send, and again as the request goes out: another request may
have crashed a server since.
"""

from __future__ import annotations

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import rejection
from irisshelf.gateway.requests import send_history
from irisshelf.gateway.servers import requirements
from irisshelf.routing import crash_suspects

# Reason given when the server that a suspect request was to be sent to has
# exited and it is not yet known whether the request crashed it, or when another
# request has to show first whether its kind still crashes servers.
_UNCERTAIN = "servers_may_have_ended_under_it"
# By then it is known: messages about crashes are sent again after 0.4 s.
_UNCERTAIN_RETRY_S = 0.5

_Stage = crash_suspects.Stage


class CrashGate:
    """Decides for one request.

    Args:
        inst: The instance.
        job: The request.
    """

    def __init__(self, *, inst: instance_module.Instance, job: messages.Job):
        self._inst = inst
        self._job = job
        self._requests = inst.suspect_requests
        # Fingerprint that only this request of the instance may have in
        # progress.
        self._held = b""
        # Server that the request was placed on as a suspect.
        self._placed = ""

    def check(self) -> crash_suspects.Verdict | rejection.Rejection | None:
        """Assesses the request before a server is selected.

        Returns:
            None if nothing is held against it; a verdict if it is suspect, so
            that ``place`` has to select its server.
        """
        self._placed = ""
        verdict = self._requests.verdict(self._job)
        if verdict is None:
            return None
        if verdict.stage is _Stage.BARRED and not verdict.trial:
            return self._reject(verdict)
        if verdict.trial and not self._requests.is_designated(
            verdict.fingerprint
        ):
            return self._reject(verdict)
        if verdict.cautious and self._requests.is_riskiest(verdict):
            return _uncertain()
        if (verdict.trial or verdict.cautious) and not self._hold(
            verdict.fingerprint
        ):
            return _uncertain()
        return verdict

    def place(
        self,
        verdict: crash_suspects.Verdict,
        avoid: set[str],
        required: requirements.Requirements,
    ) -> directory.BackendServer | rejection.Rejection | None:
        """Returns the only server that a suspect may be sent to, if any."""
        placed = self._requests.place(self._job, verdict, avoid, required)
        if placed.uncertain:
            return _uncertain()
        if placed.server is not None:
            self._placed = placed.server.server_id
        return placed.server

    def allows(self, server: directory.BackendServer) -> bool:
        """Returns whether the request may still go out to a server."""
        verdict = self._requests.verdict(self._job)
        if verdict is None:
            return True
        if verdict.stage is _Stage.BARRED and not verdict.trial:
            return False
        holds = not (verdict.trial or verdict.cautious) or (
            verdict.fingerprint == self._held
        )
        return holds and server.server_id == self._placed

    def close(self) -> None:
        """Lets other requests of the instance be tried in place of this one."""
        if self._held:
            self._requests.release(self._held)
            self._held = b""

    def _hold(self, fingerprint: bytes) -> bool:
        if fingerprint == self._held:
            return True
        self.close()
        if self._requests.hold(fingerprint):
            self._held = fingerprint
        return bool(self._held)

    def _reject(self, verdict: crash_suspects.Verdict) -> rejection.Rejection:
        """Rejects a request that has crashed several servers, without a send.

        The status is 503, as this attempt has not run. Retry-After tells the
        caller how long further attempts will be rejected.
        """
        self._inst.crash_tracker.record_refusal(self._job, verdict)
        return rejection.Rejection(
            why=send_history.SERVERS_CRASHED,
            retry_after_s=verdict.barred_for_s or _UNCERTAIN_RETRY_S,
        )


def _uncertain() -> rejection.Rejection:
    return rejection.Rejection(why=_UNCERTAIN, retry_after_s=_UNCERTAIN_RETRY_S)
