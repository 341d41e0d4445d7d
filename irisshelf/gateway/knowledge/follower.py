"""Follows configuration and server list in the shared store.

An instance asks the store by itself, or reads what the watcher of its data
centre was told; see ``coordination.shared_watch``.
"""

from __future__ import annotations

import gevent
import result
from gevent import event

from irisshelf import boottime
from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import store_timing
from irisshelf.gateway.knowledge import store_updates
from irisshelf.gateway.knowledge import table_relay
from irisshelf.gateway.knowledge import tables as tables_module
from irisshelf.store import feed

# Each try costs money, and an instance is to be back soon after the store.
_BACKOFF_S = (0.1, 0.3, 0.6)
# A reader is told by its watcher when the store is back.
_BACKOFF_READER_S = (*_BACKOFF_S, 1.5)
# All instances find the store away at the same moment.
_JITTER = (0.5, 1.5)
_EXPIRE_EVERY_S = 0.2
# Instances that start together answer each other after some tenths of a second.
_FIRST_ANSWER_S = 0.6
_FIRST_ANSWER_STEP_S = 0.02


class Follower:
    """Keeps an instance's configuration and server list up to date.

    Args:
        inst: The instance.
        store: Tables of the shared store.
        updates: Updates between the instances of a data centre; without them
            the store is asked by this instance alone.
        peers: Hand tables on; without them all come from the store.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        store: feed.Feed,
        updates: store_updates.StoreUpdates | None = None,
        peers: peer_discovery.PeerDiscovery | None = None,
    ):
        self._inst = inst
        self._store = store
        self._updates = updates
        # Set as long as nothing speaks against it.
        self._up = event.Event()
        self._up.set()
        self._lost_s: float | None = None
        self._updated = {table: event.Event() for table in feed.Table}
        self.change_counts = dict.fromkeys(feed.Table, 0)
        self.tables = tables_module.Tables(inst=inst)
        self._relay: table_relay.TableRelay | None = None
        if updates is not None:
            updates.subscribe(self.apply_update)
        if peers is not None:
            self._relay = table_relay.TableRelay(
                inst=inst,
                peers=peers,
                operators=self.tables.operators,
                as_of=self.tables.as_of,
                decode=store.decode,
            )

    def run(self, table: feed.Table) -> None:
        """Follows a table as long as the process lives."""
        self._await_peers()
        failures = 0
        while True:
            if table is not feed.Table.CATALOG:
                self._up.wait()
            self._wait_until_due(table)
            seen = self.change_counts[table]
            self._updated[table].clear()
            watcher_silent = self._watcher_is_silent(table)
            if self.poll_once(table):
                failures = 0
                if self.change_counts[table] != seen:
                    gevent.sleep(self._gather_s(table))
                continue
            reads = self._role() is shared_watch.Role.READER
            backoff_s = _BACKOFF_READER_S if reads else _BACKOFF_S
            pause_s = backoff_s[min(failures, len(backoff_s) - 1)]
            failures += 1
            pause_s *= self._inst.rng.uniform(*_JITTER)
            if watcher_silent:
                # The watcher's first update says that the store is back; who
                # sleeps on refuses callers.
                self._updated[table].wait(pause_s)
            else:
                gevent.sleep(pause_s)

    def _await_peers(self) -> None:
        """Waits until it shows whether there are many instances.

        Where there are, they relay what all would read from the store at
        once. The first answer tells; who gets none asks the store.
        """
        if self._relay is None or not self._inst.cfg.seeds:
            return
        until_s = boottime.now() + _FIRST_ANSWER_S
        while boottime.now() < until_s and not self._updates.has_peers():
            gevent.sleep(_FIRST_ANSWER_STEP_S)

    def poll_once(self, table: feed.Table) -> bool:
        """Makes one call; returns whether it was answered."""
        if self._take_relayed(table):
            return True
        sent_s = boottime.now()
        watch = self.tables.watches[table]
        after = watch.position
        if table is feed.Table.CATALOG and watch.should_read_snapshot(sent_s):
            after = None
        wait_s = self._wait_s(table, sent_s)
        watch.record_request()
        if after is None:
            answer = self._store.whole(table)
        else:
            answer = self._store.changes(table, after=after, wait_s=wait_s)
        ended = "ok" if answer.is_ok() else "failed"
        self._inst.metrics.store_calls.labels(table.value, ended).inc()
        if isinstance(answer, result.Ok):
            if table is feed.Table.CATALOG:
                self._log_catalog_answer(after, answer.ok_value, sent_s)
            self._answered(table, answer.ok_value, sent_s)
            return True
        if isinstance(answer.err_value, feed.HistoryLost):
            self._inst.log.problem(
                "store_history_lost", table=table.value, after=str(after)
            )
            watch.record_history_lost()
            return True
        watch.record_failure()
        self._failed(table, answer.err_value)
        return False

    def apply_update(self, update: shared_watch.Update) -> None:
        """Takes what the watcher of the data centre was told."""
        now = boottime.now()
        as_of_s = self._inst.freshness.time_of(
            update.store_s, now, update.position.era
        )
        verdict = self.tables.apply_update(update, as_of_s, now)
        table = update.table
        self._updated[table].set()
        self._inst.metrics.store_updates.labels(verdict.name.lower()).inc()
        self._wake_askers()
        confirmed = (
            table is feed.Table.CATALOG
            and verdict is shared_watch.Verdict.CURRENT
        )
        if confirmed and self._lost_s is not None and as_of_s > self._lost_s:
            self._regained(now)

    def _wake_askers(self) -> None:
        """Lets those know who wait for this instance to hand something on."""
        if self._relay is not None:
            self._relay.notify_changed()

    def _take_relayed(self, table: feed.Table) -> bool:
        """Takes a whole table from another instance, if one has it.

        Asked for is what the watcher has told of, and what an instance lacks
        that has just begun. A whole list of servers, packed, is shorter than a
        data centre's changes as the store tells them.
        """
        wanted = self.tables.take_missing(table)
        reads = self._role() is shared_watch.Role.READER
        if self._relay is None or not reads:
            return False
        watch = self.tables.watches[table]
        starting = self.tables.as_of(table) is None
        if not starting and wanted is None:
            return False
        within_s = store_timing.relay_timeout_s(
            self._inst.cfg.bounds, starting=starting
        )
        watch.record_request()
        relayed = self._relay.fetch(table, wanted, within_s=within_s)
        if relayed is None:
            watch.record_failure()
            return False
        taken = self.tables.apply_snapshot(table, relayed, boottime.now())
        self._wake_askers()
        return taken

    def _role(self) -> shared_watch.Role:
        shares = self._updates is not None
        if not (shares and self._inst.cfg.policy.shared_watch):
            return shared_watch.Role.STANDALONE
        return self._updates.role()

    def _wait_until_due(self, table: feed.Table) -> None:
        """Returns when the store has to be asked by this instance."""
        watch = self.tables.watches[table]
        updated = self._updated[table]
        while True:
            timing = store_timing.watch_timing(self._inst.cfg.bounds)
            until_s = watch.updates_suffice_until_s(self._role(), timing)
            left_s = until_s - boottime.now()
            if left_s <= 0:
                return
            updated.clear()
            updated.wait(left_s)

    def _gather_s(self, table: feed.Table) -> float:
        """Returns how long to wait after changes, in seconds.

        Counted from the moment that the store spoke of: what a long
        configuration took to transfer has been waited for.
        """
        cfg = self._inst.cfg
        if not cfg.policy.gathering:
            return 0.0
        pause_s = store_timing.coalesce_s(table, cfg.bounds, self._role())
        if table is feed.Table.CATALOG:
            pause_s -= self._inst.freshness.age_s(boottime.now())
        return max(pause_s, 0.0)

    def _wait_s(self, table: feed.Table, now: float) -> float:
        """Returns how long the store may hold the next call."""
        if self._lost_s is not None:
            # After trouble, what the store knows now is wanted at once.
            return 0.0
        bounds = self._inst.cfg.bounds
        return self.tables.watches[table].long_poll_s(
            self._role(),
            store_timing.watch_timing(bounds),
            standalone_s=store_timing.long_poll_s(table, bounds),
            now=now,
        )

    def expire_lapsed(self) -> None:
        """Drops servers whose lapsed entries have not come back."""
        while True:
            gevent.sleep(_EXPIRE_EVERY_S)
            self._inst.servers.connection_pool.close_expired()
            if not self._up.is_set():
                continue
            now = boottime.now()
            self.tables.expire(now)

    def _answered(
        self, table: feed.Table, batch: feed.Batch, sent_s: float
    ) -> None:
        now = boottime.now()
        if table is feed.Table.CATALOG:
            self._regained(now)
        before = self._inst.catalog
        newest = self.tables.apply_answer(table, batch, sent_s, now)
        self._wake_askers()
        if not batch.complete:
            # The rest is asked for at once, and nobody is told that this was
            # all: keys would hold by the age of what has not been read.
            return
        # A configuration that was in force may come again; it is no change that
        # others may follow.
        again = batch.whole and table is feed.Table.CATALOG
        if batch.items and not (again and self._inst.catalog is before):
            self.change_counts[table] += 1
        if newest and self._role() is shared_watch.Role.WATCHER:
            self._tell(table, batch, now)

    def _log_catalog_answer(
        self,
        after: position_module.Position | None,
        batch: feed.Batch,
        sent_s: float,
    ) -> None:
        """Logs what a new configuration took to get here."""
        if not batch.items:
            return
        self._inst.log.instance(
            "catalog_answer",
            after=after.revision if after else None,
            era=batch.position.era,
            revision=batch.position.revision,
            versions=len(batch.items),
            complete=batch.complete,
            size_bytes=batch.size_bytes,
            transfer_s=round(batch.transfer_s, 4),
            call_s=round(boottime.now() - sent_s, 4),
            as_of_store_s=round(batch.store_s, 3),
        )

    def _tell(self, table: feed.Table, batch: feed.Batch, now: float) -> None:
        """Tells the readers what the store has just answered."""
        update = self.tables.make_update(table, batch, now)
        if update is not None:
            self._updates.broadcast(update)

    def _failed(self, table: feed.Table, failure: feed.Unavailable) -> None:
        if self._lost_s is None:
            self._lost_s = boottime.now()
            self.tables.servers.on_store_lost()
            self._inst.metrics.store_up.set(0)
            self._inst.log.problem(
                "store_lost", table=table.value, detail=failure.detail
            )
        if table is not feed.Table.CATALOG:
            return
        self._note_outage()
        if self._up.is_set():
            self._up.clear()
            # What the other call hears may be as dead.
            self._store.reset(feed.Table.SERVERS)

    def _note_outage(self) -> None:
        """Notes that neither this instance nor its watcher has the store."""
        if self._watcher_is_silent(feed.Table.CATALOG):
            now = boottime.now()
            age_s = self._inst.freshness.age_s(now)
            self._inst.outage_since_s = now - age_s

    def _watcher_is_silent(self, table: feed.Table) -> bool:
        """Tells whether this instance reads, and its watcher is silent."""
        timing = store_timing.watch_timing(self._inst.cfg.bounds)
        reads = self._role() is shared_watch.Role.READER
        return reads and self.tables.watches[table].updates_overdue(
            timing, boottime.now()
        )

    def _regained(self, now: float) -> None:
        self._up.set()
        self._inst.outage_since_s = None
        self._inst.metrics.store_up.set(1)
        if self._lost_s is None:
            return
        self._inst.log.instance(
            "store_regained", lost_for_s=round(now - self._lost_s, 3)
        )
        self._lost_s = None
        self.tables.servers.on_store_regained(now)
