"""The release that a request's stream is bound to."""

from __future__ import annotations

from irisshelf.catalog import directory
from irisshelf.catalog import releases
from irisshelf.gateway import messages
from irisshelf.gateway.servers import requirements


class StreamBinding:
    """Binds a request's stream to the release that begins it.

    Until the caller has received an event, any server may begin the stream.

    Args:
        job: The request.

    Attributes:
        release: Key of the release; None as long as there is none.
    """

    def __init__(self, *, job: messages.Job):
        self.release: bytes | None = None
        self._regions = job.regions

    def bind(self, server: directory.BackendServer) -> None:
        """Binds the stream as events of a server are about to be relayed."""
        self.release = releases.release_key(server)

    @property
    def requirements(self) -> requirements.Requirements:
        """What the request requires of a server now."""
        return requirements.Requirements(
            regions=self._regions, release=self.release
        )
