"""Origins of streams in the store, which outlive all instances.

Regression: after all instances had been killed at once, nobody knew which
release had begun a stream, so that no stream could be resumed for as long as
any might have begun before.
"""

import pytest

from irisshelf.catalog import releases
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import stored_origins
from irisshelf.gateway.servers import origin_registry
from irisshelf.testing import memory_records
from irisshelf.testing import origin_network
from irisshelf.tests import resumed_streams

_V1 = b"1" * releases.KEY_BYTES
_V2 = b"2" * releases.KEY_BYTES
_LIFE_S = stream_origins.MIN_LIFE_S


def _key(number):
    return stream_origins.stream_key("blue", f"r{number}")


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class _Log:
    def __init__(self):
        self.lines = []

    def warning(self, name, **fields):
        self.lines.append(name)

    def instance(self, name, **fields):
        self.lines.append(name)


class _Instance:
    """What keeps origins at one instance."""

    def __init__(self, store, clock, name="one", members=1):
        self.is_current = True
        self.log = _Log()
        self.metrics = metrics.Metrics()
        self.history = releases.ReleaseHistory(life_s=_LIFE_S)
        self.registry = origin_registry.OriginRegistry(
            releases=self.history, now=clock
        )
        self.stored = stored_origins.StoredOrigins(
            name=name,
            store=store,
            registry=self.registry,
            history=self.history,
            has_recent_list=lambda: self.is_current,
            count_members=lambda: members,
            log=self.log,
            counts=self.metrics,
            now=clock,
        )

    def begin(self, number, release=_V1):
        self.registry.record(_key(number), ["lm"], release)

    def find(self, number):
        """Returns the release of a stream, or False if it is not known."""
        if not self.registry.find_stored(_key(number)):
            return False
        return self.registry.get(_key(number)).release


def _list(one, clock, *versions, is_new=False):
    servers = [
        origin_network.server(number, version)
        for number, version in enumerate(versions)
    ]
    one.history.update(servers, clock(), is_complete=is_new)


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def store(clock):
    return memory_records.MemoryRecords(now=clock)


@pytest.mark.parametrize("name", ["one", "other"])
def test_origins_are_found_after_all_instances_were_killed(store, clock, name):
    """Guards against streams that nobody can resume after that."""
    before = _Instance(store, clock)
    before.begin(1, _V1)
    before.begin(2, _V2)
    before.stored.flush()
    clock.now_s += 5.0
    after = _Instance(store, clock, name=name)
    assert after.find(1) == _V1
    assert after.find(2) == _V2
    assert after.find(3) is False


def test_records_of_an_earlier_process_are_kept(store, clock):
    """Guards against a second kill, soon after the first."""
    for life in range(5):
        one = _Instance(store, clock)
        one.begin(life)
        one.stored.flush()
        clock.now_s += 2.0
    last = _Instance(store, clock)
    assert [last.find(life) for life in range(5)] == [_V1] * 5


def test_all_origins_of_their_life_are_on_record(store, clock):
    """Guards against a record that is written over too early."""
    one = _Instance(store, clock)
    for number in range(200):
        one.begin(number)
        one.stored.flush()
        clock.now_s += 1.0
    after = _Instance(store, clock, name="other")
    found = [after.find(number) for number in range(200)]
    assert all(found[200 - int(_LIFE_S) + 2 :])
    # Those that have expired are not resumed any more.
    assert not any(found[: 200 - 2 * int(_LIFE_S)])


def test_a_stream_that_begins_during_a_write_is_on_record(store, clock):
    """Guards against a record that is left before all of it is written."""
    one = _Instance(store, clock)
    write = store.write

    def write_slowly(key, data, *, version):
        written = write(key, data, version=version)
        one.begin(2)
        store.write = write
        return written

    one.begin(1)
    one.stored.flush()
    store.write = write_slowly
    for _ in range(10):
        clock.now_s += 4.0
        one.stored.flush()
    assert _Instance(store, clock, name="other").find(2) == _V1


@pytest.mark.parametrize("begun_by", ["one", "both"])
def test_contradicting_origins_are_no_origin(store, clock, begun_by):
    """Guards against a stream that goes on at either release."""
    one = _Instance(store, clock)
    other = one if begun_by == "one" else _Instance(store, clock, name="other")
    one.begin(1, _V1)
    one.stored.flush()
    other.begin(1, _V2)
    other.stored.flush()
    after = _Instance(store, clock, name="third")
    assert after.find(1) is None


@pytest.mark.parametrize("failure", ["down", "late"])
def test_a_failed_write_loses_nothing(store, clock, failure):
    """Guards against origins given up with a call that got no answer."""
    one = _Instance(store, clock)
    one.begin(1)
    one.stored.flush()
    setattr(store, failure, True)
    one.begin(2)
    one.stored.flush()
    one.begin(3)
    one.stored.flush()
    setattr(store, failure, False)
    one.stored.flush()
    after = _Instance(store, clock, name="other")
    assert [after.find(number) for number in (1, 2, 3)] == [_V1] * 3
    # Once for each kind of call that fails.
    kinds = 2 if failure == "down" else 1
    assert one.log.lines.count("stored_origins_unavailable") == kinds
    assert one.log.lines.count("stored_origins_available") == kinds


def test_a_record_that_another_process_has_written_is_read_again(store, clock):
    """Guards against an instance whose predecessor still writes."""
    one = _Instance(store, clock)
    one.stored.flush()
    other = _Instance(store, clock)
    other.begin(1)
    other.stored.flush()
    one.begin(2)
    one.stored.flush()
    one.stored.flush()
    after = _Instance(store, clock, name="third")
    assert after.find(2) == _V1


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"\x80", b"\x82\x01\x02", b"\x82\xf9\x00\x00\x43abc"]
)
def test_unreadable_records_are_passed_over(store, clock, data):
    """Guards against an instance that ends, or writes no more."""
    before = _Instance(store, clock)
    before.begin(1)
    before.stored.flush()
    store.spoil(data)
    one = _Instance(store, clock)
    assert one.find(1) is False
    one.begin(2)
    one.stored.flush()
    assert _Instance(store, clock, name="other").find(2) == _V1


def test_an_idle_instance_writes_seldom(store, clock):
    """Guards against calls that tell nothing new."""
    one = _Instance(store, clock)
    one.begin(1)
    for _ in range(int(2 * _LIFE_S)):
        one.stored.flush()
        clock.now_s += 1.0
    assert len(store.writes) <= 16


@pytest.mark.parametrize(
    ("listed", "allowed_per_s"),
    [
        pytest.param(["v1"], 20.0, id="one-release"),
        pytest.param(["v1", "v2"], 200.0, id="two-releases"),
    ],
)
@pytest.mark.parametrize("members", [6, 85, 400])
def test_a_fleet_writes_at_a_limited_rate(
    store, clock, members, listed, allowed_per_s
):
    """Guards against a store that rejects writes, or a loss that is large."""
    one = _Instance(store, clock, members=members)
    _list(one, clock, *listed, is_new=True)
    number = 0
    while clock.now_s < 1100.0:
        one.begin(number)
        number += 1
        one.stored.flush()
        clock.now_s += one.stored.interval_s
    rate = len(store.writes) * members / 100.0
    # Each instance begins a record every ten seconds.
    assert rate <= 1.2 * allowed_per_s + members / 10.0
    # What has begun in the last five seconds of a rollout may be unknown.
    if len(listed) > 1:
        assert one.stored.interval_s <= 5.0


@pytest.mark.parametrize("members", [1, 6, 85, 400])
def test_unknown_streams_are_looked_for_at_a_limited_rate(
    store, clock, members
):
    """Guards against callers whose ids load the store."""
    one = _Instance(store, clock, members=members)
    for number in range(1000):
        assert one.find(number) is False
        clock.now_s += 0.01
    assert store.reads * members <= max(20 * members, 1000) + members


def test_a_full_record_drops_the_oldest_origins(store, clock):
    """Guards against a record that the store does not accept."""
    one = _Instance(store, clock)
    for number in range(3100):
        one.begin(number)
    one.stored.flush()
    after = _Instance(store, clock, name="other")
    assert after.find(3099) == _V1
    assert after.find(0) is False
    assert one.metrics.origins_dropped._value.get() == 100


@pytest.mark.parametrize(
    ("listed", "known"),
    [
        pytest.param(["v1"], ["v1"], id="one"),
        pytest.param(["v1", "v2"], ["v1", "v2"], id="second-removed"),
        pytest.param(["v2"], ["v1", "v2"], id="replaced"),
    ],
)
@pytest.mark.parametrize("away_s", [1.0, 20.0])
def test_releases_are_known_after_all_instances_were_killed(
    store, clock, listed, known, away_s
):
    """Guards against doubts, and a removed release that is forgotten."""
    before = _Instance(store, clock)
    _list(before, clock, "v1", is_new=True)
    before.stored.flush()
    clock.now_s += 100.0
    _list(before, clock, *listed)
    before.stored.flush()
    clock.now_s += away_s
    after = _Instance(store, clock)
    after.is_current = False
    after.stored.flush()
    after.is_current = True
    _list(after, clock, known[0] if "v1" in listed else "v2")
    after.stored.flush()
    keys = {
        releases.release_key(origin_network.server(0, version))
        for version in known
    }
    assert after.history.recent("lm", clock()) == keys
    assert after.history.reach_s("lm", clock()) >= 100.0


def test_releases_are_not_passed_on_without_a_recent_list(store, clock):
    """Guards against an outdated history from an instance that is cut off."""
    before = _Instance(store, clock)
    before.is_current = False
    _list(before, clock, "v1", is_new=True)
    before.stored.flush()
    after = _Instance(store, clock)
    _list(after, clock, "v1")
    after.stored.flush()
    assert after.history.reach_s("lm", clock()) == 0.0


_TWO_DATA_CENTRES = ("a", "a", "b")


def _restart_all(world):
    """Kills all instances, and starts others; returns the first new one."""
    for one in world.entries:
        one.stored_origins.flush()
    for one in world.entries:
        one.kill()
    listed = resumed_streams.listed(world.entries[0])
    first = len(world.entries)
    for data_centre in _TWO_DATA_CENTRES:
        world.add_entry(data_centre)
    started = world.entries[first:]
    world.wait(
        lambda: all(
            one.inst.ready and resumed_streams.listed(one) >= listed
            for one in started
        )
    )
    return first


@pytest.mark.parametrize(
    "versions", [resumed_streams.TWO, ("v1",)], ids=["two", "one"]
)
@pytest.mark.parametrize("age_s", [None, 1.0], ids=["no-age", "young"])
def test_streams_go_on_after_all_instances_were_killed(
    make_world, versions, age_s
):
    """Guards against resumptions that are rejected, or change the version."""
    world = resumed_streams.make(
        make_world,
        versions=versions,
        data_centres=_TWO_DATA_CENTRES,
        servers_age_s=age_s,
    )
    streams = resumed_streams.begin_all(world, 0)
    first = _restart_all(world)
    resumed_streams.take_up_all(world, first, streams)
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) == 1.0


def test_a_version_that_was_taken_back_is_known_after_all_were_killed(
    make_world,
):
    """Guards against ages of servers that tell nothing of those removed."""
    world = resumed_streams.make(make_world, data_centres=_TWO_DATA_CENTRES)
    streams = resumed_streams.begin_all(world, 0)
    for one in world.engines:
        if one.version != "v1":
            world.store.drop("servers", one.server_id)
            one.end()
    removed = {one.server_id for one in world.engines if one.closed}
    world.wait(
        lambda: (
            not any(
                resumed_streams.listed(one) & removed for one in world.entries
            )
        )
    )
    first = _restart_all(world)
    resumed_streams.take_up_all(world, first, streams)
    assert not resumed_streams.mixed(streams)
    assert any(stream.versions == {b"v1.1"} for stream in streams)
    whole = [stream for stream in streams if stream.versions == {b"v1"}]
    assert all(stream.whole for stream in whole)
