"""Answers of the store that are older than what it is known to have had.

A replica that lags may answer after the store has lost its history. Guards
against a list that takes back what is known, against keys that such an answer
confirms, and against an instance that never accepts a store that has lost its
state.
"""

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.catalog import position
from irisshelf.coordination import table_watch
from irisshelf.gateway import settings
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import store as store_module
from irisshelf.store import feed

_STRICT = settings.Bounds(
    keys_strict=True, key_withdrawn_ms=2500, keys_unconfirmed_s=2.5
)


def _at(revision, era=0):
    return position.Position(era=era, revision=revision)


@pytest.mark.parametrize(
    ("seen", "at_s", "latest"),
    [
        pytest.param([], 9.0, None, id="nothing"),
        pytest.param([(1.0, _at(5))], 0.5, None, id="before-the-first"),
        pytest.param([(1.0, _at(5))], 1.0, _at(5), id="at-that-time"),
        pytest.param([(1.0, _at(5)), (2.0, _at(4))], 9.0, _at(5), id="older"),
        pytest.param([(1.0, _at(5)), (2.0, _at(8))], 1.5, _at(5), id="between"),
        pytest.param(
            [(1.0, _at(5)), (2.0, _at(1, era=1))], 9.0, _at(1, era=1), id="era"
        ),
        pytest.param(
            [(1.0, _at(5)), (50.0, _at(8))], 45.0, _at(5), id="long-unchanged"
        ),
        pytest.param(
            [(1.0, _at(5)), (2.0, _at(6)), (50.0, _at(8))],
            1.5,
            None,
            id="forgotten",
        ),
    ],
)
def test_latest_known_position(seen, at_s, latest):
    positions = position.SeenPositions(known_s=20.0)
    for seen_s, found in seen:
        positions.record(found, seen_s)
    assert positions.latest_at(at_s) == latest


def test_a_whole_table_is_read_again_at_once_only_after_changes():
    watch = table_watch.TableWatch()
    assert watch.record_history_lost()
    watch.record_response(_at(5), 1.0, whole=True)
    assert not watch.record_history_lost()
    watch.record_response(_at(5), 2.0, whole=True)
    watch.record_response(_at(6), 3.0, whole=False)
    assert watch.record_history_lost()


def _lag(world, copy):
    """Makes a lagging replica answer calls for whole tables, as it was."""
    world.store.lagging = copy
    world.store.forget_history()
    world.store.put("others", "row", {})


def _listed_state(world, one):
    listed = world.inst.directory.get(one.server_id)
    return None if listed is None else listed.state


def _leave(world, one):
    world.store.put("servers", one.server_id, one.entry("draining"))
    leaving = directory.ServerState.LEAVING
    world.wait(lambda: _listed_state(world, one) is leaving)


def test_the_list_is_kept_until_an_answer_is_current(world):
    one = world.plain[0]
    copy = world.store.copy()
    _leave(world, one)
    _lag(world, copy)
    calls = world.store.calls
    gevent.sleep(2.0)
    assert _listed_state(world, one) is directory.ServerState.LEAVING
    assert 4 <= world.store.calls - calls < 40
    world.store.lagging = None
    world.store.drop("servers", one.server_id)
    world.wait(lambda: _listed_state(world, one) is None)


def test_keys_are_not_confirmed_by_a_replica_that_lags(make_world):
    """Its configuration is the known one, but may have been replaced."""
    world = make_world(bounds=_STRICT)
    copy = world.store.copy()
    _leave(world, world.plain[0])
    world.wait(world.inst.keys_valid)
    _lag(world, copy)
    gevent.sleep(2.5)
    assert not world.inst.keys_valid()
    world.store.lagging = None
    world.wait(world.inst.keys_valid)


def test_an_instance_that_starts_uses_an_older_list(make_world):
    """It knows nothing newer of this table; changes lead on from there."""
    world = make_world(data_centres=("a",))
    one = world.plain[0]
    copy = world.store.copy()
    _leave(world, one)
    world.store.lagging = copy
    started = world.add_entry("a")
    world.wait(lambda: started.inst.ready)
    world.wait(
        lambda: (
            started.inst.directory.get(one.server_id).state
            is directory.ServerState.LEAVING
        )
    )


def test_a_store_that_has_lost_its_state_is_accepted_in_the_end(
    world, monkeypatch
):
    monkeypatch.setattr(table_watch, "_OUTDATED_LIMIT_S", 1.0)
    one = world.plain[0]
    copy = world.store.copy()
    for each in (one, *world.engines):
        _leave(world, each)
    world.store.come_back_from(copy, same_era=True)
    gevent.sleep(0.5)
    assert _listed_state(world, one) is directory.ServerState.LEAVING
    world.wait(lambda: _listed_state(world, one) is directory.ServerState.READY)
    # What the server itself has announced stays known.
    assert world.inst.eligible.is_leaving(
        world.inst.directory.get(one.server_id)
    )
    outdated = _outdated_answers(world)
    world.store.drop("servers", one.server_id)
    world.wait(lambda: _listed_state(world, one) is None)
    assert _outdated_answers(world) == outdated > 0


def _outdated_answers(world):
    registry = world.inst.metrics.registry
    name = "irisshelf_store_calls_total"
    labels = [{"table": t.value, "result": "outdated"} for t in feed.Table]
    return sum(registry.get_sample_value(name, one) or 0 for one in labels)


def test_a_list_read_in_several_attempts_is_as_old_as_its_first_page():
    """Guards against a long list that a slow link never completes."""
    store = store_module.Store().start()
    store.page_rows = 2
    for number in range(5):
        store.put("servers", f"s{number}", {})
    reader = store_feed.StoreFeed(address=store.address)
    failed = []

    def fail_once(start):
        if start and not failed:
            failed.append(start)
            store.mode = store_module.Mode.BUSY

    store.on_page = fail_once
    assert reader.snapshot(feed.Table.SERVERS).is_err()
    store.mode = store_module.Mode.WELL
    seen = position.SeenPositions(known_s=20.0)
    store.put("op", "row", {})
    seen.record(_at(store.ver), reader._begun[feed.Table.SERVERS].began_s + 9.0)
    batch = reader.snapshot(feed.Table.SERVERS).ok_value
    assert batch.position < _at(store.ver)
    assert seen.latest_at(batch.began_s) is None
    store.close()
