"""Whole tables of the store, handed on among the instances of a data centre.

The pattern: a long configuration changes, or all instances start at once. When
each reads what it lacks from the store, the store's link and the instances' own
are full for seconds. One reads it, and the others take it from each other; any
of them may be dead, stand still, lag, or have something else.
"""

import os
import random
import zlib

import cbor2
import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import freshness
from irisshelf.catalog import position
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance
from irisshelf.gateway import listener
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import follower
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.gateway.knowledge import store_updates
from irisshelf.gateway.knowledge import table_relay
from irisshelf.gateway.knowledge import table_snapshot
from irisshelf.observe import decision_log
from irisshelf.platform import http_dialect
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module
from irisshelf.store import feed
from irisshelf.transport import server as http

_LIMITS = http.Limits(
    head_bytes=65536, body_bytes=65536, head_s=9.0, idle_s=60.0
)
_CATALOG, _SERVERS = feed.Table.CATALOG, feed.Table.SERVERS


class _Instance:
    """An instance that follows the store and hands on, without callers."""

    def __init__(self, name, store_address):
        self._fd = os.open(os.devnull, os.O_WRONLY)
        self.lines = []
        self.log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.log.problem = self._note
        self.log.instance = self._note
        self.datagrams = datagrams_module.Datagrams(
            address="127.0.0.1:0", log=self.log
        )
        self.member = membership_module.Member(
            name=name,
            address=self.datagrams.address,
            data_centre="a",
        )
        self.peers = peer_discovery.PeerDiscovery(
            own=self.member, seeds=(), log=self.log
        )
        self.listener = listener.Listener(
            address=self.datagrams.address,
            limits=lambda: _LIMITS,
            handle=self.peers.handle,
            refuse=lambda status, text: ([], text.encode()),
            log=self.log,
        )
        self.listener.start()
        self.inst = instance.Instance(
            cfg=_settings(name, store_address),
            dialect=http_dialect.HttpDialect(),
            log=self.log,
            rng=random.Random(name),
        )
        self.updates = store_updates.StoreUpdates(
            datagrams=self.datagrams,
            membership=self.peers.membership,
            log=self.log,
        )
        self.feed = store_feed.StoreFeed(address=store_address)
        self.follower = follower.Follower(
            inst=self.inst,
            store=self.feed,
            updates=self.updates,
            peers=self.peers,
        )
        self._greenlets = [gevent.spawn(self.datagrams.run)]

    def _note(self, name, **fields):
        self.lines.append((name, fields))

    def told(self, name):
        return [fields for line, fields in self.lines if line == name]

    def follow(self):
        self._greenlets += [
            gevent.spawn(self.follower.run, table) for table in feed.Table
        ]

    def stop(self):
        gevent.killall(self._greenlets)
        self.listener.stop_accepting()

    @property
    def version(self):
        return self.inst.catalog.version if self.inst.catalog else 0


def _started(name, store_address):
    """Makes an instance whose port is free for datagrams and connections."""
    for _ in range(20):
        try:
            return _Instance(name, store_address)
        except OSError:
            continue
    raise OSError("no port is free")


def _settings(name, store_address):
    listen = settings.Listen(
        front="127.0.0.1:0",
        ready="127.0.0.1:0",
        metrics="127.0.0.1:0",
        peers="127.0.0.1:0",
    )
    return settings.Settings(
        instance=name, data_centre="a", listen=listen, store=store_address
    )


def _know_each_other(everyone):
    for one in everyone:
        for other in everyone:
            # From now on, whatever the test lasts.
            later_s = boottime.now() + 60.0
            one.peers.membership.record_alive(other.member, later_s)


def _wait(until):
    end_s = boottime.now() + 20
    while not until() and boottime.now() < end_s:
        gevent.sleep(0.01)
    assert until()


def _config(version, routes=200):
    listed = [
        world_module.route(f"/r{number}/", "safe", "crew")
        for number in range(routes)
    ]
    return world_module.config(version, routes=listed)


@pytest.fixture
def one_server():
    made = server.Server(server_id="s1", service="crew", streaming=False)
    made.start()
    yield made
    made.close()


@pytest.fixture
def served(one_server):
    made = store.Store().start()
    made.put("op", "config", _config(1))
    made.put("servers", "s1", one_server.entry())
    yield made
    made.close()


@pytest.fixture
def make_fleet(served):
    made = []

    def make(count=9):
        made.extend(_started(str(n), served.address) for n in range(count))
        _know_each_other(made)
        return made

    yield make
    for one in made:
        one.stop()


def _watcher(everyone):
    (found,) = [
        one
        for one in everyone
        if one.updates.role() is shared_watch.Role.WATCHER
    ]
    return found


def _start(everyone):
    for one in everyone:
        one.follow()
    _wait(lambda: all(one.inst.configured for one in everyone))


def test_all_that_start_at_once_read_from_one(make_fleet, served):
    everyone = make_fleet()
    _start(everyone)
    assert sorted(served.pages) == ["op", "servers"]
    assert all(one.inst.keys_valid() for one in everyone)
    assert all(
        one.told("tables_relayed") for one in everyone[1:] if _reads(one)
    )


def _reads(one):
    return one.updates.role() is shared_watch.Role.READER


def test_a_new_configuration_is_read_once(make_fleet, served):
    everyone = make_fleet()
    _start(everyone)
    before = len(served.pages)
    calls = served.calls
    served.put("op", "config", _config(2))
    _wait(lambda: all(one.version == 2 for one in everyone))
    # By the call that the watcher had held, which tells it.
    assert len(served.pages) == before
    assert served.calls - calls < len(everyone)
    assert all(one.inst.keys_valid() for one in everyone)


def test_many_changes_at_once_are_read_once(make_fleet, served, one_server):
    """A data centre's servers return: no update can hold them all."""
    everyone = make_fleet()
    _start(everyone)
    calls = served.calls
    names = [f"back-{number}" for number in range(200)]
    for name in names:
        served.put("servers", name, one_server.entry())
    _wait(lambda: all(one.inst.directory.get(names[-1]) for one in everyone))
    assert all(len(one.inst.directory.servers()) == 201 for one in everyone)
    assert served.calls - calls < len(everyone)


@pytest.mark.parametrize("lost", ["dead", "silent", "behind", "garbled"])
def test_who_is_not_relayed_to_reads_from_the_store(
    make_fleet, served, lost, monkeypatch
):
    everyone = make_fleet()
    _start(everyone)
    watcher = _watcher(everyone)
    if lost == "dead":
        watcher.listener.stop_accepting()
        monkeypatch.setattr(watcher.peers, "handle", _drop)
    answers = {
        "dead": lambda fields: None,
        "silent": lambda fields: gevent.sleep(60),
        "behind": lambda fields: None,
        "garbled": lambda fields: b"no table",
    }
    for path in ("/catalog", "/servers"):
        watcher.peers.register_handler(path, answers[lost])
    served.put("op", "config", _config(2))
    bound_s = watcher.inst.cfg.bounds.catalog_in_force_ms / 1000
    gevent.sleep(bound_s)
    assert [one.version for one in everyone] == [2] * len(everyone)


def _drop(request, conn):
    conn.abort()


def test_another_configuration_than_the_one_meant_is_not_taken(
    make_fleet, served
):
    """Its version is right and its digest is not."""
    everyone = make_fleet()
    _start(everyone)
    watcher = _watcher(everyone)
    held = watcher.follower.tables.operators.stored_catalog
    other = store.encode(_config(2, routes=3))
    wanted = table_snapshot.MinimumVersion(
        position=position.Position(era=0, revision=0),
        version=2,
        digest=held.digest,
    )
    reader = next(one for one in everyone if one is not watcher)
    message = table_snapshot.Message(
        era=0,
        revision=99,
        store_s=1.0,
        clock_s=1.0,
        catalog=table_snapshot.compress(other),
    )
    for one in everyone:
        if one is not reader:
            one.peers.register_handler(
                "/catalog", lambda fields: table_snapshot.encode(message)
            )
    handing = reader.follower._relay
    handed = handing.fetch(_CATALOG, wanted, within_s=0.5)
    assert handed is None
    assert reader.told("relayed_table_unreadable")


def test_what_is_relayed_is_not_younger_than_it_was(make_fleet, served):
    everyone = make_fleet()
    _start(everyone)
    watcher = _watcher(everyone)
    reader = next(one for one in everyone if one is not watcher)
    served.mode = store.Mode.SILENT
    watcher.stop()
    gevent.sleep(1.5)
    now = boottime.now()
    known = watcher.follower.tables.as_of(_CATALOG)
    age_s = now - known.store_s
    assert reader.inst.freshness.age_s(now) >= age_s - 0.01


def test_lapsed_servers_are_not_relayed(make_fleet, served):
    everyone = make_fleet()
    _start(everyone)
    one = everyone[0]
    gone = directory.Change(entry_id="s1", server=None)
    one.inst.directory.lapse([gone], back_s=boottime.now())
    assert one.inst.directory.get("s1") is not None
    data = one.follower._relay._encode_table(_SERVERS)
    assert table_snapshot.decode(data).servers == []


def test_coldness_is_relayed_as_what_is_left(make_fleet, served, one_server):
    one_server.cold_ms = 60_000
    served.put("servers", "s1", one_server.entry())
    everyone = make_fleet()
    _start(everyone)
    gevent.sleep(0.5)
    data = everyone[0].follower._relay._encode_table(_SERVERS)
    (row,) = table_snapshot.decode(data).servers
    assert 50.0 < row.cold_s <= 59.5


@pytest.mark.parametrize(
    "query",
    ["era=x", "revision=-1", "version=2.5", "hold_ms=soon", "era=" + "9" * 40],
)
def test_a_question_that_cannot_be_read_gets_no_answer(make_fleet, query):
    one = make_fleet(1)[0]
    fields = dict([query.split("=")])
    assert one.follower._relay._request_handler(_CATALOG)(fields) is None
    assert one.told("question_unreadable")


_GOOD = cbor2.dumps([0, 5, 1.0, 1.0, b"", [], []])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        _GOOD,
        zlib.compress(b"\xff"),
        zlib.compress(_GOOD)[:-4],
        zlib.compress(cbor2.dumps({"a": 1})),
        zlib.compress(cbor2.dumps([-1, 5, 1.0, 1.0])),
        zlib.compress(cbor2.dumps([0, 5, float("nan"), 1.0])),
        zlib.compress(cbor2.dumps([0, 5, 1.0, 1.0, b"", [], [["s", 1]]])),
    ],
)
def test_bytes_that_are_no_table_are_an_error(data):
    with pytest.raises(ValueError):
        table_snapshot.decode(data)


def test_a_table_without_end_is_an_error(monkeypatch):
    monkeypatch.setattr(table_snapshot, "_MAX_DECOMPRESSED_BYTES", 1000)
    with pytest.raises(ValueError, match="longer than 1000"):
        table_snapshot.decompress(zlib.compress(b"x" * 1001))


# The tree, and clocks that are heard of.


def _ranked(count, links=()):
    widths = dict(enumerate(links))
    members = [
        membership_module.Member(
            name=f"n{n}",
            address="",
            data_centre="a",
            link_mbps=widths.get(n, 10.0),
        )
        for n in range(count)
    ]
    made = {}
    for own in members:
        made[own.name] = membership_module.Membership(own=own)
        for other in members:
            made[own.name].record_alive(other, 0.0)
    return made


@pytest.mark.parametrize("count", [1, 2, 9, 24, 73, 100])
def test_each_is_relayed_to_by_one_and_relays_to_few(count):
    rosters = _ranked(count)
    parents = [
        roster.ancestors(1.0, 4)[0].name
        for roster in rosters.values()
        if roster.ancestors(1.0, 4)
    ]
    assert len(parents) == count - 1
    assert all(parents.count(name) <= 4 for name in rosters)
    depth = max(len(r.ancestors(1.0, 4)) for r in rosters.values())
    assert depth <= 4


def test_wide_links_relay_first():
    rosters = _ranked(24, links=[10.0, 100.0, 10.0, 120.0])
    first = {r.leader(1.0).name for r in rosters.values() if r.leader(1.0)}
    assert first <= {"n1", "n3"}
    assert len(first) == 1
    wide = {"n1", "n3"}
    handing = [r.ancestors(1.0, 4) for r in rosters.values()]
    seconds = {line[-2].name for line in handing if len(line) > 1}
    assert wide - first <= seconds


@pytest.mark.parametrize("seed", range(20))
def test_a_clock_that_is_heard_of_makes_nothing_younger(seed):
    """Instances with clocks of their own pass the store's clock on."""
    rng = random.Random(seed)
    skews_s = [rng.uniform(-100, 100) for _ in range(4)]
    store_skew_s = rng.uniform(0, 5000)
    known = [freshness.Freshness() for _ in skews_s]
    true_s = 10.0
    ways_s = [rng.uniform(0.0, 0.5) for _ in range(8)]
    known[0].told(
        sent_s=true_s + skews_s[0],
        received_s=true_s + ways_s[0] + ways_s[1] + skews_s[0],
        store_s=true_s + ways_s[0] + store_skew_s,
    )
    moment_s = true_s + ways_s[0]
    true_s += 1.0
    for place in range(1, 4):
        sent_s = true_s
        true_s += ways_s[2 * place - 1]
        clock_s = known[place - 1].clock_s(true_s + skews_s[place - 1])
        assert clock_s >= true_s + store_skew_s - 1e-9
        true_s += ways_s[2 * place]
        known[place].heard_clock(
            sent_s=sent_s + skews_s[place], clock_s=clock_s, era=0
        )
        found_s = known[place].time_of(
            moment_s + store_skew_s, true_s + skews_s[place]
        )
        assert found_s <= moment_s + skews_s[place] + 1e-9


def test_the_fan_out_is_what_a_narrow_link_bears():
    assert table_relay._FAN_OUT <= 4
