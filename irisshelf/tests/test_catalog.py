"""Tests of route lookup, the server directory and the freshness bound."""

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
def test_longest_matching_prefix_is_selected(path, expected):
    route = _catalog("/a/", "/a/b/").route(world.HOST, path)
    assert (route.path_prefix if route else None) == expected


@pytest.mark.parametrize(
    ("host", "matches"),
    [
        (world.HOST, True),
        (world.HOST.upper(), True),
        (f"{world.HOST}:8080", True),
        ("other", False),
    ],
)
def test_hosts_match_without_case_and_port(host, matches):
    assert bool(_catalog("/a/").route(host, "/a/x")) is matches


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("safe", False, True),
        ("unsafe", False, False),
        ("streaming", True, True),
        ("streaming", False, False),
    ],
)
def test_repeatable_route_kinds(kind, resumable, repeatable):
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
def test_configuration_errors_name_the_field(change, field):
    data = json.dumps(world.config(1) | change).encode()
    with pytest.raises(ValueError) as caught:
        documents.catalog(data)
    assert field in str(caught.value)


def test_durations_are_converted_to_seconds():
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


def _directory_of(names):
    listed = directory.Directory()
    servers = [_server(name) for name in names]
    listed.replace(servers, recovered_s=0.0, after_outage=False)
    return listed


def _names(listed):
    return [server.server_id for server in listed.servers_of("s")]


def _removal(name):
    return directory.Change(entry_id=name, server=None)


def test_removed_entry_is_dropped_at_once():
    listed = _directory_of(["a", "b"])
    listed.apply([_removal("a")])
    assert _names(listed) == ["b"]


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (1.0, ["a", "b"]),
        (2.9, ["a", "b"]),
        (3.3, ["b"]),
    ],
)
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_entries_missing_after_an_outage_are_kept_for_a_grace_period(
    is_snapshot, now, expected
):
    listed = _directory_of(["a", "b"])
    if is_snapshot:
        listed.replace([_server("b")], recovered_s=1.0, after_outage=True)
    else:
        listed.apply_after_outage([_removal("a")], recovered_s=1.0)
    listed.expire(now)
    assert _names(listed) == expected


def test_entry_written_again_is_kept():
    listed = _directory_of(["a", "b"])
    listed.apply_after_outage([_removal("a")], recovered_s=1.0)
    listed.apply([directory.Change(entry_id="a", server=_server("a"))])
    assert listed.expire(9.0) == ()
    assert _names(listed) == ["a", "b"]


def test_second_outage_does_not_extend_the_grace_period():
    listed = _directory_of(["a", "b"])
    listed.replace([_server("b")], recovered_s=1.0, after_outage=True)
    listed.replace([_server("b")], recovered_s=3.0, after_outage=True)
    assert listed.expire(3.3) == ("a",)


@pytest.mark.parametrize(
    ("answers", "now", "age_s"),
    [
        pytest.param([], 5.0, float("inf"), id="no-answer"),
        pytest.param([(1.0, 1.2, 100.0)], 5.0, 4.0, id="age-of-the-call"),
        pytest.param(
            [(1.0, 1.0, 100.0), (2.0, 4.0, 103.0)],
            5.0,
            1.0,
            id="age-by-store-clock",
        ),
        pytest.param(
            [(1.0, 1.0, 100.0), (2.0, 4.0, 150.0)],
            5.0,
            1.0,
            id="store-clock-jumps-ahead",
        ),
        pytest.param(
            [(1.0, 1.0, 100.0), (3.0, 3.0, 90.0)],
            5.0,
            2.0,
            id="store-clock-goes-back",
        ),
    ],
)
def test_age_is_an_upper_bound(answers, now, age_s):
    bound = freshness.Freshness()
    for sent_s, received_s, store_s in answers:
        bound.record_answer(
            sent_s=sent_s, received_s=received_s, store_s=store_s
        )
    assert bound.age_s(now) == pytest.approx(age_s)


def test_catalog_without_teams_accepts_no_key():
    catalog = model.Catalog(
        version=1,
        routes=(),
        services={},
        teams=(),
        keys={},
        limits=model.CallerLimits(),
    )
    assert catalog.team("any") is None


def test_routes_that_stay_are_not_decoded_again():
    """Guards against configurations of 1,200 routes that block an instance."""
    before = _read_routes(["/a/", "/b/"])
    after = _read_routes(["/a/", "/c/", "/b/"])
    assert after[0] is before[0]
    assert after[2] is before[1]
    assert [route.path_prefix for route in after] == ["/a/", "/c/", "/b/"]


def test_an_unreadable_route_is_named():
    routes = [_route_document("/a/"), _route_document("/b/") | {"kind": "odd"}]
    with pytest.raises(ValueError, match=r"routes\[1\]\.kind"):
        _catalog_of(routes)


def _route_document(prefix):
    return {
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 800,
        "service": "crew",
    }


def _catalog_of(routes):
    return documents.catalog(
        json.dumps({"version": 1, "routes": routes}).encode()
    )


def _read_routes(prefixes):
    return _catalog_of([_route_document(one) for one in prefixes]).routes
