"""Records in memory, for tests and simulations."""

from __future__ import annotations

from collections.abc import Callable

import result

from irisshelf.store import feed
from irisshelf.store import records

# The store's clock has begun at another time than that of the instances.
_CLOCK_OFFSET_S = 77.0
_DOWN = feed.Unavailable(detail="down")


class MemoryRecords(records.Records):
    """Keeps records in memory.

    Args:
        now: Seconds.

    Attributes:
        reads: Number of times that all records were read.
        writes: Keys of the records written.
        down: Whether calls fail.
        late: Whether writes fail and are done nevertheless.
    """

    def __init__(self, *, now: Callable[[], float]):
        self.reads = 0
        self.writes: list[str] = []
        self.down = False
        self.late = False
        self._now = now
        self._rows: dict[str, records.Record] = {}
        self._version = 0

    def read(self) -> result.Result[records.Snapshot, feed.Unavailable]:
        """See ``records.Records.read``."""
        if self.down:
            return result.Err(_DOWN)
        self.reads += 1
        return result.Ok(
            records.Snapshot(
                records=tuple(self._rows.values()), store_s=self._store_s()
            )
        )

    def write(
        self, key: str, data: bytes, *, version: int
    ) -> result.Result[records.Written, records.Rejected | feed.Unavailable]:
        """See ``records.Records.write``."""
        if self.down:
            return result.Err(_DOWN)
        row = self._rows.get(key)
        if version != (row.version if row else records.NO_VERSION):
            return result.Err(records.Rejected())
        self._version += 1
        self._rows[key] = records.Record(
            key=key, data=data, version=self._version
        )
        self.writes.append(key)
        if self.late:
            return result.Err(_DOWN)
        return result.Ok(
            records.Written(version=self._version, store_s=self._store_s())
        )

    def spoil(self, data: bytes) -> None:
        """Replaces the content of all records, as another writer might."""
        self._rows = {
            key: records.Record(key=key, data=data, version=row.version)
            for key, row in self._rows.items()
        }

    def _store_s(self) -> float:
        return self._now() + _CLOCK_OFFSET_S
