"""Follows configuration and server list in the shared store.

An instance asks the store by itself, or reads what the watcher of its data
centre was told; see ``coordination.shared_watch``.
"""

from __future__ import annotations

import functools

import gevent
import result
from gevent import event

from irisshelf import boottime
from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch
from irisshelf.coordination import table_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway.knowledge import operators_word
from irisshelf.gateway.knowledge import server_list
from irisshelf.gateway.knowledge import store_timing
from irisshelf.gateway.knowledge import store_updates
from irisshelf.store import feed

# Each try costs money, and an instance is to be back soon after the store.
_BACKOFF_S = (0.1, 0.3, 0.6)
# A reader is told by its watcher when the store is back.
_BACKOFF_READER_S = (*_BACKOFF_S, 1.5)
# All instances find the store away at the same moment.
_JITTER = (0.5, 1.5)
_EXPIRE_EVERY_S = 0.2


class Follower:
    """Keeps an instance's configuration and server list up to date.

    Args:
        inst: The instance.
        store: Tables of the shared store.
        updates: Updates between the instances of a data centre; without them
            the store is asked by this instance alone.
    """

    def __init__(
        self,
        *,
        inst: instance_module.Instance,
        store: feed.Feed,
        updates: store_updates.Updates | None = None,
    ):
        self._inst = inst
        self._store = store
        self._updates = updates
        # Set as long as nothing speaks against it.
        self._up = event.Event()
        self._up.set()
        self._lost_s: float | None = None
        self._watches = {t: table_watch.TableWatch() for t in feed.Table}
        self._updated = {table: event.Event() for table in feed.Table}
        self.changes_seen = dict.fromkeys(feed.Table, 0)
        self._operators = operators_word.OperatorsWord(inst=inst)
        self.server_list = server_list.ServerList(inst=inst)
        if updates is not None:
            updates.hand_to(self.take_update)

    def run(self, table: feed.Table) -> None:
        """Follows a table as long as the process lives."""
        failures = 0
        while True:
            if table is not feed.Table.CATALOG:
                self._up.wait()
            self._rest_while_told(table)
            seen = self.changes_seen[table]
            self._updated[table].clear()
            untold = self._is_untold(table)
            if self.step(table):
                failures = 0
                if self.changes_seen[table] != seen:
                    gevent.sleep(self._gather_s(table))
                continue
            reads = self._role() is shared_watch.Role.READER
            backoff_s = _BACKOFF_READER_S if reads else _BACKOFF_S
            pause_s = backoff_s[min(failures, len(backoff_s) - 1)]
            failures += 1
            pause_s *= self._inst.rng.uniform(*_JITTER)
            if untold:
                # The watcher's first word says that the store is back. Without
                # it readers slept up to 2.2 s longer and refused callers.
                self._updated[table].wait(pause_s)
            else:
                gevent.sleep(pause_s)

    def step(self, table: feed.Table) -> bool:
        """Makes one call; returns whether the store answered it."""
        sent_s = boottime.now()
        watch = self._watches[table]
        after = watch.position
        if table is feed.Table.CATALOG and watch.reads_newest_alone(sent_s):
            after = None
        wait_s = self._wait_s(table, sent_s)
        watch.asked()
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
            watch.forgotten()
            return True
        watch.failed()
        self._failed(table, answer.err_value)
        return False

    @functools.singledispatchmethod
    def take_update(self, update: shared_watch.Update) -> None:
        """Takes what the watcher of the data centre was told."""
        raise TypeError(f"update is {update!r}, allowed: {shared_watch.Update}")

    @take_update.register
    def _(self, update: shared_watch.CatalogUpdate) -> None:
        watch = self._watches[feed.Table.CATALOG]
        verdict = shared_watch.judge_catalog(
            update, watch.position, self._operators.stored_version
        )
        as_of_s = self._note_update(feed.Table.CATALOG, update, verdict)
        if verdict is not shared_watch.Verdict.STALE:
            self._operators.hear(update, boottime.now())
        if verdict is not shared_watch.Verdict.CURRENT:
            return
        if not self._operators.store_is_behind:
            self._inst.freshness.vouched(as_of_s)
        watch.follows_to(update.position)
        if self._lost_s is not None and as_of_s > self._lost_s:
            self._regained(boottime.now())

    @take_update.register
    def _(self, update: shared_watch.ServersUpdate) -> None:
        watch = self._watches[feed.Table.SERVERS]
        verdict = shared_watch.judge_servers(update, watch.position)
        self._note_update(feed.Table.SERVERS, update, verdict)
        if verdict is shared_watch.Verdict.APPLY:
            now = boottime.now()
            self.server_list.change(update.changes, update.position, now)
            watch.follows_to(update.position)

    def _note_update(
        self,
        table: feed.Table,
        update: shared_watch.Update,
        verdict: shared_watch.Verdict,
    ) -> float:
        """Notes an update; returns its moment in monotonic seconds."""
        now = boottime.now()
        as_of_s = self._inst.freshness.time_of(
            update.store_s, now, update.position.era
        )
        self._watches[table].updated(as_of_s, update.position, verdict)
        self._updated[table].set()
        self._inst.metrics.store_updates.labels(verdict.name.lower()).inc()
        return as_of_s

    def _role(self) -> shared_watch.Role:
        shares = self._updates is not None
        if not (shares and self._inst.cfg.policy.shared_watch):
            return shared_watch.Role.ALONE
        return self._updates.role()

    def _rest_while_told(self, table: feed.Table) -> None:
        """Returns when the store has to be asked by this instance."""
        watch = self._watches[table]
        updated = self._updated[table]
        while True:
            timing = store_timing.watch_timing(self._inst.cfg.bounds)
            until_s = watch.rests_until_s(self._role(), timing)
            left_s = until_s - boottime.now()
            if left_s <= 0:
                return
            updated.clear()
            updated.wait(left_s)

    def _gather_s(self, table: feed.Table) -> float:
        """Returns how long to wait after changes, in seconds.

        Counted from the moment that the store spoke of: what a long
        configuration took to transfer has been waited for. Of 630 kB, on a link
        of 5 Mbit/s, versions are in force a second earlier so.
        """
        cfg = self._inst.cfg
        if not cfg.policy.gathering:
            return 0.0
        pause_s = store_timing.gather_s(table, cfg.bounds, self._role())
        if table is feed.Table.CATALOG:
            pause_s -= self._inst.freshness.age_s(boottime.now())
        return max(pause_s, 0.0)

    def _wait_s(self, table: feed.Table, now: float) -> float:
        """Returns how long the store may hold the next call."""
        if self._lost_s is not None:
            # After trouble, what the store knows now is wanted at once.
            return 0.0
        bounds = self._inst.cfg.bounds
        return self._watches[table].hold_s(
            self._role(),
            store_timing.watch_timing(bounds),
            alone_s=store_timing.hold_s(table, bounds),
            now=now,
        )

    def expire_lapsed(self) -> None:
        """Drops servers whose lapsed entries have not come back."""
        while True:
            gevent.sleep(_EXPIRE_EVERY_S)
            self._inst.servers.links.expire()
            if not self._up.is_set():
                continue
            now = boottime.now()
            self.server_list.expire(now)
            self._operators.expire(now)

    def _answered(
        self, table: feed.Table, batch: feed.Batch, sent_s: float
    ) -> None:
        now = boottime.now()
        newest = self._watches[table].answered(
            batch.position, now, whole=batch.whole
        )
        if table is feed.Table.CATALOG:
            self._regained(now)
            brought = newest and self._operators.take(batch, now)
            if newest and batch.complete:
                self._vouch(batch, sent_s, now, brought=brought)
        elif newest:
            self.server_list.take(batch, now)
        if not batch.complete:
            # The rest is asked for at once, and nobody is told that this was
            # all: keys would hold by the age of what has not been read.
            return
        self.changes_seen[table] += bool(batch.items)
        if newest and self._role() is shared_watch.Role.WATCHER:
            self._tell(table, batch, now)

    def _vouch(
        self, batch: feed.Batch, sent_s: float, now: float, *, brought: bool
    ) -> None:
        """Notes as of when the configuration in force was the newest."""
        if self._operators.store_is_behind:
            self._inst.log.problem(
                "store_behind",
                stored=self._operators.stored_version,
                in_force=self._inst.catalog.version,
                era=batch.position.era,
            )
            return
        fresh = self._inst.freshness
        era = batch.position.era
        fresh.told(
            sent_s=sent_s, received_s=now, store_s=batch.store_s, era=era
        )
        # One that was known need not be transferred again, so that its transfer
        # is no reason to read the newest alone the next time.
        as_of_s = fresh.time_of(batch.store_s, now, era) if brought else now
        self._watches[feed.Table.CATALOG].caught_up(as_of_s)

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
        if table is feed.Table.SERVERS:
            self._updates.tell(self.server_list.update(batch.store_s, now))
            return
        update = self._operators.update(batch)
        if update is not None:
            self._updates.tell(update)

    def _failed(self, table: feed.Table, failure: feed.Unavailable) -> None:
        if self._lost_s is None:
            self._lost_s = boottime.now()
            self.server_list.store_lost()
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
        if self._is_untold(feed.Table.CATALOG):
            now = boottime.now()
            age_s = self._inst.freshness.age_s(now)
            self._inst.outage_since_s = now - age_s

    def _is_untold(self, table: feed.Table) -> bool:
        """Tells whether this instance reads, and its watcher is silent."""
        timing = store_timing.watch_timing(self._inst.cfg.bounds)
        reads = self._role() is shared_watch.Role.READER
        return reads and self._watches[table].is_silent(timing, boottime.now())

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
        self.server_list.store_back(now)
