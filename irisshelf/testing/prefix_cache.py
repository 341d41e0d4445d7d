"""An engine's cache of prompt prefixes: limited, least recently used first."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Sequence

MAX_EVENTS = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class Block:
    """One block of a prompt; its key covers all blocks before it too."""

    key: int
    tokens: int


class PrefixCache:
    """Holds blocks up to a number of tokens.

    Args:
        capacity_tokens: Most tokens held.

    Example:
        >>> cache = PrefixCache(capacity_tokens=10)
        >>> cache.insert([Block(key=1, tokens=4)])
        >>> cache.match([Block(key=1, tokens=4), Block(key=2, tokens=3)])
        4
    """

    def __init__(self, *, capacity_tokens: int):
        self._capacity = capacity_tokens
        self._blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._held = 0
        self.added: list[int] = []
        self.evicted: list[int] = []
        self.events = 0

    def match(self, blocks: Sequence[Block]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        cached = 0
        for block in blocks:
            if block.key not in self._blocks:
                break
            cached += block.tokens
        return cached

    def insert(self, blocks: Sequence[Block]) -> None:
        """Caches a prompt; evicts what was not used for longest.

        Blocks are touched from the last to the first, so that a prefix is
        always newer than what follows it and is evicted after it.
        """
        for block in reversed(blocks):
            if block.key in self._blocks:
                self._blocks.move_to_end(block.key)
            else:
                self._blocks[block.key] = block.tokens
                self._held += block.tokens
                self._note(self.added, block.key)
        while self._held > self._capacity and self._blocks:
            key, tokens = self._blocks.popitem(last=False)
            self._held -= tokens
            self._note(self.evicted, key)

    def _note(self, events: list[int], key: int) -> None:
        """Keeps the latest events; older ones become a gap."""
        self.events += 1
        events.append(key)
        del events[:-MAX_EVENTS]

    def clear(self) -> None:
        """Empties the cache, as a restart does."""
        self._blocks.clear()
        self._held = 0
        self.added.clear()
        self.evicted.clear()
