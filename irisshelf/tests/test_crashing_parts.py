"""Prompt parts that crash every server that runs a request with them.

Regression: requests with one part in their prompts, no two of them alike
otherwise, crashed 22 to 24 servers one after the other. Crashes were counted by
the whole content of a request, so that each was the first of its request.
"""

import random

import gevent
import pytest

from irisshelf import boottime
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.platform.stand_in import server as server_module
from irisshelf.tests import crashing_parts

Moment = server_module.Moment
_PLACES = ("a", "a", "b")
_ENGINES = 12
_AWAY_S = 0.4
_CRASHING_S = 2.5
# Sound requests by which shares are compared; ends that are waited for.
_COUNTED = 40
_MIN_CRASHES = 3
# By then what was sent has been answered.
_ANSWERED_S = 0.2
_SOUND_PAUSE_S = (0.01, 0.03)
_CRASHING_PAUSE_S = (0.03, 0.09)
# The limits of the requirements: ends of servers, and requests that still reach
# servers after the last of these.
_MAX_CRASHES = 5
_MAX_LATE = 3
# Of a whole day, however such requests come.
_MAX_CRASHES_IN_ALL = 9
# Sound requests that begin at once, of those that did before.
_LEAST_SHARE = 0.9


def _world(make_world, **options):
    options = {
        "servers": _ENGINES,
        "data_centres": _PLACES,
        "events": 4,
        "event_s": 0.01,
    } | options
    world = make_world(**options)
    for engine in world.engines:
        engine.away_s = _AWAY_S
        engine.before_end_s = 0.02
    return world


def _play(callers, *crashing_loops):
    """Sends sound requests, and crashing ones after some time.

    Returns:
        The share of sound requests that begin, from twice ``CONTACT_S`` after
        the last end on.
    """
    loops = [
        gevent.spawn(callers.keep_sending, callers.send_sound, _SOUND_PAUSE_S)
    ]
    callers.world.wait(lambda: len(callers.sound) >= _COUNTED)
    loops += [gevent.spawn(*loop) for loop in crashing_loops]
    callers.world.wait(lambda: len(callers.end_times_s) >= _MIN_CRASHES)
    callers.world.wait(
        lambda: (
            boottime.now() - callers.end_times_s[-1]
            >= 2 * crashing_parts.CONTACT_S
        )
    )
    from_s = boottime.now()
    callers.world.wait(lambda: callers.count_since(from_s) >= _COUNTED)
    until_s = boottime.now()
    callers.stop()
    gevent.joinall(loops)
    gevent.sleep(_ANSWERED_S)
    return callers.share_begun(from_s, until_s)


def _check(callers, *, parts=1, crashes=_MAX_CRASHES):
    """Checks the limits on servers that end, and on requests after that."""
    ends_s = callers.end_times_s
    assert 0 < len(ends_s) <= crashes * parts
    last_s = ends_s[min(crashes * parts, len(ends_s)) - 1]
    late = callers.runs_after(last_s + crashing_parts.CONTACT_S)
    assert late <= _MAX_LATE


@pytest.mark.parametrize("moment", list(Moment))
@pytest.mark.parametrize("target", ["/query/1", "/digest/1"])
def test_a_part_crashes_few_servers(make_world, target, moment):
    """Guards against crashes counted by a request's whole content only."""
    world = _world(make_world)
    for engine in world.engines:
        engine.ends_at = moment
    callers = crashing_parts.Callers(world, target=target)
    share = _play(
        callers,
        (callers.keep_sending, callers.send_crashing, _CRASHING_PAUSE_S),
    )
    _check(callers)
    assert share >= _LEAST_SHARE


@pytest.mark.parametrize(
    ("options", "parts"),
    [
        pytest.param({"crashing": ("one", "other")}, 2, id="two-by-turns"),
        pytest.param({"position": 0}, 1, id="first-part"),
        pytest.param({"position": 1}, 1, id="middle-part"),
        pytest.param({"repeats": 2}, 1, id="repeated-at-once-elsewhere"),
    ],
)
def test_any_part_may_be_the_cause(make_world, options, parts):
    """Guards against a part that is only found in one place, or alone."""
    callers = crashing_parts.Callers(_world(make_world), **options)
    share = _play(
        callers,
        (callers.keep_sending, callers.send_crashing, _CRASHING_PAUSE_S),
    )
    _check(callers, parts=parts)
    assert share >= _LEAST_SHARE


def test_a_part_that_comes_rarely_crashes_few_servers(make_world):
    """Guards against crashes forgotten before the next one."""
    callers = crashing_parts.Callers(_world(make_world))
    share = _play(
        callers, (callers.keep_sending, callers.send_crashing, (0.3, 0.3))
    )
    _check(callers)
    assert share >= _LEAST_SHARE


@pytest.mark.parametrize("engines", [1, 2, 3])
def test_a_part_crashes_few_servers_of_a_small_service(make_world, engines):
    """Guards against a crash that is forgotten as no server is left."""
    callers = crashing_parts.Callers(_world(make_world, servers=engines))
    loops = [
        gevent.spawn(
            callers.keep_sending, callers.send_crashing, _CRASHING_PAUSE_S
        )
    ]
    gevent.sleep(2 * _CRASHING_S)
    callers.stop()
    gevent.joinall(loops)
    _check(callers)


@pytest.mark.parametrize("moment", list(Moment))
def test_a_part_is_found_before_any_request_has_succeeded(make_world, moment):
    """Guards against parts that are all alike as nothing is served yet."""
    world = _world(make_world, servers=3, events=12, event_s=0.02)
    for engine in world.engines:
        engine.ends_at = moment
    callers = crashing_parts.Callers(world)
    loops = [
        gevent.spawn(callers.keep_sending, *one)
        for one in (
            (callers.send_crashing, _CRASHING_PAUSE_S),
            (callers.send_sound, _SOUND_PAUSE_S),
        )
    ]
    world.wait(lambda: len(callers.end_times_s) >= _MIN_CRASHES)
    gevent.sleep(2 * _CRASHING_S)
    from_s = boottime.now()
    world.wait(lambda: callers.count_since(from_s) >= _COUNTED)
    until_s = boottime.now()
    callers.stop()
    gevent.joinall(loops)
    _check(callers)
    assert callers.share_begun(from_s, until_s) >= _LEAST_SHARE


def test_bursts_crash_few_servers(make_world):
    """Guards against many servers that run such a part at the same time."""
    callers = crashing_parts.Callers(_world(make_world))
    share = _play(callers, (callers.send_bursts, 12, 0.4))
    _check(callers, crashes=_MAX_CRASHES_IN_ALL)
    assert share >= _LEAST_SHARE


def test_crashes_are_known_although_datagrams_are_lost(make_world, monkeypatch):
    """Guards against an instance that misses a message and runs one more."""
    rng = random.Random(1)
    send = datagrams_module.Datagrams.send

    def send_mostly(self, address, data):
        if rng.random() >= 0.3:
            send(self, address, data)

    monkeypatch.setattr(datagrams_module.Datagrams, "send", send_mostly)
    callers = crashing_parts.Callers(_world(make_world))
    _play(
        callers,
        (callers.keep_sending, callers.send_crashing, _CRASHING_PAUSE_S),
    )
    _check(callers)


def test_an_instance_that_starts_knows_the_part(make_world):
    """Guards against what is known only by instances that have gone."""
    world = _world(make_world)
    callers = crashing_parts.Callers(world)

    def replace():
        world.wait(lambda: len(callers.end_times_s) >= 3)
        gevent.sleep(crashing_parts.CONTACT_S)
        new = world.add_entry("a")
        world.wait(lambda: new.inst.ready)
        assert new.crash_catch_up.ask(4)
        for entry in world.entries[:-1]:
            entry.kill()

    _play(
        callers,
        (callers.keep_sending, callers.send_crashing, _CRASHING_PAUSE_S),
        (replace,),
    )
    _check(callers)


def test_parts_are_not_blamed_for_other_ends(make_world):
    """Guards against shared parts barred as servers end of themselves."""
    world = _world(make_world)
    callers = crashing_parts.Callers(
        world, target="/digest/1", crashing=("nobody's",)
    )
    rng = random.Random(1)

    def crash_servers():
        while True:
            gevent.sleep(0.2)
            rng.choice(world.engines).crash()

    loops = [
        gevent.spawn(callers.keep_sending, callers.send_sound, _SOUND_PAUSE_S)
    ]
    world.wait(lambda: len(callers.sound) >= _COUNTED)
    from_s = boottime.now()
    crashes = gevent.spawn(crash_servers)
    world.wait(lambda: len(callers.end_times_s) >= 12)
    world.wait(lambda: callers.count_since(from_s) >= 2 * _COUNTED)
    crashes.kill()
    callers.stop()
    gevent.joinall(loops)
    gevent.sleep(_ANSWERED_S)
    share = callers.share_begun(from_s, boottime.now())
    assert share >= _LEAST_SHARE
    barred = [one for one in callers.sound if b"servers_ended" in one.body]
    assert not [one for one in barred if one.status == 503]
