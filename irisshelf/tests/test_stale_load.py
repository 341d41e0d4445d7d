"""Selection by stale load reports, and load limits after a backoff.

Guards against two failures. Many instances, each with a few requests of its
own, see the same report of the least loaded server and all send to it. And a
server that is full rejects all requests for several seconds.
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
    ("unreported", "own", "added"),
    [
        (0.0, (0, 0, 0), (0.0, 0.0, 0.0)),
        # To the cheapest server until its cost reaches that of the next.
        (1.0, (0, 0, 0), (1.0, 0.0, 0.0)),
        (3.0, (0, 0, 0), (2.0, 1.0, 0.0)),
        (6.0, (0, 0, 0), (3.0, 2.0, 1.0)),
        # Weighted by the requests of this instance.
        (3.0, (0, 1, 0), (1.0, 2.0, 0.0)),
    ],
)
def test_unreported_requests_are_spread(unreported, own, added):
    found = stale_load.spread_unreported(
        _costs(1.0, 2.0, 3.0, own=own), unreported
    )
    assert tuple(found.values()) == pytest.approx(added)


def _sends(strategy, *, instances, age_s):
    """Lets instances with the same reports send one request each."""
    got = collections.Counter()
    for number in range(instances):
        chooser = server_choice.Chooser(
            data_centre="a",
            rng=random.Random(number),
            policy=policy.Policy(stale_load=strategy),
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
    """Guards against a herd effect on one server between two reports."""
    got = _sends(stale_load.Strategy.SPREAD, instances=instances, age_s=0.25)
    assert max(got.values()) <= 0.6 * instances
    together = _sends(
        stale_load.Strategy.REPORTED, instances=instances, age_s=0.25
    )
    assert max(together.values()) == instances


def test_a_fresh_report_is_used_as_it_is():
    got = _sends(stale_load.Strategy.SPREAD, instances=20, age_s=0.001)
    assert got["1"] == 20


@pytest.mark.parametrize(
    ("works", "chosen", "full"),
    [
        # The limit after a backoff is the number of slots.
        ((3, 9, 9), "1", False),
        ((4, 9, 9), "2", False),
        ((4, 4, 4), None, True),
    ],
)
def test_after_a_backoff_a_server_gets_no_more_than_its_slots(
    works, chosen, full
):
    chooser = server_choice.Chooser(data_centre="a", rng=random.Random(1))
    backing_off = _SERVERS if chosen is None else _SERVERS[:1]
    for server in backing_off:
        chooser.load_limits.record_backoff(server.server_id, 1.0)
    for server, work in zip(_SERVERS, works, strict=True):
        chooser.stats.record_load_report(server.server_id, work=work, at_s=1.0)
    choice = chooser.choose(
        _SERVERS, prompt.Prompt(), avoid=frozenset(), now=1.0
    )
    assert choice.full is full
    assert chosen in (None, choice.server.server_id)


def test_a_load_limit_rises_until_it_is_lifted():
    loads = load_limits.LoadLimits()
    loads.record_backoff("1", 0.0)
    limits = [loads.limit("1", _SLOTS, now) for now in (0.0, 30.0, 300.0)]
    assert limits == [4.0, 8.0, math.inf]
