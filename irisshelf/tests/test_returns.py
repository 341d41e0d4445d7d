"""When rejected callers return, and how they are recognised; simulated time."""

import collections
import itertools
import math
import random

import pytest

from irisshelf.overload import admitted_rates
from irisshelf.overload import reservations
from irisshelf.overload import returns

_FINGERPRINT = bytes(16)
_DUE = reservations.State.DUE
_EARLY = reservations.State.EARLY
_UNKNOWN = reservations.State.UNKNOWN
_USED = reservations.State.USED
_MIN_S = returns.MIN_WAIT_S


def _schedule(phase=0.0):
    return returns.ReturnSchedule(draw=lambda: phase)


def _waits_s(schedule, count, **options):
    """Returns the waits of callers rejected at 0; minus the time if none."""
    waits_s = []
    for _ in range(count):
        assigned = schedule.assign(
            1, **{"remaining_s": 90.0, "rate_per_s": 4.0, "now": 0.0} | options
        )
        if isinstance(assigned, returns.Place):
            waits_s.append(assigned.due_s)
        else:
            waits_s.append(-assigned.next_s)
    return waits_s


@pytest.mark.parametrize(
    ("phase", "options", "expected_s"),
    [
        pytest.param(0.0, {}, [0.1, 0.35, 0.6], id="in-order"),
        pytest.param(0.8, {}, [0.3, 0.55, 0.8], id="shifted"),
        pytest.param(
            0.0,
            {"not_before_s": 0.5},
            [0.5, 0.75, 1.0],
            id="queue-drains-first",
        ),
        # A third of 1.5 s is 0.5 s; the next callers are told the same time.
        pytest.param(
            0.0, {"remaining_s": 1.5}, [0.1, 0.35, -0.6, -0.6], id="a-third"
        ),
        pytest.param(0.0, {"remaining_s": 0.2}, [-0.1, -0.1], id="too-late"),
        pytest.param(0.0, {"remaining_s": 0.0}, [-0.1], id="past-deadline"),
        pytest.param(0.0, {"rate_per_s": 0.0}, [-30.0, -30.0], id="no-rate"),
        pytest.param(
            0.0,
            {"rate_per_s": 0.04, "remaining_s": 900.0},
            [0.1, 25.1, -30.0],
            id="too-far-ahead",
        ),
    ],
)
def test_reservations_follow_each_other_at_the_rate(phase, options, expected_s):
    waits_s = _waits_s(_schedule(phase), len(expected_s), **options)
    assert waits_s == pytest.approx(expected_s)


@pytest.mark.parametrize("rate_per_s", [-1.0, math.inf, math.nan])
def test_an_invalid_rate_is_rejected(rate_per_s):
    with pytest.raises(ValueError, match=r"rate_per_s is .*, allowed"):
        _waits_s(_schedule(), 1, rate_per_s=rate_per_s)


def test_a_rate_that_rises_brings_the_next_reservation_forward():
    # Guards against a schedule that a moment without capacity blocks for long.
    schedule = _schedule(phase=0.5)
    assert _waits_s(schedule, 1, rate_per_s=0.001) == [-30.0]
    assert _waits_s(schedule, 1, rate_per_s=10.0) == pytest.approx([0.15])


def test_priorities_do_not_delay_each_other():
    schedule = _schedule()
    options = {"remaining_s": 90.0, "rate_per_s": 1.0, "now": 0.0}
    for _ in range(3):
        schedule.assign(2, **options)
    assert schedule.assign(0, **options).due_s == pytest.approx(_MIN_S)


def test_after_a_quiet_time_the_first_reservation_is_shifted_again():
    phases = iter([0.0, 0.5])
    schedule = returns.ReturnSchedule(draw=lambda: next(phases))
    options = {"remaining_s": 90.0, "rate_per_s": 1.0}
    schedule.assign(1, now=0.0, **options)
    assert schedule.assign(1, now=20.0, **options).due_s == pytest.approx(20.6)


_RATE_PER_S = 40.0
_REJECTED_PER_S = 200.0


def _assigned_by_second(instances, overloads):
    """Returns how many reservations all instances assign for each second.

    Args:
        instances: Number of instances; each has the same part of the rate.
        overloads: Begin and end of each overload.
    """
    rng = random.Random(5)
    schedules = [
        returns.ReturnSchedule(draw=rng.random) for _ in range(instances)
    ]
    counts = collections.Counter()
    for begin_s, end_s in overloads:
        for number in range(int((end_s - begin_s) * _REJECTED_PER_S)):
            assigned = rng.choice(schedules).assign(
                0,
                remaining_s=2.5,
                rate_per_s=_RATE_PER_S / instances,
                now=begin_s + number / _REJECTED_PER_S,
            )
            if isinstance(assigned, returns.Place):
                counts[int(assigned.due_s)] += 1
    return counts


# In the last case, half of the instances reject nothing in the first second.
@pytest.mark.parametrize(
    ("instances", "least_share"), [(1, 0.95), (8, 0.95), (64, 0.9), (400, 0.6)]
)
def test_instances_together_assign_as_much_as_the_rate(instances, least_share):
    # Guards against as many reservations for the first moment of an overload as
    # there are instances, and against few where each instance's part of the
    # rate is so small that callers would not wait for an interval.
    counts = _assigned_by_second(instances, [(0.0, 12.0)])
    assert max(counts.values()) <= 1.3 * _RATE_PER_S
    assert sum(counts.values()) >= least_share * 12 * _RATE_PER_S


@pytest.mark.parametrize("instances", [1, 8, 64])
def test_time_without_rejections_is_not_saved_up(instances):
    # Guards against a burst of reservations as one overload follows another.
    counts = _assigned_by_second(
        instances, [(n * 5.0, n * 5.0 + 2.0) for n in range(10)]
    )
    assert max(counts.values()) <= 1.5 * _RATE_PER_S


@pytest.mark.parametrize(
    ("claimed_s", "expected"),
    [
        pytest.param([0.5], [(_EARLY, 0.5)], id="early"),
        pytest.param(
            [0.1, 0.2, 0.3, 1.0],
            [(_EARLY, 0.9), (_EARLY, 0.8), (_EARLY, 0.7), (_DUE, 0.0)],
            id="early-again-and-again",
        ),
        pytest.param([0.94], [(_EARLY, 0.06)], id="just-too-early"),
        pytest.param([0.96], [(_DUE, 0.0)], id="on-time"),
        pytest.param([2.0], [(_DUE, 0.0)], id="late"),
        pytest.param([2.01], [(_UNKNOWN, 0.0)], id="too-late"),
        pytest.param([1.0, 1.0], [(_DUE, 0.0), (_USED, 0.0)], id="twice"),
    ],
)
def test_a_reservation_is_used_once_and_only_when_it_is_due(
    claimed_s, expected
):
    kept = reservations.Reservations()
    kept.record(_FINGERPRINT, 1.0, 0.0)
    claims = [kept.claim(_FINGERPRINT, at_s) for at_s in claimed_s]
    assert [claim.state for claim in claims] == [state for state, _ in expected]
    assert [claim.wait_s for claim in claims] == pytest.approx(
        [wait_s for _, wait_s in expected]
    )


@pytest.mark.parametrize(
    ("times_s", "use_s", "due_s"),
    [
        pytest.param([1.0, 5.0], None, 1.0, id="earlier-first"),
        pytest.param([5.0, 1.0], None, 1.0, id="earlier-last"),
        pytest.param([1.0, 3.0], 1.0, 3.0, id="after-use"),
    ],
)
def test_which_of_two_reservations_of_a_caller_counts(times_s, use_s, due_s):
    kept = reservations.Reservations()
    first_s, second_s = times_s
    kept.record(_FINGERPRINT, first_s, 0.0)
    now = 0.0
    if use_s is not None:
        now = use_s
        assert kept.claim(_FINGERPRINT, now).state is _DUE
    kept.record(_FINGERPRINT, second_s, now)
    claim = kept.claim(_FINGERPRINT, now)
    assert (claim.state, now + claim.wait_s) == (_EARLY, pytest.approx(due_s))
    assert len(kept) == 1


@pytest.mark.parametrize("due_s", [1.0, 1.5, 1.999])
def test_an_expired_reservation_does_not_hide_the_next_one(due_s):
    """Guards against a caller whose next reservation is not recorded.

    Reservations are removed up to a second after they have expired.
    """
    kept = reservations.Reservations()
    kept.record(_FINGERPRINT, due_s, 0.0)
    now = due_s + reservations.EXPIRY_S + 0.1
    assert kept.claim(_FINGERPRINT, now).state is _UNKNOWN
    kept.record(_FINGERPRINT, now + 0.5, now)
    assert kept.claim(_FINGERPRINT, now).state is _EARLY
    assert kept.claim(_FINGERPRINT, now + 0.5).state is _DUE
    assert len(kept) == 1


@pytest.mark.parametrize(
    "recorded_s",
    [
        # It is removed with others, up to a second after its expiry.
        pytest.param(2.5, id="expired"),
        pytest.param(2.0, id="not-used"),
        pytest.param(1.0, id="due-now"),
    ],
)
def test_a_reservation_that_is_due_does_not_hide_the_next_one(recorded_s):
    # Guards against callers that are told a time that is not kept, as the
    # reservation before has not been used here.
    kept = reservations.Reservations()
    kept.record(_FINGERPRINT, 1.0, 0.0)
    kept.record(_FINGERPRINT, 4.0, recorded_s)
    assert kept.claim(_FINGERPRINT, 4.0).state is _DUE
    assert len(kept) == 1


def _key(number):
    return number.to_bytes(16)


def test_what_is_due_last_is_dropped_first():
    # Guards against forged reservations that displace those of callers.
    kept = reservations.Reservations(limit=4)
    for number, due_s in enumerate([3.0, 1.0, 2.0, 25.0]):
        kept.record(_key(number), due_s, 0.0)
    for number in range(4, 100):
        kept.record(_key(number), 28.0, 0.0)
    kept.record(_key(100), 1.5, 0.0)
    assert len(kept) == 4
    known = [
        n
        for n in range(101)
        if kept.claim(_key(n), 0.0) != (reservations.UNKNOWN)
    ]
    assert known == [0, 1, 2, 100]


def test_expired_reservations_take_no_memory():
    kept = reservations.Reservations()
    for number in range(1000):
        kept.record(_key(number), number / 100, 0.0)
    kept.record(_key(5000), 20.0, 13.0)
    assert len(kept) == 1


@pytest.mark.parametrize(
    ("priority", "share"),
    [(0, 1.0), (1, 0.7), (2, 0.4), (3, 0.0)],
)
def test_the_admitted_rate_includes_less_urgent_requests(priority, share):
    rates = admitted_rates.AdmittedRates()
    priorities = itertools.cycle([0, 0, 0, 1, 1, 1, 2, 2, 2, 2])
    for number in range(1000):
        rates.add("s", next(priorities), number / 50)
    assert rates.per_s("s", priority, 20.0) == pytest.approx(
        50 * share, rel=0.1
    )
    assert rates.per_s("other", priority, 20.0) == 0.0
    assert rates.per_s("s", priority, 60.0) < 0.001
