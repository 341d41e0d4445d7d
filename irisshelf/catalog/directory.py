"""Directory of backend servers, kept from the store's list.

A server may be restarted under the same entry id. Its state belongs to one
*incarnation*, identified by the entry id and the start time. A later entry
under the same id with another start time is a new incarnation, which has an
empty cache and no history, and which ends the previous one. Incarnations are
ordered only by the order in which the store accepted their entries: wall-clock
time may jump between two starts, so that a later incarnation may have an
earlier start time. Writes that the store does late are the exception: an
incarnation that another one has replaced does not come back, and of two entries
of one incarnation that one is older that has the lower ``sequence``.

A server whose entry is removed has left and is dropped at once. The only
exception is an outage of the store, during which entries of live servers also
lapse; see ``coordination.store_contact``. Entries missing from the first list
after an outage are kept as lapsed for ``LAPSE_GRACE_S``, since a live server
writes its entry again within about two seconds.

A store restored from a backup lists servers as they were some seconds earlier.
Until the store reports something newer than the backup, an instance keeps its
own, newer entries, and incarnations that had left are not listed again.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import functools
import hashlib
from collections.abc import Iterable

# Live servers are specified to write their entries again about two seconds
# after the store recovers; 10 % is added for the transmission.
LAPSE_GRACE_S = 2.2
_SHORT_ID_BYTES = 5
# Number of most recently departed incarnations that are remembered. A backup is
# only seconds old, and few servers leave in that time.
_MAX_DEPARTED = 2000


class ServerState(enum.StrEnum):
    """State of a backend server in the store's list."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        server_id: Identifies this incarnation; see ``incarnation_id``.
        service: The service to which the server belongs.
        address: IP address and port, such as ``10.0.0.1:8080``; another server
            may reuse it later.
        data_centre: The data centre in which the server runs.
        slots: Number of requests that the server processes concurrently.
        state: State in the list.
        entry_id: Id of the entry, which later incarnations may share; defaults
            to ``server_id``.
        born_ms: Start time in Unix milliseconds by the server's own clock; None
            if not reported.
        cold_s: Remaining time for which the server was cold when its entry was
            written.
        sequence: Counts the entries that this incarnation has written; None if
            not reported.
        version: Version of the server's software; empty if not reported, None
            if what is reported is none.
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
    sequence: int | None = None
    version: str | None = ""

    def __post_init__(self):
        if not self.entry_id:
            object.__setattr__(self, "entry_id", self.server_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A changed entry; ``server`` is None if the entry was removed."""

    entry_id: str
    server: BackendServer | None


def incarnation_id(entry_id: str, born_ms: int | None) -> str:
    """Returns the id of an incarnation of a server.

    Example:
        >>> incarnation_id("i-7f3a", 1786503869131)
        'i-7f3a@1786503869131'
        >>> incarnation_id("i-7f3a", None)
        'i-7f3a'
    """
    return entry_id if born_ms is None else f"{entry_id}@{born_ms}"


@functools.lru_cache(maxsize=8192)
def short_id(server_id: str) -> bytes:
    """Returns the short server id used in messages between instances."""
    return hashlib.blake2b(
        server_id.encode(), digest_size=_SHORT_ID_BYTES
    ).digest()


class Directory:
    """The list of servers, updated by changes and, after gaps, snapshots."""

    def __init__(self):
        self._servers: dict[str, BackendServer] = {}
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, tuple[BackendServer, ...]] = {}
        self._departed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Incarnations that others under the same ids have replaced.
        self._replaced: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def get(self, entry_id: str) -> BackendServer | None:
        """Returns the incarnation listed under an entry id."""
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

    def lapsed(self) -> tuple[tuple[str, float], ...]:
        """Returns the ids of lapsed entries, with the start of each grace."""
        return tuple(self._lapsed.items())

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the listed servers of a service, including leaving ones."""
        return self._by_service.get(service, ())

    def outdated(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Returns those of some changes that are older than what is known.

        Only entries with a start time can be told from those of the next
        incarnation.

        Args:
            changes: Changes in the order of the store, not applied yet.
        """
        latest: dict[str, BackendServer | None] = {}
        found = []
        for change in changes:
            server = change.server
            known = latest.get(
                change.entry_id, self._servers.get(change.entry_id)
            )
            if server is not None and self._is_outdated(server, known):
                found.append(change)
                continue
            latest[change.entry_id] = server
            if known is not None and server is not None:
                self._record_replaced(known, server)
        return tuple(found)

    def apply(self, changes: Iterable[Change]) -> None:
        """Applies changes received while the store was available."""
        for change in changes:
            self._apply(change)
        self._rebuild_index()

    def replace(
        self,
        servers: Iterable[BackendServer],
        *,
        recovered_s: float,
        after_outage: bool,
        restored: frozenset[str] = frozenset(),
    ) -> None:
        """Replaces the list by a snapshot.

        Args:
            servers: All entries.
            recovered_s: Time at which the store recovered, after an outage.
            after_outage: Whether the store may have been unavailable before,
                so that missing entries may merely have lapsed.
            restored: Ids of entries that come from a backup and are not newer
                than what is already known.
        """
        listed = {
            server.entry_id: self._servers.get(server.entry_id, server)
            if server.entry_id in restored
            else server
            for server in servers
            if not (server.entry_id in restored and self._has_departed(server))
        }
        missing = [name for name in self._servers if name not in listed]
        for name in missing:
            if after_outage:
                listed[name] = self._servers[name]
                self._lapsed.setdefault(name, recovered_s)
            else:
                self._record_departed(self._servers[name])
        for server in listed.values():
            self._departed.pop(server.server_id, None)
        self._lapsed = {n: t for n, t in self._lapsed.items() if n in missing}
        self._servers = listed
        self._rebuild_index()

    def apply_after_outage(
        self, changes: Iterable[Change], *, recovered_s: float
    ) -> None:
        """Applies changes received after an outage of the store.

        Removed entries are kept as lapsed, since live servers may write them
        again. Their grace period starts when the store recovers, not when the
        removal is noticed.
        """
        for change in changes:
            known = change.entry_id in self._servers
            if change.server is None and known:
                self._lapsed.setdefault(change.entry_id, recovered_s)
            else:
                self._apply(change)
        self._rebuild_index()

    def expire(self, now: float) -> tuple[str, ...]:
        """Drops lapsed entries after the grace period and returns their ids."""
        expired = tuple(
            name
            for name, since in self._lapsed.items()
            if now - since >= LAPSE_GRACE_S
        )
        for name in expired:
            del self._lapsed[name]
            self._drop(name)
        if expired:
            self._rebuild_index()
        return expired

    def start_grace(self, recovered_s: float) -> None:
        """Starts the grace period of all lapsed entries earlier, if it is."""
        for name, since_s in self._lapsed.items():
            self._lapsed[name] = min(since_s, recovered_s)

    def _is_outdated(
        self, server: BackendServer, known: BackendServer | None
    ) -> bool:
        if server.server_id in self._replaced:
            return True
        return (
            known is not None
            and known.server_id == server.server_id
            and server.born_ms is not None
            and None not in (known.sequence, server.sequence)
            and server.sequence < known.sequence
        )

    def _record_replaced(
        self, known: BackendServer, server: BackendServer
    ) -> None:
        if known.born_ms is None or known.server_id == server.server_id:
            return
        self._replaced[known.server_id] = None
        while len(self._replaced) > _MAX_DEPARTED:
            self._replaced.popitem(last=False)

    def _apply(self, change: Change) -> None:
        self._lapsed.pop(change.entry_id, None)
        if change.server is None:
            self._drop(change.entry_id)
        else:
            self._servers[change.entry_id] = change.server
            self._departed.pop(change.server.server_id, None)

    def _has_departed(self, server: BackendServer) -> bool:
        return server.server_id in self._departed

    def _drop(self, entry_id: str) -> None:
        server = self._servers.pop(entry_id, None)
        if server is not None:
            self._record_departed(server)

    def _record_departed(self, server: BackendServer) -> None:
        self._departed[server.server_id] = None
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.popitem(last=False)

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[BackendServer]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.service, []).append(server)
        self._by_service = {
            name: tuple(sorted(group, key=lambda s: s.server_id))
            for name, group in by_service.items()
        }
