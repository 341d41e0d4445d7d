"""Interface for small records in the shared store.

Instances have no disk, and all of them may be killed at the same moment. What
must be known after that is written to the store by one instance and read by the
others.
"""

from __future__ import annotations

import abc
import dataclasses

import result

from irisshelf.store import feed

# Version of a record that does not exist.
NO_VERSION = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """A record in the store.

    Attributes:
        key: Its key.
        data: Its content; empty if it could not be decoded.
        version: Rises with each write of it.
    """

    key: str
    data: bytes
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """All records at one moment.

    Attributes:
        records: The records.
        store_s: The store's monotonic clock.
    """

    records: tuple[Record, ...]
    store_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Written:
    """A record has been written.

    Attributes:
        version: Its version now.
        store_s: The store's monotonic clock.
    """

    version: int
    store_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """Nothing was written, as the record has another version."""


class Records(abc.ABC):
    """Reads and writes records."""

    @abc.abstractmethod
    def read(self) -> result.Result[Snapshot, feed.Unavailable]:
        """Reads all records."""

    @abc.abstractmethod
    def write(
        self, key: str, data: bytes, *, version: int
    ) -> result.Result[Written, Rejected | feed.Unavailable]:
        """Writes a record if it has the version that the caller knows.

        A write that fails with ``feed.Unavailable`` may still be done later.

        Args:
            key: Its key.
            data: Its content.
            version: The known version; ``NO_VERSION`` if there is no record.
        """
