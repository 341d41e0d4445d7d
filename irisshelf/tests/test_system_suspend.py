"""An instance whose machine sleeps: what it knew is older by the sleep.

Seen in a trial: the store fell silent, a second later the machine slept for six
seconds, and every request sent after that was run, under keys that had last
been confirmed seven seconds before, where five are allowed. Cause: ages were
taken from the steady clock, which does not count a sleep. Proof: the same seven
seconds awake are refused; below, the sleep alone makes the difference.
"""

import time

import pytest

from irisshelf.gateway import settings
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import server_stats

_STRICT = settings.Bounds(keys_strict=True, key_withdrawn_ms=5000.0)
_LENIENT = settings.Bounds(keys_strict=False)
# What a machine's sleep leaves as it is; all other clocks of a system count it.
_STEADY = (time.CLOCK_MONOTONIC, time.CLOCK_MONOTONIC_RAW)


@pytest.fixture
def sleep(monkeypatch):
    """Lets the machine sleep, in no time, between two steps of the test."""
    slept_s = 0.0
    get = time.clock_gettime

    def clock_gettime(which):
        return get(which) + (0.0 if which in _STEADY else slept_s)

    def fall_asleep(for_s):
        nonlocal slept_s
        slept_s += for_s

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return fall_asleep


@pytest.mark.parametrize(
    ("bounds", "mode", "slept_s", "status"),
    [
        pytest.param(_STRICT, store.Mode.SILENT, 0.5, 200, id="nap"),
        pytest.param(_STRICT, store.Mode.SILENT, 6, 503, id="strict-6-s"),
        pytest.param(_STRICT, store.Mode.SILENT, 60, 503, id="strict-60-s"),
        pytest.param(_STRICT, store.Mode.RESET, 6, 503, id="strict-reset"),
        pytest.param(_LENIENT, store.Mode.SILENT, 60, 200, id="lenient-60-s"),
        pytest.param(_LENIENT, store.Mode.SILENT, 400, 503, id="lenient-400-s"),
    ],
)
def test_keys_hold_no_longer_for_a_sleep(
    make_world, sleep, bounds, mode, slept_s, status
):
    world = make_world(bounds=bounds)
    assert world.ask("/alarm/1").status == 200
    world.store.mode = mode
    sleep(slept_s)
    assert world.ask("/alarm/1").status == status


@pytest.mark.parametrize("slept_s", [0.5, 3, 6, 60])
def test_an_instance_serves_again_once_the_store_has_confirmed(
    make_world, sleep, slept_s
):
    world = make_world(bounds=_STRICT)
    sleep(slept_s)
    world.wait(lambda: world.ask("/alarm/1").status == 200)


@pytest.mark.parametrize(
    ("target", "headers"),
    [
        pytest.param("/nowhere/1", {}, id="route"),
        pytest.param("/alarm/1", {"Authorization": "Bearer new"}, id="key"),
    ],
)
def test_nothing_is_refused_for_good_by_what_slept(
    make_world, sleep, target, headers
):
    """Routes and keys may have come meanwhile."""
    world = make_world(bounds=_LENIENT)
    world.store.mode = store.Mode.SILENT
    sleep(6)
    assert world.ask(target, **headers).status == 503


@pytest.mark.parametrize(("slept_s", "new"), [(0.5, 0), (3, 1), (60, 1)])
def test_a_connection_that_slept_takes_no_request_that_may_run_once(
    make_world, sleep, slept_s, new
):
    world = make_world(servers=1, bounds=_LENIENT)
    connects = world.inst.metrics.connects.labels("crew")
    assert world.ask("/alarm/1").status == 200
    before = connects._value.get()
    sleep(slept_s)
    assert world.ask("/alarm/1").status == 200
    assert connects._value.get() - before == new


def test_a_request_whose_time_is_over_is_ended_as_it_wakes(make_world, sleep):
    world = make_world(servers=1, bounds=_LENIENT)
    (only,) = world.plain
    only.always = server_module.Fault.SLOW
    conn = world.connect()
    headers = world.headers(b"{}", Deadline_Ms="2000", Request_Id="slept")
    conn.send("POST", "/alarm/1", headers, b"{}", timeout_s=5.0)
    world.wait(lambda: only.working)
    sleep(6)
    assert world_module.read_answer(conn).status == 504
    assert world.runs("slept") == 1


@pytest.mark.parametrize(
    ("slept_s", "told"), [(0.0, []), (0.05, []), (3, [3.0]), (60, [60.0])]
)
def test_a_sleep_is_logged_once_and_counted(make_world, sleep, slept_s, told):
    world = make_world(bounds=_LENIENT)
    lines = []
    world.inst.log.problem = lambda name, **fields: lines.append((name, fields))
    sleep(slept_s)
    for _ in range(3):
        world.ask("/alarm/1")
    found = [fields["for_s"] for name, fields in lines if name == "slept"]
    assert found == pytest.approx(told, abs=0.01)
    assert world.inst.metrics.slept._value.get() == pytest.approx(
        sum(told), abs=0.01
    )


@pytest.mark.parametrize(("slept_s", "gone"), [(0.5, False), (3, True)])
def test_a_lapsed_entry_is_not_kept_for_a_sleep(
    make_world, sleep, slept_s, gone
):
    world = make_world(bounds=_LENIENT)
    name = world.plain[0].server_id
    listed = world.follower.tables.servers
    listed.on_store_lost()
    world.store.drop("servers", name)
    world.wait(lambda: world.inst.directory._lapsed)
    sleep(slept_s)
    world.follower.tables.servers.expire(world.inst.now())
    assert (world.inst.directory.get(name) is None) is gone


@pytest.mark.parametrize(("slept_s", "left"), [(3, 0), (60, 5)])
def test_a_retry_window_passes_in_a_sleep(make_world, sleep, slept_s, left):
    world = make_world(bounds=_LENIENT)
    budget = world.inst.servers.budget("crew")
    while budget.try_take(world.inst.now()):
        pass
    sleep(slept_s)
    assert int(budget.remaining(world.inst.now())) == left


@pytest.mark.parametrize(("slept_s", "fit"), [(0.3, False), (6, True)])
def test_a_server_has_rested_in_a_sleep(make_world, sleep, slept_s, fit):
    world = make_world(bounds=_LENIENT)
    book = world.inst.servers.chooser("crew").stats
    name = world.plain[0].server_id
    for _ in range(3):
        book.record_outcome(name, server_stats.Outcome.BROKEN, world.inst.now())
    sleep(slept_s)
    assert book.is_available(name, world.inst.now()) is fit


@pytest.mark.parametrize(("slept_s", "known"), [(3, 1), (60, 0)])
def test_an_instance_that_was_not_heard_of_for_a_sleep_is_not_relied_on(
    make_world, sleep, slept_s, known
):
    world = make_world(bounds=_LENIENT, data_centres=("a", "a"))
    own = world.entries[0].roster
    sleep(slept_s)
    assert len(own.members("a", world.inst.now())) == known
