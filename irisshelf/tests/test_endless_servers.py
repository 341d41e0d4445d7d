"""Backend servers whose bytes do not end until their connection is closed.

Regression: an instance read such bytes without a limit, without a look at the
deadline, and without a turn for other requests as long as more had arrived. One
server stopped a whole instance, or filled its memory.
"""

import dataclasses
import re

import gevent
import pytest

from irisshelf import boottime
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import endless
from irisshelf.platform.stand_in import endless_process
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module

_Form = endless.Form
_Pace = endless.Pace
_DEADLINE_MS = 600
# That a response may come later than the deadline.
_HANDLED_S = 0.5
# Kind and service of each target.
_TARGETS = {
    "/bad-safe/1": ("safe", "bad-plain"),
    "/bad-unsafe/1": ("unsafe", "bad-plain"),
    "/bad-stream/1": ("streaming", "bad-engines"),
    "/bad-resumable/1": ("streaming", "bad-engines"),
}
_SERVICES = ("bad-plain", "bad-engines")
_STREAMS = ("/bad-stream/1", "/bad-resumable/1")
_BAD_GATEWAY = frozenset({502, 504})
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
# Forms that begin with a whole answer, or with events that are passed on.
_WHOLE_FIRST = frozenset({_Form.AFTER_ANSWER})
_EVENTS_FIRST = frozenset({_Form.EVENTS, _Form.COMMENTS})
# Such a server is tried until it is ejected, and now and then after that.
_MOST_SENDS = 6
_REQUESTS = 12


@pytest.fixture
def start(make_world):
    """Makes a world with such a server; returns both."""
    started = []

    def make(form, pace, *, sound=False, relayed=False, **options):
        world = make_world(**options)
        served = endless_process.EndlessServer(form=form, pace=pace)
        started.append(served)
        if relayed:
            # The first instance connects to a port on which nothing listens.
            world.store_ports[0].addresses[served.address] = "127.0.0.1:9"
        document = world_module.config(2)
        document["routes"] += [
            world_module.route(
                target.removesuffix("1"),
                kind,
                service,
                resumable="resumable" in target,
            )
            for target, (kind, service) in _TARGETS.items()
        ]
        document["services"] += [{"name": name} for name in _SERVICES]
        world.store.put("op", "config", document)
        for service in _SERVICES:
            world.store.put("servers", f"x-{service}", served.entry(service))
            if sound:
                started.append(_start_sound(world, service))
        world.wait(lambda: all(_knows(e.inst, sound) for e in world.entries))
        return world, served

    yield make
    for one in started:
        one.close()


def _start_sound(world, service):
    """Adds a sound server to a service."""
    made = server_module.Server(
        server_id=f"sound-{service}",
        service=service,
        streaming=service == "bad-engines",
        event_s=0.002,
    ).start()
    world.store.put("servers", made.server_id, made.entry())
    return made


def _knows(inst, sound):
    return inst.catalog.version == 2 and all(
        len(inst.directory.servers_of(service)) == 1 + sound
        for service in _SERVICES
    )


def _ask(world, target, **options):
    """Returns an answer and how long it took."""
    began_s = boottime.now()
    answer = world.ask(target, Deadline_Ms=str(_DEADLINE_MS), **options)
    return answer, boottime.now() - began_s


def _ask_beside(world, targets, **options):
    """Asks for targets at once, and for sound ones meanwhile."""
    asked = {
        target: gevent.spawn(_ask, world, target, **options)
        for target in targets
    }
    sound = []
    while not all(one.ready() for one in asked.values()) or len(sound) < 6:
        sound += [world.ask("/valve/1"), world.ask("/digest/1")]
        gevent.sleep(0.05)
    return {target: one.get() for target, one in asked.items()}, sound


def _rests(world, service):
    return world.inst.metrics.rests.labels(service)._value.get()


def _check_status(form, target, answer):
    if form is _Form.REJECTION:
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
    elif form in _WHOLE_FIRST and target not in _STREAMS:
        assert (answer.status, answer.body) == (200, b"whole")
    elif answer.status == 200:
        # What has been passed on of a stream must not look complete.
        assert target in _STREAMS and form in _EVENTS_FIRST
        assert not answer.whole
        return
    elif form not in _WHOLE_FIRST:
        assert answer.status in _BAD_GATEWAY
    assert answer.whole


def _paced(forms=tuple(_Form)):
    return pytest.mark.parametrize(
        ("form", "pace"),
        [(form, pace) for form in forms for pace in _Pace],
    )


@_paced()
def test_each_kind_of_request_ends_in_time(start, form, pace):
    """Guards against an instance that reads on, and against one that stops."""
    world, served = start(form, pace)
    answers, sound = _ask_beside(world, _TARGETS)
    for target, (answer, took_s) in answers.items():
        assert took_s < _DEADLINE_MS / 1000 + _HANDLED_S
        _check_status(form, target, answer)
    assert [answer.status for answer in sound] == [200] * len(sound)
    world.wait(served.is_left)
    assert world.inst.response_memory.used_bytes == 0
    assert _rests(world, "crew") == _rests(world, "lm") == 0


_BROKEN = [f for f in _Form if f not in _WHOLE_FIRST | _EVENTS_FIRST]


@_paced(_BROKEN)
def test_requests_beside_a_sound_server(start, form, pace):
    """Guards against failures that a sound server could prevent.

    And against a server that is tried on and on, and the sound one blamed.
    """
    world, _ = start(form, pace, sound=True)
    series = {
        target: gevent.spawn(_ask_in_turn, world, target) for target in _TARGETS
    }
    answers = {target: one.get() for target, one in series.items()}
    for target in ("/bad-safe/1", "/bad-resumable/1"):
        failed = [a.body for a in answers[target] if a.status != 200]
        assert not failed
        assert all(a.whole for a in answers[target])
    for answer in answers["/bad-resumable/1"]:
        numbers = [int(number) for number, _ in _EVENT.findall(answer.body)]
        assert numbers == [1, 2, 3, 4]
    for target in ("/bad-unsafe/1", "/bad-stream/1"):
        served = [a.status for a in answers[target]].count(200)
        assert served >= _REQUESTS - _MOST_SENDS
    for service in _SERVICES:
        stats = world.inst.servers.chooser(service).stats
        sound = world.inst.directory.get(f"sound-{service}").server_id
        assert stats.failure_rate(sound) == 0.0


def _ask_in_turn(world, target):
    answers = []
    for _ in range(_REQUESTS):
        answer, took_s = _ask(world, target)
        assert took_s < _DEADLINE_MS / 1000 + _HANDLED_S
        answers.append(answer)
    return answers


@_paced()
def test_the_same_through_another_instance(start, form, pace):
    """Guards against an instance that relays such bytes and stops for them."""
    world, served = start(form, pace, relayed=True, data_centres=("a", "a"))
    for target in ("/bad-safe/1", "/bad-stream/1"):
        # The first request finds that the server is out of reach.
        assert world.ask(target).status == 503
    answers, sound = _ask_beside(world, _TARGETS)
    for target, (answer, took_s) in answers.items():
        assert took_s < _DEADLINE_MS / 1000 + _HANDLED_S
        _check_status(form, target, answer)
    assert [answer.status for answer in sound] == [200] * len(sound)
    sound = [world.ask("/valve/1", entry=1) for _ in range(3)]
    assert [answer.status for answer in sound] == [200] * 3
    if form is _Form.ON_ACCEPT:
        # Connections by which relays are tried are opened again and again.
        world.wait(lambda: served.ended)
    else:
        world.wait(served.is_left)
    assert world.inst.response_memory.used_bytes == 0


@pytest.mark.parametrize("pace", _Pace)
def test_a_probe_of_such_a_server_ends(start, pace):
    """Guards against probes that read what a server sends on its own."""
    world, served = start(_Form.ON_ACCEPT, pace, sound=True)
    prober = world.inst.servers.reach.prober
    for server in world.inst.directory.servers_of("bad-plain"):
        prober.probe_if_silent(server)
    _, sound = _ask_beside(world, ["/valve/1"])
    assert [answer.status for answer in sound] == [200] * len(sound)
    world.wait(served.is_left)


@pytest.mark.parametrize("form", [_Form.CHUNKED_BODY, _Form.EVENT])
@pytest.mark.parametrize(
    ("limits", "named"),
    [
        ({"responses_mb": 1.0}, "all together"),
        (
            {"response_body_bytes": 200_000, "event_bytes": 200_000},
            "allowed: 200000 (read_limits.",
        ),
    ],
)
def test_the_limit_is_named(start, monkeypatch, form, limits, named):
    """Guards against failures whose cause operators cannot find."""
    world, _ = start(form, _Pace.FAST)
    world.inst.apply_settings(
        dataclasses.replace(
            world.inst.cfg, read_limits=settings.ReadLimits(**limits)
        )
    )
    lines = []
    monkeypatch.setattr(
        world.inst.log,
        "request",
        lambda name, request_id, **fields: lines.append((name, fields)),
    )
    _ask_beside(world, _TARGETS)
    details = [f["detail"] for name, f in lines if name == "send_failed"]
    assert any(named in detail for detail in details), details


def test_many_such_responses_stay_within_the_memory(start):
    """Guards against responses that are each within the limit, all not."""
    world, _ = start(_Form.CHUNKED_BODY, _Pace.FAST, sound=True)
    limits = settings.ReadLimits(responses_mb=8.0)
    world.inst.apply_settings(
        dataclasses.replace(world.inst.cfg, read_limits=limits)
    )
    most = 0
    memory = world.inst.response_memory
    asked = [
        gevent.spawn(_ask, world, "/bad-unsafe/1", Request_Id=f"m{number}")
        for number in range(30)
    ]
    while not all(one.ready() for one in asked):
        most = max(most, memory.used_bytes)
        gevent.sleep(0.001)
    statuses = [one.get()[0].status for one in asked]
    assert set(statuses) <= {200, 502, 504}
    assert statuses.count(200) >= 10
    assert 0 < most <= 8_000_000
    assert memory.used_bytes == 0
