"""Admission by many instances, each of which sees little of the load.

Guards against instances that admit too much since they know a server only by
gossip and a few requests of their own: requests go to the homes of their
prompts. For eight seconds three times the ordinary requests arrive, from forty
teams, or one team sends two thirds of them. Request kinds, rates, times and
objectives are those of a customer with 195 instances; the capacity is 1.35
times the ordinary load. The required figures are the results of the seeds,
rounded down to the next five hundredths. If all requests are sent, at most 0.59
of the queries, 0.38 of the digests and 0.30 of the labels start in time, and
0.30 to 0.65 of a kind wait and are not served.
"""

import dataclasses

import pytest

from irisshelf.testing import busy_load
from irisshelf.testing import busy_service

# Callers wait for a third of their deadlines at most before a retry. Slots are
# occupied for the events of a response at the rate of a busy server.
_QUERY = busy_load.Kind(
    name="query",
    priority=0,
    per_s=83.1,
    place_s=1.6,
    objective_s=0.5,
    patience_s=2.4,
    returns_within_s=3.3,
)
_DIGEST = busy_load.Kind(
    name="digest",
    priority=1,
    per_s=46.4,
    place_s=2.1,
    objective_s=1.2,
    patience_s=4.8,
    returns_within_s=4.0,
)
_LABEL = busy_load.Kind(
    name="label",
    priority=2,
    per_s=71.1,
    place_s=0.15,
    objective_s=0.5,
    patience_s=2.4,
    returns_within_s=1.0,
)
_TEAMS = [f"t{number}" for number in range(40)]
_HOT = _TEAMS[0]
_SEEDS = (1, 2)
# Of the servers, as a multiple of the ordinary load.
_CAPACITY = 1.35


def _burst(at_s):
    return 3.0 if 6 <= at_s < 14 else 1.0


def _any_team(at_s, rng):
    return rng.choice(_TEAMS)


def _hot_team(at_s, rng):
    weights = [1] * len(_TEAMS)
    if 6 <= at_s < 14:
        weights[0] = 80
    return rng.choices(_TEAMS, weights)[0]


def _load(instances, team=_any_team):
    return busy_load.Load(
        kinds=(_QUERY, _DIGEST, _LABEL),
        servers=9,
        slots=36,
        queue=108,
        instances=instances,
        length_s=20.0,
        factor=_burst,
        team=team,
        subjects=873,
    )


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize(
    ("instances", "query", "digest", "label"),
    [(7, 0.7, 0.45, 0.35), (39, 0.65, 0.5, 0.4), (195, 0.65, 0.55, 0.4)],
)
def test_in_a_burst_most_requests_start_in_time_and_few_wait_unserved(
    seed, instances, query, digest, label
):
    outcome = busy_service.play(_load(instances), seed=seed)
    least = {"query": query, "digest": digest, "label": label}
    for name, seen in outcome.by_kind.items():
        assert seen.share(seen.in_time) >= least[name], name
        assert seen.share(seen.left + seen.turned_down) <= 0.03, name


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize(
    ("instances", "least"), [(7, 0.85), (39, 0.8), (195, 0.8)]
)
def test_a_team_with_two_thirds_of_the_load_does_not_crowd_out_the_others(
    seed, instances, least
):
    outcome = busy_service.play(_load(instances, _hot_team), seed=seed)
    others = [seen for team, seen in outcome.by_team.items() if team != _HOT]
    in_time = sum(seen.in_time for seen in others)
    assert in_time >= least * sum(seen.asked for seen in others)
    hot = outcome.by_team[_HOT]
    assert hot.share(hot.in_time + hot.late) >= 0.25


def _share_begun(load, seed):
    """Returns the share of requests that begin in time."""
    seen = busy_service.play(load, seed=seed).by_kind.values()
    return sum(one.in_time for one in seen) / sum(one.asked for one in seen)


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("instances", [6, 24, 68])
@pytest.mark.parametrize(
    ("of_capacity", "least"),
    [
        pytest.param(0.5, 0.95, id="half"),
        pytest.param(0.85, 0.95, id="most"),
        pytest.param(1.2, 0.75, id="too-much"),
    ],
)
def test_an_instance_with_most_of_the_load_serves_it_as_others_do(
    seed, instances, of_capacity, least
):
    """Guards against estimates that take an instance for one of N equals."""
    even = dataclasses.replace(
        _load(instances),
        factor=lambda at_s: _CAPACITY * of_capacity,
        length_s=16.0,
    )
    hot = dataclasses.replace(
        even, first_share=lambda at_s: 0.9 if at_s >= 3 else 0.0
    )
    assert _share_begun(hot, seed) >= least * _share_begun(even, seed)
