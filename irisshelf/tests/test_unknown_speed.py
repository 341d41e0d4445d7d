"""A server that is added gets its share of the requests, whatever its speed.

Guards against a new server that gets no requests, or all of them, because its
speed is unknown. Requests take any time, and callers send one after the other
or many at once.
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


_EXISTING = [_server("1"), _server("2")]
_ALL = [*_EXISTING, _server(_NEW)]


def _play(strategy, durations_s, *, until_s=10.0):
    """Sends requests one after the other; returns how many each server got."""
    rng = random.Random(3)
    chooser = server_choice.Chooser(
        data_centre="a",
        rng=rng,
        policy=policy.Policy(unknown_speed=strategy),
    )
    now = 0.0
    got = dict.fromkeys(durations_s, 0)
    while now < until_s:
        servers = _ALL if now > 1.0 else _EXISTING
        choice = chooser.choose(
            servers, prompt.Prompt(), avoid=frozenset(), now=now
        )
        name = choice.server.server_id
        chooser.stats.record_start(name, now)
        duration_s = durations_s[name] * rng.uniform(0.8, 1.25)
        now += duration_s
        chooser.stats.record_end(name, now)
        chooser.stats.record_duration(name, duration_s)
        got[name] += 1
    return got


@pytest.mark.parametrize("service_time_s", [0.002, 0.02, 0.2])
def test_an_added_server_gets_a_share(service_time_s):
    got = _play(_FASTEST, dict.fromkeys(("1", "2", _NEW), service_time_s))
    # A third is a fair share; the other two servers start a second earlier.
    assert got[_NEW] >= 0.2 * sum(got.values())


def test_with_a_fixed_time_an_added_server_gets_none_next_to_fast_ones():
    """Shows why the default strategy is needed."""
    got = _play(_FIXED, dict.fromkeys(("1", "2", _NEW), 0.002))
    assert got[_NEW] == 0


@pytest.mark.parametrize("service_time_s", [0.002, 0.02, 0.2])
def test_a_slow_added_server_gets_one_request(service_time_s):
    durations_s = {
        "1": service_time_s,
        "2": service_time_s,
        _NEW: 10 * service_time_s,
    }
    assert _play(_FASTEST, durations_s)[_NEW] == 1


def test_a_server_without_response_has_one_request_at_a_time():
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
    ("strategy", "durations_s", "in_flight", "found"),
    [
        (_FASTEST, {"1": 0.0, "2": 0.0}, {"1": 0, "2": 3}, {1.0}),
        (_FASTEST, {"1": 0.3, "2": 0.0}, {"1": 0, "2": 0}, {0.3}),
        (_FIXED, {"1": 0.0, "2": 0.0}, {"1": 0, "2": 3}, {0.02}),
    ],
)
def test_assumed_durations(strategy, durations_s, in_flight, found):
    assert (
        set(
            unknown_speed.fill_unknown(
                strategy, durations_s, in_flight
            ).values()
        )
        == found
    )
