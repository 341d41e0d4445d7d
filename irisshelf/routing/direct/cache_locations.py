"""Which servers are thought to hold which parts of prompts.

A server that was sent a prompt has read its shared parts, or reads them before
it comes to the next request. Instances know their own sends and hear of each
other's; what a server has dropped since is not known, so knowledge ends after
``HELD_S``.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib

# Parts that nobody used for so long may have given way, and the users do not
# mind that they are read again after ten seconds.
ENTRY_TTL_S = 15.0
# A part that stays in use is told again so often.
ANNOUNCE_INTERVAL_S = 5.0
_MAX_PARTS = 20_000
# In one fleet of twenty, two of 20,000 parts have the same key; a prompt then
# has a source that serves nothing.
_KEY_BYTES = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEntry:
    """How a server holds a part.

    Attributes:
        since_s: When it was first sent.
        used_s: When it was last sent.
    """

    first_sent_s: float
    last_sent_s: float


class CacheLocations:
    """Servers by the parts that they hold."""

    def __init__(self):
        self._entries: collections.OrderedDict[bytes, dict[str, CacheEntry]] = (
            collections.OrderedDict()
        )
        self._told: dict[tuple[bytes, str], float] = {}

    def record(self, part: bytes, server_id: str, at_s: float) -> None:
        """Notes that a server has a part."""
        servers = self._entries.setdefault(part, {})
        known = servers.get(server_id)
        since_s = at_s
        if known is not None and at_s - known.last_sent_s <= ENTRY_TTL_S:
            since_s = known.first_sent_s
        servers[server_id] = CacheEntry(first_sent_s=since_s, last_sent_s=at_s)
        self._entries.move_to_end(part)
        while len(self._entries) > _MAX_PARTS:
            self._entries.popitem(last=False)

    def should_announce(self, part: bytes, server_id: str, now: float) -> bool:
        """Tells whether others should be told, and notes that they are."""
        last_s = self._told.get((part, server_id), float("-inf"))
        if now - last_s < ANNOUNCE_INTERVAL_S:
            return False
        self._told[part, server_id] = now
        if len(self._told) > 2 * _MAX_PARTS:
            self._told = {
                pair: at_s
                for pair, at_s in self._told.items()
                if now - at_s < ANNOUNCE_INTERVAL_S
            }
        return True

    def record_from_peer(
        self, part: bytes, server_id: str, at_s: float
    ) -> None:
        """Takes what another instance tells, which need not be told again."""
        self.record(part, server_id, at_s)
        self._told[part, server_id] = at_s

    def holders(self, part: bytes, now: float) -> dict[str, CacheEntry]:
        """Returns the servers that hold a part, or are reading it."""
        return {
            server_id: held
            for server_id, held in self._entries.get(part, {}).items()
            if now - held.last_sent_s <= ENTRY_TTL_S
        }


def part_key(part_id: str) -> bytes:
    """Returns the short name of a part."""
    return hashlib.blake2b(part_id.encode(), digest_size=_KEY_BYTES).digest()
