"""Facts about backend servers that instances share by gossip.

A fact identifies a server by the short key of its incarnation
(``directory.short_id``), so that a fact about an earlier incarnation under the
same id does not apply to a later one. The exception is ``ServerCold``, which is
shared precisely because the later incarnation is not known everywhere yet.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """The load that a server reports.

    Attributes:
        server: Key of the server.
        work: Number of requests running or queued on it.
        at_s: Time of the report, in the reader's monotonic seconds.
        slowdown: Its current processing time relative to normal; None if it
            does not report that.
    """

    server: bytes
    work: int
    at_s: float
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PartCached:
    """A server has a part of a prompt in its cache, or is about to.

    Attributes:
        server: Key of the server.
        part: Key of the part, see ``cache_locations.part_key``.
    """

    server: bytes
    part: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerCold:
    """A server is cold according to the store.

    An instance that the store has not notified yet knows only the earlier
    incarnation under the same id and would send requests to the cold server.

    Attributes:
        server: Key of the server's id in the list, not of an incarnation.
        until_s: Time at which it is warm, in the reader's monotonic seconds.
    """

    server: bytes
    until_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerPause:
    """A server has announced that it accepts no requests for a while.

    Attributes:
        server: Key of the server.
        until_s: End of the pause, in the reader's monotonic seconds.
    """

    server: bytes
    until_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLeaving:
    """A server has announced that it leaves, which is final.

    Attributes:
        server: Key of the server.
    """

    server: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerExited:
    """A server's process has exited; the next one may run another version.

    Attributes:
        server: Key of the server.
        returned: Whether the next one accepts requests by now.
    """

    server: bytes
    returned: bool = False


Fact = (
    ServerLoad
    | PartCached
    | ServerCold
    | ServerPause
    | ServerLeaving
    | ServerExited
)
