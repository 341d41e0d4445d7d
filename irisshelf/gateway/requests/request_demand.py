"""Counts one request, and what comes of it, in the demand of the instance."""

from __future__ import annotations

from irisshelf.catalog import model
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.overload import demand
from irisshelf.overload import slot_time
from irisshelf.routing.direct import server_choice


class RequestDemand:
    """Counts a request once on each stage of its way.

    Args:
        inst: The instance.
        job: The request.
    """

    def __init__(self, *, inst: instance_module.Instance, job: messages.Job):
        self._inst = inst
        self._job = job
        self._admitted = False
        self._ended = False

    def record_arrival(self) -> None:
        """Records that the request has arrived."""
        job = self._job
        self._inst.demand.meter.record_arrival(
            job.service,
            job.priority,
            demand.team_key(job.team),
            self._inst.now(),
        )

    def record_admitted(self) -> None:
        """Records that the request has been admitted."""
        self._admitted = True
        self._inst.demand.meter.record_admitted(
            self._job.service, self._job.priority, self._inst.now()
        )

    def record_begun(self) -> None:
        """Records that the response has begun."""
        if self._ended:
            return
        self._ended = True
        self._inst.demand.meter.record_begun(
            self._job.service,
            self._job.priority,
            self._inst.now(),
            in_time=not self._is_late(),
        )

    def record_failed(self) -> None:
        """Records that the request ends without a response of a server.

        It counts as rejected unless it has been admitted.
        """
        if self._ended:
            return
        self._ended = True
        meter = self._inst.demand.meter
        service, priority = self._job.service, self._job.priority
        now = self._inst.now()
        if self._admitted:
            meter.record_begun(service, priority, now, in_time=False)
        else:
            meter.record_rejected(service, priority, now)

    def record_caller_left(self) -> None:
        """Records that the caller has disconnected.

        A caller that leaves within the objective says nothing about whether the
        request would have been in time.
        """
        if self._admitted and self._is_late():
            self.record_failed()

    def record_slot_time(
        self,
        choice: server_choice.Choice,
        *,
        sent_s: float,
        head_s: float,
        reported: messages.Load | None,
    ) -> None:
        """Records for how long the request has occupied a slot of a server.

        Args:
            choice: The server.
            sent_s: When the request was sent.
            head_s: When the head of the response arrived. A stream holds a slot
                from then on.
            reported: Load that the response reports; None if it does not.
        """
        server = choice.server
        streaming = self._job.route.kind is model.RouteKind.STREAMING
        began_s = head_s if streaming else sent_s
        load, load_after = choice.load, 0.0
        if streaming:
            load = 0.0
        elif reported is not None:
            load_after = reported.running + reported.waiting
        slot_time_s = slot_time.estimate_s(
            self._inst.now() - began_s,
            load=load,
            load_after=load_after,
            slots=server.slots,
            slowdown=self._inst.demand.slowdown(server),
        )
        service = self._job.service
        self._inst.demand.meter.record_slot_time(
            service, self._job.priority, slot_time_s
        )
        # Waits are estimated from it, and from the current load and slowdown.
        control = self._inst.servers.fleet_admission(service)
        control.record_service_time(slot_time_s)

    def _is_late(self) -> bool:
        """Returns whether the objective has passed, or the deadline if none."""
        objective_s = self._job.route.latency_target_s
        if objective_s <= 0:
            return self._inst.now() > self._job.deadline_s
        return self._inst.now() - self._job.inbound.arrived_s > objective_s
