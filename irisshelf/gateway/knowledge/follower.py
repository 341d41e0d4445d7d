"""Follows the configuration and the server list in the shared store.

An instance polls the store itself, or applies updates from the watcher of its
data centre; see ``coordination.shared_watch``.
"""

from __future__ import annotations

import dataclasses
import math

import gevent
import result
from gevent import event

from irisshelf import boottime
from irisshelf.catalog import position as position_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import outage_check
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import store_timing
from irisshelf.gateway.knowledge import store_updates
from irisshelf.gateway.knowledge import table_relay
from irisshelf.gateway.knowledge import tables as tables_module
from irisshelf.store import feed

# A compromise: the store bills each request, and an instance should recover
# soon after the store does.
_BACKOFF_S = (0.1, 0.3, 0.6)
# Readers may back off for longer: their watcher notifies them of the recovery.
_BACKOFF_READER_S = (*_BACKOFF_S, 1.5)
# Spreads retries, as all instances see the store fail at the same moment.
_JITTER = (0.5, 1.5)
_EXPIRE_INTERVAL_S = 0.2
# Instances that start together discover each other within some tenths of a
# second.
_PEERS_TIMEOUT_S = 0.6
_PEERS_POLL_INTERVAL_S = 0.02
# Of a list that other instances know to be outdated: how many are asked for
# theirs, for how long, and how often.
_REFRESH_ASKED = 4
_REFRESH_TIMEOUT_S = 0.2
_REFRESH_INTERVAL_S = 0.5


class Follower:
    """Keeps an instance's configuration and server list up to date.

    Args:
        inst: The instance.
        store: Client of the shared store.
        updates: Updates between the instances of a data centre; without them
            this instance always polls the store itself.
        peers: Other instances, which relay snapshots; without them all data
            comes from the store.

    Attributes:
        tables: The local copies of the store's tables.
        change_counts: How many responses with changes were applied, per table.
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
        # Cleared by a failed request for the configuration, until the store is
        # known to have recovered.
        self._up = event.Event()
        self._up.set()
        self._lost_s: float | None = None
        self._updated = {table: event.Event() for table in feed.Table}
        # Of the last response with a configuration.
        self._transfer_s = 0.0
        self.change_counts = dict.fromkeys(feed.Table, 0)
        self.tables = tables_module.Tables(inst=inst)
        self._outages = outage_check.OutageCheck(
            inst=inst, listed=self.tables.servers, peers=peers
        )
        self._peers = peers
        self._relay: table_relay.TableRelay | None = None
        self._refresh: gevent.Greenlet | None = None
        self._refreshed_s = -math.inf
        inst.refresh_servers = self.refresh_servers
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
        """Follows a table until the greenlet is killed."""
        self._await_peers()
        failures = 0
        while True:
            if table is not feed.Table.CATALOG:
                self._up.wait(store_timing.list_wait_s(self._inst.cfg.bounds))
            self._wait_until_due(table)
            seen = self.change_counts[table]
            self._updated[table].clear()
            watcher_silent = self._watcher_is_silent(table)
            if self.poll_once(table):
                failures = 0
                if self.change_counts[table] != seen:
                    gevent.sleep(self._coalesce_s(table))
                continue
            is_reader = self._role() is shared_watch.Role.READER
            backoff_s = _BACKOFF_READER_S if is_reader else _BACKOFF_S
            delay_s = backoff_s[min(failures, len(backoff_s) - 1)]
            failures += 1
            delay_s *= self._inst.rng.uniform(*_JITTER)
            if watcher_silent:
                # The watcher's first update shows that the store is back;
                # until it is applied this instance rejects requests.
                self._updated[table].wait(delay_s)
            else:
                gevent.sleep(delay_s)

    def _await_peers(self) -> None:
        """Waits until another instance is known, or a timeout.

        With many instances, they relay the snapshots that all would otherwise
        read from the store at once. Without any, the store is read.
        """
        if self._relay is None or not self._inst.cfg.seeds:
            return
        deadline_s = boottime.now() + _PEERS_TIMEOUT_S
        while boottime.now() < deadline_s and not self._updates.has_peers():
            gevent.sleep(_PEERS_POLL_INTERVAL_S)

    def poll_once(self, table: feed.Table) -> bool:
        """Polls a table once; returns whether that succeeded."""
        if self._fetch_from_peer(table):
            return True
        sent_s = boottime.now()
        watch = self.tables.watches[table]
        after = watch.position
        if table is feed.Table.CATALOG and watch.should_read_snapshot(sent_s):
            after = None
        wait_s = self._long_poll_s(table, sent_s)
        watch.record_request()
        if after is None:
            response = self._store.snapshot(table)
        else:
            response = self._store.changes(table, after=after, wait_s=wait_s)
        outcome = "ok" if response.is_ok() else "failed"
        self._inst.metrics.store_calls.labels(table.value, outcome).inc()
        if isinstance(response, result.Ok):
            self._outages.record_answer(boottime.now())
            if table is feed.Table.CATALOG:
                self._log_catalog_answer(after, response.ok_value, sent_s)
            if self.tables.is_outdated(response.ok_value):
                return self._handle_outdated(table, response.ok_value, sent_s)
            self._log_current_again(table)
            self._handle_response(table, response.ok_value, sent_s)
            return True
        if isinstance(response.err_value, feed.HistoryLost):
            self._inst.log.warning(
                "store_history_lost", table=table.value, after=str(after)
            )
            return watch.record_history_lost()
        watch.record_failure()
        self._handle_failure(table, response.err_value)
        return False

    def apply_update(self, update: shared_watch.Update) -> None:
        """Applies an update from the watcher of the data centre."""
        now = boottime.now()
        as_of_s = self._inst.freshness.to_local_time(
            update.store_s, now, update.position.era
        )
        self._outages.record_answer(as_of_s)
        verdict = self.tables.apply_update(update, as_of_s, now)
        table = update.table
        self._updated[table].set()
        self._inst.metrics.store_updates.labels(verdict.name.lower()).inc()
        self._notify_relay()
        confirmed = (
            table is feed.Table.CATALOG
            and verdict is shared_watch.Verdict.CURRENT
        )
        if confirmed and self._lost_s is not None and as_of_s > self._lost_s:
            self._handle_recovery(now)

    def _notify_relay(self) -> None:
        """Wakes relay requests that wait for a newer table version."""
        if self._relay is not None:
            self._relay.notify_changed()

    def _fetch_from_peer(self, table: feed.Table) -> bool:
        """Fetches and applies a snapshot from another instance, if possible.

        That is done for versions that the watcher has announced, and for a
        table of which an instance that has just started has no copy. A
        compressed snapshot of the list of servers is shorter than the changes
        of one data centre in the store's format.
        """
        minimum = self.tables.take_missing(table)
        is_reader = self._role() is shared_watch.Role.READER
        if self._relay is None or not is_reader:
            return False
        watch = self.tables.watches[table]
        starting = self.tables.as_of(table) is None
        if not starting and minimum is None:
            return False
        timeout_s = store_timing.relay_timeout_s(
            self._inst.cfg.bounds, starting=starting
        )
        watch.record_request()
        snapshot = self._relay.fetch(table, minimum, timeout_s=timeout_s)
        if snapshot is None:
            watch.record_failure()
            return False
        is_newer = self.tables.apply_snapshot(table, snapshot, boottime.now())
        self._notify_relay()
        return is_newer

    def refresh_servers(self) -> None:
        """Fetches the list of servers from some other instances.

        Called when others know of servers that this instance does not list, as
        its link to the store may be cut. Waits for a fetch in progress.
        """
        if self._relay is None:
            return
        if self._refresh is None or self._refresh.ready():
            since_s = boottime.now() - self._refreshed_s
            if since_s < _REFRESH_INTERVAL_S:
                return
            self._refreshed_s = boottime.now()
            self._refresh = gevent.spawn(self._refresh_servers)
        self._refresh.join()

    def _refresh_servers(self) -> None:
        members = self._peers.members()
        asked = self._inst.rng.sample(
            members, min(_REFRESH_ASKED, len(members))
        )
        snapshots = self._relay.fetch_each(
            feed.Table.SERVERS, asked, timeout_s=_REFRESH_TIMEOUT_S
        )
        for snapshot in snapshots:
            self.tables.apply_snapshot(
                feed.Table.SERVERS, snapshot, boottime.now()
            )
        self._notify_relay()

    def _role(self) -> shared_watch.Role:
        can_share = self._updates is not None
        if not (can_share and self._inst.cfg.policy.shared_watch):
            return shared_watch.Role.STANDALONE
        return self._updates.role()

    def _wait_until_due(self, table: feed.Table) -> None:
        """Waits until this instance has to poll the store itself."""
        watch = self.tables.watches[table]
        updated = self._updated[table]
        while True:
            timing = store_timing.watch_timing(self._inst.cfg.bounds)
            until_s = watch.updates_suffice_until_s(self._role(), timing)
            remaining_s = until_s - boottime.now()
            if remaining_s <= 0:
                return
            updated.clear()
            updated.wait(remaining_s)

    def _coalesce_s(self, table: feed.Table) -> float:
        """Returns how long to coalesce changes before the next poll.

        In seconds, counted from the moment at which the response was current,
        so that the transfer time of a long configuration is part of the wait.
        """
        cfg = self._inst.cfg
        if not cfg.policy.gathering:
            return 0.0
        overloads = cfg.overload.fleet_admission is settings.FleetAdmission.ON
        delay_s = store_timing.coalesce_s(
            table,
            cfg.bounds,
            self._role(),
            transfer_s=self._transfer_s if overloads else 0.0,
        )
        if table is feed.Table.CATALOG:
            delay_s -= self._inst.freshness.age_s(boottime.now())
        return max(delay_s, 0.0)

    def _long_poll_s(self, table: feed.Table, now: float) -> float:
        """Returns the long-poll timeout of the next request, in seconds."""
        if self._lost_s is not None:
            # After an outage the current state is needed at once.
            return 0.0
        bounds = self._inst.cfg.bounds
        return self.tables.watches[table].long_poll_s(
            self._role(),
            store_timing.watch_timing(bounds),
            standalone_s=store_timing.long_poll_s(table, bounds),
            now=now,
        )

    def expire_lapsed(self) -> None:
        """Drops lapsed entries and closes idle connections, periodically."""
        while True:
            gevent.sleep(_EXPIRE_INTERVAL_S)
            self._inst.servers.connection_pool.close_expired()
            now = boottime.now()
            if not self.tables.servers.store_down:
                self.tables.servers.expire(now)
            if self._up.is_set():
                self.tables.expire(now)

    def _handle_response(
        self, table: feed.Table, batch: feed.Batch, sent_s: float
    ) -> None:
        now = boottime.now()
        if table is feed.Table.CATALOG:
            self._handle_recovery(now)
            if batch.items:
                self._transfer_s = batch.transfer_s
        before = self._inst.catalog
        newest = self.tables.apply_answer(table, batch, sent_s, now)
        self._notify_relay()
        if not batch.complete:
            # The rest is requested at once. Readers get no update, which would
            # confirm keys as of a state that has not been read.
            return
        # A snapshot may repeat the configuration in force, which is no change
        # after which to coalesce.
        snapshot = batch.is_snapshot and table is feed.Table.CATALOG
        if batch.items and not (snapshot and self._inst.catalog is before):
            self.change_counts[table] += 1
        if newest and self._role() is shared_watch.Role.WATCHER:
            self._broadcast(table, batch, now)

    def _handle_outdated(
        self, table: feed.Table, batch: feed.Batch, sent_s: float
    ) -> bool:
        """Handles an answer that is older than what the store has had.

        It confirms nothing. Changes lead on, if not to the latest state; a
        whole table takes back what is known, unless nothing is known yet.

        Returns:
            Whether it has been accepted as the store's state nevertheless.
        """
        watch = self.tables.watches[table]
        outcome = "outdated"
        self._inst.metrics.store_calls.labels(table.value, outcome).inc()
        if not watch.outdated_count:
            self._log_outdated(table, batch)
        if watch.record_outdated(boottime.now()):
            self.tables.accept_outdated()
            self._log_current_again(table, accepted=True)
            self._handle_response(table, batch, sent_s)
            return True
        starting = self.tables.as_of(table) is None
        if starting or not batch.is_snapshot:
            part = dataclasses.replace(batch, complete=False)
            self.tables.apply_answer(table, part, sent_s, boottime.now())
        return False

    def _log_outdated(self, table: feed.Table, batch: feed.Batch) -> None:
        self._inst.log.warning(
            "store_answer_outdated",
            table=table.value,
            whole=batch.is_snapshot,
            era=batch.position.era,
            revision=batch.position.revision,
            known=str(self.tables.latest_position(batch.began_s)),
        )

    def _log_current_again(
        self, table: feed.Table, *, accepted: bool = False
    ) -> None:
        count = self.tables.watches[table].take_outdated_count()
        if count:
            self._inst.log.instance(
                "store_answer_current",
                table=table.value,
                outdated=count,
                accepted=accepted,
            )

    def _log_catalog_answer(
        self,
        after: position_module.Position | None,
        batch: feed.Batch,
        sent_s: float,
    ) -> None:
        """Logs the timing and size of a response with a configuration."""
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

    def _broadcast(
        self, table: feed.Table, batch: feed.Batch, now: float
    ) -> None:
        """Broadcasts the store's latest response to the readers."""
        update = self.tables.make_update(table, batch, now)
        if update is not None:
            self._updates.broadcast(update)

    def _handle_failure(
        self, table: feed.Table, failure: feed.Unavailable
    ) -> None:
        self._outages.record_failure()
        if self._lost_s is None:
            self._lost_s = boottime.now()
            self._inst.metrics.store_up.set(0)
            self._inst.log.warning(
                "store_lost", table=table.value, detail=failure.detail
            )
        if table is not feed.Table.CATALOG:
            return
        self._record_outage()
        if self._up.is_set():
            self._up.clear()
            # The long poll of the other table may be on a dead connection too.
            self._store.reset(feed.Table.SERVERS)

    def _record_outage(self) -> None:
        """Records that neither this instance nor its watcher has the store."""
        if self._watcher_is_silent(feed.Table.CATALOG):
            now = boottime.now()
            age_s = self._inst.freshness.age_s(now)
            self._inst.outage_since_s = now - age_s

    def _watcher_is_silent(self, table: feed.Table) -> bool:
        """Whether this instance is a reader and its watcher is silent."""
        timing = store_timing.watch_timing(self._inst.cfg.bounds)
        is_reader = self._role() is shared_watch.Role.READER
        return is_reader and self.tables.watches[table].updates_overdue(
            timing, boottime.now()
        )

    def _handle_recovery(self, now: float) -> None:
        self._up.set()
        self._inst.outage_since_s = None
        self._inst.metrics.store_up.set(1)
        if self._lost_s is None:
            return
        self._inst.log.instance(
            "store_regained", lost_for_s=round(now - self._lost_s, 3)
        )
        self._lost_s = None
