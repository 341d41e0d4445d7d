"""What the owner of an engine thinks is in the engine's prefix cache.

The owner sees every request that its engines get, so it can follow a least
recently used cache of the engine's size. The engine's own report, the cached
tokens that it reports with each answer and its cache events, corrects it.
"""

from __future__ import annotations

import collections

from irisshelf.routing.owned import context


class CacheView:
    """One engine's cache, as its owner follows it.

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
        self._held = 0

    def __len__(self) -> int:
        return len(self._tokens)

    def holds(self, key: int) -> bool:
        """Tells whether a shared history or a chat is thought cached."""
        return key in self._tokens

    def cached_tokens(self, ctx: context.Context) -> int:
        """Returns how much of a prompt is thought cached."""
        cached = 0
        if ctx.shared_key:
            if ctx.shared_key not in self._tokens:
                return 0
            cached = ctx.shared_tokens
        held = self._tokens.get(ctx.chat_key, 0)
        return cached + min(held, ctx.chat_tokens)

    def touch(self, ctx: context.Context, *, answer_tokens: int = 0) -> None:
        """Notes a prompt, and the answer once it is whole, as cached."""
        chat = ctx.chat_tokens + ctx.new_tokens + answer_tokens
        self._put(ctx.chat_key, chat)
        if ctx.shared_key:
            # After the chat: a prefix outlives what builds on it.
            self._put(ctx.shared_key, ctx.shared_tokens)
        self._evict()

    def drop(self, key: int) -> None:
        """Notes that the engine has evicted a shared history or a chat."""
        self._held -= self._tokens.pop(key, 0)

    def clear(self) -> None:
        """Notes that the engine has lost its cache."""
        self._tokens.clear()
        self._held = 0

    def _put(self, key: int, tokens: int) -> None:
        self._held += tokens - self._tokens.get(key, 0)
        self._tokens[key] = tokens
        self._tokens.move_to_end(key)

    def _evict(self) -> None:
        while self._held > self._capacity and self._tokens:
            _, tokens = self._tokens.popitem(last=False)
            self._held -= tokens
