"""Admission, retry, stream checks, health."""

import pytest

from irisshelf.bundle import schema
from irisshelf.charts import chart
from irisshelf.routing import outcome
from irisshelf.routing import retry_budget
from irisshelf.routing.owned import admission
from irisshelf.routing.owned import health
from irisshelf.routing.owned import retry
from irisshelf.routing.owned import stream

_NORMAL = schema.Priority.NORMAL


def _ticket(name, team="a", priority=_NORMAL, deadline_s=100.0):
    return admission.Ticket(
        request_id=name, team=team, priority=priority, deadline_s=deadline_s
    )


def _fill(gate, team, count):
    for i in range(count):
        gate.submit(_ticket(f"{team}{i}", team), 0.0)


def test_a_small_team_starts_at_once_while_a_large_one_surges():
    gate = admission.Admission(limit=20, shares={"big": 3.0, "small": 1.0})
    _fill(gate, "big", 40)
    assert gate.running == 18  # The reserve stays free.
    assert isinstance(
        gate.submit(_ticket("s", "small"), 0.0), admission.Admitted
    )


def test_what_waits_starts_by_priority_then_by_share():
    gate = admission.Admission(limit=1, shares={"a": 1.0, "b": 4.0})
    gate.submit(_ticket("running"), 0.0)
    gate.submit(_ticket("a1", "a"), 0.0)
    gate.submit(_ticket("b1", "b"), 0.0)
    urgent = schema.Priority.URGENT
    gate.submit(_ticket("u1", "a", urgent), 0.0)
    order = []
    for team in ("a", "a", "a"):
        (started,) = gate.record_end(team, 0.1)
        order.append(started.ticket.request_id)
    assert order[0] == "u1"
    assert set(order[1:]) == {"a1", "b1"}


def test_what_cannot_start_in_time_is_refused_at_once():
    gate = admission.Admission(limit=1, shares={})
    gate.submit(_ticket("running"), 0.0)
    step = gate.submit(_ticket("late", deadline_s=0.1), 0.0)
    assert isinstance(step, admission.Rejection)
    assert step.retry_after_s > 0
    assert gate.waiting == 0


def test_what_waits_past_its_deadline_is_refused():
    gate = admission.Admission(limit=1, shares={})
    gate.submit(_ticket("running"), 0.0)
    gate.submit(_ticket("waits", deadline_s=5.0), 0.0)
    assert gate.expire(4.9) == []
    (refused,) = gate.expire(5.0)
    assert refused.ticket.request_id == "waits"
    assert gate.record_end("a", 1.0) == []


def test_a_caller_that_goes_away_leaves_the_queue():
    gate = admission.Admission(limit=1, shares={})
    gate.submit(_ticket("running"), 0.0)
    waits = _ticket("waits")
    gate.submit(waits, 0.0)
    gate.cancel(waits)
    assert gate.record_end("a", 1.0) == []
    assert (gate.running, gate.waiting) == (0, 0)


def _budget(*, slack):
    return retry_budget.RetryBudget(ratio=0.1, slack=slack, window_s=10.0)


@pytest.mark.parametrize(
    ("ran", "delivered", "attempts", "repeatable", "now", "again"),
    [
        (outcome.Outcome.NOT_RUN, False, 1, False, 0.0, True),
        (outcome.Outcome.UNKNOWN, False, 1, True, 0.0, True),
        (outcome.Outcome.UNKNOWN, False, 1, False, 0.0, False),
        (outcome.Outcome.UNKNOWN, True, 1, True, 0.0, False),
        (outcome.Outcome.NOT_RUN, False, 3, True, 0.0, False),
        (outcome.Outcome.NOT_RUN, False, 1, True, 10.0, False),
    ],
)
def test_when_an_attempt_is_followed_by_another(
    ran, delivered, attempts, repeatable, now, again
):
    refusal = retry.decide(
        retry.Failure(
            outcome=ran, cause=outcome.Cause.BROKEN, delivered=delivered
        ),
        attempts=attempts,
        repeatable=repeatable,
        now=now,
        deadline_s=10.0,
        budget=_budget(slack=1.0),
    )
    assert (refusal is None) == again
    if refusal is not None:
        assert refusal.outcome is ran


def _course(**changes):
    return retry.RetryState(
        **{
            "repeatable": True,
            "deadline_s": 10.0,
            "budget": _budget(slack=9.0),
            **changes,
        }
    )


def _failure(ran):
    return retry.Failure(outcome=ran, cause=outcome.Cause.BROKEN)


def test_what_one_attempt_may_have_done_is_said_of_the_whole_course():
    course = _course()
    course.start_attempt()
    assert course.record_failure(_failure(outcome.Outcome.UNKNOWN), 0.0) is None
    course.start_attempt()
    assert course.record_failure(_failure(outcome.Outcome.NOT_RUN), 0.0) is None
    assert course.no_target_left("none left").outcome is outcome.Outcome.UNKNOWN


def test_a_course_ends_with_its_attempts_but_for_those_that_nobody_took():
    course = _course()
    for _ in range(5):
        course.start_attempt()
        course.cancel_attempt()
    for last in range(retry.MAX_ATTEMPTS):
        course.start_attempt()
        refusal = course.record_failure(_failure(outcome.Outcome.NOT_RUN), 0.0)
        assert (refusal is None) == (last < retry.MAX_ATTEMPTS - 1)


def test_the_budget_keeps_retries_to_a_share():
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
def test_a_stream_is_checked_event_by_event(events, verdicts):
    names = {
        "C": _V.CHUNK, "E": _V.END, "O": _V.OTHER_ATTEMPT, "G": _V.GAP,
        "R": _V.REPEATED, "K": _V.KEEP_ALIVE, "?": _V.GARBLED,
        "A": _V.AFTER_END,
    }  # fmt: skip
    checker = stream.StreamChecker(attempt_id="a")
    found = [checker.check(event) for event in events]
    assert found == [names[letter] for letter in verdicts]


def test_health_goes_down_holds_and_comes_back_on_probation():
    book = health.HealthTracker()
    book.observe("s", health.Event.UNREACHABLE, 0.0)
    assert not book.takes_work("s")
    assert not book.observe("s", health.Event.PROBE_OK, 0.5)  # Held down.
    assert book.observe("s", health.Event.PROBE_OK, 1.5)
    assert book.state("s") == "probation"
    book.observe("s", health.Event.SUCCESS, 2.0)
    assert book.state("s") == "healthy"


def test_each_flap_holds_a_server_out_longer():
    book = health.HealthTracker()
    now = 0.0
    waits = []
    for _ in range(7):
        book.observe("s", health.Event.UNREACHABLE, now)
        down_s = now
        while not book.takes_work("s"):
            now += 0.25
            book.observe("s", health.Event.PROBE_OK, now)
        waits.append(now - down_s)
    assert waits == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]


@pytest.mark.parametrize(
    ("name", "event", "others"),
    [
        ("s", health.Event.LEAVE, False),
        ("s/e0", health.Event.UNREACHABLE, True),
    ],
)
def test_an_engine_takes_work_if_it_and_its_server_do(name, event, others):
    book = health.HealthTracker()
    book.observe(name, event, 0.0)
    assert not book.takes_work("s/e0")
    assert book.takes_work("s/e1") == others


def test_every_edge_of_the_health_chart_is_walked_by_the_book():
    edges = chart.load("backend_health").edges
    for edge in edges:
        book = health.HealthTracker()
        book._servers["s"] = health.Health(state=edge.source)
        book.observe("s", health.Event(edge.event), 1000.0)
        assert book.state("s") == edge.dest, edge


@pytest.mark.parametrize(
    "name", ["attempt", "backend_health", "bundle_roll", "instance"]
)
def test_charts_are_sound_and_tell_what_they_take(name):
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
def test_a_chart_with_an_unknown_state_is_refused(unknown):
    step = {"trigger": "go", "source": "a", "dest": "a", unknown: "nowhere"}
    document = {"states": ["a"], "initial": "a", "transitions": [step]}
    with pytest.raises(ValueError, match="nowhere"):
        chart.machine_of(document)
