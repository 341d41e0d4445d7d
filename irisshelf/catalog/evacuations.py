"""Data centres whose servers get nothing new, by the operators' rows.

The operators evacuate a data centre by a row in the store and lift that by
removing it. Words are ordered by their position in the store. When the store
comes back from a copy, rows that were written since are missing until they are
written again: what was evacuated stays so until the operators have written, or
long enough for that has passed.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from irisshelf.catalog import directory
from irisshelf.catalog import position as position_module

# Servers of an evacuated data centre may be fetched from for this long: the
# requests that come meanwhile bring the parts in use to their next servers, and
# the operators allow more than as long again.
CACHE_FETCH_GRACE_S = 2.0
# Operators who have lost rows write them again within seconds.
_LONGEST_KEPT_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """A row of the operators, or its removal.

    Attributes:
        data_centre: Which one.
        in_force: Whether it is evacuated.
    """

    data_centre: str
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChanges:
    """What an answer or update changed.

    Attributes:
        begun: Data centres that are evacuated from now on.
        lifted: Those that are not any more.
    """

    begun: frozenset[str] = frozenset()
    lifted: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.begun or self.lifted)


class Evacuations:
    """Which data centres are evacuated."""

    def __init__(self):
        self._since_s: dict[str, float] = {}
        self._names: frozenset[str] = frozenset()
        self._position: position_module.Position | None = None
        # Of an earlier era, with when each is lifted if nobody writes it again.
        self._kept_until_s: dict[str, float] = {}

    def active(self) -> frozenset[str]:
        """Returns the evacuated data centres."""
        return self._names

    def allows_cache_fetch(self, data_centre: str, now: float) -> bool:
        """Tells whether a data centre's servers may still be fetched from."""
        since_s = self._since_s.get(data_centre)
        return since_s is None or now - since_s < CACHE_FETCH_GRACE_S

    def latest_duration_s(self, now: float) -> float:
        """Returns how long the latest evacuation has lasted."""
        return now - max(self._since_s.values(), default=now)

    def replace(
        self,
        names: Iterable[str],
        position: position_module.Position,
        now: float,
    ) -> EvacuationChanges:
        """Takes all evacuations as of a position.

        Args:
            names: The evacuated data centres.
            position: Of the rows; an earlier one is dropped.
            now: Time in seconds.
        """
        known = self._position
        if known is not None and position < known:
            return EvacuationChanges()
        self._position = position
        listed = frozenset(names)
        if known is not None and position.era > known.era:
            until_s = now + _LONGEST_KEPT_S
            missing = self._since_s.keys() - listed
            self._kept_until_s = dict.fromkeys(missing, until_s)
        for name in listed & self._kept_until_s.keys():
            del self._kept_until_s[name]
        return self._set(listed | self._kept_until_s.keys(), now)

    def apply(
        self,
        rows: Iterable[Evacuation],
        position: position_module.Position,
        now: float,
    ) -> EvacuationChanges:
        """Takes rows that were written or removed, in their order."""
        if self._position is not None and position < self._position:
            return EvacuationChanges()
        self._position = position
        names = set(self._since_s)
        for row in rows:
            self._kept_until_s.pop(row.data_centre, None)
            if row.in_force:
                names.add(row.data_centre)
            else:
                names.discard(row.data_centre)
        return self._set(names, now)

    def record_operator_write(self, now: float) -> None:
        """Takes that the operators have written something in this era.

        What else they lost is written again as soon as servers' entries are.
        """
        until_s = now + directory.LAPSE_GRACE_S
        self._kept_until_s = {
            name: min(kept_s, until_s)
            for name, kept_s in self._kept_until_s.items()
        }

    def expire(self, now: float) -> EvacuationChanges:
        """Lifts what an earlier era knew and nobody has written again."""
        over = {n for n, t in self._kept_until_s.items() if now >= t}
        for name in over:
            del self._kept_until_s[name]
        return self._set(self._since_s.keys() - over, now)

    def _set(self, names: Iterable[str], now: float) -> EvacuationChanges:
        after = frozenset(names)
        before, self._names = self._names, after
        self._since_s = {n: self._since_s.get(n, now) for n in after}
        return EvacuationChanges(begun=after - before, lifted=before - after)
