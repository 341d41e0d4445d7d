"""Hard load in the soak: its checks find what is planted."""

from __future__ import annotations

import pytest

from irisshelf.platform.stand_in import world
from soak import checker
from soak import load_checks
from soak import observations
from soak import plan
from soak import teams

_KIND = observations.RequestKind
_TEAMS = list(teams.SHARES)


def _asked(number, *, status=200, took_s=0.1, **changes):
    fields = {
        "request_id": f"r{number}",
        "kind": _KIND.SAFE,
        "key": "k",
        "instance": 0,
        "sent_s": 100.0,
        "deadline_s": 2.0,
        "ended_s": 100.0 + took_s,
        "status": status,
        "whole": True,
        "body": b"answer to r%d" % number if status == 200 else b"",
        "signature": "s",
        "team": _TEAMS[0],
        **changes,
    }
    return observations.Asked(**fields)


def _record(asked, ran=(), **more):
    fields = {
        "withdrawn": {},
        "left": {},
        "disturbed": (),
        "stopped": (),
        "events": 2,
    }
    return observations.Record(
        asked=tuple(asked), ran=tuple(ran), **(fields | more)
    )


def _ran(request_id):
    return observations.Ran(request_id=request_id, server_id="s1", at_s=100.0)


def _group(count, share, *, rejected=503, late=False, **changes):
    """Requests of which a share is served, the others rejected or late."""
    served = round(count * share)
    poor = {"took_s": 1.0} if late else {"status": rejected}
    return [
        _asked(number, **changes, **({} if number < served else poor))
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("urgent", "other", "found"),
    [
        (_group(200, 0.4), _group(200, 0.7, priority=1), True),
        (
            _group(200, 0.4, rejected=429),
            _group(200, 0.7, priority=2),
            True,
        ),
        (_group(200, 0.7), _group(200, 0.4, priority=1), False),
        # Differences by chance.
        (_group(200, 0.50), _group(200, 0.55, priority=1), False),
        # Too few to tell.
        (_group(99, 0.0), _group(200, 1.0, priority=1), False),
        # Retries do not count.
        (_group(200, 0.4, retries=True), _group(200, 0.7, priority=1), False),
    ],
)
def test_a_priority_that_is_admitted_less_than_another_is_found(
    urgent, other, found
):
    """Guards against a check of the order that finds nothing."""
    record = _record([*urgent, *other])
    assert bool(list(load_checks.out_of_order(record))) is found


@pytest.mark.parametrize(
    ("small", "found"),
    [
        (_group(200, 0.05, team=_TEAMS[1]), True),
        (_group(200, 0.05, team=_TEAMS[1], late=True), True),
        (_group(200, 0.3, team=_TEAMS[1]), False),
        (_group(60, 0.0, team=_TEAMS[1]), True),
        # Too few to tell.
        (_group(59, 0.0, team=_TEAMS[1]), False),
    ],
)
def test_a_team_that_is_starved_is_found(small, found):
    """Guards against a check of fair shares that finds nothing."""
    record = _record([*_group(600, 0.9), *small])
    starved = list(load_checks.starved(record))
    assert [text.partition(":")[0] for text in starved] == (
        [f"team {_TEAMS[1]}"] if found else []
    )


@pytest.mark.parametrize("late", [False, True])
def test_a_priority_that_is_starved_is_found(late):
    """Guards against a floor for priorities that is not checked."""
    low = _group(200, 0.05, priority=2, late=late)
    record = _record([*_group(600, 0.9), *low])
    (text,) = load_checks.starved(record)
    assert text.startswith("priority 2:")


@pytest.mark.parametrize("status", sorted(observations.NOT_RUN))
@pytest.mark.parametrize("kind", [_KIND.SAFE, _KIND.UNSAFE])
def test_a_rejected_request_that_ran_is_found(kind, status):
    """Guards against rejections of repeatable requests that are not true."""
    record = _record([_asked(1, kind=kind, status=status)], [_ran("r1")])
    bounds = checker.Bounds(key_s=5.0, left_s=2.5)
    found = {one.promise for one in checker.check(record, bounds)}
    assert found == {checker.Promise.NOT_RUN}


@pytest.mark.parametrize(
    ("missing", "found"),
    [(0, set()), (1, {checker.Promise.WHOLE})],
)
def test_a_padded_stream_that_lacks_bytes_is_found(missing, found):
    """Guards against incomplete streams that look complete."""
    body = b"id: 1\ndata: piece 1...\n\nid: 2\ndata: piece 2...\n\n"
    if missing:
        body = body.replace(b"2...", b"2..")
    asked = _asked(1, kind=_KIND.STREAM, body=body, team="")
    record = _record([asked], [_ran("r1")], padding_bytes=3)
    bounds = checker.Bounds(key_s=5.0, left_s=2.5)
    assert {one.promise for one in checker.check(record, bounds)} == found


def test_each_priority_and_team_has_a_route_and_a_key():
    """Guards against hard load that is rejected as unknown."""
    document = world.config(1)
    teams.add_to(document)
    prefixes = {route["pathPrefix"] for route in document["routes"]}
    targets = {teams.SLOW_TARGET} | {
        teams.target_of(priority, safe=safe)
        for priority in teams.PRIORITIES
        for safe in (False, True)
    }
    assert {target.removesuffix("1") for target in targets} <= prefixes
    keys = {key for one in document["tenants"] for key in one["apiKeys"]}
    assert {teams.key_of(team) for team in teams.SHARES} <= keys


@pytest.mark.parametrize(
    ("seed", "fields"),
    [
        (plan.HARD_FROM, set()),
        (plan.HARD_FROM + 1, {"fleet_admission", "response_buffer_mb"}),
        (plan.HARD_FROM - 1, set()),
    ],
)
def test_a_part_of_the_seeds_has_settings_for_overload(seed, fields):
    """Guards against known seeds that play with other settings."""
    assert set(plan.overload(seed)) == fields
