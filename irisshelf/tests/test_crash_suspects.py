"""Stories of contents and the servers that ended under them."""

import pytest

from irisshelf.routing import crash_suspects

_CONTENT = crash_suspects.request_fingerprint("blue", "POST", "/x", b"body")
_OTHER = crash_suspects.request_fingerprint(
    "blue", "POST", "/x", b"another body"
)
_CLEAR = crash_suspects.Stage.CLEAR
_SUSPECT = crash_suspects.Stage.SUSPECT
_BARRED = crash_suspects.Stage.BARRED
_LONG_S = crash_suspects.BARRED_S
_SERVERS = [f"s{number}" for number in range(6)]


def _play(story):
    """Plays ends (server, seconds) and good answers (None, seconds)."""
    known = crash_suspects.CrashSuspects()
    for server, at_s in story:
        if server is None:
            known.record_success(_CONTENT)
        else:
            end = crash_suspects.ServerCrash(server_key=server, at_s=at_s)
            known.record_crash(_CONTENT, end, at_s)
    return known


@pytest.mark.parametrize(
    ("story", "now", "stage"),
    [
        pytest.param([], 0, _CLEAR, id="nothing"),
        pytest.param([(b"1", 0)], 1, _SUSPECT, id="one-end"),
        pytest.param([(b"1", 0), (b"2", 1)], 1, _SUSPECT, id="two-ends"),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2)], 2, _BARRED, id="three-ends"
        ),
        pytest.param(
            [(b"1", 0), (b"2", 0), (b"3", 0)], 0, _BARRED, id="at-one-moment"
        ),
        pytest.param(
            [(b"1", 0), (b"1", 0.2), (b"1", 0.9)],
            1,
            _SUSPECT,
            id="several-tell-of-one-end",
        ),
        pytest.param(
            [(b"1", 0), (b"1", 3), (b"1", 6)],
            6,
            _BARRED,
            id="one-server-that-comes-back",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (None, 2), (b"3", 3)],
            3,
            _SUSPECT,
            id="a-good-answer-between",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2), (None, 3)],
            3,
            _CLEAR,
            id="a-good-answer-after",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2)],
            2 + _LONG_S,
            _SUSPECT,
            id="tried-again-after-the-time",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2), (b"4", 3 + _LONG_S)],
            4 + _LONG_S,
            _BARRED,
            id="one-end-bars-it-again",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2)],
            2 + 2 * _LONG_S,
            _CLEAR,
            id="forgotten",
        ),
        pytest.param([(b"1", 0)], 2 * _LONG_S, _CLEAR, id="one-end-forgotten"),
    ],
)
def test_a_story_comes_to_its_stage(story, now, stage):
    known = _play(story)
    assert known.judge(_CONTENT, now).stage is stage
    assert known.judge(_OTHER, now).stage is _CLEAR


@pytest.mark.parametrize(("now", "left_s"), [(2, 600), (302, 300), (601, 1)])
def test_it_tells_how_long_a_content_is_barred(now, left_s):
    known = _play([(b"1", 0), (b"2", 1), (b"3", 2)])
    assert known.judge(_CONTENT, now).barred_for_s == pytest.approx(left_s)


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
def test_word_that_comes_in_another_order_comes_to_the_same(order):
    known = crash_suspects.CrashSuspects()
    for at_s in order:
        end = crash_suspects.ServerCrash(server_key=b"%d" % at_s, at_s=at_s)
        assert known.record_crash(_CONTENT, end, 3.0)
        assert not known.record_crash(_CONTENT, end, 3.0)
    verdict = known.judge(_CONTENT, 3.0)
    assert verdict.stage is _BARRED
    assert [end.at_s for end in verdict.crashes] == [0, 1, 2]


@pytest.mark.parametrize(
    ("one", "other", "same"),
    [
        (("a", "GET", "/x", b""), ("a", "GET", "/x", b""), True),
        (("a", "GET", "/x", b""), ("b", "GET", "/x", b""), False),
        (("a", "GET", "/x", b""), ("a", "PUT", "/x", b""), False),
        (("a", "GET", "/x", b""), ("a", "GET", "/x?y", b""), False),
        (("a", "GET", "/x", b""), ("a", "GET", "/x", b" "), False),
        (("", "GET", "/x", b"y"), ("", "GET", "/xy", b""), False),
        (("a", "GET", "/x", b""), ("aGET", "", "/x", b""), False),
    ],
)
def test_a_content_is_team_method_target_and_body(one, other, same):
    found = crash_suspects.request_fingerprint(
        *one
    ) == crash_suspects.request_fingerprint(*other)
    assert found is same


def test_a_flood_of_contents_drops_the_least_suspect():
    known = crash_suspects.CrashSuspects(max_entries=50)
    for number in range(3):
        end = crash_suspects.ServerCrash(server_key=b"%d" % number, at_s=0.0)
        known.record_crash(_CONTENT, end, 0.0)
    for number in range(500):
        end = crash_suspects.ServerCrash(server_key=b"%d" % number, at_s=1.0)
        known.record_crash(b"%016d" % number, end, 1.0)
    assert len(known) == 50
    assert known.judge(_CONTENT, 1.0).stage is _BARRED
    assert known.judge(b"%016d" % 499, 1.0).stage is _SUSPECT
    assert known.judge(b"%016d" % 0, 1.0).stage is _CLEAR


@pytest.mark.parametrize(
    ("ended", "expected"),
    [((), 6), (("s0", "s1"), 4), (tuple(_SERVERS), 6)],
)
def test_suspects_are_spread_but_each_has_one_server(ended, expected):
    contents = [b"%016d" % number for number in range(200)]
    chosen = {
        crash_suspects.designate_server(content, _SERVERS, crashed=ended).server
        for content in contents
    }
    assert len(chosen) == expected
    for content in contents:
        backwards = list(reversed(_SERVERS))
        assert crash_suspects.designate_server(
            content, _SERVERS, crashed=ended
        ) == crash_suspects.designate_server(content, backwards, crashed=ended)


@pytest.mark.parametrize("known", [[], ["one"], ["one", "two"]])
def test_a_shape_is_known_as_long_as_one_of_its_contents_is(known):
    suspected = crash_suspects.CrashSuspects()
    contents = [
        crash_suspects.request_fingerprint("blue", "POST", "/x", body)
        for body in (b"one", b"two")
    ]
    for content in contents:
        end = crash_suspects.ServerCrash(server_key=b"1", at_s=0.0)
        suspected.record_crash(content, end, 0.0)
        suspected.record_crash(
            content, crash_suspects.ServerCrash(server_key=b"2", at_s=5.0), 5.0
        )
    for content, name in zip(contents, ("one", "two"), strict=True):
        if name not in known:
            assert suspected.record_success(content)
    shape = crash_suspects.fingerprint_prefix("blue", "POST", "/x", 3)
    assert suspected.has_prefix(shape) is bool(known)
    assert not suspected.has_prefix(
        crash_suspects.fingerprint_prefix("a", "POST", "/x", 3)
    )
    assert not suspected.has_prefix(
        crash_suspects.fingerprint_prefix("blue", "POST", "/x", 4)
    )


def test_without_a_server_there_is_none():
    assert (
        crash_suspects.designate_server(_CONTENT, [])
        == crash_suspects.DesignatedServer()
    )


def _ranked(content):
    """Returns servers in the order in which a content goes to them."""
    ranked = []
    while len(ranked) < len(_SERVERS):
        ranked.append(
            crash_suspects.designate_server(
                content,
                [name for name in _SERVERS if name not in ranked],
            ).server
        )
    return ranked


@pytest.mark.parametrize(
    ("ends", "gone", "goes_to"),
    [
        # Places in the ranking; those of known ends come first in it.
        (1, (), 1),
        (1, (1,), 2),
        (1, (1, 2), None),
        (2, (), 2),
        (2, (2,), None),
        # One that it would not have gone to says nothing of it.
        (1, (4, 5), 1),
        (2, (4,), 2),
    ],
)
def test_a_server_that_has_just_gone_may_have_ended_under_it(
    ends, gone, goes_to
):
    """Guards against a fourth end while messages of three are on the way."""
    ranked = _ranked(_CONTENT)
    place = crash_suspects.designate_server(
        _CONTENT,
        _SERVERS,
        crashed=ranked[:ends],
        recently_gone=[ranked[number] for number in gone],
        crash_count=ends,
    )
    if goes_to is None:
        assert place == crash_suspects.DesignatedServer(uncertain=True)
    else:
        assert place == crash_suspects.DesignatedServer(server=ranked[goes_to])
