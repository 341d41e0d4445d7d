"""What happens to requests with a barred prompt part, and when that ends."""

import gevent
import pytest

from irisshelf import boottime
from irisshelf.platform.stand_in import proxy
from irisshelf.routing import crash_suspects
from irisshelf.routing import fingerprints
from irisshelf.tests import crashing_parts

_MAX_CRASHES = 3
_PLACES = ("a", "a", "b")
_PART = crashing_parts.CRASHING
_PAUSE_S = 0.05


def _world(make_world, **options):
    world = make_world(**{"servers": 10, "data_centres": _PLACES} | options)
    for engine in world.engines:
        engine.away_s = 60.0
        engine.ends_under = lambda run: (
            _PART in crashing_parts.shared_parts(run)
        )
    return world


def _ask(world, *parts, entry=0, target="/query/1", **headers):
    _ask.number += 1
    listed = ",".join(f"{part}:10" for part in [*parts, f"l{_ask.number}"])
    return world.ask(
        target,
        body=b"%d" % _ask.number,
        entry=entry,
        Prefix_Hash=listed,
        **headers,
    )


_ask.number = 0


def _bar(world, *parts, **options):
    """Sends requests with a part until it is barred."""
    for number in range(_MAX_CRASHES):
        answer = _ask(world, *(parts or (_PART,)), entry=number % 3, **options)
        assert answer.status == 502
        world.wait(lambda n=number: _known(world) == n + 1)
    assert _crashes(world) == _MAX_CRASHES


def _known(world):
    """Returns how many crashes under the part all instances know of."""
    part = fingerprints.part_fingerprint("lm", _PART)
    now = boottime.now()
    return min(
        len(entry.inst.crash_tracker.suspects.judge(part, now).crashes)
        for entry in world.entries
    )


def _wait_for_versions(world, *expected):
    """Waits until all instances know which versions the engines have."""
    world.wait(
        lambda: all(
            {s.version for s in entry.inst.directory.servers_of("lm")}
            == set(expected)
            for entry in world.entries
        )
    )


def _crashes(world):
    return sum(engine.ends for engine in world.engines)


def _make_sound(world):
    for engine in world.engines:
        engine.ends_under = lambda run: False


@pytest.mark.parametrize("entry", range(len(_PLACES)))
@pytest.mark.parametrize("target", ["/query/2", "/digest/1"])
def test_a_barred_part_is_rejected_at_once_as_not_run(
    make_world, target, entry
):
    """Guards against a bar that holds at one route or instance only."""
    world = _world(make_world)
    _bar(world)
    answer = _ask(world, "a", _PART, entry=entry, target=target, Request_Id="m")
    assert (answer.status, answer.whole) == (503, True)
    assert float(answer.headers["retry-after"]) >= 60
    assert world.runs("m") == 0


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param(["first"], id="shared"),
        pytest.param(["first", "beside"], id="only-seen-beside"),
        pytest.param([f"p{n}" for n in range(300)], id="hundreds"),
        pytest.param(["bad", ":", "x:y", "first"], id="malformed"),
    ],
)
def test_requests_that_share_the_other_parts_are_served(make_world, parts):
    """Guards against parts barred as they were at the same crashes."""
    world = _world(make_world)
    _bar(world, *parts, _PART)
    answers = [_ask(world, *parts, entry=n % 3).status for n in range(9)]
    assert answers == [200] * 9
    assert _ask(world, *parts, _PART).status == 503
    assert _crashes(world) == _MAX_CRASHES


def test_the_last_part_is_no_reason(make_world):
    """Guards against a part that is the request's own, taken as shared."""
    world = _world(make_world)
    _bar(world)
    answer = world.ask("/query/1", Prefix_Hash=f"first:10,{_PART}:10")
    assert answer.status == 200


def test_other_services_may_run_the_part(make_world):
    """Guards against a bar at servers that run other software."""
    world = _world(make_world)
    _bar(world)
    assert _ask(world, _PART, target="/valve/1").status == 200


@pytest.fixture
def short_bars(monkeypatch):
    """Makes bars be tried, and end, after fractions of a second."""
    monkeypatch.setattr(crash_suspects, "TRIAL_AFTER_S", 0.4)
    monkeypatch.setattr(crash_suspects, "BARRED_S", 1.2)


def _ask_everywhere(world, for_s):
    """Sends requests at all instances at once, again and again."""
    statuses = []
    with gevent.Timeout(for_s, False):
        while True:
            calls = [
                gevent.spawn(_ask, world, _PART, entry=entry)
                for entry in range(len(_PLACES))
                for _ in range(3)
            ]
            gevent.joinall(calls)
            statuses += [call.get().status for call in calls]
            gevent.sleep(_PAUSE_S)
    return statuses


@pytest.mark.parametrize(
    ("for_s", "crashes"),
    [
        pytest.param(0.3, 0, id="before-the-trial"),
        pytest.param(1.2, 1, id="trial"),
        pytest.param(2.2, 2, id="expired"),
    ],
)
def test_a_bar_is_tried_by_one_request(make_world, short_bars, for_s, crashes):
    """Guards against many requests sent as soon as a bar ends."""
    world = _world(make_world)
    _bar(world)
    before = sum(len(engine.runs) for engine in world.engines)
    _ask_everywhere(world, for_s)
    runs = sum(len(engine.runs) for engine in world.engines) - before
    assert (_crashes(world) - _MAX_CRASHES, runs) == (crashes, crashes)


def test_a_part_that_is_sound_again_is_served_after_the_trial(
    make_world, short_bars
):
    """Guards against a bar that its own refusals keep up."""
    world = _world(make_world)
    _bar(world)
    _make_sound(world)
    world.wait(lambda: set(_ask_everywhere(world, 0.1)) == {200})


def test_a_part_is_tried_once_its_software_version_is_gone(make_world):
    """Guards against a bar that outlasts the software that needed it."""
    world = _world(make_world)
    for engine in world.engines:
        engine.away_s = 0.3
    _bar(world)
    _make_sound(world)
    world.wait(lambda: not any(one.closed for one in world.engines))
    for engine in world.engines[1:]:
        engine.version = "v2"
        engine.sequence += 1
        world.list_server(engine)
    _wait_for_versions(world, "v1", "v2")
    assert set(_ask_everywhere(world, 0.2)) == {503}
    world.engines[0].version = "v2"
    world.engines[0].sequence += 1
    world.list_server(world.engines[0])
    _wait_for_versions(world, "v2")
    world.wait(lambda: set(_ask_everywhere(world, 0.1)) == {200})


@pytest.mark.parametrize("cut", list(proxy.Cut))
def test_crashes_through_relays_count(make_world, cut):
    """Guards against crashes that are only seen over connections of others."""
    world = _world(make_world, linked=True)
    world.cut(0, cut)
    gevent.sleep(0.3)
    for _ in range(6):
        _ask(world, _PART, entry=0)
        gevent.sleep(0.2)
    assert 0 < _crashes(world) <= _MAX_CRASHES + 2


def _partial(parts, rarest=""):
    return crash_suspects.Verdict(
        stage=crash_suspects.Stage.SUSPECT,
        cautious=True,
        shared=frozenset(part.encode() for part in parts),
        rarest=rarest.encode(),
    )


@pytest.mark.parametrize(
    ("seen", "asked", "rarest", "riskiest"),
    [
        ([], "ab", "", False),
        (["a"], "ab", "", True),
        (["a"], "a", "", False),
        (["ab"], "a", "", False),
        (["c"], "ab", "", False),
        (["abc", "b"], "ab", "", True),
        ([], "a", "a", False),
        (["b"], "a", "a", True),
        (["b"], "a", "b", False),
        (["ab"], "a", "a", False),
    ],
)
def test_requests_that_are_less_likely_the_cause_go_first(
    world, seen, asked, rarest, riskiest
):
    """Guards against crashes by what sound requests could have shown."""
    requests = world.inst.suspect_requests
    for parts in seen:
        requests.is_riskiest(_partial(parts))
    assert requests.is_riskiest(_partial(asked, rarest)) is riskiest
