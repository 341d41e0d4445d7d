"""The store is restored from a backup of its tables that is some seconds old.

Changes since the backup are lost, and their revisions are reused: a later
response may have a revision below, equal to or above those that instances have
seen. An instance that compared revisions alone would keep lost entries, miss
new ones, and consider withdrawn keys confirmed.
"""

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import position
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import server_list
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import store as store_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.store import feed

# Number of transactions after the restore and before the first poll, beyond the
# number of lost ones: the store's revision is then below, equal to or above the
# one that instances know.
_EXTRA_TRANSACTIONS = {"below": None, "equal": 0, "past": 5}
_REVISIONS = [
    pytest.param(extra, id=name) for name, extra in _EXTRA_TRANSACTIONS.items()
]


def _config(version, *keys):
    tenants = [{"name": "blue", "apiKeys": list(keys)}]
    return world_module.config(version, tenants=tenants)


def _restore(store, backup, extra):
    """Restores the store; other writers then advance its revision."""
    lost = store.ver - backup.ver
    store.come_back_from(backup)
    if extra is not None:
        for number in range(lost + extra):
            store.put("others", f"row-{number}", {})


def _listed(world, name):
    return world.inst.directory.get(name)


def _wait_listed(world, name, there=True):
    world.wait(lambda: (_listed(world, name) is not None) is there)


@pytest.fixture
def new_server():
    created = server_module.Server(
        server_id="crew-new", service="crew", streaming=False
    ).start()
    yield created
    created.close()


@pytest.mark.parametrize("extra", _REVISIONS)
def test_a_server_missing_in_the_backup_and_not_written_again_is_dropped(
    world, new_server, extra
):
    backup = world.store.copy()
    world.store.put("servers", new_server.server_id, new_server.entry())
    _wait_listed(world, new_server.server_id)
    _restore(world.store, backup, extra)
    _wait_listed(world, new_server.server_id, there=False)
    assert len(world.inst.directory.servers_of("crew")) == 2


@pytest.mark.parametrize("extra", _REVISIONS)
def test_a_server_missing_in_the_backup_and_written_again_stays_in_use(
    world, new_server, extra
):
    backup = world.store.copy()
    world.store.put("servers", new_server.server_id, new_server.entry())
    _wait_listed(world, new_server.server_id)
    _restore(world.store, backup, extra)
    gevent.sleep(0.5)
    assert _listed(world, new_server.server_id) is not None
    world.store.put("servers", new_server.server_id, new_server.entry())
    _wait_era(world, 1)
    gevent.sleep(directory.LAPSE_GRACE_S + 0.3)
    assert _listed(world, new_server.server_id) is not None


def _wait_era(world, era):
    watch = world.follower.tables.watches[feed.Table.SERVERS]
    world.wait(lambda: watch.position and watch.position.era == era)


@pytest.mark.parametrize("extra", _REVISIONS)
def test_a_server_added_after_the_restore_is_used(world, new_server, extra):
    backup = world.store.copy()
    for number in range(3):
        world.store.put("servers", f"gone-{number}", new_server.entry())
    _wait_listed(world, "gone-2")
    _restore(world.store, backup, extra)
    world.store.put("servers", new_server.server_id, new_server.entry())
    _wait_listed(world, new_server.server_id)


@pytest.mark.parametrize("extra", _REVISIONS)
@pytest.mark.parametrize("how", ["leaving", "gone"])
def test_an_outdated_entry_does_not_revive_a_server(world, how, extra):
    leaver = world.plain[0]
    backup = world.store.copy()
    if how == "leaving":
        entry = leaver.entry("draining")
        world.store.put("servers", leaver.server_id, entry)
    else:
        world.store.drop("servers", leaver.server_id)
    world.wait(lambda: not _is_ready(world, leaver))
    _restore(world.store, backup, extra)
    _wait_era(world, 1)
    assert not _is_ready(world, leaver)
    # An entry written after the restore counts again.
    world.store.put("servers", leaver.server_id, leaver.entry())
    world.wait(lambda: _is_ready(world, leaver))


def _is_ready(world, one):
    listed = _listed(world, one.server_id)
    return listed is not None and listed.state is directory.ServerState.READY


@pytest.mark.parametrize("strict", [True, False])
@pytest.mark.parametrize("extra", _REVISIONS)
def test_a_withdrawn_key_stays_withdrawn(make_world, strict, extra):
    bounds = settings.Bounds(
        keys_strict=strict, key_withdrawn_ms=2500, keys_unconfirmed_s=2.5
    )
    world = make_world(bounds=bounds)
    _put(world, 2, world_module.KEY, "lost")
    backup = world.store.copy()
    _put(world, 3, world_module.KEY)
    _restore(world.store, backup, extra)
    # The backup's version 2 confirms nothing, so that keys expire.
    world.wait(lambda: not world.inst.keys_valid())
    assert world.inst.catalog.version == 3
    for key in (world_module.KEY, "lost"):
        answer = world.ask("/alarm/1", Authorization=f"Bearer {key}")
        assert answer.status == 503
    world.store.put("op", "config", _config(3, world_module.KEY))
    world.wait(world.inst.keys_valid)
    assert world.ask("/alarm/1").status == 200
    answer = world.ask("/alarm/1", Authorization="Bearer lost")
    assert answer.status == 401


def _put(world, version, *keys):
    world.store.put("op", "config", _config(version, *keys))
    world.wait(lambda: world.inst.catalog.version == version)


@pytest.mark.parametrize("extra", _REVISIONS)
def test_a_configuration_written_after_the_restore_is_applied(world, extra):
    backup = world.store.copy()
    for version in (2, 3, 4):
        _put(world, version, world_module.KEY)
    _restore(world.store, backup, extra)
    world.store.put("op", "config", _config(5, world_module.KEY, "new"))
    world.wait(lambda: world.inst.catalog.version == 5)
    assert world.inst.keys_valid()


@pytest.mark.parametrize("extra", _REVISIONS)
def test_a_restarted_server_is_not_replaced_by_its_entry_in_the_backup(
    world, extra
):
    """Its state, such as a cold start, is kept."""
    one = world.plain[0]
    one.born_ms = 1_700_000_000_000
    world.store.put("servers", one.server_id, one.entry())
    world.wait(lambda: _listed(world, one.server_id).born_ms == one.born_ms)
    backup = world.store.copy()
    one.born_ms += 1000
    one.cold_ms = 60_000
    world.store.put("servers", one.server_id, one.entry())
    world.wait(lambda: _listed(world, one.server_id).born_ms == one.born_ms)
    _restore(world.store, backup, extra)
    _wait_era(world, 1)
    assert _listed(world, one.server_id).born_ms == one.born_ms
    assert _listed(world, one.server_id).cold_s > 50


def test_the_list_is_read_again_after_all_servers_have_written(
    world, monkeypatch
):
    """An entry written after the restore may have a revision seen before."""
    monkeypatch.setattr(server_list, "_REREAD_DELAY_S", 1.0)
    one = world.plain[0]
    backup = world.store.copy()
    for _ in range(5):
        world.store.put("servers", one.server_id, one.entry("draining"))
    world.wait(lambda: not _is_ready(world, one))
    world.store.mode = store_module.Mode.BUSY
    world.store.come_back_from(backup)
    world.store.put("servers", one.server_id, one.entry())
    world.store.mode = store_module.Mode.WELL
    _wait_era(world, 1)
    world.wait(lambda: _is_ready(world, one))


def test_two_restores_within_a_second(world, new_server):
    first = world.store.copy()
    world.store.put("servers", new_server.server_id, new_server.entry())
    _wait_listed(world, new_server.server_id)
    world.store.come_back_from(first)
    gevent.sleep(0.3)
    second = world.store.copy()
    _put(world, 2, world_module.KEY, "early")
    world.store.come_back_from(second)
    _wait_era(world, 2)
    _wait_listed(world, new_server.server_id, there=False)
    world.store.put("op", "config", _config(3, world_module.KEY))
    world.wait(lambda: world.inst.catalog.version == 3)
    world.wait(world.inst.keys_valid)


def test_pages_of_two_eras_are_not_combined():
    """A server missing from the era of the second page is not listed."""
    store = store_module.Store().start()
    store.page_rows = 2
    entry = {"service": "s", "address": "10.0.0.1:80", "zone": "a"}
    entry |= {"state": "ready", "slots": 1}
    for number in range(5):
        store.put("servers", f"s{number}", entry)
    backup = store.copy()
    store.put("servers", "s0-lost", entry)

    def restore(start):
        if start:
            store.on_page = lambda start: None
            store.come_back_from(backup)

    store.on_page = restore
    reader = store_feed.StoreFeed(address=store.address)
    batch = reader.snapshot(feed.Table.SERVERS).ok_value
    assert [item.key for item in batch.items] == [f"s{n}" for n in range(5)]
    assert batch.position == position.Position(era=1, revision=backup.ver)
    store.close()


@pytest.mark.parametrize("revision", [3, 5, 6])
def test_changes_do_not_lead_from_one_era_to_the_next(revision):
    store = store_module.Store().start()
    backup = store.copy()
    for number in range(5):
        store.put("op", f"row-{number}", {})
    store.come_back_from(backup)
    for number in range(revision):
        store.put("op", f"row-{number}", {})
    reader = store_feed.StoreFeed(address=store.address)
    known = position.Position(era=0, revision=5)
    began_s = boottime.now()
    answer = reader.changes(feed.Table.CATALOG, after=known, wait_s=0.1)
    assert answer.err_value == feed.HistoryLost()
    assert boottime.now() - began_s < 5.0
    store.close()
