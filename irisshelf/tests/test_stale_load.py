"""Choosing by old reports of load, and limits of servers that have rested.

The pattern: many instances, each with its own few requests, see the same report
of the least loaded server; a server turns away for seconds what it cannot hold.
"""

import collections
import math
import random

import pytest

from irisshelf.catalog import directory
from irisshelf.routing.direct import load_limits
from irisshelf.routing.direct import policy
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import stale_load

_SLOTS = 4
_SERVERS = [
    directory.BackendServer(
        server_id=name, service="s", address=name, data_centre="a", slots=_SLOTS
    )
    for name in ("1", "2", "3")
]


def _costs(*costs, own=(0, 0, 0)):
    return [
        stale_load.Cost(
            name=server.server_id, cost=cost, marginal_cost=1.0, sent=count
        )
        for server, cost, count in zip(_SERVERS, costs, own, strict=True)
    ]


@pytest.mark.parametrize(
    ("unseen", "own", "added"),
    [
        (0.0, (0, 0, 0), (0.0, 0.0, 0.0)),
        # The cheapest first, until it costs as much as the next.
        (1.0, (0, 0, 0), (1.0, 0.0, 0.0)),
        (3.0, (0, 0, 0), (2.0, 1.0, 0.0)),
        (6.0, (0, 0, 0), (3.0, 2.0, 1.0)),
        # As this instance did, as far as it did anything.
        (3.0, (0, 1, 0), (1.0, 2.0, 0.0)),
    ],
)
def test_unseen_work_is_spread(unseen, own, added):
    found = stale_load.spread_unreported(_costs(1.0, 2.0, 3.0, own=own), unseen)
    assert tuple(found.values()) == pytest.approx(added)


def _sends(way, *, instances, age_s):
    """Instances that know the same reports send a request each."""
    got = collections.Counter()
    for number in range(instances):
        chooser = server_choice.Chooser(
            data_centre="a",
            rng=random.Random(number),
            policy=policy.Policy(stale_load=way),
        )
        chooser.stats.record_residence_time(0.1)
        for server, work in zip(_SERVERS, (5, 6, 7), strict=True):
            chooser.stats.record_load_report(
                server.server_id, work=work, at_s=1.0
            )
        choice = chooser.choose(
            _SERVERS, prompt.Prompt(), avoid=frozenset(), now=1.0 + age_s
        )
        got[choice.server.server_id] += 1
    return got


@pytest.mark.parametrize("instances", [6, 60, 300])
def test_instances_do_not_all_send_to_the_server_of_the_lowest_report(
    instances,
):
    """Guards against a herd on one server between two reports."""
    got = _sends(stale_load.Strategy.SPREAD, instances=instances, age_s=0.25)
    assert max(got.values()) <= 0.6 * instances
    together = _sends(
        stale_load.Strategy.REPORTED, instances=instances, age_s=0.25
    )
    assert max(together.values()) == instances


def test_a_fresh_report_is_followed():
    got = _sends(stale_load.Strategy.SPREAD, instances=20, age_s=0.001)
    assert got["1"] == 20


@pytest.mark.parametrize(
    ("works", "chosen", "full"),
    [
        # The limit after a rest is what a server works on at a time.
        ((3, 9, 9), "1", False),
        ((4, 9, 9), "2", False),
        ((4, 4, 4), None, True),
    ],
)
def test_a_server_that_has_rested_gets_no_more_than_it_works_on(
    works, chosen, full
):
    chooser = server_choice.Chooser(data_centre="a", rng=random.Random(1))
    resting = _SERVERS if chosen is None else _SERVERS[:1]
    for server in resting:
        chooser.load_limits.record_backoff(server.server_id, 1.0)
    for server, work in zip(_SERVERS, works, strict=True):
        chooser.stats.record_load_report(server.server_id, work=work, at_s=1.0)
    choice = chooser.choose(
        _SERVERS, prompt.Prompt(), avoid=frozenset(), now=1.0
    )
    assert choice.full is full
    assert chosen in (None, choice.server.server_id)


def test_a_limit_rises_until_it_binds_no_more():
    loads = load_limits.LoadLimits()
    loads.record_backoff("1", 0.0)
    limits = [loads.limit("1", _SLOTS, now) for now in (0.0, 30.0, 300.0)]
    assert limits == [4.0, 8.0, math.inf]
