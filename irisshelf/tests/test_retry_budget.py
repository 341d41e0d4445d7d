"""The retry budget, and how instances share one."""

import pytest

from irisshelf.routing import retry_budget


@pytest.mark.parametrize(("requests", "allowed"), [(0, 2), (10, 4), (100, 22)])
def test_retries_are_a_share_of_requests_and_a_little(requests, allowed):
    budget = retry_budget.RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    for _ in range(requests):
        budget.arrived(1.0)
    taken = sum(budget.take(1.0) for _ in range(100))
    assert taken == allowed
    assert not budget.take(10.9)


def test_a_window_passes():
    budget = retry_budget.RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    assert [budget.take(0.0) for _ in range(3)] == [True, True, False]
    assert budget.take(10.0)


@pytest.mark.parametrize(
    ("instances", "share"),
    [(None, 1.0), (1, 5.0), (6, 5.0), (30, 1.0), (300, 0.1)],
)
def test_the_slack_is_dealt_out_among_instances(instances, share):
    found = retry_budget.share_of_slack(50.0, instances)
    assert found == pytest.approx(share)
    if instances is not None:
        assert found * instances <= 50.0
