"""Interface for following tables of the shared store.

A backend returns snapshots of tables and changes since a position. It also
decodes the rows, so that no other module depends on their stored format.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import math
from typing import Generic
from typing import TypeVar

import result

from irisshelf.catalog import position as position_module

_T = TypeVar("_T")


class Table(enum.StrEnum):
    """Tables that can be followed.

    Attributes:
        CATALOG: Rows written by operators: configurations
            (``model.Catalog``) and evacuations (``evacuations.Evacuation``).
        SERVERS: Entries of backend servers (``directory.BackendServer``).
    """

    CATALOG = "catalog"
    SERVERS = "servers"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRow(Generic[_T]):
    """A row of a table after decoding.

    Attributes:
        key: The row's key.
        value: The decoded content; None if the row was deleted or could not
            be decoded.
        problem: Why an existing row could not be decoded; empty if it could.
        raw: The encoded configuration as stored; empty for other rows.
        revision: The store's revision when the row was written; 0 if unknown.
    """

    key: str
    value: _T | None
    problem: str = ""
    raw: bytes = b""
    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Batch(Generic[_T]):
    """A snapshot of a table, or changes to it.

    Attributes:
        items: The rows.
        position: The position after which to request the next changes.
        store_s: The store's monotonic clock when it answered.
        began_s: When the call was made, or the call for the first page, in
            monotonic seconds of this instance; minus infinity if not known.
        is_snapshot: Whether ``items`` holds all rows of the table.
        complete: Whether ``items`` holds all changes up to ``store_s``. If
            not, the store truncated the answer, and further changes follow
            after ``position``.
        size_bytes: Size of the answer, or of its last page, as transferred.
        transfer_s: Seconds between the first and the last byte of the answer
            or of its last page.
    """

    items: tuple[DecodedRow[_T], ...]
    position: position_module.Position
    store_s: float
    is_snapshot: bool
    began_s: float = -math.inf
    complete: bool = True
    size_bytes: int = 0
    transfer_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The store did not answer or rejected the call."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLost:
    """The store has no changes after the requested position.

    It has truncated its history or was restored from a backup.
    """


Failure = Unavailable | HistoryLost


class Feed(abc.ABC):
    """Follows tables of the shared store."""

    @abc.abstractmethod
    def snapshot(self, table: Table) -> result.Result[Batch, Unavailable]:
        """Reads a consistent snapshot of a table."""

    @abc.abstractmethod
    def changes(
        self,
        table: Table,
        *,
        after: position_module.Position,
        wait_s: float,
    ) -> result.Result[Batch, Failure]:
        """Waits for changes after a position.

        Args:
            table: The table to follow.
            after: The last position known to the caller.
            wait_s: Maximum duration of the long poll if nothing changes.
        """

    @abc.abstractmethod
    def decode(self, raw: bytes) -> DecodedRow:
        """Decodes a configuration relayed by another instance."""

    @abc.abstractmethod
    def reset(self, table: Table) -> None:
        """Closes the connection used for a table; a pending long poll fails."""
