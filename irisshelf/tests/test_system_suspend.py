"""A suspend of an instance's machine ages everything that the instance knows.

Guards against a failure seen in a trial: the store stopped responding, a second
later the machine was suspended for six seconds, and afterwards every request
was run under API keys that had last been confirmed seven seconds before, where
five are allowed. Ages had been measured by the steady clock, which does not
count a suspend. Without a suspend, requests are rejected after the same seven
seconds; in these tests, the suspend alone makes the difference.
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
# Clocks that a suspend does not advance; all others of a system count it.
_STEADY = (time.CLOCK_MONOTONIC, time.CLOCK_MONOTONIC_RAW)


@pytest.fixture
def suspend(monkeypatch):
    """Returns a function that simulates a suspend between two test steps."""
    suspended_s = 0.0
    get = time.clock_gettime

    def clock_gettime(which):
        return get(which) + (0.0 if which in _STEADY else suspended_s)

    def advance(for_s):
        nonlocal suspended_s
        suspended_s += for_s

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return advance


@pytest.mark.parametrize(
    ("bounds", "mode", "suspended_s", "status"),
    [
        pytest.param(_STRICT, store.Mode.SILENT, 0.5, 200, id="short"),
        pytest.param(_STRICT, store.Mode.SILENT, 6, 503, id="strict-6-s"),
        pytest.param(_STRICT, store.Mode.SILENT, 60, 503, id="strict-60-s"),
        pytest.param(_STRICT, store.Mode.RESET, 6, 503, id="strict-reset"),
        pytest.param(_LENIENT, store.Mode.SILENT, 60, 200, id="lenient-60-s"),
        pytest.param(_LENIENT, store.Mode.SILENT, 400, 503, id="lenient-400-s"),
    ],
)
def test_suspend_does_not_extend_the_validity_of_keys(
    make_world, suspend, bounds, mode, suspended_s, status
):
    world = make_world(bounds=bounds)
    assert world.ask("/alarm/1").status == 200
    world.store.mode = mode
    suspend(suspended_s)
    assert world.ask("/alarm/1").status == status


@pytest.mark.parametrize("suspended_s", [0.5, 3, 6, 60])
def test_instance_serves_again_after_confirmation_by_the_store(
    make_world, suspend, suspended_s
):
    world = make_world(bounds=_STRICT)
    suspend(suspended_s)
    world.wait(lambda: world.ask("/alarm/1").status == 200)


@pytest.mark.parametrize(
    ("target", "headers"),
    [
        pytest.param("/nowhere/1", {}, id="route"),
        pytest.param("/alarm/1", {"Authorization": "Bearer new"}, id="key"),
    ],
)
def test_no_permanent_rejection_based_on_data_from_before_a_suspend(
    make_world, suspend, target, headers
):
    """Routes and keys may have been added in the meantime."""
    world = make_world(bounds=_LENIENT)
    world.store.mode = store.Mode.SILENT
    suspend(6)
    assert world.ask(target, **headers).status == 503


@pytest.mark.parametrize(("suspended_s", "new"), [(0.5, 0), (3, 1), (60, 1)])
def test_non_idempotent_request_uses_new_connection_after_suspend(
    make_world, suspend, suspended_s, new
):
    world = make_world(servers=1, bounds=_LENIENT)
    connects = world.inst.metrics.connects.labels("crew")
    assert world.ask("/alarm/1").status == 200
    before = connects._value.get()
    suspend(suspended_s)
    assert world.ask("/alarm/1").status == 200
    assert connects._value.get() - before == new


def test_expired_request_is_ended_after_suspend(make_world, suspend):
    world = make_world(servers=1, bounds=_LENIENT)
    (only,) = world.plain
    only.always = server_module.Fault.SLOW
    conn = world.connect()
    headers = world.headers(b"{}", Deadline_Ms="2000", Request_Id="slept")
    conn.send("POST", "/alarm/1", headers, b"{}", timeout_s=5.0)
    world.wait(lambda: only.working)
    suspend(6)
    assert world_module.read_answer(conn).status == 504
    assert world.runs("slept") == 1


@pytest.mark.parametrize(
    ("suspended_s", "logged_s"),
    [(0.0, []), (0.05, []), (3, [3.0]), (60, [60.0])],
)
def test_suspend_is_logged_once_and_counted(
    make_world, suspend, suspended_s, logged_s
):
    world = make_world(bounds=_LENIENT)
    lines = []
    world.inst.log.warning = lambda name, **fields: lines.append((name, fields))
    suspend(suspended_s)
    for _ in range(3):
        world.ask("/alarm/1")
    found = [fields["for_s"] for name, fields in lines if name == "slept"]
    assert found == pytest.approx(logged_s, abs=0.01)
    assert world.inst.metrics.slept._value.get() == pytest.approx(
        sum(logged_s), abs=0.01
    )


@pytest.mark.parametrize(("suspended_s", "gone"), [(0.5, False), (3, True)])
def test_suspend_does_not_extend_the_grace_period_of_lapsed_entries(
    make_world, suspend, suspended_s, gone
):
    world = make_world(bounds=_LENIENT)
    name = world.plain[0].server_id
    server_table = world.follower.tables.servers
    server_table.on_store_lost()
    world.store.drop("servers", name)
    world.wait(lambda: world.inst.directory._lapsed)
    suspend(suspended_s)
    world.follower.tables.servers.expire(world.inst.now())
    assert (world.inst.directory.get(name) is None) is gone


@pytest.mark.parametrize(("suspended_s", "left"), [(3, 0), (60, 5)])
def test_retry_window_elapses_during_suspend(
    make_world, suspend, suspended_s, left
):
    world = make_world(bounds=_LENIENT)
    budget = world.inst.servers.budget("crew")
    while budget.try_take(world.inst.now()):
        pass
    suspend(suspended_s)
    assert int(budget.remaining(world.inst.now())) == left


@pytest.mark.parametrize(
    ("suspended_s", "available"), [(0.3, False), (6, True)]
)
def test_server_backoff_elapses_during_suspend(
    make_world, suspend, suspended_s, available
):
    world = make_world(bounds=_LENIENT)
    stats = world.inst.servers.chooser("crew").stats
    name = world.plain[0].server_id
    for _ in range(3):
        stats.record_outcome(
            name, server_stats.Outcome.BROKEN, world.inst.now()
        )
    suspend(suspended_s)
    assert stats.is_available(name, world.inst.now()) is available


@pytest.mark.parametrize(("suspended_s", "known"), [(3, 1), (60, 0)])
def test_membership_expires_during_suspend(
    make_world, suspend, suspended_s, known
):
    world = make_world(bounds=_LENIENT, data_centres=("a", "a"))
    membership = world.entries[0].membership
    suspend(suspended_s)
    assert len(membership.members("a", world.inst.now())) == known
