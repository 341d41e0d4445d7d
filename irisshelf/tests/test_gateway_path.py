"""End-to-end tests of the gateway with stand-ins for store and servers."""

import pytest

from irisshelf.platform.stand_in import world as world_module

_KEY = world_module.KEY


@pytest.mark.parametrize(
    ("target", "method", "body"),
    [
        pytest.param("/digest/1?full=1", "POST", b"prompt", id="resumable"),
        pytest.param("/query/1", "POST", b"prompt", id="stream"),
        pytest.param("/alarm/1", "POST", b"burst", id="unsafe"),
        pytest.param("/valve/a%20b", "GET", b"", id="safe"),
        pytest.param("/alarm/long", "POST", b"x" * 200_000, id="long-body"),
        pytest.param("/alarm/empty", "POST", b"", id="no-body"),
    ],
)
def test_each_kind_of_request_runs_once_and_unchanged(
    world, target, method, body
):
    answer = world.ask(target, method=method, body=body, Request_Id="mine")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.headers["request-id"] == "mine"
    assert answer.headers["response-signature"]
    runs = [r for s in [*world.plain, *world.engines] for r in s.runs]
    assert [(r.method, r.target, r.body) for r in runs] == [
        (method, target, body)
    ]


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("tenant-id", "blue"),
        ("expect-instance", None),
        ("model", "m"),
        ("token-count", "10,5"),
        ("prefix-hash", "aa:5,bb:5"),
        ("x-own", "kept"),
    ],
)
def test_servers_get_headers_of_caller_and_gateway(world, name, expected):
    world.ask(
        "/digest/1",
        Model="m",
        Token_Count="10,5",
        Prefix_Hash="aa:5,bb:5",
        X_Own="kept",
        Tenant_Id="forged",
    )
    (run,) = [r for s in world.engines for r in s.runs]
    assert run.headers[name] == (expected or run.server_id)


@pytest.mark.parametrize("name", ["authorization", "kv-from", "hold"])
def test_servers_do_not_get_headers_for_the_gateway_only(world, name):
    world.ask("/alarm/1", Kv_From="1.2.3.4:5/x", Hold="h")
    (run,) = [r for s in world.plain for r in s.runs]
    assert name not in run.headers


def test_servers_get_the_remaining_time_of_the_deadline(world):
    world.ask("/alarm/1", Deadline_Ms="700")
    (run,) = [r for s in world.plain for r in s.runs]
    assert 0 < int(run.headers["deadline-ms"]) <= 700


@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        pytest.param("/nowhere/1", {}, 404, id="no-route"),
        pytest.param("/digest", {}, 404, id="prefix-needs-its-slash"),
        pytest.param("/digest/1", {"Host": "other"}, 404, id="other-host"),
        pytest.param("/digest/1", {"Authorization": ""}, 401, id="no-key"),
        pytest.param(
            "/digest/1", {"Authorization": "Bearer no"}, 401, id="unknown-key"
        ),
        pytest.param(
            "/digest/1", {"Authorization": f"Basic {_KEY}"}, 401, id="scheme"
        ),
        pytest.param("/digest/1", {"Request_Id": ""}, 400, id="no-id"),
        pytest.param("/digest/1", {"Deadline_Ms": "soon"}, 400, id="deadline"),
    ],
)
def test_invalid_request_gets_an_error_and_does_not_run(
    world, target, headers, status
):
    answer = world.ask(target, **headers)
    assert (answer.status, answer.whole) == (status, True)
    assert b"error" in answer.body
    assert not [r for s in [*world.plain, *world.engines] for r in s.runs]


def test_connection_serves_several_requests(world):
    conn = world.connect()
    answers = [world.ask("/alarm/1", conn=conn).status for _ in range(5)]
    assert answers == [200] * 5


def test_public_route_needs_no_key(world):
    routes = [world_module.route("/open/", "safe", "crew", public=True)]
    world.store.put("op", "config", world_module.config(2, routes=routes))
    world.wait(lambda: world.inst.catalog.version == 2)
    assert world.ask("/open/1", Authorization="").status == 200


def test_priority_of_the_team_overrides_that_of_the_route(world):
    tenants = [{"name": "blue", "apiKeys": [_KEY], "priority": 7}]
    world.store.put("op", "config", world_module.config(2, tenants=tenants))
    world.wait(lambda: world.inst.catalog.version == 2)
    world.ask("/digest/1")
    (run,) = [r for s in world.engines for r in s.runs]
    assert run.headers["request-priority"] == "7"


def test_requests_with_the_same_shared_prompt_parts_go_to_one_server(world):
    for number in range(6):
        world.ask("/digest/1", Prefix_Hash=f"aa:500,bb:900,own{number}:9")
    used = {r.server_id for s in world.engines for r in s.runs}
    assert len(used) == 1
