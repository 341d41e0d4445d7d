"""Unit tests of the claim, head, lease and clock protocols."""

import dataclasses

import pytest
import result

from irisshelf.coordination import claim
from irisshelf.coordination import clock
from irisshelf.coordination import head
from irisshelf.coordination import lease
from irisshelf.store import errors
from irisshelf.store import messages

_CLAIM = claim.Claim(row="r", claim_id="a")
_NO_RESPONSE = result.Err(
    errors.Unavailable(effect=errors.Effect.UNKNOWN, detail="lost")
)
_REFUSED = result.Err(
    errors.Unavailable(effect=errors.Effect.NONE, detail="rate limit")
)
_NOT_FOUND = result.Err(errors.NotFound(key="r"))


def _conflict(value, version=3, index=0):
    failed = errors.FailedCondition(index=index, version=version, value=value)
    return result.Err(errors.Conflict(failed=(failed,)))


def _row(value, version=3):
    return result.Ok(messages.Row(key="r", value=value, version=version))


@pytest.mark.parametrize(
    ("answer", "step"),
    [
        (result.Ok((7,)), claim.Granted),
        (_NO_RESPONSE, claim.ReadBack),
        (_REFUSED, claim.Insert),
        (_conflict({"id": "b", "state": "claimed"}), claim.Duplicate),
        (_conflict({"id": "a", "state": "claimed"}), claim.Granted),
        (_conflict({"id": "b", "state": "released"}), claim.Insert),
        (_conflict("nonsense"), claim.Duplicate),
    ],
)
def test_step_after_insert(answer, step):
    (actual,) = claim.after_insert([_CLAIM], answer)
    assert type(actual) is step


@pytest.mark.parametrize(
    ("answer", "step"),
    [
        (_row({"id": "a", "state": "claimed"}), claim.Granted),
        (_row({"id": "b", "state": "claimed"}), claim.Duplicate),
        (_NOT_FOUND, claim.Insert),
        (_NO_RESPONSE, claim.Refused),
    ],
)
def test_step_after_read(answer, step):
    assert type(claim.after_read(_CLAIM, answer)) is step


def test_conflict_in_a_batch_does_not_use_up_attempts_of_other_claims():
    claims = [_CLAIM, dataclasses.replace(_CLAIM, row="s", claim_id="c")]
    steps = claim.after_insert(
        claims, _conflict({"id": "b", "state": "claimed"}, index=1)
    )
    assert [type(step) for step in steps] == [claim.Insert, claim.Duplicate]
    assert steps[0].claim.attempts == 0


def test_insert_attempts_are_limited():
    last_attempt = dataclasses.replace(_CLAIM, attempts=claim.MAX_ATTEMPTS - 1)
    assert isinstance(
        claim.after_insert([last_attempt], _REFUSED)[0], claim.Refused
    )
    assert isinstance(claim.after_read(last_attempt, _NOT_FOUND), claim.Refused)


def test_recorded_outcome_round_trip():
    recorded = claim.RecordedOutcome(
        status=201, content_type="x/y", body="done"
    )
    granted = claim.Granted(claim=_CLAIM, version=1)
    write = claim.outcome_write(granted, recorded)
    other = dataclasses.replace(_CLAIM, claim_id="b")
    step = claim.after_read(other, _row(write.value))
    assert step == claim.Duplicate(claim=other, recorded=recorded)


_HEAD = head.Head(number=5, object_key="o5", submission_id="s5")


def _head_row(number, submission_id="x", version=9):
    value = {
        "number": number,
        "object_key": f"o{number}",
        "submission_id": submission_id,
    }
    return messages.Row(key=head.ROW, value=value, version=version)


@pytest.mark.parametrize(
    ("current", "allowed"), [(4, True), (5, False), (6, False)]
)
def test_submission_requires_higher_number(current, allowed):
    row = _head_row(current)
    if allowed:
        move, history = head.submission(_HEAD, current=row)
        assert move.if_version == row.version
        assert history.key == head.history_row(5)
    else:
        with pytest.raises(ValueError, match=f"allowed: above {current}"):
            head.submission(_HEAD, current=row)


@pytest.mark.parametrize(
    ("row", "step"),
    [
        (_head_row(4, version=1), head.Resubmit),
        (_head_row(5, "s5", version=2), head.Committed),
        (_head_row(5, "s9", version=2), head.Superseded),
        (_head_row(6, "s9", version=3), head.Superseded),
    ],
)
def test_read_back_resolves_submission_without_response(row, step):
    actual = head.after_read(_HEAD, result.Ok(row), if_version=1)
    assert type(actual) is step


@pytest.mark.parametrize(
    ("observed", "adopted", "in_force"),
    [
        ([1, 2, 3], [1, 2, 3], 3),
        ([3, 1, 2], [3, 1, 2], 3),
        ([2, 2], [2, 2], 2),
    ],
)
def test_number_in_force_never_decreases(observed, adopted, in_force):
    follower = head.Follower()
    for number, taken in zip(observed, adopted, strict=True):
        hint = head.Head(number=number, object_key=str(number))
        if follower.observe(hint):
            follower.adopt(taken)
    assert follower.in_force == in_force
    assert not follower.adopt(in_force)


def test_rejected_bundle_is_not_fetched_again():
    follower = head.Follower()
    assert follower.observe(_HEAD)
    follower.reject(_HEAD)
    assert not follower.observe(_HEAD)
    assert follower.pending is None


_TERMS = lease.Terms()


def _lease_row(holder, fence, version):
    return result.Ok(
        messages.Row(
            key="l",
            value={"holder": holder, "fence": fence},
            version=version,
        )
    )


def _acquire(state, now, version):
    state, write = lease.build_write(state, now=now)
    answer = result.Ok((version,))
    state = lease.after_write(state, write, answer, terms=_TERMS, now=now + 1)
    return state, write


def test_lease_duration_starts_when_the_write_is_sent():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _NOT_FOUND, 0.0)
    assert lease.should_write(state, terms=_TERMS, now=0.0)
    state, write = _acquire(state, 0.0, 1)
    assert (write.if_version, write.value["fence"]) == (messages.ABSENT, 1)
    assert state.held.expires_s == _TERMS.duration_s
    allowed = [
        lease.may_order(state, terms=_TERMS, checks_fencing=True, now=now)
        for now in (1.0, 9.9, 10.0)
    ]
    assert allowed == [True, True, False]


def test_orders_to_engine_without_fencing_wait_for_previous_holder():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _NOT_FOUND, 0.0)
    state, _ = _acquire(state, 0.0, 1)
    allowed = {
        now: lease.may_order(state, terms=_TERMS, checks_fencing=False, now=now)
        for now in (1.0, 7.9, 8.1, 9.9)
    }
    assert allowed == {1.0: False, 7.9: False, 8.1: False, 9.9: False}
    state, write = lease.build_write(state, now=5.0)
    assert write.value["fence"] == 1  # A renewal keeps the fencing token.
    state = lease.after_write(
        state, write, result.Ok((2,)), terms=_TERMS, now=5.1
    )
    assert lease.may_order(state, terms=_TERMS, checks_fencing=False, now=8.5)


def test_takeover_waits_for_duration_extended_by_clock_drift():
    state = lease.initial_state(name="b", data_centre="d")
    state = lease.observe(state, _lease_row("a", 4, 7), 100.0)
    assert not lease.should_write(state, terms=_TERMS, now=110.0)
    assert lease.should_write(state, terms=_TERMS, now=110.2)
    renewed = lease.observe(state, _lease_row("a", 4, 8), 109.0)
    assert not lease.should_write(renewed, terms=_TERMS, now=110.2)
    _, write = lease.build_write(state, now=110.2)
    assert (write.if_version, write.value["fence"]) == (7, 5)


def test_replaced_holder_loses_lease():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _NOT_FOUND, 0.0)
    state, _ = _acquire(state, 0.0, 1)
    state = lease.observe(state, _lease_row("b", 2, 5), 3.0)
    assert state.held is None


def test_renewal_without_response_does_not_extend_lease():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _NOT_FOUND, 0.0)
    state, _ = _acquire(state, 0.0, 1)
    state, write = lease.build_write(state, now=5.0)
    state = lease.after_write(state, write, _NO_RESPONSE, terms=_TERMS, now=6.0)
    state = lease.observe(state, _lease_row("a", 1, 2), 7.0)
    assert state.held.expires_s == _TERMS.duration_s
    assert state.held.version == 2


def test_timestamps_exceed_received_ones_except_implausible_ones():
    wall = [100.0]
    hybrid_clock = clock.HybridClock(process="a", wall=lambda: wall[0])
    first = hybrid_clock.now()
    ahead = clock.Timestamp(wall_s=130.0, count=4, process="b")
    assert hybrid_clock.receive(ahead) > ahead
    implausible = clock.Timestamp(wall_s=1e9, count=0, process="c")
    assert hybrid_clock.receive(implausible) < implausible
    assert hybrid_clock.now() > first
    wall[0] = 50.0  # The wall clock is set back.
    assert hybrid_clock.now() > ahead
