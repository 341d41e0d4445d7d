"""The store's troubles: what an instance believes, and for how long."""

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import position
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import server_list
from irisshelf.gateway.knowledge import store_timing
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module
from irisshelf.store import feed

Mode = store.Mode


def _at(revision):
    return position.Position(era=0, revision=revision)


def _put(world, version, **more):
    world.store.put("op", "config", world_module.config(version, **more))


def test_without_a_configuration_nothing_is_known():
    world = world_module.World(configured=False)
    answer = world.ask("/alarm/1", Request_Id="early")
    assert (answer.status, world.inst.ready) == (503, False)
    assert world.runs("early") == 0
    assert answer.headers["connection"] == "close"
    assert 0 < float(answer.headers["retry-after"]) <= 0.3
    _put(world, 1)
    world.wait(lambda: world.inst.ready)
    assert world.ask("/alarm/1").status == 200
    world.close()


def test_a_new_configuration_comes_into_force(world):
    _put(world, 2, routes=[world_module.route("/new/", "safe", "crew")])
    world.wait(lambda: world.inst.catalog.version == 2)
    assert world.ask("/new/1").status == 200
    assert world.ask("/valve/1").status == 404


def test_an_older_configuration_does_not_come_back(world):
    _put(world, 5)
    world.wait(lambda: world.inst.catalog.version == 5)
    _put(world, 4, routes=[])
    _put(world, 6)
    world.wait(lambda: world.inst.catalog.version == 6)
    assert world.ask("/valve/1").status == 200


@pytest.mark.parametrize(
    "document",
    [
        {"version": "two"},
        {"version": 2, "routes": [{"host": "x"}]},
        {"version": 2, "routes": [], "tenants": [{"apiKeys": 3}]},
    ],
)
def test_an_unreadable_configuration_changes_nothing(world, document):
    world.store.put("op", "config", document)
    _put(world, 3)
    world.wait(lambda: world.inst.catalog.version == 3)
    assert world.ask("/valve/1").status == 200


def test_forgotten_history_is_read_anew(world):
    world.store.forget_history()
    _put(world, 2)
    world.wait(lambda: world.inst.catalog.version == 2)


def test_a_long_answer_over_a_slow_link_is_waited_for():
    """It takes longer than a short one may; only a pause ends it."""
    world = world_module.World(configured=False)
    world.store.mode = Mode.TRICKLE
    _put(world, 1)
    world.wait(lambda: world.inst.catalog is not None)
    _put(world, 2)
    world.wait(lambda: world.inst.catalog.version == 2)
    world.close()


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_after_trouble_the_store_is_followed_again(world, mode):
    world.store.mode = mode
    _put(world, 2)
    world.wait(lambda: not _store_up(world))
    world.store.mode = Mode.WELL
    world.wait(lambda: world.inst.catalog.version == 2)


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_keys_hold_no_longer_than_the_store_confirms_them(mode):
    bounds = settings.Bounds(key_withdrawn_ms=3500)
    world = world_module.World(bounds=bounds)
    world.store.mode = mode
    world.wait(lambda: not world.inst.keys_valid())
    answer = world.ask("/alarm/1", Request_Id="late")
    assert (answer.status, world.runs("late")) == (503, 0)
    assert answer.headers["connection"] == "close"
    assert not world.inst.ready
    world.store.mode = Mode.WELL
    world.wait(world.inst.keys_valid)
    assert world.ask("/alarm/1").status == 200
    world.close()


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_keys_hold_on_without_the_store_where_the_operator_allows_it(mode):
    bounds = settings.Bounds(key_withdrawn_ms=200, keys_strict=False)
    world = world_module.World(bounds=bounds)
    world.store.mode = mode
    world.wait(lambda: not _store_up(world))
    world.wait(lambda: world.inst.freshness.age_s(world.inst.now()) > 0.2)
    assert world.ask("/alarm/1", Request_Id="late").status == 200
    assert world.inst.ready
    world.close()


def test_keys_do_not_hold_for_ever_without_the_store():
    bounds = settings.Bounds(keys_strict=False, keys_unconfirmed_s=3.0)
    world = world_module.World(bounds=bounds)
    world.store.mode = Mode.BUSY
    world.wait(lambda: not world.inst.keys_valid())
    assert world.ask("/alarm/1").status == 503
    assert not world.inst.ready
    world.close()


def test_a_withdrawn_key_is_refused(world):
    _put(world, 2, tenants=[{"name": "blue", "apiKeys": ["another"]}])
    world.wait(lambda: world.inst.catalog.version == 2)
    assert world.ask("/alarm/1").status == 401


@pytest.mark.parametrize("how", ["leaving", "gone"])
def test_a_server_that_leaves_gets_nothing_more(world, how):
    leaver = world.plain[0]
    if how == "leaving":
        entry = leaver.entry("draining")
        world.store.put("servers", leaver.server_id, entry)
    else:
        world.store.drop("servers", leaver.server_id)
    world.wait(lambda: not _takes_work(world, leaver))
    before = len(leaver.runs)
    answers = {world.ask("/alarm/1").status for _ in range(6)}
    assert (answers, len(leaver.runs)) == ({200}, before)


def test_entries_that_lapse_while_the_store_is_away_are_kept_a_while(world):
    world.store.mode = Mode.BUSY
    world.wait(lambda: not _store_up(world))
    lapsed = [*world.plain, *world.engines]
    for one in lapsed:
        world.store.drop("servers", one.server_id)
    world.store.forget_history()
    world.store.mode = Mode.WELL
    world.wait(lambda: _store_up(world))
    assert world.ask("/alarm/1").status == 200
    back = world.plain[0]
    world.store.put("servers", back.server_id, back.entry())
    world.wait(lambda: len(world.inst.directory.servers()) == 1)
    assert world.inst.directory.get(back.server_id) is not None
    assert world.ask("/alarm/1").status == 200


def test_a_lapses_time_runs_from_the_stores_return(world):
    """Not from when the entry is missed: it may be gone for good by then."""
    listed = world.follower.tables.servers
    leaver = world.plain[0]
    back_s = boottime.now() - 1.5
    listed.on_store_regained(back_s)
    gone = feed.Item(key=leaver.server_id, value=None)
    batch = feed.Batch(
        items=(gone,), position=_at(99), store_s=0.0, whole=False
    )
    listed.apply_batch(batch, boottime.now())
    assert world.inst.directory.get(leaver.server_id) is not None
    end_s = back_s + directory.LAPSE_GRACE_S + 0.01
    assert world.inst.directory.expire(end_s) == (leaver.server_id,)


def test_an_entry_that_is_missed_before_the_stores_return_is_kept(world):
    """The watcher may tell of it first: it has read the list already."""
    listed = world.follower.tables.servers
    leaver = world.plain[0]
    gone = directory.Change(entry_id=leaver.server_id, server=None)
    listed.on_store_lost()
    missed_s = boottime.now()
    listed.apply_changes((gone,), _at(99), missed_s)
    assert world.inst.directory.get(leaver.server_id) is not None
    end_s = missed_s + directory.LAPSE_GRACE_S + 0.01
    assert world.inst.directory.expire(end_s) == (leaver.server_id,)


def _takes_work(world, one):
    listed = world.inst.directory.get(one.server_id)
    return listed is not None and listed.state.value == "ready"


def _store_up(world):
    registry = world.inst.metrics.registry
    return registry.get_sample_value("irisshelf_store_up") == 1


def test_a_change_of_readiness_is_logged_once_with_its_reason(
    world, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        world.inst.log,
        "instance",
        lambda name, **fields: lines.append((name, fields)),
    )
    assert [world.inst.check_readiness() for _ in range(2)] == [True, True]
    world.inst.stopping_since_s = world.inst.now()
    assert not world.inst.check_readiness()
    told = [(f["ready"], f["why"]) for n, f in lines if n == "readiness"]
    assert told == [(True, ""), (False, "stopping")]


def test_after_trouble_the_store_is_asked_for_what_it_knows_now(world):
    """A held call would leave the age of the keys in doubt as long as it is."""
    world.store.mode = Mode.SILENT
    world.wait(lambda: not _store_up(world))
    seen = len(world.store.asked)
    world.store.mode = Mode.WELL
    world.wait(lambda: _store_up(world))
    holds = [ms for table, ms in world.store.asked[seen:] if table == "op"]
    assert holds[0] == 0


_CATALOG, _SERVERS = feed.Table.CATALOG, feed.Table.SERVERS


@pytest.mark.parametrize(
    ("table", "bounds", "seconds"),
    [
        pytest.param(_CATALOG, {}, 2.0, id="in-force-bound"),
        pytest.param(
            _CATALOG, {"catalog_in_force_ms": 3000}, 2.0, id="keys-age"
        ),
        pytest.param(
            _CATALOG,
            {"catalog_in_force_ms": 3000, "keys_strict": False},
            3.0,
            id="keys-may-age",
        ),
        pytest.param(
            _CATALOG,
            {"catalog_in_force_ms": 60_000, "keys_strict": False},
            10.0,
            id="history-bound",
        ),
        pytest.param(_SERVERS, {}, 1.8, id="leaving-bound"),
        pytest.param(
            _SERVERS,
            {"server_leaving_ms": 60_000},
            10.0,
            id="servers-history-bound",
        ),
    ],
)
def test_calls_are_held_as_long_as_the_bounds_allow(table, bounds, seconds):
    assert store_timing.long_poll_s(table, settings.Bounds(**bounds)) == seconds


@pytest.mark.parametrize(
    ("table", "leaving_ms", "seconds"),
    [(_CATALOG, 2000, 0.3), (_SERVERS, 2000, 1.0), (_SERVERS, 3000, 1.5)],
)
def test_changes_are_gathered_well_within_the_bound(table, leaving_ms, seconds):
    bounds = settings.Bounds(server_leaving_ms=leaving_ms)
    assert store_timing.coalesce_s(table, bounds) == seconds


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_nobody_is_refused_for_good_by_what_may_be_out_of_date(mode):
    """A caller does not repeat after 401 and 404; another instance may serve.

    Seen where an instance that had been cut off refused keys and routes that
    had been added five to ten seconds before, and logged that very age. Cause:
    the age of the configuration was looked at for withdrawn keys alone.
    """
    bounds = settings.Bounds(catalog_in_force_ms=300, keys_strict=False)
    world = world_module.World(bounds=bounds)
    world.store.mode = mode
    world.wait(lambda: world.inst.freshness.age_s(world.inst.now()) > 1.5)
    for target, key in (("/added/1", world_module.KEY), ("/alarm/1", "added")):
        answer = world.ask(target, Authorization=f"Bearer {key}")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) <= 5.0
        assert answer.headers["connection"] == "close"
    assert world.ask("/alarm/1").status == 200
    world.store.mode = Mode.WELL
    world.wait(lambda: _store_up(world))
    world.wait(lambda: world.ask("/added/1").status == 404)
    assert world.ask("/alarm/1", Authorization="Bearer added").status == 401
    world.close()


def test_an_entry_that_ended_is_not_kept_past_the_bound_for_ones_own_outage(
    world,
):
    """A reader without the store hears by its watcher that a server has gone.

    Seen: a request reached a server 3.4 s after its leaving was accepted (bound
    3 s). The grace for lapsed entries, 2.2 s, does not end before as much time
    has passed since this instance itself has the store again, however long the
    store was back by then.
    """
    listed = server_list.ServerList(inst=world.inst)
    name = world.plain[0].server_id
    gone = directory.Change(entry_id=name, server=None)
    listed.on_store_lost()
    listed.apply_changes((gone,), _at(10**9), 10.0)
    listed.on_store_regained(11.2)
    listed.expire(12.9)
    assert world.inst.directory.get(name) is None


def test_a_leaving_is_known_in_time_though_the_answer_that_tells_it_is_lost(
    world,
):
    """The held call on the servers is answered into nothing, and no other is.

    Seen: requests reached a server ten seconds after its leaving was accepted.
    The store was silent for 0.4 s just then; it answered the call on the
    configuration all the while, and the one on the servers was waited for for
    ten seconds more before it was taken for lost.
    """
    one = world.plain[0]
    world.wait(
        lambda: any(t == "servers" and ms for t, ms in world.store.asked)
    )
    world.store.mode = store.Mode.SILENT
    world.store.put("servers", one.server_id, one.entry("draining"))
    gevent.sleep(0.4)
    world.store.mode = store.Mode.WELL
    bound_s = world.inst.cfg.bounds.server_leaving_ms / 1000
    gevent.sleep(bound_s + 0.6)
    listed = world.inst.directory.get(one.server_id)
    assert listed.state is directory.ServerState.LEAVING
