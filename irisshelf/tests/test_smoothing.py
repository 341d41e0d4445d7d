"""Smoothing of successive estimates of demand."""

import pytest

from irisshelf.overload import demand
from irisshelf.overload import smoothing

_LISTED = 32


def _estimate(teams, offered=100.0):
    rates = demand.GroupRates(offered_slots=offered, begun_per_s=400.0)
    return demand.ServiceDemand(
        by_priority={1: rates},
        by_team={(1, demand.team_key(t)): offered / 64 for t in teams},
    )


@pytest.mark.parametrize("team_count", [_LISTED, 100, 5000])
def test_teams_that_are_no_longer_listed_are_forgotten(team_count):
    """Guards against demand that grows by each team that was ever listed.

    Which teams are among those with the largest demand changes by chance.
    """
    smoothed = _estimate([])
    for number in range(500):
        first = number * _LISTED
        teams = [
            str((first + offset) % team_count) for offset in range(_LISTED)
        ]
        smoothed = smoothing.smooth(smoothed, _estimate(teams))
    assert len(smoothed.by_team) <= min(team_count, 10 * _LISTED)
    assert smoothed.offered_slots == pytest.approx(100.0)
    # The teams that are listed now keep at least half of their load.
    for team in teams:
        assert smoothed.by_team[1, demand.team_key(team)] >= 50.0 / 64


def test_a_small_team_is_kept_while_it_is_listed():
    small = demand.team_key("small")
    rates = demand.GroupRates(offered_slots=100.0, begun_per_s=400.0)
    estimate = demand.ServiceDemand(
        by_priority={1: rates}, by_team={(1, small): 0.001}
    )
    assert smoothing.smooth(estimate, estimate) == estimate


@pytest.mark.parametrize(
    ("before", "latest", "expected"),
    [
        pytest.param(100.0, 104.0, 102.0, id="chance"),
        pytest.param(100.0, 150.0, 150.0, id="rise"),
        pytest.param(100.0, 0.0, 0.0, id="end"),
    ],
)
def test_a_change_that_chance_does_not_explain_is_taken_at_once(
    before, latest, expected
):
    smoothed = smoothing.smooth(_estimate([], before), _estimate([], latest))
    assert smoothed.offered_slots == pytest.approx(expected)
