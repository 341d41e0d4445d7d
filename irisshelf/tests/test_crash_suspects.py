"""Tests of the detection of requests that crash servers."""

import pytest

from irisshelf.routing import crash_evidence
from irisshelf.routing import crash_suspects
from irisshelf.routing import designation
from irisshelf.routing import fingerprints

_FINGERPRINT = fingerprints.request_fingerprint("blue", "POST", "/x", b"body")
_OTHER_FINGERPRINT = fingerprints.request_fingerprint(
    "blue", "POST", "/x", b"another body"
)
_CLEAR = crash_suspects.Stage.CLEAR
_SUSPECT = crash_suspects.Stage.SUSPECT
_BARRED = crash_suspects.Stage.BARRED
_BARRED_S = crash_suspects.BARRED_S
_SERVERS = [f"s{number}" for number in range(6)]


def _replay(events):
    """Records crashes (server, seconds) and successes (None, seconds)."""
    suspects = crash_suspects.CrashSuspects()
    for server, at_s in events:
        if server is None:
            suspects.record_success(_FINGERPRINT, at_s)
        else:
            crash = crash_evidence.ServerCrash(server_key=server, at_s=at_s)
            suspects.record_crash(_FINGERPRINT, crash, at_s)
    return suspects


@pytest.mark.parametrize(
    ("events", "now", "stage"),
    [
        pytest.param([], 0, _CLEAR, id="nothing"),
        pytest.param([(b"1", 0)], 1, _SUSPECT, id="one-crash"),
        pytest.param([(b"1", 0), (b"2", 1)], 1, _SUSPECT, id="two-crashes"),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2)],
            2,
            _BARRED,
            id="three-crashes",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 0), (b"3", 0)], 0, _BARRED, id="simultaneous"
        ),
        pytest.param(
            [(b"1", 0), (b"1", 0.2), (b"1", 0.9)],
            1,
            _SUSPECT,
            id="several-reports-of-one-crash",
        ),
        pytest.param(
            [(b"1", 0), (b"1", 3), (b"1", 6)],
            6,
            _BARRED,
            id="one-server-that-restarts",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (None, 2), (b"3", 3)],
            3,
            _SUSPECT,
            id="success-between-crashes",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2), (None, 3)],
            3,
            _CLEAR,
            id="success-after-crashes",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2), (None, 1.5)],
            3,
            _SUSPECT,
            id="success-reported-late",
        ),
        pytest.param(
            [(b"1", 2), (b"2", 3), (b"3", 4), (None, 1), (None, 1)],
            4,
            _BARRED,
            id="success-before-all-crashes",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (None, 2), (b"1", 0), (b"2", 1)],
            3,
            _CLEAR,
            id="crashes-reported-again-after-a-success",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2)],
            2 + _BARRED_S,
            _SUSPECT,
            id="bar-expired",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2), (b"4", 3 + _BARRED_S)],
            4 + _BARRED_S,
            _BARRED,
            id="barred-again-by-one-crash",
        ),
        pytest.param(
            [(b"1", 0), (b"2", 1), (b"3", 2)],
            2 + 2 * _BARRED_S,
            _CLEAR,
            id="forgotten",
        ),
        pytest.param(
            [(b"1", 0)], 2 * _BARRED_S, _CLEAR, id="one-crash-forgotten"
        ),
    ],
)
def test_stage_after_crashes_and_successes(events, now, stage):
    suspects = _replay(events)
    assert suspects.judge(_FINGERPRINT, now).stage is stage
    assert suspects.judge(_OTHER_FINGERPRINT, now).stage is _CLEAR


@pytest.mark.parametrize(
    ("now", "remaining_s"), [(2, 600), (302, 300), (601, 1)]
)
def test_verdict_has_remaining_barred_time(now, remaining_s):
    suspects = _replay([(b"1", 0), (b"2", 1), (b"3", 2)])
    assert suspects.judge(_FINGERPRINT, now).barred_for_s == pytest.approx(
        remaining_s
    )


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
def test_result_is_independent_of_the_order_of_reports(order):
    suspects = crash_suspects.CrashSuspects()
    for at_s in order:
        crash = crash_evidence.ServerCrash(server_key=b"%d" % at_s, at_s=at_s)
        assert suspects.record_crash(_FINGERPRINT, crash, 3.0)
        assert not suspects.record_crash(_FINGERPRINT, crash, 3.0)
    verdict = suspects.judge(_FINGERPRINT, 3.0)
    assert verdict.stage is _BARRED
    assert [crash.at_s for crash in verdict.crashes] == [0, 1, 2]


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
def test_fingerprint_depends_on_team_method_target_and_body(one, other, same):
    same_fingerprint = fingerprints.request_fingerprint(
        *one
    ) == fingerprints.request_fingerprint(*other)
    assert same_fingerprint is same


def test_fingerprints_with_fewest_crashes_are_evicted_first():
    suspects = crash_suspects.CrashSuspects(max_entries=50)
    for number in range(3):
        crash = crash_evidence.ServerCrash(server_key=b"%d" % number, at_s=0.0)
        suspects.record_crash(_FINGERPRINT, crash, 0.0)
    for number in range(500):
        crash = crash_evidence.ServerCrash(server_key=b"%d" % number, at_s=1.0)
        suspects.record_crash(b"%016d" % number, crash, 1.0)
    assert len(suspects) == 50
    assert suspects.judge(_FINGERPRINT, 1.0).stage is _BARRED
    assert suspects.judge(b"%016d" % 499, 1.0).stage is _SUSPECT
    assert suspects.judge(b"%016d" % 0, 1.0).stage is _CLEAR


@pytest.mark.parametrize(
    ("crashed", "expected"),
    [((), 6), (("s0", "s1"), 4), (tuple(_SERVERS), 6)],
)
def test_suspect_requests_are_spread_over_servers_but_each_has_one(
    crashed, expected
):
    fingerprints = [b"%016d" % number for number in range(200)]
    used_servers = {
        designation.designate_server(
            fingerprint, _SERVERS, crashed=crashed
        ).server
        for fingerprint in fingerprints
    }
    assert len(used_servers) == expected
    for fingerprint in fingerprints:
        reversed_servers = list(reversed(_SERVERS))
        assert designation.designate_server(
            fingerprint, _SERVERS, crashed=crashed
        ) == designation.designate_server(
            fingerprint, reversed_servers, crashed=crashed
        )


@pytest.mark.parametrize("remaining", [[], ["one"], ["one", "two"]])
def test_prefix_is_kept_while_one_of_its_fingerprints_is(remaining):
    suspects = crash_suspects.CrashSuspects()
    known = [
        fingerprints.request_fingerprint("blue", "POST", "/x", body)
        for body in (b"one", b"two")
    ]
    for fingerprint in known:
        crash = crash_evidence.ServerCrash(server_key=b"1", at_s=0.0)
        suspects.record_crash(fingerprint, crash, 0.0)
        suspects.record_crash(
            fingerprint,
            crash_evidence.ServerCrash(server_key=b"2", at_s=5.0),
            5.0,
        )
    for fingerprint, name in zip(known, ("one", "two"), strict=True):
        if name not in remaining:
            assert suspects.record_success(fingerprint, 1e9)
    prefix = fingerprints.fingerprint_prefix("blue", "POST", "/x", 3)
    assert suspects.has_prefix(prefix) is bool(remaining)
    assert not suspects.has_prefix(
        fingerprints.fingerprint_prefix("a", "POST", "/x", 3)
    )
    assert not suspects.has_prefix(
        fingerprints.fingerprint_prefix("blue", "POST", "/x", 4)
    )


def test_no_server_is_designated_if_there_is_none():
    assert (
        designation.designate_server(_FINGERPRINT, [])
        == designation.DesignatedServer()
    )


def _ranked(fingerprint):
    """Returns the servers in the order in which they are designated."""
    ranked = []
    while len(ranked) < len(_SERVERS):
        ranked.append(
            designation.designate_server(
                fingerprint,
                [name for name in _SERVERS if name not in ranked],
            ).server
        )
    return ranked


@pytest.mark.parametrize(
    ("crash_count", "exited", "expected_position"),
    [
        # Positions in the ranking, which starts with the crashed servers.
        (1, (), 1),
        (1, (1,), 2),
        (1, (1, 2), None),
        (2, (), 2),
        (2, (2,), None),
        # Exits of servers ranked below the designated one do not count.
        (1, (4, 5), 1),
        (2, (4,), 2),
    ],
)
def test_server_that_has_just_exited_counts_as_a_possible_crash(
    crash_count, exited, expected_position
):
    """Guards against a fourth crash while reports of three are in transit."""
    ranked = _ranked(_FINGERPRINT)
    designated = designation.designate_server(
        _FINGERPRINT,
        _SERVERS,
        crashed=ranked[:crash_count],
        recently_gone=[ranked[number] for number in exited],
        crash_count=crash_count,
    )
    if expected_position is None:
        assert designated == designation.DesignatedServer(uncertain=True)
    else:
        assert designated == designation.DesignatedServer(
            server=ranked[expected_position]
        )


@pytest.mark.parametrize(
    ("crashes", "retracted", "left"),
    [
        ([], b"1", 0),
        ([b"1"], b"1", 0),
        ([b"1"], b"2", 1),
        ([b"1", b"2", b"3"], b"2", 2),
    ],
)
def test_a_retracted_crash_counts_no_more(crashes, retracted, left):
    """Guards against requests barred for servers that have not exited."""
    suspects = _replay([(key, 0.0) for key in crashes])
    suspects.retract_crash(
        _FINGERPRINT,
        crash_evidence.ServerCrash(server_key=retracted, at_s=0.1),
    )
    assert len(suspects.judge(_FINGERPRINT, 1.0).crashes) == left
    assert bool(suspects) is bool(left)
