"""Routes and teams whose requests may be served in some regions only.

The pattern: three regions, of which a team's contract or a law names some. A
request reaches servers there and nowhere else, whatever becomes of them, and
its prompt is fetched from there alone.
"""

import pytest

from irisshelf.catalog import model
from irisshelf.platform import documents
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module

Fault = server.Fault
_PLACES = ("a", "b", "c", "d")
# Data centre d is in no region that is known.
_REGIONS = {"a": "north", "b": "south", "c": "east"}


def _world(make_world, *, route=(), team=()):
    world = make_world(
        servers=4, places=_PLACES, regions=_REGIONS, configured=False
    )
    document = world_module.config(1)
    for one in document["routes"]:
        one["allowedRegions"] = list(route)
    document["tenants"][0]["allowedRegions"] = list(team)
    world.store.put("op", "config", document)
    world.wait(lambda: world.inst.ready)
    world.wait(lambda: len(world.inst.directory.servers()) == 8)
    return world


def _ran_in(world):
    everyone = [*world.plain, *world.engines]
    return {one.data_centre for one in everyone if one.runs}


@pytest.mark.parametrize(
    ("route", "team", "places"),
    [
        ((), (), {"a", "b", "c", "d"}),
        (("north",), (), {"a"}),
        ((), ("south", "east"), {"b", "c"}),
        (("north", "south"), ("south", "east"), {"b"}),
    ],
)
@pytest.mark.parametrize("target", ["/digest/1", "/alarm/1", "/valve/1"])
def test_requests_are_served_where_both_allow_it(
    make_world, route, team, places, target
):
    world = _world(make_world, route=route, team=team)
    for number in range(24):
        answer = world.ask(target, Prefix_Hash=f"s{number}:900,own:9")
        assert answer.status == 200
    assert _ran_in(world) <= places
    if target == "/digest/1":
        assert _ran_in(world) == places


@pytest.mark.parametrize(
    ("route", "team"), [(("north",), ("south",)), (("west",), ())]
)
def test_where_nothing_is_allowed_it_is_a_true_refusal(make_world, route, team):
    world = _world(make_world, route=route, team=team)
    answer = world.ask("/alarm/1", Request_Id="r")
    assert (answer.status, world.runs("r")) == (503, 0)
    assert float(answer.headers["retry-after"]) > 0


@pytest.mark.parametrize("target", ["/digest/1", "/valve/1"])
def test_a_second_send_stays_there(make_world, target):
    world = _world(make_world, team=("north", "south"))
    for one in [*world.plain, *world.engines]:
        one.always = Fault.FAIL
    for number in range(6):
        world.ask(target, Prefix_Hash=f"s{number}:900,own:9")
    assert _ran_in(world) <= {"a", "b"}


def test_all_servers_there_lost_is_a_true_refusal(make_world):
    world = _world(make_world, route=("north",))
    for one in [*world.plain, *world.engines]:
        if one.data_centre == "a":
            one.close()
    answer = world.ask("/alarm/1", Request_Id="r")
    assert (answer.status, world.runs("r")) == (503, 0)


def test_parts_are_fetched_from_there_alone(make_world):
    """Whoever else has read them serves teams that may be served anywhere."""
    world = _world(make_world, team=("north",))
    parts = "aa:500,bb:2500,own:9"
    for one in world.engines:
        if one.data_centre != "a":
            listed = world.inst.directory.get(one.server_id)
            asked = world.inst.dialect.parse_request(
                _inbound(world, parts)
            ).ok_value
            world.inst.servers.record_sent_prompt(listed, asked.prompt)
    assert world.ask("/digest/1", Prefix_Hash=parts).status == 200
    (run,) = [run for one in world.engines for run in one.runs]
    assert "kv-fetch" not in run.headers


def _inbound(world, parts):
    headers = world.headers(b"{}", Prefix_Hash=parts)
    return world_module.inbound("/digest/1", headers)


@pytest.mark.parametrize("regions", [3, "north", [3], {"north": 1}])
def test_a_configuration_with_other_regions_is_refused(regions):
    document = world_module.config(2)
    document["routes"][0]["allowedRegions"] = regions
    with pytest.raises(ValueError, match="allowedRegions"):
        documents.catalog(store.encode(document))


@pytest.mark.parametrize(
    ("allowed", "common"),
    [
        ([], None),
        ([[], []], None),
        ([["a"], []], {"a"}),
        ([["a", "b"], ["b", "c"]], {"b"}),
        ([["a"], ["b"]], set()),
    ],
)
def test_regions_in_common(allowed, common):
    found = model.common_regions(*map(frozenset, allowed))
    assert found == common
