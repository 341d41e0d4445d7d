"""Store failures: which data an instance keeps using, and for how long."""

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


def test_without_a_configuration_requests_are_rejected():
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


def test_a_new_configuration_is_applied(world):
    _put(world, 2, routes=[world_module.route("/new/", "safe", "crew")])
    world.wait(lambda: world.inst.catalog.version == 2)
    assert world.ask("/new/1").status == 200
    assert world.ask("/valve/1").status == 404


def test_an_older_configuration_is_ignored(world):
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


def test_a_lost_history_leads_to_a_snapshot_read(world):
    world.store.forget_history()
    _put(world, 2)
    world.wait(lambda: world.inst.catalog.version == 2)


def test_a_long_response_over_a_slow_link_does_not_time_out():
    """It may take longer than a timeout, as long as data keeps arriving."""
    world = world_module.World(configured=False)
    world.store.mode = Mode.TRICKLE
    _put(world, 1)
    world.wait(lambda: world.inst.catalog is not None)
    _put(world, 2)
    world.wait(lambda: world.inst.catalog.version == 2)
    world.close()


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_the_store_is_followed_again_after_a_failure(world, mode):
    world.store.mode = mode
    _put(world, 2)
    world.wait(lambda: not _store_up(world))
    world.store.mode = Mode.WELL
    world.wait(lambda: world.inst.catalog.version == 2)


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_keys_expire_without_confirmation_by_the_store(mode):
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
def test_keys_stay_valid_without_the_store_if_not_strict(mode):
    bounds = settings.Bounds(key_withdrawn_ms=200, keys_strict=False)
    world = world_module.World(bounds=bounds)
    world.store.mode = mode
    world.wait(lambda: not _store_up(world))
    world.wait(lambda: world.inst.freshness.age_s(world.inst.now()) > 0.2)
    assert world.ask("/alarm/1", Request_Id="late").status == 200
    assert world.inst.ready
    world.close()


def test_keys_expire_eventually_even_if_not_strict():
    bounds = settings.Bounds(keys_strict=False, keys_unconfirmed_s=3.0)
    world = world_module.World(bounds=bounds)
    world.store.mode = Mode.BUSY
    world.wait(lambda: not world.inst.keys_valid())
    assert world.ask("/alarm/1").status == 503
    assert not world.inst.ready
    world.close()


def test_a_withdrawn_key_is_rejected(world):
    _put(world, 2, tenants=[{"name": "blue", "apiKeys": ["another"]}])
    world.wait(lambda: world.inst.catalog.version == 2)
    assert world.ask("/alarm/1").status == 401


@pytest.mark.parametrize("how", ["leaving", "gone"])
def test_a_leaving_server_gets_no_more_requests(world, how):
    leaver = world.plain[0]
    if how == "leaving":
        entry = leaver.entry("draining")
        world.store.put("servers", leaver.server_id, entry)
    else:
        world.store.drop("servers", leaver.server_id)
    world.wait(lambda: not _is_ready(world, leaver))
    before = len(leaver.runs)
    answers = {world.ask("/alarm/1").status for _ in range(6)}
    assert (answers, len(leaver.runs)) == ({200}, before)


def test_entries_that_lapse_in_an_outage_are_kept_for_a_grace_period(world):
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


def test_the_grace_period_starts_when_the_store_recovers(world):
    """Not when the entry is found missing, which may be too late."""
    listed = world.follower.tables.servers
    leaver = world.plain[0]
    recovered_s = boottime.now() - 1.5
    listed.on_store_regained(recovered_s)
    gone = feed.DecodedRow(key=leaver.server_id, value=None)
    batch = feed.Batch(
        items=(gone,), position=_at(99), store_s=0.0, is_snapshot=False
    )
    listed.apply_batch(batch, boottime.now())
    assert world.inst.directory.get(leaver.server_id) is not None
    grace_end_s = recovered_s + directory.LAPSE_GRACE_S + 0.01
    assert world.inst.directory.expire(grace_end_s) == (leaver.server_id,)


def test_an_entry_found_missing_before_the_store_recovers_is_kept(world):
    """The watcher may have read the list before this instance recovers."""
    listed = world.follower.tables.servers
    leaver = world.plain[0]
    gone = directory.Change(entry_id=leaver.server_id, server=None)
    listed.on_store_lost()
    noticed_s = boottime.now()
    listed.apply_changes((gone,), _at(99), noticed_s)
    assert world.inst.directory.get(leaver.server_id) is not None
    grace_end_s = noticed_s + directory.LAPSE_GRACE_S + 0.01
    assert world.inst.directory.expire(grace_end_s) == (leaver.server_id,)


def _is_ready(world, one):
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
    world.inst.begin_stop()
    assert not world.inst.check_readiness()
    logged = [(f["ready"], f["why"]) for n, f in lines if n == "readiness"]
    assert logged == [(True, ""), (False, "stopping")]


def test_the_first_poll_after_a_failure_is_no_long_poll(world):
    """The age of the keys would be unknown until a long poll returns."""
    world.store.mode = Mode.SILENT
    world.wait(lambda: not _store_up(world))
    seen = len(world.store.asked)
    world.store.mode = Mode.WELL
    world.wait(lambda: _store_up(world))
    timeouts_ms = [
        ms for table, ms in world.store.asked[seen:] if table == "op"
    ]
    assert timeouts_ms[0] == 0


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
def test_long_polls_last_as_long_as_the_bounds_allow(table, bounds, seconds):
    assert store_timing.long_poll_s(table, settings.Bounds(**bounds)) == seconds


@pytest.mark.parametrize(
    ("table", "leaving_ms", "seconds"),
    [(_CATALOG, 2000, 0.3), (_SERVERS, 2000, 1.0), (_SERVERS, 3000, 1.5)],
)
def test_changes_are_coalesced_well_within_the_bound(
    table, leaving_ms, seconds
):
    bounds = settings.Bounds(server_leaving_ms=leaving_ms)
    assert store_timing.coalesce_s(table, bounds) == seconds


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.SILENT])
def test_an_outdated_configuration_causes_no_permanent_rejections(mode):
    """An unknown key or route is answered with 503 if it may just be new.

    Callers do not retry after 401 and 404, though another instance may know the
    key or route. The fault: an instance cut off from the store rejected keys
    and routes added five to ten seconds before, because the configuration's age
    was only considered for withdrawn keys.
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


def test_an_own_outage_does_not_extend_the_grace_period(world):
    """A removed server is dropped in time though the store is regained late.

    A reader without the store learns from its watcher that a server is gone.
    The fault: a request reached a server 3.4 s after its leaving was accepted
    (bound 3 s), because the grace period of lapsed entries, 2.2 s, was counted
    from when this instance itself regained the store.
    """
    listed = server_list.ServerList(inst=world.inst)
    name = world.plain[0].server_id
    gone = directory.Change(entry_id=name, server=None)
    listed.on_store_lost()
    listed.apply_changes((gone,), _at(10**9), 10.0)
    listed.on_store_regained(11.2)
    listed.expire(12.9)
    assert world.inst.directory.get(name) is None


def test_a_leaving_server_is_known_in_time_if_the_response_is_lost(world):
    """Only the response to the long poll for the servers is lost.

    The fault: requests reached a server ten seconds after its leaving was
    accepted. The store was silent for 0.4 s at that moment. Polls for the
    configuration were answered all the while, but the poll for the servers only
    timed out ten seconds later.
    """
    leaver = world.plain[0]
    world.wait(
        lambda: any(t == "servers" and ms for t, ms in world.store.asked)
    )
    world.store.mode = store.Mode.SILENT
    world.store.put("servers", leaver.server_id, leaver.entry("draining"))
    gevent.sleep(0.4)
    world.store.mode = store.Mode.WELL
    bound_s = world.inst.cfg.bounds.server_leaving_ms / 1000
    gevent.sleep(bound_s + 0.6)
    listed = world.inst.directory.get(leaver.server_id)
    assert listed.state is directory.ServerState.LEAVING


def test_the_list_is_followed_while_the_configuration_cannot_be_read(world):
    """Guards against a list that waits for the configuration.

    A long configuration may fail to arrive over a narrow link time and again,
    while calls for the list would be answered.
    """
    world.store.busy_tables.add("op")
    world.wait(lambda: not _store_up(world))
    bound_s = world.inst.cfg.bounds.server_leaving_ms / 1000
    leaver, gone = world.plain
    for one, entry in ((leaver, leaver.entry("draining")), (gone, None)):
        if entry is None:
            world.store.drop("servers", one.server_id)
        else:
            world.store.put("servers", one.server_id, entry)
    calls = world.store.calls
    gevent.sleep(bound_s)
    listed = world.inst.directory.get(leaver.server_id)
    assert listed.state is directory.ServerState.LEAVING
    # Both tables are polled at the pace of an outage.
    assert world.store.calls - calls < 12
    gevent.sleep(directory.LAPSE_GRACE_S)
    assert world.inst.directory.get(gone.server_id) is None


@pytest.mark.parametrize("whole", [False, True])
def test_an_older_configuration_written_late_does_not_end_confirmation(
    make_world, whole
):
    """Guards against refused callers: the store has accepted the newer one.

    Both versions are of the same era of the store, so that it was not restored
    from a backup in between.
    """
    bounds = settings.Bounds(keys_strict=True, key_withdrawn_ms=1500)
    world = make_world(bounds=bounds)
    world.store.put("op", "config", world_module.config(3))
    world.wait(lambda: world.inst.catalog.version == 3)
    world.store.put("op", "config", world_module.config(2))
    if whole:
        world.store.forget_history()
        world.store.put("others", "row", {})
    end_s = boottime.now() + 3.0
    while boottime.now() < end_s:
        gevent.sleep(0.05)
        assert world.inst.keys_valid()
    assert world.inst.catalog.version == 3
    assert world.ask("/alarm/1").status == 200
