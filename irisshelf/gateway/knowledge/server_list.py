"""Brings the store's list of servers into force, also through outages."""

from __future__ import annotations

import math

from irisshelf.catalog import directory
from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.store import feed

# A line names so many changes at the most, and counts the others.
_MOST_CHANGES_TOLD = 40
# Other writers may leave thousands of entries that name no server.
_MOST_PROBLEMS_TOLD = 5
# Servers write their entries every second or so, and after three times without
# it the store drops an entry; as long after a return from a copy, and a margin.
_REREAD_DELAY_S = 6.0


class ServerList:
    """Takes what the store, or the watcher of the data centre, tells.

    Args:
        inst: The instance whose list it is.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self._changes = shared_watch.ChangeLog()
        self._away = False
        self._back_s = -math.inf
        self._position: position_module.Position | None = None
        self._settles_s = math.inf

    def on_store_lost(self) -> None:
        """Takes that the store does not answer this instance."""
        self._away = True

    def on_store_regained(self, now: float) -> None:
        """Takes that the store is back."""
        self._away = False
        self._back_s = now

    def apply_batch(self, batch: feed.Batch, now: float) -> None:
        """Takes an answer of the store.

        An entry that cannot be read is there, but names no server: one that it
        named before is dropped at once, also after an outage.
        """
        unreadable = [item for item in batch.items if item.problem]
        if unreadable:
            self._log_unreadable(unreadable)
            self._inst.directory.apply(map(_change, unreadable))
        changes = tuple(map(_change, batch.items))
        self._inst.servers.publish_cold(changes)
        if batch.whole:
            copied = self._copied(batch, now)
            self._replace(changes, batch.position, now, copied)
        else:
            self.apply_changes(changes, batch.position, now)

    def apply_changes(
        self,
        changes: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
    ) -> None:
        """Takes what changed since the list known."""
        if self._after_outage(now):
            self._inst.directory.lapse(changes, back_s=self._returned_s(now))
        else:
            self._inst.directory.apply(changes)
        self._position = position
        self._changes.append(changes, position, now)
        self._inst.server_list_loaded()
        self._inst.eligible.update_from_entries(changes)
        self._log_changes(changes, position, now, whole=False)

    def make_update(
        self, store_s: float, now: float
    ) -> shared_watch.ServersUpdate:
        """Returns what readers are told; see ``ChangeLog.update``."""
        return self._changes.build_update(store_s, now)

    def expire(self, now: float) -> None:
        """Drops servers whose lapsed entries have not come back.

        Each by its own time: an instance that loses the store once more for a
        moment, or has it again later than its watcher, does not keep an entry
        for longer, and past the bound on servers that leave.
        """
        gone = self._inst.directory.expire(now)
        if gone:
            self._inst.log.instance("lapsed_servers_gone", servers=gone)
            self._inst.servers.on_list_changed()

    def _replace(
        self,
        entries: tuple[directory.Change, ...],
        position: position_module.Position,
        now: float,
        copied: frozenset[str],
    ) -> None:
        self._position = position
        self._inst.directory.replace(
            [entry.server for entry in entries if entry.server],
            back_s=self._returned_s(now),
            after_outage=self._after_outage(now),
            copied=copied,
        )
        self._changes.reset(position)
        self._inst.server_list_loaded()
        self._inst.eligible.update_from_entries(entries)
        self._log_changes(entries, position, now, whole=True)

    def _copied(self, batch: feed.Batch, now: float) -> frozenset[str]:
        """Returns the entries of a new era that may be older than known ones.

        The revisions of a new era are given out again, so that an entry that
        was written since may seem as old. So the list is read once more when
        all servers have written theirs, and the store has dropped the others.
        """
        known = self._position
        if known is None or batch.position.era <= known.era:
            return frozenset()
        # Entries that the copy lacks may be written again in a moment.
        self._back_s = now
        self._settles_s = now + _REREAD_DELAY_S
        return frozenset(
            item.key for item in batch.items if item.revision <= known.revision
        )

    def take_reread_due(self, now: float) -> bool:
        """Tells, once, that the list of a new era has to be read again."""
        if now < self._settles_s:
            return False
        self._settles_s = math.inf
        return True

    def _log_unreadable(self, items: list[feed.Item]) -> None:
        told = items[:_MOST_PROBLEMS_TOLD]
        self._inst.log.problem(
            "server_entries_unreadable",
            count=len(items),
            first=[f"{item.key!r}: {item.problem}" for item in told],
        )

    def _after_outage(self, now: float) -> bool:
        """Whether entries that vanish may only have lapsed."""
        return self._away or now - self._back_s < directory.LAPSE_GRACE_S

    def _returned_s(self, now: float) -> float:
        """Returns when the store came back; now if that is not known yet."""
        return now if self._away else self._back_s

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
        told = changes[:_MOST_CHANGES_TOLD]
        self._inst.log.instance(
            "servers_changed",
            era=position.era,
            revision=position.revision,
            whole=whole,
            after_outage=self._after_outage(now),
            count=len(changes),
            changes=[_text(change) for change in told],
        )


def _change(item: feed.Item) -> directory.Change:
    return directory.Change(entry_id=item.key, server=item.value)


def _text(change: directory.Change) -> str:
    if change.server is None:
        return f"{change.entry_id} gone"
    server = change.server
    return f"{server.server_id} {server.state.value} {server.address}"
