"""What an instance knows of the store's tables, whoever has told it.

The store itself answers, the watcher of the data centre tells updates, and
other instances hand whole tables on. All of it comes into force here, with its
age and in the order of the store's own positions.
"""

from __future__ import annotations

import functools

from irisshelf.catalog import position as position_module
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


class Tables:
    """Both tables of the store.

    Args:
        inst: The instance in which they come into force.

    Attributes:
        watches: When each is asked for, and up to where it is known.
        operators: What the operators have written.
        servers: The list of servers.
    """

    def __init__(self, *, inst: instance_module.Instance):
        self._inst = inst
        self.watches = {table: table_watch.TableWatch() for table in feed.Table}
        self.operators = operator_state.OperatorState(inst=inst)
        self.servers = server_list.ServerList(inst=inst)
        self._as_of: dict[feed.Table, table_snapshot.AsOf] = {}
        self._missing: dict[feed.Table, table_snapshot.MinimumVersion] = {}

    def as_of(self, table: feed.Table) -> table_snapshot.AsOf | None:
        """Returns up to where a table is known; None if it is not."""
        return self._as_of.get(table)

    def take_missing(
        self, table: feed.Table
    ) -> table_snapshot.MinimumVersion | None:
        """Returns, once, what updates have told of that is not here."""
        missing = self._missing.pop(table, None)
        known = self._as_of.get(table)
        if missing and known and known.position >= missing.position:
            return None
        return missing

    def apply_answer(
        self, table: feed.Table, batch: feed.Batch, sent_s: float, now: float
    ) -> bool:
        """Takes an answer of the store.

        Args:
            table: What was asked for.
            batch: The answer.
            sent_s: When the call was sent.
            now: Monotonic seconds.

        Returns:
            Whether it tells the newest state.
        """
        newest = self.watches[table].record_response(
            batch.position, now, whole=batch.whole
        )
        if not newest:
            return False
        if table is _SERVERS:
            self.servers.apply_batch(batch, now)
        else:
            brought = self.operators.apply_batch(batch, now)
            if batch.complete:
                self._confirm(batch, sent_s, now, brought=brought)
        if batch.complete:
            self._known_to(table, batch.position, batch.store_s)
        return True

    def apply_snapshot(
        self,
        table: feed.Table,
        relayed: table_snapshot.RelayedSnapshot,
        now: float,
    ) -> bool:
        """Takes a whole table from another instance.

        Returns:
            Whether it tells more than is known.
        """
        batch = relayed.batch
        fresh = self._inst.freshness
        era = batch.position.era
        fresh.heard_clock(
            sent_s=relayed.sent_s, clock_s=relayed.clock_s, era=era
        )
        as_of_s = fresh.time_of(batch.store_s, now, era)
        if not self.watches[table].record_relayed_table(
            batch.position, as_of_s
        ):
            return False
        if table is _SERVERS:
            self.servers.apply_batch(batch, now)
        else:
            self.operators.apply_batch(batch, now)
            if not self.operators.store_is_behind:
                fresh.confirmed(as_of_s)
                self.watches[_CATALOG].record_caught_up(as_of_s)
        self._known_to(table, batch.position, batch.store_s)
        return True

    @functools.singledispatchmethod
    def apply_update(
        self, update: shared_watch.Update, as_of_s: float, now: float
    ) -> shared_watch.Verdict:
        """Takes an update of the watcher.

        Args:
            update: The update.
            as_of_s: Its moment, monotonic seconds.
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
                self._inst.freshness.confirmed(as_of_s)
            watch.advance_to(update.position)
            self._known_to(_CATALOG, update.position, update.store_s)
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
            self.servers.apply_changes(update.changes, update.position, now)
            watch.advance_to(update.position)
        if verdict in (_Verdict.APPLY, _Verdict.CURRENT):
            self._known_to(_SERVERS, update.position, update.store_s)
        return verdict

    def make_update(
        self, table: feed.Table, batch: feed.Batch, now: float
    ) -> shared_watch.Update | None:
        """Returns what readers are told after an answer; None for nothing."""
        if table is _SERVERS:
            return self.servers.make_update(batch.store_s, now)
        return self.operators.make_update(batch)

    def expire(self, now: float) -> None:
        """Drops what has lapsed and did not come back."""
        self.servers.expire(now)
        if self.servers.take_reread_due(now):
            self.watches[_SERVERS].record_history_lost()
        self.operators.expire(now)

    def _confirm(
        self, batch: feed.Batch, sent_s: float, now: float, *, brought: bool
    ) -> None:
        """Notes as of when the configuration in force was the newest."""
        era = batch.position.era
        if self.operators.store_is_behind:
            self._inst.log.problem(
                "store_behind",
                stored=self.operators.stored_version,
                in_force=self._inst.catalog.version,
                era=era,
            )
            return
        fresh = self._inst.freshness
        fresh.told(
            sent_s=sent_s, received_s=now, store_s=batch.store_s, era=era
        )
        # One that was known need not be transferred again, so that its transfer
        # is no reason to read the newest alone the next time.
        as_of_s = fresh.time_of(batch.store_s, now, era) if brought else now
        self.watches[_CATALOG].record_caught_up(as_of_s)

    def _known_to(
        self,
        table: feed.Table,
        position: position_module.Position,
        store_s: float,
    ) -> None:
        known = self._as_of.get(table)
        if known is None or known.position <= position:
            as_of = table_snapshot.AsOf(position=position, store_s=store_s)
            self._as_of[table] = as_of
