"""What instances tell each other of backend servers.

A fact names a server by the short key of its life (``directory.key_of``), so
that one told of an earlier life under the same id says nothing of a later one;
but for coldness, which is told just where the later life is not known yet.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """A server's load, as it reports it.

    Attributes:
        server: The server's key.
        work: Requests that run or wait there.
        at_s: When it said so, monotonic seconds of the reader.
    """

    server: bytes
    work: int
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PartCached:
    """A server has read a part of a prompt, or is about to.

    Attributes:
        server: The server's key.
        part: The part's key, see ``holdings.key_of``.
    """

    server: bytes
    part: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerCold:
    """A server is cold, as the store says.

    Instances that the store has not told send to it meanwhile; it may
    be back under its id, of which they know the earlier life.

    Attributes:
        server: The key of the id in the list, not of a life.
        until_s: When it is warm again, monotonic seconds of the reader.
    """

    server: bytes
    until_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerPause:
    """A server has told an instance that it takes no requests.

    Attributes:
        server: The server's key.
        until_s: Until when, monotonic seconds of the reader.
    """

    server: bytes
    until_s: float


Fact = ServerLoad | PartCached | ServerCold | ServerPause
