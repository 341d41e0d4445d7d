"""Availability of servers after sequences of reports from several sources."""

import dataclasses
import random

import pytest

from irisshelf.catalog import departures
from irisshelf.platform import http_dialect
from irisshelf.routing.direct import availability

_Reason = availability.Reason
_NAME = "i-1"
# Upper limit of the jitter that is added to a backoff.
_MAX_JITTER_S = 1.0


def _availability():
    return availability.Availability(rng=random.Random(1))


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Event:
    """Something learnt of a server at a time."""

    at_s: float
    kind: str
    value: float = 0.0


def _apply(known, event):
    if event.kind == "leaving":
        known.departures.announce(
            _NAME, source=departures.Source.RESPONSE, now=event.at_s
        )
    elif event.kind == "backoff":
        known.record_backoff(_NAME, event.value, event.at_s)
    elif event.kind == "absent":
        known.mark_absent(_NAME, event.at_s)
    elif event.kind == "peer_pause":
        known.record_peer_pause(_NAME, event.value, event.at_s)
    elif event.kind == "sent":
        known.record_sent(_NAME, event.at_s)
    elif event.kind == "answered":
        known.record_answer(_NAME, event.value)
    elif event.kind == "unlisted":
        known.retain(frozenset(), event.at_s)
    else:
        raise AssertionError(event.kind)


def _event(at_s, kind, value=0.0):
    return _Event(at_s=at_s, kind=kind, value=value)


_LEAVING = _event(1.0, "leaving")
_BACKOFF = _event(1.0, "backoff", 3.0)


@pytest.mark.parametrize(
    ("history", "at_s", "reason"),
    [
        pytest.param([], 1.0, None, id="no-report"),
        pytest.param([_LEAVING], 1.0, _Reason.LEAVING, id="leaving"),
        pytest.param(
            [_LEAVING], 1e6, _Reason.LEAVING, id="leaving-does-not-expire"
        ),
        pytest.param(
            [_LEAVING, _event(2.0, "answered", 1.5)],
            2.0,
            _Reason.LEAVING,
            id="a-response-does-not-end-leaving",
        ),
        pytest.param(
            [_LEAVING, _event(2.0, "unlisted")],
            3.0,
            _Reason.LEAVING,
            id="an-expired-entry-does-not-end-leaving",
        ),
        pytest.param(
            [_BACKOFF, _LEAVING],
            9.0,
            _Reason.LEAVING,
            id="leaving-outlasts-backoff",
        ),
        pytest.param([_BACKOFF], 3.9, _Reason.BACKOFF, id="backoff"),
        pytest.param(
            [_BACKOFF], 4.0 + _MAX_JITTER_S, None, id="backoff-has-ended"
        ),
        pytest.param(
            [_BACKOFF, _event(2.0, "answered", 0.5)],
            3.9,
            _Reason.BACKOFF,
            id="a-response-to-an-older-request-does-not-end-a-backoff",
        ),
        pytest.param(
            [_BACKOFF, _event(2.0, "unlisted")],
            3.9,
            _Reason.BACKOFF,
            id="an-expired-entry-does-not-end-a-backoff",
        ),
        pytest.param(
            [_BACKOFF, _event(2.0, "backoff", 0.5)],
            3.9,
            _Reason.BACKOFF,
            id="a-shorter-backoff-does-not-replace-a-longer-one",
        ),
        pytest.param(
            [_BACKOFF, _event(2.0, "backoff", 5.0)],
            6.9,
            _Reason.BACKOFF,
            id="a-longer-backoff-extends-it",
        ),
        pytest.param(
            [_BACKOFF, _event(6.0, "sent")],
            6.1,
            _Reason.BACKOFF,
            id="one-trial-request-at-a-time",
        ),
        pytest.param(
            [_BACKOFF, _event(6.0, "sent"), _event(6.1, "answered", 6.0)],
            6.1,
            None,
            id="trial-request-succeeds",
        ),
        pytest.param(
            [_BACKOFF, _event(6.0, "sent"), _event(6.1, "backoff", 3.0)],
            9.0,
            _Reason.BACKOFF,
            id="trial-request-gets-another-backoff",
        ),
        pytest.param(
            [_BACKOFF, _event(6.0, "sent")],
            60.0,
            None,
            id="trial-request-times-out",
        ),
        pytest.param([_event(1.0, "absent")], 1.5, _Reason.ABSENT, id="absent"),
        pytest.param([_event(1.0, "absent")], 60.0, None, id="absent-expires"),
        pytest.param(
            [_event(1.0, "peer_pause", 3.0)],
            2.9,
            _Reason.PEER,
            id="pause-from-a-peer",
        ),
        pytest.param(
            [_event(1.0, "peer_pause", 1e9)],
            60.0,
            None,
            id="pause-from-a-peer-is-limited",
        ),
        pytest.param(
            [_event(1.0, "peer_pause", 20.0)],
            20.9,
            _Reason.PEER,
            id="pause-from-a-peer-lasts-as-long-as-reported",
        ),
        pytest.param(
            [_event(1.0, "peer_pause", 3.0), _event(2.0, "backoff", 3.0)],
            4.9,
            _Reason.BACKOFF,
            id="own-report-after-a-peers",
        ),
        pytest.param(
            [_BACKOFF, _event(2.0, "peer_pause", 0.1)],
            3.9,
            _Reason.BACKOFF,
            id="a-peer-does-not-end-a-backoff",
        ),
    ],
)
def test_availability_after_reports(history, at_s, reason):
    known = _availability()
    for event in history:
        _apply(known, event)
    block = known.block(_NAME, at_s)
    assert (block and block.reason) == reason
    assert known.block("i-2", at_s) is None


def test_a_backoff_is_never_shorter_than_requested():
    for seed in range(50):
        known = availability.Availability(rng=random.Random(seed))
        known.record_backoff(_NAME, 3.0, 1.0)
        assert known.block(_NAME, 3.999) is not None
        assert known.block(_NAME, 4.0 + _MAX_JITTER_S) is None


def test_instances_return_at_different_times():
    remaining_times = set()
    for seed in range(20):
        known = availability.Availability(rng=random.Random(seed))
        known.record_backoff(_NAME, 3.0, 1.0)
        remaining_times.add(round(known.block(_NAME, 1.0).remaining_s, 2))
    assert len(remaining_times) > 10


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
def test_server_report_in_a_response_head(
    status, headers, leaving, rest_s, unreadable
):
    raw = tuple(
        (name.encode(), value.encode("latin-1")) for name, value in headers
    )
    report = http_dialect.HttpDialect().parse_answer(status, raw).report
    assert (report.leaving, report.rest_s) == (leaving, rest_s)
    assert report.unreadable == unreadable


def test_the_leaving_header_is_not_forwarded_to_callers():
    raw = ((b"Server-Leaving", b"1"), (b"Response-Signature", b"s"))
    head = http_dialect.HttpDialect().parse_answer(200, raw)
    assert head.headers == ((b"Response-Signature", b"s"),)
