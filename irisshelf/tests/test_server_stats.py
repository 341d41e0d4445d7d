"""Load, speed and health of each backend server."""

import pytest

from irisshelf.routing.direct import server_stats

Outcome = server_stats.Outcome


@pytest.mark.parametrize(
    ("outcomes", "ejected"),
    [
        ([Outcome.UNREACHABLE], True),
        ([Outcome.BROKEN], False),
        ([Outcome.BROKEN] * 3, True),
        ([Outcome.SILENT] * 3, True),
        ([Outcome.REFUSED] * 9, False),
        ([Outcome.FAILED, Outcome.SUCCESS] * 2, False),
        ([Outcome.FAILED] * 5, True),
        ([Outcome.SUCCESS] * 9, False),
    ],
)
def test_outcomes_that_eject_a_server(outcomes, ejected):
    stats = server_stats.ServerStats()
    for _ in range(5):
        stats.record_outcome("other", Outcome.SUCCESS, 1.0)
    for outcome in outcomes:
        stats.record_outcome("1", outcome, 1.0)
    assert stats.is_available("1", 1.01) is not ejected


def test_failures_of_all_servers_eject_none():
    stats = server_stats.ServerStats()
    for _ in range(9):
        for name in ("1", "2", "3"):
            stats.record_outcome(name, Outcome.FAILED, 1.0)
    assert [stats.is_available(name, 1.1) for name in ("1", "2", "3")] == [
        True
    ] * 3


def _fail_repeatedly(stats, now):
    """Gets a server ejected by consecutive failures."""
    for _ in range(3):
        stats.record_outcome("1", Outcome.SILENT, now)


def test_an_ejected_server_gets_a_single_trial_request():
    stats = server_stats.ServerStats()
    _fail_repeatedly(stats, 1.0)
    assert not stats.is_available("1", 1.5)
    assert stats.is_available("1", 1.7)
    stats.record_start("1", 1.7)
    assert not stats.is_available("1", 1.7)
    stats.record_outcome("1", Outcome.SUCCESS, 1.8)
    assert stats.is_available("1", 1.8)


def test_an_unreachable_server_gets_nothing_until_a_connect_succeeds():
    stats = server_stats.ServerStats()
    assert stats.record_outcome("1", Outcome.UNREACHABLE, 1.0) == "unreachable"
    for now in (1.7, 5.0, 8.9):
        assert stats.record_outcome("1", Outcome.UNREACHABLE, now) == ""
        assert not stats.is_available("1", now + 0.1)
    stats.record_connect("1", 9.0)
    assert (stats.is_available("1", 9.0), stats.is_unreachable("1")) == (
        True,
        False,
    )


def test_an_unreachable_server_that_is_not_probed_is_tried():
    stats = server_stats.ServerStats()
    stats.record_outcome("1", Outcome.UNREACHABLE, 1.0)
    assert not stats.is_available("1", 1.0 + server_stats.MAX_EJECTION_S - 0.1)
    assert stats.is_available("1", 1.0 + server_stats.MAX_EJECTION_S)


def test_a_successful_connect_does_not_end_other_ejections():
    stats = server_stats.ServerStats()
    _fail_repeatedly(stats, 1.0)
    stats.record_connect("1", 1.1)
    assert not stats.is_available("1", 1.2)


def test_ejection_times_grow_up_to_a_maximum():
    stats = server_stats.ServerStats()
    now = 0.0
    ejections_s = []
    for _ in range(6):
        _fail_repeatedly(stats, now)
        steps = next(
            n for n in range(99) if stats.is_available("1", now + n / 10)
        )
        ejections_s.append(steps / 10)
        now += steps / 10
    assert ejections_s == [0.6, 1.2, 2.4, 4.0, 4.0, 4.0]


@pytest.mark.parametrize(
    ("reported_s", "own_sends", "expected"),
    [
        pytest.param(2.0, 0, 5.0, id="fresh-report"),
        pytest.param(2.0, 2, 7.0, id="fresh-report-and-own-sends"),
        pytest.param(0.5, 0, 1.84, id="report-decays"),
        pytest.param(0.5, 4, 4.0, id="at-least-own-requests"),
        pytest.param(-9.0, 2, 2.0, id="report-too-old"),
    ],
)
def test_load_is_the_last_report_and_own_sends_since(
    reported_s, own_sends, expected
):
    stats = server_stats.ServerStats()
    stats.record_load_report("1", work=5, at_s=reported_s)
    for _ in range(own_sends):
        stats.record_start("1", reported_s + 0.01)
    assert stats.load("1", 2.0) == pytest.approx(expected, abs=0.01)


def test_an_older_report_does_not_replace_a_newer_one():
    stats = server_stats.ServerStats()
    assert stats.record_load_report("1", work=5, at_s=2.0)
    assert not stats.record_load_report("1", work=9, at_s=1.0)
    assert stats.load("1", 2.0) == 5.0


def test_requests_counted_in_a_report_are_not_counted_again():
    stats = server_stats.ServerStats()
    stats.record_start("1", 1.0)
    stats.record_load_report("1", work=1, at_s=2.0)
    assert stats.load("1", 2.0) == 1.0


def test_unknown_loads_are_estimated_from_known_ones():
    stats = server_stats.ServerStats()
    stats.record_load_report("1", work=6, at_s=1.0)
    stats.record_load_report("2", work=2, at_s=1.0)
    assert stats.loads(["1", "2", "3"], 1.0)["3"] == 4.0
