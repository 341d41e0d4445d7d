"""Releases: the software versions that the servers of a service run.

What two versions write does not fit together, and servers do not check that. So
a stream goes on only at servers of the release that began it.
"""

from __future__ import annotations

import functools
import hashlib

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


@functools.lru_cache(maxsize=8192)
def _key(service: str, kind: str, name: str) -> bytes:
    text = "\0".join((service, kind, name)).encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
