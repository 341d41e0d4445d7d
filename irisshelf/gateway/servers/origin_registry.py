"""The origins of streams that an instance knows, by itself or from others."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Sequence

from irisshelf.catalog import releases as releases_module
from irisshelf.coordination import stream_origins


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """What other instances know of a stream's origin.

    Attributes:
        known: Whether one of them knows the origin.
        release: Key of the release; None if there are contradicting records.
        recent: Releases that the services have had lately, as they know.
        reach_s: For how long back one of them knows all releases.
        is_remote: Whether an instance of another data centre has answered.
        by: The instance that knows the origin.
        asked: Number of instances that were asked.
        answers: Number of answers until the origin was known.
    """

    known: bool
    release: bytes | None = None
    recent: frozenset[bytes] = frozenset()
    reach_s: float = 0.0
    is_remote: bool = False
    by: str = ""
    asked: int = 0
    answers: int = 0


class OriginRegistry:
    """Keeps origins at this instance alone.

    Args:
        releases: The releases that services have had lately.
        now: Monotonic seconds.

    Attributes:
        origins: Those that this instance keeps.
        on_recorded: Called with the key of a stream that is relayed here and
            its release, None if there were several.
        find_stored: Looks for a stream where it outlives all instances; returns
            whether its origin is known now.
    """

    def __init__(
        self,
        *,
        releases: releases_module.ReleaseHistory,
        now: Callable[[], float],
    ):
        self.origins = stream_origins.StreamOrigins()
        self.on_recorded: Callable[[bytes, bytes | None], None] = _ignore
        self.find_stored: Callable[[bytes], bool] = lambda key: False
        self._releases = releases
        self._now = now

    def get(self, key: bytes) -> stream_origins.Origin | None:
        """Returns an origin that is kept here; None if there is none."""
        return self.origins.get(key, self._now())

    def record(
        self, key: bytes, services: Sequence[str], release: bytes
    ) -> None:
        """Records the origin of a stream that is relayed here.

        Args:
            key: Key of the stream.
            services: The services that might have begun it.
            release: Key of the release that did.
        """
        now = self._now()
        self.origins.record(key, release, now, own=True)
        self.on_recorded(key, self.origins.get(key, now).release)

    def find(self, key: bytes | None, services: Sequence[str]) -> Finding:
        """Asks other instances for a stream's origin.

        Args:
            key: Key of the stream; None if the caller has not given its id. The
                others are asked for releases only.
            services: The services that it may belong to.
        """
        return Finding(known=False)

    def only_release(
        self, finding: Finding, services: Sequence[str]
    ) -> bytes | None:
        """Returns the release that must have begun a stream without a record.

        Args:
            finding: What other instances know.
            services: The services that it may belong to.

        Returns:
            None if there may have been another release since the earliest time
            at which the stream can have begun.
        """
        recent = finding.recent | self.recent(services)
        reach_s = max(finding.reach_s, self.reach_s(services))
        if len(recent) != 1 or reach_s < self._releases.horizon_s:
            return None
        (release,) = recent
        return release

    def reach_s(self, services: Sequence[str]) -> float:
        """Returns for how long back no release of the services is missing."""
        now = self._now()
        return min(self._releases.reach_s(name, now) for name in services)

    def recent(self, services: Sequence[str]) -> frozenset[bytes]:
        """Returns the releases of some services that were listed lately."""
        now = self._now()
        return frozenset().union(
            *(self._releases.recent(name, now) for name in services)
        )


def _ignore(key: bytes, release: bytes | None) -> None:
    """Default for ``on_recorded``."""
