"""Simulation of a data centre whose instances share one watch on the store.

It runs the real decision code of its instances in virtual time, with a
simulated store and datagrams, injects faults, and checks bounds and ages.
"""

import heapq
import itertools
import random

from irisshelf.catalog import directory
from irisshelf.catalog import freshness
from irisshelf.catalog import position
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import shared_watch
from irisshelf.coordination import table_watch
from irisshelf.gateway.knowledge import store_timing
from irisshelf.store import feed

_CATALOG, _SERVERS = feed.Table.CATALOG, feed.Table.SERVERS
_Role = shared_watch.Role
_Verdict = shared_watch.Verdict
# Bounds do not apply to an instance with a fault within this time.
_RECOVERY_S = 5.0
_STORE_CLOCK_S = 1000.0
_RESPONSE_TIMEOUT_S = 0.6
_BACKOFF_S = 0.6


def at(revision, *, era=1):
    return position.Position(era=era, revision=revision)


class Store:
    """Store with two tables, of which changes may be lost."""

    def __init__(self, sim):
        self._sim = sim
        self.revision = 1
        self.unavailable_until_s = -_RECOVERY_S
        # Changes up to this revision are no longer available.
        self.history_start = 0
        self.calls = 0
        # Accepted configurations and server changes as (time, revision, value).
        self.versions = [(0.0, 1, 1)]
        self.changes = []
        self.era = 0
        self.restored_s = 0.0
        self._clock_s = _STORE_CLOCK_S
        self._pending = []

    def write(self, table, value):
        """Accepts a configuration, or a server that is added or removed."""
        self.revision += 1
        entry = (self._sim.now, self.revision, value)
        (self.versions if table is _CATALOG else self.changes).append(entry)
        pending, self._pending = self._pending, []
        for call in pending:
            self._respond(*call)

    def restore_from_backup(self, age_s):
        """Loses and returns the writes of the last ``age_s`` seconds."""
        begin_s = self._sim.now - age_s
        lost_versions = [r for r in self.versions[1:] if r[0] > begin_s]
        lost_changes = [r for r in self.changes if r[0] > begin_s]
        self.versions = [r for r in self.versions if r not in lost_versions]
        self.changes = [r for r in self.changes if r not in lost_changes]
        kept = self.versions + self.changes
        self.revision = max(revision for _, revision, _ in kept)
        self.history_start = min(self.history_start, self.revision)
        self.era += 1
        self.restored_s = self._sim.now
        self._clock_s = self._sim.rng.uniform(0.0, 5000.0)
        pending, self._pending = self._pending, []
        for call in pending:
            self._respond(*call)
        return lost_versions, lost_changes

    def poll(self, node, table, after, until_s, reply):
        """Answers a node once there is something after a position."""
        self.calls += 1
        if self._unreachable(node):
            # There is no response; the caller's timeout ends the call.
            return
        self._respond(node, table, after, until_s, reply)

    def _respond(self, node, table, after, until_s, reply):
        if self._unreachable(node):
            return
        if (
            after is not None
            and not self.history_start <= after <= self.revision
        ):
            reply(None)
            return
        rows = self.versions if table is _CATALOG else self.changes
        new_rows = [row for row in rows if after is None or row[1] > after]
        if new_rows or after is None or self._sim.now >= until_s:
            at = position.Position(era=self.era, revision=self.revision)
            reply((new_rows, at, self._sim.now + self._clock_s))
            return
        call = (node, table, after, until_s, reply)
        self._pending.append(call)
        self._sim.at(until_s, lambda: self._end_long_poll(call))

    def _unreachable(self, node):
        now = self._sim.now
        return (
            now < self.unavailable_until_s
            or now < node.store_unreachable_until_s
        )

    def _end_long_poll(self, call):
        if call in self._pending:
            self._pending.remove(call)
            self._respond(*call)


class Node:
    """One incarnation of an instance; makes the follower's decisions."""

    def __init__(self, sim, name):
        self.sim = sim
        self.name = name
        # The steady clock of each machine starts at a different time.
        self._skew_s = sim.rng.uniform(-500, 500)
        self.member = membership_module.Member(
            name=name, address=name, data_centre="a"
        )
        self.membership = membership_module.Membership(own=self.member)
        self.fresh = freshness.Freshness()
        self.watches = {t: table_watch.TableWatch() for t in feed.Table}
        self.log = shared_watch.ChangeLog()
        self.version = None
        self.stored = None
        self.servers = {}
        self.born_s = self.faulty_until_s = sim.now
        self.frozen_until_s = 0.0
        self.alive = True
        self.store_unreachable_until_s = 0.0
        self.isolated_until_s = 0.0
        self._poll_number = dict.fromkeys(feed.Table, 0)
        self._waiting = dict.fromkeys(feed.Table, False)
        self._polling = dict.fromkeys(feed.Table, False)

    @property
    def isolated(self):
        """Whether it is cut off from the other instances."""
        return self.sim.now < self.isolated_until_s

    @property
    def clock_s(self):
        """Time by its own clock."""
        return self.sim.now + self._skew_s

    def later(self, delay_s, action):
        """Runs an action after a delay and any freeze, unless killed."""

        def due():
            if not self.alive:
                return
            if self.sim.now < self.frozen_until_s:
                self.sim.at(self.frozen_until_s, due)
                return
            action()

        self.sim.at(self.sim.now + delay_s, due)

    def role(self):
        """What it does for the watch now."""
        return shared_watch.role(self.membership, self.clock_s)

    def schedule_poll(self, table, number):
        """Polls the store, or waits for as long as updates suffice."""
        if number != self._poll_number[table]:
            return
        watch = self.watches[table]
        until_s = watch.updates_suffice_until_s(self.role(), self.sim.timing)
        self._waiting[table] = until_s > self.clock_s
        if self._waiting[table]:
            # The timer fires up to 1 ms late in the worst case.
            left_s = until_s - self.clock_s + 0.001
            self.later(left_s, lambda: self.schedule_poll(table, number))
            return
        self._start_poll(table)

    def restart_polling(self, table, delay_s=0.0):
        """Drops the current poll of a table and begins another."""
        self._polling[table] = False
        self._poll_number[table] += 1
        number = self._poll_number[table]
        self.later(delay_s, lambda: self.schedule_poll(table, number))

    def _start_poll(self, table):
        watch = self.watches[table]
        long_poll_s = watch.long_poll_s(
            self.role(),
            self.sim.timing,
            standalone_s=store_timing.long_poll_s(table, self.sim.bounds),
            now=self.clock_s,
        )
        watch.record_request()
        self._polling[table] = True
        self._poll_number[table] += 1
        number = self._poll_number[table]
        sent_s = self.clock_s
        after = watch.position
        if table is _CATALOG and watch.should_read_snapshot(sent_s):
            after = None

        def reply(response):
            latency_s = self.sim.latency_s()
            self.later(
                latency_s,
                lambda: self._on_response(
                    table, number, sent_s, after, response
                ),
            )

        def sent():
            until_s = self.sim.now + long_poll_s
            asked = None if after is None else after.revision
            self.sim.store.poll(self, table, asked, until_s, reply)

        self.sim.at(self.sim.now + self.sim.latency_s(), sent)
        self.later(
            long_poll_s + _RESPONSE_TIMEOUT_S, lambda: self._fail(table, number)
        )

    def _fail(self, table, number):
        if number != self._poll_number[table]:
            return
        self.watches[table].record_failure()
        self.restart_polling(table, self.sim.rng.uniform(0.5, 1.5) * _BACKOFF_S)
        if table is _CATALOG and self._polling[_SERVERS]:
            # The other connection is reset too, as it may be dead as well.
            self._fail(_SERVERS, self._poll_number[_SERVERS])

    def _on_response(self, table, number, sent_s, after, response):
        if number != self._poll_number[table]:
            return
        watch = self.watches[table]
        if response is None or (after and after.era != response[1].era):
            watch.record_history_lost()
            self.restart_polling(table)
            return
        new_rows, at, store_s = response
        whole = after is None
        newest = watch.record_response(at, self.clock_s, whole=whole)
        if table is _CATALOG and newest:
            self._apply_versions(new_rows, at, sent_s, store_s, whole)
        elif newest:
            if whole:
                self.servers = {}
                self.log.reset(at)
            self._apply_changes(new_rows, at, logged=not whole)
        if self.role() is _Role.WATCHER and newest:
            self._broadcast(table, at, store_s)
        pause_s = 0.0
        if new_rows:
            pause_s = store_timing.coalesce_s(
                table, self.sim.bounds, self.role()
            )
        self.restart_polling(table, pause_s)

    def _apply_versions(self, new_rows, at, sent_s, store_s, whole):
        before = self.version
        if whole:
            self.stored = None
        if new_rows:
            self.stored = new_rows[-1][2]
            self.version = max(self.version or 0, self.stored)
        if self.behind():
            return
        self.fresh.record_answer(
            sent_s=sent_s,
            received_s=self.clock_s,
            store_s=store_s,
            era=at.era,
        )
        brought = before is not None and self.version > before
        as_of_s = self.fresh.to_local_time(store_s, self.clock_s, at.era)
        self.watches[_CATALOG].record_caught_up(
            as_of_s if brought else self.clock_s
        )

    def behind(self):
        """Returns whether the store lacks the configuration in force."""
        return self.stored is None or self.stored < self.version

    def _apply_changes(self, rows, at, *, logged=True):
        for _, _, (name, there) in rows:
            self.servers[name] = there
        if logged:
            changes = tuple(change(*row[2]) for row in rows)
            self.log.append(changes, at, self.clock_s)

    def _broadcast(self, table, at, store_s):
        update = self.log.build_update(store_s, self.clock_s)
        if table is _CATALOG:
            update = shared_watch.CatalogUpdate(
                store_s=store_s, version=self.stored, position=at
            )
        for other in self.sim.nodes.values():
            if other is not self and not other.isolated and not self.isolated:
                self.sim.send_datagram(other, update)

    def receive(self, update):
        """Handles an update from the watcher."""
        as_of_s = self.fresh.to_local_time(
            update.store_s, self.clock_s, update.position.era
        )
        if isinstance(update, shared_watch.CatalogUpdate):
            table = _CATALOG
            watch = self.watches[table]
            verdict = shared_watch.classify_catalog_update(
                update, watch.position, self.stored
            )
            if verdict is _Verdict.CURRENT:
                if not self.behind():
                    self.fresh.record_confirmed(as_of_s)
                watch.advance_to(update.position)
        else:
            table = _SERVERS
            watch = self.watches[table]
            verdict = shared_watch.classify_servers_update(
                update, watch.position
            )
            if verdict is _Verdict.APPLY:
                for change in update.changes:
                    self.servers[change.entry_id] = change.server is not None
                self.log.append(update.changes, update.position, self.clock_s)
                watch.advance_to(update.position)
        self.watches[table].record_update(as_of_s, update.position, verdict)
        if self._waiting[table]:
            self._waiting[table] = False
            self.restart_polling(table)


def change(name, there):
    server = directory.BackendServer(
        server_id=name, service="s", address="", data_centre="a", slots=1
    )
    return directory.Change(entry_id=name, server=server if there else None)


class Simulation:
    """Simulates a data centre and checks the state of its instances."""

    def __init__(self, *, seed, bounds, count=40, loss=0.01):
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.timing = store_timing.watch_timing(bounds)
        self.now = 0.0
        self.store = Store(self)
        self._loss = loss
        self._events = []
        self._order = itertools.count()
        self._servers = itertools.count(1)
        self.nodes = {}
        for number in range(count):
            self.start(f"n{number}")
        self._exchange_membership()

    def at(self, when_s, action):
        """Schedules an action."""
        heapq.heappush(self._events, (when_s, next(self._order), action))

    def latency_s(self):
        """Draws the latency of a message."""
        return self.rng.uniform(0.001, 0.01)

    def run_to(self, end_s):
        """Runs all actions up to a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end_s

    def start(self, name):
        """Starts an instance."""
        node = self.nodes[name] = Node(self, name)
        for table in feed.Table:
            node.restart_polling(table, self.rng.uniform(0, 0.3))

    def send_datagram(self, node, update):
        """Sends an update, which may be lost or arrive twice."""
        copies = self.rng.choices((0, 1, 2), (self._loss, 1, 0.02))[0]
        for _ in range(copies):
            delay_s = 1.5 if self.rng.random() < 0.01 else self.latency_s()
            node.later(delay_s, lambda: node.receive(update))

    def watcher(self):
        """Returns the instance that the others regard as the leader."""
        ranked = membership_module.rank(n.member for n in self.nodes.values())
        return self.nodes[ranked[0].name]

    def _exchange_membership(self):
        """Lets the instances learn of each other, unless frozen or isolated."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                running = self.now >= other.frozen_until_s
                if running and not other.isolated and not node.isolated:
                    node.membership.record_alive(other.member, node.clock_s)
        self._check_ages()
        self.at(self.now + 1.0, self._exchange_membership)

    def configure(self):
        """Writes a configuration, which all have to know in time."""
        version = self.store.versions[-1][2] + 1
        self.store.write(_CATALOG, version)
        bound_s = self.bounds.catalog_in_force_ms / 1000
        self._check_after(bound_s, lambda node: node.version >= version)

    def serve(self):
        """Adds a server, and returns its name."""
        name = f"s{next(self._servers)}"
        self.store.write(_SERVERS, (name, True))
        return name

    def retire(self, name):
        """Removes a server, which all have to know in time."""
        self.store.write(_SERVERS, (name, False))
        bound_s = self.bounds.server_leaving_ms / 1000
        self._check_after(
            bound_s, lambda node: not node.servers.get(name, False)
        )

    def _check_after(self, bound_s, condition):
        """Checks, after a bound, a condition on all instances it applies to."""

        def check():
            late = [n.name for n in self._bound_instances() if not condition(n)]
            assert not late, (self.now, late)

        self.at(self.now + bound_s, check)

    def _bound_instances(self):
        if self.now - self.store.unavailable_until_s <= _RECOVERY_S:
            return []
        return [
            node
            for node in self.nodes.values()
            if self.now - node.faulty_until_s > _RECOVERY_S
        ]

    def _check_ages(self):
        """Checks that no instance underestimates its configuration's age."""
        for node in self.nodes.values():
            known = node.version or 0
            later = [t for t, _, v in self.store.versions if v > known]
            if known and later:
                age_s = node.fresh.age_s(node.clock_s)
                assert age_s >= self.now - later[0] - 1e-6, node.name
            if known > self.store.versions[-1][2]:
                # The store confirms it only after it has been written again.
                age_s = node.fresh.age_s(node.clock_s)
                assert age_s >= self.now - self.store.restored_s - 1e-6, (
                    node.name
                )

    # Faults.

    def inject_fault(self):
        """Injects a drawn fault, often into the watcher."""
        node = self.watcher()
        if self.rng.random() < 0.4:
            node = self.rng.choice(list(self.nodes.values()))
        span_s = self.rng.uniform(0.3, 6.0)
        kinds = (
            "freeze",
            "kill",
            "disconnect",
            "isolate",
            "outage",
            "compact",
            "restore",
        )
        self.inject(self.rng.choice(kinds), node, span_s)

    def inject(self, kind, node, span_s):
        """Injects a fault, such as ``freeze`` or ``kill``, into an instance."""
        getattr(self, f"_{kind}")(node, span_s)

    def _freeze(self, node, span_s):
        node.frozen_until_s = max(node.frozen_until_s, self.now + span_s)
        self._mark_faulty(node, span_s)

    def _kill(self, node, span_s):
        node.alive = False
        del self.nodes[node.name]
        for other in self.nodes.values():
            other.membership.remove(node.name)
        self.at(self.now + span_s, lambda: self.start(node.name))

    def _disconnect(self, node, span_s):
        node.store_unreachable_until_s = max(
            node.store_unreachable_until_s, self.now + span_s
        )
        self._mark_faulty(node, span_s)

    def _isolate(self, node, span_s):
        """Blocks all datagrams to and from a node, but not the store."""
        node.isolated_until_s = max(node.isolated_until_s, self.now + span_s)

    def _outage(self, node, span_s):
        self.store.unavailable_until_s = max(
            self.store.unavailable_until_s, self.now + span_s
        )

    def _compact(self, node, span_s):
        self.store.history_start = self.store.revision

    def _restore(self, node, span_s):
        """Restores the store from a backup after a short outage.

        The lost data is written again, server entries within two seconds.
        """
        outage_s = self.rng.uniform(0.1, 2.0)
        self._outage(node, outage_s)

        def restore():
            lost = self.store.restore_from_backup(span_s)
            for table, rows in zip(feed.Table, lost, strict=True):
                for _, _, value in rows:
                    at_s = self.now + self.rng.uniform(0.0, 1.8)
                    self.at(at_s, lambda t=table, w=value: self._rewrite(t, w))

        self.at(self.now + outage_s, restore)

    def _rewrite(self, table, value):
        if table is _SERVERS or value > self.store.versions[-1][2]:
            self.store.write(table, value)

    def _mark_faulty(self, node, span_s):
        node.faulty_until_s = max(node.faulty_until_s, self.now + span_s)
