"""Keys that are withdrawn, down to the last one of a configuration.

Regression: a configuration whose teams have no keys left was taken for one
without teams, so that requests with the withdrawn key, an unknown one or none
were served on all routes.
"""

import json

import pytest

from irisshelf.platform import deployment
from irisshelf.platform import documents
from irisshelf.platform.stand_in import world as world_module

_TARGETS = ["/alarm/1", "/valve/1", "/digest/1", "/query/1"]
_KEYS = {
    "known-before": f"Bearer {world_module.KEY}",
    "unknown": "Bearer never-held",
    "empty": "Bearer",
    "none": "",
}
# Configurations without a key; all other fields stay.
_KEYLESS = {
    "no-keys": [{"name": "blue", "apiKeys": []}],
    "keys-missing": [{"name": "blue"}],
    "keys-null": [{"name": "blue", "apiKeys": None}],
    "empty-key": [{"name": "blue", "apiKeys": [""]}],
    "two-teams": [{"name": "blue", "apiKeys": []}, {"name": "red"}],
    "no-teams": [],
}


def _put(world, version, tenants, **more):
    document = world_module.config(version, **more)
    if tenants is None:
        del document["tenants"]
    else:
        document["tenants"] = tenants
    world.store.put("op", "config", document)
    world.wait(
        lambda: all(
            entry.inst.catalog and entry.inst.catalog.version == version
            for entry in world.entries
        )
    )


def _statuses(world, target, conn=None):
    return {
        name: world.ask(target, conn=conn, Authorization=key).status
        for name, key in _KEYS.items()
    }


def _run_count(world):
    return sum(len(one.runs) for one in (*world.plain, *world.engines))


@pytest.mark.parametrize("target", _TARGETS)
@pytest.mark.parametrize("tenants", _KEYLESS.values(), ids=_KEYLESS)
def test_without_any_key_no_request_runs(make_world, tenants, target):
    """Guards against the last key's withdrawal opening all routes."""
    world = make_world()
    kept = world.connect()
    assert world.ask(target, conn=kept).status == 200
    _put(world, 2, tenants)
    before = _run_count(world)
    refused = dict.fromkeys(_KEYS, 401)
    assert _statuses(world, target, kept) == refused
    assert _statuses(world, target) == refused
    assert _run_count(world) == before


@pytest.mark.parametrize("tenants", _KEYLESS.values(), ids=_KEYLESS)
def test_an_instance_that_starts_with_such_a_configuration(make_world, tenants):
    """Guards against instances that differ by what they knew before."""
    world = make_world(configured=False)
    public = world_module.route("/open/", "safe", "crew", public=True)
    routes = [*world_module.config(1)["routes"], public]
    _put(world, 1, tenants, routes=routes)
    world.wait(lambda: world.inst.ready)
    assert _statuses(world, "/alarm/1") == dict.fromkeys(_KEYS, 401)
    assert _statuses(world, "/open/1") == dict.fromkeys(_KEYS, 200)


@pytest.mark.parametrize("tenants", _KEYLESS.values(), ids=_KEYLESS)
def test_public_routes_need_no_key(make_world, tenants):
    """Guards against public routes that are closed with the others."""
    world = make_world()
    public = world_module.route("/open/", "safe", "crew", public=True)
    _put(world, 2, tenants, routes=[public])
    assert _statuses(world, "/open/1") == dict.fromkeys(_KEYS, 200)


def test_versions_in_a_row(make_world):
    """Guards against a state that outlasts the version it belongs to."""
    world = make_world(data_centres=("a", "a"))
    other = "Bearer other-key"
    versions = [
        ([{"name": "blue", "apiKeys": [world_module.KEY]}], 200, 401),
        ([{"name": "blue", "apiKeys": []}], 401, 401),
        ([{"name": "blue", "apiKeys": ["other-key"]}], 401, 200),
        ([], 401, 401),
        ([{"name": "red", "apiKeys": ["other-key"]}], 401, 200),
        ([{"name": "red"}, {"name": "blue", "apiKeys": []}], 401, 401),
        ([{"name": "blue", "apiKeys": [world_module.KEY]}], 200, 401),
    ]
    for version, (tenants, first, second) in enumerate(versions, start=2):
        _put(world, version, tenants)
        for entry in range(2):
            answers = [
                world.ask("/alarm/1", entry=entry).status,
                world.ask("/alarm/1", entry=entry, Authorization=other).status,
                world.ask("/alarm/1", entry=entry, Authorization="").status,
            ]
            assert answers == [first, second, 401]


def test_a_configuration_that_does_not_mention_teams(make_world):
    """Such a configuration asks for no key, but accepts no unknown one."""
    world = make_world()
    _put(world, 2, None)
    assert _statuses(world, "/valve/1") == {
        "known-before": 401,
        "unknown": 401,
        "empty": 200,
        "none": 200,
    }


@pytest.mark.parametrize("tenants", [None, []], ids=["absent", "empty"])
def test_where_no_keys_are_in_use_requests_need_none(make_world, tenants):
    """Guards against closed routes on deployments without teams."""
    world = make_world(keys_required=False)
    _put(world, 2, tenants)
    assert _statuses(world, "/valve/1") == dict.fromkeys(_KEYS, 200)


@pytest.mark.parametrize(
    ("contracts", "required"),
    [(["base", "tenants"], True), (["base"], False), (None, True)],
)
def test_the_rules_in_force_say_whether_keys_are_in_use(contracts, required):
    data = {
        "instance": "entry-1",
        "data_centre": "a",
        "listen": dict.fromkeys(
            ("front", "ready", "metrics", "peers"), "10.0.0.1:1"
        ),
        "store": "10.0.0.2:9",
        "contracts": contracts,
    }
    cfg = deployment.decode(json.dumps(data).encode()).unwrap()
    assert cfg.keys_required is required


@pytest.mark.parametrize(
    ("tenants", "names"),
    [(None, None), ([], ()), ([{"name": "blue"}], ("blue",))],
)
def test_teams_without_keys_are_kept(tenants, names):
    document = {"version": 1, "routes": [], "tenants": tenants}
    catalog = documents.catalog(json.dumps(document).encode())
    found = catalog.teams
    assert (found and tuple(team.name for team in found)) == (names or found)
    assert (found is None) is (names is None)
