"""Which incarnations of backend servers have announced that they leave.

An announcement is final for its incarnation, whether it came by an entry of the
list, by a response or from another instance. Whatever says otherwise later is
older: an entry that the store wrote late, a list read from a replica that lags
or from a backup.

An incarnation without a start time cannot be told from the next one under its
id. It counts as the next one if its entry has another address, or if its entry
stays listed as ready for ``RETURN_S``: the entry of a process that has exited
is dropped by the store within seconds, and a server that leaves says so again.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Collection
from collections.abc import Iterable

from irisshelf.catalog import directory

# Several times as long as a write may be delayed and an entry may outlast its
# server.
RETURN_S = 30.0
# Number of incarnations remembered; the oldest are dropped.
_MAX_KNOWN = 2000


class Source(enum.StrEnum):
    """Where an announcement came from."""

    ENTRY = "entry"
    RESPONSE = "response"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """The first announcement of an incarnation.

    Attributes:
        source: Where it came from.
        at_s: When it arrived, in monotonic seconds.
        address: The server's address; empty if not known.
    """

    source: Source
    at_s: float
    address: str = ""


class Departures:
    """The incarnations that have announced that they leave."""

    def __init__(self):
        # By server id.
        self._known: collections.OrderedDict[str, Departure] = (
            collections.OrderedDict()
        )
        # Short ids that a peer has announced and that are not listed yet.
        self._unlisted: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Of incarnations without a start time: since when their entries have
        # been listed as ready in spite of the announcement.
        self._ready_since_s: dict[str, float] = {}

    def get(self, server_id: str) -> Departure | None:
        """Returns an incarnation's announcement; None if there is none."""
        return self._known.get(server_id)

    def announce(
        self, server_id: str, *, source: Source, now: float, address: str = ""
    ) -> bool:
        """Records that an incarnation leaves.

        Args:
            server_id: The incarnation.
            source: Where the announcement came from.
            now: Monotonic seconds.
            address: Its address; empty if not known.

        Returns:
            Whether that was not known yet.

        Example:
            >>> known = Departures()
            >>> known.announce("i-1", source=Source.RESPONSE, now=1.0)
            True
            >>> known.announce("i-1", source=Source.ENTRY, now=2.0)
            False
        """
        if server_id in self._ready_since_s:
            self._ready_since_s[server_id] = now
        if server_id in self._known:
            return False
        self._known[server_id] = Departure(
            source=source, at_s=now, address=address
        )
        if len(self._known) > _MAX_KNOWN:
            oldest, _ = self._known.popitem(last=False)
            self._ready_since_s.pop(oldest, None)
        return True

    def announce_unlisted(self, key: bytes, now: float) -> None:
        """Records a peer's announcement of a server that is not listed yet.

        Args:
            key: The short id of the incarnation.
            now: Monotonic seconds.
        """
        self._unlisted[key] = now
        if len(self._unlisted) > _MAX_KNOWN:
            self._unlisted.popitem(last=False)

    def observe(self, change: directory.Change, now: float) -> bool:
        """Records what the store lists of a server.

        Args:
            change: The entry, or its removal.
            now: Monotonic seconds.

        Returns:
            Whether the entry contradicts an announcement.
        """
        server = change.server
        if server is None:
            self._ready_since_s.pop(change.entry_id, None)
            return False
        self._resolve(server)
        if server.state is directory.ServerState.LEAVING:
            self._ready_since_s.pop(server.server_id, None)
            self.announce(
                server.server_id,
                source=Source.ENTRY,
                now=now,
                address=server.address,
            )
            return False
        departure = self._known.get(server.server_id)
        if departure is None:
            return False
        if server.born_ms is None:
            if departure.address not in ("", server.address):
                self._forget(server.server_id)
                return False
            self._ready_since_s.setdefault(server.server_id, now)
        return True

    def retain_listed(self, entry_ids: Collection[str]) -> None:
        """Records that a whole list has no entries but these."""
        for name in self._ready_since_s.keys() - set(entry_ids):
            del self._ready_since_s[name]

    def take_returned(self, as_of_s: float) -> tuple[str, ...]:
        """Returns, once, the ids that count as another incarnation by now.

        Args:
            as_of_s: The monotonic time up to which the list is known.
        """
        returned = tuple(
            name
            for name, since_s in self._ready_since_s.items()
            if as_of_s - since_s >= RETURN_S
        )
        for name in returned:
            self._forget(name)
        return returned

    def keys(self, since_s: float = -math.inf) -> list[bytes]:
        """Returns the short ids of those that have announced that they leave.

        Args:
            since_s: Time from which announcements count, in monotonic seconds.
        """
        listed = [
            directory.short_id(server_id)
            for server_id, departure in self._known.items()
            if departure.at_s >= since_s
        ]
        unlisted = [k for k, at_s in self._unlisted.items() if at_s >= since_s]
        return [*listed, *unlisted]

    def keys_of(
        self, servers: Iterable[directory.BackendServer]
    ) -> list[bytes]:
        """Returns the short ids of those servers that have announced it."""
        return [
            directory.short_id(server.server_id)
            for server in servers
            if server.server_id in self._known
        ]

    def _resolve(self, server: directory.BackendServer) -> None:
        if not self._unlisted:
            return
        at_s = self._unlisted.pop(directory.short_id(server.server_id), None)
        if at_s is not None:
            self.announce(server.server_id, source=Source.PEER, now=at_s)

    def _forget(self, server_id: str) -> None:
        del self._known[server_id]
        self._ready_since_s.pop(server_id, None)
