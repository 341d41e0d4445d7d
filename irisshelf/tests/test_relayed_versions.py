"""What instances pass on about servers includes the servers' versions.

Regression: from eight instances in a data centre on, one of them follows the
store for the others, and what it passed on had no versions. The others took all
servers of a service for one release, and streams went on at any of them; beside
instances that had read the store there seemed to be two, and streams that
callers resumed were rejected.
"""

import dataclasses

import cbor2
import msgspec
import pytest

from irisshelf.catalog import directory
from irisshelf.coordination import shared_watch
from irisshelf.gateway.knowledge import server_records
from irisshelf.store import feed
from irisshelf.tests import resumed_streams

# So many in one data centre that one of them follows the store for all.
_SHARING = ("a",) * 9
_SERVER = directory.BackendServer(
    server_id="i-1@1700000000000",
    entry_id="i-1",
    service="lm",
    address="10.0.0.1:80",
    data_centre="a",
    slots=4,
    state=directory.ServerState.LEAVING,
    born_ms=1_700_000_000_000,
    cold_s=2.5,
    sequence=7,
    version="v1.2",
)


def _relay(server):
    """Returns a server's entry as another instance receives it."""
    change = directory.Change(entry_id=server.entry_id, server=server)
    fields = msgspec.to_builtins(server_records.to_record(change))
    received = msgspec.convert(
        cbor2.loads(cbor2.dumps(fields)), server_records.ServerRecord
    )
    return server_records.to_change(received).server


@pytest.mark.parametrize(
    "field", [field.name for field in dataclasses.fields(_SERVER)]
)
def test_no_field_of_an_entry_is_lost_in_a_relay(field):
    """Guards against fields that only instances that read the store know."""
    default = {f.name: f.default for f in dataclasses.fields(_SERVER)}[field]
    assert getattr(_SERVER, field) != default
    assert getattr(_relay(_SERVER), field) == getattr(_SERVER, field)


@pytest.mark.parametrize("version", ["v1", "", None], ids=["v1", "none", "bad"])
def test_versions_are_the_same_after_a_relay(version):
    """Guards against two releases where there is one."""
    server = dataclasses.replace(_SERVER, version=version)
    assert _relay(server).version == version


def _without_version(change):
    fields = msgspec.to_builtins(server_records.to_record(change))
    return fields if change.server is None else fields[:-1]


_CHANGE = directory.Change(entry_id=_SERVER.entry_id, server=_SERVER)
_REMOVAL = directory.Change(entry_id=_SERVER.entry_id, server=None)


@pytest.mark.parametrize(
    ("changes", "is_complete"),
    [
        pytest.param([], True, id="none"),
        pytest.param([_REMOVAL], True, id="removal"),
        pytest.param([_CHANGE], False, id="server"),
        pytest.param([_REMOVAL, _CHANGE], False, id="both"),
    ],
)
def test_what_an_earlier_build_passes_on_is_read_from_the_store(
    make_world, changes, is_complete
):
    """Guards against servers whose versions stay unknown after an upgrade."""
    records = msgspec.convert(
        [_without_version(change) for change in changes],
        list[server_records.ServerRecord],
    )
    assert server_records.are_complete(records) is is_complete
    world = make_world()
    position = _wait_for_position(world)
    later = dataclasses.replace(position, revision=position.revision + 1)
    update = shared_watch.ServersUpdate(
        store_s=0.0, since=later, position=later
    )
    verdict = shared_watch.classify_servers_update(update, position)
    assert verdict is shared_watch.Verdict.FETCH


@pytest.mark.parametrize("killed", [False, True], ids=["alive", "killed"])
def test_streams_keep_their_version_where_one_instance_follows_the_store(
    make_world, killed
):
    """Guards against instances that take all servers for one release."""
    world = resumed_streams.make(make_world, data_centres=_SHARING)
    streams = resumed_streams.begin_all(world, 0)
    if killed:
        world.entries[0].kill()
    resumed_streams.take_up_all(world, len(_SHARING) - 1, streams)
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) >= resumed_streams.LEAST_SHARE


def _ask(world, entry):
    return world.ask(resumed_streams.PATH, entry=entry)


@pytest.mark.parametrize("entry", range(len(_SHARING)))
def test_an_answer_keeps_its_version_where_one_instance_follows_the_store(
    make_world, entry
):
    """Guards against one answer with events of two versions."""
    world = resumed_streams.make(make_world, data_centres=_SHARING)
    resumed_streams.fail_first_runs(world)
    bodies = [
        answer.body
        for answer in resumed_streams.each(
            (_ask, world, entry) for _ in range(resumed_streams.STREAMS)
        )
    ]
    streams = [
        resumed_streams.Stream(first_id="", body=body) for body in bodies
    ]
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) >= resumed_streams.LEAST_SHARE


@pytest.mark.parametrize("entry", range(len(_SHARING)))
def test_streams_of_the_only_version_go_on_at_every_instance(make_world, entry):
    """Guards against a second release that nobody runs."""
    world = resumed_streams.make(
        make_world, data_centres=_SHARING, versions=("v1",)
    )
    streams = resumed_streams.begin_all(world, 0, 4)
    for stream in streams:
        stream.first_id = ""
    resumed_streams.take_up_all(world, entry, streams)
    assert {stream.statuses[-1] for stream in streams} == {200}


def _life(born_ms, sequence, version):
    """Returns the entry of one life of a server."""
    return directory.Change(
        entry_id="i-1",
        server=dataclasses.replace(
            _SERVER,
            server_id=directory.incarnation_id("i-1", born_ms),
            born_ms=born_ms,
            sequence=sequence,
            version=version,
        ),
    )


@pytest.mark.parametrize(
    "repeated",
    [
        pytest.param([_life(1000, 3, "v1")], id="earlier-life"),
        pytest.param([_life(2000, 3, "v1.2")], id="earlier-entry"),
        pytest.param(
            [directory.Change(entry_id="i-1", server=None)], id="was-removed"
        ),
        pytest.param(
            [_life(500, 1, "v1"), _life(1000, 3, "v1")], id="two-earlier-lives"
        ),
    ],
)
def test_changes_that_are_sent_again_take_no_entry_back(make_world, repeated):
    """Guards against an instance that starts and then lists a life that ended.

    It has read the list after these changes, and so does not know that one life
    has replaced the other.
    """
    world = make_world()
    current = _life(2000, 4, "v1.2")
    position = _wait_for_position(world)
    world.inst.directory.replace(
        [current.server], recovered_s=0.0, after_outage=False
    )
    world.follower.apply_update(
        shared_watch.ServersUpdate(
            store_s=0.0,
            since=dataclasses.replace(position, revision=0),
            position=dataclasses.replace(
                position, revision=position.revision + 1
            ),
            changes=(*repeated, current),
        )
    )
    assert world.inst.directory.get("i-1") == current.server
    again = (*repeated, current)
    assert world.inst.directory.outdated(again[-1:]) == ()


def _wait_for_position(world):
    watch = world.follower.tables.watches[feed.Table.SERVERS]
    world.wait(lambda: watch.position is not None)
    return watch.position
