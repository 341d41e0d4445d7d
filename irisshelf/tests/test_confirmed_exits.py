"""Which instances confirm that a server has exited.

Regression: instances forgot under which requests a server had crashed, as its
exit was not confirmed although several of them were refused. Each asked others
before any had confirmed it, and was answered that the server was unreachable.
"""

import random

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.gateway.servers import process_exits
from irisshelf.platform.stand_in import server as server_module
from irisshelf.routing.direct import server_paths
from irisshelf.transport import errors

_CRASHES = 6
# So long that all requests are in progress at once, also after a pause of the
# process that has the instances and the servers.
_RUNNING_S = 1.0
# By then the last exit has been confirmed, or has not.
_CONFIRMED_S = 0.6


@pytest.mark.parametrize(
    "places",
    [
        pytest.param(("a", "a", "b"), id="three"),
        pytest.param(("a", "a", "b", "b", "c", "c"), id="six"),
    ],
)
def test_instances_that_see_an_exit_at_once_confirm_it(make_world, places):
    """Guards against crashes that are forgotten by those who have seen them."""
    world = make_world(servers=_CRASHES + 2, data_centres=places)
    for one in world.plain:
        one.always = server_module.Fault.SLOW
        one.pause_s = _RUNNING_S
        one.away_s = 60.0
    for number in range(_CRASHES):
        _crash_under_all(world, number)
    gevent.sleep(_CONFIRMED_S)
    for entry in world.entries:
        forgotten = entry.inst.metrics.crashes.labels("retracted")
        assert forgotten._value.get() == 0


def _crash_under_all(world, number):
    """Crashes a server at which all instances have requests in progress."""
    calls = [
        gevent.spawn(
            world.ask, "/alarm/1", entry=entry, body=b"%d %d" % (number, call)
        )
        for entry in range(len(world.entries))
        for call in range(3)
    ]
    world.wait(lambda: sum(one.working for one in world.plain) == len(calls))
    max(world.plain, key=lambda one: one.working).crash()
    gevent.joinall(calls)


@pytest.mark.parametrize(
    ("timed_out", "verdict"),
    [
        (False, server_paths.Verdict.REFUSED),
        (True, server_paths.Verdict.UNREACHABLE),
    ],
)
def test_an_instance_that_is_refused_itself_confirms_an_exit(
    make_world, timed_out, verdict
):
    """Guards against instances that wait for each other to confirm an exit."""
    world = make_world(servers=3, data_centres=("a", "a"))
    asking, asked = (entry.inst.servers.reach for entry in world.entries)
    server = world.inst.directory.get(world.plain[0].server_id)
    world.plain[0].close()
    exc = errors.ConnectError("test", timed_out=timed_out)
    for _ in range(2):
        asked.record_unreachable(server, exc, "")
    found = asking.relays.connect(server, timeout_s=1.0)
    assert found.verdict is verdict


def _exits(servers, reachable, seed):
    """Returns exits of an instance that reaches some of the servers."""
    return process_exits.ProcessExits(
        listed=lambda: servers,
        probe=lambda server: server in reachable,
        check=lambda server: gevent.spawn(lambda: None),
        on_exit=lambda server: None,
        rng=random.Random(seed),
        now=lambda: 1.0,
    )


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("reached", "expected"), [(0, False), (1, True), (4, True)]
)
def test_servers_that_are_down_do_not_hide_the_own_link(
    reached, expected, seed
):
    """Guards against exits that count for nothing while others are down."""
    servers = [
        directory.BackendServer(
            server_id=f"lm-{number}",
            service="lm",
            address="127.0.0.1:1",
            data_centre="a",
            slots=4,
        )
        for number in range(8)
    ]
    reachable = servers[:reached]
    exits = _exits(servers, reachable, seed)
    for server in servers:
        if server not in reachable:
            exits.record_refused(server)
    assert exits.reaches_others(servers[-1]) is expected


@pytest.mark.parametrize(
    ("others", "reachable", "expected"),
    [
        pytest.param(0, False, True, id="no-other-service"),
        pytest.param(2, True, True, id="other-service-reached"),
        pytest.param(2, False, False, id="nothing-reached"),
    ],
)
def test_the_last_server_of_a_service_may_exit(others, reachable, expected):
    """Guards against an exit that counts for nothing as all have exited."""
    servers = [
        directory.BackendServer(
            server_id=f"{service}-{number}",
            service=service,
            address="127.0.0.1:1",
            data_centre="a",
            slots=4,
        )
        for service, count in (("lm", 3), ("crew", others))
        for number in range(count)
    ]
    exits = _exits(servers, servers[3:] if reachable else [], 1)
    for server in servers[:2]:
        exits.record_refused(server)
        exits.judge(server, server_paths.Verdict.REFUSED)
    assert exits.reaches_others(servers[2]) is expected
