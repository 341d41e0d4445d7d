"""The retry budget, and how instances share one."""

import pytest

from irisshelf.coordination import fleet_size
from irisshelf.routing import retry_budget


@pytest.mark.parametrize(("requests", "allowed"), [(0, 2), (10, 4), (100, 22)])
def test_retries_are_a_share_of_requests_and_a_little(requests, allowed):
    budget = retry_budget.RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    for _ in range(requests):
        budget.record_request(1.0)
    taken = sum(budget.try_take(1.0) for _ in range(100))
    assert taken == allowed
    assert not budget.try_take(10.9)


def test_a_window_passes():
    budget = retry_budget.RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    assert [budget.try_take(0.0) for _ in range(3)] == [True, True, False]
    assert budget.try_take(10.0)


@pytest.mark.parametrize(
    ("instances", "share"),
    [(None, 0.075), (1, 5.0), (6, 5.0), (30, 1.0), (300, 0.1)],
)
def test_the_slack_is_dealt_out_among_instances(instances, share):
    found = retry_budget.instance_slack(50.0, instances)
    assert found == pytest.approx(share)
    if instances is not None:
        assert found * instances <= 50.0


@pytest.mark.parametrize("size", [2, 30, 195, 400])
def test_a_fleet_that_starts_at_once_deals_out_no_more_than_the_slack(size):
    assert size * retry_budget.instance_slack(430.0, None) <= 430.0


@pytest.mark.parametrize("size", [10, 195, 400])
@pytest.mark.parametrize("cut_share", [0.35, 1.0])
def test_instances_that_are_cut_off_take_no_more_than_their_part(
    size, cut_share
):
    """A third of a fleet, or all, lose sight of the others for 12 s."""
    sizes = [fleet_size.FleetSize(alone=False) for _ in range(size)]
    for one in sizes:
        one.record(size, 100.0)
    for one in sizes[: int(cut_share * size)]:
        for passed_s in range(1, 12):
            one.record(1, 100.0 + passed_s)
    shares = [
        retry_budget.instance_slack(430.0, one.estimate(112.0)) for one in sizes
    ]
    assert sum(shares) <= 430.0


@pytest.mark.parametrize(
    ("heard", "now", "count"),
    [
        ([], 0.0, None),
        ([(0.0, 1)], 1.0, None),
        ([(0.0, 1), (1.0, 9)], 2.0, 9),
        ([(0.0, 9), (1.0, 5)], 2.0, 9),
        ([(0.0, 9), (1.0, 5)], 60.5, 5),
        ([(0.0, 9), (1.0, 5), (2.0, 7)], 61.5, 7),
    ],
)
def test_the_largest_count_of_the_last_minute_holds(heard, now, count):
    size = fleet_size.FleetSize(alone=False)
    for at_s, instances in heard:
        size.record(instances, at_s)
    assert size.estimate(now) == count


def test_an_instance_that_has_nobody_to_ask_is_alone_until_one_is_heard_of():
    size = fleet_size.FleetSize(alone=True)
    assert size.estimate(0.0) == 1
    size.record(3, 1.0)
    assert size.estimate(2.0) == 3
