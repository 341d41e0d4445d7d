"""Selects a backend server for each send of a request and connects to it."""

from __future__ import annotations

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import crash_gate
from irisshelf.gateway.requests import no_server
from irisshelf.gateway.requests import rejection
from irisshelf.gateway.requests import request_demand
from irisshelf.gateway.requests import send_history
from irisshelf.gateway.requests import server_connector
from irisshelf.gateway.requests import server_selection
from irisshelf.gateway.requests import stream_binding
from irisshelf.routing import crash_suspects
from irisshelf.routing.direct import server_choice
from irisshelf.transport import client

# If admission control takes longer, as it waits for the holders of a
# reservation, other requests have been sent meanwhile, and the server is
# selected again. Without a wait it takes a fraction of this.
_MAX_ADMISSION_S = 0.001


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
        self._selection = server_selection.ServerSelection(
            inst=inst, job=job, sends=sends, binding=binding
        )
        self._connector = server_connector.ServerConnector(
            inst=inst, job=job, sends=sends
        )
        self._gate = crash_gate.CrashGate(inst=inst, job=job)
        self._admitted = False
        self._replacement: server_connector.Assignment | None = None

    def next(self) -> server_connector.Assignment | rejection.Rejection | None:
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
                return no_server.explain(
                    self._inst, self._job, self._binding, self._selection
                )
            chosen_s = self._inst.now()
            refusal = self._admit(choice)
            if refusal is not None:
                return refusal
            waited = self._inst.now() - chosen_s > _MAX_ADMISSION_S
            if waited and not verdict:
                choice = self._choose() or choice
            assignment = self._connector.connect(choice)
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
        # Asked before connecting as well: the connections of a request are
        # limited.
        if conn.has_input() or not self._may_send_again():
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

    def _return_connection(
        self, assignment: server_connector.Assignment
    ) -> None:
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
        return self._selection.choose_among((placed,), set())

    def _is_exhausted(self) -> bool:
        return self._connector.exhausted or self._remaining_s() <= 0

    def _choose(self) -> server_choice.Choice | None:
        return None if self._is_exhausted() else self._selection.choose()

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
    ) -> server_connector.Assignment | None:
        """Connects to a healthy server other than the current one."""
        if self._connector.exhausted:
            return None
        choice = self._selection.choose_among(
            self._selection.accepting(),
            self._sends.avoid | {current.server_id},
        )
        if choice is None or choice.full:
            return None
        return self._connector.connect_elsewhere(choice)
