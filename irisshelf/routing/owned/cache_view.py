"""The owner's model of an engine's prefix cache.

The owner sees every request that its engines receive, and can therefore
simulate a least recently used cache of the same size. The engine corrects the
model with the number of cached tokens reported in each response and with its
cache events.
"""

from __future__ import annotations

import collections

from irisshelf.routing.owned import context


class CacheView:
    """Simulated prefix cache of one engine.

    Args:
        capacity_tokens: Size of the engine's cache.

    Example:
        >>> view = CacheView(capacity_tokens=1000)
        >>> ctx = context.Context(shared_key=1, chat_key=2, shared_tokens=50,
        ...     chat_tokens=20, new_tokens=5, decode_tokens=10)
        >>> view.cached_tokens(ctx)
        0
        >>> view.touch(ctx)
        >>> view.cached_tokens(ctx)
        70
    """

    def __init__(self, *, capacity_tokens: int):
        self._capacity = capacity_tokens
        self._tokens: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._used_tokens = 0

    def __len__(self) -> int:
        return len(self._tokens)

    def holds(self, key: int) -> bool:
        """Tells whether a shared history or a chat is assumed to be cached."""
        return key in self._tokens

    def cached_tokens(self, ctx: context.Context) -> int:
        """Returns the number of prompt tokens assumed to be cached."""
        cached = 0
        if ctx.shared_key:
            if ctx.shared_key not in self._tokens:
                return 0
            cached = ctx.shared_tokens
        chat_cached = self._tokens.get(ctx.chat_key, 0)
        return cached + min(chat_cached, ctx.chat_tokens)

    def touch(self, ctx: context.Context, *, answer_tokens: int = 0) -> None:
        """Marks a prompt, and a completed answer if given, as just used."""
        chat = ctx.chat_tokens + ctx.new_tokens + answer_tokens
        self._put(ctx.chat_key, chat)
        if ctx.shared_key:
            # Used after the chat, since a prefix is evicted only after the
            # entries that extend it.
            self._put(ctx.shared_key, ctx.shared_tokens)
        self._evict()

    def drop(self, key: int) -> None:
        """Removes a shared history or a chat that the engine has evicted."""
        self._used_tokens -= self._tokens.pop(key, 0)

    def clear(self) -> None:
        """Removes all entries, after the engine has lost its cache."""
        self._tokens.clear()
        self._used_tokens = 0

    def _put(self, key: int, tokens: int) -> None:
        self._used_tokens += tokens - self._tokens.get(key, 0)
        self._tokens[key] = tokens
        self._tokens.move_to_end(key)

    def _evict(self) -> None:
        while self._used_tokens > self._capacity and self._tokens:
            _, tokens = self._tokens.popitem(last=False)
            self._used_tokens -= tokens
