"""Callers resume streams at 24 instances while versions come and go.

Regression: up to eight instances ask all others which release began a stream.
With more, five are asked, and all depends on what was sent to whom before;
streams went on at servers of another version, and streams that callers resumed
were rejected although servers of their version served.
"""

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.tests import resumed_streams
from irisshelf.tests import streams_at_size

_ALL = range(streams_at_size.INSTANCES)
_HOT = 0
_RATE_S = 3.0
_KILLED = 14
_CUT_OFF = 8
# For longer than an instance that has ended is in the membership.
_LONG_AFTER_S = 7.0
_AFTER_S = 3.0
_ONE_DATA_CENTRE = [
    place for place in _ALL if place % len(streams_at_size.DATA_CENTRES) == 0
]
_SPREAD = list(_ALL[:_CUT_OFF])


def _begin_and_resume(callers, entry):
    stream = callers.begin(entry)
    if stream.events:
        callers.resume(stream, callers.other(entry))


def _begin_everywhere(callers, over_s=1.0):
    """Begins two streams at each instance."""
    return callers.begin_all([*_ALL, *_ALL], over_s)


@pytest.mark.parametrize(
    ("instances", "hot_rate"),
    [(24, 0), (24, 8), (24, 20), (6, 20)],
    ids=["calm", "hot-8", "hot-20", "six-hot-20"],
)
def test_streams_go_on_elsewhere_at_once(make_world, instances, hot_rate):
    """Guards against origins that wait at an instance that begins many."""
    world = streams_at_size.make(make_world, instances=instances)
    callers = streams_at_size.Callers(world)
    evenly = [
        (second + place / instances, _begin_and_resume, callers, place)
        for second in range(int(_RATE_S))
        for place in range(instances)
    ]
    hot = [
        (number / hot_rate, _begin_and_resume, callers, _HOT)
        for number in range(int(_RATE_S * hot_rate))
    ]
    streams_at_size.run_all(evenly + hot)
    assert all(stream.events for stream in callers.streams)
    assert not streams_at_size.mixed(callers.streams)
    assert streams_at_size.share_on(callers.streams) == 1.0


@pytest.mark.parametrize(
    ("over_s", "seed"),
    [(3.0, 1), (0.0, 1), (0.0, 2)],
    ids=["over-3-s", "at-once-1", "at-once-2"],
)
def test_streams_of_an_instance_that_is_killed(make_world, over_s, seed):
    """Guards against origins that are lost with the instance, and herds."""
    world = streams_at_size.make(make_world)
    callers = streams_at_size.Callers(world, seed)
    streams = callers.begin_all([_HOT] * 40, 1.5)
    gevent.sleep(0.3)
    world.entries[_HOT].kill()
    callers.resume_all(streams, over_s)
    _check_shares(callers, streams)


def _check_shares(callers, streams, among=None):
    begins = callers.share_that_begins(among)
    mixed = streams_at_size.mixed(streams)
    share = streams_at_size.share_on(streams)
    assert len(mixed) <= streams_at_size.MAX_MIXED
    assert share >= resumed_streams.LEAST_SHARE * begins


@pytest.mark.parametrize(
    ("over_s", "seed"),
    [(3.0, 1), (3.0, 2), (0.0, 1), (0.0, 2)],
    ids=["over-3-s-1", "over-3-s-2", "at-once-1", "at-once-2"],
)
def test_most_instances_restart_after_a_rollout(make_world, over_s, seed):
    """Guards against newborn instances that guess which release there was."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world, seed)
    streams = _begin_everywhere(callers)
    streams_at_size.replace_all(world, "v2")
    streams_at_size.restart(world, callers.rng.sample(_ALL, _KILLED))
    callers.resume_all(streams, over_s)
    _check_none_goes_on(world, streams)


def _check_none_goes_on(world, streams):
    assert len(streams) >= streams_at_size.MIN_COUNTED
    assert not streams_at_size.mixed(streams)
    assert not streams_at_size.counted(streams)
    statuses = {r.status for stream in streams for r in stream.resumptions}
    assert statuses == {503}


@pytest.mark.parametrize(
    ("before_s", "after_s"),
    [(0.0, _LONG_AFTER_S), (_AFTER_S, 0.0)],
    ids=["restart-then-wait", "wait-then-restart"],
)
def test_newborn_instances_long_after_a_rollout(make_world, before_s, after_s):
    """Guards against newborn instances for which the list is proof."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world)
    streams = _begin_everywhere(callers)
    streams_at_size.replace_all(world, "v2")
    gevent.sleep(before_s)
    started = streams_at_size.restart(world, callers.rng.sample(_ALL, _KILLED))
    gevent.sleep(after_s)
    callers.resume_all(streams, 0.0, started)
    _check_none_goes_on(world, streams)


def _start_second_version(world, cut_off):
    """Starts servers of another version, which the others list."""
    for _ in range(streams_at_size.ENGINES):
        world.add_engine("v2")
    expected = {one.server_id for one in world.engines}
    world.wait(
        lambda: all(
            resumed_streams.listed(world.entries[place]) >= expected
            for place in _ALL
            if place not in cut_off
        )
    )


@pytest.mark.parametrize(
    "cut_off", [_SPREAD, _ONE_DATA_CENTRE], ids=["spread", "one-data-centre"]
)
def test_instances_without_the_store_resume_streams(make_world, cut_off):
    """Guards against a release that is known while its servers are not."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world)
    streams_at_size.lose_store(world, cut_off)
    gevent.sleep(0.5)
    _start_second_version(world, cut_off)
    others = [place for place in _ALL if place not in cut_off]
    streams = callers.begin_all(others * 3, 2.0)
    assert {v for s in streams for v in s.versions} == {b"v1", b"v2"}
    callers.resume_all(streams, 1.5, cut_off)
    for version in (b"v1", b"v2"):
        _check_shares(
            callers, [s for s in streams if version in s.versions], cut_off
        )


def test_instances_without_the_store_and_others_do_not_guess(make_world):
    """Guards against the list of an instance that nobody answers."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world)
    streams_at_size.lose_store(world, _SPREAD)
    streams_at_size.lose_others(world, _SPREAD)
    gevent.sleep(0.5)
    _start_second_version(world, _SPREAD)
    others = [place for place in _ALL if place not in _SPREAD]
    streams = callers.begin_all(others * 3, 2.0)
    assert {v for s in streams for v in s.versions} == {b"v1", b"v2"}
    callers.resume_all(streams, 1.5, _SPREAD)
    assert not streams_at_size.mixed(streams)


def test_instances_that_are_cut_off_together_do_not_guess(make_world):
    """Guards against answers of those that are cut off as well."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world)
    streams_at_size.lose_store(world, _ONE_DATA_CENTRE)
    others = [place for place in _ALL if place not in _ONE_DATA_CENTRE]
    for place in _ONE_DATA_CENTRE:
        world.entries[place].part([world.entries[other] for other in others])
    _start_second_version(world, _ONE_DATA_CENTRE)
    streams = callers.begin_all(others * 3, 1.0)
    assert {v for s in streams for v in s.versions} == {b"v1", b"v2"}
    world.wait(
        lambda: (
            not any(
                world.entries[place].inst.is_in_contact()
                for place in _ONE_DATA_CENTRE
            )
        )
    )
    callers.resume_all(streams, 1.0, _ONE_DATA_CENTRE)
    assert not streams_at_size.mixed(streams)


def test_instances_restart_one_by_one_in_a_rollout(make_world):
    """Guards against the last instance that remembers, as it goes."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world)
    before = list(world.engines)
    waiting = []
    for place in _ALL:
        if place % 3 == 0:
            world.add_engine("v2")
            world.remove_engine(before.pop())
        streams_at_size.restart(world, [place])
        begun_at = [callers.other(None) for _ in range(4)]
        waiting.append(callers.begin_all(begun_at, 0.1))
        if len(waiting) > 2:
            callers.resume_all(waiting.pop(0), 0.1)
    streams = list(callers.streams)
    callers.resume_all([s for some in waiting for s in some], 0.1)
    _check_shares(callers, streams)


@pytest.mark.parametrize("over_s", [3.0, 0.0], ids=["over-3-s", "at-once"])
def test_all_instances_restart_while_one_version_serves(make_world, over_s):
    """Guards against rejections where there is nothing to guess."""
    world = streams_at_size.make(make_world, versions=("v1",))
    callers = streams_at_size.Callers(world)
    streams = _begin_everywhere(callers)
    streams_at_size.restart(world, _ALL)
    callers.resume_all(streams, over_s)
    assert streams_at_size.share_on(streams) == 1.0


@pytest.mark.parametrize(
    ("times", "killed"),
    [(2, False), (3, False), (3, True)],
    ids=["twice", "thrice", "thrice-some-killed"],
)
def test_streams_are_resumed_several_times(make_world, times, killed):
    """Guards against what only the first attempt is known by."""
    world = streams_at_size.make(make_world)
    callers = streams_at_size.Callers(world)
    streams = _begin_everywhere(callers, 2.0)
    for number in range(1, times + 1):
        if killed and number == times:
            for place in _SPREAD:
                world.entries[place].kill()
        until = streams_at_size.BROKEN_AFTER + 2 * number
        callers.resume_all(streams, 2.0, until=until)
    if killed:
        _check_shares(callers, streams)
        return
    assert not streams_at_size.mixed(streams)
    assert streams_at_size.share_on(streams) == 1.0


def _exit_and_departure(entry):
    """Publishes that a server leaves and that another one has returned."""
    leaving, returned = entry.inst.directory.servers_of("lm")[:2]
    entry.inst.servers.publish_leaving([leaving])
    entry.inst.servers.apply_fact(
        facts.ServerExited(
            server=directory.short_id(returned.server_id), returned=True
        )
    )
    entry.inst.servers.publish(
        facts.ServerExited(
            server=directory.short_id(returned.server_id), returned=True
        )
    )
    return leaving, returned


def test_facts_about_servers_reach_all_while_their_leader_is_dead(make_world):
    """Guards against exits and departures that only the dead are told of."""
    world = streams_at_size.make(make_world, versions=("v1",))
    for entry in list(world.entries):
        if entry.membership.leader(entry.inst.now()) is None:
            entry.kill()
    alive = [entry for entry in world.entries if not entry.closed]
    leaving, returned = _exit_and_departure(alive[0])
    gevent.sleep(1.5)
    assert all(entry.inst.eligible.is_leaving(leaving) for entry in alive)
    assert all(entry.inst.eligible.is_doubtful(returned) for entry in alive)


def test_instances_that_start_learn_which_entries_are_in_doubt(make_world):
    """Guards against streams that go on at a process of another version."""
    world = streams_at_size.make(make_world, versions=("v1",))
    server = world.inst.directory.servers_of("lm")[0]
    for entry in world.entries:
        entry.inst.servers.apply_fact(
            facts.ServerExited(
                server=directory.short_id(server.server_id), returned=False
            )
        )
    started = streams_at_size.restart(world, _ALL[:3])
    gevent.sleep(1.0)
    assert all(
        world.entries[place].inst.eligible.is_doubtful(server)
        for place in started
    )
