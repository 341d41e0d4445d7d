"""Which servers take requests, by who said what in which order."""

import dataclasses
import random

import pytest

from irisshelf.platform import http_dialect
from irisshelf.routing.direct import availability

_Reason = availability.Reason
_NAME = "i-1"
# A rest ends so much later than asked at the most.
_SPREAD_S = 1.0


def _availability():
    return availability.Availability(rng=random.Random(1))


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Said:
    """Something said of a server at a time."""

    at_s: float
    what: str
    value: float = 0.0


def _play(known, said):
    if said.what == "leaves":
        known.mark_leaving(_NAME)
    elif said.what == "rests":
        known.record_backoff(_NAME, said.value, said.at_s)
    elif said.what == "absent":
        known.mark_absent(_NAME, said.at_s)
    elif said.what == "told":
        known.record_peer_pause(_NAME, said.value, said.at_s)
    elif said.what == "sent":
        known.record_sent(_NAME, said.at_s)
    elif said.what == "answered":
        known.record_answer(_NAME, said.value)
    elif said.what == "gone":
        known.retain(frozenset(), said.at_s)
    else:
        raise AssertionError(said.what)


def _said(at_s, what, value=0.0):
    return _Said(at_s=at_s, what=what, value=value)


_LEAVES = _said(1.0, "leaves")
_RESTS = _said(1.0, "rests", 3.0)


@pytest.mark.parametrize(
    ("history", "at_s", "reason"),
    [
        pytest.param([], 1.0, None, id="nothing-said"),
        pytest.param([_LEAVES], 1.0, _Reason.LEAVING, id="leaves"),
        pytest.param([_LEAVES], 1e6, _Reason.LEAVING, id="time-is-no-end"),
        pytest.param(
            [_LEAVES, _said(2.0, "answered", 1.5)],
            2.0,
            _Reason.LEAVING,
            id="an-answer-is-no-end-of-leaving",
        ),
        pytest.param(
            [_LEAVES, _said(2.0, "gone")],
            3.0,
            _Reason.LEAVING,
            id="a-lapsed-entry-is-no-end-of-leaving",
        ),
        pytest.param(
            [_RESTS, _LEAVES], 9.0, _Reason.LEAVING, id="leaving-outlasts-rest"
        ),
        pytest.param([_RESTS], 3.9, _Reason.BACKOFF, id="rests"),
        pytest.param([_RESTS], 4.0 + _SPREAD_S, None, id="rest-is-over"),
        pytest.param(
            [_RESTS, _said(2.0, "answered", 0.5)],
            3.9,
            _Reason.BACKOFF,
            id="an-answer-to-an-older-request-is-no-end-of-a-rest",
        ),
        pytest.param(
            [_RESTS, _said(2.0, "gone")],
            3.9,
            _Reason.BACKOFF,
            id="a-lapsed-entry-is-no-end-of-a-rest",
        ),
        pytest.param(
            [_RESTS, _said(2.0, "rests", 0.5)],
            3.9,
            _Reason.BACKOFF,
            id="a-shorter-rest-ends-none",
        ),
        pytest.param(
            [_RESTS, _said(2.0, "rests", 5.0)],
            6.9,
            _Reason.BACKOFF,
            id="a-longer-rest-goes-on",
        ),
        pytest.param(
            [_RESTS, _said(6.0, "sent")],
            6.1,
            _Reason.BACKOFF,
            id="one-request-at-a-time-after-a-rest",
        ),
        pytest.param(
            [_RESTS, _said(6.0, "sent"), _said(6.1, "answered", 6.0)],
            6.1,
            None,
            id="answered-after-a-rest",
        ),
        pytest.param(
            [_RESTS, _said(6.0, "sent"), _said(6.1, "rests", 3.0)],
            9.0,
            _Reason.BACKOFF,
            id="turned-down-after-a-rest",
        ),
        pytest.param(
            [_RESTS, _said(6.0, "sent")],
            60.0,
            None,
            id="no-answer-after-a-rest",
        ),
        pytest.param([_said(1.0, "absent")], 1.5, _Reason.ABSENT, id="absent"),
        pytest.param(
            [_said(1.0, "absent")], 60.0, None, id="absent-for-a-time"
        ),
        pytest.param(
            [_said(1.0, "told", 3.0)], 2.9, _Reason.PEER, id="told-by-another"
        ),
        pytest.param(
            [_said(1.0, "told", 1e9)], 60.0, None, id="told-is-not-for-long"
        ),
        pytest.param(
            [_said(1.0, "told", 3.0), _said(2.0, "rests", 3.0)],
            4.9,
            _Reason.BACKOFF,
            id="its-own-statement-after-anothers",
        ),
        pytest.param(
            [_RESTS, _said(2.0, "told", 0.1)],
            3.9,
            _Reason.BACKOFF,
            id="another-ends-no-rest",
        ),
    ],
)
def test_whether_a_server_takes_requests(history, at_s, reason):
    known = _availability()
    for said in history:
        _play(known, said)
    block = known.block(_NAME, at_s)
    assert (block and block.reason) == reason
    assert known.block("i-2", at_s) is None


def test_a_rest_is_never_shorter_than_asked():
    for seed in range(50):
        known = availability.Availability(rng=random.Random(seed))
        known.record_backoff(_NAME, 3.0, 1.0)
        assert known.block(_NAME, 3.999) is not None
        assert known.block(_NAME, 4.0 + _SPREAD_S) is None


def test_instances_return_apart():
    lefts = set()
    for seed in range(20):
        known = availability.Availability(rng=random.Random(seed))
        known.record_backoff(_NAME, 3.0, 1.0)
        lefts.add(round(known.block(_NAME, 1.0).remaining_s, 2))
    assert len(lefts) > 10


def test_many_lives_that_leave_are_not_kept_for_ever():
    known = _availability()
    for number in range(5000):
        known.mark_leaving(f"i-{number}")
    assert known.is_leaving("i-4999")
    assert not known.is_leaving("i-0")


@pytest.mark.parametrize(
    ("status", "headers", "leaving", "rest_s", "unreadable"),
    [
        (200, [], False, 0.0, ()),
        (200, [("Server-Leaving", "1")], True, 0.0, ()),
        (500, [("server-leaving", " 1 ")], True, 0.0, ()),
        (200, [("Server-Leaving", "0")], False, 0.0, ("Server-Leaving",)),
        (200, [("Server-Leaving", "")], False, 0.0, ("Server-Leaving",)),
        (200, [("Server-Leaving", "yes")], False, 0.0, ("Server-Leaving",)),
        (200, [("Server-Leaving", "1")] * 2, True, 0.0, ()),
        (
            200,
            [("Server-Leaving", "0"), ("Server-Leaving", "1")],
            True,
            0.0,
            (),
        ),
        (503, [("Retry-After", "3")], False, 3.0, ()),
        (503, [("Retry-After", "0")], False, 0.0, ()),
        (503, [("Retry-After", "0.25")], False, 0.25, ()),
        (503, [("Retry-After", "1"), ("Retry-After", "4")], False, 4.0, ()),
        (503, [("Retry-After", "9" * 400)], False, 3600.0, ()),
        (503, [("Retry-After", "-3")], False, 0.0, ("Retry-After",)),
        (503, [("Retry-After", "")], False, 0.0, ("Retry-After",)),
        (503, [("Retry-After", "soon")], False, 0.0, ("Retry-After",)),
        (503, [("Retry-After", "1e3")], False, 0.0, ("Retry-After",)),
        (503, [("Retry-After", "nan")], False, 0.0, ("Retry-After",)),
        (503, [("Retry-After", "²")], False, 0.0, ("Retry-After",)),
        (
            503,
            [("Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT")],
            False,
            0.0,
            ("Retry-After",),
        ),
        (429, [("Retry-After", "3")], False, 0.0, ()),
        (200, [("Retry-After", "3")], False, 0.0, ()),
    ],
)
def test_what_a_head_says_of_its_server(
    status, headers, leaving, rest_s, unreadable
):
    raw = tuple(
        (name.encode(), value.encode("latin-1")) for name, value in headers
    )
    report = http_dialect.HttpDialect().parse_answer(status, raw).report
    assert (report.leaving, report.rest_s) == (leaving, rest_s)
    assert report.unreadable == unreadable


def test_callers_are_not_told_that_a_server_leaves():
    raw = ((b"Server-Leaving", b"1"), (b"Response-Signature", b"s"))
    head = http_dialect.HttpDialect().parse_answer(200, raw)
    assert head.headers == ((b"Response-Signature", b"s"),)
