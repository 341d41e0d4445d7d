"""Servers of a busy service that ask for rest, once and in series.

The pattern: a service of four servers that bears a sixth more than what comes;
one of them, then several, turn all away for three seconds and ask for it. The
others have to bear its share, and at the end of a rest all instances could come
back to it in the same moment.
"""

import pytest

from irisshelf.testing import busy_service

_KIND = busy_service.Kind(
    name="query",
    priority=0,
    per_s=100.0,
    place_s=0.1,
    objective_s=0.4,
    patience_s=2.0,
    returns_within_s=1.0,
)
_SEEDS = range(5)
_ONE = ((3.0, 0),)
_ALL = tuple((3.0, number) for number in range(4))
_SERIES = tuple((3.0 + 4.0 * n, n % 2) for n in range(6))
# Without recovery, rests go on until the load ends.
_CALM_S = 10.0
# Of one instance, half a second after it was told or later.
_ALLOWED_IN_A_REST = 2


def _load(rests, *, rests_when_full=False):
    return busy_service.Load(
        kinds=(_KIND,),
        servers=4,
        slots=4,
        queue=6,
        instances=6,
        length_s=30.0,
        callers_return=True,
        rest_s=3.0,
        rests=rests,
        rests_when_full=rests_when_full,
    )


def _in_time(outcome):
    seen = outcome.by_kind["query"]
    return seen.share(seen.in_time)


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("rests", [_ONE, _SERIES], ids=["one", "series"])
def test_the_others_serve_while_one_rests(rests, seed):
    load = _load(rests)
    heeding = busy_service.play(load, seed=seed)
    not_heeding = busy_service.play(load, seed=seed, heeding=False)
    assert heeding.most_in_a_rest <= _ALLOWED_IN_A_REST
    assert _in_time(heeding) > _in_time(not_heeding)
    # The others bear nine tenths of what comes.
    assert _in_time(heeding) >= 0.9


@pytest.mark.parametrize("seed", _SEEDS)
def test_a_rest_does_not_bring_about_the_next_ones(seed):
    """Servers that are full ask for rest as well, as the others bear more.

    Guards against instances that all send to the server of the lowest report.
    """
    outcome = busy_service.play(_load(_ONE, rests_when_full=True), seed=seed)
    assert sum(outcome.rests) == len(_ONE)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("rests", [_ONE, _ALL], ids=["one", "all"])
def test_a_service_whose_servers_have_rested_recovers(rests, seed):
    """Guards against rests that go on as returning servers fill up at once."""
    load = _load(rests, rests_when_full=True)
    outcome = busy_service.play(load, seed=seed)
    assert outcome.last_rest_s <= load.length_s - _CALM_S


@pytest.mark.parametrize("seed", _SEEDS)
def test_when_all_rest_callers_are_refused_at_once(seed):
    load = _load(_ALL)
    outcome = busy_service.play(load, seed=seed)
    assert outcome.most_in_a_rest <= _ALLOWED_IN_A_REST
    assert outcome.by_kind["query"].refused > 0
