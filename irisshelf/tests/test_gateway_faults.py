"""Backend server faults: complete responses, accurate errors, single runs."""

import gevent
import pytest

from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing import retry_budget
from irisshelf.routing.direct import server_stats

Fault = server.Fault
_ALL_EVENTS = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5)
)


def _inject_fault(world, fault):
    """Injects a fault into the first request, at whichever server gets it."""
    servers = [*world.plain, *world.engines]
    left = [fault]

    def next_fault():
        return left.pop() if left else Fault.NONE

    for one in servers:
        one.choose_fault = next_fault


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [
        (Fault.REFUSE, 200, 1),
        (Fault.NOT_ME, 200, 1),
        (Fault.RESET, 200, 1),
        (Fault.RESET_AFTER_RUN, 200, 2),
        (Fault.FAIL, 200, 2),
        (Fault.BARE_503, 200, 2),
        (Fault.HANG, 200, 2),
        (Fault.GARBAGE, 200, 2),
        (Fault.UNSIGNED, 200, 2),
        (Fault.ENCODED, 200, 2),
        (Fault.CUT, 200, 2),
        (Fault.STRAY_FIRST, 200, 1),
        (Fault.UNFRAMED, 200, 1),
    ],
)
def test_a_safe_request_is_retried(world, fault, status, runs):
    _inject_fault(world, fault)
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, answer.whole) == (status, True)
    assert answer.body == b"answer to v"
    assert world.runs("v") == runs


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [
        (Fault.REFUSE, 200, 1),
        (Fault.NOT_ME, 200, 1),
        (Fault.RESET, 502, 0),
        (Fault.RESET_AFTER_RUN, 502, 1),
        (Fault.FAIL, 500, 1),
        (Fault.BARE_503, 502, 1),
        (Fault.GARBAGE, 502, 1),
        (Fault.UNSIGNED, 502, 1),
        (Fault.ENCODED, 502, 1),
        (Fault.CUT, 502, 1),
        (Fault.STRAY_FIRST, 200, 1),
        (Fault.STRAY_AFTER, 200, 1),
        (Fault.UNFRAMED, 200, 1),
    ],
)
def test_an_unsafe_request_runs_at_most_once(world, fault, status, runs):
    _inject_fault(world, fault)
    answer = world.ask("/alarm/1", Request_Id="a")
    assert (answer.status, answer.whole) == (status, True)
    assert world.runs("a") == runs


@pytest.mark.parametrize(
    ("target", "fault"),
    [
        ("/alarm/1", Fault.UNSIGNED),
        ("/alarm/1", Fault.BARE_503),
        ("/query/1", Fault.ENCODED),
    ],
)
def test_own_errors_carry_no_server_signature(world, target, fault):
    _inject_fault(world, fault)
    answer = world.ask(target)
    assert answer.status == 502
    assert "response-signature" not in answer.headers


@pytest.mark.parametrize(
    "fault",
    [Fault.CUT, Fault.TORN, Fault.RESET_AFTER_RUN, Fault.HANG, Fault.FAIL],
)
def test_a_resumable_stream_resumes_at_another_server(world, fault):
    _inject_fault(world, fault)
    answer = world.ask("/digest/1", Request_Id="d")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == _ALL_EVENTS


def test_a_resumed_stream_keeps_the_first_servers_signature(world):
    _inject_fault(world, Fault.TORN)
    answer = world.ask("/digest/1", Request_Id="d")
    runs = [r for s in world.engines for r in s.runs]
    first = min(runs, key=lambda run: run.after_event)
    last = max(runs, key=lambda run: run.after_event)
    assert answer.headers["response-signature"].startswith(first.server_id)
    assert (first.server_id != last.server_id, last.after_event) == (True, 2)


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TORN])
def test_a_stream_that_cannot_resume_is_visibly_truncated(world, fault):
    _inject_fault(world, fault)
    answer = world.ask("/query/1", Request_Id="q")
    assert (answer.status, answer.whole) == (200, False)
    assert _ALL_EVENTS.startswith(answer.body)
    assert world.runs("q") == 1


@pytest.mark.parametrize("fault", [Fault.RESET_AFTER_RUN, Fault.UNSIGNED])
def test_an_at_most_once_stream_is_not_retried(world, fault):
    _inject_fault(world, fault)
    assert world.ask("/query/1", Request_Id="q").status == 502
    assert world.runs("q") == 1


def test_a_caller_resumes_after_its_last_event(world):
    answer = world.ask("/digest/1", Last_Event_Id="2")
    assert answer.body == b"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"


@pytest.mark.parametrize(
    ("target", "status"),
    [("/alarm/1", 503), ("/query/1", 503), ("/valve/1", 503)],
)
def test_a_rejection_by_all_servers_is_reported_as_not_run(
    world, target, status
):
    for one in [*world.plain, *world.engines]:
        one.always = Fault.REFUSE
    answer = world.ask(target, Request_Id="x")
    assert answer.status == status
    assert float(answer.headers["retry-after"]) > 0
    assert world.runs("x") == 0


def test_sends_are_limited_to_the_routes_maximum():
    world = world_module.World(servers=4)
    for one in world.plain:
        one.always = Fault.FAIL
    answer = world.ask("/valve/1", Request_Id="x")
    assert (answer.status, world.runs("x")) == (500, 2)
    assert answer.headers["response-signature"]
    world.close()


@pytest.mark.parametrize(
    ("target", "deadline_ms"),
    [("/alarm/1", "300"), ("/valve/1", "300"), ("/query/1", "300")],
)
def test_a_request_that_hangs_gets_a_response_at_its_deadline(
    world, target, deadline_ms
):
    for one in [*world.plain, *world.engines]:
        one.always = Fault.HANG
    answer = world.ask(target, Deadline_Ms=deadline_ms)
    assert (answer.status, answer.whole) == (504, True)


def test_a_dead_server_does_not_fail_requests(world):
    world.plain[0].close()
    answers = {world.ask("/alarm/1").status for _ in range(8)}
    assert answers == {200}


def test_a_caller_that_disconnects_cancels_its_request(world):
    for one in world.engines:
        one.always = Fault.HANG
    conn = world.connect()
    headers = world.headers(b"{}")
    conn.send("POST", "/digest/1", headers, b"{}", timeout_s=5.0)
    world.wait(lambda: sum(one.working for one in world.engines) == 1)
    conn.close()
    world.wait(lambda: sum(one.working for one in world.engines) == 0)


def test_an_unsafe_request_continues_after_its_caller_disconnects(world):
    for one in world.plain:
        one.always = Fault.SLOW
    conn = world.connect()
    conn.send("POST", "/alarm/1", world.headers(b"{}"), b"{}", timeout_s=5.0)
    world.wait(lambda: sum(one.working for one in world.plain) == 1)
    conn.close()
    world.wait(lambda: sum(one.working for one in world.plain) == 0)
    gevent.sleep(0)
    assert sum(one.broken_off for one in world.plain) == 0


@pytest.mark.parametrize("moment", [Fault.HANG, Fault.HANG_MIDWAY])
def test_a_stream_fails_over_from_a_silent_unreachable_server(world, moment):
    config = world_module.config(2)
    for route in config["routes"]:
        route |= {"targetLatencyMs": 60_000, "gapTargetMs": 60_000}
    world.store.put("op", "config", config)
    world.wait(lambda: world.inst.catalog.version == 2)
    _inject_fault(world, moment)

    def close_silent_server():
        world.wait(lambda: any(one.working for one in world.engines))
        (silent,) = [one for one in world.engines if one.working]
        silent.close()

    gevent.spawn(close_silent_server)
    answer = world.ask("/digest/1", Deadline_Ms="60000")
    assert (answer.status, answer.body) == (200, _ALL_EVENTS)
    (lost,) = [s for s in world.engines if s.closed]
    listed = world.inst.directory.get(lost.server_id)
    assert world.inst.servers.reach.is_unreachable(listed)


def test_an_at_most_once_stream_waits_for_a_silent_server(world):
    """The response may still arrive, so silence does not end the request."""
    _inject_fault(world, Fault.HANG)

    def close_silent_server():
        world.wait(lambda: any(one.working for one in world.engines))
        (silent,) = [one for one in world.engines if one.working]
        silent.close()

    gevent.spawn(close_silent_server)
    answer = world.ask("/query/1", Deadline_Ms="700", Request_Id="q")
    assert (answer.status, world.runs("q")) == (504, 1)


def test_a_silent_server_is_waited_for_if_no_other_is_healthy(world):
    """Failing over to an unreachable server would only lose the response."""
    busy, lost = world.plain
    busy.always = Fault.SLOW
    world.inst.servers.chooser("crew").stats.record_outcome(
        lost.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
    )
    lost.close()
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, world.runs("v")) == (200, 1)


def test_an_idle_connection_to_an_unreachable_server_is_not_used(world):
    for _ in range(4):
        world.ask("/valve/1", method="GET", body=b"")
    for one in world.plain:
        world.inst.servers.chooser("crew").stats.record_outcome(
            one.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
        )
        one.close()
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, world.runs("v")) == (503, 0)


@pytest.mark.parametrize("lost", ["some", "all"])
def test_an_instance_that_reaches_no_server_is_not_ready(world, lost):
    servers = [*world.plain, *world.engines]
    for one in servers if lost == "all" else servers[1:]:
        world.inst.servers.chooser(one.service).stats.record_outcome(
            one.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
        )
        one.close()
    assert world.inst.ready is (lost == "some")
    answer = world.ask("/digest/1", Request_Id="d")
    assert (answer.status, world.runs("d")) == (503, 0)
    assert ("connection" in answer.headers) is (lost == "all")


def test_only_one_unreachable_server_is_tried_as_last_resort(monkeypatch):
    world = world_module.World(servers=4)
    for one in world.plain:
        world.inst.servers.chooser("crew").stats.record_outcome(
            one.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
        )
        one.close()
    tried = []
    monkeypatch.setattr(
        world.inst.log,
        "warning",
        lambda name, **fields: tried.append(name),
    )
    monkeypatch.setattr(
        world.inst.servers.reach,
        "record_unreachable",
        lambda server, exc, request: tried.append(request),
    )
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, tried) == (503, ["v"])
    world.close()


def test_the_only_healthy_server_is_retried(world):
    only, lost = world.plain
    only.faults.append(Fault.FAIL)
    world.inst.servers.chooser("crew").stats.record_outcome(
        lost.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
    )
    lost.close()
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, world.runs("v")) == (200, 2)


@pytest.mark.parametrize("instances", [10, 40])
def test_an_instance_uses_its_share_of_the_retry_budget(world, instances):
    """Guards against retries of all instances that exceed the platform's."""
    world.inst.servers.fleet.record(instances, world.inst.now())
    budget = world.inst.servers.budget("crew")
    for _ in range(100):
        budget.record_request(world.inst.now())
    bounds = world.inst.cfg.bounds
    slack = bounds.retry_slack / instances
    whole = bounds.retry_share * 100 + slack
    left = budget.remaining(world.inst.now())
    assert 0.5 * whole < left < 0.9 * whole
    share = retry_budget.FLEET_SAFETY_FACTOR * bounds.retry_share * 100
    assert 0.5 * slack < left - share < 0.9 * slack


def test_a_broken_connection_that_was_just_in_use_counts_against_the_server(
    world,
):
    for _ in range(4):
        world.ask("/digest/1", Prefix_Hash="aa:500,bb:900,own:9")
    (used,) = {r.server_id for s in world.engines for r in s.runs}
    by_id = {one.server_id: one for one in world.engines}
    by_id[used].always = Fault.RESET_AFTER_RUN
    answer = world.ask("/digest/1", Prefix_Hash="aa:500,bb:900,own:9")
    assert (answer.status, answer.body) == (200, _ALL_EVENTS)
