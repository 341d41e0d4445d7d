"""Servers that announce draining or backoff in responses get no more requests.

Regression: a draining server got eleven requests from five instances, 12 to 14
seconds after two of them had relayed responses that announced it. Two engines
that responded 503 with ``Retry-After: 3`` got 130 more requests in five
seconds, up to 23 of them from one instance within one backoff. Whether a server
accepts requests was read from the store's list only, and that list could not
show it: the store was down while the server drained, and entries have no field
for a backoff. The tests give such responses while the list stays unchanged.
"""

import itertools
import math

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import departures
from irisshelf.gateway.requests import placement
from irisshelf.platform.stand_in import server as server_module

_KINDS = [
    pytest.param("/query/1", id="stream-once"),
    pytest.param("/digest/1", id="stream-resumable"),
    pytest.param("/alarm/1", id="at-most-once"),
    pytest.param("/valve/1", id="idempotent"),
]
_REQUESTS = 12
# Limit on requests from one instance to a server within one backoff.
_MAX_REQUESTS_IN_BACKOFF = 2
_BACKOFF_S = 30


def _group(world, target):
    stream = target.startswith(("/query", "/digest"))
    return world.engines if stream else world.plain


def _fastest(world, target):
    """Makes all servers but one slow, so that requests prefer that one."""
    first, *others = _group(world, target)
    for one in others:
        one.work_s = 0.02
    return first


def _listed(world, one):
    return world.inst.directory.get(one.server_id)


def _write(world, one, entry):
    """Writes an entry and waits until the instance has it."""
    world.store.put("servers", one.server_id, entry)
    known = (entry.get("born"), entry["slots"])
    world.wait(
        lambda: (
            (listed := _listed(world, one))
            and (listed.born_ms, listed.slots) == known
        )
    )


def _send_until_reached(world, one, target, **options):
    """Sends requests until the given server has received one."""
    for _ in range(50):
        before = len(one.arrivals)
        world.ask(target, **options)
        if len(one.arrivals) > before:
            return
    raise AssertionError(f"{one.server_id} got none of 50 requests")


def _send_until_all_reached(world, group, target):
    """Sends requests until each server has received one or a retry."""
    for _ in range(50):
        if all(one.arrivals for one in group):
            return
        world.ask(target)
    raise AssertionError("a server got none of 50 requests")


def _count_arrivals(world, one, target, **options):
    """Sends more requests; returns how many reach a server, and responses."""
    before = len(one.arrivals)
    answers = [world.ask(target, **options) for _ in range(_REQUESTS)]
    return len(one.arrivals) - before, answers


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(server_module.Fault.NONE, id="success"),
        pytest.param(server_module.Fault.FAIL, id="failure"),
        pytest.param(server_module.Fault.REFUSE, id="rejected"),
    ],
)
def test_a_server_that_announces_draining_gets_no_more_requests(
    make_world, target, fault
):
    world = make_world(servers=3)
    leaving = _fastest(world, target)
    leaving.leaving = True
    leaving.always = fault
    _send_until_reached(world, leaving, target)
    leaving.always = server_module.Fault.NONE
    count, answers = _count_arrivals(world, leaving, target)
    assert count == 0
    assert [a.status for a in answers] == [200] * _REQUESTS


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize(
    "entries",
    [
        pytest.param(("ready",), id="written-again"),
        pytest.param((None, "ready"), id="gone-and-back"),
        pytest.param(("draining", "ready"), id="draining-and-ready"),
    ],
)
def test_no_entry_of_the_same_incarnation_revokes_draining(
    make_world, target, entries
):
    world = make_world(servers=3)
    leaving = _fastest(world, target)
    leaving.leaving = True
    _send_until_reached(world, leaving, target)
    for slots, state in enumerate(entries, start=9):
        if state is None:
            world.store.drop("servers", leaving.server_id)
            world.wait(lambda: not _listed(world, leaving))
        else:
            entry = leaving.entry(state) | {"slots": slots}
            _write(world, leaving, entry)
    count, _ = _count_arrivals(world, leaving, target)
    assert count == 0


@pytest.mark.parametrize("target", _KINDS)
def test_a_restarted_server_gets_requests(make_world, target):
    world = make_world(servers=2)
    first, second = _group(world, target)
    for one in (first, second):
        one.born_ms = 1000
        _write(world, one, one.entry())
    first.leaving = True
    _send_until_reached(world, first, target)
    first.leaving = False
    first.born_ms = 2000
    _write(world, first, first.entry())
    second.leaving = True
    _send_until_reached(world, second, target)
    _send_until_reached(world, first, target)


@pytest.mark.parametrize("target", _KINDS)
def test_when_all_servers_drain_requests_are_rejected_at_once(
    make_world, target
):
    world = make_world(servers=2)
    group = _group(world, target)
    for one in group:
        one.leaving = True
    _send_until_all_reached(world, group, target)
    before = sum(len(one.arrivals) for one in group)
    answer = world.ask(target)
    assert (answer.status, answer.whole) == (503, True)
    assert float(answer.headers["retry-after"]) > 0
    assert sum(len(one.arrivals) for one in group) == before


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(server_module.Fault.REFUSE, id="rejected-not-run"),
        pytest.param(server_module.Fault.BARE_503, id="plain-503"),
    ],
)
def test_a_server_in_backoff_gets_at_most_two_requests(
    make_world, target, fault
):
    world = make_world(servers=3)
    backing_off = _fastest(world, target)
    backing_off.always = fault
    backing_off.rest_s = _BACKOFF_S
    _send_until_reached(world, backing_off, target)
    count, answers = _count_arrivals(world, backing_off, target)
    assert count <= _MAX_REQUESTS_IN_BACKOFF
    assert [a.status for a in answers] == [200] * _REQUESTS


@pytest.mark.parametrize("target", _KINDS)
def test_retries_respect_a_backoff(make_world, target):
    """Another server fails requests, so that they are retried."""
    world = make_world(servers=3)
    backing_off, failing, _ = _group(world, target)
    backing_off.refuses = True
    backing_off.rest_s = _BACKOFF_S
    _send_until_reached(world, backing_off, target)
    failing.always = server_module.Fault.FAIL
    count, _ = _count_arrivals(world, backing_off, target)
    assert count <= _MAX_REQUESTS_IN_BACKOFF


@pytest.mark.parametrize("target", _KINDS)
def test_when_all_servers_back_off_callers_get_a_retry_after(
    make_world, target
):
    world = make_world(servers=2)
    group = _group(world, target)
    for one in group:
        one.refuses = True
        one.rest_s = _BACKOFF_S
    _send_until_all_reached(world, group, target)
    before = sum(len(one.arrivals) for one in group)
    answer = world.ask(target)
    assert (answer.status, answer.whole) == (503, True)
    assert float(answer.headers["retry-after"]) >= _BACKOFF_S - 1
    assert sum(len(one.arrivals) for one in group) == before


@pytest.mark.parametrize("target", _KINDS)
def test_a_server_gets_requests_again_after_its_backoff(make_world, target):
    world = make_world(servers=2)
    first, second = _group(world, target)
    first.refuses = True
    first.rest_s = 0.3
    _send_until_reached(world, first, target)
    first.refuses = False
    gevent.sleep(0.6)
    second.refuses = True
    _send_until_reached(world, first, target)


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize("says", ["leaving", "resting"])
def test_other_instances_are_notified(make_world, target, says):
    world = make_world(servers=3, data_centres=("a", "a", "b"))
    one = _fastest(world, target)
    one.refuses = one.rest_s = _BACKOFF_S if says == "resting" else None
    one.leaving = says == "leaving"
    _send_until_reached(world, one, target)
    # Facts are sent four times a second, through two instances.
    gevent.sleep(1.0)
    for entry in (1, 2):
        count, answers = _count_arrivals(world, one, target, entry=entry)
        assert count == 0
        assert [a.status for a in answers] == [200] * _REQUESTS


@pytest.mark.parametrize("target", _KINDS)
def test_after_a_backoff_all_instances_limit_the_load(make_world, target):
    """Guards against overloading a server again as soon as it is back."""
    world = make_world(servers=3, data_centres=("a", "a", "b"))
    one = _fastest(world, target)
    one.refuses, one.rest_s = True, _BACKOFF_S
    _send_until_reached(world, one, target)

    def limits():
        listed = _listed(world, one)
        return [
            entry.inst.servers.chooser(listed.service).load_limits.limit(
                listed.server_id, listed.slots, boottime.now()
            )
            for entry in world.entries
        ]

    world.wait(lambda: max(limits()) < math.inf)
    slots = _listed(world, one).slots
    assert all(slots <= limit <= 1.5 * slots for limit in limits())


@pytest.mark.parametrize("target", _KINDS)
def test_a_report_by_another_server_does_not_count(make_world, target):
    world = make_world(servers=1)
    (one,) = _group(world, target)
    one.leaving = True
    one.server_id, own = "i-other", one.server_id
    assert world.ask(target).status == 503
    one.server_id, one.leaving = own, False
    # Its address is tried again after some time.
    world.wait(lambda: world.ask(target).status == 200)


@pytest.fixture
def drains_on_connect(monkeypatch):
    """Makes a server announce draining while a connection is opened to it."""
    drained = []

    def prepare(world, number):
        """Selects the connection by number, counted from one."""
        made = itertools.count(1)
        connect = placement.client.connect

        def connect_slowly(address, **options):
            conn = connect(address, **options)
            if next(made) == number:
                for server in world.inst.directory.servers():
                    if server.address == address:
                        drained.append(server.server_id)
                        availability = world.inst.eligible.availability
                        availability.departures.announce(
                            server.server_id,
                            source=departures.Source.RESPONSE,
                            now=boottime.now(),
                        )
            return conn

        monkeypatch.setattr(placement.client, "connect", connect_slowly)
        return drained

    return prepare


def _runs(world, target, drained):
    (name,) = drained
    return [
        r for s in _group(world, target) for r in s.runs if name == r.server_id
    ]


@pytest.mark.parametrize("target", _KINDS)
def test_draining_announced_while_connecting_is_respected(
    make_world, drains_on_connect, target
):
    world = make_world(servers=2)
    conn = world.connect()
    drained = drains_on_connect(world, 1)
    assert world.ask(target, conn=conn).status == 200
    assert not _runs(world, target, drained)


@pytest.mark.parametrize("target", ["/digest/1", "/valve/1"])
def test_draining_announced_while_failing_over_is_respected(
    make_world, drains_on_connect, target
):
    world = make_world(servers=3)
    for one in _group(world, target):
        one.faults.append(server_module.Fault.HANG)
    conn = world.connect()
    drained = drains_on_connect(world, 2)
    world.ask(target, conn=conn)
    assert not _runs(world, target, drained)


@pytest.mark.parametrize("target", _KINDS)
def test_a_server_that_rejects_everything_attracts_no_extra_load(
    make_world, target
):
    """It asks for no backoff, and responds faster than working servers."""
    world = make_world(servers=3)
    one = _fastest(world, target)
    one.refuses = True
    _send_until_reached(world, one, target)
    count, answers = _count_arrivals(world, one, target)
    assert count <= _REQUESTS / 3
    assert [a.status for a in answers].count(200) >= _REQUESTS - count


@pytest.mark.parametrize("target", _KINDS)
def test_a_server_that_rejected_requests_gets_requests_again(
    make_world, target
):
    world = make_world(servers=2)
    first, second = _group(world, target)
    first.refuses = True
    _send_until_reached(world, first, target)
    _count_arrivals(world, first, target)
    first.refuses = False
    second.leaving = True
    _send_until_reached(world, second, target)
    assert world.ask(target).status == 200
    assert first.runs
