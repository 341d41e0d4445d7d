"""A server is added beside others: it gets its share, whatever their speed.

The pattern: work of any length, a server that joins or has just started, and
callers who ask one after the other or many at once.
"""

import random

import pytest

from irisshelf.catalog import directory
from irisshelf.routing.direct import policy
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import unknown_speed

_FIXED, _FASTEST = unknown_speed.Strategy.FIXED, unknown_speed.Strategy.FASTEST
_NEW = "new"


def _server(name):
    return directory.BackendServer(
        server_id=name, service="s", address=name, data_centre="a", slots=6
    )


_OLD = [_server("1"), _server("2")]
_ALL = [*_OLD, _server(_NEW)]


def _play(way, takes_s, *, until_s=10.0):
    """Callers ask one after the other; returns who got what."""
    rng = random.Random(3)
    chooser = server_choice.Chooser(
        data_centre="a",
        rng=rng,
        policy=policy.Policy(unknown_speed=way),
    )
    now = 0.0
    got = dict.fromkeys(takes_s, 0)
    while now < until_s:
        servers = _ALL if now > 1.0 else _OLD
        choice = chooser.choose(
            servers, prompt.Prompt(), avoid=frozenset(), now=now
        )
        name = choice.server.server_id
        chooser.stats.record_start(name, now)
        took_s = takes_s[name] * rng.uniform(0.8, 1.25)
        now += took_s
        chooser.stats.record_end(name, now)
        chooser.stats.record_duration(name, took_s)
        got[name] += 1
    return got


@pytest.mark.parametrize("work_s", [0.002, 0.02, 0.2])
def test_a_server_that_is_added_gets_a_share(work_s):
    got = _play(_FASTEST, dict.fromkeys(("1", "2", _NEW), work_s))
    # A third is fair; the other two had a second more.
    assert got[_NEW] >= 0.2 * sum(got.values())


def test_with_a_fixed_time_it_gets_none_beside_fast_ones():
    """Kept with the way that stands, so that the reason for it is shown."""
    got = _play(_FIXED, dict.fromkeys(("1", "2", _NEW), 0.002))
    assert got[_NEW] == 0


@pytest.mark.parametrize("work_s", [0.002, 0.02, 0.2])
def test_a_slow_one_is_found_out_by_one_request(work_s):
    times_s = {"1": work_s, "2": work_s, _NEW: 10 * work_s}
    assert _play(_FASTEST, times_s)[_NEW] == 1


def test_one_that_does_not_answer_has_one_request_at_a_time():
    chooser = server_choice.Chooser(data_centre="a", rng=random.Random(1))
    for name in ("1", "2"):
        chooser.stats.record_duration(name, 0.002)
    got = []
    for _ in range(20):
        choice = chooser.choose(
            _ALL, prompt.Prompt(), avoid=frozenset(), now=1.0
        )
        got.append(choice.server.server_id)
        if choice.server.server_id == _NEW:
            chooser.stats.record_start(_NEW, 1.0)
    assert got.count(_NEW) == 1


@pytest.mark.parametrize(
    ("way", "times_s", "under_way", "found"),
    [
        (_FASTEST, {"1": 0.0, "2": 0.0}, {"1": 0, "2": 3}, {1.0}),
        (_FASTEST, {"1": 0.3, "2": 0.0}, {"1": 0, "2": 0}, {0.3}),
        (_FIXED, {"1": 0.0, "2": 0.0}, {"1": 0, "2": 3}, {0.02}),
    ],
)
def test_what_is_assumed(way, times_s, under_way, found):
    assert (
        set(unknown_speed.fill_unknown(way, times_s, under_way).values())
        == found
    )
