"""Faults of backend servers: whole answers, true refusals, one run."""

import gevent
import pytest

from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import server_stats

Fault = server.Fault
_ALL_EVENTS = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5)
)


def _first_fault(world, fault):
    """Makes whichever server is asked first misbehave once."""
    everyone = [*world.plain, *world.engines]
    left = [fault]

    def next_fault():
        return left.pop() if left else Fault.NONE

    for one in everyone:
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
def test_a_safe_request_is_tried_again(world, fault, status, runs):
    _first_fault(world, fault)
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
def test_an_unsafe_request_runs_once_at_most(world, fault, status, runs):
    _first_fault(world, fault)
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
def test_no_failure_of_ours_carries_a_servers_signature(world, target, fault):
    _first_fault(world, fault)
    answer = world.ask(target)
    assert answer.status == 502
    assert "response-signature" not in answer.headers


@pytest.mark.parametrize(
    "fault",
    [Fault.CUT, Fault.TORN, Fault.RESET_AFTER_RUN, Fault.HANG, Fault.FAIL],
)
def test_a_resumable_stream_goes_on_at_another_server(world, fault):
    _first_fault(world, fault)
    answer = world.ask("/digest/1", Request_Id="d")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == _ALL_EVENTS


def test_a_resumed_stream_keeps_the_first_servers_signature(world):
    _first_fault(world, Fault.TORN)
    answer = world.ask("/digest/1", Request_Id="d")
    runs = [r for s in world.engines for r in s.runs]
    first = min(runs, key=lambda run: run.after_event)
    last = max(runs, key=lambda run: run.after_event)
    assert answer.headers["response-signature"].startswith(first.server_id)
    assert (first.server_id != last.server_id, last.after_event) == (True, 2)


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TORN])
def test_a_stream_that_cannot_go_on_looks_cut(world, fault):
    _first_fault(world, fault)
    answer = world.ask("/query/1", Request_Id="q")
    assert (answer.status, answer.whole) == (200, False)
    assert _ALL_EVENTS.startswith(answer.body)
    assert world.runs("q") == 1


@pytest.mark.parametrize("fault", [Fault.RESET_AFTER_RUN, Fault.UNSIGNED])
def test_a_stream_that_may_run_once_is_not_sent_again(world, fault):
    _first_fault(world, fault)
    assert world.ask("/query/1", Request_Id="q").status == 502
    assert world.runs("q") == 1


def test_a_caller_goes_on_where_its_stream_broke(world):
    answer = world.ask("/digest/1", Last_Event_Id="2")
    assert answer.body == b"id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"


@pytest.mark.parametrize(
    ("target", "status"),
    [("/alarm/1", 503), ("/query/1", 503), ("/valve/1", 503)],
)
def test_refused_everywhere_is_a_true_refusal(world, target, status):
    for one in [*world.plain, *world.engines]:
        one.always = Fault.REFUSE
    answer = world.ask(target, Request_Id="x")
    assert answer.status == status
    assert float(answer.headers["retry-after"]) > 0
    assert world.runs("x") == 0


def test_no_more_servers_than_the_route_allows():
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
def test_a_request_that_hangs_is_answered_at_its_deadline(
    world, target, deadline_ms
):
    for one in [*world.plain, *world.engines]:
        one.always = Fault.HANG
    answer = world.ask(target, Deadline_Ms=deadline_ms)
    assert (answer.status, answer.whole) == (504, True)


def test_a_dead_server_costs_a_connect_and_no_answer(world):
    world.plain[0].close()
    answers = {world.ask("/alarm/1").status for _ in range(8)}
    assert answers == {200}


def test_a_caller_that_leaves_frees_its_server(world):
    for one in world.engines:
        one.always = Fault.HANG
    conn = world.connect()
    headers = world.headers(b"{}")
    conn.send("POST", "/digest/1", headers, b"{}", timeout_s=5.0)
    world.wait(lambda: sum(one.working for one in world.engines) == 1)
    conn.close()
    world.wait(lambda: sum(one.working for one in world.engines) == 0)


def test_an_unsafe_request_runs_on_though_its_caller_leaves(world):
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
def test_a_stream_leaves_a_silent_server_that_is_out_of_reach(world, moment):
    patient = world_module.config(2)
    for route in patient["routes"]:
        route |= {"targetLatencyMs": 60_000, "gapTargetMs": 60_000}
    world.store.put("op", "config", patient)
    world.wait(lambda: world.inst.catalog.version == 2)
    _first_fault(world, moment)

    def close_the_silent_one():
        world.wait(lambda: any(one.working for one in world.engines))
        (silent,) = [one for one in world.engines if one.working]
        silent.close()

    gevent.spawn(close_the_silent_one)
    answer = world.ask("/digest/1", Deadline_Ms="60000")
    assert (answer.status, answer.body) == (200, _ALL_EVENTS)
    (lost,) = [s for s in world.engines if s.closed]
    listed = world.inst.directory.get(lost.server_id)
    assert world.inst.servers.is_unreachable(listed)


def test_a_stream_that_may_run_once_waits_for_a_silent_server(world):
    """Its answer may still come: a silence is no reason to end it sooner."""
    _first_fault(world, Fault.HANG)

    def close_the_silent_one():
        world.wait(lambda: any(one.working for one in world.engines))
        (silent,) = [one for one in world.engines if one.working]
        silent.close()

    gevent.spawn(close_the_silent_one)
    answer = world.ask("/query/1", Deadline_Ms="700", Request_Id="q")
    assert (answer.status, world.runs("q")) == (504, 1)


def test_a_silent_server_is_waited_for_if_no_other_is_fit(world):
    """Leaving it for one out of reach would only lose its answer."""
    busy, lost = world.plain
    busy.always = Fault.SLOW
    world.inst.servers.chooser("crew").stats.record_outcome(
        lost.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
    )
    lost.close()
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, world.runs("v")) == (200, 1)


def test_a_lost_servers_resting_connection_is_not_used(world):
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


def test_one_last_resort_is_tried_and_no_more(monkeypatch):
    world = world_module.World(servers=4)
    for one in world.plain:
        world.inst.servers.chooser("crew").stats.record_outcome(
            one.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
        )
        one.close()
    tried = []
    monkeypatch.setattr(
        world.inst.log,
        "problem",
        lambda name, **fields: tried.append(name),
    )
    monkeypatch.setattr(
        world.inst.servers,
        "record_unreachable",
        lambda server, exc, request: tried.append(request),
    )
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, tried) == (503, ["v"])
    world.close()


def test_the_only_server_that_is_fit_is_asked_again(world):
    only, lost = world.plain
    only.faults.append(Fault.FAIL)
    world.inst.servers.chooser("crew").stats.record_outcome(
        lost.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
    )
    lost.close()
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="v")
    assert (answer.status, world.runs("v")) == (200, 2)


def test_an_instance_uses_part_of_the_retries_that_all_may_make(world):
    world.inst.servers.instances = 10
    budget = world.inst.servers.budget("crew")
    for _ in range(100):
        budget.record_request(world.inst.now())
    bounds = world.inst.cfg.bounds
    whole = bounds.retry_share * 100 + bounds.retry_slack / 10
    left = budget.remaining(world.inst.now())
    assert 0.5 * whole < left < 0.9 * whole


def test_a_connection_in_use_just_now_that_breaks_is_the_servers_fault(world):
    for _ in range(4):
        world.ask("/digest/1", Prefix_Hash="aa:500,bb:900,own:9")
    (used,) = {r.server_id for s in world.engines for r in s.runs}
    by_id = {one.server_id: one for one in world.engines}
    by_id[used].always = Fault.RESET_AFTER_RUN
    answer = world.ask("/digest/1", Prefix_Hash="aa:500,bb:900,own:9")
    assert (answer.status, answer.body) == (200, _ALL_EVENTS)
