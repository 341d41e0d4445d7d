"""Slowdowns that servers report: estimates, and the choice of a server.

The service is a customer's: eight plain servers that answer in 0.25 s, and 24
instances. Seven tenths of the requests were answered in time while servers were
slow in turn, and servers that were slow for good got a quarter of the requests
that they sustain.
"""

import itertools
import random

import pytest

from irisshelf.catalog import directory
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import ranking
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats
from irisshelf.routing.direct import slowdown as slowdown_module
from irisshelf.testing import busy_load
from irisshelf.testing import busy_service
from irisshelf.testing import slow_servers

_SEEDS = (1, 2, 3, 4, 5, 6)
_SERVERS = 8
_SLOTS = 4
_NORMAL_S = 0.25
_OBJECTIVE_S = 0.6
_IN_TURN = slow_servers.SlowInTurn(factor=2.5, intervals=7, interval_s=0.6)
_FOR_GOOD = slow_servers.SlowForGood(factor=3.0, servers=4)
_NORMAL = slow_servers.SlowForGood(factor=1.0, servers=0)
# Requests per second that all servers sustain.
_SUSTAINED_PER_S = {
    _IN_TURN: _SERVERS * _SLOTS / _NORMAL_S * (6 + 1 / 2.5) / 7,
    _FOR_GOOD: _SERVERS * _SLOTS / _NORMAL_S * (1 + 1 / 3) / 2,
    _NORMAL: _SERVERS * _SLOTS / _NORMAL_S,
}


def _play(slowdowns, share, seed):
    kind = busy_load.Kind(
        name="plain",
        priority=0,
        per_s=share * _SUSTAINED_PER_S[slowdowns],
        place_s=_NORMAL_S,
        objective_s=_OBJECTIVE_S,
        patience_s=2.5,
        returns_within_s=0.8,
    )
    load = busy_load.Load(
        kinds=(kind,),
        servers=_SERVERS,
        slots=_SLOTS,
        queue=12,
        instances=24,
        length_s=12.0,
        slowdowns=slowdowns,
    )
    outcome = busy_service.play(load, seed=seed)
    return outcome.observer, outcome.by_kind["plain"].asked


@pytest.mark.parametrize("seed", _SEEDS)
def test_requests_are_answered_in_time_while_servers_are_slow_in_turn(seed):
    observer, asked = _play(_IN_TURN, 0.75, seed)
    assert observer.share_within(2.4 * _NORMAL_S, asked) >= 0.92


@pytest.mark.parametrize("seed", _SEEDS)
def test_slow_servers_get_the_load_that_they_sustain(seed):
    """Guards against slots of slow servers that are left unused."""
    observer, _ = _play(_FOR_GOOD, 1.0, seed)
    # The four sustain 80 requests in 3.75 s.
    assert observer.count_at(range(4), 4.0, 7.75) >= 0.95 * 80


@pytest.mark.parametrize("seed", _SEEDS)
def test_slow_servers_get_a_share_in_proportion_to_what_they_sustain(seed):
    observer, _ = _play(_FOR_GOOD, 0.75, seed)
    slow = observer.count_at(range(4), 4.0, 11.5)
    fast = observer.count_at(range(4, 8), 4.0, 11.5)
    assert 0.8 <= 3 * slow / fast <= 1.4


@pytest.mark.parametrize("seed", _SEEDS)
def test_slow_servers_get_few_requests_while_others_have_free_slots(seed):
    """A request takes longer there than its objective."""
    observer, asked = _play(_FOR_GOOD, 0.3, seed)
    assert observer.share_within(_OBJECTIVE_S, asked) >= 0.85


@pytest.mark.parametrize("seed", _SEEDS)
def test_servers_of_normal_speed_that_report_it_are_used_equally(seed):
    observer, asked = _play(_NORMAL, 0.75, seed)
    assert observer.share_within(_OBJECTIVE_S, asked) >= 0.99
    counts = [observer.count_at(range(n, n + 1), 0.0, 13.0) for n in range(8)]
    # As uneven as servers that report three figures (0.76 to 1.11).
    mean = sum(counts) / len(counts)
    assert min(counts) >= 0.7 * mean
    assert max(counts) <= 1.2 * mean


@pytest.mark.parametrize(
    "slowdowns", [_NORMAL, _IN_TURN], ids=["normal", "turn"]
)
@pytest.mark.parametrize("seed", _SEEDS)
def test_no_server_of_the_service_exceeds_the_cap(slowdowns, seed):
    """Guards against instances that all choose the same server.

    In the first second no instance knows how long requests stay.
    """
    observer, _ = _play(slowdowns, 0.75, seed)
    assert [one for one in observer.above_cap if one[0] > 1.0] == []


def _slowdowns(*reports):
    slowdowns = slowdown_module.Slowdowns()
    for at_s, slowdown in reports:
        slowdowns.record("s", slowdown, at_s)
    return slowdowns


def _steady(slowdown, until_s):
    return [(n / 4, slowdown) for n in range(int(4 * until_s) + 1)]


@pytest.mark.parametrize(
    ("reports", "now", "expected"),
    [
        pytest.param([], 1.0, 1.0, id="never"),
        pytest.param([(1.0, 2.5)], 1.0, 2.5, id="just-now"),
        # Between 2.5 and an average of 1.31 after a single report.
        pytest.param([(1.0, 2.5)], 1.3, 1.9, id="half-life"),
        pytest.param([(1.0, 2.5)], 9.0, 1.31, id="old"),
        pytest.param([(1.0, 2.5), (0.5, 9.0)], 1.0, 2.5, id="out-of-order"),
        pytest.param([(1.0, 2.5), (1.0, 9.0)], 1.0, 2.5, id="repeated"),
        pytest.param(_steady(3.0, 20.0), 20.0, 3.0, id="slow-for-good"),
        pytest.param(_steady(3.0, 20.0), 60.0, 2.98, id="still-slow"),
        pytest.param(
            [*_steady(3.0, 20.0), (20.2, 1.0)], 20.2, 1.0, id="recovered"
        ),
    ],
)
def test_a_report_decays_towards_the_average(reports, now, expected):
    current = _slowdowns(*reports).current("s", now)
    assert current == pytest.approx(expected, abs=0.02)


@pytest.mark.parametrize(
    ("reports", "now", "expected"),
    [
        pytest.param([], 1.0, (1.0, 1.0), id="never"),
        pytest.param(_steady(3.0, 30.0), 30.0, (3.0, 1.0), id="slow-for-good"),
        pytest.param(
            [*_steady(1.0, 30.0), (30.1, 2.5)], 30.1, (1.03, 2.42), id="fault"
        ),
        pytest.param(
            [*_steady(3.0, 30.0), (30.1, 1.0)], 30.1, (1.0, 1.0), id="recovered"
        ),
    ],
)
def test_a_slowdown_has_a_lasting_and_a_present_part(reports, now, expected):
    parts = _slowdowns(*reports).split("s", now)
    assert parts == pytest.approx(expected, abs=0.02)


@pytest.mark.parametrize(
    ("reports", "since_s", "until_s", "expected"),
    [
        pytest.param([], 1.0, 2.0, 1.0, id="never"),
        pytest.param([(0.0, 2.0)], 1.0, 2.0, 2.0, id="before"),
        pytest.param([(2.0, 2.0)], 1.0, 2.0, 2.0, id="at-the-end"),
        pytest.param([(0.0, 1.0), (1.5, 2.0)], 1.0, 2.0, 1.5, id="within"),
        pytest.param([(0.0, 1.0), (3.0, 9.0)], 1.0, 2.0, 1.0, id="after"),
        pytest.param([(0.0, 1.0), (1.5, 2.0)], 1.4, 1.6, 1.5, id="short"),
        pytest.param([(1.0, 2.0)], 1.0, 1.0, 2.0, id="no-time"),
        pytest.param(_steady(2.0, 20.0), 0.0, 20.0, 2.0, id="long"),
    ],
)
def test_the_mean_over_a_time(reports, since_s, until_s, expected):
    mean = _slowdowns(*reports).mean("s", since_s, until_s)
    assert mean == pytest.approx(expected, abs=0.01)


def test_durations_are_those_at_normal_speed():
    """Guards against a slowdown that is counted in two places."""
    stats = server_stats.ServerStats()
    for at_s in (0.5, 1.0, 1.5):
        stats.record_load_report("s", work=1, at_s=at_s, slowdown=2.5)
    stats.record_response_time("s", 1.0, 1.5)
    assert stats.duration_s("s") == pytest.approx(0.2)
    assert stats.slowdown("s", 1.5) == 2.5


def test_servers_without_slowdowns_have_their_measured_durations():
    stats = server_stats.ServerStats()
    stats.record_load_report("s", work=1, at_s=1.0)
    stats.record_response_time("s", 1.0, 1.5)
    assert stats.duration_s("s") == 0.5
    assert stats.slowdown("s", 1.5) == 1.0
    assert not stats.slowdowns.is_reported(1.5)


@pytest.mark.parametrize(
    ("now", "expected"),
    [(1.0, True), (60.9, True), (1.1 + slowdown_module.REPORTED_S, False)],
)
def test_slowdowns_count_as_reported_for_a_while(now, expected):
    assert _slowdowns((1.0, 1.0)).is_reported(now) is expected


def test_servers_that_are_no_longer_listed_are_forgotten():
    stats = server_stats.ServerStats()
    stats.record_load_report("s", work=1, at_s=1.0, slowdown=2.5)
    stats.retain(frozenset({"t"}))
    assert stats.slowdown("s", 1.0) == 1.0
    assert not stats.slowdowns


_LISTED = [
    directory.BackendServer(
        server_id=str(number),
        service="s",
        address=str(number),
        data_centre="here",
        slots=4,
        version="v1",
    )
    for number in range(4)
]
_PROMPT = prompt.Prompt(
    parts=(
        prompt.Part(part_id="aa", tokens=500),
        prompt.Part(part_id="bb", tokens=100),
    ),
    max_answer_tokens=100,
)


def _chooser(loads, slowdowns, *, reports=40):
    chooser = server_choice.Chooser(data_centre="here", rng=random.Random(1))
    for server, load, slowdown in zip(_LISTED, loads, slowdowns, strict=True):
        for number in range(reports):
            chooser.stats.record_load_report(
                server.server_id,
                work=load,
                at_s=100.0 + number / 4,
                slowdown=slowdown,
            )
    return chooser, 100.0 + (reports - 1) / 4


def _choose(chooser, now, requested):
    return chooser.choose(_LISTED, requested, avoid=frozenset(), now=now)


@pytest.mark.parametrize(
    ("slowdown", "load", "at_home"),
    [
        # The mean load is 10: bounds are 18, and 8.4 for a third of the speed.
        (None, 16, True),
        (1.0, 16, True),
        (3.0, 16, False),
        (3.0, 7, True),
        (3.0, 8, False),
        (0.5, 16, True),
    ],
)
def test_the_load_bound_is_that_of_the_load_that_a_server_sustains(
    slowdown, load, at_home
):
    """Guards against prompts that wait at a slow home."""
    home = ranking.rank(_LISTED, "bb")[0]
    others = (40 - load) / 3
    chooser, now = _chooser(
        [load if server is home else others for server in _LISTED],
        [
            slowdown if server is home else (None if slowdown is None else 1.0)
            for server in _LISTED
        ],
    )
    choice = _choose(chooser, now, _PROMPT)
    assert (choice.server == home) is at_home


@pytest.mark.parametrize("requested", [_PROMPT, prompt.Prompt()])
@pytest.mark.parametrize("slow", range(4))
@pytest.mark.parametrize("slowdown", [1.0, 3.0, 100.0])
@pytest.mark.parametrize("reports", [1, 40])
def test_no_server_exceeds_the_cap_next_to_slow_ones(
    requested, slow, slowdown, reports
):
    """Guards against a fast server that gets all requests."""
    chooser, now = _chooser(
        [0] * 4,
        [slowdown] * slow + [1.0] * (4 - slow),
        reports=reports,
    )
    loads = dict.fromkeys((server.server_id for server in _LISTED), 0)
    for _ in range(80):
        mean = sum(loads.values()) / len(loads)
        name = _choose(chooser, now, requested).server.server_id
        loads[name] += 1
        chooser.stats.record_start(name, now + 1e-9)
        cap = server_choice.CAP_FACTOR * mean + server_choice.CAP_EXTRA
        assert loads[name] <= cap


@pytest.mark.parametrize(
    "loads", list(itertools.permutations([0, 2, 3, 5])), ids=str
)
def test_normal_slowdowns_do_not_change_the_choice(loads):
    """Guards against other decisions for servers of normal speed."""
    chosen = []
    for slowdown in (None, 1.0):
        chooser, now = _chooser(loads, [slowdown] * 4)
        chosen.append(
            [
                _choose(chooser, now, requested).server.server_id
                for requested in (prompt.Prompt(), _PROMPT)
            ]
        )
    assert chosen[0] == chosen[1]
