"""The servers on the list in force, by the keys that messages contain."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from irisshelf.catalog import directory

# How long a server is remembered after it is no longer listed.
_DELISTED_KNOWN_S = 60.0


class ListedServers:
    """Listed servers by key, and those that were listed until recently.

    Args:
        now: Monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]):
        self._now = now
        self._by_key: dict[bytes, directory.BackendServer] = {}
        # Entry ids by their keys; these differ from the keys of server ids.
        self._entry_ids: dict[bytes, str] = {}
        self._delisted_s: dict[bytes, float] = {}

    def update(
        self, servers: Collection[directory.BackendServer]
    ) -> Collection[bytes]:
        """Replaces the list.

        Args:
            servers: The servers that are listed now.

        Returns:
            The keys of servers that are no longer listed.
        """
        before = self._by_key
        self._by_key = {
            directory.short_id(server.server_id): server for server in servers
        }
        self._entry_ids = {
            directory.short_id(server.entry_id): server.entry_id
            for server in servers
        }
        gone = before.keys() - self._by_key.keys()
        self._note_delisted(gone)
        return gone

    def by_key(self, key: bytes) -> directory.BackendServer | None:
        """Returns the listed server that has a key, if any."""
        return self._by_key.get(key)

    def entry_id(self, key: bytes) -> str | None:
        """Returns the id of the listed entry that has a key, if any."""
        return self._entry_ids.get(key)

    def recently_delisted(self, key: bytes) -> bool:
        """Returns whether a server was listed until recently."""
        delisted_s = self._delisted_s.get(key, float("-inf"))
        return self._now() - delisted_s < _DELISTED_KNOWN_S

    def _note_delisted(self, keys: Iterable[bytes]) -> None:
        now = self._now()
        self._delisted_s = {
            key: delisted_s
            for key, delisted_s in self._delisted_s.items()
            if now - delisted_s < _DELISTED_KNOWN_S
        }
        self._delisted_s |= dict.fromkeys(keys, now)
