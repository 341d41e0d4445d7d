"""Answers without length or chunks, which end with their connection.

Regression: their connections were kept as idle, so that the close that had
ended them was later taken for a sign that the server had restarted; of the
streams that such a server had begun none went on elsewhere.
"""

import dataclasses
import re

import gevent
import pytest
from gevent import server as gevent_server

from irisshelf.gateway import settings
from irisshelf.gateway.servers import exit_probe
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import closing

Fault = server_module.Fault
_EVENTS = 12
_EVENT = re.compile(rb"id: (\d+)\n")
_STREAMS = 6
# So that the retry budget does not end streams here.
_BOUNDS = settings.Bounds(retry_share=1.0, retry_slack=1000.0)


def _world(make_world, **options):
    world = make_world(servers=3, events=_EVENTS, bounds=_BOUNDS, **options)
    for one in (*world.plain, *world.engines):
        one.unframed = True
    return world


def _break_next(world, fault):
    """Makes the engine that gets the next request break its stream."""
    faults = [fault]
    for one in world.engines:
        one.choose_fault = lambda: faults.pop() if faults else Fault.NONE


def _numbers(answer):
    return [int(number) for number in _EVENT.findall(answer.body)]


@pytest.mark.parametrize("target", ["/query/1", "/digest/1"])
def test_a_stream_that_ends_with_its_connection_is_whole(make_world, target):
    """Guards against such streams cut, or sent twice."""
    world = _world(make_world)
    for number in range(_STREAMS):
        answer = world.ask(target, Request_Id=f"s{number}")
        assert (answer.status, answer.whole) == (200, True)
        assert _numbers(answer) == list(range(1, _EVENTS + 1))
        assert world.runs(f"s{number}") == 1


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TORN])
def test_broken_streams_go_on_after_sound_ones(make_world, fault):
    """Guards against a close that was due, taken for a sign of an exit."""
    world = _world(make_world)
    for _ in range(_STREAMS):
        assert world.ask("/digest/1").whole
        gevent.sleep(0.01)
    for one in world.engines:
        one.unframed = False
    for _ in range(_STREAMS):
        _break_next(world, fault)
        answer = world.ask("/digest/1")
        assert (answer.status, answer.whole) == (200, True)
        assert _numbers(answer) == list(range(1, _EVENTS + 1))


@pytest.mark.parametrize("target", ["/digest/1", "/valve/1", "/alarm/1"])
def test_no_entry_is_in_doubt_after_such_answers(make_world, target):
    """Guards against connections kept although they can't be used again."""
    world = _world(make_world)
    for _ in range(_STREAMS):
        assert world.ask(target).status == 200
        gevent.sleep(0.01)
    listed = world.inst.directory.servers()
    assert not any(map(world.inst.eligible.is_doubtful, listed))


def test_a_stream_torn_within_an_event_goes_on(make_world):
    """Guards against a half event taken for the end of a stream."""
    world = _world(make_world)
    _break_next(world, Fault.TORN)
    answer = world.ask("/digest/1")
    assert (answer.status, answer.whole) == (200, True)
    assert _numbers(answer) == list(range(1, _EVENTS + 1))


def _crash_under(world, body, events):
    """Makes each server crash under a request, midway in its answer."""
    for one in (*world.plain, *world.engines):
        one.ends_under = lambda run: run.body == body and not run.after_event
        one.ends_at = (
            server_module.Moment.EVENTS if events else server_module.Moment.HEAD
        )
        one.events_before_end = events
        one.away_s = 60.0


# Changed entries are known after a second at most.
_LISTED_AFTER_S = 1.4

# How answers are framed that end with their connection.
_HEADS = {
    "plain": {},
    "close-announced": {"announces_close": True},
    "http-1.0": {"http_version": b"1.0"},
}


def _frame(world, head):
    for one in (*world.plain, *world.engines):
        for name, value in head.items():
            setattr(one, name, value)


def _list_as(world, state):
    """Changes the entries of all servers, and waits until they are known."""
    everyone = (*world.plain, *world.engines)
    for one in everyone:
        if state == "unlisted":
            world.store.drop("servers", one.server_id)
        else:
            world.store.put("servers", one.server_id, one.entry(state))
    if state == "ready":
        return
    eligible = world.inst.eligible

    def is_known():
        listed = [world.inst.directory.get(one.server_id) for one in everyone]
        return all(one is None or eligible.is_leaving(one) for one in listed)

    world.wait(is_known)


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("state", ["ready", "draining", "unlisted"])
@pytest.mark.parametrize("target", ["/query/1", "/digest/1"])
@pytest.mark.parametrize("events", [0, 2])
def test_an_end_with_the_server_is_not_the_end_of_the_stream(
    make_world, events, target, state, head
):
    """Guards against a stream delivered as whole whose server crashed."""
    world = _world(make_world, targets=world_module.PATIENT)
    _frame(world, head)
    _crash_under(world, b"x", events)
    if state != "ready":
        for one in world.engines:
            one.before_end_s = _LISTED_AFTER_S
    asked = gevent.spawn(world.ask, target, body=b"x")
    world.wait(lambda: any(one.runs for one in world.engines))
    _list_as(world, state)
    assert state == "ready" or not asked.ready()
    answer = asked.get(timeout=10.0)
    numbers = _numbers(answer)
    assert numbers == list(range(1, len(numbers) + 1))
    assert not answer.whole or answer.status != 200 or len(numbers) == _EVENTS
    if state == "ready":
        noticed = world.inst.metrics.crashes.labels("suspect")
        world.wait(lambda: noticed._value.get() >= 1)


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("target", ["/valve/1", "/alarm/1"])
def test_an_end_with_the_server_is_not_the_end_of_an_answer(
    make_world, target, head
):
    """Guards against an answer cut short by a crash that passes for whole."""
    world = _world(make_world)
    _frame(world, head)
    _crash_under(world, b"x", 1)
    answer = world.ask(target, body=b"x")
    assert answer.whole
    assert answer.status in (502, 504) or b"answer to" in answer.body


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("target", ["/valve/1", "/alarm/1", "/query/1"])
@pytest.mark.parametrize("crashes", [True, False], ids=["crash", "sound"])
def test_an_error_response_is_relayed_if_it_is_complete(
    make_world, crashes, target, head
):
    """Guards against an error response that its server's crash cuts short."""
    world = _world(make_world)
    _frame(world, head)
    if crashes:
        _crash_under(world, b"x", 1)
    for one in (*world.plain, *world.engines):
        one.status = 500
        one.always = Fault.FAIL
    answer = world.ask(target, body=b"x")
    assert answer.whole
    assert answer.status == (502 if crashes else 500)
    assert ("response-signature" in answer.headers) is not crashes


@pytest.fixture
def far_server(make_world):
    """A world, and a server that its first instance reaches by the second."""
    world = make_world(data_centres=("a", "a"), bounds=_BOUNDS)
    one = server_module.Server(
        server_id="far", service="far", streaming=True, events=_EVENTS
    ).start()
    one.unframed = True
    one.away_s = 60.0
    # Nothing listens there.
    world.store_ports[0].addresses[one.address] = "127.0.0.1:9"
    document = world_module.config(2)
    document["routes"].append(
        world_module.route("/far/", "streaming", "far", maxAttempts=1)
    )
    document["services"].append({"name": "far"})
    world.store.put("op", "config", document)
    world.store.put("servers", one.server_id, one.entry())
    world.wait(
        lambda: all(
            entry.inst.directory.servers_of("far")
            and entry.inst.catalog.version == 2
            for entry in world.entries
        )
    )
    # The first request finds that the server is out of reach.
    assert world.ask("/far/1").status == 503
    yield world, one
    one.close()


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("crashes", [True, False])
def test_the_same_through_another_instance(far_server, crashes, head):
    """Guards against relayed answers that are not examined at all."""
    world, one = far_server
    for name, value in head.items():
        setattr(one, name, value)
    if crashes:
        one.ends_under = lambda run: True
        one.ends_at = server_module.Moment.EVENTS
    answer = world.ask("/far/1")
    assert len(one.runs) == 1
    assert answer.status == 200
    if crashes:
        assert not answer.whole
    else:
        assert answer.whole
        assert _numbers(answer) == list(range(1, _EVENTS + 1))


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("target", ["/valve/1", "/alarm/1", "/query/1"])
def test_answers_of_sound_servers_are_whole(make_world, target, head):
    """Guards against sound answers that are taken for broken ones."""
    world = _world(make_world)
    _frame(world, head)
    for number in range(_STREAMS):
        answer = world.ask(target, Request_Id=f"s{number}")
        assert (answer.status, answer.whole) == (200, True)
        assert world.runs(f"s{number}") == 1


def test_a_probe_that_began_before_the_end_says_nothing(
    make_world, monkeypatch
):
    """Guards against a connection that was accepted before the crash."""
    world = _world(make_world)
    (server,) = [
        one
        for one in world.inst.directory.servers()
        if one.server_id.startswith("crew-0")
    ]
    tracker = world.inst.crash_tracker
    connect = exit_probe.client.connect

    def connect_slowly(*args, **options):
        conn = connect(*args, **options)
        gevent.sleep(0.1)
        return conn

    monkeypatch.setattr(exit_probe.client, "connect", connect_slowly)
    early = gevent.spawn(tracker.refuses_now, server)
    gevent.sleep(0.05)
    world.plain[0].end()
    assert tracker.refuses_now(server)
    early.get(timeout=5.0)


@pytest.mark.parametrize("resets", [1, 2])
def test_a_server_that_resets_further_connections_has_not_exited(
    make_world, resets
):
    """Guards against answers of servers that have too many connections."""
    world = _world(make_world)
    accepted = []

    def serve(sock, peer):
        accepted.append(sock)
        if len(accepted) <= resets:
            closing.reset(sock)

    listening = gevent_server.StreamServer(("127.0.0.1", 0), serve)
    listening.start()
    (server,) = [
        one
        for one in world.inst.directory.servers()
        if one.server_id.startswith("crew-0")
    ]
    address = f"127.0.0.1:{listening.server_port}"
    server = dataclasses.replace(server, address=address)
    assert not world.inst.crash_tracker.refuses_now(server)
    listening.stop(timeout=0)


def test_a_server_at_a_reused_address_does_not_count_as_the_old_one(
    make_world,
):
    """Guards against a crashed server that its successor seems to keep up."""
    world = _world(make_world)
    tracker = world.inst.crash_tracker
    (server,) = [
        one
        for one in world.inst.directory.servers()
        if one.server_id.startswith("crew-0")
    ]
    departed = dataclasses.replace(
        server, server_id="crew-9", entry_id="crew-9"
    )
    assert not tracker.refuses_now(server)
    assert tracker.refuses_now(departed)
