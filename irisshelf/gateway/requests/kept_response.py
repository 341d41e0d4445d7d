"""What is kept of a server's response until it, or an event of it, is complete.

A server may send bytes that are no response, or the beginning of one, without
end. What is kept is limited for each response, and for all of them together.
"""

from __future__ import annotations

from irisshelf.transport import errors
from irisshelf.transport import memory_budget

# Parts beyond these have to hold so many bytes on average: each costs as much
# processor time as thousands of bytes.
_FREE_PARTS = 8192
_MIN_PART_BYTES = 16


class KeptResponse:
    """Counts what is kept of a response.

    Args:
        what: What is kept, for errors.
        max_bytes: Its limit.
        field: The setting of the limit.
        share: The memory that it takes.
    """

    def __init__(
        self,
        *,
        what: str,
        max_bytes: int,
        field: str,
        share: memory_budget.Share,
    ):
        self._what = what
        self._max_bytes = max_bytes
        self._field = field
        self._share = share
        self._size = 0
        self._parts = 0

    def check_size(self, size: int) -> None:
        """Checks the size that a response announces.

        Raises:
            errors.ResponseLimitError: It is too long.
        """
        if size > self._max_bytes:
            raise errors.ResponseLimitError(
                self._what, self._max_bytes, self._field
            )

    def add(self, size: int) -> None:
        """Counts a further part.

        Raises:
            errors.ResponseLimitError: There are too many bytes or parts.
            errors.MemoryLimitError: All responses together take too much
                memory, and this one most of it.
        """
        self._size += size
        self._parts += 1
        self.check_size(self._size)
        max_parts = _FREE_PARTS + self._size // _MIN_PART_BYTES
        if self._parts > max_parts:
            raise errors.ResponseLimitError(
                f"number of parts of {self._what} of {self._size} bytes",
                max_parts,
            )
        self._share.add(size)

    def restart(self, size: int) -> None:
        """Counts anew, as all before has been passed on.

        Args:
            size: Bytes that are still kept.

        Raises:
            errors.ResponseLimitError: See ``add``.
            errors.MemoryLimitError: See ``add``.
        """
        self._size = size
        self._parts = 0
        self.check_size(size)
        self._share.release()
        self._share.add(size)
