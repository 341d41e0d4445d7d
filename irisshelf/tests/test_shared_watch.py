"""A data centre whose instances share one watch on the store.

Guards against missed bounds of ``settings.Bounds`` and underestimated ages of
data. The simulation runs the real decision code of forty instances in virtual
time, with a simulated store and datagrams. Configurations and servers change at
any time, while instances, the watcher above all, freeze, are killed or are cut
off, datagrams are delayed, duplicated or lost, and the store is unavailable,
loses its history or is restored from a backup. Calls to the store are counted.
"""

import pytest

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import shared_watch
from irisshelf.coordination import table_watch
from irisshelf.gateway import settings
from irisshelf.tests import watch_simulation

_Role = shared_watch.Role
_Verdict = shared_watch.Verdict
_at = watch_simulation.at
_LARGE = settings.Bounds(catalog_in_force_ms=4000, server_leaving_ms=4000)
_TIGHT = settings.Bounds(catalog_in_force_ms=2000, server_leaving_ms=2000)


@pytest.mark.parametrize("bounds", [_LARGE, _TIGHT], ids=["large", "tight"])
@pytest.mark.parametrize("seed", range(12))
def test_bounds_are_met_and_ages_not_underestimated_under_faults(seed, bounds):
    sim = watch_simulation.Simulation(seed=seed, bounds=bounds)
    sim.run_to(8.0)
    servers = [sim.serve() for _ in range(5)]
    while sim.now < 120.0:
        sim.run_to(sim.now + sim.rng.expovariate(2.0))
        event = sim.rng.random()
        if event < 0.3:
            sim.configure()
        elif event < 0.6:
            servers.append(sim.serve())
        elif event < 0.85:
            sim.retire(servers.pop(sim.rng.randrange(len(servers))))
            servers.append(sim.serve())
        else:
            sim.inject_fault()
    sim.run_to(sim.now + 15.0)


@pytest.mark.parametrize("kind", ["freeze", "kill", "disconnect", "isolate"])
@pytest.mark.parametrize("bounds", [_LARGE, _TIGHT], ids=["large", "tight"])
def test_change_right_after_loss_of_the_watcher_meets_its_bound(kind, bounds):
    sim = watch_simulation.Simulation(seed=1, bounds=bounds, loss=0.0)
    sim.run_to(8.0)
    server = sim.serve()
    sim.run_to(12.0)
    sim.inject(kind, sim.watcher(), 9.0)
    sim.configure()
    sim.retire(server)
    sim.run_to(40.0)


@pytest.mark.parametrize("bounds", [_LARGE, _TIGHT], ids=["large", "tight"])
def test_readers_add_few_calls_to_those_of_the_watcher(bounds):
    """Standalone, the forty make 0.6 calls a second each, 1,440 a minute."""
    sim = watch_simulation.Simulation(seed=2, bounds=bounds)
    sim.run_to(10.0)
    before = sim.store.calls
    sim.run_to(70.0)
    watcher_calls = 2 * 60.0 / sim.timing.long_poll_s
    assert sim.store.calls - before < 1.3 * watcher_calls
    assert watcher_calls <= 240


@pytest.mark.parametrize(
    ("others", "role"),
    [(0, _Role.STANDALONE), (6, _Role.STANDALONE), (7, None), (40, None)],
)
def test_few_instances_poll_on_their_own(others, role):
    names = [f"n{number}" for number in range(others + 1)]
    roles = []
    for name in names:
        own = membership_module.Member(name=name, address=name, data_centre="a")
        membership = membership_module.Membership(own=own)
        for other in names:
            member = membership_module.Member(
                name=other, address=other, data_centre="a"
            )
            membership.record_alive(member, 0.0)
        roles.append(shared_watch.role(membership, 1.0))
    if role is not None:
        assert set(roles) == {role}
    else:
        assert sorted(roles) == [_Role.READER] * others + [_Role.WATCHER]


@pytest.mark.parametrize(
    ("known", "verdict"),
    [
        (None, _Verdict.FETCH),
        (_at(9), _Verdict.FETCH),
        (_at(10), _Verdict.APPLY),
        (_at(15), _Verdict.APPLY),
        (_at(20), _Verdict.CURRENT),
        (_at(25), _Verdict.CURRENT),
        # The update is from era 1, the known position from era 0 or 2.
        (_at(9, era=0), _Verdict.FETCH),
        (_at(15, era=0), _Verdict.FETCH),
        (_at(20, era=0), _Verdict.FETCH),
        (_at(25, era=0), _Verdict.FETCH),
        (_at(9, era=2), _Verdict.STALE),
        (_at(20, era=2), _Verdict.STALE),
        (_at(25, era=2), _Verdict.STALE),
    ],
)
def test_servers_update_is_applied_only_without_a_gap(known, verdict):
    update = shared_watch.ServersUpdate(
        store_s=1.0,
        since=_at(10),
        position=_at(20),
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
def test_classification_of_catalog_updates(known, stored, verdict):
    update = shared_watch.CatalogUpdate(
        store_s=1.0, version=7, position=_at(20)
    )
    assert (
        shared_watch.classify_catalog_update(update, known, stored) is verdict
    )


def test_change_log_is_bounded_and_reports_its_start():
    log = shared_watch.ChangeLog()
    log.reset(_at(5))
    for number in range(30):
        change = watch_simulation.change(f"s{number}", True)
        log.append((change,), _at(6 + number), float(number) / 10)
    update = log.build_update(1.0, 3.0)
    since = _at(35 - len(update.changes))
    assert (update.since, update.position) == (since, _at(35))
    assert 0 < len(update.changes) <= 16
    assert log.build_update(1.0, 60.0).changes == ()
    assert log.build_update(1.0, 60.0).since == _at(35)


def test_position_advancing_without_changes_leaves_no_gap():
    """Each new configuration advances the position.

    This used to make all readers poll the store.
    """
    log = shared_watch.ChangeLog()
    log.reset(_at(5))
    log.append((), _at(9), 0.0)
    assert shared_watch.classify_servers_update(
        log.build_update(1.0, 0.1), _at(5)
    ) is (_Verdict.APPLY)
    log.append((watch_simulation.change("s1", True),), _at(12), 1.0)
    for now in (1.1, 60.0):
        update = log.build_update(1.0, now)
        ids = [change.entry_id for change in update.changes]
        known = _at(9) if ids else _at(12)
        assert shared_watch.classify_servers_update(update, known) is (
            _Verdict.APPLY if ids else _Verdict.CURRENT
        )
        behind = _Verdict.APPLY if ids else _Verdict.FETCH
        assert shared_watch.classify_servers_update(update, _at(5)) is behind


def test_version_missing_from_a_response_forces_a_snapshot():
    watch = table_watch.TableWatch()
    watch.record_response(_at(30), 1.0, whole=True)
    watch.record_update(2.0, _at(29), _Verdict.FETCH)
    assert watch.position is None


@pytest.mark.parametrize("revision", [10, 30, 50])
def test_new_era_forces_a_snapshot(revision):
    watch = table_watch.TableWatch()
    watch.record_response(_at(30, era=0), 1.0, whole=True)
    watch.record_update(2.0, _at(revision, era=1), _Verdict.FETCH)
    assert watch.position is None
    # The response to a call in flight contains changes of the previous era.
    assert not watch.record_response(_at(60, era=0), 2.1, whole=False)
    assert not watch.record_response(_at(60, era=0), 2.2, whole=True)
    assert watch.position is None
    assert watch.record_response(_at(revision, era=1), 2.3, whole=True)
    watch.record_update(2.4, _at(70, era=0), _Verdict.FETCH)
    assert watch.position == _at(revision, era=1)


def test_changes_after_history_loss_are_ignored():
    watch = table_watch.TableWatch()
    watch.record_response(_at(30), 1.0, whole=True)
    watch.record_history_lost()
    assert not watch.record_response(_at(31), 1.1, whole=False)
    assert watch.position is None


@pytest.mark.parametrize(
    ("announced", "advanced", "suffice"),
    [
        pytest.param(35, 35, True, id="caught-up"),
        pytest.param(35, 40, True, id="beyond"),
        pytest.param(40, 35, False, id="still-behind"),
    ],
)
def test_a_reader_that_an_update_brings_up_to_date_does_not_poll(
    announced, advanced, suffice
):
    """Guards against readers that read a configuration again from the store.

    The watcher announces a position while an older snapshot is in transit, and
    then that this snapshot is what the store has at the announced position.
    """
    watch = table_watch.TableWatch()
    watch.record_update(1.0, _at(announced), _Verdict.FETCH)
    assert watch.record_relayed_table(_at(30), 1.1)
    watch.record_update(1.2, _at(advanced), _Verdict.CURRENT)
    watch.advance_to(_at(advanced))
    timing = shared_watch.timing(4.0)
    until_s = watch.updates_suffice_until_s(shared_watch.Role.READER, timing)
    assert (until_s > 1.2) is suffice
