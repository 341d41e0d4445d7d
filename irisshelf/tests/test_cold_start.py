"""Cold servers get no more than their limit from all instances together.

Guards against cold servers that fail under load when the servers of a data
centre return at once, or when one joins that is the home of a hot prompt.
Instances that exchange only datagrams send to it at the same moment, some of
them cut off, started a moment ago, or with another list of members.
"""

import math
import random

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.coordination import local_membership
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import cold_start
from irisshelf.testing import cold_fleet

Fault = server.Fault
# The rate that servers can handle, and the limit for any second.
_FAST = cold_start.Bounds(requests_per_s=8.9, max_in_any_second=18.35)
_SLOW = cold_start.Bounds(requests_per_s=2.0, max_in_any_second=8.0)
_BOUNDS = [pytest.param(_FAST, id="8.9"), pytest.param(_SLOW, id="2")]
_HOT = cold_fleet.Load(per_s=60.0, cold_s=8.0)


def _same_view(fleet):
    del fleet


def _half_split(fleet):
    half = len(fleet.names) // 2
    fleet.split(fleet.names[:half], fleet.names[half:])
    fleet.exchange_membership(-30.0, 0.0)


def _many_isolated_singly(fleet):
    """Isolates each of a third of the instances by itself."""
    third = len(fleet.names) // 3
    alone = [[name] for name in fleet.names[:third]]
    fleet.split(*alone, fleet.names[third:])
    fleet.exchange_membership(-30.0, 0.0)


def _all_started_a_moment_ago(fleet):
    fleet.start_anew(fleet.names, -0.5)
    fleet.exchange_membership(-0.4, 0.0)


def _most_started_a_moment_ago(fleet):
    most = fleet.names[: 2 * len(fleet.names) // 3]
    fleet.start_anew(most, -1.0)
    fleet.exchange_membership(-0.9, 0.0)


def _some_do_not_know_the_newest(fleet):
    """Half of the instances lack the others, which know all, in their lists."""
    half = fleet.names[: len(fleet.names) // 2]
    fleet.start_anew(half, -20.0)
    fleet.exchange_membership(-20.0, 0.0)
    rest = fleet.names[len(fleet.names) // 2 :]
    fleet.split(fleet.names, rest)


_VIEWS = [
    _same_view,
    _half_split,
    _many_isolated_singly,
    _all_started_a_moment_ago,
    _most_started_a_moment_ago,
    _some_do_not_know_the_newest,
]


@pytest.mark.parametrize("bounds", _BOUNDS)
@pytest.mark.parametrize("view", _VIEWS)
@pytest.mark.parametrize("count", [1, 2, 3, 8, 24, 73, 300])
def test_no_second_exceeds_the_limit(count, view, bounds):
    rng = random.Random(count)
    fleet = cold_fleet.Fleet(count=count, rng=rng, alone=count == 1)
    view(fleet)
    senders = {
        name: cold_fleet.Senders(own=name, bounds=bounds)
        for name in fleet.names
    }
    outcome = fleet.play(senders, _HOT)
    assert outcome.worst_second <= bounds.max_in_any_second


@pytest.mark.parametrize("bounds", _BOUNDS)
@pytest.mark.parametrize("count", [2, 8, 24, 73, 300])
def test_the_capacity_is_used(count, bounds):
    """At least half of it is used if all instances know each other."""
    fleet = cold_fleet.Fleet(count=count, rng=random.Random(count))
    senders = {
        name: cold_fleet.Senders(own=name, bounds=bounds)
        for name in fleet.names
    }
    # A load at which every sender has a request at each of its intervals.
    load = cold_fleet.Load(per_s=20.0 * count, cold_s=8.0)
    outcome = fleet.play(senders, load)
    assert outcome.served * load.per_s >= 0.5 * bounds.requests_per_s


@pytest.mark.parametrize(
    ("make", "view"),
    [
        (cold_fleet.Shares, _same_view),
        (
            lambda own, bounds: cold_fleet.SlowStart(
                own=own, bounds=bounds, cold_s=_HOT.cold_s
            ),
            _same_view,
        ),
    ],
    ids=["shares", "slow-start"],
)
@pytest.mark.parametrize("bounds", _BOUNDS)
def test_alternatives_exceed_the_limit(make, view, bounds):
    """Shows why senders are ranked and keep intervals."""
    fleet = cold_fleet.Fleet(count=73, rng=random.Random(1))
    view(fleet)
    senders = {name: make(own=name, bounds=bounds) for name in fleet.names}
    outcome = fleet.play(senders, _HOT)
    assert outcome.worst_second > bounds.max_in_any_second


@pytest.mark.parametrize("bounds", _BOUNDS)
@pytest.mark.parametrize("members", range(40))
def test_shares_use_at_most_half_of_the_limit_in_any_second(members, bounds):
    share = cold_start.share(bounds, members)
    assert share.senders <= members
    if share.senders:
        in_a_second = math.ceil(1.0 / share.interval_s)
        assert 2 * share.senders * in_a_second <= bounds.max_in_any_second
        rate = share.senders / share.interval_s
        assert rate <= bounds.requests_per_s + 1e-9


@pytest.mark.parametrize(
    "bounds",
    [
        cold_start.Bounds(requests_per_s=0.0, max_in_any_second=0.0),
        cold_start.Bounds(requests_per_s=1.0, max_in_any_second=1.0),
    ],
)
def test_a_limit_too_low_to_share_allows_no_requests(bounds):
    assert cold_start.share(bounds, 9).senders == 0
    starts = cold_start.ColdStarts(own="n1")
    assert starts.next_send_in_s("s", bounds, ("n1",), 0.0) == math.inf


def test_the_first_request_waits_for_those_sent_while_the_server_was_warm():
    starts = cold_start.ColdStarts(own="n1")
    starts.record_cold_time("s", 3.0, 10.0)
    assert starts.next_send_in_s("s", _FAST, ("n1",), 10.0) > 1.0
    starts.record_cold_time("s", 1.9, 11.1)
    assert starts.next_send_in_s("s", _FAST, ("n1",), 11.2) == 0.0


@pytest.mark.parametrize(
    ("reports", "remaining_s"),
    [
        ([("record_cold_time", 3.0, 0.0)], 2.0),
        ([("record_cold_time", 0.0, 0.0)], 0.0),
        ([("record_cold_time", 3.0, 0.0), ("record_cold_time", 0.0, 0.5)], 0.0),
        ([("assume_cold", 3.0, 0.0)], 2.0),
        ([("record_cold_time", 4.0, 0.0), ("assume_cold", 1.0, 0.0)], 3.0),
        ([("assume_cold", 9.0, 0.0), ("record_cold_time", 2.0, 0.5)], 1.5),
        ([("record_cold_time", 1.0, 0.0)], 0.0),
    ],
)
def test_remaining_cold_time(reports, remaining_s):
    starts = cold_start.ColdStarts(own="n1")
    for method, given_s, now in reports:
        getattr(starts, method)("s", given_s, now)
    assert starts.remaining_s("s", 1.0) == remaining_s


# Whether an instance counts itself among the members of its data centre.


def _members(*, alone=False, began_s=-100.0, has_remote=True):
    own = membership_module.Member(name="n0", address="", data_centre="a")
    membership = membership_module.Membership(own=own)
    if has_remote:
        far = membership_module.Member(name="far", address="", data_centre="b")
        membership.record_alive(far, 10.0)
    found = local_membership.LocalMembership(
        membership=membership, alone=alone, began_s=began_s
    )
    return membership, found


def _near(name):
    return membership_module.Member(name=name, address="", data_centre="a")


@pytest.mark.parametrize(
    ("options", "others", "now", "known"),
    [
        ({"alone": True, "began_s": 9.9, "has_remote": False}, 0, 10.0, 1),
        ({"has_remote": False}, 0, 10.0, 0),
        ({}, 0, 10.0, 1),
        ({}, 5, 10.0, 6),
        ({"began_s": 8.0}, 5, 10.0, 0),
    ],
)
def test_members_known_reliably(options, others, now, known):
    membership, members = _members(**options)
    for number in range(others):
        membership.record_alive(_near(f"n{number + 1}"), now)
    assert len(members.names(now)) == known


def test_an_instance_that_has_lost_most_others_does_not_count_itself():
    """It was suspended or is cut off, and would take over all shares."""
    membership, members = _members()
    for number in range(9):
        membership.record_alive(_near(f"n{number + 1}"), 10.0)
    assert len(members.names(10.0)) == 10
    # Only three members were heard of in the last seven seconds.
    for number in range(3):
        membership.record_alive(_near(f"n{number + 1}"), 17.0)
    assert members.names(17.0) == ()
    membership.record_alive(_near("n4"), 17.1)
    assert len(members.names(17.1)) == 5


# The complete request path.

_COLD = settings.Bounds(cold_overage=1.5, cold_slack=5.0)


@pytest.fixture
def cold_world(make_world):
    world = make_world(bounds=_COLD, servers=3)
    document = world_module.config(2)
    for one in document["services"]:
        one |= {"coldStartS": 3.0, "coldPerS": 2.0}
    world.store.put("op", "config", document)
    world.wait(lambda: world.inst.catalog.version == 2)
    return world


def _make_cold(world, *servers, ms=60_000):
    for one in servers:
        one.cold_ms = ms
        world.store.put("servers", one.server_id, one.entry())
    cold = world.inst.eligible.cold
    world.wait(
        lambda: all(
            bool(cold.remaining_s(one.server_id, world.inst.now())) is bool(ms)
            for one in servers
        )
    )


@pytest.mark.parametrize("target", ["/digest/1", "/alarm/1", "/valve/1"])
def test_requests_go_to_warm_servers(cold_world, target):
    cold = [cold_world.plain[0], cold_world.engines[0]]
    _make_cold(cold_world, *cold)
    for number in range(12):
        answer = cold_world.ask(target, Prefix_Hash=f"s{number}:900,own:9")
        assert answer.status == 200
    assert not any(one.runs for one in cold)


def test_a_retry_does_not_go_to_a_cold_server(cold_world):
    one, *others = cold_world.plain
    _make_cold(cold_world, one)
    for other in others:
        other.always = Fault.FAIL
    assert cold_world.ask("/valve/1").status == 500
    assert not one.runs


def test_a_service_of_cold_servers_serves_up_to_the_limit_and_rejects_the_rest(
    cold_world,
):
    _make_cold(cold_world, *cold_world.plain)
    # Requests sent while the servers were warm have to arrive first.
    gevent.sleep(1.2)
    answers = [cold_world.ask("/alarm/1") for _ in range(40)]
    served = [a for a in answers if a.status == 200]
    refused = [a for a in answers if a.status == 503]
    assert len(served) + len(refused) == 40
    # For one instance, four a second to each of three servers; two on average.
    assert 3 <= len(served) <= 3 * 8
    for answer in refused:
        assert 0 < float(answer.headers["retry-after"]) <= 60 * 1.3
    for one in cold_world.plain:
        assert len(one.runs) <= 8


def test_a_server_that_has_warmed_up_gets_requests_again(cold_world):
    _make_cold(cold_world, *cold_world.plain)
    assert cold_world.ask("/alarm/1").status == 503
    _make_cold(cold_world, *cold_world.plain, ms=0)
    assert cold_world.ask("/alarm/1").status == 200


def test_after_an_evacuation_servers_are_assumed_cold(make_world):
    world = make_world(bounds=_COLD, places=("a", "b"))
    document = world_module.config(2)
    for one in document["services"]:
        one |= {"coldStartS": 3.0, "coldPerS": 2.0}
    world.store.put("op", "config", document)
    world.wait(lambda: world.inst.catalog.version == 2)
    world.store.put("op", "evacuate/a", {})
    world.wait(lambda: world.inst.evacuations.active() == {"a"})
    world.store.drop("op", "evacuate/a")
    world.wait(lambda: not world.inst.evacuations.active())
    cold = world.inst.eligible.cold
    for one in world.inst.directory.servers():
        remaining_s = cold.remaining_s(one.server_id, world.inst.now())
        assert (remaining_s > 2.0) is (one.data_centre == "a")


def test_a_server_whose_process_had_exited_is_assumed_cold(cold_world):
    """It may return under its id before its entry says that it is cold."""
    one = cold_world.plain[0]
    listed = cold_world.inst.directory.get(one.server_id)
    one.away_s = 0.5
    one.on_return = lambda: None
    one.crash()
    while not cold_world.inst.servers.reach.is_unreachable(listed):
        cold_world.ask("/alarm/1")
    cold_world.wait(
        lambda: not cold_world.inst.servers.reach.is_unreachable(listed)
    )
    cold = cold_world.inst.eligible.cold
    assert cold.remaining_s(one.server_id, cold_world.inst.now()) > 2.0


@pytest.mark.parametrize("cold_ms", [-1, "soon", 10**9])
def test_an_entry_with_an_invalid_cold_time_is_ignored(cold_world, cold_ms):
    one = cold_world.plain[0]
    entry = one.entry() | {"coldRemainingMs": cold_ms}
    cold_world.store.put("servers", one.server_id, entry)
    cold_world.wait(
        lambda: cold_world.inst.directory.get(one.server_id) is None
    )


def test_without_a_limit_a_cold_server_gets_requests_as_others_do(make_world):
    world = make_world(bounds=_COLD)
    for one in world.plain:
        one.cold_ms = 60_000
        world.store.put("servers", one.server_id, one.entry())
    world.wait(
        lambda: all(
            s.cold_s
            for s in world.inst.directory.servers_of("crew")
            if s.state is directory.ServerState.READY
        )
    )
    assert world.ask("/alarm/1").status == 200


@pytest.mark.parametrize("known", ["same-incarnation", "previous-incarnation"])
def test_a_cold_time_from_a_peer_is_used_if_the_store_has_none(
    cold_world, known
):
    """The server has restarted under its id; the old incarnation is listed."""
    one = cold_world.plain[0]
    if known == "previous-incarnation":
        one.born_ms = 1_700_000_000_000
        cold_world.store.put("servers", one.server_id, one.entry())
        cold_world.wait(
            lambda: cold_world.inst.directory.get(one.server_id).born_ms
        )
    listed = cold_world.inst.directory.get(one.server_id)
    fact = facts.ServerCold(
        server=directory.short_id(one.server_id),
        until_s=cold_world.inst.now() + 2.0,
    )
    cold_world.inst.servers.apply_fact(fact)
    cold = cold_world.inst.eligible.cold
    remaining_s = cold.remaining_s(listed.server_id, cold_world.inst.now())
    assert 1.9 < remaining_s <= 2.0


def test_cold_times_from_the_store_are_published(cold_world):
    published = []
    cold_world.inst.servers.publish = published.append
    _make_cold(cold_world, cold_world.plain[0])
    cold_facts = [
        fact for fact in published if isinstance(fact, facts.ServerCold)
    ]
    key = directory.short_id(cold_world.plain[0].server_id)
    assert {fact.server for fact in cold_facts} == {key}
