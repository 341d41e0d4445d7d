"""Bounded table of chats whose context is cached outside their home engine."""

from __future__ import annotations

import collections

MAX_ENTRIES = 20_000


class DisplacedChats:
    """LRU map from the key of a chat to the engine that caches its context.

    Args:
        max_entries: Number of chats kept; the least recently used are evicted.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES):
        self._max_entries = max_entries
        self._engines: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._engines)

    def get(self, chat_key: int) -> int | None:
        """Returns the engine that caches a displaced chat, if known."""
        engine = self._engines.get(chat_key)
        if engine is not None:
            self._engines.move_to_end(chat_key)
        return engine

    def put(self, chat_key: int, engine: int) -> None:
        """Records the engine that caches the context of a chat."""
        self._engines[chat_key] = engine
        self._engines.move_to_end(chat_key)
        if len(self._engines) > self._max_entries:
            self._engines.popitem(last=False)

    def discard(self, chat_key: int) -> None:
        """Removes a chat whose context is on its home engine again or lost."""
        self._engines.pop(chat_key, None)

    def discard_engine(self, engine: int) -> None:
        """Removes all chats of an engine that has lost its cache."""
        lost = [key for key, held in self._engines.items() if held == engine]
        for key in lost:
            del self._engines[key]
