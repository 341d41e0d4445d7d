"""Selects the backend server for a send of a request."""

from __future__ import annotations

from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import send_history
from irisshelf.gateway.requests import stream_binding
from irisshelf.routing.direct import server_choice


class ServerSelection:
    """Selects servers for the sends of one request.

    Args:
        inst: The instance.
        job: The request.
        sends: Its sends so far, and the servers that it avoids.
        binding: The release that its stream is bound to.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        job: messages.Job,
        sends: send_history.SendHistory,
        binding: stream_binding.StreamBinding,
    ):
        self._inst = inst
        self._job = job
        self._sends = sends
        self._binding = binding
        self._chooser = inst.servers.chooser(job.service)

    def usable(self) -> tuple[directory.BackendServer, ...]:
        """Returns the servers that may run the request now or later."""
        return self._inst.eligible.usable(
            self._job.service, self._binding.requirements
        )

    def accepting(self) -> tuple[directory.BackendServer, ...]:
        """Returns the servers that accept the request now."""
        return self._inst.eligible.accepting(
            self._job.service, self._binding.requirements
        )

    def choose(self) -> server_choice.Choice | None:
        """Selects one of the servers that accept the request; None if none."""
        servers = self.accepting()
        choice = self.choose_among(servers, self._sends.avoid)
        if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
            # A server that returned an error for this request is at least
            # alive; a retry there may succeed.
            failed = [s for s in servers if s.server_id in self._sends.failed]
            retry = self.choose_among(failed, set())
            if retry and retry.reason is not server_choice.Reason.LAST_RESORT:
                return retry
        return choice

    def choose_among(
        self, servers: Sequence[directory.BackendServer], avoid: set[str]
    ) -> server_choice.Choice | None:
        """Selects one of some servers, cold ones only if the others are busy.

        Args:
            servers: The servers.
            avoid: Ids of those that are selected as a last resort only.
        """
        eligible = self._inst.eligible
        warm, cold = eligible.split(self._job.service, servers)
        service = self._job.service
        idle = (
            *eligible.evacuated(service),
            *eligible.paused(service),
            *self._other_releases(),
        )
        choice = self._choose_from(warm, avoid, [*idle, *cold])
        if not cold or not _is_saturated(choice):
            return choice
        ready = [s for s in cold if not eligible.cold_wait_s(s)]
        other = self._choose_from(ready, avoid, [*idle, *warm])
        if other is None or other.reason is server_choice.Reason.LAST_RESORT:
            return choice
        eligible.record_sent_to_cold(other.server)
        return other

    def _other_releases(self) -> list[directory.BackendServer]:
        """Returns servers that take requests, but not this bound stream."""
        if self._binding.release is None:
            return []
        fit = {server.server_id for server in self.accepting()}
        everyone = self._inst.eligible.accepting(self._job.service)
        return [s for s in everyone if s.server_id not in fit]

    def _choose_from(
        self,
        servers: Sequence[directory.BackendServer],
        avoid: set[str],
        idle: Sequence[directory.BackendServer],
    ) -> server_choice.Choice | None:
        return self._chooser.choose(
            servers,
            self._job.head.prompt,
            avoid=frozenset(avoid),
            now=self._inst.now(),
            sources=self._inst.eligible.sources(
                self._job.service, self._job.regions
            ),
            idle=idle,
        )


def _is_saturated(choice: server_choice.Choice | None) -> bool:
    """Returns whether no warm server has a free slot."""
    if choice is None or choice.reason is server_choice.Reason.LAST_RESORT:
        return True
    return choice.load >= choice.server.slots
