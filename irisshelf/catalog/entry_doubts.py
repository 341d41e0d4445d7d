"""Servers whose entries may describe a process that has ended.

A server that returns under its id, maybe with another version, writes its entry
only some time after it accepts requests. Until then the list describes the
process before. So once there is a sign that a process has ended, the entry is
in doubt until it is written again, or until that would have been seen.
"""

from __future__ import annotations

from irisshelf.catalog import directory

# A live server writes its entry within this time after it is back.
WRITTEN_WITHIN_S = directory.LAPSE_GRACE_S
# A server whose return nobody reports is in doubt for this long; by then the
# list has dropped the entry of one that is still away.
_LONGEST_AWAY_S = 10.0


class EntryDoubts:
    """The entries that are in doubt."""

    def __init__(self):
        # By server id, the entry in doubt and until when it is.
        self._signs: dict[str, tuple[directory.BackendServer, float]] = {}

    def record_exit(self, server: directory.BackendServer, now: float) -> None:
        """Records that a server's process has ended and is not back yet.

        Args:
            server: The server, as its entry describes it.
            now: Monotonic seconds.
        """
        self._signs[server.server_id] = (server, now + _LONGEST_AWAY_S)

    def record_return(
        self, server: directory.BackendServer, now: float
    ) -> None:
        """Records that a server's process is, or may be, a new one.

        Args:
            server: The server, as its entry describes it.
            now: Monotonic seconds.
        """
        self._signs[server.server_id] = (server, now + WRITTEN_WITHIN_S)

    def record_entry(self, server: directory.BackendServer) -> None:
        """Records a server's entry, which may be the one in doubt.

        Whole lists contain entries that have not been written again.
        """
        sign = self._signs.get(server.server_id)
        if sign is not None and _is_later(server, sign[0]):
            del self._signs[server.server_id]

    def is_doubtful(
        self, server_id: str, now: float, list_as_of_s: float
    ) -> bool:
        """Returns whether a server's entry is in doubt.

        Args:
            server_id: The server.
            now: Monotonic seconds.
            list_as_of_s: When the list in use was the latest.

        Example:
            >>> doubts = EntryDoubts()
            >>> server = directory.BackendServer(
            ...     server_id="i-1", service="lm", address="10.0.0.1:80",
            ...     data_centre="a", slots=4,
            ... )
            >>> doubts.record_return(server, 10.0)
            >>> doubts.is_doubtful("i-1", 11.0, 11.0)
            True
            >>> doubts.is_doubtful("i-1", 13.0, 13.0)
            False
            >>> doubts.is_doubtful("i-1", 13.0, 11.0)
            True
        """
        sign = self._signs.get(server_id)
        if sign is None:
            return False
        _, until_s = sign
        return min(now, list_as_of_s) <= until_s

    def retain(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that are no longer listed."""
        for server_id in self._signs.keys() - server_ids:
            del self._signs[server_id]


def _is_later(
    server: directory.BackendServer, doubted: directory.BackendServer
) -> bool:
    """Returns whether an entry has been written after the one in doubt."""
    if None in (server.sequence, doubted.sequence):
        return server != doubted
    return server.sequence > doubted.sequence
