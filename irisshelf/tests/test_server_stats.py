"""What is known of each backend server: load, speed and health."""

import pytest

from irisshelf.routing.direct import server_stats

Seen = server_stats.Outcome


@pytest.mark.parametrize(
    ("seen", "rests"),
    [
        ([Seen.UNREACHABLE], True),
        ([Seen.BROKEN], False),
        ([Seen.BROKEN] * 3, True),
        ([Seen.SILENT] * 3, True),
        ([Seen.REFUSED] * 9, False),
        ([Seen.FAILED, Seen.SUCCESS] * 2, False),
        ([Seen.FAILED] * 5, True),
        ([Seen.SUCCESS] * 9, False),
    ],
)
def test_evidence_that_makes_a_server_rest(seen, rests):
    book = server_stats.ServerStats()
    for _ in range(5):
        book.record_outcome("other", Seen.SUCCESS, 1.0)
    for what in seen:
        book.record_outcome("1", what, 1.0)
    assert book.is_available("1", 1.01) is not rests


def test_what_all_servers_do_ejects_none():
    book = server_stats.ServerStats()
    for _ in range(9):
        for name in ("1", "2", "3"):
            book.record_outcome(name, Seen.FAILED, 1.0)
    assert [book.is_available(name, 1.1) for name in ("1", "2", "3")] == [
        True
    ] * 3


def _misbehave(book, now):
    """Makes a server rest; it need not be failing more than others."""
    for _ in range(3):
        book.record_outcome("1", Seen.SILENT, now)


def test_a_rested_server_gets_one_request_to_show_itself():
    book = server_stats.ServerStats()
    _misbehave(book, 1.0)
    assert not book.is_available("1", 1.5)
    assert book.is_available("1", 1.7)
    book.record_start("1", 1.7)
    assert not book.is_available("1", 1.7)
    book.record_outcome("1", Seen.SUCCESS, 1.8)
    assert book.is_available("1", 1.8)


def test_a_server_out_of_reach_gets_nothing_until_it_is_reached():
    book = server_stats.ServerStats()
    assert book.record_outcome("1", Seen.UNREACHABLE, 1.0) == "unreachable"
    for now in (1.7, 5.0, 8.9):
        assert book.record_outcome("1", Seen.UNREACHABLE, now) == ""
        assert not book.is_available("1", now + 0.1)
    book.record_connect("1", 9.0)
    assert (book.is_available("1", 9.0), book.is_unreachable("1")) == (
        True,
        False,
    )


def test_a_server_that_nobody_asks_any_more_is_tried():
    book = server_stats.ServerStats()
    book.record_outcome("1", Seen.UNREACHABLE, 1.0)
    assert not book.is_available("1", 1.0 + server_stats.MAX_EJECTION_S - 0.1)
    assert book.is_available("1", 1.0 + server_stats.MAX_EJECTION_S)


def test_that_connections_come_about_excuses_no_failures():
    book = server_stats.ServerStats()
    _misbehave(book, 1.0)
    book.record_connect("1", 1.1)
    assert not book.is_available("1", 1.2)


def test_rests_grow_and_end_growing():
    book = server_stats.ServerStats()
    now = 0.0
    rests = []
    for _ in range(6):
        _misbehave(book, now)
        steps = next(
            n for n in range(99) if book.is_available("1", now + n / 10)
        )
        rests.append(steps / 10)
        now += steps / 10
    assert rests == [0.6, 1.2, 2.4, 4.0, 4.0, 4.0]


@pytest.mark.parametrize(
    ("told_s", "own_since", "expected"),
    [
        pytest.param(2.0, 0, 5.0, id="just-told"),
        pytest.param(2.0, 2, 7.0, id="and-sent-since"),
        pytest.param(0.5, 0, 1.84, id="fades"),
        pytest.param(0.5, 4, 4.0, id="own-ones-are-sure"),
        pytest.param(-9.0, 2, 2.0, id="too-old"),
    ],
)
def test_load_is_the_last_word_and_what_was_sent_since(
    told_s, own_since, expected
):
    book = server_stats.ServerStats()
    book.record_load_report("1", work=5, at_s=told_s)
    for _ in range(own_since):
        book.record_start("1", told_s + 0.01)
    assert book.load("1", 2.0) == pytest.approx(expected, abs=0.01)


def test_an_older_word_does_not_replace_a_newer_one():
    book = server_stats.ServerStats()
    assert book.record_load_report("1", work=5, at_s=2.0)
    assert not book.record_load_report("1", work=9, at_s=1.0)
    assert book.load("1", 2.0) == 5.0


def test_what_a_word_counted_is_not_counted_again():
    book = server_stats.ServerStats()
    book.record_start("1", 1.0)
    book.record_load_report("1", work=1, at_s=2.0)
    assert book.load("1", 2.0) == 1.0


def test_unknown_loads_are_taken_from_known_ones():
    book = server_stats.ServerStats()
    book.record_load_report("1", work=6, at_s=1.0)
    book.record_load_report("2", work=2, at_s=1.0)
    assert book.loads(["1", "2", "3"], 1.0)["3"] == 4.0
