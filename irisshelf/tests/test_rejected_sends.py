"""Sends that servers reject as not run, apart from those that may have run.

Regression: a request of a route with one attempt got 503 (attempts_used) from
an instance whose first choice was back at its address under another id, while
other servers were free.
"""

import itertools

import pytest

from irisshelf.gateway.requests import send_history
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import availability

Fault = server.Fault
_SERVERS = 6
_REJECTIONS = (Fault.NOT_ME, Fault.REFUSE)
_TARGETS = ("/alarm/1", "/valve/1", "/digest/1", "/query/1")
# A request itself adds less than this to the budget.
_MAX_RATIO = 0.5


def _world(make_world, max_attempts, *, servers=_SERVERS):
    """Makes a world whose routes all allow as many attempts."""
    world = make_world(servers=servers)
    config = world_module.config(2)
    for route in config["routes"]:
        route["maxAttempts"] = max_attempts
    world.store.put("op", "config", config)
    world.wait(lambda: world.inst.catalog.version == 2)
    return world


def _inject(world, faults):
    """Lets requests meet these faults in turn, whichever servers they reach."""
    left = iter(faults)
    for one in (*world.plain, *world.engines):
        one.choose_fault = lambda: next(left, Fault.NONE)


def _arrivals(world, request_id):
    return sum(
        arrival.request_id == request_id
        for one in (*world.plain, *world.engines)
        for arrival in one.arrivals
    )


def _budget_left(world, target):
    service = "crew" if target in _TARGETS[:2] else "lm"
    return world.inst.servers.budget(service).remaining(world.inst.now())


@pytest.mark.parametrize("rejections", [1, 2, 3])
@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("fault", _REJECTIONS)
@pytest.mark.parametrize("target", _TARGETS)
def test_rejected_sends_are_no_attempts(
    make_world, target, fault, max_attempts, rejections
):
    """Guards against a 503 while free servers are left, and a free retry."""
    world = _world(make_world, max_attempts)
    _inject(world, [fault] * rejections)
    before = _budget_left(world, target)
    answer = world.ask(target, Request_Id="x")
    assert (answer.status, answer.whole) == (200, True)
    assert (world.runs("x"), _arrivals(world, "x")) == (1, 1 + rejections)
    taken = before - _budget_left(world, target)
    assert taken == pytest.approx(rejections, abs=_MAX_RATIO)


@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("rejection", _REJECTIONS)
@pytest.mark.parametrize("place", [0, 1, 2])
def test_rejected_sends_allow_no_further_runs(
    make_world, place, rejection, max_attempts
):
    """Guards against more runs than the route's maximum."""
    world = _world(make_world, max_attempts)
    faults = [Fault.FAIL] * _SERVERS
    faults[place:place] = [rejection]
    _inject(world, faults)
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="x")
    assert (answer.status, world.runs("x")) == (500, max_attempts)


@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("fault", _REJECTIONS)
@pytest.mark.parametrize("target", _TARGETS)
def test_a_request_is_rejected_by_few_servers(
    make_world, target, fault, max_attempts
):
    """Guards against a request that asks all servers of a full service."""
    world = _world(make_world, max_attempts, servers=_SERVERS + 2)
    _inject(world, itertools.repeat(fault))
    answer = world.ask(target, Request_Id="x")
    assert (answer.status, world.runs("x")) == (503, 0)
    assert float(answer.headers["retry-after"]) > 0
    limit = max_attempts + send_history.MAX_EXTRA_SENDS
    assert _arrivals(world, "x") == limit


@pytest.mark.parametrize("fault", _REJECTIONS)
@pytest.mark.parametrize("target", _TARGETS)
def test_rejected_sends_need_the_retry_budget(make_world, target, fault):
    """Guards against arrivals beyond those that the budget allows."""
    world = _world(make_world, 1)
    _inject(world, [fault])
    service = "crew" if target in _TARGETS[:2] else "lm"
    budget = world.inst.servers.budget(service)
    while budget.try_take(world.inst.now()):
        pass
    answer = world.ask(target, Request_Id="x")
    assert (answer.status, _arrivals(world, "x")) == (503, 1)
    assert b"no_retry_budget" in answer.body


@pytest.mark.parametrize("rejection", _REJECTIONS)
def test_a_server_that_rejected_a_request_gets_it_no_more(
    make_world, monkeypatch, rejection
):
    """Guards against a stale entry chosen again since it answered before."""
    monkeypatch.setattr(availability, "_ABSENT_S", 0.0)
    world = _world(make_world, 3, servers=1)
    _inject(world, [Fault.FAIL, rejection])
    answer = world.ask("/valve/1", method="GET", body=b"", Request_Id="x")
    assert (answer.status, world.runs("x")) == (500, 1)
    assert _arrivals(world, "x") == 2
