"""Which relays are used, and for which servers, by what they have found."""

import random

import pytest

from irisshelf.routing.direct import own_link
from irisshelf.routing.direct import server_paths

_Verdict = server_paths.Verdict
_LOCAL = [
    server_paths.Relay(name=name, address=f"{name}:1", data_centre="a")
    for name in ("a1", "a2")
]
_REMOTE = [server_paths.Relay(name="b1", address="b1:1", data_centre="b")]
_RELAYS = [*_LOCAL, *_REMOTE]


def _paths():
    return server_paths.ServerPaths(data_centre="a", rng=random.Random(1))


def _names(paths, now, service="s"):
    return [relay.name for relay in paths.rank(_RELAYS, service, now)]


@pytest.mark.parametrize(
    ("verdict", "unused_at_s", "used_at_s"),
    [
        (_Verdict.LOST, 0.4, 0.6),
        (_Verdict.BUSY, 0.4, 0.6),
        (_Verdict.ISOLATED, 0.4, 0.6),
        (_Verdict.STOPPING, 9.0, 11.0),
    ],
)
def test_a_relay_that_cannot_help_is_not_used_for_a_while(
    verdict, unused_at_s, used_at_s
):
    paths = _paths()
    assert paths.record("a1", "i-1", "s", verdict, 100.0)
    assert "a1" not in _names(paths, 100.0 + unused_at_s)
    assert "a1" in _names(paths, 100.0 + used_at_s)


def test_pauses_of_a_relay_grow_until_it_helps():
    paths = _paths()
    at_s = 100.0
    lengths_s = []
    for _ in range(6):
        assert paths.record("a1", "i-1", "s", _Verdict.BUSY, at_s)
        until_s = at_s
        while "a1" not in _names(paths, until_s):
            until_s += 0.25
        lengths_s.append(until_s - at_s)
        at_s = until_s
    assert lengths_s == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0]
    paths.record("a1", "i-1", "s", _Verdict.REACHED, at_s)
    paths.record("a1", "i-1", "s", _Verdict.BUSY, at_s)
    assert "a1" in _names(paths, at_s + 0.6)


def test_attempts_at_the_same_time_pause_a_relay_once():
    paths = _paths()
    first, second = (
        paths.record("a1", "i-1", "s", _Verdict.BUSY, 100.0) for _ in range(2)
    )
    assert (first, second) == (True, False)
    assert "a1" in _names(paths, 100.6)


@pytest.mark.parametrize(
    ("lost", "usable"),
    [
        (["a1"], True),
        (["a1", "a1"], True),
        (["a1", "a2"], False),
        (["a1", "b1"], False),
    ],
)
def test_no_relay_is_tried_while_the_own_link_to_them_seems_lost(lost, usable):
    paths = _paths()
    for name in lost:
        paths.record(name, "i-1", "s", _Verdict.LOST, 100.0)
    assert bool(_names(paths, 100.1)) is usable
    assert _names(paths, 101.1)


def test_an_answer_between_two_lost_relays_shows_that_the_own_link_works():
    paths = _paths()
    paths.record("a1", "i-1", "s", _Verdict.LOST, 100.0)
    paths.record("b1", "i-1", "s", _Verdict.UNREACHABLE, 100.0)
    paths.record("a2", "i-1", "s", _Verdict.LOST, 100.0)
    assert _names(paths, 100.1) == ["b1"]


def test_connections_are_spread_and_leave_the_data_centre_when_it_is_loaded():
    paths = _paths()
    used = []
    for _ in range(11):
        used.append(_names(paths, 100.0)[0])
        paths.record_opened(used[-1])
    assert [used.count(name) for name in ("a1", "a2", "b1")] == [5, 5, 1]
    for name in used:
        paths.record_closed(name)
    assert _names(paths, 100.0)[-1] == "b1"


@pytest.mark.parametrize("verdict", [_Verdict.REFUSED, _Verdict.UNREACHABLE])
def test_a_relay_that_misses_a_service_comes_last_for_it(verdict):
    paths = _paths()
    for name in ("a1", "a2"):
        assert not paths.record(name, "i-1", "s", verdict, 100.0)
    assert _names(paths, 101.0)[0] == "b1"
    assert _names(paths, 101.0, service="other")[-1] == "b1"
    paths.record("a1", "i-1", "s", _Verdict.REACHED, 101.0)
    assert _names(paths, 101.0)[0] == "a1"
    assert _names(paths, 110.0)[-1] == "b1"


@pytest.mark.parametrize(
    ("verdict", "at_s", "may_reach"),
    [
        (_Verdict.REACHED, 0.1, True),
        (_Verdict.UNREACHABLE, 0.1, False),
        (_Verdict.REFUSED, 0.1, False),
        (_Verdict.LEAVING, 0.1, False),
        (_Verdict.UNKNOWN, 0.1, False),
        (_Verdict.UNREACHABLE, 1.1, True),
    ],
)
def test_a_server_that_no_relay_reaches_is_not_tried_for_a_while(
    verdict, at_s, may_reach
):
    paths = _paths()
    paths.record_result("i-1", verdict, 100.0)
    assert paths.may_reach("i-1", 100.0 + at_s) is may_reach
    assert paths.may_reach("i-2", 100.0 + at_s)


def test_relays_work_for_as_long_as_they_pass_data():
    paths = _paths()
    assert not paths.works(100.0)
    paths.record("a1", "i-1", "s", _Verdict.REACHED, 100.0)
    assert paths.works(102.9)
    assert not paths.works(103.1)
    paths.record_data(102.0)
    assert paths.works(104.9)
    paths.record_result("i-1", None, 102.0)
    assert not paths.works(102.0)


def test_a_relay_is_lost_only_by_an_attempt_after_the_given_time():
    paths = _paths()
    paths.record("a1", "i-1", "s", _Verdict.LOST, 100.0)
    assert paths.is_lost("a1", "i-2", 99.0)
    assert not paths.is_lost("a1", "i-2", 100.5)
    assert not paths.is_lost("a2", "i-2", 99.0)


@pytest.mark.parametrize(
    ("verdict", "lost"),
    [
        (_Verdict.REACHED, False),
        (_Verdict.BUSY, False),
        (_Verdict.UNREACHABLE, True),
        (_Verdict.ISOLATED, True),
    ],
)
def test_the_path_through_a_relay_is_lost_if_it_does_not_reach_the_server(
    verdict, lost
):
    paths = _paths()
    paths.record("a1", "i-1", "s", verdict, 100.0)
    assert paths.is_lost("a1", "i-1", 99.0) is lost
    assert not paths.is_lost("a1", "i-2", 99.0)


@pytest.mark.parametrize(
    ("failures", "suspect"),
    [
        ([], False),
        ([("1", True)], True),
        ([("1", False)], False),
        ([("1", False), ("1", False)], False),
        ([("1", False), ("2", False)], True),
    ],
)
def test_the_own_link_is_suspect_after_failures_without_a_sign_of_life(
    failures, suspect
):
    link = own_link.OwnLink()
    for server_id, timed_out in failures:
        link.record_failed(server_id, timed_out=timed_out, now=100.0)
    assert link.is_suspect(100.9) is suspect
    # The server may be gone for good, and others may have no requests.
    assert not link.is_suspect(101.1)
    link.record_alive()
    assert not link.is_suspect(100.1)
