"""Which servers are assumed to have which parts of prompts in their caches.

A server that was sent a prompt has processed its shared parts, or processes
them before the next request. Instances record their own requests and learn of
each other's by gossip. Evictions by a server are not reported to them, so
entries expire after ``ENTRY_TTL_S``.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib

# A server may have evicted a part that was unused for this time; reprocessing
# it after ten seconds without use is acceptable to the users.
ENTRY_TTL_S = 15.0
# Caches are limited in size, not in time: a server often still has a part that
# was unused for longer. It is then worth a fetch, which costs nothing in vain,
# but not the assumption that the server needs none.
_HINT_TTL_S = 60.0
# Interval at which a part that stays in use is announced again.
ANNOUNCE_INTERVAL_S = 5.0
_MAX_PARTS = 20_000
# In one fleet of twenty, two of 20,000 parts have the same key; the effect is a
# cache source that does not have the part.
_KEY_BYTES = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CacheEntry:
    """A prompt part in the cache of a server.

    Attributes:
        first_sent_s: When it was first sent there.
        last_sent_s: When it was last sent there.
    """

    first_sent_s: float
    last_sent_s: float


class CacheLocations:
    """Servers by the parts in their caches."""

    def __init__(self):
        self._entries: collections.OrderedDict[bytes, dict[str, CacheEntry]] = (
            collections.OrderedDict()
        )
        self._announced_s: dict[tuple[bytes, str], float] = {}

    def record(self, part: bytes, server_id: str, at_s: float) -> None:
        """Records that a part was sent to a server."""
        servers = self._entries.setdefault(part, {})
        known = servers.get(server_id)
        first_sent_s = at_s
        if known is not None and at_s - known.last_sent_s <= ENTRY_TTL_S:
            first_sent_s = known.first_sent_s
        servers[server_id] = CacheEntry(
            first_sent_s=first_sent_s, last_sent_s=at_s
        )
        self._entries.move_to_end(part)
        while len(self._entries) > _MAX_PARTS:
            self._entries.popitem(last=False)

    def should_announce(self, part: bytes, server_id: str, now: float) -> bool:
        """Tells whether to announce an entry to other instances.

        If so, the entry counts as announced from now on.
        """
        last_s = self._announced_s.get((part, server_id), float("-inf"))
        if now - last_s < ANNOUNCE_INTERVAL_S:
            return False
        self._announced_s[part, server_id] = now
        if len(self._announced_s) > 2 * _MAX_PARTS:
            self._announced_s = {
                pair: at_s
                for pair, at_s in self._announced_s.items()
                if now - at_s < ANNOUNCE_INTERVAL_S
            }
        return True

    def record_from_peer(
        self, part: bytes, server_id: str, at_s: float
    ) -> None:
        """Records an entry from another instance; it counts as announced."""
        self.record(part, server_id, at_s)
        self._announced_s[part, server_id] = at_s

    def holders(self, part: bytes, now: float) -> dict[str, CacheEntry]:
        """Returns the servers that have a part cached or are processing it."""
        return {
            server_id: entry
            for server_id, entry in self._entries.get(part, {}).items()
            if now - entry.last_sent_s <= ENTRY_TTL_S
        }

    def former_holders(self, part: bytes, now: float) -> dict[str, CacheEntry]:
        """Returns the servers that may still have a part that is not in use."""
        return {
            server_id: entry
            for server_id, entry in self._entries.get(part, {}).items()
            if ENTRY_TTL_S < now - entry.last_sent_s <= _HINT_TTL_S
        }


def part_key(part_id: str) -> bytes:
    """Returns the short key of a part, a hash of its id."""
    return hashlib.blake2b(part_id.encode(), digest_size=_KEY_BYTES).digest()
