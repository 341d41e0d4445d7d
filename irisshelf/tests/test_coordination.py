"""Claim, head, lease, clock: the functions by themselves."""

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
_LOST = result.Err(
    errors.Unavailable(effect=errors.Effect.UNKNOWN, detail="lost")
)
_REFUSED = result.Err(
    errors.Unavailable(effect=errors.Effect.NONE, detail="rate limit")
)
_MISSING = result.Err(errors.NotFound(key="r"))


def _conflict(value, version=3, index=0):
    failed = errors.FailedCondition(index=index, version=version, value=value)
    return result.Err(errors.Conflict(failed=(failed,)))


def _row(value, version=3):
    return result.Ok(messages.Row(key="r", value=value, version=version))


@pytest.mark.parametrize(
    ("answer", "step"),
    [
        (result.Ok((7,)), claim.Granted),
        (_LOST, claim.ReadBack),
        (_REFUSED, claim.Insert),
        (_conflict({"id": "b", "state": "claimed"}), claim.Duplicate),
        (_conflict({"id": "a", "state": "claimed"}), claim.Granted),
        (_conflict({"id": "b", "state": "released"}), claim.Insert),
        (_conflict("nonsense"), claim.Duplicate),
    ],
)
def test_what_follows_from_an_insert(answer, step):
    (found,) = claim.after_insert([_CLAIM], answer)
    assert type(found) is step


@pytest.mark.parametrize(
    ("answer", "step"),
    [
        (_row({"id": "a", "state": "claimed"}), claim.Granted),
        (_row({"id": "b", "state": "claimed"}), claim.Duplicate),
        (_MISSING, claim.Insert),
        (_LOST, claim.Refused),
    ],
)
def test_what_follows_from_a_read(answer, step):
    assert type(claim.after_read(_CLAIM, answer)) is step


def test_one_conflict_in_a_group_does_not_cost_the_others():
    claims = [_CLAIM, dataclasses.replace(_CLAIM, row="s", claim_id="c")]
    steps = claim.after_insert(
        claims, _conflict({"id": "b", "state": "claimed"}, index=1)
    )
    assert [type(step) for step in steps] == [claim.Insert, claim.Duplicate]
    assert steps[0].claim.attempts == 0


def test_inserts_are_not_tried_for_ever():
    tired = dataclasses.replace(_CLAIM, attempts=claim.MAX_ATTEMPTS - 1)
    assert isinstance(claim.after_insert([tired], _REFUSED)[0], claim.Refused)
    assert isinstance(claim.after_read(tired, _MISSING), claim.Refused)


def test_a_recorded_outcome_comes_back_whole():
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
def test_the_head_only_moves_up(current, allowed):
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
def test_a_lost_submission_is_settled_by_reading_back(row, step):
    found = head.after_read(_HEAD, result.Ok(row), if_version=1)
    assert type(found) is step


@pytest.mark.parametrize(
    ("heard", "adopted", "in_force"),
    [
        ([1, 2, 3], [1, 2, 3], 3),
        ([3, 1, 2], [3, 1, 2], 3),
        ([2, 2], [2, 2], 2),
    ],
)
def test_what_is_in_force_never_falls(heard, adopted, in_force):
    follower = head.Follower()
    for number, taken in zip(heard, adopted, strict=True):
        seen = head.Head(number=number, object_key=str(number))
        if follower.observe(seen):
            follower.adopt(taken)
    assert follower.in_force == in_force
    assert not follower.adopt(in_force)


def test_a_refused_bundle_is_not_fetched_again():
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


def _take(state, now, version):
    state, made = lease.build_write(state, now=now)
    answer = result.Ok((version,))
    state = lease.after_write(state, made, answer, terms=_TERMS, now=now + 1)
    return state, made


def test_a_lease_is_counted_from_before_the_request():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _MISSING, 0.0)
    assert lease.should_write(state, terms=_TERMS, now=0.0)
    state, made = _take(state, 0.0, 1)
    assert (made.if_version, made.value["fence"]) == (messages.ABSENT, 1)
    assert state.held.expires_s == _TERMS.duration_s
    may = [
        lease.may_order(state, terms=_TERMS, checks_fencing=True, now=now)
        for now in (1.0, 9.9, 10.0)
    ]
    assert may == [True, True, False]


def test_an_engine_that_ignores_numbers_waits_for_the_old_holder():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _MISSING, 0.0)
    state, _ = _take(state, 0.0, 1)
    may = {
        now: lease.may_order(state, terms=_TERMS, checks_fencing=False, now=now)
        for now in (1.0, 7.9, 8.1, 9.9)
    }
    assert may == {1.0: False, 7.9: False, 8.1: False, 9.9: False}
    state, made = lease.build_write(state, now=5.0)
    assert made.value["fence"] == 1  # A renewal keeps the number.
    state = lease.after_write(
        state, made, result.Ok((2,)), terms=_TERMS, now=5.1
    )
    assert lease.may_order(state, terms=_TERMS, checks_fencing=False, now=8.5)


def test_another_takes_over_only_after_the_stretched_length():
    state = lease.initial_state(name="b", data_centre="d")
    state = lease.observe(state, _lease_row("a", 4, 7), 100.0)
    assert not lease.should_write(state, terms=_TERMS, now=110.0)
    assert lease.should_write(state, terms=_TERMS, now=110.2)
    renewed = lease.observe(state, _lease_row("a", 4, 8), 109.0)
    assert not lease.should_write(renewed, terms=_TERMS, now=110.2)
    _, made = lease.build_write(state, now=110.2)
    assert (made.if_version, made.value["fence"]) == (7, 5)


def test_a_holder_that_was_replaced_stops():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _MISSING, 0.0)
    state, _ = _take(state, 0.0, 1)
    state = lease.observe(state, _lease_row("b", 2, 5), 3.0)
    assert state.held is None


def test_a_lost_renewal_lengthens_nothing():
    state = lease.initial_state(name="a", data_centre="d")
    state = lease.observe(state, _MISSING, 0.0)
    state, _ = _take(state, 0.0, 1)
    state, made = lease.build_write(state, now=5.0)
    state = lease.after_write(state, made, _LOST, terms=_TERMS, now=6.0)
    state = lease.observe(state, _lease_row("a", 1, 2), 7.0)
    assert state.held.expires_s == _TERMS.duration_s
    assert state.held.version == 2


def test_stamps_grow_past_those_received_but_not_past_a_wild_one():
    wall = [100.0]
    made = clock.HybridClock(process="a", wall=lambda: wall[0])
    first = made.now()
    ahead = clock.Timestamp(wall_s=130.0, count=4, process="b")
    assert made.receive(ahead) > ahead
    wild = clock.Timestamp(wall_s=1e9, count=0, process="c")
    assert made.receive(wild) < wild
    assert made.now() > first
    wall[0] = 50.0  # The wall clock is set back.
    assert made.now() > ahead
