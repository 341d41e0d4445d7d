"""One watch on the store for a data centre: no bound is missed by it.

Instances, the store and the datagrams between them are played in virtual time,
with the real decisions. The pattern: forty instances of a data centre, changes
of configuration and servers at any moment, while instances freeze, are killed
or cut off (the watcher first), datagrams are late, doubled or lost, and the
store is away, has forgotten its history, or comes back from a copy. What an
instance has to know, and when, follows from the bounds in ``settings.Bounds``;
calls are counted.
"""

import heapq
import itertools
import random

import pytest

from irisshelf.catalog import directory
from irisshelf.catalog import freshness
from irisshelf.catalog import position
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import shared_watch
from irisshelf.coordination import table_watch
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import store_timing
from irisshelf.store import feed

_CATALOG, _SERVERS = feed.Table.CATALOG, feed.Table.SERVERS
_Role = shared_watch.Role
_Verdict = shared_watch.Verdict
_LARGE = settings.Bounds(catalog_in_force_ms=4000, server_leaving_ms=4000)
_TIGHT = settings.Bounds(catalog_in_force_ms=2000, server_leaving_ms=2000)
# An instance that had trouble within this time is held to no bound.
_CONTACT_S = 5.0
_STORE_CLOCK_S = 1000.0
_ANSWER_S = 0.6
_BACKOFF_S = 0.6


def _at(revision, *, era=1):
    return position.Position(era=era, revision=revision)


class _Store:
    def __init__(self, play):
        self._play = play
        self.ver = 1
        self.away_until_s = -_CONTACT_S
        self.forgotten = 0
        self.calls = 0
        # Accepted configurations and changes of servers: (time, ver, what).
        self.versions = [(0.0, 1, 1)]
        self.changes = []
        self.era = 0
        self.back_s = 0.0
        self._clock_s = _STORE_CLOCK_S
        self._held = []

    def write(self, table, what):
        self.ver += 1
        entry = (self._play.now, self.ver, what)
        (self.versions if table is _CATALOG else self.changes).append(entry)
        held, self._held = self._held, []
        for call in held:
            self._serve(*call)

    def come_back_from_copy(self, age_s):
        """Loses what it took in the last seconds; returns that."""
        begin_s = self._play.now - age_s
        lost_versions = [r for r in self.versions[1:] if r[0] > begin_s]
        lost_changes = [r for r in self.changes if r[0] > begin_s]
        self.versions = [r for r in self.versions if r not in lost_versions]
        self.changes = [r for r in self.changes if r not in lost_changes]
        kept = self.versions + self.changes
        self.ver = max(ver for _, ver, _ in kept)
        self.forgotten = min(self.forgotten, self.ver)
        self.era += 1
        self.back_s = self._play.now
        self._clock_s = self._play.rng.uniform(0.0, 5000.0)
        held, self._held = self._held, []
        for call in held:
            self._serve(*call)
        return lost_versions, lost_changes

    def ask(self, node, table, after, until_s, reply):
        self.calls += 1
        if self._unreachable(node):
            # Nothing comes; the caller's time limit ends it.
            return
        self._serve(node, table, after, until_s, reply)

    def _serve(self, node, table, after, until_s, reply):
        if self._unreachable(node):
            return
        if after is not None and not self.forgotten <= after <= self.ver:
            reply(None)
            return
        rows = self.versions if table is _CATALOG else self.changes
        news = [row for row in rows if after is None or row[1] > after]
        if news or after is None or self._play.now >= until_s:
            where = position.Position(era=self.era, revision=self.ver)
            reply((news, where, self._play.now + self._clock_s))
            return
        call = (node, table, after, until_s, reply)
        self._held.append(call)
        self._play.at(until_s, lambda: self._end(call))

    def _unreachable(self, node):
        now = self._play.now
        return now < self.away_until_s or now < node.store_cut_until_s

    def _end(self, call):
        if call in self._held:
            self._held.remove(call)
            self._serve(*call)


class _Node:
    """One life of an instance; decides as the follower does."""

    def __init__(self, play, name):
        self.play = play
        self.name = name
        # Each machine's steady clock runs from another moment.
        self._skew_s = play.rng.uniform(-500, 500)
        self.member = membership_module.Member(
            name=name, address=name, data_centre="a"
        )
        self.roster = membership_module.Membership(own=self.member)
        self.fresh = freshness.Freshness()
        self.watches = {t: table_watch.TableWatch() for t in feed.Table}
        self.log = shared_watch.ChangeLog()
        self.version = None
        self.stored = None
        self.servers = {}
        self.born_s = self.troubled_s = play.now
        self.frozen_until_s = 0.0
        self.alive = True
        self.store_cut_until_s = 0.0
        self.deaf_until_s = 0.0
        self._turn = dict.fromkeys(feed.Table, 0)
        self._resting = dict.fromkeys(feed.Table, False)
        self._calling = dict.fromkeys(feed.Table, False)

    @property
    def deaf(self):
        return self.play.now < self.deaf_until_s

    @property
    def clock_s(self):
        return self.play.now + self._skew_s

    def later(self, delay_s, act):
        """Acts after a while, unless killed; not before it wakes."""

        def due():
            if not self.alive:
                return
            if self.play.now < self.frozen_until_s:
                self.play.at(self.frozen_until_s, due)
                return
            act()

        self.play.at(self.play.now + delay_s, due)

    def role(self):
        return shared_watch.role(self.roster, self.clock_s)

    def turn(self, table, number):
        """Asks the store, or rests as long as updates suffice."""
        if number != self._turn[table]:
            return
        watch = self.watches[table]
        until_s = watch.updates_suffice_until_s(self.role(), self.play.timing)
        self._resting[table] = until_s > self.clock_s
        if self._resting[table]:
            # What the timer is late by in the worst case.
            left_s = until_s - self.clock_s + 0.001
            self.later(left_s, lambda: self.turn(table, number))
            return
        self._ask(table)

    def next_turn(self, table, delay_s=0.0):
        self._calling[table] = False
        self._turn[table] += 1
        number = self._turn[table]
        self.later(delay_s, lambda: self.turn(table, number))

    def _ask(self, table):
        watch = self.watches[table]
        hold_s = watch.long_poll_s(
            self.role(),
            self.play.timing,
            standalone_s=store_timing.long_poll_s(table, self.play.bounds),
            now=self.clock_s,
        )
        watch.record_request()
        self._calling[table] = True
        self._turn[table] += 1
        number = self._turn[table]
        sent_s = self.clock_s
        after = watch.position
        if table is _CATALOG and watch.should_read_snapshot(sent_s):
            after = None

        def reply(answer):
            way_s = self.play.way_s()
            self.later(
                way_s,
                lambda: self._answer(table, number, sent_s, after, answer),
            )

        def sent():
            until_s = self.play.now + hold_s
            asked = None if after is None else after.revision
            self.play.store.ask(self, table, asked, until_s, reply)

        self.play.at(self.play.now + self.play.way_s(), sent)
        self.later(hold_s + _ANSWER_S, lambda: self._fail(table, number))

    def _fail(self, table, number):
        if number != self._turn[table]:
            return
        self.watches[table].record_failure()
        self.next_turn(table, self.play.rng.uniform(0.5, 1.5) * _BACKOFF_S)
        if table is _CATALOG and self._calling[_SERVERS]:
            # Its connection is reset, as it may be as dead.
            self._fail(_SERVERS, self._turn[_SERVERS])

    def _answer(self, table, number, sent_s, after, answer):
        if number != self._turn[table]:
            return
        watch = self.watches[table]
        if answer is None or (after and after.era != answer[1].era):
            watch.record_history_lost()
            self.next_turn(table)
            return
        news, where, store_s = answer
        whole = after is None
        newest = watch.record_response(where, self.clock_s, whole=whole)
        if table is _CATALOG and newest:
            self._take_versions(news, where, sent_s, store_s, whole)
        elif newest:
            if whole:
                self.servers = {}
                self.log.reset(where)
            self._change(news, where, logged=not whole)
        if self.role() is _Role.WATCHER and newest:
            self._tell(table, where, store_s)
        pause_s = 0.0
        if news:
            pause_s = store_timing.coalesce_s(
                table, self.play.bounds, self.role()
            )
        self.next_turn(table, pause_s)

    def _take_versions(self, news, where, sent_s, store_s, whole):
        before = self.version
        if whole:
            self.stored = None
        if news:
            self.stored = news[-1][2]
            self.version = max(self.version or 0, self.stored)
        if self.behind():
            return
        self.fresh.told(
            sent_s=sent_s,
            received_s=self.clock_s,
            store_s=store_s,
            era=where.era,
        )
        brought = before is not None and self.version > before
        as_of_s = self.fresh.time_of(store_s, self.clock_s, where.era)
        self.watches[_CATALOG].record_caught_up(
            as_of_s if brought else self.clock_s
        )

    def behind(self):
        """Whether the store lacks the configuration in force."""
        return self.stored is None or self.stored < self.version

    def _change(self, rows, where, *, logged=True):
        for _, _, (name, there) in rows:
            self.servers[name] = there
        if logged:
            changes = tuple(_change(*row[2]) for row in rows)
            self.log.append(changes, where, self.clock_s)

    def _tell(self, table, where, store_s):
        update = self.log.build_update(store_s, self.clock_s)
        if table is _CATALOG:
            update = shared_watch.CatalogUpdate(
                store_s=store_s, version=self.stored, position=where
            )
        for other in self.play.nodes.values():
            if other is not self and not other.deaf and not self.deaf:
                self.play.datagram(other, update)

    def take(self, update):
        as_of_s = self.fresh.time_of(
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
                    self.fresh.confirmed(as_of_s)
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
        if self._resting[table]:
            self._resting[table] = False
            self.next_turn(table)


def _change(name, there):
    server = directory.BackendServer(
        server_id=name, service="s", address="", data_centre="a", slots=1
    )
    return directory.Change(entry_id=name, server=server if there else None)


class _Play:
    """Plays a data centre, and checks what its instances believe."""

    def __init__(self, *, seed, bounds, count=40, loss=0.01):
        self.rng = random.Random(seed)
        self.bounds = bounds
        self.timing = store_timing.watch_timing(bounds)
        self.now = 0.0
        self.store = _Store(self)
        self._loss = loss
        self._events = []
        self._order = itertools.count()
        self._servers = itertools.count(1)
        self.nodes = {}
        for number in range(count):
            self.start(f"n{number}")
        self._beat()

    def at(self, when_s, act):
        heapq.heappush(self._events, (when_s, next(self._order), act))

    def way_s(self):
        return self.rng.uniform(0.001, 0.01)

    def run_to(self, end_s):
        while self._events and self._events[0][0] <= end_s:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end_s

    def start(self, name):
        node = self.nodes[name] = _Node(self, name)
        for table in feed.Table:
            node.next_turn(table, self.rng.uniform(0, 0.3))

    def datagram(self, node, update):
        copies = self.rng.choices((0, 1, 2), (self._loss, 1, 0.02))[0]
        for _ in range(copies):
            late_s = 1.5 if self.rng.random() < 0.01 else self.way_s()
            node.later(late_s, lambda: node.take(update))

    def watcher(self):
        """Returns the instance that the others take for the first."""
        ranked = membership_module.rank(n.member for n in self.nodes.values())
        return self.nodes[ranked[0].name]

    def _beat(self):
        """Instances hear of each other, as long as they can."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                well = self.now >= other.frozen_until_s
                if well and not other.deaf and not node.deaf:
                    node.roster.record_alive(other.member, node.clock_s)
        self._check_ages()
        self.at(self.now + 1.0, self._beat)

    def configure(self):
        version = self.store.versions[-1][2] + 1
        self.store.write(_CATALOG, version)
        bound_s = self.bounds.catalog_in_force_ms / 1000
        self._owed(bound_s, lambda node: node.version >= version)

    def serve(self):
        name = f"s{next(self._servers)}"
        self.store.write(_SERVERS, (name, True))
        return name

    def retire(self, name):
        self.store.write(_SERVERS, (name, False))
        bound_s = self.bounds.server_leaving_ms / 1000
        self._owed(bound_s, lambda node: not node.servers.get(name, False))

    def _owed(self, bound_s, knows):
        """Checks later that all whom the bound holds for know something."""

        def check():
            late = [n.name for n in self._in_touch() if not knows(n)]
            assert not late, (self.now, late)

        self.at(self.now + bound_s, check)

    def _in_touch(self):
        if self.now - self.store.away_until_s <= _CONTACT_S:
            return []
        return [
            node
            for node in self.nodes.values()
            if self.now - node.troubled_s > _CONTACT_S
        ]

    def _check_ages(self):
        """No instance takes its configuration for newer than it is."""
        for node in self.nodes.values():
            known = node.version or 0
            later = [t for t, _, v in self.store.versions if v > known]
            if known and later:
                age_s = node.fresh.age_s(node.clock_s)
                assert age_s >= self.now - later[0] - 1e-6, node.name
            if known > self.store.versions[-1][2]:
                # Nothing confirms it until it is written again.
                age_s = node.fresh.age_s(node.clock_s)
                assert age_s >= self.now - self.store.back_s - 1e-6, node.name

    # Troubles.

    def trouble(self):
        node = self.watcher()
        if self.rng.random() < 0.4:
            node = self.rng.choice(list(self.nodes.values()))
        span_s = self.rng.uniform(0.3, 6.0)
        kinds = ("freeze", "kill", "cut", "deafen", "away", "forget", "copy")
        getattr(self, f"_{self.rng.choice(kinds)}")(node, span_s)

    def _freeze(self, node, span_s):
        node.frozen_until_s = max(node.frozen_until_s, self.now + span_s)
        self._mark(node, span_s)

    def _kill(self, node, span_s):
        node.alive = False
        del self.nodes[node.name]
        for other in self.nodes.values():
            other.roster.remove(node.name)
        self.at(self.now + span_s, lambda: self.start(node.name))

    def _cut(self, node, span_s):
        node.store_cut_until_s = max(node.store_cut_until_s, self.now + span_s)
        self._mark(node, span_s)

    def _deafen(self, node, span_s):
        """No datagram reaches it or comes from it; the store does."""
        node.deaf_until_s = max(node.deaf_until_s, self.now + span_s)

    def _away(self, node, span_s):
        self.store.away_until_s = max(
            self.store.away_until_s, self.now + span_s
        )

    def _forget(self, node, span_s):
        self.store.forgotten = self.store.ver

    def _copy(self, node, span_s):
        """The store is away for a moment and comes back from a copy.

        What it lost is written again: servers' entries within two seconds.
        """
        away_s = self.rng.uniform(0.1, 2.0)
        self._away(node, away_s)

        def back():
            lost = self.store.come_back_from_copy(span_s)
            for table, rows in zip(feed.Table, lost, strict=True):
                for _, _, what in rows:
                    later_s = self.now + self.rng.uniform(0.0, 1.8)
                    self.at(later_s, lambda t=table, w=what: self._again(t, w))

        self.at(self.now + away_s, back)

    def _again(self, table, what):
        if table is _SERVERS or what > self.store.versions[-1][2]:
            self.store.write(table, what)

    def _mark(self, node, span_s):
        node.troubled_s = max(node.troubled_s, self.now + span_s)


@pytest.mark.parametrize("bounds", [_LARGE, _TIGHT], ids=["large", "tight"])
@pytest.mark.parametrize("seed", range(12))
def test_no_bound_is_missed_and_no_age_understated(seed, bounds):
    play = _Play(seed=seed, bounds=bounds)
    play.run_to(8.0)
    servers = [play.serve() for _ in range(5)]
    while play.now < 120.0:
        play.run_to(play.now + play.rng.expovariate(2.0))
        what = play.rng.random()
        if what < 0.3:
            play.configure()
        elif what < 0.6:
            servers.append(play.serve())
        elif what < 0.85:
            play.retire(servers.pop(play.rng.randrange(len(servers))))
            servers.append(play.serve())
        else:
            play.trouble()
    play.run_to(play.now + 15.0)


@pytest.mark.parametrize("kind", ["freeze", "kill", "cut", "deafen"])
@pytest.mark.parametrize("bounds", [_LARGE, _TIGHT], ids=["large", "tight"])
def test_a_change_just_after_the_watcher_is_lost_is_known_in_time(kind, bounds):
    play = _Play(seed=1, bounds=bounds, loss=0.0)
    play.run_to(8.0)
    leaver = play.serve()
    play.run_to(12.0)
    getattr(play, f"_{kind}")(play.watcher(), 9.0)
    play.configure()
    play.retire(leaver)
    play.run_to(40.0)


@pytest.mark.parametrize("bounds", [_LARGE, _TIGHT], ids=["large", "tight"])
def test_readers_hardly_call(bounds):
    """Forty alone make 0.6 calls a second each, 1,440 in a minute."""
    play = _Play(seed=2, bounds=bounds)
    play.run_to(10.0)
    before = play.store.calls
    play.run_to(70.0)
    watchers_own = 2 * 60.0 / play.timing.long_poll_s
    assert play.store.calls - before < 1.3 * watchers_own
    assert watchers_own <= 240


@pytest.mark.parametrize(
    ("others", "role"),
    [(0, _Role.STANDALONE), (6, _Role.STANDALONE), (7, None), (40, None)],
)
def test_few_instances_ask_by_themselves(others, role):
    names = [f"n{number}" for number in range(others + 1)]
    found = []
    for name in names:
        own = membership_module.Member(name=name, address=name, data_centre="a")
        made = membership_module.Membership(own=own)
        for other in names:
            member = membership_module.Member(
                name=other, address=other, data_centre="a"
            )
            made.record_alive(member, 0.0)
        found.append(shared_watch.role(made, 1.0))
    if role is not None:
        assert set(found) == {role}
    else:
        assert sorted(found) == [_Role.READER] * others + [_Role.WATCHER]


@pytest.mark.parametrize(
    ("known", "verdict"),
    [
        (None, _Verdict.FETCH),
        (_at(9), _Verdict.FETCH),
        (_at(10), _Verdict.APPLY),
        (_at(15), _Verdict.APPLY),
        (_at(20), _Verdict.CURRENT),
        (_at(25), _Verdict.CURRENT),
        # An update of era 1, before and after a copy came back.
        (_at(9, era=0), _Verdict.FETCH),
        (_at(15, era=0), _Verdict.FETCH),
        (_at(20, era=0), _Verdict.FETCH),
        (_at(25, era=0), _Verdict.FETCH),
        (_at(9, era=2), _Verdict.STALE),
        (_at(20, era=2), _Verdict.STALE),
        (_at(25, era=2), _Verdict.STALE),
    ],
)
def test_changes_are_applied_only_without_a_gap(known, verdict):
    update = shared_watch.ServersUpdate(
        store_s=1.0, since=_at(10), position=_at(20)
    )
    assert shared_watch.classify_servers_update(update, known) is verdict


@pytest.mark.parametrize(
    ("known", "stored", "verdict"),
    [
        (None, None, _Verdict.FETCH),
        (_at(20), 6, _Verdict.FETCH),
        (_at(20), 7, _Verdict.CURRENT),
        (_at(15), 7, _Verdict.CURRENT),
        (_at(25), 8, _Verdict.CURRENT),
        (_at(20), None, _Verdict.FETCH),
        (_at(20, era=0), 7, _Verdict.FETCH),
        (_at(25, era=0), 8, _Verdict.FETCH),
        (_at(9, era=2), 7, _Verdict.STALE),
        (_at(9, era=2), 6, _Verdict.STALE),
    ],
)
def test_what_an_update_of_the_configuration_is(known, stored, verdict):
    update = shared_watch.CatalogUpdate(
        store_s=1.0, version=7, position=_at(20)
    )
    assert (
        shared_watch.classify_catalog_update(update, known, stored) is verdict
    )


def test_the_log_of_changes_is_bounded_and_says_where_it_begins():
    log = shared_watch.ChangeLog()
    log.reset(_at(5))
    for number in range(30):
        change = _change(f"s{number}", True)
        log.append((change,), _at(6 + number), float(number) / 10)
    update = log.build_update(1.0, 3.0)
    since = _at(35 - len(update.changes))
    assert (update.since, update.position) == (since, _at(35))
    assert 0 < len(update.changes) <= 16
    assert log.build_update(1.0, 60.0).changes == ()
    assert log.build_update(1.0, 60.0).since == _at(35)


def test_a_position_that_moves_on_without_a_change_leaves_no_gap():
    """Each configuration moves it; readers asked the store each time."""
    log = shared_watch.ChangeLog()
    log.reset(_at(5))
    log.append((), _at(9), 0.0)
    assert shared_watch.classify_servers_update(
        log.build_update(1.0, 0.1), _at(5)
    ) is (_Verdict.APPLY)
    log.append((_change("s1", True),), _at(12), 1.0)
    for now in (1.1, 60.0):
        update = log.build_update(1.0, now)
        told = [change.entry_id for change in update.changes]
        known = _at(9) if told else _at(12)
        assert shared_watch.classify_servers_update(update, known) is (
            _Verdict.APPLY if told else _Verdict.CURRENT
        )
        behind = _Verdict.APPLY if told else _Verdict.FETCH
        assert shared_watch.classify_servers_update(update, _at(5)) is behind


def test_a_version_left_out_of_an_answer_is_read_anew():
    watch = table_watch.TableWatch()
    watch.record_response(_at(30), 1.0, whole=True)
    watch.record_update(2.0, _at(29), _Verdict.FETCH)
    assert watch.position is None


@pytest.mark.parametrize("revision", [10, 30, 50])
def test_in_a_new_era_the_whole_table_is_read(revision):
    watch = table_watch.TableWatch()
    watch.record_response(_at(30, era=0), 1.0, whole=True)
    watch.record_update(2.0, _at(revision, era=1), _Verdict.FETCH)
    assert watch.position is None
    # The call that was under way brings changes of the era before.
    assert not watch.record_response(_at(60, era=0), 2.1, whole=False)
    assert not watch.record_response(_at(60, era=0), 2.2, whole=True)
    assert watch.position is None
    assert watch.record_response(_at(revision, era=1), 2.3, whole=True)
    watch.record_update(2.4, _at(70, era=0), _Verdict.FETCH)
    assert watch.position == _at(revision, era=1)


def test_changes_of_what_is_not_known_any_more_are_left():
    watch = table_watch.TableWatch()
    watch.record_response(_at(30), 1.0, whole=True)
    watch.record_history_lost()
    assert not watch.record_response(_at(31), 1.1, whole=False)
    assert watch.position is None
