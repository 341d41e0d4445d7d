"""Routes, server list, freshness: plain decisions on what operators wrote."""

import json

import pytest

from irisshelf.catalog import directory
from irisshelf.catalog import freshness
from irisshelf.catalog import model
from irisshelf.platform import documents
from irisshelf.platform.stand_in import world


def _catalog(*prefixes):
    routes = [world.route(prefix, "safe", "crew") for prefix in prefixes]
    document = world.config(1, routes=routes)
    return documents.catalog(json.dumps(document).encode())


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/x", "/a/"),
        ("/a/b/x", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/b/c/d", "/a/b/"),
        ("/a", None),
        ("/", None),
        ("", None),
        ("/ab/x", None),
        ("/a/", "/a/"),
    ],
)
def test_the_longest_prefix_wins(path, expected):
    found = _catalog("/a/", "/a/b/").route(world.HOST, path)
    assert (found.path_prefix if found else None) == expected


@pytest.mark.parametrize(
    ("host", "found"),
    [
        (world.HOST, True),
        (world.HOST.upper(), True),
        (f"{world.HOST}:8080", True),
        ("other", False),
    ],
)
def test_hosts_are_compared_as_names(host, found):
    assert bool(_catalog("/a/").route(host, "/a/x")) is found


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("safe", False, True),
        ("unsafe", False, False),
        ("streaming", True, True),
        ("streaming", False, False),
    ],
)
def test_what_may_run_again(kind, resumable, repeatable):
    document = world.config(
        1, routes=[world.route("/a/", kind, "s", resumable=resumable)]
    )
    (route,) = documents.catalog(json.dumps(document).encode()).routes
    assert route.repeatable is repeatable


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"version": "x"}, "version"),
        ({"routes": 3}, "routes"),
        ({"routes": [{"host": "h"}]}, "routes[0]"),
        ({"limits": {"idleTimeoutMs": "x"}}, "limits.idleTimeoutMs"),
    ],
)
def test_unsound_configurations_name_the_field(change, field):
    data = json.dumps(world.config(1) | change).encode()
    with pytest.raises(ValueError) as caught:
        documents.catalog(data)
    assert field in str(caught.value)


def test_times_are_in_seconds():
    (route,) = _catalog("/a/").routes
    assert (
        route.timeout_s,
        route.latency_target_s,
        route.event_gap_target_s,
    ) == (
        2.0,
        0.2,
        0.1,
    )


def _server(name, state="ready"):
    return directory.BackendServer(
        server_id=name,
        service="s",
        address=f"127.0.0.1:{len(name)}",
        data_centre="a",
        slots=4,
        state=directory.ServerState(state),
    )


def _listed(names):
    found = directory.Directory()
    servers = [_server(name) for name in names]
    found.replace(servers, recovered_s=0.0, after_outage=False)
    return found


def _names(found):
    return [server.server_id for server in found.servers_of("s")]


def _gone(name):
    return directory.Change(entry_id=name, server=None)


def test_a_vanished_entry_is_gone_at_once():
    found = _listed(["a", "b"])
    found.apply([_gone("a")])
    assert _names(found) == ["b"]


@pytest.mark.parametrize(
    ("now", "left"),
    [
        (1.0, ["a", "b"]),
        (2.9, ["a", "b"]),
        (3.3, ["b"]),
    ],
)
@pytest.mark.parametrize("whole", [True, False])
def test_entries_missing_after_an_outage_have_a_while_to_come_back(
    whole, now, left
):
    found = _listed(["a", "b"])
    if whole:
        found.replace([_server("b")], recovered_s=1.0, after_outage=True)
    else:
        found.apply_after_outage([_gone("a")], recovered_s=1.0)
    found.expire(now)
    assert _names(found) == left


def test_an_entry_that_comes_back_stays():
    found = _listed(["a", "b"])
    found.apply_after_outage([_gone("a")], recovered_s=1.0)
    found.apply([directory.Change(entry_id="a", server=_server("a"))])
    assert found.expire(9.0) == ()
    assert _names(found) == ["a", "b"]


def test_a_second_outage_does_not_extend_a_lapse():
    found = _listed(["a", "b"])
    found.replace([_server("b")], recovered_s=1.0, after_outage=True)
    found.replace([_server("b")], recovered_s=3.0, after_outage=True)
    assert found.expire(3.3) == ("a",)


@pytest.mark.parametrize(
    ("answers", "now", "age_s"),
    [
        pytest.param([], 5.0, float("inf"), id="nothing-yet"),
        pytest.param([(1.0, 1.2, 100.0)], 5.0, 4.0, id="as-old-as-the-send"),
        pytest.param(
            [(1.0, 1.0, 100.0), (2.0, 4.0, 103.0)], 5.0, 1.0, id="by-its-clock"
        ),
        pytest.param(
            [(1.0, 1.0, 100.0), (2.0, 4.0, 150.0)], 5.0, 1.0, id="never-future"
        ),
        pytest.param(
            [(1.0, 1.0, 100.0), (3.0, 3.0, 90.0)], 5.0, 2.0, id="clock-back"
        ),
    ],
)
def test_age_is_never_understated(answers, now, age_s):
    fresh = freshness.Freshness()
    for sent_s, received_s, store_s in answers:
        fresh.record_answer(
            sent_s=sent_s, received_s=received_s, store_s=store_s
        )
    assert fresh.age_s(now) == pytest.approx(age_s)


def test_a_catalog_without_teams_knows_no_key():
    catalog = model.Catalog(
        version=1,
        routes=(),
        services={},
        teams={},
        limits=model.CallerLimits(),
    )
    assert catalog.team("any") is None
