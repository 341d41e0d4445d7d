"""Tests of admission, retries, stream checks and health."""

import pytest

from irisshelf.bundle import schema
from irisshelf.charts import chart
from irisshelf.overload import waiting
from irisshelf.routing import outcome
from irisshelf.routing import retry_budget
from irisshelf.routing.owned import health
from irisshelf.routing.owned import retry
from irisshelf.routing.owned import stream

_NORMAL = schema.Priority.NORMAL


def _ticket(name, team="a", priority=_NORMAL, deadline_s=100.0):
    return waiting.Ticket(
        request_id=name, team=team, priority=priority, deadline_s=deadline_s
    )


def _fill(admission_control, team, count):
    for i in range(count):
        admission_control.submit(_ticket(f"{team}{i}", team), 0.0)


def test_small_team_is_admitted_during_surge_of_large_team():
    admission_control = waiting.Admission(
        limit=20, shares={"big": 3.0, "small": 1.0}
    )
    _fill(admission_control, "big", 40)
    assert admission_control.running == 18  # Reserved slots stay free.
    assert isinstance(
        admission_control.submit(_ticket("s", "small"), 0.0), waiting.Admitted
    )


def test_queued_requests_start_by_priority_then_by_share():
    admission_control = waiting.Admission(limit=1, shares={"a": 1.0, "b": 4.0})
    admission_control.submit(_ticket("running"), 0.0)
    admission_control.submit(_ticket("a1", "a"), 0.0)
    admission_control.submit(_ticket("b1", "b"), 0.0)
    urgent = schema.Priority.URGENT
    admission_control.submit(_ticket("u1", "a", urgent), 0.0)
    order = []
    for team in ("a", "a", "a"):
        (started,) = admission_control.record_end(team, 0.1)
        order.append(started.ticket.request_id)
    assert order[0] == "u1"
    assert set(order[1:]) == {"a1", "b1"}


def test_request_that_cannot_start_in_time_is_rejected_at_once():
    admission_control = waiting.Admission(limit=1, shares={})
    admission_control.submit(_ticket("running"), 0.0)
    step = admission_control.submit(_ticket("late", deadline_s=0.1), 0.0)
    assert isinstance(step, waiting.Rejection)
    assert step.retry_after_s > 0
    assert admission_control.waiting == 0


def test_queued_request_is_rejected_at_its_deadline():
    admission_control = waiting.Admission(limit=1, shares={})
    admission_control.submit(_ticket("running"), 0.0)
    admission_control.submit(_ticket("queued", deadline_s=5.0), 0.0)
    assert admission_control.expire(4.9) == []
    (refused,) = admission_control.expire(5.0)
    assert refused.ticket.request_id == "queued"
    assert admission_control.record_end("a", 1.0) == []


@pytest.mark.parametrize("deadlines_s", [(9.0, 5.0, 7.0), (5.0, 7.0, 9.0)])
def test_queued_requests_start_by_earliest_deadline(deadlines_s):
    """Guards against requests that expire behind ones that could wait."""
    admission_control = waiting.Admission(limit=1, shares={})
    admission_control.submit(_ticket("running"), 0.0)
    for deadline_s in deadlines_s:
        admission_control.submit(
            _ticket(str(deadline_s), deadline_s=deadline_s), 0.0
        )
    (expired,) = admission_control.expire(6.0)
    assert expired.ticket.deadline_s == 5.0
    started = [admission_control.record_end("a", 0.1) for _ in range(2)]
    assert [one.ticket.deadline_s for (one,) in started] == [7.0, 9.0]


def test_requests_of_unknown_duration_do_not_shorten_the_expected_wait():
    """Guards against a queue of requests that cannot start in time."""
    admission_control = waiting.Admission(limit=1, shares={})
    before_s = admission_control.expected_wait_s(_ticket("next"))
    for _ in range(50):
        admission_control.submit(_ticket("ended"), 0.0)
        admission_control.record_end("a", 0.0)
    assert admission_control.expected_wait_s(_ticket("next")) == before_s


def test_cancelled_request_leaves_the_queue():
    admission_control = waiting.Admission(limit=1, shares={})
    admission_control.submit(_ticket("running"), 0.0)
    queued = _ticket("queued")
    admission_control.submit(queued, 0.0)
    admission_control.cancel(queued)
    assert admission_control.record_end("a", 1.0) == []
    assert (admission_control.running, admission_control.waiting) == (0, 0)


def _budget(*, slack):
    return retry_budget.RetryBudget(ratio=0.1, slack=slack, window_s=10.0)


@pytest.mark.parametrize(
    ("attempt_outcome", "delivered", "attempts", "repeatable", "now", "again"),
    [
        (outcome.Outcome.NOT_RUN, False, 1, False, 0.0, True),
        (outcome.Outcome.UNKNOWN, False, 1, True, 0.0, True),
        (outcome.Outcome.UNKNOWN, False, 1, False, 0.0, False),
        (outcome.Outcome.UNKNOWN, True, 1, True, 0.0, False),
        (outcome.Outcome.NOT_RUN, False, 3, True, 0.0, False),
        (outcome.Outcome.NOT_RUN, False, 1, True, 10.0, False),
    ],
)
def test_conditions_for_a_retry(
    attempt_outcome, delivered, attempts, repeatable, now, again
):
    refusal = retry.decide(
        retry.Failure(
            outcome=attempt_outcome,
            cause=outcome.Cause.BROKEN,
            delivered=delivered,
        ),
        attempts=attempts,
        repeatable=repeatable,
        now=now,
        deadline_s=10.0,
        budget=_budget(slack=1.0),
    )
    assert (refusal is None) == again
    if refusal is not None:
        assert refusal.outcome is attempt_outcome


def _retry_state(**changes):
    return retry.RetryState(
        **{
            "repeatable": True,
            "deadline_s": 10.0,
            "budget": _budget(slack=9.0),
            **changes,
        }
    )


def _failure(attempt_outcome):
    return retry.Failure(outcome=attempt_outcome, cause=outcome.Cause.BROKEN)


def test_unknown_outcome_of_one_attempt_is_kept_for_the_request():
    state = _retry_state()
    state.start_attempt()
    assert state.record_failure(_failure(outcome.Outcome.UNKNOWN), 0.0) is None
    state.start_attempt()
    assert state.record_failure(_failure(outcome.Outcome.NOT_RUN), 0.0) is None
    assert state.no_target_left("none left").outcome is outcome.Outcome.UNKNOWN


def test_attempts_are_limited_and_cancelled_ones_not_counted():
    state = _retry_state()
    for _ in range(5):
        state.start_attempt()
        state.cancel_attempt()
    for last in range(retry.MAX_ATTEMPTS):
        state.start_attempt()
        refusal = state.record_failure(_failure(outcome.Outcome.NOT_RUN), 0.0)
        assert (refusal is None) == (last < retry.MAX_ATTEMPTS - 1)


def test_budget_limits_retries_to_a_share_of_requests():
    budget = _budget(slack=2.0)
    taken = 0
    for number in range(1000):
        now = number / 50.0
        budget.record_request(now)
        taken += budget.try_take(now)
    assert 95 <= taken <= 105


_V = stream.Verdict


@pytest.mark.parametrize(
    ("events", "verdicts"),
    [
        ([b"id: a:0\ndata: x\n\n", b"id: a:1\ndata: [DONE]\n\n"], "CE"),
        ([b"id: b:0\ndata: x\n\n"], "O"),
        ([b"id: a:1\ndata: x\n\n"], "G"),
        ([b"id: a:0\ndata: x\n\n", b"id: a:0\ndata: x\n\n"], "CR"),
        ([b": wait\n\n", b"id: a:0\ndata: x\n\n"], "KC"),
        ([b"id: a:x\ndata: x\n\n"], "?"),
        ([b"id: a:0\nnope: x\n\n"], "?"),
        ([b"data: x\n\n"], "?"),
        ([b"id: a:0\ndata: [DONE]\n\n", b"id: a:1\ndata: x\n\n"], "EA"),
    ],
)
def test_stream_checker_classifies_events(events, verdicts):
    names = {
        "C": _V.CHUNK, "E": _V.END, "O": _V.OTHER_ATTEMPT, "G": _V.GAP,
        "R": _V.REPEATED, "K": _V.KEEP_ALIVE, "?": _V.GARBLED,
        "A": _V.AFTER_END,
    }  # fmt: skip
    checker = stream.StreamChecker(attempt_id="a")
    found = [checker.check(event) for event in events]
    assert found == [names[letter] for letter in verdicts]


def test_server_is_held_down_then_returns_on_probation():
    tracker = health.HealthTracker()
    tracker.observe("s", health.Event.UNREACHABLE, 0.0)
    assert not tracker.takes_work("s")
    assert not tracker.observe("s", health.Event.PROBE_OK, 0.5)  # Held down.
    assert tracker.observe("s", health.Event.PROBE_OK, 1.5)
    assert tracker.state("s") == "probation"
    tracker.observe("s", health.Event.SUCCESS, 2.0)
    assert tracker.state("s") == "healthy"


def test_hold_down_grows_with_each_flap():
    tracker = health.HealthTracker()
    now = 0.0
    hold_downs_s = []
    for _ in range(7):
        tracker.observe("s", health.Event.UNREACHABLE, now)
        down_s = now
        while not tracker.takes_work("s"):
            now += 0.25
            tracker.observe("s", health.Event.PROBE_OK, now)
        hold_downs_s.append(now - down_s)
    assert hold_downs_s == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


@pytest.mark.parametrize(
    ("name", "event", "others"),
    [
        ("s", health.Event.LEAVE, False),
        ("s/e0", health.Event.UNREACHABLE, True),
    ],
)
def test_engine_is_available_if_it_and_its_server_are(name, event, others):
    tracker = health.HealthTracker()
    tracker.observe(name, event, 0.0)
    assert not tracker.takes_work("s/e0")
    assert tracker.takes_work("s/e1") == others


def test_health_tracker_follows_every_edge_of_the_chart():
    edges = chart.load("backend_health").edges
    for edge in edges:
        tracker = health.HealthTracker()
        tracker._servers["s"] = health.Health(state=edge.source)
        tracker.observe("s", health.Event(edge.event), 1000.0)
        assert tracker.state("s") == edge.dest, edge


@pytest.mark.parametrize(
    "name", ["attempt", "backend_health", "bundle_roll", "instance"]
)
def test_charts_are_consistent_and_report_allowed_events(name):
    found = chart.load(name)
    for edge in found.edges:
        assert found.step(edge.source, edge.event).unwrap() == edge.dest
    refused = found.step(found.initial, "nonsense").unwrap_err()
    assert refused.allowed
    reachable = {found.initial}
    for _ in found.edges:
        reachable |= {e.dest for e in found.edges if e.source in reachable}
    assert {e.source for e in found.edges} <= reachable


@pytest.mark.parametrize("unknown", ["dest", "source"])
def test_chart_with_unknown_state_is_rejected(unknown):
    step = {"trigger": "go", "source": "a", "dest": "a", unknown: "nowhere"}
    document = {"states": ["a"], "initial": "a", "transitions": [step]}
    with pytest.raises(ValueError, match="nowhere"):
        chart.build_machine(document)
