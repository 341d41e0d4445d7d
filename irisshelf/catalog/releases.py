"""Releases: the software versions that the servers of a service run.

What two versions write does not fit together, and servers do not check that. So
a stream goes on only at servers of the release that began it.

That only one release is listed proves nothing about the time before the list
was first read. So a history says how far back it is complete.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import math
from collections.abc import Collection
from collections.abc import Mapping

from irisshelf.catalog import directory

KEY_BYTES = 6


def release_key(server: directory.BackendServer) -> bytes:
    """Returns the key of the release that a server runs.

    Servers without a version run one release together. A server whose version
    is unusable may run any, and so is the only one of its release.

    Example:
        >>> one, other = (
        ...     directory.BackendServer(
        ...         server_id=name, service="lm", address="10.0.0.1:80",
        ...         data_centre="a", slots=4, version="v1.2",
        ...     )
        ...     for name in ("i-1", "i-2")
        ... )
        >>> release_key(one) == release_key(other)
        True
    """
    if server.version is None:
        return _key(server.service, "server", server.server_id)
    return _key(server.service, "version", server.version)


def unproven_key(server: directory.BackendServer) -> bytes:
    """Returns a key for a server whose entry may describe another process.

    It is the key of no release, so that what begins there goes on nowhere.
    """
    return _key(server.service, "unproven", server.server_id)


@functools.lru_cache(maxsize=8192)
def _key(service: str, kind: str, name: str) -> bytes:
    text = "\0".join((service, kind, name)).encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceHistory:
    """The releases of one service, as an instance knows them.

    Attributes:
        ages_s: For how long each release has not been listed; 0 if it is.
        reach_s: For how long back no release is missing.
    """

    ages_s: Mapping[bytes, float]
    reach_s: float


class ReleaseHistory:
    """Which releases of each service were listed lately.

    Args:
        life_s: See the attribute.

    Attributes:
        life_s: For how long a release is known after it was last listed.
        horizon_s: Streams that have begun earlier are not resumed any more.
    """

    def __init__(self, *, life_s: float):
        self.life_s = life_s
        self.horizon_s = life_s
        self._listed: dict[str, frozenset[bytes]] = {}
        # By service and release, when it was last listed.
        self._last_s: dict[str, dict[bytes, float]] = {}
        # Since when the list is known.
        self._began_s: float | None = None
        # By service, since when no release is missing, if that is earlier.
        self._since_s: dict[str, float] = {}

    def update(
        self,
        servers: Collection[directory.BackendServer],
        now: float,
        *,
        is_complete: bool = False,
    ) -> None:
        """Applies the list as it is from now on.

        Args:
            servers: All that are listed.
            now: Monotonic seconds.
            is_complete: Whether no server has ever been removed from the list.
        """
        for service, keys in self._listed.items():
            last_s = self._last_s.setdefault(service, {})
            last_s.update(dict.fromkeys(keys, now))
        by_service: dict[str, list[directory.BackendServer]] = {}
        for server in servers:
            by_service.setdefault(server.service, []).append(server)
        self._listed = {
            name: frozenset(map(release_key, some))
            for name, some in by_service.items()
        }
        if self._began_s is None:
            self._began_s = -math.inf if is_complete else now
        self._expire(now)

    def recent(self, service: str, now: float) -> frozenset[bytes]:
        """Returns the releases of a service that are or were listed lately."""
        gone = {
            key
            for key, last_s in self._last_s.get(service, {}).items()
            if now - last_s <= self.life_s
        }
        return self._listed.get(service, frozenset()) | gone

    def reach_s(self, service: str, now: float) -> float:
        """Returns for how long back no release of a service is missing.

        That is the time since the first list was read, unless others have told
        of the time before: when the servers that are listed started tells
        nothing of those that were removed. It is infinite if no server had been
        removed by then.

        Example:
            >>> history = ReleaseHistory(life_s=60.0)
            >>> history.reach_s("lm", 5.0)
            0.0
        """
        if self._began_s is None:
            return 0.0
        since_s = self._since_s.get(service, self._began_s)
        return max(0.0, now - since_s)

    def services(self) -> frozenset[str]:
        """Returns the services that have servers, or had lately."""
        return frozenset(self._listed.keys() | self._last_s.keys())

    def describe(self, service: str, now: float) -> ServiceHistory:
        """Returns what is known of a service, for other instances."""
        last_s = self._last_s.get(service, {})
        listed = self._listed.get(service, frozenset())
        return ServiceHistory(
            ages_s={
                key: 0.0 if key in listed else now - last_s[key]
                for key in self.recent(service, now)
            },
            reach_s=self.reach_s(service, now),
        )

    def merge(self, service: str, other: ServiceHistory, now: float) -> None:
        """Adds what another instance, which is up to date, knows of a service.

        Before this instance has read a list, only the releases are added.
        """
        last_s = self._last_s.setdefault(service, {})
        for key, age_s in other.ages_s.items():
            last_s[key] = max(last_s.get(key, -math.inf), now - age_s)
        if self._began_s is not None:
            since_s = self._since_s.get(service, self._began_s)
            self._since_s[service] = min(since_s, now - other.reach_s)

    def _expire(self, now: float) -> None:
        kept = {
            service: {
                key: last_s
                for key, last_s in releases.items()
                if now - last_s <= self.life_s
            }
            for service, releases in self._last_s.items()
        }
        self._last_s = {name: last_s for name, last_s in kept.items() if last_s}
