"""Requests that arrive before an instance has started up.

Guards against callers that are rejected twice while all instances restart, and
against requests that wait for a start-up that does not come.
"""

import dataclasses

import gevent
import pytest

from irisshelf.platform.stand_in import world as world_module

_LONG_S = 60.0


@pytest.fixture
def starting():
    """An instance that has no configuration yet."""
    world = world_module.World(configured=False)
    yield world
    world.close()


def _let_wait(world, wait_s):
    cfg = world.inst.cfg
    overload = dataclasses.replace(cfg.overload, start_wait_s=wait_s)
    world.inst.apply_settings(dataclasses.replace(cfg, overload=overload))


def _ask(world, **headers):
    return gevent.spawn(world.ask, "/alarm/1", Request_Id="early", **headers)


def test_a_request_waits_until_the_instance_is_configured(starting):
    _let_wait(starting, _LONG_S)
    asked = _ask(starting, Deadline_Ms=str(int(_LONG_S * 1000)))
    starting.wait(lambda: starting.inst.in_flight == 1)
    starting.store.put("op", "config", world_module.config(1))
    assert (asked.get().status, starting.runs("early")) == (200, 1)
    assert starting.inst.in_flight == 0


@pytest.mark.parametrize(
    ("wait_s", "deadline_ms"),
    [
        pytest.param(0.0, "60000", id="as-set"),
        pytest.param(0.05, "60000", id="limit"),
        pytest.param(_LONG_S, "100", id="half-of-the-callers-time"),
    ],
)
def test_the_wait_has_an_end_and_the_request_has_not_run(
    starting, wait_s, deadline_ms
):
    _let_wait(starting, wait_s)
    answer = _ask(starting, Deadline_Ms=deadline_ms).get()
    assert (answer.status, starting.runs("early")) == (503, 0)
    assert answer.headers["connection"] == "close"
    assert starting.inst.in_flight == 0


def test_no_more_requests_wait_than_may_be_in_flight(starting):
    _let_wait(starting, _LONG_S)
    starting.inst.in_flight = starting.inst.cfg.max_requests
    assert _ask(starting).get().status == 503


def test_a_caller_that_leaves_waits_no_longer(starting):
    _let_wait(starting, _LONG_S)
    conn = starting.connect()
    headers = starting.headers(b"", Request_Id="early", Deadline_Ms="60000")
    conn.send("POST", "/alarm/1", headers, b"", timeout_s=1.0)
    starting.wait(lambda: starting.inst.in_flight == 1)
    conn.close()
    starting.wait(lambda: starting.inst.in_flight == 0)
