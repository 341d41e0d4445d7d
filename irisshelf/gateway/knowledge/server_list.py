"""Applies the store's list of servers to an instance, also across outages."""

from __future__ import annotations

import math
from collections.abc import Iterable

from irisshelf.catalog import directory
from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.store import feed

# Number of changes listed in a log line, beside their total.
_MAX_LOGGED_CHANGES = 40
# Limited because other writers may leave thousands of unreadable entries.
_MAX_LOGGED_PROBLEMS = 5
# Servers write their entries about every second, and the store drops an entry
# after three missed writes. The delay after a restore covers both and a margin.
_REREAD_DELAY_S = 6.0
# Transactions of an entry that has been written and removed.
_TRANSACTIONS_OF_REMOVED = 2


class ServerList:
    """Applies data from the store and from the watcher of the data centre.

    Args:
        inst: The instance to which it is applied.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self._changes = shared_watch.ChangeLog()
        self._store_down = False
        # When this instance regained the store, and since when the store has
        # been available to any instance.
        self._regained_s = -math.inf
        self._recovered_s = -math.inf
        self._position: position_module.Position | None = None
        self._reread_due_s = math.inf

    def on_store_lost(self) -> None:
        """Notes that the store does not answer this instance."""
        self._store_down = True

    @property
    def store_down(self) -> bool:
        """Whether the store has not answered since it was lost."""
        return self._store_down

    def on_store_regained(self, now: float) -> None:
        """Notes that the store answers this instance again."""
        self._store_down = False
        self._regained_s = self._recovered_s = now

    def on_store_available_since(
        self, available_s: float, regained_s: float, now: float
    ) -> None:
        """Notes since when the store has been available to any instance.

        Args:
            available_s: Since when; minus infinity if it was not away at all.
                Entries that are gone have then ended, and none has lapsed.
            regained_s: When this instance regained the store.
            now: Monotonic seconds.
        """
        if self._store_down or self._regained_s != regained_s:
            # Lost again since, or restored from a backup.
            return
        self._recovered_s = min(self._recovered_s, available_s)
        self._inst.directory.start_grace(available_s)
        self.expire(now)

    def apply_batch(self, batch: feed.Batch, now: float) -> None:
        """Applies a response of the store.

        An unreadable entry exists but describes no server: a server that it
        described before is dropped at once, without the grace period that
        vanished entries have after an outage.
        """
        unreadable = [item for item in batch.items if item.problem]
        if unreadable:
            self._log_unreadable(unreadable)
            self._inst.directory.apply(map(_change, unreadable))
        changes = tuple(map(_change, batch.items))
        self._inst.servers.publish_cold(changes)
        if batch.is_snapshot:
            restored = self._restored(batch, now)
            self._replace(changes, batch.position, now, restored)
        else:
            self.apply_changes(changes, batch.position, now)

    def apply_changes(
        self,
        changes: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
    ) -> None:
        """Applies changes that follow the known position."""
        outdated = self._outdated(changes, position, whole=False)
        changes = _without(changes, outdated)
        if self._after_outage(now):
            self._inst.directory.apply_after_outage(
                changes, recovered_s=self._recovery_s(now)
            )
            self._log_lapsed(now)
        else:
            self._inst.directory.apply(changes)
        self._position = position
        self._changes.append(changes, position, now)
        self._update_from_entries(changes, position, whole=False)
        self._inst.server_list_loaded()
        self._log_changes(changes, position, now, whole=False)

    def make_update(
        self, store_s: float, now: float
    ) -> shared_watch.ServersUpdate:
        """Returns the update for readers; see ``ChangeLog.update``."""
        return self._changes.build_update(store_s, now)

    def expire(self, now: float) -> None:
        """Drops servers whose lapsed entries have not been written again.

        Each entry has its own deadline. A deadline for all would be extended if
        the instance lost the store again, or regained it later than its
        watcher, which could exceed the bound on servers that leave.
        """
        dropped = self._inst.directory.expire(now)
        if dropped:
            self._inst.log.instance("lapsed_servers_gone", servers=dropped)
            self._inst.servers.on_list_changed()
        departures = self._inst.eligible.availability.departures
        returned = departures.take_returned(self._inst.list_version.as_of_s)
        if returned:
            self._inst.log.instance("servers_returned", servers=returned)

    def _replace(
        self,
        entries: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
        restored: frozenset[str],
    ) -> None:
        self._inst.servers.list_is_complete = _is_complete(entries, position)
        outdated = self._outdated(entries, position, whole=True)
        entries = _without(entries, outdated) + tuple(
            directory.Change(entry_id=c.entry_id, server=known)
            for c in outdated
            if (known := self._inst.directory.get(c.entry_id)) is not None
        )
        self._position = position
        self._inst.directory.replace(
            [entry.server for entry in entries if entry.server],
            recovered_s=self._recovery_s(now),
            after_outage=self._after_outage(now),
            restored=restored,
        )
        self._log_lapsed(now)
        self._changes.reset(position)
        self._update_from_entries(entries, position, whole=True)
        self._inst.eligible.availability.departures.retain_listed(
            [entry.entry_id for entry in entries]
        )
        self._inst.server_list_loaded()
        self._log_changes(entries, position, now, whole=True)

    def _restored(self, batch: feed.Batch, now: float) -> frozenset[str]:
        """Returns the entries of a new era that may be older than known ones.

        The store reuses revisions in a new era, so that an entry written after
        the restore may have the revision of an older one. So the list is read
        again once all live servers have written their entries and the store
        has dropped the others.
        """
        known = self._position
        if known is None or batch.position.era <= known.era:
            return frozenset()
        # Entries missing in the backup may be written again shortly.
        self._regained_s = self._recovered_s = now
        self._reread_due_s = now + _REREAD_DELAY_S
        return frozenset(
            item.key for item in batch.items if item.revision <= known.revision
        )

    def take_reread_due(self, now: float) -> bool:
        """Returns, once, whether the list of a new era has to be read again."""
        if now < self._reread_due_s:
            return False
        self._reread_due_s = math.inf
        return True

    def _log_unreadable(self, items: list[feed.DecodedRow]) -> None:
        logged = items[:_MAX_LOGGED_PROBLEMS]
        self._inst.log.warning(
            "server_entries_unreadable",
            count=len(items),
            first=[f"{item.key!r}: {item.problem}" for item in logged],
        )

    def _after_outage(self, now: float) -> bool:
        """Whether vanished entries may only have lapsed in an outage."""
        return (
            self._store_down
            or now - self._recovered_s < directory.LAPSE_GRACE_S
        )

    def _recovery_s(self, now: float) -> float:
        """Returns when the store recovered; now if it has not yet."""
        return now if self._store_down else self._recovered_s

    def _outdated(
        self,
        changes: tuple[directory.Change, ...],
        position: position_module.Position,
        *,
        whole: bool,
    ) -> tuple[directory.Change, ...]:
        """Returns the entries that are older than known ones; logs them."""
        outdated = self._inst.directory.outdated(changes)
        if outdated:
            self._inst.metrics.server_entries.labels("outdated").inc(
                len(outdated)
            )
            self._inst.log.warning(
                "server_entries_outdated",
                era=position.era,
                revision=position.revision,
                whole=whole,
                count=len(outdated),
                changes=[
                    _describe(change)
                    for change in outdated[:_MAX_LOGGED_PROBLEMS]
                ],
            )
            self._publish_leaving([change.server for change in outdated])
        return outdated

    def _publish_leaving(
        self, servers: Iterable[directory.BackendServer]
    ) -> None:
        """Publishes which of some servers leave although entries say ready.

        An instance that was cut off or has started since knows the entry only.
        """
        leaving = filter(self._inst.eligible.is_leaving, servers)
        self._inst.servers.publish_leaving(leaving)

    def _update_from_entries(
        self,
        changes: Iterable[directory.Change],
        position: position_module.Position,
        *,
        whole: bool,
    ) -> None:
        """Updates what is known of servers; logs what their entries contradict.

        An entry that lists a server as ready although it has announced that it
        leaves is outdated.
        """
        changes = tuple(changes)
        self._log_versions_unreadable(changes)
        contradicting = self._inst.eligible.update_from_entries(changes)
        if not contradicting:
            return
        self._publish_leaving(contradicting)
        self._inst.metrics.server_entries.labels("contradicting").inc(
            len(contradicting)
        )
        self._inst.log.warning(
            "server_entries_contradicting",
            era=position.era,
            revision=position.revision,
            whole=whole,
            count=len(contradicting),
            changes=[
                f"{_describe_entry(server)}, known by {self._known_by(server)}"
                for server in contradicting[:_MAX_LOGGED_PROBLEMS]
            ],
        )

    def _log_versions_unreadable(
        self, changes: Iterable[directory.Change]
    ) -> None:
        """Logs servers whose streams no other server can go on with."""
        servers = [
            change.server.server_id
            for change in changes
            if change.server is not None and change.server.version is None
        ]
        if servers:
            self._inst.log.warning(
                "server_versions_unreadable",
                count=len(servers),
                first=servers[:_MAX_LOGGED_PROBLEMS],
            )

    def _known_by(self, server: directory.BackendServer) -> str:
        departures = self._inst.eligible.availability.departures
        departure = departures.get(server.server_id)
        known_for_s = self._inst.now() - departure.at_s
        return f"{departure.source.value} for {known_for_s:.3f} s"

    def _log_lapsed(self, now: float) -> None:
        """Logs which entries are kept although the store has none."""
        lapsed = self._inst.directory.lapsed()
        if not lapsed:
            return
        self._inst.metrics.server_entries.labels("lapsed").inc(len(lapsed))
        self._inst.log.instance(
            "server_entries_lapsed",
            count=len(lapsed),
            changes=[
                f"{name} since_s={now - since_s:.3f}"
                for name, since_s in lapsed[:_MAX_LOGGED_PROBLEMS]
            ],
            store_down=self._store_down,
        )

    def _log_changes(
        self,
        changes: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
        *,
        whole: bool,
    ) -> None:
        if not changes:
            return
        logged = changes[:_MAX_LOGGED_CHANGES]
        self._inst.log.instance(
            "servers_changed",
            era=position.era,
            revision=position.revision,
            whole=whole,
            after_outage=self._after_outage(now),
            count=len(changes),
            changes=[_describe(change) for change in logged],
        )


def _change(item: feed.DecodedRow) -> directory.Change:
    return directory.Change(entry_id=item.key, server=item.value)


def _is_complete(
    entries: tuple[directory.Change, ...], position: position_module.Position
) -> bool:
    """Returns whether no entry can have been removed from a whole list.

    An entry that is gone has taken two transactions of the store, one that is
    listed has taken one at least.
    """
    others = position.revision - len(entries)
    return position.era == 0 and others < _TRANSACTIONS_OF_REMOVED


def _without(
    changes: tuple[directory.Change, ...], removed: Iterable[directory.Change]
) -> tuple[directory.Change, ...]:
    """Returns the changes that are not among the removed ones."""
    removed = frozenset(removed)
    return tuple(change for change in changes if change not in removed)


def _describe(change: directory.Change) -> str:
    if change.server is None:
        return f"{change.entry_id} gone"
    return _describe_entry(change.server)


def _describe_entry(server: directory.BackendServer) -> str:
    number = "" if server.sequence is None else f" #{server.sequence}"
    version = f" {server.version}" if server.version else ""
    return (
        f"{server.server_id} {server.state.value} "
        f"{server.address}{version}{number}"
    )
