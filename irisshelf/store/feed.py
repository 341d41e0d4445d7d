"""The one entry point for following a table of the shared store.

A backend answers whole tables and changes since a position. Rows are decoded
by the backend; nothing else knows how they are written down.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import Generic
from typing import TypeVar

import result

from irisshelf.catalog import position as position_module

_T = TypeVar("_T")


class Table(enum.StrEnum):
    """What can be followed.

    Attributes:
        CATALOG: The operators' rows: configurations (``model.Catalog``) and
            evacuations (``evacuations.Evacuation``).
        SERVERS: Entries of backend servers (``directory.BackendServer``).
    """

    CATALOG = "catalog"
    SERVERS = "servers"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRow(Generic[_T]):
    """A row: its decoded content, or None if it is gone or unreadable.

    Attributes:
        key: The row's key.
        value: The content.
        problem: Why a row that is there could not be decoded; empty if it
            could.
        raw: A configuration as the store has it; empty for other rows.
        revision: The store's count when the row was written; 0 if not known.
    """

    key: str
    value: _T | None
    problem: str = ""
    raw: bytes = b""
    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Batch(Generic[_T]):
    """A whole table, or what changed in it.

    Attributes:
        items: The rows.
        position: Ask for changes after this one next time.
        store_s: The store's steady clock when it answered.
        whole: Whether these are all rows there are.
        complete: Whether these are all changes up to ``store_s``; if not, the
            store has cut the answer off, and more come after ``position``.
        size_bytes: Of the answer, or of its last page, as it was transferred.
        transfer_s: From its first byte to its last one, in seconds.
    """

    items: tuple[DecodedRow[_T], ...]
    position: position_module.Position
    store_s: float
    is_snapshot: bool
    complete: bool = True
    size_bytes: int = 0
    transfer_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The store did not answer, or turned the call away."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLost:
    """The store does not know what came after the position asked for.

    It has dropped its history, or come back from a copy.
    """


Failure = Unavailable | HistoryLost


class Feed(abc.ABC):
    """Follows tables of the shared store."""

    @abc.abstractmethod
    def snapshot(self, table: Table) -> result.Result[Batch, Unavailable]:
        """Reads a whole table as of one moment."""

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
            table: What to follow.
            after: The position known.
            wait_s: How long the store may hold the call if nothing changes.
        """

    @abc.abstractmethod
    def decode(self, raw: bytes) -> DecodedRow:
        """Decodes a configuration that another instance has relayed."""

    @abc.abstractmethod
    def reset(self, table: Table) -> None:
        """Drops the connection used for a table; a held call fails."""
