"""Demand exchanged between instances, in simulated time."""

import math
import statistics

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from irisshelf.gateway.knowledge import datagrams
from irisshelf.gateway.knowledge import demand_messages
from irisshelf.overload import demand
from irisshelf.testing import demand_network

# Instances, data centres, and requests per second. At these rates, chance alone
# makes a count wrong by less than 5 percent (one standard error), also before a
# step in load.
_FLEETS = [(8, 2, 4000.0), (64, 4, 4000.0), (400, 14, 4000.0)]
_TOLERANCE = 0.15
_USUAL = 0.75
_SURGE = 2.4


def _network(size, data_centres, **options):
    names = demand_network.make_names(size, data_centres)
    return demand_network.Network(names, **options)


def _errors(net):
    """Returns the relative error of each instance's estimate."""
    return [abs(e / net.true_slots - 1) for e in net.estimates()]


def _settled(size, data_centres, per_s, **options):
    net = _network(size, data_centres, **options)
    net.per_s = per_s
    net.run(4.0)
    return net


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4])
@pytest.mark.parametrize(("size", "data_centres", "per_s"), _FLEETS[:2])
def test_the_estimate_is_right_one_second_after_a_step(
    size, data_centres, per_s, phase_s
):
    """Guards against figures that pass each hop a cycle later."""
    net = _settled(size, data_centres, per_s * _USUAL / _SURGE)
    assert max(_errors(net)) < _TOLERANCE
    net.run(phase_s)
    for factor in (1.0, _USUAL / _SURGE):
        net.per_s = per_s * factor
        net.run(1.0)
        assert max(_errors(net)) < _TOLERANCE
        net.run(2.0)


def test_the_estimate_of_400_instances():
    size, data_centres, per_s = _FLEETS[2]
    net = _settled(size, data_centres, per_s * _USUAL / _SURGE)
    assert max(_errors(net)) < _TOLERANCE
    net.per_s = per_s
    net.run(1.0)
    assert max(_errors(net)) < _TOLERANCE
    sent, received = net.sent.copy(), net.received.copy()
    net.run(2.0)
    leaders = {
        net.leaders(f"dc-{number:02}")[0] for number in range(data_centres)
    }
    rates = [
        (net.sent[n] - sent[n] + net.received[n] - received[n]) / 2.0
        for n in net.members
        if n not in leaders
    ]
    # Sent and received, with the headers of IP and UDP.
    assert max(rates) < 1200
    assert not any(one.problems for one in net.instances.values())


@pytest.mark.parametrize(
    ("size", "data_centres", "per_s", "loss", "seeds"),
    [
        (*_FLEETS[0], 0.05, 8),
        (*_FLEETS[0], 0.1, 8),
        (*_FLEETS[1], 0.05, 6),
        (*_FLEETS[1], 0.1, 12),
        (*_FLEETS[2], 0.1, 1),
    ],
)
def test_lost_datagrams_delay_the_estimate_of_few(
    size, data_centres, per_s, loss, seeds
):
    """Guards against sums that are sent once after a step in load.

    An instance that misses a total knows the next one half a second later. If
    a leader misses the sum of a data centre, all instances of its own do so,
    which one seed meets and another does not.
    """
    late = [0, 0, 0]
    for seed in range(seeds):
        net = _settled(
            size, data_centres, per_s * _USUAL / _SURGE, loss=loss, seed=seed
        )
        late[0] += sum(error >= _TOLERANCE for error in _errors(net))
        net.per_s = per_s
        for number in (1, 2):
            net.run(1.0)
            late[number] += sum(error >= _TOLERANCE for error in _errors(net))
    counted = seeds * size
    assert late[0] <= 0.01 * counted
    assert late[1] <= 0.05 * counted
    assert late[2] <= 0.01 * counted


def test_connections_may_be_shared_unevenly():
    """Guards against an estimate from the share of one instance."""
    net = _network(24, 3)
    for number, name in enumerate(net.members):
        net.weights[name] = 0.75**number
    net.per_s = 2000.0
    net.run(4.0)
    assert max(_errors(net)) < _TOLERANCE


def test_services_and_teams_add_up():
    net = _settled(24, 3, 2000.0)
    for one in net.instances.values():
        found = one.monitor.service(demand_network.SERVICE)
        listed = math.fsum(found.by_team.values())
        assert listed == pytest.approx(found.offered_slots, rel=0.01)
        assert len(found.by_team) >= 24
        assert set(found.by_priority) == {1}


def _kill(net, names):
    """Ends instances; callers of these no longer arrive."""
    net.down |= set(names)
    before = sum(net.weights.values())
    for name in names:
        del net.weights[name]
    net.per_s *= sum(net.weights.values()) / before


@pytest.mark.parametrize("share", [0.05, 1 / 3])
def test_the_demand_of_instances_that_end_is_released(share):
    """Guards against the share of dead instances being kept."""
    net = _settled(24, 3, 3000.0)
    leaders = {net.leaders(f"dc-{n:02}")[0] for n in range(3)}
    others = sorted(net.members.keys() - leaders)
    _kill(net, others[: max(1, int(share * 24))])
    net.run(2.0)
    assert max(_errors(net)) < _TOLERANCE


def test_the_leader_of_a_data_centre_ends():
    """Guards against seconds without a total, while it counts as a member."""
    net = _settled(24, 3, 3000.0)
    _kill(net, net.leaders("dc-01")[:1])
    # Its data centre counts again when the next one has taken over.
    wrong_s = 0.0
    for _ in range(80):
        net.run(0.1)
        if statistics.median(_errors(net)) >= _TOLERANCE:
            wrong_s += 0.1
    assert wrong_s <= 1.6
    assert max(_errors(net)) < _TOLERANCE


def test_other_data_centres_find_the_next_leader():
    """Guards against sums sent to ended instances, which are known for 20 s."""
    net = _settled(24, 3, 3000.0)
    ended = set()
    for data_centre in ("dc-00", "dc-01", "dc-02"):
        ended.add(net.leaders(data_centre)[0])
        ended.add(
            next(
                name
                for name, member in net.members.items()
                if member.data_centre == data_centre
            )
        )
    _kill(net, ended)
    net.run(6.0)
    assert max(_errors(net)) < _TOLERANCE


def test_a_leader_that_is_back_leads_again():
    net = _settled(8, 1, 2000.0)
    name = net.leaders("dc-00")[0]
    net.down.add(name)
    net.run(2.0)
    net.down.remove(name)
    net.instances[name].step()
    net.run(3.0)
    assert max(_errors(net)) < _TOLERANCE


def _median_estimates(net, for_s):
    """Returns the median estimate relative to the true load, over time."""
    medians = []
    for _ in range(round(for_s * 10)):
        net.run(0.1)
        medians.append(statistics.median(net.estimates()) / net.true_slots)
    return medians


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_leader_that_takes_over_is_not_counted_besides_the_last_one(seed):
    """Guards against a data centre that counts twice for a second.

    The last leader still runs, and its sum counts until it expires.
    """
    net = _network(24, 3, seed=seed)
    net.per_s = 3000.0
    net.run(6.0)
    name = net.leaders("dc-00")[0]
    net.down.add(name)
    del net.weights[name]
    net.run(12.0)
    net.down.remove(name)
    net.weights[name] = 1.0
    net.instances[name].step()
    assert max(_median_estimates(net, 8.0)) < 1.15


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_leader_that_stops_as_planned_is_not_counted_twice(seed):
    """Guards against a sum that counts besides that of its successor."""
    net = _network(24, 3, seed=seed)
    net.per_s = 3000.0
    net.run(6.0)
    name = net.leaders("dc-00")[0]
    for other, one in net.instances.items():
        if other != name and net.members[other].data_centre == "dc-00":
            one.membership.remove(name)
    net.instances[name].exchange.retire()
    # Until the next query makes it known again, which does not happen to an
    # instance that has announced that it stops.
    medians = _median_estimates(net, 1.4)
    assert min(medians) > 0.85
    assert max(medians) < 1.15


def test_a_data_centre_is_cut_off_with_half_of_the_demand():
    """Each side continues with what it observes, and without the other's."""
    net = _network(24, 3)
    cut = {n for n, m in net.members.items() if m.data_centre == "dc-00"}
    for name in net.weights:
        net.weights[name] = 2.0 if name in cut else 1.0
    net.per_s = 4000.0
    net.run(4.0)
    assert max(_errors(net)) < _TOLERANCE
    net.cut = {"dc-00"}
    net.run(2.0)
    half = net.true_slots / 2
    for name, one in net.instances.items():
        found = one.monitor.service(demand_network.SERVICE).offered_slots
        assert found == pytest.approx(half, rel=_TOLERANCE), name
    net.run(10.0)
    assert all(
        one.monitor.service(demand_network.SERVICE).offered_slots
        == pytest.approx(half, rel=_TOLERANCE)
        for one in net.instances.values()
    )
    net.cut = set()
    # Instances of other data centres query each other within seconds.
    net.run(5.0)
    assert max(_errors(net)) < _TOLERANCE


@pytest.mark.parametrize("leaders_too", [False, True])
def test_instances_of_the_earlier_build(leaders_too):
    """They tell nothing, and what the others know of each other is right."""
    names = demand_network.make_names(24, 3)
    ranked = demand_network.Network(names).leaders("dc-01")
    earlier = ranked[:4] if leaders_too else ranked[4:]
    net = _network(24, 3, earlier=earlier)
    net.per_s = 3000.0
    net.run(12.0)
    known = net.true_slots * (24 - len(earlier)) / 24
    for one in net.instances.values():
        found = one.monitor.service(demand_network.SERVICE).offered_slots
        assert found == pytest.approx(known, rel=_TOLERANCE)


def test_an_instance_alone_knows_its_own_demand():
    net = _settled(1, 1, 1500.0)
    assert max(_errors(net)) < _TOLERANCE
    assert not net.sent


def test_nothing_is_sent_while_there_is_no_demand():
    """Guards against traffic where fleet admission is not in effect."""
    net = _network(8, 2)
    net.run(5.0)
    assert not net.sent
    net.per_s = 500.0
    net.run(3.0)
    net.per_s = 0.0
    net.run(4.0)
    assert net.estimates() == [0.0] * 8
    net.sent.clear()
    net.run(3.0)
    assert not net.sent


def test_demand_that_ends_is_known_to_have_ended():
    """Guards against a last figure that stays until it expires."""
    net = _settled(8, 2, 1500.0)
    net.per_s = 0.0
    net.run(1.2)
    assert max(net.estimates()) == 0.0


_LEADER_OF_TWO = _network(2, 1).leaders("dc-00")[0]
_RATES = demand.GroupRates(
    offered_slots=40.0,
    admitted_slots=30.0,
    rejected_per_s=20.0,
    begun_per_s=60.0,
    in_time_per_s=50.0,
)


def _encode(reported, reserved_bytes=20):
    return demand_messages.encode_services(
        reported, reserved_bytes=reserved_bytes
    )


@pytest.mark.parametrize("factor", [1e-3, 1.0, 777.7, 20_000.0])
def test_demand_survives_a_message(factor):
    rates = demand.GroupRates(
        offered_slots=40.0 * factor,
        admitted_slots=30.0 * factor,
        rejected_per_s=20.0 * factor,
        begun_per_s=0.0,
        in_time_per_s=50.0 * factor,
    )
    teams = {
        (3, demand.team_key("a")): 25.0 * factor,
        (3, demand.team_key("b")): 15.0 * factor,
    }
    sent = {"s": demand.ServiceDemand(by_priority={3: rates}, by_team=teams)}
    encoded, omitted = _encode(sent)
    received = demand_messages.decode_services(encoded)["s"]
    assert not omitted
    assert received.by_team == pytest.approx(teams, rel=0.001)
    for name in demand.GroupRates.__dataclass_fields__:
        found = getattr(received.by_priority[3], name)
        assert found == pytest.approx(getattr(rates, name), rel=0.001)


def test_the_smallest_teams_are_merged():
    """Guards against the demand of unlisted teams being lost."""
    teams = {
        (n % 3, demand.team_key(f"t{n}")): float(n + 1) for n in range(100)
    }
    by_priority = {
        priority: demand.GroupRates(
            offered_slots=sum(v for (p, _), v in teams.items() if p == priority)
        )
        for priority in range(3)
    }
    sent = {"s": demand.ServiceDemand(by_priority=by_priority, by_team=teams)}
    encoded, _ = _encode(sent)
    received = demand_messages.decode_services(encoded)["s"].by_team
    largest = {k: v for k, v in teams.items() if v > 68}
    rest = {k: v for k, v in received.items() if k[1] == demand.OTHER_TEAMS}
    assert {k: received[k] for k in largest} == pytest.approx(largest, rel=1e-3)
    assert len(received) == demand_messages.MAX_TEAMS + len(rest)
    assert sum(received.values()) == pytest.approx(5050.0, rel=0.01)
    # Sums of sums keep the demand of the merged teams apart as well.
    twice = demand.ServiceDemand(
        by_priority={p: rates + rates for p, rates in by_priority.items()},
        by_team={k: 2 * v for k, v in received.items()},
    )
    again, _ = _encode({"s": twice})
    found = demand_messages.decode_services(again)["s"].by_team
    assert found == pytest.approx(twice.by_team, rel=0.01)


@pytest.mark.parametrize("priority", [-5, 0, 9, 255, 10**6])
def test_any_priority_of_a_configuration_is_sent(priority):
    sent = {"s": demand.ServiceDemand(by_priority={priority: _RATES})}
    encoded, _ = _encode(sent)
    received = demand_messages.decode_services(encoded)["s"]
    expected = {min(max(0, priority), 255)}
    assert received.by_priority.keys() == expected
    assert received.offered_slots == pytest.approx(40.0)


def test_many_services_fill_a_datagram_and_no_more():
    sent = {
        f"service-{n:03}": demand.ServiceDemand(
            by_priority={
                p: demand.GroupRates(offered_slots=1.0 + n) for p in range(4)
            },
            by_team={(0, demand.team_key("a")): 1.0 + n},
        )
        for n in range(100)
    }
    encoded, omitted = _encode(sent, reserved_bytes=40)
    assert {*encoded, *omitted} == sent.keys()
    assert encoded and omitted
    # Those with the largest demand are sent.
    assert min(encoded) > max(omitted)
    message = demand_messages.Message(
        stage=demand_messages.Stage.FLEET,
        forwarded=False,
        data_centre="d" * 20,
        sender="i" * 20,
        services=encoded,
    )
    size = len(message.encode())
    assert size <= datagrams.MAX_DATAGRAM_BYTES
    assert size >= 0.8 * datagrams.MAX_DATAGRAM_BYTES


def _valid():
    encoded, _ = _encode(
        {
            "s": demand.ServiceDemand(
                by_priority={1: _RATES},
                by_team={(1, demand.team_key("a")): 40.0},
            )
        }
    )
    return encoded["s"]


_MINUS_ONE = b"\xbc\x00"
_INFINITE = b"\x7c\x00"
_NOT_A_NUMBER = b"\x7e\x00"


@pytest.mark.parametrize(
    "services",
    [
        {"s": b""},
        {"s": _valid()[:-1]},
        {"s": _valid()[:9]},
        {"s": _valid() + b"\x01"},
        {"s": b"\x02" + _valid()[1:]},
        {"s": _valid()[:2] + _MINUS_ONE + _valid()[4:]},
        {"s": _valid()[:2] + _INFINITE + _valid()[4:]},
        {"s": _valid()[:-2] + _NOT_A_NUMBER},
        {"s": _valid()[:-6] + b"\x07" + _valid()[-5:]},
        {"s": _valid(), "t": b""},
        {"s" * 129: _valid()},
        {f"s{n}": b"\x00" for n in range(101)},
        {"s": "text"},
        {"s": None},
        [],
    ],
)
@pytest.mark.parametrize("stage", [0, 1, 2])
def test_a_malformed_message_is_rejected_as_a_whole(services, stage):
    net = _network(2, 1)
    leader = net.leaders("dc-00")[0]
    for name, one in net.instances.items():
        content = [stage, False, "dc-00", leader, services]
        with pytest.raises(ValueError):
            one.exchange.receive(content)
        net.run(1.2)
        assert net.estimates() == [0.0, 0.0], name


@pytest.mark.parametrize(
    "content",
    [
        [],
        [7, False, "dc-00", "router-000", {}],
        [0, 3, "dc-00", "router-000", {}],
        [0, False, None, "router-000", {}],
        [0, False, "dc-00", "n" * 129, {}],
        {"stage": 0},
        b"text",
    ],
)
def test_a_message_of_another_form_is_rejected(content):
    net = _network(2, 1)
    for one in net.instances.values():
        with pytest.raises(ValueError):
            one.exchange.receive(content)


@pytest.mark.parametrize(
    ("sender", "receiver"), [(7, 1), (1, 7), (3, 0), (5, 5)]
)
def test_a_total_counts_only_from_the_leader(sender, receiver):
    """Guards against instances that have just started and know no others."""
    net = _settled(8, 1, 1500.0)
    ranked = net.leaders("dc-00")
    services = {demand_network.SERVICE: _valid()}
    content = [
        demand_messages.Stage.FLEET,
        False,
        "dc-00",
        ranked[sender],
        services,
    ]
    net.instances[ranked[receiver]].exchange.receive(content)
    assert max(_errors(net)) < _TOLERANCE


def test_forged_messages_change_the_estimate_for_two_seconds_only():
    net = _settled(8, 2, 1500.0)
    huge = {"s": b"\x01\x01" + b"\x7b\xff" * 5}
    huge[demand_network.SERVICE] = huge["s"]
    for number in range(600):
        for stage in demand_messages.Stage:
            sender = f"forged-{number}"
            content = [stage, False, f"dc-{number % 9:02}", sender, huge]
            for one in net.instances.values():
                one.exchange.receive(content)
    net.run(0.6)
    assert max(_errors(net)) > 1.0
    net.run(2.2)
    assert max(_errors(net)) < _TOLERANCE


def test_forged_totals_do_not_stop_an_instance_from_sending():
    """Guards against a cycle that each message moves further."""
    net = _settled(8, 1, 1500.0)
    leader, follower, *_ = net.leaders("dc-00")
    content = [demand_messages.Stage.FLEET, False, "dc-00", leader, {}]
    net.sent.clear()
    for _ in range(40):
        net.instances[follower].receive(
            datagrams.encode(datagrams.Kind.DEMAND, content)
        )
        net.run(0.1)
    assert net.sent[follower] > 0
    content[4] = {demand_network.SERVICE: _valid()}
    net.run(2.5)
    assert max(_errors(net)) < _TOLERANCE


@hypothesis.given(
    content=strategies.recursive(
        strategies.one_of(
            strategies.none(),
            strategies.booleans(),
            strategies.integers(),
            strategies.floats(),
            strategies.text(max_size=5),
            strategies.binary(max_size=40),
        ),
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=6),
            strategies.dictionaries(strategies.text(max_size=3), inner),
        ),
    )
)
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_any_content_is_accepted_or_rejected(content):
    _check_any(content)


@hypothesis.given(
    stage=strategies.integers(0, 2),
    services=strategies.dictionaries(
        strategies.just(demand_network.SERVICE), strategies.binary(max_size=60)
    ),
    change=strategies.tuples(
        strategies.integers(0, len(_valid()) - 1), strategies.integers(0, 255)
    ),
)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_services_are_accepted_or_rejected(stage, services, change):
    _check_any([stage, False, "dc-00", _LEADER_OF_TWO, services])
    changed = bytearray(_valid())
    changed[change[0]] = change[1]
    services = {demand_network.SERVICE: bytes(changed)}
    _check_any([stage, False, "dc-00", _LEADER_OF_TWO, services])


def _check_any(content):
    """Receives content; what is known afterwards is finite and not negative."""
    net = _network(2, 1)
    for one in net.instances.values():
        try:
            one.exchange.receive(cbor2.loads(cbor2.dumps(content)))
        except (ValueError, cbor2.CBOREncodeError):
            continue
    net.run(0.7)
    for one in net.instances.values():
        found = one.monitor.service(demand_network.SERVICE)
        for rates in found.by_priority.values():
            assert 0 <= rates.offered_slots < math.inf
        for offered in found.by_team.values():
            assert 0 <= offered < math.inf
