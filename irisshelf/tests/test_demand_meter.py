"""The demand that one instance measures, and sums of several instances."""

import random

import pytest

from irisshelf.overload import demand
from irisshelf.overload import detector
from irisshelf.overload import fleet
from irisshelf.overload import meter
from irisshelf.overload import room

_TEAM = demand.team_key("t")


def _feed(measured, *, per_s, from_s, until_s, priority=0, team=_TEAM):
    """Records arrivals at a constant rate; all are admitted."""
    for number in range(round((until_s - from_s) * per_s)):
        now = from_s + number / per_s
        measured.record_arrival("s", priority, team, now)
        measured.record_admitted("s", priority, now)


@pytest.mark.parametrize("slot_time_s", [0.05, 0.25, 4.0])
@pytest.mark.parametrize("per_s", [60, 300])
def test_offered_load_is_the_slots_that_requests_would_occupy(
    slot_time_s, per_s
):
    measured = meter.DemandMeter()
    measured.record_slot_time("s", 0, slot_time_s)
    for from_s, until_s in ((0.0, 2.0), (2.0, 2.85)):
        _feed(measured, per_s=per_s, from_s=from_s, until_s=until_s)
        of_service = measured.snapshot(until_s)
        rates = of_service["s"].by_priority[0]
        expected = pytest.approx(per_s * slot_time_s, rel=0.12)
        assert rates.offered_slots == expected
        assert rates.admitted_slots == expected
        assert of_service["s"].by_team[0, _TEAM] == expected


@pytest.mark.parametrize(("before", "after"), [(50, 400), (400, 50), (0, 100)])
def test_a_step_is_complete_after_the_window(before, after):
    measured = meter.DemandMeter()
    _feed(measured, per_s=before, from_s=0.0, until_s=2.0)
    _feed(measured, per_s=after, from_s=2.0, until_s=2.5)
    offered = measured.snapshot(2.5)["s"].offered_slots
    true = after * meter.INITIAL_SLOT_TIME_S
    assert offered == pytest.approx(true, rel=0.05)


def test_demand_ends_with_the_requests():
    """Guards against counts that stay after the last request."""
    measured = meter.DemandMeter()
    _feed(measured, per_s=100, from_s=0.0, until_s=1.0)
    assert measured.snapshot(1.2)["s"].offered_slots > 0
    assert measured.snapshot(1.5) == {}


def test_priorities_have_their_own_slot_time():
    measured = meter.DemandMeter()
    assert measured.slot_time_s("s", 0) == meter.INITIAL_SLOT_TIME_S
    measured.record_slot_time("s", 0, 0.1)
    assert measured.slot_time_s("s", 0) == pytest.approx(0.1)
    # That of the service, until a request of the priority has ended.
    assert measured.slot_time_s("s", 1) == pytest.approx(0.1)
    measured.record_slot_time("s", 1, 2.0)
    assert measured.slot_time_s("s", 1) == pytest.approx(2.0)
    assert measured.slot_time_s("s", 0) == pytest.approx(0.1)


def test_the_mean_slot_time_follows_a_change():
    rng = random.Random(3)
    measured = meter.DemandMeter()
    for mean_s in (0.2, 0.6):
        for _ in range(300):
            measured.record_slot_time("s", 0, rng.expovariate(1 / mean_s))
        assert measured.slot_time_s("s", 0) == pytest.approx(mean_s, rel=0.25)


def test_results_of_requests_are_counted():
    measured = meter.DemandMeter()
    for number in range(400):
        now = number / 1000
        measured.record_arrival("s", 2, _TEAM, now)
        if number % 4:
            measured.record_rejected("s", 2, now)
        else:
            measured.record_admitted("s", 2, now)
            measured.record_begun("s", 2, now, in_time=not number % 8)
    rates = measured.snapshot(0.4)["s"].by_priority[2]
    assert rates.rejected_per_s == pytest.approx(750.0, rel=0.05)
    assert rates.begun_per_s == pytest.approx(250.0, rel=0.05)
    assert rates.in_time_per_s == pytest.approx(125.0, rel=0.05)


def _instance(offered):
    return {
        "s": demand.ServiceDemand(
            by_priority={0: demand.GroupRates(offered_slots=offered)},
            by_team={(0, _TEAM): offered},
        )
    }


def test_the_sum_of_instances():
    total = fleet.FleetDemand()
    for number in range(5):
        total.record(f"i{number}", _instance(2.0), 10.0)
    total.record("i0", _instance(4.0), 10.4)
    found = total.service("s", 10.5)
    assert found.offered_slots == pytest.approx(12.0)
    assert found.by_team[0, _TEAM] == pytest.approx(12.0)
    assert total.service("other", 10.5) == demand.ServiceDemand()


@pytest.mark.parametrize(
    ("age_s", "share"),
    [
        (0.0, 1.0),
        (fleet.FULL_WEIGHT_S, 1.0),
        ((fleet.FULL_WEIGHT_S + fleet.EXPIRY_S) / 2, 0.5),
        (fleet.EXPIRY_S, 0.0),
        (2.0, 0.0),
    ],
)
def test_an_entry_loses_its_weight_with_age(age_s, share):
    """Guards against the share of a failed instance being kept."""
    total = fleet.FleetDemand()
    total.record("ended", _instance(8.0), 10.0)
    found = total.service("s", 10.0 + age_s).offered_slots
    assert found == pytest.approx(8.0 * share)
    assert total.sources(10.0 + age_s) == ({"ended"} if share else set())


def test_entries_are_bounded_and_expired_ones_make_room():
    """Guards against memory that forged names fill."""
    total = fleet.FleetDemand()
    for number in range(fleet.MAX_ENTRIES):
        assert total.record(f"i{number}", {}, 10.0)
    assert not total.record("one more", {}, 10.1)
    assert total.record("i7", {}, 10.1)
    assert total.record("one more", {}, 10.0 + fleet.EXPIRY_S)


@pytest.mark.parametrize(("full_s", "expiry_s"), [(2.0, 1.0), (-1.0, 1.0)])
def test_weights_need_an_order_of_ages(full_s, expiry_s):
    with pytest.raises(ValueError, match="full_weight_s"):
        fleet.FleetDemand(full_weight_s=full_s, expiry_s=expiry_s)


@pytest.mark.parametrize(
    ("servers", "slots"),
    [
        ([], 0.0),
        ([(4, 1.0), (4, 1.0)], 8.0),
        ([(4, 3.0), (4, 1.0)], 4 + 4 / 3),
        ([(4, 0.5)], 8.0),
        ([(0, 1.0)], 0.0),
    ],
)
def test_slow_servers_provide_fewer_slots(servers, slots):
    found = room.available_slots(
        room.ServerCapacity(slots=count, slowdown=slowdown)
        for count, slowdown in servers
    )
    assert found == pytest.approx(slots)


@pytest.mark.parametrize("slowdown", [0.0, -1.0, float("nan")])
def test_a_slowdown_is_positive(slowdown):
    with pytest.raises(ValueError, match="slowdown"):
        room.available_slots([room.ServerCapacity(slots=4, slowdown=slowdown)])


def test_an_overload_begins_and_ends_once():
    """Guards against a log line for each fluctuation of the estimate."""
    one = detector.OverloadDetector()
    seen = []
    loads = (
        [0.9, 1.1, 0.95, 1.2] + [1.5] * 4 + [0.95, 1.1, 0.8, 0.95] + [0.7] * 4
    )
    for number, load in enumerate(loads):
        change = one.update(32 * load, 32.0, number * 0.5)
        if change:
            seen.append((change, number))
    assert seen == [(detector.Change.BEGAN, 5), (detector.Change.ENDED, 14)]


def test_an_overload_ends_when_nothing_arrives_and_no_server_is_left():
    one = detector.OverloadDetector()
    assert one.update(5.0, 0.0, 0.0) is None
    assert one.update(5.0, 0.0, 1.0) is detector.Change.BEGAN
    assert one.update(0.0, 0.0, 2.0) is None
    assert one.update(0.0, 0.0, 3.0) is detector.Change.ENDED
