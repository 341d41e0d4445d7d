"""Limits the memory that many messages take together.

Each message has a share, which grows as the message is read. When the budget is
used up, the largest message is ended: one without an end grows until it is the
largest. What a message needs at first is not counted, so that short messages
are processed whatever the others take.
"""

from __future__ import annotations

from collections.abc import Callable

from irisshelf.transport import errors

# Of each message, so much is not counted.
_FREE_BYTES = 32_768


class MemoryBudget:
    """A budget that messages share.

    Args:
        limit_bytes: Returns the limit in force.

    Attributes:
        used_bytes: Memory that is in use, less what is not counted.

    Example:
        >>> budget = MemoryBudget(limit_bytes=lambda: 100_000)
        >>> with budget.open() as share:
        ...     share.add(50_000)
        ...     budget.used_bytes
        17232
        >>> budget.used_bytes
        0
    """

    def __init__(self, *, limit_bytes: Callable[[], int]):
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._shares: dict[Share, None] = {}

    def open(self, on_end: Callable[[], None] | None = None) -> Share:
        """Opens the share of a message.

        Args:
            on_end: Called if the message is ended so that another one has
                room; without it, the message is not ended.
        """
        return Share(budget=self, on_end=on_end)

    def has_room(self, size: int) -> bool:
        """Returns whether a message of this size would fit now."""
        counted = max(0, size - _FREE_BYTES)
        return not counted or self.used_bytes + counted <= self._limit_bytes()

    def take(self, share: Share, size: int) -> None:
        """Adds memory to a share; see ``Share.add``."""
        self._shares[share] = None
        self.used_bytes += size
        limit_bytes = self._limit_bytes()
        while self.used_bytes > limit_bytes:
            largest = max(
                (one for one in self._shares if one is share or one.may_end),
                key=lambda one: one.counted_bytes,
            )
            kept_bytes, used_bytes = largest.size, self.used_bytes
            largest.end()
            if largest is share:
                raise errors.MemoryLimitError(
                    f"message keeps {kept_bytes} bytes, all together "
                    f"{used_bytes}, allowed: {limit_bytes}"
                )

    def give_back(self, share: Share, size: int) -> None:
        """Returns the memory of a share."""
        self.used_bytes -= size
        self._shares.pop(share, None)


class Share:
    """The memory of one message; used as a context manager.

    Args:
        budget: The budget.
        on_end: See ``MemoryBudget.open``.

    Attributes:
        size: Bytes that the message keeps.
        ended: Whether the message has been ended for lack of memory.
    """

    def __init__(
        self, *, budget: MemoryBudget, on_end: Callable[[], None] | None
    ):
        self.size = 0
        self.ended = False
        self.counted_bytes = 0
        self._budget = budget
        self._on_end = on_end

    def __enter__(self) -> Share:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def may_end(self) -> bool:
        """Whether the message may be ended so that another one has room."""
        return self._on_end is not None

    def keep(self) -> None:
        """Protects the message, which has been read completely."""
        self._on_end = None

    def add(self, size: int) -> None:
        """Counts further bytes that the message keeps.

        Raises:
            errors.MemoryLimitError: The message is ended, as it is the largest
                one and the budget is used up.
        """
        self.check()
        self.size += size
        counted = max(0, self.size - _FREE_BYTES) - self.counted_bytes
        if counted:
            self.counted_bytes += counted
            self._budget.take(self, counted)

    def check(self) -> None:
        """Checks that the message goes on.

        Raises:
            errors.MemoryLimitError: It has been ended.
        """
        if self.ended:
            raise errors.MemoryLimitError(
                f"message of {self.size} bytes was ended for lack of memory"
            )

    def has_room(self, size: int) -> bool:
        """Returns whether a message of this size would fit now."""
        return self._budget.has_room(size)

    def release(self) -> None:
        """Returns the memory; the message goes on with none."""
        self._budget.give_back(self, self.counted_bytes)
        self.size = self.counted_bytes = 0

    def end(self) -> None:
        """Ends the message and returns its memory."""
        self.ended = True
        on_end, self._on_end = self._on_end, None
        self.close()
        if on_end is not None:
            on_end()

    def close(self) -> None:
        """Returns the memory."""
        self._budget.give_back(self, self.counted_bytes)
        self.counted_bytes = 0
