"""An instance's copies of the store's tables, from all sources.

Data comes as responses of the store, updates of the data centre's watcher and
snapshots from other instances. All of it is applied here, with its age and in
the order of the store's positions.
"""

from __future__ import annotations

import functools
import math

from irisshelf.catalog import position as position_module
from irisshelf.coordination import facts
from irisshelf.coordination import shared_watch
from irisshelf.coordination import table_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.knowledge import operator_state
from irisshelf.gateway.knowledge import server_list
from irisshelf.gateway.knowledge import table_snapshot
from irisshelf.store import feed

_CATALOG = feed.Table.CATALOG
_SERVERS = feed.Table.SERVERS
_Verdict = shared_watch.Verdict
_Source = instance_module.ListSource
# No call lasts longer, including the attempts to read a list by pages.
_POSITIONS_KNOWN_S = 30.0


class Tables:
    """Local copies of both tables of the store.

    Args:
        inst: The instance to which changes are applied.

    Attributes:
        watches: Polling state and known position of each table.
        operators: The configuration and the evacuations.
        servers: The list of servers.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self.watches = {table: table_watch.TableWatch() for table in feed.Table}
        self.operators = operator_state.OperatorState(inst=inst)
        self.servers = server_list.ServerList(inst=inst)
        self._seen = position_module.SeenPositions(known_s=_POSITIONS_KNOWN_S)
        self._as_of: dict[feed.Table, table_snapshot.AsOf] = {}
        self._missing: dict[feed.Table, table_snapshot.MinimumVersion] = {}

    def as_of(self, table: feed.Table) -> table_snapshot.AsOf | None:
        """Returns the known version of a table; None if there is none."""
        return self._as_of.get(table)

    def take_missing(
        self, table: feed.Table
    ) -> table_snapshot.MinimumVersion | None:
        """Returns, once, the version that updates announced without its data.

        Returns:
            None if there is none, or if the table has reached it since.
        """
        missing = self._missing.pop(table, None)
        known = self._as_of.get(table)
        if missing and known and known.position >= missing.position:
            return None
        return missing

    def is_outdated(self, batch: feed.Batch) -> bool:
        """Returns whether the store had a later state when it was asked.

        Incomplete answers name the position up to which they are complete.
        """
        latest = self.latest_position(batch.began_s)
        return batch.complete and latest is not None and batch.position < latest

    def latest_position(self, at_s: float) -> position_module.Position | None:
        """Returns the latest position of the store known at a time, if any."""
        return self._seen.latest_at(at_s)

    def accept_outdated(self) -> None:
        """Accepts that the store has an older state than it once had."""
        self._seen.reset()
        self.operators.forget_stored()

    def apply_answer(
        self, table: feed.Table, batch: feed.Batch, sent_s: float, now: float
    ) -> bool:
        """Applies a response of the store.

        Args:
            table: The table that was requested.
            batch: The response.
            sent_s: When the request was sent, in monotonic seconds.
            now: Monotonic seconds.

        Returns:
            Whether the response is the latest known state.
        """
        newest = self.watches[table].record_response(
            batch.position, now, whole=batch.is_snapshot
        )
        if not newest:
            return False
        if table is _SERVERS:
            self.servers.apply_batch(batch, now)
        else:
            replaced = self.operators.apply_batch(batch, now)
            if batch.complete:
                self._confirm(batch, sent_s, now, replaced=replaced)
        if batch.complete:
            self._record_version(
                table,
                batch.position,
                batch.store_s,
                now,
                _Source.STORE,
                called_s=batch.began_s,
            )
        return True

    def apply_snapshot(
        self,
        table: feed.Table,
        snapshot: table_snapshot.RelayedSnapshot,
        now: float,
    ) -> bool:
        """Applies a snapshot from another instance.

        Returns:
            Whether the snapshot is newer than the local copy.
        """
        batch = snapshot.batch
        freshness = self._inst.freshness
        era = batch.position.era
        freshness.record_peer_estimate(
            sent_s=snapshot.sent_s, clock_s=snapshot.clock_s, era=era
        )
        as_of_s = freshness.to_local_time(batch.store_s, now, era)
        if not self.watches[table].record_relayed_table(
            batch.position, as_of_s
        ):
            return False
        if table is _SERVERS:
            self.servers.apply_batch(batch, now)
            for key in snapshot.leaving:
                self._inst.servers.apply_fact(facts.ServerLeaving(server=key))
        else:
            self.operators.apply_batch(batch, now)
            if not self.operators.store_is_behind:
                freshness.record_confirmed(as_of_s)
                self.watches[_CATALOG].record_caught_up(as_of_s)
        self._record_version(
            table, batch.position, batch.store_s, now, _Source.RELAY
        )
        return True

    @functools.singledispatchmethod
    def apply_update(
        self, update: shared_watch.Update, as_of_s: float, now: float
    ) -> shared_watch.Verdict:
        """Applies an update of the watcher.

        Args:
            update: The update.
            as_of_s: When it was current, in monotonic seconds.
            now: Monotonic seconds.
        """
        raise TypeError(f"update is {update!r}, allowed: {shared_watch.Update}")

    @apply_update.register
    def _(
        self, update: shared_watch.CatalogUpdate, as_of_s: float, now: float
    ) -> shared_watch.Verdict:
        watch = self.watches[_CATALOG]
        verdict = shared_watch.classify_catalog_update(
            update, watch.position, self.operators.stored_version
        )
        watch.record_update(as_of_s, update.position, verdict)
        if verdict is not _Verdict.STALE:
            self.operators.apply_update(update, now)
        if verdict is _Verdict.FETCH:
            self._missing[_CATALOG] = table_snapshot.MinimumVersion(
                position=update.position,
                version=update.version,
                digest=update.digest,
            )
        if verdict is _Verdict.CURRENT:
            if not self.operators.store_is_behind:
                self._inst.freshness.record_confirmed(as_of_s)
            watch.advance_to(update.position)
            self._record_version(
                _CATALOG, update.position, update.store_s, now, _Source.WATCHER
            )
        return verdict

    @apply_update.register
    def _(
        self, update: shared_watch.ServersUpdate, as_of_s: float, now: float
    ) -> shared_watch.Verdict:
        watch = self.watches[_SERVERS]
        verdict = shared_watch.classify_servers_update(update, watch.position)
        watch.record_update(as_of_s, update.position, verdict)
        if verdict is _Verdict.FETCH:
            self._missing[_SERVERS] = table_snapshot.MinimumVersion(
                position=update.position
            )
        if verdict is _Verdict.APPLY:
            changes = shared_watch.new_changes(update, watch.position)
            self.servers.apply_changes(changes, update.position, now)
            watch.advance_to(update.position)
        if verdict in (_Verdict.APPLY, _Verdict.CURRENT):
            self._record_version(
                _SERVERS, update.position, update.store_s, now, _Source.WATCHER
            )
        return verdict

    def make_update(
        self, table: feed.Table, batch: feed.Batch, now: float
    ) -> shared_watch.Update | None:
        """Returns the update to send to readers after a response, if any."""
        if table is _SERVERS:
            return self.servers.make_update(batch.store_s, now)
        return self.operators.make_update(batch)

    def expire(self, now: float) -> None:
        """Drops evacuations that have not been written again."""
        if self.servers.take_reread_due(now):
            self.watches[_SERVERS].record_history_lost()
        self.operators.expire(now)

    def _confirm(
        self, batch: feed.Batch, sent_s: float, now: float, *, replaced: bool
    ) -> None:
        """Records when the configuration in force was the latest."""
        era = batch.position.era
        if self.operators.store_is_behind:
            self._inst.log.warning(
                "store_behind",
                stored=self.operators.stored_version,
                in_force=self._inst.catalog.version,
                era=era,
            )
            return
        freshness = self._inst.freshness
        freshness.record_answer(
            sent_s=sent_s, received_s=now, store_s=batch.store_s, era=era
        )
        # The transfer time of a new configuration counts as lag, which may make
        # the next poll read the latest version instead of all changes. One that
        # was already known need not be transferred, so its time does not count.
        as_of_s = (
            freshness.to_local_time(batch.store_s, now, era)
            if replaced
            else now
        )
        self.watches[_CATALOG].record_caught_up(as_of_s)

    def _record_version(
        self,
        table: feed.Table,
        position: position_module.Position,
        store_s: float,
        now: float,
        source: instance_module.ListSource,
        *,
        called_s: float = -math.inf,
    ) -> None:
        """Records the version that a table has now.

        Args:
            table: The table.
            position: Its position.
            store_s: When it was the latest, on the store's clock.
            now: Monotonic seconds.
            source: Where it came from.
            called_s: When the store was called that answered with it. The
                store's clock may not be known yet.
        """
        self._seen.record(position, now)
        known = self._as_of.get(table)
        if known is not None and known.position > position:
            return
        self._as_of[table] = table_snapshot.AsOf(
            position=position, store_s=store_s
        )
        if table is _SERVERS:
            as_of_s = max(
                called_s,
                self._inst.freshness.to_local_time(store_s, now, position.era),
            )
            self._inst.list_version = instance_module.ListVersion(
                as_of_s=as_of_s, revision=position.revision, source=source
            )
