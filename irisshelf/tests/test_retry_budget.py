"""Tests of the retry budget and its division among instances."""

import pytest

from irisshelf.coordination import fleet_size
from irisshelf.routing import retry_budget


@pytest.mark.parametrize(("requests", "allowed"), [(0, 2), (10, 4), (100, 22)])
def test_retries_are_limited_to_share_plus_slack(requests, allowed):
    budget = retry_budget.RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    for _ in range(requests):
        budget.record_request(1.0)
    taken = sum(budget.try_take(1.0) for _ in range(100))
    assert taken == allowed
    assert not budget.try_take(10.9)


def test_retries_expire_after_the_window():
    budget = retry_budget.RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    assert [budget.try_take(0.0) for _ in range(3)] == [True, True, False]
    assert budget.try_take(10.0)


@pytest.mark.parametrize(
    ("instances", "share"),
    [(None, 0.075), (1, 5.0), (6, 5.0), (30, 1.0), (300, 0.1)],
)
def test_slack_is_divided_among_instances(instances, share):
    slack = retry_budget.instance_slack(50.0, instances)
    assert slack == pytest.approx(share)
    if instances is not None:
        assert slack * instances <= 50.0


@pytest.mark.parametrize("size", [2, 30, 195, 400])
def test_fleet_that_starts_at_once_does_not_exceed_the_slack(size):
    assert size * retry_budget.instance_slack(430.0, None) <= 430.0


@pytest.mark.parametrize("size", [10, 195, 400])
@pytest.mark.parametrize("cut_share", [0.35, 1.0])
def test_partitioned_instances_do_not_exceed_the_slack(size, cut_share):
    """Guards against a larger slack per instance during a network partition.

    A third of the instances, or all, cannot see the others for 12 s.
    """
    sizes = [fleet_size.FleetSize(alone=False) for _ in range(size)]
    for member in sizes:
        member.record(size, 100.0)
    for member in sizes[: int(cut_share * size)]:
        for passed_s in range(1, 12):
            member.record(1, 100.0 + passed_s)
    shares = [
        retry_budget.instance_slack(430.0, member.estimate(112.0))
        for member in sizes
    ]
    assert sum(shares) <= 430.0


@pytest.mark.parametrize(
    ("reported", "now", "count"),
    [
        ([], 0.0, None),
        ([(0.0, 1)], 1.0, None),
        ([(0.0, 1), (1.0, 9)], 2.0, 9),
        ([(0.0, 9), (1.0, 5)], 2.0, 9),
        ([(0.0, 9), (1.0, 5)], 60.5, 5),
        ([(0.0, 9), (1.0, 5), (2.0, 7)], 61.5, 7),
    ],
)
def test_fleet_size_is_the_largest_count_of_the_last_minute(
    reported, now, count
):
    size = fleet_size.FleetSize(alone=False)
    for at_s, instances in reported:
        size.record(instances, at_s)
    assert size.estimate(now) == count


def test_instance_without_seeds_counts_one_until_it_learns_of_others():
    size = fleet_size.FleetSize(alone=True)
    assert size.estimate(0.0) == 1
    size.record(3, 1.0)
    assert size.estimate(2.0) == 3
