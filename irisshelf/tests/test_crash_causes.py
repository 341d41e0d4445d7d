"""Which fingerprints explain the crashes of servers, and what follows."""

import pytest

from irisshelf.routing import crash_causes
from irisshelf.routing import crash_evidence
from irisshelf.routing import crash_suspects
from irisshelf.routing import designation

_BARRED = crash_suspects.Stage.BARRED
_SUSPECT = crash_suspects.Stage.SUSPECT
_CLEAR = crash_suspects.Stage.CLEAR


def _crash(number, **options):
    return crash_evidence.ServerCrash(
        server_key=b"%d" % number, at_s=float(10 * number), **options
    )


def _crashes(evidence):
    """Converts ``{fingerprint: numbers or crashes}``."""
    return {
        name.encode(): [
            one if isinstance(one, crash_evidence.ServerCrash) else _crash(one)
            for one in crashes
        ]
        for name, crashes in evidence.items()
    }


def _at_once(number):
    return crash_evidence.ServerCrash(
        server_key=b"%d" % number, at_s=number / 100, sound=True
    )


@pytest.mark.parametrize(
    ("evidence", "expected"),
    [
        pytest.param({}, [], id="nothing"),
        pytest.param({"x": [1, 2]}, [], id="too-few"),
        pytest.param({"x": [1, 2, 3]}, ["x"], id="one"),
        pytest.param(
            {"x": [1, 2, 3, 4], "beside": [1, 2, 4]}, ["x"], id="often-beside"
        ),
        pytest.param(
            {"x": [1, 2, 3], "only": [1, 2, 3]}, ["only x"], id="always-beside"
        ),
        pytest.param(
            {"x": [1, 3, 5], "y": [2, 4, 6]}, ["x", "y"], id="two-by-turns"
        ),
        pytest.param(
            {"x": [1, 2, 3, 4], "y": [3, 4, 5, 6, 7]},
            ["y"],
            id="second-has-too-few-of-its-own",
        ),
        pytest.param(
            {"x": [_crash(n, late=True) for n in range(8)]}, [], id="late"
        ),
        pytest.param(
            {"x": [_crash(n, late=True) for n in range(9)]},
            ["x"],
            id="late-but-often",
        ),
        pytest.param(
            {"x": [_crash(n, sound=True) for n in range(5)]},
            [],
            id="sound-before",
        ),
        pytest.param(
            {"x": [_crash(n, sound=True) for n in range(6)]},
            ["x"],
            id="sound-before-but-often",
        ),
        pytest.param(
            {"x": [_at_once(n) for n in range(40)]},
            [],
            id="sound-before-and-all-at-once",
        ),
        pytest.param(
            {
                "x": [1, 2, 3],
                "shared": [_crash(n, sound=True) for n in (1, 2, 3)],
            },
            ["x"],
            id="shared-with-sound-ones",
        ),
    ],
)
def test_causes_that_are_found(evidence, expected):
    """Guards against a part that is blamed for the crashes of another."""
    causes = crash_causes.find_causes(_crashes(evidence))
    found = [
        " ".join(sorted(one.decode() for one in cause.fingerprints))
        for cause in causes.found
    ]
    assert sorted(found) == expected


def _suspects(evidence):
    suspects = crash_suspects.CrashSuspects()
    for fingerprint, crashes in _crashes(evidence).items():
        for crash in crashes:
            suspects.record_crash(fingerprint, crash, crash.at_s)
    return suspects


_PAIR = {"x": [1, 2, 3], "only": [1, 2, 3], "other": [3]}


@pytest.mark.parametrize(
    ("evidence", "request_has", "stage", "cautious"),
    [
        pytest.param({"x": [1]}, "x", _SUSPECT, False, id="suspect"),
        pytest.param({"x": [1]}, "y", _CLEAR, False, id="not-concerned"),
        pytest.param(
            {"x": [_crash(1, late=True)]}, "x", _CLEAR, False, id="late-only"
        ),
        pytest.param(
            {"x": [_crash(1, sound=True)]}, "x", _CLEAR, False, id="sound-only"
        ),
        pytest.param({"x": [1, 2, 3]}, "x y", _BARRED, False, id="barred"),
        pytest.param(
            {"x": [1, 2, 3], "y": [3]}, "y", _CLEAR, False, id="explained"
        ),
        pytest.param(
            {"x": [1, 2, 3], "y": [3, 4]},
            "y",
            _SUSPECT,
            False,
            id="partly-explained",
        ),
        pytest.param(_PAIR, "x only", _BARRED, False, id="pair"),
        pytest.param(_PAIR, "x other", _SUSPECT, True, id="half-of-pair"),
        pytest.param(_PAIR, "only", _SUSPECT, True, id="other-half"),
        pytest.param(_PAIR, "other", _CLEAR, False, id="beside-pair"),
    ],
)
def test_stage_of_a_request(evidence, request_has, stage, cautious):
    """Guards against sound requests that are barred with the cause."""
    suspects = _suspects(evidence)
    names = [name.encode() for name in request_has.split()]
    verdict = suspects.judge_request(names, 40.0)
    assert (verdict.stage, verdict.cautious) == (stage, cautious)


@pytest.mark.parametrize("cleared", ["x", "only"])
def test_a_success_tells_indistinguishable_fingerprints_apart(cleared):
    """Guards against sound parts barred as they are only seen beside others."""
    suspects = _suspects(_PAIR)
    suspects.record_success(cleared.encode(), 35.0)
    (left,) = {"x", "only"} - {cleared}
    assert suspects.judge(cleared.encode(), 40.0).stage is _CLEAR
    assert suspects.judge(left.encode(), 40.0).stage is _BARRED


@pytest.mark.parametrize(
    ("crashes", "now", "stage", "trial"),
    [
        pytest.param(3, 35.0, _BARRED, False, id="barred"),
        pytest.param(3, 45.0, _BARRED, True, id="tried-after-some-time"),
        pytest.param(4, 45.0, _BARRED, False, id="trial-crashed-a-server"),
        pytest.param(4, 60.0, _BARRED, False, id="tried-once-only"),
        pytest.param(4, 700.0, _SUSPECT, True, id="expired"),
    ],
)
def test_when_a_bar_is_tried(crashes, now, stage, trial):
    """Guards against a bar on a coincidence that lasts as long as any."""
    suspects = _suspects({"x": range(1, crashes + 1)})
    verdict = suspects.judge(b"x", now)
    assert (verdict.stage, verdict.trial) == (stage, trial)


def test_a_bar_on_many_crashes_at_once_is_tried_as_well():
    """Guards against a wrong bar that lasts as it rests on many crashes."""
    crashes = [
        crash_evidence.ServerCrash(server_key=b"%d" % number, at_s=number / 10)
        for number in range(8)
    ]
    suspects = _suspects({"x": crashes})
    assert not suspects.judge(b"x", 5.0).trial
    assert suspects.judge(b"x", 11.0).trial


def test_reports_of_one_crash_by_several_instances_are_joined():
    """Guards against a cause that is told apart only by clocks."""
    suspects = crash_suspects.CrashSuspects()
    for number in range(1, 4):
        for name, later_s in ((b"x", 0.0), (b"only", 0.2)):
            crash = crash_evidence.ServerCrash(
                server_key=b"%d" % number, at_s=10.0 * number + later_s
            )
            suspects.record_crash(name, crash, crash.at_s)
    assert suspects.judge_request([b"x", b"only"], 40.0).stage is _BARRED
    assert suspects.judge(b"x", 40.0).cautious


@pytest.mark.parametrize("seen", [("a", "b", "c"), ("b", "c", "a")])
def test_all_instances_designate_the_same_one(seen):
    instances = [
        (data_centre, f"{data_centre}-{number}")
        for data_centre in seen
        for number in range(3)
    ]
    everyone = {
        designation.designate_instance(b"%d" % number, instances)
        for number in range(200)
    }
    assert everyone == {name for _, name in instances}
    assert designation.designate_instance(
        b"1", instances
    ) == designation.designate_instance(b"1", sorted(instances))


@pytest.mark.parametrize(
    ("reports", "weight"),
    [
        pytest.param(["early"], 6, id="early"),
        pytest.param(["late"], 2, id="late"),
        pytest.param(["early", "early"], 6, id="both-early"),
        pytest.param(["late", "late"], 2, id="both-late"),
        pytest.param(["early", "late"], 3, id="one-had-come-far"),
        pytest.param(["late", "early", "early"], 3, id="in-any-order"),
    ],
)
def test_a_request_that_had_come_far_speaks_for_its_parts(reports, weight):
    """Guards against common parts that seem as suspect as the cause."""
    suspects = crash_suspects.CrashSuspects()
    for report in reports:
        suspects.record_crash(b"x", _crash(1, late=report == "late"), 10.0)
    (crash,) = suspects.snapshot(10.0)[b"x"]
    assert crash.weight == weight


@pytest.mark.parametrize(
    ("requests", "rarest"),
    [
        pytest.param({"x": 1, "common": 3}, "x", id="one-and-three"),
        pytest.param({"x": 2, "common": 2}, "", id="the-same"),
        pytest.param({"x": 1}, "", id="alone"),
    ],
)
def test_the_part_of_the_fewest_requests_is_the_likely_cause(requests, rarest):
    """Guards against a cause that is tried as readily as common parts."""
    suspects = crash_suspects.CrashSuspects()
    for number in range(3):
        for name, count in requests.items():
            for _ in range(count):
                suspects.record_crash(name.encode(), _crash(number), 30.0)
    verdict = suspects.judge(b"x", 31.0)
    assert verdict.rarest == rarest.encode()
