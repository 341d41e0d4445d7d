"""Which backend servers are there, by the store's list.

A server may start again under the id that its entry bears. What is known of it
belongs to one *life*: its id and the moment of its start. A later entry under
the same id with another start names another life, which holds and has done
nothing yet, and ends the one before. Which of two lives is the later one
follows from the order in which the store took their entries and from nothing
else: the time of day may jump between two starts, so that the later life may
name the earlier moment.

An entry that vanishes is taken at once as a server that left. The one
exception: entries also lapse while the store is away. What is missing in the
first list after such a time is kept as lapsed for ``LAPSE_GRACE_S``, since
the entry of a live server comes back within about two seconds.

A store that has come back from a copy lists servers as they were some seconds
before. What an instance knew of an entry before holds on, and a life that has
left stays gone, until the store says more than its copy did.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import functools
import hashlib
from collections.abc import Iterable

# Entries of live servers are back about two seconds after the store's return
# (the users' letter); a tenth more for the way.
LAPSE_GRACE_S = 2.2
_KEY_BYTES = 5
# Lives that have left and are remembered, the latest ones. A copy is seconds
# old, in which few servers leave.
_MOST_LEFT = 2000


class ServerState(enum.StrEnum):
    """Life of a backend server as listed."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One life of a backend server.

    Attributes:
        server_id: Names this life and no other, see ``incarnation_id``.
        service: The service it belongs to.
        address: Such as ``10.0.0.1:8080``; may be used again by another.
        data_centre: Where it stands.
        slots: Requests that it works on at a time.
        state: As listed.
        entry_id: The id in the list, which later lives may bear as well; that
            of the life if none is named.
        born_ms: Its start in Unix milliseconds, by its own clock; None if it
            does not tell.
        cold_s: How long it was to stay cold when its entry was written.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: ServerState = ServerState.READY
    entry_id: str = ""
    born_ms: int | None = None
    cold_s: float = 0.0

    def __post_init__(self):
        if not self.entry_id:
            object.__setattr__(self, "entry_id", self.server_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A changed entry; ``server`` is None if it vanished."""

    entry_id: str
    server: BackendServer | None


def incarnation_id(entry_id: str, born_ms: int | None) -> str:
    """Returns the name of one life of a server.

    Example:
        >>> incarnation_id("i-7f3a", 1786503869131)
        'i-7f3a@1786503869131'
        >>> incarnation_id("i-7f3a", None)
        'i-7f3a'
    """
    return entry_id if born_ms is None else f"{entry_id}@{born_ms}"


@functools.lru_cache(maxsize=8192)
def short_id(server_id: str) -> bytes:
    """Returns the short name of a life, as instances tell it each other."""
    return hashlib.blake2b(server_id.encode(), digest_size=_KEY_BYTES).digest()


class Directory:
    """The list, kept up to date by changes and, after gaps, whole lists."""

    def __init__(self):
        self._servers: dict[str, BackendServer] = {}
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, tuple[BackendServer, ...]] = {}
        self._left: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def get(self, entry_id: str) -> BackendServer | None:
        """Returns the life that is listed under an id."""
        return self._servers.get(entry_id)

    def servers(self) -> tuple[BackendServer, ...]:
        """Returns all listed servers."""
        return tuple(self._servers.values())

    def current_servers(self) -> tuple[BackendServer, ...]:
        """Returns the servers whose entries have not lapsed."""
        return tuple(
            server
            for name, server in self._servers.items()
            if name not in self._lapsed
        )

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the listed servers of a service, leaving ones as well."""
        return self._by_service.get(service, ())

    def apply(self, changes: Iterable[Change]) -> None:
        """Takes changes seen while the store was well."""
        for change in changes:
            self._lapsed.pop(change.entry_id, None)
            if change.server is None:
                self._drop(change.entry_id)
            else:
                self._servers[change.entry_id] = change.server
                self._left.pop(change.server.server_id, None)
        self._index()

    def replace(
        self,
        servers: Iterable[BackendServer],
        *,
        recovered_s: float,
        after_outage: bool,
        restored: frozenset[str] = frozenset(),
    ) -> None:
        """Takes a whole list.

        Args:
            servers: All entries.
            recovered_s: When the store came back, if it was away.
            after_outage: Whether the store may have been away before, so that
                missing entries may only have lapsed.
            restored: Entries that tell no more than was known, as the store has
                come back from a copy that is older.
        """
        listed = {
            server.entry_id: self._servers.get(server.entry_id, server)
            if server.entry_id in restored
            else server
            for server in servers
            if not (server.entry_id in restored and self._has_left(server))
        }
        missing = [name for name in self._servers if name not in listed]
        for name in missing:
            if after_outage:
                listed[name] = self._servers[name]
                self._lapsed.setdefault(name, recovered_s)
            else:
                self._remember_left(self._servers[name])
        for server in listed.values():
            self._left.pop(server.server_id, None)
        self._lapsed = {n: t for n, t in self._lapsed.items() if n in missing}
        self._servers = listed
        self._index()

    def apply_after_outage(
        self, changes: Iterable[Change], *, recovered_s: float
    ) -> None:
        """Takes changes told after an outage: vanished entries may be back.

        Their time runs from the store's return, whenever they are missed.
        """
        kept = []
        for change in changes:
            known = change.entry_id in self._servers
            if change.server is None and known:
                self._lapsed.setdefault(change.entry_id, recovered_s)
            else:
                kept.append(change)
        self.apply(kept)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drops entries that lapsed and did not come back; returns them."""
        gone = tuple(
            name
            for name, since in self._lapsed.items()
            if now - since >= LAPSE_GRACE_S
        )
        for name in gone:
            del self._lapsed[name]
            self._drop(name)
        if gone:
            self._index()
        return gone

    def _has_left(self, server: BackendServer) -> bool:
        return server.server_id in self._left

    def _drop(self, entry_id: str) -> None:
        server = self._servers.pop(entry_id, None)
        if server is not None:
            self._remember_left(server)

    def _remember_left(self, server: BackendServer) -> None:
        self._left[server.server_id] = None
        while len(self._left) > _MOST_LEFT:
            self._left.popitem(last=False)

    def _index(self) -> None:
        found: dict[str, list[BackendServer]] = {}
        for server in self._servers.values():
            found.setdefault(server.service, []).append(server)
        self._by_service = {
            name: tuple(sorted(group, key=lambda s: s.server_id))
            for name, group in found.items()
        }
