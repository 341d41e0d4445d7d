"""Operators evacuate a data centre: its servers get nothing new.

The pattern: a data centre is to be empty of work within seconds, while the
store is slow, turns instances away or loses answers, and instances start, sleep
or come back. What its servers hold is handed on first; callers there are served
by the servers of other data centres.
"""

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import evacuations
from irisshelf.catalog import position
from irisshelf.gateway import settings
from irisshelf.platform import documents
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module

Fault = server.Fault
_KINDS = ("/digest/1", "/query/1", "/alarm/1", "/valve/1")


@pytest.fixture
def places(make_world):
    """Servers of each service in two data centres; the instance is in a."""
    return make_world(places=("a", "b"))


def _of(world, place):
    everyone = [*world.plain, *world.engines]
    return [one for one in everyone if one.data_centre == place]


def _evacuate(world, *names):
    for name in names:
        world.store.put("op", f"evacuate/{name}", {})
    world.wait(lambda: world.inst.evacuations.now() >= set(names))


def _lift(world, name):
    world.store.drop("op", f"evacuate/{name}")
    world.wait(lambda: name not in world.inst.evacuations.now())


def _ran(servers):
    return sum(len(one.runs) for one in servers)


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize("place", ["a", "b"])
def test_servers_there_get_nothing_and_callers_are_served(
    places, place, target
):
    _evacuate(places, place)
    for number in range(8):
        parts = f"s{number}:900,own:9"
        assert places.ask(target, Prefix_Hash=parts).status == 200
    assert _ran(_of(places, place)) == 0
    _lift(places, place)


@pytest.mark.parametrize("target", ["/valve/1", "/digest/1"])
def test_a_second_send_does_not_go_there(places, target):
    _evacuate(places, "a")
    for one in _of(places, "b"):
        one.always = Fault.FAIL
    assert places.ask(target).status == 500
    assert _ran(_of(places, "a")) == 0


def test_work_under_way_there_ends_well(places):
    for one in places.engines:
        one.always = Fault.PAUSE_MIDWAY
        one.pause_s = 0.3
    answers = []
    asking = gevent.spawn(lambda: answers.append(places.ask("/query/1")))
    places.wait(lambda: any(one.working for one in places.engines))
    _evacuate(places, "a", "b")
    asking.join()
    assert (answers[0].status, answers[0].whole) == (200, True)


def test_no_connection_is_made_to_servers_there(places):
    _evacuate(places, "a")
    servers = [
        places.inst.directory.get(one.server_id) for one in _of(places, "a")
    ]
    for one in servers:
        places.inst.servers.prober.probe_if_silent(one)
    gevent.sleep(0.1)
    assert all(one.accepted == 0 for one in _of(places, "a"))


def test_all_data_centres_evacuated_is_a_true_refusal_at_once(places):
    _evacuate(places, "a", "b")
    began_s = boottime.now()
    answer = places.ask("/alarm/1", Request_Id="r")
    assert (answer.status, places.runs("r")) == (503, 0)
    assert 0 < float(answer.headers["retry-after"]) <= 5.0
    assert boottime.now() - began_s < 1.0
    assert places.inst.ready
    _lift(places, "b")
    assert places.ask("/alarm/1").status == 200


def test_parts_are_relayed_before_they_are_needed_elsewhere(
    places, monkeypatch
):
    """Requests that come in time bring them over; later ones do not ask."""
    parts = "aa:500,bb:2500,own:9"
    assert places.ask("/digest/1", Prefix_Hash=parts).status == 200
    (holder,) = [one for one in places.engines if one.runs]
    _evacuate(places, holder.data_centre)
    assert places.ask("/digest/1", Prefix_Hash=parts).status == 200
    taker = next(one for one in places.engines if one.runs and one != holder)
    assert taker.runs[-1].headers["kv-fetch"] == holder.address
    monkeypatch.setattr(evacuations, "HAND_ON_S", 0.0)
    assert places.ask("/digest/1", Prefix_Hash="cc:2500,own:9").status == 200
    sources = [
        run.headers.get("kv-fetch")
        for one in places.engines
        for run in one.runs[-1:]
        if run.headers["prefix-hash"] == "cc:2500,own:9"
    ]
    there = {one.address for one in _of(places, holder.data_centre)}
    assert not there & set(sources)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("evacuate/", "e30="),
        ("evacuate/nowhere", "e30="),
        ("evacuate/a", "?"),
        ("evacuate/a", 7),
        ("evacuate/a", "WzFd"),
    ],
)
def test_a_row_that_is_no_evacuation_changes_nothing(make_world, key, value):
    world = make_world(places=("a", "b"), known_places=("a", "b"))
    problems = []
    world.inst.log.problem = lambda name, **fields: problems.append(name)
    world.store.put_raw("op", key, value)
    world.store.put("op", "config", world_module.config(2))
    world.wait(lambda: world.inst.catalog.version == 2)
    assert not world.inst.evacuations.now()
    assert problems


def test_an_instance_that_starts_later_knows_it():
    world = world_module.World(configured=False, places=("a", "b"))
    world.store.put("op", "evacuate/a", {})
    world.store.put("op", "config", world_module.config(1))
    world.wait(lambda: world.inst.ready)
    for _ in range(4):
        assert world.ask("/alarm/1").status == 200
    assert _ran(_of(world, "a")) == 0
    world.close()


@pytest.mark.parametrize(
    "mode", [store.Mode.BUSY, store.Mode.RESET, store.Mode.SLOW]
)
def test_it_is_known_in_two_thirds_of_the_bound_through_trouble(
    make_world, mode
):
    bounds = settings.Bounds(evacuated_ms=5000)
    world = make_world(places=("a", "b"), bounds=bounds)
    world.store.mode = mode
    world.store.put("op", "evacuate/a", {})
    gevent.sleep(0.8)
    world.store.mode = store.Mode.WELL
    gevent.sleep(5.0 * 2 / 3 - 0.8)
    assert world.inst.evacuations.now() == {"a"}


def test_it_is_known_though_the_answer_that_tells_it_is_lost(make_world):
    bounds = settings.Bounds(evacuated_ms=5000)
    world = make_world(places=("a", "b"), bounds=bounds)
    world.wait(lambda: any(t == "op" and ms for t, ms in world.store.asked))
    world.store.mode = store.Mode.SILENT
    world.store.put("op", "evacuate/a", {})
    gevent.sleep(0.3)
    world.store.mode = store.Mode.WELL
    gevent.sleep(5.0 * 2 / 3 - 0.3)
    assert world.inst.evacuations.now() == {"a"}


def test_forgotten_history_does_not_hide_that_it_was_lifted(places):
    _evacuate(places, "a", "b")
    places.store.mode = store.Mode.BUSY
    places.store.drop("op", "evacuate/a")
    places.store.forget_history()
    places.store.mode = store.Mode.WELL
    places.wait(lambda: places.inst.evacuations.now() == {"b"})


def _at(revision, era=0):
    return position.Position(era=era, revision=revision)


def _row(name, in_force=True):
    return evacuations.Evacuation(data_centre=name, in_force=in_force)


_STORIES = {
    "begun and lifted": [
        ("replace", [], _at(1), 0.0, set()),
        ("change", [_row("a")], _at(2), 1.0, {"a"}),
        ("change", [_row("b"), _row("a", False)], _at(3), 2.0, {"b"}),
        ("replace", [], _at(4), 3.0, set()),
    ],
    "an older word comes later": [
        ("replace", ["a"], _at(5), 0.0, {"a"}),
        ("replace", [], _at(4), 1.0, {"a"}),
        ("change", [_row("a", False)], _at(3), 1.0, {"a"}),
    ],
    "the copy lacks it, and it is written again": [
        ("replace", ["a"], _at(9), 0.0, {"a"}),
        ("replace", [], _at(2, 1), 1.0, {"a"}),
        ("change", [_row("a")], _at(3, 1), 2.0, {"a"}),
        ("expire", 60.0, {"a"}),
        ("change", [_row("a", False)], _at(4, 1), 61.0, set()),
    ],
    "the copy lacks it, and others are written again": [
        ("replace", ["a"], _at(9), 0.0, {"a"}),
        ("replace", [], _at(9, 1), 1.0, {"a"}),
        ("wrote", 2.0, {"a"}),
        ("expire", 4.0, {"a"}),
        ("expire", 4.3, set()),
    ],
    "the copy lacks it, and nobody writes": [
        ("replace", ["a"], _at(9), 0.0, {"a"}),
        ("replace", [], _at(12, 1), 1.0, {"a"}),
        ("expire", 30.0, {"a"}),
        ("expire", 31.1, set()),
    ],
    "its withdrawal was lost with the copy": [
        ("replace", ["a"], _at(5), 0.0, {"a"}),
        ("change", [_row("a", False)], _at(9), 1.0, set()),
        ("replace", ["a"], _at(5, 1), 2.0, {"a"}),
        ("change", [_row("a", False)], _at(6, 1), 3.0, set()),
    ],
    "a word of the era before comes later": [
        ("replace", [], _at(9), 0.0, set()),
        ("replace", ["a"], _at(2, 1), 1.0, {"a"}),
        ("replace", [], _at(20), 2.0, {"a"}),
    ],
    "two returns": [
        ("replace", ["a", "b"], _at(9), 0.0, {"a", "b"}),
        ("replace", ["b"], _at(2, 1), 1.0, {"a", "b"}),
        ("replace", [], _at(1, 2), 1.5, {"a", "b"}),
        ("change", [_row("b")], _at(2, 2), 2.0, {"a", "b"}),
        ("expire", 32.0, {"b"}),
    ],
}


@pytest.mark.parametrize("story", _STORIES.values(), ids=_STORIES.keys())
def test_words_are_taken_in_their_order(story):
    held = evacuations.Evacuations()
    for number, (what, *given, expected) in enumerate(story):
        if what == "wrote":
            held.operators_wrote(*given)
        else:
            getattr(held, what)(*given)
        assert held.now() == expected, (number, what)


def test_what_changed_is_told_once():
    held = evacuations.Evacuations()
    first = held.replace(["a"], _at(1), 0.0)
    again = held.replace(["a"], _at(2), 1.0)
    lifted = held.replace([], _at(3), 2.0)
    assert (first.begun, bool(again), lifted.lifted) == ({"a"}, False, {"a"})


@pytest.mark.parametrize("data", [b"", b"[]", b"3", b"\xff", b'{"a"'])
def test_the_row_of_an_evacuation_is_an_object(data):
    with pytest.raises(ValueError):
        documents.evacuation("a", data)


def test_evacuated_servers_count_in_the_mean_load(places):
    """Else those that take all would go up to the bound of a mean of theirs."""
    _evacuate(places, "a")
    assert {s.data_centre for s in places.inst.eligible.usable("lm")} == {"b"}
    idle = places.inst.eligible.evacuated("lm")
    assert {s.data_centre for s in idle} == {"a"}
