"""The release that a request's stream is bound to."""

from __future__ import annotations

import enum

from irisshelf.catalog import directory
from irisshelf.catalog import model
from irisshelf.catalog import releases
from irisshelf.coordination import stream_origins
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import messages
from irisshelf.gateway.requests import admission
from irisshelf.gateway.requests import rejection
from irisshelf.gateway.servers import origin_registry
from irisshelf.gateway.servers import requirements

# Reason given when it is not known which release began a stream.
_UNKNOWN = "stream_version_unknown"
# By then the caller has begun the stream anew, as nobody will know more.
_UNKNOWN_RETRY_S = (1.5, 2.5)
# If no other instance answers, this one relies on its list of servers only if
# that is not older.
_MAX_LIST_AGE_S = 2.5

# It may be infinite, for which JSON has no number.
_MAX_LOGGED_REACH_S = 1e6


class Source(enum.StrEnum):
    """How the release that began a stream is known.

    Attributes:
        OWN: This instance keeps the origin.
        PEER: Another instance does.
        STORE: The store does.
        ONLY: No other release can have begun it.
        CONTRADICTING: There are several origins.
        UNKNOWN: There is none.
    """

    OWN = "own"
    PEER = "peer"
    STORE = "store"
    ONLY = "only"
    CONTRADICTING = "contradicting"
    UNKNOWN = "unknown"


class StreamBinding:
    """Binds a request's stream to the release that begins it.

    Until the caller has received an event, any server may begin the stream.

    Args:
        inst: The instance.
        job: The request.

    Attributes:
        release: Key of the release; None as long as there is none.
        service: The service whose servers the request may be sent to.
        version: Version of the software of the latest server whose events were
            relayed; empty if there is none.
    """

    def __init__(self, *, inst: instance_module.Instance, job: messages.Job):
        self.release: bytes | None = None
        self.service = job.service
        self.version: str | None = ""
        self._inst = inst
        self._job = job
        self._sent_version: str | None = ""
        self._sent_release = b""
        self._key = self._stream_key()

    @property
    def requirements(self) -> requirements.Requirements:
        """What the request requires of a server now."""
        return requirements.Requirements(
            regions=self._job.regions, release=self.release
        )

    def record_send(self, server: directory.BackendServer) -> None:
        """Records the server to which the request is sent now.

        What is learnt of its process later concerns the next one, as events
        come over the connection of this send.
        """
        self._sent_version = server.version
        self._sent_release = self._inst.eligible.release_of(server)

    def bind(self) -> None:
        """Binds the stream as events of the latest send are to be relayed.

        Other instances are sent its origin first, as this one may be killed at
        any moment after.
        """
        self.version = self._sent_version
        if self.release is None:
            self.release = self._sent_release
        if self._key is not None:
            self._inst.origins.record(self._key, self._services(), self.release)
            self._key = None

    def resolve(self) -> rejection.Rejection | None:
        """Finds out which release began a stream that the caller resumes.

        Returns:
            Why the request is rejected; None if it may be sent.
        """
        if not self._is_resumed():
            return None
        began_s = self._inst.now()
        found = origin_registry.Finding(known=False)
        source = self._find_here()
        if source is Source.UNKNOWN:
            found = self._inst.origins.find(self._key, self._candidates())
            source = self._find_stored(found) or self._judge(found)
        self._log(source, found, self._inst.now() - began_s)
        if self.release is None:
            return self._reject(found)
        if self.release not in self._inst.origins.recent(self._services()):
            # It has begun at a server that this instance has never listed.
            self._inst.refresh_servers()
        self.service = self._service_of(self.release)
        return None

    def _is_resumed(self) -> bool:
        route = self._job.route
        return (
            route.kind is model.RouteKind.STREAMING
            and self._job.head.last_event_id is not None
        )

    def _stream_key(self) -> bytes | None:
        """Returns the stream's key; None if it cannot be resumed by one."""
        head = self._job.head
        if not self._job.route.resumable:
            return None
        if head.last_event_id is None:
            first_id = head.request_id
        elif head.resumes:
            first_id = head.resumes
        else:
            return None
        return stream_origins.stream_key(self._job.team, first_id)

    def _find_here(self) -> Source:
        if self._key is None:
            return Source.UNKNOWN
        origin = self._inst.origins.get(self._key)
        if origin is None:
            return Source.UNKNOWN
        self.release = origin.release
        return Source.CONTRADICTING if origin.release is None else Source.OWN

    def _find_stored(self, found: origin_registry.Finding) -> Source | None:
        """Looks in the store for an origin that no instance knows."""
        if found.known or self._key is None:
            return None
        if not self._inst.origins.find_stored(self._key):
            return None
        source = self._find_here()
        return Source.STORE if source is Source.OWN else source

    def _judge(self, found: origin_registry.Finding) -> Source:
        if found.known:
            self.release = found.release
            return (
                Source.CONTRADICTING if found.release is None else Source.PEER
            )
        list_age_s = self._inst.now() - self._inst.list_version.as_of_s
        cut_off = found.asked and not found.answers
        if cut_off and list_age_s > _MAX_LIST_AGE_S:
            return Source.UNKNOWN
        self.release = self._inst.origins.only_release(
            found, self._candidates()
        )
        return Source.UNKNOWN if self.release is None else Source.ONLY

    def _services(self) -> list[str]:
        return [split.service for split in self._job.route.split]

    def _candidates(self) -> list[str]:
        """Returns the services that may have begun the stream.

        Of several, the shared parts of a prompt select the same one each time.
        """
        if self._job.head.prompt.affinity_key:
            return [self._job.service]
        return self._services()

    def _service_of(self, release: bytes) -> str:
        for service in self._services():
            if release in self._inst.origins.recent([service]):
                return service
        return self._job.service

    def _reject(self, found: origin_registry.Finding) -> rejection.Rejection:
        if found.answers < found.asked:
            return rejection.Rejection(
                why=_UNKNOWN,
                retry_after_s=admission.RETRY_SOON_S,
                elsewhere=True,
            )
        return rejection.Rejection(
            why=_UNKNOWN,
            retry_after_s=self._inst.rng.uniform(*_UNKNOWN_RETRY_S),
        )

    def _log(
        self, source: Source, found: origin_registry.Finding, took_s: float
    ) -> None:
        self._inst.metrics.resumptions.labels(source.value).inc()
        self._inst.log.request(
            "stream_resumed",
            self._job.head.request_id,
            resumes=self._job.head.resumes,
            after=self._job.head.last_event_id,
            known_by=source.value,
            releases=self._count_recent(found),
            reach_s=round(self._reach_s(found), 1),
            list_source=self._inst.list_version.source.value,
            peer=found.by,
            asked=found.asked,
            answers=found.answers,
            took_s=round(took_s, 4),
            version=self._version_of(self.release),
        )

    def _count_recent(self, found: origin_registry.Finding) -> int:
        """Returns how many releases may have begun the stream."""
        recent = self._inst.origins.recent(self._candidates())
        return len(found.recent | recent)

    def _reach_s(self, found: origin_registry.Finding) -> float:
        """Returns for how long back all releases are known."""
        own_s = self._inst.origins.reach_s(self._candidates())
        return min(max(found.reach_s, own_s), _MAX_LOGGED_REACH_S)

    def _version_of(self, release: bytes | None) -> str | None:
        """Returns the version of a release; None if no server runs it."""
        for service in self._services():
            for server in self._inst.directory.servers_of(service):
                if releases.release_key(server) == release:
                    return server.version
        return None
