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


class EntryDoubts:
    """The entries that are in doubt."""

    def __init__(self):
        # By server id, when the latest sign was seen.
        self._since_s: dict[str, float] = {}

    def record_sign(self, server_id: str, now: float) -> None:
        """Records a sign that a server's process has ended or is a new one."""
        self._since_s[server_id] = now

    def record_entry(self, server_id: str) -> None:
        """Records that a server has written its entry."""
        self._since_s.pop(server_id, None)

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
            >>> doubts.record_sign("i-1", 10.0)
            >>> doubts.is_doubtful("i-1", 11.0, 11.0)
            True
            >>> doubts.is_doubtful("i-1", 13.0, 13.0)
            False
            >>> doubts.is_doubtful("i-1", 13.0, 11.0)
            True
        """
        since_s = self._since_s.get(server_id)
        if since_s is None:
            return False
        return min(now, list_as_of_s) - since_s <= WRITTEN_WITHIN_S

    def retain(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that are no longer listed."""
        for server_id in self._since_s.keys() - server_ids:
            del self._since_s[server_id]
