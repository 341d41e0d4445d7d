"""One watch on the store, shared by the instances of a data centre.

The store charges for each call, and a call that is held costs as much as one
that is answered at once. So one instance of a data centre, the *watcher*, asks
the store and tells the others, the *readers*, what it was told: which version
of the configuration was the newest, and what changed in the list of servers,
each as of a moment of the store's own steady clock. A reader turns that moment
into a time of its own by what its own calls have shown (``catalog.freshness``),
so that the age of what it knows is never taken for less than it is, however
long an update was on its way or its watcher stood still.

A reader relies on nobody: once the newest update is older than
``Timing.silence_s``, it asks the store by itself. An update that it cannot
apply, as one before it was lost, makes it ask at once: for whole tables the
instances above it in the data centre, for all else the store.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import ClassVar

from irisshelf.catalog import directory
from irisshelf.catalog import position as position_module
from irisshelf.coordination import membership as membership_module
from irisshelf.store import feed

# A watcher's call is held for this part of the tightest bound, so that two
# updates in a row may be lost before a reader has to ask by itself.
_HOLD_OF_BOUND = 0.25
# A reader asks by itself after this part of it. With a watcher that freezes
# just before a change, the change is known after 0.55 of the bound and the time
# of one call; what is left serves requests that were sent before.
_SILENCE_OF_BOUND = 0.55
# A watcher makes 2 to 4 calls a second (both tables, bounds of 4 to 2 s), an
# instance by itself 0.6: below so many instances little or nothing is saved.
_FEWEST = 8
# Changes are told again for so long, for readers that missed an update.
_KEEP_S = 6.0
# About 70 bytes each; an update has to fit into one datagram.
_MOST_CHANGES = 16


class Role(enum.StrEnum):
    """Who asks the store for an instance."""

    STANDALONE = "alone"
    WATCHER = "watcher"
    READER = "reader"


class Verdict(enum.Enum):
    """What an update is to the instance that reads it.

    Attributes:
        STALE: It is of an earlier era of the store, and says nothing.
        CURRENT: It says nothing that the instance does not know.
        APPLY: Its changes follow what the instance knows.
        FETCH: There is more than it tells: the store has to be asked.
    """

    STALE = enum.auto()
    CURRENT = enum.auto()
    APPLY = enum.auto()
    FETCH = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """When the store is asked, in seconds.

    Attributes:
        hold_s: How long the store may hold a watcher's call.
        silence_s: Age of the newest update from which a reader asks by itself.
    """

    long_poll_s: float
    fallback_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CatalogUpdate:
    """Which configuration was the newest in the store.

    Attributes:
        store_s: The moment, by the store's clock.
        version: Of the configuration.
        position: Of the answer; changes may be asked for after it.
        evacuated: The data centres that are evacuated then.
        digest: Of the configuration as the store has it; empty if not known.
    """

    store_s: float
    version: int
    position: position_module.Position
    evacuated: frozenset[str] = frozenset()
    digest: bytes = b""
    table: ClassVar[feed.Table] = feed.Table.CATALOG


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServersUpdate:
    """What changed in the list of servers.

    Attributes:
        store_s: The moment up to which all changes are told, store's clock.
        since: Position after which changes are told.
        position: Position up to which they are told.
        changes: In their order.
    """

    store_s: float
    since: position_module.Position
    position: position_module.Position
    changes: tuple[directory.Change, ...] = ()
    table: ClassVar[feed.Table] = feed.Table.SERVERS


Update = CatalogUpdate | ServersUpdate


def timing(bound_s: float) -> Timing:
    """Returns when the store is asked.

    Args:
        bound_s: The shortest time in which anything that the store accepts has
            to be known everywhere.

    Example:
        >>> timing(4.0)
        Timing(hold_s=1.0, silence_s=2.2)
    """
    return Timing(
        long_poll_s=_HOLD_OF_BOUND * bound_s,
        fallback_after_s=_SILENCE_OF_BOUND * bound_s,
    )


def role(roster: membership_module.Membership, now: float) -> Role:
    """Returns an instance's role, by the instances that it knows.

    Instances that know different ones for a while may all watch, or all read;
    that costs calls, and nothing else.
    """
    others = roster.members(roster.own.data_centre, now)
    if len(others) + 1 < _FEWEST:
        return Role.STANDALONE
    if roster.leader(now) is None:
        return Role.WATCHER
    return Role.READER


def classify_catalog_update(
    update: CatalogUpdate,
    known: position_module.Position | None,
    version: int | None,
) -> Verdict:
    """Judges an update.

    Args:
        update: The update.
        known: The position known; None if there is none.
        version: Of the newest configuration that the store is known to have in
            this era; None if that is not known.
    """
    if known is not None and update.position.era < known.era:
        return Verdict.STALE
    if known is not None and update.position.era > known.era:
        return Verdict.FETCH
    if version is None or update.version > version:
        return Verdict.FETCH
    return Verdict.CURRENT


def classify_servers_update(
    update: ServersUpdate, known: position_module.Position | None
) -> Verdict:
    """Judges an update by the position known; None if there is none."""
    if known is None:
        return Verdict.FETCH
    if update.position.era < known.era:
        return Verdict.STALE
    if update.position <= known:
        return Verdict.CURRENT
    if position_module.follows(known, update.since):
        return Verdict.APPLY
    return Verdict.FETCH


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    at_s: float
    since: position_module.Position
    changes: tuple[directory.Change, ...]


class ChangeLog:
    """The latest changes of the list of servers, without a gap."""

    def __init__(self):
        self._entries: collections.deque[_Entry] = collections.deque()
        self._position = position_module.Position(era=0, revision=0)
        # Where the latest change was; the store's position moves on without.
        self._changed = self._position

    def reset(self, position: position_module.Position) -> None:
        """Takes that the whole list was read: what came before is unknown."""
        self._entries.clear()
        self._position = self._changed = position

    def append(
        self,
        changes: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
    ) -> None:
        """Takes all changes since the position known, up to a later one."""
        if changes:
            since = self._changed
            self._entries.append(_Entry(at_s=now, since=since, changes=changes))
            self._changed = position
        self._position = position

    def build_update(self, store_s: float, now: float) -> ServersUpdate:
        """Returns what readers are told.

        Args:
            store_s: When the position known was the newest, store's clock.
            now: Monotonic seconds.
        """
        entries = self._entries
        while entries and now - entries[0].at_s > _KEEP_S:
            entries.popleft()
        while sum(len(entry.changes) for entry in entries) > _MOST_CHANGES:
            entries.popleft()
        return ServersUpdate(
            store_s=store_s,
            since=entries[0].since if entries else self._changed,
            position=self._position,
            changes=tuple(c for entry in entries for c in entry.changes),
        )
