"""The store comes back from a copy of its tables that is some seconds old.

What it accepted since the copy is gone, and its revisions are given out again:
a later answer may bear a revision below, equal to or past those that instances
have seen. Whoever goes by the revision alone keeps what is gone, never sees
what is new, and takes keys for confirmed that are withdrawn.
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

# How many transactions the store accepts after its return, beside those that
# were lost, before anything is asked: the revision known is then not reached,
# just reached, or passed.
_WHERE = {"below": None, "equal": 0, "past": 5}
_PLACES = [pytest.param(more, id=name) for name, more in _WHERE.items()]


def _config(version, *keys):
    tenants = [{"name": "blue", "apiKeys": list(keys)}]
    return world_module.config(version, tenants=tenants)


def _come_back(store, copy, more):
    """Brings the store back; others' writes take it to a revision."""
    lost = store.ver - copy.ver
    store.come_back_from(copy)
    if more is not None:
        for number in range(lost + more):
            store.put("others", f"row-{number}", {})


def _listed(world, name):
    return world.inst.directory.get(name)


def _wait_listed(world, name, there=True):
    world.wait(lambda: (_listed(world, name) is not None) is there)


@pytest.fixture
def newcomer():
    made = server_module.Server(
        server_id="crew-new", service="crew", streaming=False
    ).start()
    yield made
    made.close()


@pytest.mark.parametrize("more", _PLACES)
def test_a_server_that_the_copy_lacks_and_that_is_not_back_is_gone(
    world, newcomer, more
):
    copy = world.store.copy()
    world.store.put("servers", newcomer.server_id, newcomer.entry())
    _wait_listed(world, newcomer.server_id)
    _come_back(world.store, copy, more)
    _wait_listed(world, newcomer.server_id, there=False)
    assert len(world.inst.directory.of("crew")) == 2


@pytest.mark.parametrize("more", _PLACES)
def test_a_server_that_is_written_again_is_used_all_the_while(
    world, newcomer, more
):
    copy = world.store.copy()
    world.store.put("servers", newcomer.server_id, newcomer.entry())
    _wait_listed(world, newcomer.server_id)
    _come_back(world.store, copy, more)
    gevent.sleep(0.5)
    assert _listed(world, newcomer.server_id) is not None
    world.store.put("servers", newcomer.server_id, newcomer.entry())
    _wait_era(world, 1)
    gevent.sleep(directory.LAPSE_GRACE_S + 0.3)
    assert _listed(world, newcomer.server_id) is not None


def _wait_era(world, era):
    watch = world.follower.tables.watches[feed.Table.SERVERS]
    world.wait(lambda: watch.position and watch.position.era == era)


@pytest.mark.parametrize("more", _PLACES)
def test_a_server_that_enters_after_the_return_is_used(world, newcomer, more):
    copy = world.store.copy()
    for number in range(3):
        world.store.put("servers", f"gone-{number}", newcomer.entry())
    _wait_listed(world, "gone-2")
    _come_back(world.store, copy, more)
    world.store.put("servers", newcomer.server_id, newcomer.entry())
    _wait_listed(world, newcomer.server_id)


@pytest.mark.parametrize("more", _PLACES)
@pytest.mark.parametrize("how", ["leaving", "gone"])
def test_a_server_that_has_left_gets_nothing_by_an_older_word(world, how, more):
    leaver = world.plain[0]
    copy = world.store.copy()
    if how == "leaving":
        entry = leaver.entry("draining")
        world.store.put("servers", leaver.server_id, entry)
    else:
        world.store.drop("servers", leaver.server_id)
    world.wait(lambda: not _takes_work(world, leaver))
    _come_back(world.store, copy, more)
    _wait_era(world, 1)
    assert not _takes_work(world, leaver)
    # What the store says after its return counts again.
    world.store.put("servers", leaver.server_id, leaver.entry())
    world.wait(lambda: _takes_work(world, leaver))


def _takes_work(world, one):
    listed = _listed(world, one.server_id)
    return listed is not None and listed.state is directory.ServerState.READY


@pytest.mark.parametrize("strict", [True, False])
@pytest.mark.parametrize("more", _PLACES)
def test_a_withdrawn_key_stays_withdrawn(make_world, strict, more):
    bounds = settings.Bounds(
        keys_strict=strict, key_withdrawn_ms=2500, keys_unconfirmed_s=2.5
    )
    world = make_world(bounds=bounds)
    _put(world, 2, world_module.KEY, "lost")
    copy = world.store.copy()
    _put(world, 3, world_module.KEY)
    _come_back(world.store, copy, more)
    # The copy's version 2 confirms nothing, so that keys run out.
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


@pytest.mark.parametrize("more", _PLACES)
def test_what_the_operators_write_after_the_return_is_in_force(world, more):
    copy = world.store.copy()
    for version in (2, 3, 4):
        _put(world, version, world_module.KEY)
    _come_back(world.store, copy, more)
    world.store.put("op", "config", _config(5, world_module.KEY, "new"))
    world.wait(lambda: world.inst.catalog.version == 5)
    assert world.inst.keys_valid()


@pytest.mark.parametrize("more", _PLACES)
def test_a_later_life_is_not_replaced_by_one_of_the_copy(world, more):
    """What is known of it, such as that it is cold, holds on."""
    one = world.plain[0]
    one.born_ms = 1_700_000_000_000
    world.store.put("servers", one.server_id, one.entry())
    world.wait(lambda: _listed(world, one.server_id).born_ms == one.born_ms)
    copy = world.store.copy()
    one.born_ms += 1000
    one.cold_ms = 60_000
    world.store.put("servers", one.server_id, one.entry())
    world.wait(lambda: _listed(world, one.server_id).born_ms == one.born_ms)
    _come_back(world.store, copy, more)
    _wait_era(world, 1)
    assert _listed(world, one.server_id).born_ms == one.born_ms
    assert _listed(world, one.server_id).cold_s > 50


def test_what_the_store_says_when_all_have_written_again_holds(
    world, monkeypatch
):
    """An entry that was written since may have a revision seen before."""
    monkeypatch.setattr(server_list, "_REREAD_DELAY_S", 1.0)
    one = world.plain[0]
    copy = world.store.copy()
    for _ in range(5):
        world.store.put("servers", one.server_id, one.entry("draining"))
    world.wait(lambda: not _takes_work(world, one))
    world.store.mode = store_module.Mode.BUSY
    world.store.come_back_from(copy)
    world.store.put("servers", one.server_id, one.entry())
    world.store.mode = store_module.Mode.WELL
    _wait_era(world, 1)
    world.wait(lambda: _takes_work(world, one))


def test_two_returns_within_a_second(world, newcomer):
    first = world.store.copy()
    world.store.put("servers", newcomer.server_id, newcomer.entry())
    _wait_listed(world, newcomer.server_id)
    world.store.come_back_from(first)
    gevent.sleep(0.3)
    second = world.store.copy()
    _put(world, 2, world_module.KEY, "early")
    world.store.come_back_from(second)
    _wait_era(world, 2)
    _wait_listed(world, newcomer.server_id, there=False)
    world.store.put("op", "config", _config(3, world_module.KEY))
    world.wait(lambda: world.inst.catalog.version == 3)
    world.wait(world.inst.keys_valid)


def test_pages_of_two_eras_are_not_put_together():
    """A server that had left by the second page is not in the list."""
    store = store_module.Store().start()
    store.page_rows = 2
    entry = {"service": "s", "address": "10.0.0.1:80", "zone": "a"}
    entry |= {"state": "ready", "slots": 1}
    for number in range(5):
        store.put("servers", f"s{number}", entry)
    copy = store.copy()
    store.put("servers", "s0-lost", entry)

    def come_back(start):
        if start:
            store.on_page = lambda start: None
            store.come_back_from(copy)

    store.on_page = come_back
    reader = store_feed.StoreFeed(address=store.address)
    batch = reader.whole(feed.Table.SERVERS).ok_value
    assert [item.key for item in batch.items] == [f"s{n}" for n in range(5)]
    assert batch.position == position.Position(era=1, revision=copy.ver)
    store.close()


@pytest.mark.parametrize("revision", [3, 5, 6])
def test_changes_do_not_lead_from_one_era_to_the_next(revision):
    store = store_module.Store().start()
    copy = store.copy()
    for number in range(5):
        store.put("op", f"row-{number}", {})
    store.come_back_from(copy)
    for number in range(revision):
        store.put("op", f"row-{number}", {})
    reader = store_feed.StoreFeed(address=store.address)
    known = position.Position(era=0, revision=5)
    began_s = boottime.now()
    answer = reader.changes(feed.Table.CATALOG, after=known, wait_s=0.1)
    assert answer.err_value == feed.HistoryLost()
    assert boottime.now() - began_s < 5.0
    store.close()
