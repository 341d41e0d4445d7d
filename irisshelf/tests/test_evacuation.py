"""Evacuation of a data centre: its servers get no new requests.

A data centre has to be free of work within seconds, while the store is slow,
rejects instances or loses responses, and instances start, are suspended or are
restored. Content in its servers' caches is transferred to other servers first.
Callers in the data centre are served by servers of other data centres.
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
def world(make_world):
    """A world with servers of each service in data centres a and b.

    The instance is in data centre a.
    """
    return make_world(places=("a", "b"))


def _of(world, data_centre):
    servers = [*world.plain, *world.engines]
    return [
        backend for backend in servers if backend.data_centre == data_centre
    ]


def _evacuate(world, *names):
    for name in names:
        world.store.put("op", f"evacuate/{name}", {})
    world.wait(lambda: world.inst.evacuations.active() >= set(names))


def _lift(world, name):
    world.store.drop("op", f"evacuate/{name}")
    world.wait(lambda: name not in world.inst.evacuations.active())


def _ran(servers):
    return sum(len(backend.runs) for backend in servers)


@pytest.mark.parametrize("target", _KINDS)
@pytest.mark.parametrize("data_centre", ["a", "b"])
def test_evacuated_servers_get_no_requests_and_callers_are_served(
    world, data_centre, target
):
    _evacuate(world, data_centre)
    for number in range(8):
        parts = f"s{number}:900,own:9"
        assert world.ask(target, Prefix_Hash=parts).status == 200
    assert _ran(_of(world, data_centre)) == 0
    _lift(world, data_centre)


@pytest.mark.parametrize("target", ["/valve/1", "/digest/1"])
def test_retry_avoids_evacuated_data_centre(world, target):
    _evacuate(world, "a")
    for backend in _of(world, "b"):
        backend.always = Fault.FAIL
    assert world.ask(target).status == 500
    assert _ran(_of(world, "a")) == 0


def test_requests_in_flight_complete(world):
    for backend in world.engines:
        backend.always = Fault.PAUSE_MIDWAY
        backend.pause_s = 0.3
    answers = []
    request = gevent.spawn(lambda: answers.append(world.ask("/query/1")))
    world.wait(lambda: any(backend.working for backend in world.engines))
    _evacuate(world, "a", "b")
    request.join()
    assert (answers[0].status, answers[0].whole) == (200, True)


def test_evacuated_servers_are_not_probed(world):
    _evacuate(world, "a")
    servers = [
        world.inst.directory.get(backend.server_id)
        for backend in _of(world, "a")
    ]
    for backend in servers:
        world.inst.servers.reach.prober.probe_if_silent(backend)
    gevent.sleep(0.1)
    assert all(backend.accepted == 0 for backend in _of(world, "a"))


def test_evacuation_of_all_data_centres_rejects_requests_at_once(world):
    _evacuate(world, "a", "b")
    began_s = boottime.now()
    answer = world.ask("/alarm/1", Request_Id="r")
    assert (answer.status, world.runs("r")) == (503, 0)
    assert 0 < float(answer.headers["retry-after"]) <= 5.0
    assert boottime.now() - began_s < 1.0
    assert world.inst.ready
    _lift(world, "b")
    assert world.ask("/alarm/1").status == 200


def test_prompt_parts_are_transferred_from_evacuated_servers(
    world, monkeypatch
):
    """Requests soon after the evacuation fetch from them; later ones do not."""
    parts = "aa:500,bb:2500,own:9"
    assert world.ask("/digest/1", Prefix_Hash=parts).status == 200
    (holder,) = [backend for backend in world.engines if backend.runs]
    _evacuate(world, holder.data_centre)
    assert world.ask("/digest/1", Prefix_Hash=parts).status == 200
    taker = next(
        backend
        for backend in world.engines
        if backend.runs and backend != holder
    )
    assert taker.runs[-1].headers["kv-fetch"] == holder.address
    monkeypatch.setattr(evacuations, "CACHE_FETCH_GRACE_S", 0.0)
    assert world.ask("/digest/1", Prefix_Hash="cc:2500,own:9").status == 200
    sources = [
        run.headers.get("kv-fetch")
        for backend in world.engines
        for run in backend.runs[-1:]
        if run.headers["prefix-hash"] == "cc:2500,own:9"
    ]
    evacuated = {backend.address for backend in _of(world, holder.data_centre)}
    assert not evacuated & set(sources)


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
def test_malformed_evacuation_row_is_ignored(make_world, key, value):
    world = make_world(places=("a", "b"), known_places=("a", "b"))
    problems = []
    world.inst.log.warning = lambda name, **fields: problems.append(name)
    world.store.put_raw("op", key, value)
    world.store.put("op", "config", world_module.config(2))
    world.wait(lambda: world.inst.catalog.version == 2)
    assert not world.inst.evacuations.active()
    assert problems


def test_instance_started_later_knows_of_the_evacuation():
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
def test_evacuation_is_known_in_two_thirds_of_the_bound_despite_faults(
    make_world, mode
):
    bounds = settings.Bounds(evacuated_ms=5000)
    world = make_world(places=("a", "b"), bounds=bounds)
    world.store.mode = mode
    world.store.put("op", "evacuate/a", {})
    gevent.sleep(0.8)
    world.store.mode = store.Mode.WELL
    gevent.sleep(5.0 * 2 / 3 - 0.8)
    assert world.inst.evacuations.active() == {"a"}


def test_evacuation_is_known_if_the_response_is_lost(make_world):
    bounds = settings.Bounds(evacuated_ms=5000)
    world = make_world(places=("a", "b"), bounds=bounds)
    world.wait(lambda: any(t == "op" and ms for t, ms in world.store.asked))
    world.store.mode = store.Mode.SILENT
    world.store.put("op", "evacuate/a", {})
    gevent.sleep(0.3)
    world.store.mode = store.Mode.WELL
    gevent.sleep(5.0 * 2 / 3 - 0.3)
    assert world.inst.evacuations.active() == {"a"}


def test_lifted_evacuation_is_seen_after_loss_of_history(world):
    _evacuate(world, "a", "b")
    world.store.mode = store.Mode.BUSY
    world.store.drop("op", "evacuate/a")
    world.store.forget_history()
    world.store.mode = store.Mode.WELL
    world.wait(lambda: world.inst.evacuations.active() == {"b"})


def _at(revision, era=0):
    return position.Position(era=era, revision=revision)


def _row(name, in_force=True):
    return evacuations.Evacuation(data_centre=name, in_force=in_force)


_SEQUENCES = {
    "begun and lifted": [
        ("replace", [], _at(1), 0.0, set()),
        ("apply", [_row("a")], _at(2), 1.0, {"a"}),
        ("apply", [_row("b"), _row("a", False)], _at(3), 2.0, {"b"}),
        ("replace", [], _at(4), 3.0, set()),
    ],
    "an older event arrives later": [
        ("replace", ["a"], _at(5), 0.0, {"a"}),
        ("replace", [], _at(4), 1.0, {"a"}),
        ("apply", [_row("a", False)], _at(3), 1.0, {"a"}),
    ],
    "the backup lacks it, and it is written again": [
        ("replace", ["a"], _at(9), 0.0, {"a"}),
        ("replace", [], _at(2, 1), 1.0, {"a"}),
        ("apply", [_row("a")], _at(3, 1), 2.0, {"a"}),
        ("expire", 60.0, {"a"}),
        ("apply", [_row("a", False)], _at(4, 1), 61.0, set()),
    ],
    "the backup lacks it, and others are written again": [
        ("replace", ["a"], _at(9), 0.0, {"a"}),
        ("replace", [], _at(9, 1), 1.0, {"a"}),
        ("wrote", 2.0, {"a"}),
        ("expire", 4.0, {"a"}),
        ("expire", 4.3, set()),
    ],
    "the backup lacks it, and nothing is written": [
        ("replace", ["a"], _at(9), 0.0, {"a"}),
        ("replace", [], _at(12, 1), 1.0, {"a"}),
        ("expire", 30.0, {"a"}),
        ("expire", 31.1, set()),
    ],
    "the backup lacks that it was lifted": [
        ("replace", ["a"], _at(5), 0.0, {"a"}),
        ("apply", [_row("a", False)], _at(9), 1.0, set()),
        ("replace", ["a"], _at(5, 1), 2.0, {"a"}),
        ("apply", [_row("a", False)], _at(6, 1), 3.0, set()),
    ],
    "an event of the previous era arrives later": [
        ("replace", [], _at(9), 0.0, set()),
        ("replace", ["a"], _at(2, 1), 1.0, {"a"}),
        ("replace", [], _at(20), 2.0, {"a"}),
    ],
    "two restores": [
        ("replace", ["a", "b"], _at(9), 0.0, {"a", "b"}),
        ("replace", ["b"], _at(2, 1), 1.0, {"a", "b"}),
        ("replace", [], _at(1, 2), 1.5, {"a", "b"}),
        ("apply", [_row("b")], _at(2, 2), 2.0, {"a", "b"}),
        ("expire", 32.0, {"b"}),
    ],
}


@pytest.mark.parametrize("sequence", _SEQUENCES.values(), ids=_SEQUENCES.keys())
def test_event_sequences(sequence):
    tracked = evacuations.Evacuations()
    for number, (what, *given, expected) in enumerate(sequence):
        if what == "wrote":
            tracked.record_operator_write(*given)
        else:
            getattr(tracked, what)(*given)
        assert tracked.active() == expected, (number, what)


def test_changes_are_reported_once():
    tracked = evacuations.Evacuations()
    first = tracked.replace(["a"], _at(1), 0.0)
    again = tracked.replace(["a"], _at(2), 1.0)
    lifted = tracked.replace([], _at(3), 2.0)
    assert (first.begun, bool(again), lifted.lifted) == ({"a"}, False, {"a"})


@pytest.mark.parametrize("data", [b"", b"[]", b"3", b"\xff", b'{"a"'])
def test_evacuation_row_must_be_an_object(data):
    with pytest.raises(ValueError):
        documents.evacuation("a", data)


def test_evacuated_servers_count_in_the_mean_load(world):
    """Otherwise the remaining servers would be limited by their own mean only.

    They take all requests and would be filled up to the bound of that mean.
    """
    _evacuate(world, "a")
    assert {s.data_centre for s in world.inst.eligible.usable("lm")} == {"b"}
    idle = world.inst.eligible.evacuated("lm")
    assert {s.data_centre for s in idle} == {"a"}
