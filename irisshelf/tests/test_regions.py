"""Routes and teams whose requests may be served in certain regions only.

Among three regions, a contract or a law permits a team only some. Requests must
reach servers in these regions only, whatever happens to the servers, and cached
prompts must be fetched from these regions only.
"""

import pytest

from irisshelf.catalog import model
from irisshelf.platform import documents
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module

Fault = server.Fault
_DATA_CENTRES = ("a", "b", "c", "d")
# The region of data centre d is not known.
_REGIONS = {"a": "north", "b": "south", "c": "east"}


def _world(make_world, *, route=(), team=()):
    world = make_world(
        servers=4, places=_DATA_CENTRES, regions=_REGIONS, configured=False
    )
    document = world_module.config(1)
    for entry in document["routes"]:
        entry["allowedRegions"] = list(route)
    document["tenants"][0]["allowedRegions"] = list(team)
    world.store.put("op", "config", document)
    world.wait(lambda: world.inst.ready)
    world.wait(lambda: len(world.inst.directory.servers()) == 8)
    return world


def _ran_in(world):
    servers = [*world.plain, *world.engines]
    return {backend.data_centre for backend in servers if backend.runs}


@pytest.mark.parametrize(
    ("route", "team", "data_centres"),
    [
        ((), (), {"a", "b", "c", "d"}),
        (("north",), (), {"a"}),
        ((), ("south", "east"), {"b", "c"}),
        (("north", "south"), ("south", "east"), {"b"}),
    ],
)
@pytest.mark.parametrize("target", ["/digest/1", "/alarm/1", "/valve/1"])
def test_requests_are_served_where_route_and_team_allow(
    make_world, route, team, data_centres, target
):
    world = _world(make_world, route=route, team=team)
    for number in range(24):
        answer = world.ask(target, Prefix_Hash=f"s{number}:900,own:9")
        assert answer.status == 200
    assert _ran_in(world) <= data_centres
    if target == "/digest/1":
        assert _ran_in(world) == data_centres


@pytest.mark.parametrize(
    ("route", "team"), [(("north",), ("south",)), (("west",), ())]
)
def test_request_without_an_allowed_region_is_rejected(make_world, route, team):
    world = _world(make_world, route=route, team=team)
    answer = world.ask("/alarm/1", Request_Id="r")
    assert (answer.status, world.runs("r")) == (503, 0)
    assert float(answer.headers["retry-after"]) > 0


@pytest.mark.parametrize("target", ["/digest/1", "/valve/1"])
def test_retry_stays_in_allowed_regions(make_world, target):
    world = _world(make_world, team=("north", "south"))
    for backend in [*world.plain, *world.engines]:
        backend.always = Fault.FAIL
    for number in range(6):
        world.ask(target, Prefix_Hash=f"s{number}:900,own:9")
    assert _ran_in(world) <= {"a", "b"}


def test_request_is_rejected_if_all_allowed_servers_are_lost(make_world):
    world = _world(make_world, route=("north",))
    for backend in [*world.plain, *world.engines]:
        if backend.data_centre == "a":
            backend.close()
    answer = world.ask("/alarm/1", Request_Id="r")
    assert (answer.status, world.runs("r")) == (503, 0)


def test_prompt_parts_are_fetched_from_allowed_regions_only(make_world):
    """Servers elsewhere have them cached from requests of other teams."""
    world = _world(make_world, team=("north",))
    parts = "aa:500,bb:2500,own:9"
    for backend in world.engines:
        if backend.data_centre != "a":
            entry = world.inst.directory.get(backend.server_id)
            request = world.inst.dialect.parse_request(
                _inbound(world, parts)
            ).ok_value
            world.inst.servers.record_sent_prompt(entry, request.prompt)
    assert world.ask("/digest/1", Prefix_Hash=parts).status == 200
    (run,) = [run for backend in world.engines for run in backend.runs]
    assert "kv-fetch" not in run.headers


def _inbound(world, parts):
    headers = world.headers(b"{}", Prefix_Hash=parts)
    return world_module.inbound("/digest/1", headers)


@pytest.mark.parametrize("regions", [3, "north", [3], {"north": 1}])
def test_configuration_with_malformed_regions_is_rejected(regions):
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
def test_common_regions(allowed, common):
    actual = model.common_regions(*map(frozenset, allowed))
    assert actual == common
