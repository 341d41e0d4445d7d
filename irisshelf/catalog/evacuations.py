"""Evacuated data centres, whose servers receive no new requests.

Operators evacuate a data centre by writing a row to the store, and lift the
evacuation by deleting the row. Updates are ordered by their position in the
store. When the store is restored from a backup, rows written after the backup
are missing until the operators write them again. A data centre that was
evacuated therefore stays so for a while after the restore: for a short time
once the operators have written something, and for a longer time otherwise.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from irisshelf.catalog import directory
from irisshelf.catalog import position as position_module

# Time for which cached prompt parts may still be fetched from servers of an
# evacuated data centre. Requests in this time copy the parts in use to the
# servers that take over. Operators allow more than twice as long for an
# evacuation.
CACHE_FETCH_GRACE_S = 2.0
# Operators write rows that were lost in a restore again within seconds.
_MAX_RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """A row written by the operators, or its removal.

    Attributes:
        data_centre: The data centre.
        in_force: Whether the data centre is evacuated.
    """

    data_centre: str
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChanges:
    """Changes to the evacuations by an answer, update or expiry.

    Attributes:
        begun: Data centres whose evacuation begins.
        lifted: Data centres whose evacuation ends.
    """

    begun: frozenset[str] = frozenset()
    lifted: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.begun or self.lifted)


class Evacuations:
    """The set of evacuated data centres."""

    def __init__(self):
        self._since_s: dict[str, float] = {}
        self._names: frozenset[str] = frozenset()
        self._position: position_module.Position | None = None
        # Evacuations of an earlier era that the restored store lacks, with the
        # time at which each is lifted unless it is written again.
        self._retained_until_s: dict[str, float] = {}

    def active(self) -> frozenset[str]:
        """Returns the evacuated data centres."""
        return self._names

    def allows_cache_fetch(self, data_centre: str, now: float) -> bool:
        """Returns whether cached parts may be fetched from a data centre."""
        since_s = self._since_s.get(data_centre)
        return since_s is None or now - since_s < CACHE_FETCH_GRACE_S

    def latest_duration_s(self, now: float) -> float:
        """Returns the time since the most recent evacuation began."""
        return now - max(self._since_s.values(), default=now)

    def replace(
        self,
        names: Iterable[str],
        position: position_module.Position,
        now: float,
    ) -> EvacuationChanges:
        """Replaces the evacuations by a snapshot.

        Args:
            names: The evacuated data centres.
            position: Position of the snapshot; a snapshot older than the
                current position is ignored.
            now: Time in seconds.
        """
        known = self._position
        if known is not None and position < known:
            return EvacuationChanges()
        self._position = position
        listed = frozenset(names)
        if known is not None and position.era > known.era:
            until_s = now + _MAX_RETENTION_S
            missing = self._since_s.keys() - listed
            self._retained_until_s = dict.fromkeys(missing, until_s)
        for name in listed & self._retained_until_s.keys():
            del self._retained_until_s[name]
        return self._set(listed | self._retained_until_s.keys(), now)

    def apply(
        self,
        rows: Iterable[Evacuation],
        position: position_module.Position,
        now: float,
    ) -> EvacuationChanges:
        """Applies written and removed rows in the order of the store."""
        if self._position is not None and position < self._position:
            return EvacuationChanges()
        self._position = position
        names = set(self._since_s)
        for row in rows:
            self._retained_until_s.pop(row.data_centre, None)
            if row.in_force:
                names.add(row.data_centre)
            else:
                names.discard(row.data_centre)
        return self._set(names, now)

    def record_operator_write(self, now: float) -> None:
        """Records that the operators have written a row in this era.

        Operators write the other lost rows again as soon as servers write
        their entries, so the same grace period applies.
        """
        until_s = now + directory.LAPSE_GRACE_S
        self._retained_until_s = {
            name: min(deadline_s, until_s)
            for name, deadline_s in self._retained_until_s.items()
        }

    def expire(self, now: float) -> EvacuationChanges:
        """Lifts evacuations of earlier eras that were not written again."""
        expired = {n for n, t in self._retained_until_s.items() if now >= t}
        for name in expired:
            del self._retained_until_s[name]
        return self._set(self._since_s.keys() - expired, now)

    def _set(self, names: Iterable[str], now: float) -> EvacuationChanges:
        after = frozenset(names)
        before, self._names = self._names, after
        self._since_s = {n: self._since_s.get(n, now) for n in after}
        return EvacuationChanges(begun=after - before, lifted=before - after)
