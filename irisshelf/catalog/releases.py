"""Releases: the software versions that the servers of a service run.

What two versions write does not fit together, and servers do not check that. So
a stream goes on only at servers of the release that began it.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

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


class ReleaseHistory:
    """Which releases of each service were listed lately.

    Attributes:
        life_s: For how long a release is known after it was last listed.
    """

    def __init__(self, *, life_s: float):
        self.life_s = life_s
        self._listed: dict[str, frozenset[bytes]] = {}
        # By service and release, when it was last listed.
        self._last_s: dict[str, dict[bytes, float]] = {}

    def update(
        self, servers: Iterable[directory.BackendServer], now: float
    ) -> None:
        """Applies the list as it is from now on."""
        for service, keys in self._listed.items():
            last_s = self._last_s.setdefault(service, {})
            last_s.update(dict.fromkeys(keys, now))
        listed: dict[str, set[bytes]] = {}
        for server in servers:
            listed.setdefault(server.service, set()).add(release_key(server))
        self._listed = {name: frozenset(keys) for name, keys in listed.items()}
        self._expire(now)

    def recent(self, service: str, now: float) -> frozenset[bytes]:
        """Returns the releases of a service that are or were listed lately."""
        gone = {
            key
            for key, last_s in self._last_s.get(service, {}).items()
            if now - last_s <= self.life_s
        }
        return self._listed.get(service, frozenset()) | gone

    def services(self) -> frozenset[str]:
        """Returns the services that have servers now."""
        return frozenset(self._listed)

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
