"""A watch on the store that the instances of a data centre share.

The store charges for each call, and a long poll costs as much as a call that is
answered at once. One instance of a data centre, the *watcher*, therefore polls
the store and relays the results to the others, the *readers*: which version of
the configuration was the newest, and what changed in the list of servers, each
as of a time on the store's own steady clock. A reader converts that time to its
own clock on the basis of its own calls (``catalog.freshness``), so that it
never underestimates the age of its data, however long an update was in transit
or its watcher was paused.

A reader does not depend on any other instance: once the newest update is older
than ``Timing.fallback_after_s``, it polls the store itself. If it cannot apply
an update because an earlier one was lost, it fetches the data at once: whole
tables from its ancestors in the data centre's relay tree, anything else from
the store.
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

# Duration of a watcher's long poll, as a fraction of the tightest bound. Two
# updates in a row may be lost before a reader has to poll the store itself.
_LONG_POLL_FRACTION = 0.25
# Age of the newest update, as a fraction of that bound, from which a reader
# polls the store itself. If the watcher freezes just before a change, the
# change is known after 0.55 of the bound plus the duration of one call; the
# remainder is left for requests that were sent before.
_FALLBACK_FRACTION = 0.55
# A watcher makes 2 to 4 calls a second (both tables, bounds of 4 to 2 s), an
# instance on its own 0.6. With fewer instances, sharing saves next to nothing.
_MIN_INSTANCES = 8
# Time for which changes are repeated for readers that missed an update.
_REPEAT_S = 6.0
# Changes take about 70 bytes each, and an update has to fit into one datagram.
_MAX_CHANGES = 16


class Role(enum.StrEnum):
    """Role of an instance in polling the store.

    Attributes:
        STANDALONE: It polls the store for itself only.
        WATCHER: It polls the store and relays the results to the readers.
        READER: It relies on the watcher's updates.
    """

    STANDALONE = "alone"
    WATCHER = "watcher"
    READER = "reader"


class Verdict(enum.Enum):
    """What an instance has to do with an update.

    Attributes:
        STALE: Ignore it, as it is from an earlier era of the store.
        CURRENT: Nothing, as it contains nothing new.
        APPLY: Apply its changes, which follow the known position directly.
        FETCH: Fetch data, as there is more than the update contains.
    """

    STALE = enum.auto()
    CURRENT = enum.auto()
    APPLY = enum.auto()
    FETCH = enum.auto()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Timing of calls to the store, in seconds.

    Attributes:
        long_poll_s: Maximum duration of a watcher's long poll.
        fallback_after_s: Age of the newest update from which a reader polls the
            store itself.
    """

    long_poll_s: float
    fallback_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CatalogUpdate:
    """The newest configuration in the store.

    Attributes:
        store_s: Time of the observation, on the store's clock.
        version: Version of the configuration.
        position: Position of the response; later changes can be requested from
            there.
        evacuated: Data centres that are evacuated at that time.
        digest: Digest of the configuration as stored; empty if not known.
    """

    store_s: float
    version: int
    position: position_module.Position
    evacuated: frozenset[str] = frozenset()
    digest: bytes = b""
    table: ClassVar[feed.Table] = feed.Table.CATALOG


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServersUpdate:
    """Changes in the list of servers.

    Attributes:
        store_s: Time up to which all changes are included, on the store's
            clock.
        since: Position after which changes are included.
        position: Position up to which they are included.
        changes: The changes, in order.
    """

    store_s: float
    since: position_module.Position
    position: position_module.Position
    changes: tuple[directory.Change, ...] = ()
    table: ClassVar[feed.Table] = feed.Table.SERVERS


Update = CatalogUpdate | ServersUpdate


def timing(bound_s: float) -> Timing:
    """Returns the timing of calls to the store.

    Args:
        bound_s: The tightest bound on the time until a change accepted by the
            store has to be known to all instances.

    Example:
        >>> timing(4.0)
        Timing(long_poll_s=1.0, fallback_after_s=2.2)
    """
    return Timing(
        long_poll_s=_LONG_POLL_FRACTION * bound_s,
        fallback_after_s=_FALLBACK_FRACTION * bound_s,
    )


def role(membership: membership_module.Membership, now: float) -> Role:
    """Returns an instance's role, based on the instances that it knows.

    While the views of instances differ, several may be watchers or all may be
    readers. This costs additional calls and nothing else.
    """
    others = membership.members(membership.own.data_centre, now)
    if len(others) + 1 < _MIN_INSTANCES:
        return Role.STANDALONE
    if membership.leader(now) is None:
        return Role.WATCHER
    return Role.READER


def classify_catalog_update(
    update: CatalogUpdate,
    known: position_module.Position | None,
    version: int | None,
) -> Verdict:
    """Returns what to do with an update of the configuration.

    Args:
        update: The update.
        known: The known position; None if there is none.
        version: Version of the newest configuration that the store is known to
            have in this era; None if it is not known.
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
    """Returns what to do with an update of the servers at a known position."""
    if known is None:
        return Verdict.FETCH
    if update.position.era < known.era:
        return Verdict.STALE
    if update.position <= known:
        return Verdict.CURRENT
    if position_module.follows(known, update.since):
        return Verdict.APPLY
    return Verdict.FETCH


def new_changes(
    update: ServersUpdate, known: position_module.Position
) -> tuple[directory.Change, ...]:
    """Returns the changes of an update to apply at a known position.

    An update repeats changes that may be included in what is known. Applied
    again, they would take entries back to earlier states. So of an entry that
    has changed several times only the latest state is returned, unless all
    changes are new.
    """
    if known == update.since:
        return update.changes
    latest = {change.entry_id: change for change in update.changes}
    return tuple(latest.values())


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    at_s: float
    since: position_module.Position
    changes: tuple[directory.Change, ...]


class ChangeLog:
    """The latest changes in the list of servers, without gaps."""

    def __init__(self):
        self._entries: collections.deque[_Entry] = collections.deque()
        self._position = position_module.Position(era=0, revision=0)
        # Position of the latest change. The store's position also advances
        # without changes to this table.
        self._last_change = self._position

    def reset(self, position: position_module.Position) -> None:
        """Discards all changes and restarts at the position of a snapshot."""
        self._entries.clear()
        self._position = self._last_change = position

    def append(
        self,
        changes: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
    ) -> None:
        """Appends all changes since the known position, up to a later one."""
        if changes:
            since = self._last_change
            self._entries.append(_Entry(at_s=now, since=since, changes=changes))
            self._last_change = position
        self._position = position

    def build_update(self, store_s: float, now: float) -> ServersUpdate:
        """Returns an update for readers.

        Args:
            store_s: Time at which the known position was the newest, on the
                store's clock.
            now: Monotonic seconds.
        """
        entries = self._entries
        while entries and now - entries[0].at_s > _REPEAT_S:
            entries.popleft()
        while sum(len(entry.changes) for entry in entries) > _MAX_CHANGES:
            entries.popleft()
        return ServersUpdate(
            store_s=store_s,
            since=entries[0].since if entries else self._last_change,
            position=self._position,
            changes=tuple(c for entry in entries for c in entry.changes),
        )
