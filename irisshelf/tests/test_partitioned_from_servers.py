"""Instances that reach no server, while other instances do, serve callers.

Regression: three of six instances were partitioned from all servers for twelve
seconds. They refused nearly all requests, although the other instances reached
every server, and they reached those.
"""

import time

import gevent
import pytest

from irisshelf.platform.stand_in import proxy
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import client

_KINDS = [
    pytest.param("/query/1", id="stream-once"),
    pytest.param("/digest/1", id="stream-resumable"),
    pytest.param("/alarm/1", id="at-most-once"),
    pytest.param("/valve/1", id="idempotent"),
]
_TARGETS = ("/query/1", "/digest/1", "/alarm/1", "/valve/1")
_SERVICES = ("crew", "lm")
# From then on callers must be served as well as at other instances.
_NOTICED_S = 1.0
_ROUNDS = 5
# Of the others' share of first attempts served, the least that is allowed.
_LEAST_SHARE = 2 / 3
# Longer than an instance waits for a relay.
_PAUSE_S = 0.3
# Relay connections that are opened until the instance has found that it is
# partitioned, and two more.
_PAUSES = 12


def _served(world, entry, rounds=_ROUNDS, targets=_TARGETS):
    """Sends each kind of request at once, in rounds; returns who is served."""
    answers = []
    for _ in range(rounds):
        calls = [
            gevent.spawn(world.ask, target, entry=entry) for target in targets
        ]
        gevent.joinall(calls)
        answers += [call.value for call in calls]
    return [answer.status == 200 and answer.whole for answer in answers]


def _cut(world, entry, how, service=None):
    """Cuts links; of connections that live on, servers end those they can."""
    world.cut(entry, how, service)
    _served(world, entry, rounds=1)
    for server_id, link in world.links[entry].items():
        if service is None or server_id.startswith(service):
            link.close_open()


def _share(served):
    return sum(served) / len(served)


def _use(world, entries):
    """Opens connections to servers from instances."""
    for entry in entries:
        assert all(_served(world, entry, rounds=2))


@pytest.mark.parametrize("how", proxy.Cut)
@pytest.mark.parametrize(
    "cut", [pytest.param((0,), id="one"), pytest.param((0, 1), id="all-of-a")]
)
def test_callers_of_partitioned_instances_are_served_as_others(
    make_world, how, cut
):
    """Guards against refusals by instances that only lost their own links."""
    world = make_world(servers=3, data_centres=("a", "a", "b"), linked=True)
    _use(world, range(3))
    for entry in cut:
        _cut(world, entry, how)
    gevent.sleep(_NOTICED_S)
    others = _share(_served(world, 2))
    for entry in cut:
        assert _share(_served(world, entry)) >= _LEAST_SHARE * others


@pytest.fixture
def pause_in_relay_connections(monkeypatch):
    """Returns a function after which the process pauses in the next of them."""
    open_socket = client.open_socket
    relays = set()
    left = 0

    def open_and_pause(address, *, timeout_s):
        nonlocal left
        sock = open_socket(address, timeout_s=timeout_s)
        if left and address in relays:
            left -= 1
            gevent.spawn(time.sleep, _PAUSE_S)
        return sock

    def pause(world, count):
        nonlocal left
        relays.update(entry.member.address for entry in world.entries)
        left = count

    monkeypatch.setattr(client, "open_socket", open_and_pause)
    return pause


def test_callers_are_served_while_the_process_pauses(
    make_world, pause_in_relay_connections
):
    """Guards against relays given up for pauses of the instance itself.

    All of them counted as lost then, and its callers were refused.
    """
    world = make_world(servers=3, data_centres=("a", "a", "b"), linked=True)
    _use(world, range(3))
    pause_in_relay_connections(world, _PAUSES)
    _cut(world, 0, proxy.Cut.RESET)
    gevent.sleep(_NOTICED_S)
    others = _share(_served(world, 2))
    assert _share(_served(world, 0)) >= _LEAST_SHARE * others


@pytest.mark.parametrize("how", proxy.Cut)
@pytest.mark.parametrize("service", ["crew", "lm"])
def test_callers_are_served_if_one_service_is_out_of_reach(
    make_world, how, service
):
    """Guards against refusals while the instance reaches other services."""
    world = make_world(servers=3, data_centres=("a", "b"), linked=True)
    _use(world, range(2))
    _cut(world, 0, how, service)
    gevent.sleep(_NOTICED_S)
    assert _share(_served(world, 0)) >= _LEAST_SHARE * _share(_served(world, 1))


@pytest.mark.parametrize("how", proxy.Cut)
def test_callers_are_served_while_links_come_and_go(make_world, how):
    """Guards against refusals right after each cut and each return."""
    world = make_world(servers=3, data_centres=("a", "a", "b"), linked=True)
    _use(world, range(3))
    served = []
    for _ in range(3):
        _cut(world, 0, how)
        gevent.sleep(0.5)
        served += _served(world, 0, rounds=3)
        world.heal(0)
        gevent.sleep(0.5)
        served += _served(world, 0, rounds=3)
    assert _share(served) >= _LEAST_SHARE


@pytest.mark.parametrize("how", proxy.Cut)
def test_an_instance_that_others_serve_for_stays_ready(make_world, how):
    """Guards against callers sent away, and back, by a flapping readiness."""
    world = make_world(servers=3, data_centres=("a", "b"), linked=True)
    _use(world, range(2))
    _cut(world, 0, how)
    _served(world, 0, rounds=2)
    gevent.sleep(_NOTICED_S)
    for _ in range(10):
        assert world.inst.ready
        gevent.sleep(0.1)


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize("how", [proxy.Cut.RESET, proxy.Cut.REFUSE])
def test_a_refused_connection_is_no_crash_of_a_server_that_others_reach(
    make_world, how, target
):
    """Guards against requests barred, and servers cold, for an own fault."""
    world = make_world(servers=3, data_centres=("a", "b"), linked=True)
    services = [
        {"name": name, "coldStartS": 5, "coldPerS": 2} for name in _SERVICES
    ]
    world.store.put("op", "config", world_module.config(2, services=services))
    world.wait(lambda: all(e.inst.catalog.version == 2 for e in world.entries))
    _use(world, range(2))
    group = [*world.plain, *world.engines]
    for one in group:
        one.work_s = 0.3
    calls = [
        gevent.spawn(world.ask, target, entry=0, body=b"not seen before")
        for _ in range(6)
    ]
    gevent.sleep(0.1)
    world.cut(0, how)
    gevent.joinall(calls)
    for one in group:
        one.work_s = 0.0
    gevent.sleep(_NOTICED_S)
    for entry in world.entries:
        assert not entry.inst.crash_tracker.suspects
    world.heal(0)
    servers = world.inst.directory.servers()
    world.wait(
        lambda: not any(map(world.inst.servers.reach.is_unreachable, servers))
    )
    for service in _SERVICES:
        assert not world.inst.eligible.split(service, servers)[1]
