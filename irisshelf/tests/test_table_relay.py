"""Snapshots of the store's tables, relayed among a data centre's instances.

Guards against overloaded links when a long configuration changes or all
instances start at once: if each read the table from the store, the store's link
and their own would be saturated for seconds. One instance reads it, and the
others fetch it from each other; any of them may be dead, hang, lag behind, or
have different data.
"""

import os
import random
import zlib

import cbor2
import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import departures
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
from irisshelf.gateway.knowledge import store_timing
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
_DEFAULT_BOUNDS = settings.Bounds()
# All time-outs are far longer than any time for which the loop stands still, so
# that no instance gives up on the others and reads the store itself.
_LONG_BOUNDS = settings.Bounds(
    catalog_in_force_ms=60_000, server_leaving_ms=60_000
)
_CATALOG, _SERVERS = feed.Table.CATALOG, feed.Table.SERVERS


class _Instance:
    """An instance that follows the store and relays; it accepts no requests."""

    def __init__(self, name, store_address, bounds):
        self._fd = os.open(os.devnull, os.O_WRONLY)
        self.lines = []
        self.log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.log.warning = self._record_line
        self.log.instance = self._record_line
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
            handle=self._handle,
            refuse=lambda status, text: ([], text.encode()),
            log=self.log,
        )
        self.listener.start()
        self.is_dead = False
        # Requests on open connections that were broken off.
        self.aborted = 0
        self.inst = instance.Instance(
            cfg=_settings(name, store_address, bounds),
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

    def _record_line(self, name, **fields):
        self.lines.append((name, fields))

    def _handle(self, request, conn):
        if self.is_dead:
            self.aborted += 1
            conn.abort()
        else:
            self.peers.handle(request, conn)

    def die(self):
        """Answers nobody any more; its datagrams are still sent."""
        self.is_dead = True
        self.listener.stop_accepting()

    def logged(self, name):
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


def _make_instance(name, store_address, bounds):
    """Creates an instance whose port is free for both UDP and TCP."""
    for _ in range(20):
        try:
            return _Instance(name, store_address, bounds)
        except OSError:
            continue
    raise OSError("no port is free")


def _settings(name, store_address, bounds):
    listen = settings.Listen(
        front="127.0.0.1:0",
        ready="127.0.0.1:0",
        metrics="127.0.0.1:0",
        peers="127.0.0.1:0",
    )
    return settings.Settings(
        instance=name,
        data_centre="a",
        listen=listen,
        store=store_address,
        bounds=bounds,
    )


def _introduce(instances):
    for one in instances:
        for other in instances:
            # In the future, so that members do not expire during the test.
            later_s = boottime.now() + 60.0
            one.peers.membership.record_alive(other.member, later_s)


def _wait(condition):
    deadline_s = boottime.now() + 20
    while not condition() and boottime.now() < deadline_s:
        gevent.sleep(0.01)
    assert condition()


def _config(version, routes=200):
    listed = [
        world_module.route(f"/r{number}/", "safe", "crew")
        for number in range(routes)
    ]
    return world_module.config(version, routes=listed)


@pytest.fixture
def one_server():
    created = server.Server(server_id="s1", service="crew", streaming=False)
    created.start()
    yield created
    created.close()


@pytest.fixture
def served(one_server):
    created = store.Store().start()
    created.put("op", "config", _config(1))
    created.put("servers", "s1", one_server.entry())
    yield created
    created.close()


@pytest.fixture
def make_fleet(served):
    created = []

    def make(count=9, bounds=_DEFAULT_BOUNDS):
        created.extend(
            _make_instance(str(n), served.address, bounds) for n in range(count)
        )
        _introduce(created)
        return created

    yield make
    for one in created:
        one.stop()


def _watcher(instances):
    (found,) = [
        one
        for one in instances
        if one.updates.role() is shared_watch.Role.WATCHER
    ]
    return found


def _start(instances):
    for one in instances:
        one.follow()
    _wait(lambda: all(one.inst.configured for one in instances))


def test_instances_that_start_at_once_read_the_store_once(
    make_fleet, served, monkeypatch
):
    # Nine instances share one process: a pause of it must not count as silence
    # of the instance that reads the store.
    monkeypatch.setattr(store_timing, "_RELAY_AT_START_S", 60.0)
    instances = make_fleet(bounds=_LONG_BOUNDS)
    _start(instances)
    assert sorted(served.pages) == ["op", "servers"]
    assert all(one.inst.keys_valid() for one in instances)
    assert all(
        one.logged("tables_relayed") for one in instances[1:] if _is_reader(one)
    )


def _is_reader(one):
    return one.updates.role() is shared_watch.Role.READER


def test_a_new_configuration_is_read_once(make_fleet, served):
    instances = make_fleet()
    _start(instances)
    before = len(served.pages)
    calls = served.calls
    served.put("op", "config", _config(2))
    _wait(lambda: all(one.version == 2 for one in instances))
    # The watcher's pending long poll returned it; nothing else was read.
    assert len(served.pages) == before
    assert served.calls - calls < len(instances)
    assert all(one.inst.keys_valid() for one in instances)


def test_many_changes_at_once_are_read_once(make_fleet, served, one_server):
    """All servers of a data centre return: too many for one update."""
    instances = make_fleet(bounds=_LONG_BOUNDS)
    _start(instances)
    calls = served.calls
    names = [f"back-{number}" for number in range(200)]
    for name in names:
        served.put("servers", name, one_server.entry())
    _wait(lambda: all(one.inst.directory.get(names[-1]) for one in instances))
    assert all(len(one.inst.directory.servers()) == 201 for one in instances)
    assert served.calls - calls < len(instances)


@pytest.mark.parametrize("lost", ["dead", "silent", "behind", "garbled"])
def test_without_a_relayed_snapshot_the_store_is_read(make_fleet, served, lost):
    instances = make_fleet()
    _start(instances)
    watcher = _watcher(instances)
    if lost == "dead":
        watcher.die()
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
    assert [one.version for one in instances] == [2] * len(instances)
    assert bool(watcher.aborted) == (lost == "dead")


def test_a_configuration_with_a_different_digest_is_rejected(
    make_fleet, served
):
    """Its version is the expected one."""
    instances = make_fleet()
    _start(instances)
    watcher = _watcher(instances)
    stored = watcher.follower.tables.operators.stored_catalog
    other = store.encode(_config(2, routes=3))
    minimum = table_snapshot.MinimumVersion(
        position=position.Position(era=0, revision=0),
        version=2,
        digest=stored.digest,
    )
    reader = next(one for one in instances if one is not watcher)
    message = table_snapshot.Message(
        era=0,
        revision=99,
        store_s=1.0,
        clock_s=1.0,
        catalog=table_snapshot.compress(other),
    )
    for one in instances:
        if one is not reader:
            one.peers.register_handler(
                "/catalog", lambda fields: table_snapshot.encode(message)
            )
    relay = reader.follower._relay
    snapshot = relay.fetch(_CATALOG, minimum, timeout_s=0.5)
    assert snapshot is None
    assert reader.logged("relayed_table_unreadable")


def test_relaying_does_not_understate_the_age(make_fleet, served):
    instances = make_fleet()
    _start(instances)
    watcher = _watcher(instances)
    reader = next(one for one in instances if one is not watcher)
    served.mode = store.Mode.SILENT
    watcher.stop()
    gevent.sleep(1.5)
    now = boottime.now()
    known = watcher.follower.tables.as_of(_CATALOG)
    age_s = now - known.store_s
    assert reader.inst.freshness.age_s(now) >= age_s - 0.01


def test_lapsed_servers_are_not_relayed(make_fleet, served):
    instances = make_fleet()
    _start(instances)
    one = instances[0]
    gone = directory.Change(entry_id="s1", server=None)
    one.inst.directory.apply_after_outage([gone], recovered_s=boottime.now())
    assert one.inst.directory.get("s1") is not None
    data = one.follower._relay._encode_table(_SERVERS)
    assert table_snapshot.decode(data).servers == []


def test_that_a_server_leaves_is_relayed_with_the_list(make_fleet, served):
    """Guards against an entry that says ready of a server that leaves."""
    instances = make_fleet()
    _start(instances)
    watcher = _watcher(instances)
    reader = next(one for one in instances if one is not watcher)
    for one in instances:
        if one is not reader:
            one.inst.eligible.availability.departures.announce(
                "s1", source=departures.Source.RESPONSE, now=boottime.now()
            )
    assert reader.inst.eligible.accepting("crew")
    relay = reader.follower._relay
    snapshot = relay.fetch(_SERVERS, None, timeout_s=0.5)
    reader.follower.tables.watches[_SERVERS].record_history_lost()
    now = boottime.now()
    assert reader.follower.tables.apply_snapshot(_SERVERS, snapshot, now)
    assert not reader.inst.eligible.accepting("crew")


def test_cold_starts_are_relayed_with_their_remaining_time(
    make_fleet, served, one_server
):
    one_server.cold_ms = 60_000
    served.put("servers", "s1", one_server.entry())
    instances = make_fleet()
    _start(instances)
    gevent.sleep(0.5)
    data = instances[0].follower._relay._encode_table(_SERVERS)
    (record,) = table_snapshot.decode(data).servers
    assert 50.0 < record.cold_s <= 59.5


@pytest.mark.parametrize(
    "query",
    ["era=x", "revision=-1", "version=2.5", "hold_ms=soon", "era=" + "9" * 40],
)
def test_an_invalid_request_is_not_answered(make_fleet, query):
    one = make_fleet(1)[0]
    fields = dict([query.split("=")])
    assert one.follower._relay._request_handler(_CATALOG)(fields) is None
    assert one.logged("question_unreadable")


_VALID = cbor2.dumps([0, 5, 1.0, 1.0, b"", [], []])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        _VALID,
        zlib.compress(b"\xff"),
        zlib.compress(_VALID)[:-4],
        zlib.compress(cbor2.dumps({"a": 1})),
        zlib.compress(cbor2.dumps([-1, 5, 1.0, 1.0])),
        zlib.compress(cbor2.dumps([0, 5, float("nan"), 1.0])),
        zlib.compress(cbor2.dumps([0, 5, 1.0, 1.0, b"", [], [["s", 1]]])),
    ],
)
def test_an_invalid_snapshot_is_an_error(data):
    with pytest.raises(ValueError):
        table_snapshot.decode(data)


def test_an_oversized_snapshot_is_an_error(monkeypatch):
    monkeypatch.setattr(table_snapshot, "_MAX_DECOMPRESSED_BYTES", 1000)
    with pytest.raises(ValueError, match="longer than 1000"):
        table_snapshot.decompress(zlib.compress(b"x" * 1001))


# The relay tree, and the propagation of the store's clock.


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
    created = {}
    for own in members:
        created[own.name] = membership_module.Membership(own=own)
        for other in members:
            created[own.name].record_alive(other, 0.0)
    return created


@pytest.mark.parametrize("count", [1, 2, 9, 24, 73, 100])
def test_each_instance_has_one_parent_and_few_children(count):
    memberships = _ranked(count)
    parents = [
        membership.ancestors(1.0, 4)[0].name
        for membership in memberships.values()
        if membership.ancestors(1.0, 4)
    ]
    assert len(parents) == count - 1
    assert all(parents.count(name) <= 4 for name in memberships)
    depth = max(len(r.ancestors(1.0, 4)) for r in memberships.values())
    assert depth <= 4


def test_instances_with_wide_links_relay_first():
    memberships = _ranked(24, links=[10.0, 100.0, 10.0, 120.0])
    first = {r.leader(1.0).name for r in memberships.values() if r.leader(1.0)}
    assert first <= {"n1", "n3"}
    assert len(first) == 1
    wide = {"n1", "n3"}
    paths = [r.ancestors(1.0, 4) for r in memberships.values()]
    second_level = {path[-2].name for path in paths if len(path) > 1}
    assert wide - first <= second_level


@pytest.mark.parametrize("seed", range(20))
def test_a_relayed_clock_does_not_understate_ages(seed):
    """Instances, each with its own clock, relay the store's clock."""
    rng = random.Random(seed)
    clock_offsets_s = [rng.uniform(-100, 100) for _ in range(4)]
    store_offset_s = rng.uniform(0, 5000)
    clocks = [freshness.Freshness() for _ in clock_offsets_s]
    now_s = 10.0
    delays_s = [rng.uniform(0.0, 0.5) for _ in range(8)]
    clocks[0].record_answer(
        sent_s=now_s + clock_offsets_s[0],
        received_s=now_s + delays_s[0] + delays_s[1] + clock_offsets_s[0],
        store_s=now_s + delays_s[0] + store_offset_s,
    )
    response_s = now_s + delays_s[0]
    now_s += 1.0
    for index in range(1, 4):
        sent_s = now_s
        now_s += delays_s[2 * index - 1]
        clock_s = clocks[index - 1].estimate_store_clock(
            now_s + clock_offsets_s[index - 1]
        )
        assert clock_s >= now_s + store_offset_s - 1e-9
        now_s += delays_s[2 * index]
        clocks[index].record_peer_estimate(
            sent_s=sent_s + clock_offsets_s[index], clock_s=clock_s, era=0
        )
        estimate_s = clocks[index].to_local_time(
            response_s + store_offset_s, now_s + clock_offsets_s[index]
        )
        assert estimate_s <= response_s + clock_offsets_s[index] + 1e-9


def test_the_fan_out_suits_a_narrow_link():
    assert table_relay._FAN_OUT <= 4
