"""Backoffs of servers of a busy service, single ones and series.

Four servers have capacity for a sixth more than the load. One of them, then
several, reject all requests for three seconds and ask for a backoff of that
time. Guards against overload of the others, which have to take over that share,
and against all instances returning to a server at the same moment.
"""

import pytest

from irisshelf.testing import busy_load
from irisshelf.testing import busy_service

_KIND = busy_load.Kind(
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
# Without recovery, backoffs continue until the load ends.
_QUIET_S = 10.0
# Requests that one instance may send half a second or more after it was told.
_ALLOWED_IN_A_BACKOFF = 2


def _load(backoffs, *, rests_when_full=False):
    return busy_load.Load(
        kinds=(_KIND,),
        servers=4,
        slots=4,
        queue=6,
        instances=6,
        length_s=30.0,
        callers_return=True,
        rest_s=3.0,
        rests=backoffs,
        rests_when_full=rests_when_full,
    )


def _in_time(outcome):
    seen = outcome.by_kind["query"]
    return seen.share(seen.in_time)


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("backoffs", [_ONE, _SERIES], ids=["one", "series"])
def test_the_others_serve_during_a_backoff(backoffs, seed):
    load = _load(backoffs)
    heeding = busy_service.play(load, seed=seed)
    not_heeding = busy_service.play(load, seed=seed, heeding=False)
    assert heeding.most_in_a_rest <= _ALLOWED_IN_A_BACKOFF
    assert _in_time(heeding) > _in_time(not_heeding)
    # The others have capacity for nine tenths of the load.
    assert _in_time(heeding) >= 0.9


@pytest.mark.parametrize("seed", _SEEDS)
def test_a_backoff_does_not_cause_further_ones(seed):
    """Full servers ask for a backoff too, and the others get more load.

    Guards against instances that all send to the server with the lowest report.
    """
    outcome = busy_service.play(_load(_ONE, rests_when_full=True), seed=seed)
    assert sum(outcome.rests) == len(_ONE)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("backoffs", [_ONE, _ALL], ids=["one", "all"])
def test_a_service_recovers_after_backoffs(backoffs, seed):
    """Guards against backoffs that recur as returning servers fill at once."""
    load = _load(backoffs, rests_when_full=True)
    outcome = busy_service.play(load, seed=seed)
    assert outcome.last_rest_s <= load.length_s - _QUIET_S


@pytest.mark.parametrize("seed", _SEEDS)
def test_callers_are_rejected_at_once_if_all_servers_back_off(seed):
    load = _load(_ALL)
    outcome = busy_service.play(load, seed=seed)
    assert outcome.most_in_a_rest <= _ALLOWED_IN_A_BACKOFF
    assert outcome.by_kind["query"].refused > 0
