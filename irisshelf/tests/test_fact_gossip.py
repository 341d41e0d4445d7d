"""Facts about servers exchanged between instances, as datagrams on loopback."""

import os
import random

import cbor2
import gevent
import msgspec
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.coordination import membership as membership_module
from irisshelf.gateway.knowledge import datagrams
from irisshelf.gateway.knowledge import fact_gossip
from irisshelf.observe import decision_log

_KEY = directory.short_id("s1")
_PREFIX = bytes([datagrams.Kind.SERVER_FACTS])


class _Instance:
    def __init__(self, name, data_centre):
        self.loads = []
        self.holds = []
        self.colds = []
        self.leaving = []
        self._fd = os.open(os.devnull, os.O_WRONLY)
        self.log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.problems = []
        self.log.warning = lambda name, **fields: self.problems.append(name)
        own = membership_module.Member(
            name=name, address="", data_centre=data_centre
        )
        self.membership = membership_module.Membership(own=own)
        self.datagrams = datagrams.Datagrams(
            address="127.0.0.1:0", log=self.log
        )
        self.gossip = fact_gossip.FactGossip(
            datagrams=self.datagrams,
            membership=self.membership,
            on_fact=self._record,
            rng=random.Random(1),
        )
        self.member = membership_module.Member(
            name=name, address=self.datagrams.address, data_centre=data_centre
        )
        self.greenlets = [
            gevent.spawn(self.gossip.run),
            gevent.spawn(self.datagrams.run),
        ]

    def _record(self, fact):
        if isinstance(fact, facts.ServerLoad):
            self.loads.append(fact)
        elif isinstance(fact, facts.ServerCold):
            self.colds.append(fact)
        elif isinstance(fact, facts.ServerLeaving):
            self.leaving.append(fact.server)
        else:
            self.holds.append((fact.server, fact.part))


@pytest.fixture
def four():
    """Two instances in each of two data centres; each knows all others."""
    made = [
        _Instance(name, data_centre)
        for name, data_centre in (
            ("1", "a"),
            ("2", "a"),
            ("3", "b"),
            ("4", "b"),
        )
    ]
    for one in made:
        for other in made:
            one.membership.record_alive(other.member, boottime.now())
    yield made
    for one in made:
        gevent.killall(one.greenlets)


def _wait(condition):
    deadline_s = boottime.now() + 10
    while not condition() and boottime.now() < deadline_s:
        gevent.sleep(0.01)
    assert condition()


def _load(slowdown=None):
    return facts.ServerLoad(
        server=_KEY, work=7, at_s=boottime.now(), slowdown=slowdown
    )


@pytest.mark.parametrize("slowdown", [None, 0.1, 1.0, 2.5, 100.0])
@pytest.mark.parametrize("sender", range(4))
def test_a_load_reaches_all_instances(four, sender, slowdown):
    four[sender].gossip.publish(_load(slowdown))
    others = [one for one in four if one is not four[sender]]
    _wait(lambda: all(one.loads for one in others))
    assert {
        (load.server, load.work, load.slowdown)
        for one in four
        for load in one.loads
    } == {(_KEY, 7, slowdown)}


class _EarlierMessage(msgspec.Struct, array_like=True):
    """The message of the build before slowdowns were exchanged."""

    data_centre: str
    hop: int
    loads: list[tuple[bytes, int, int]] = []
    cached_parts: dict[bytes, list[bytes]] = {}
    cold_starts: list[tuple[bytes, int]] = []
    pauses: list[tuple[bytes, int]] = []
    leaving: list[bytes] = []
    exited: list[tuple[bytes, bool]] = []


@pytest.mark.parametrize("slowdown", [None, 2.5])
def test_the_earlier_build_reads_messages(four, slowdown):
    """Guards against fleets of two builds that do not exchange loads."""
    sent = []
    four[0].datagrams.send = lambda address, data: sent.append(data)
    four[0].gossip.publish(_load(slowdown))
    four[0].gossip.publish(facts.ServerExited(server=_KEY, returned=True))
    four[0].gossip.flush()
    assert sent
    for data in sent:
        content = cbor2.loads(data[1:])
        read = msgspec.convert(content, _EarlierMessage)
        assert [load[:2] for load in read.loads] == [(_KEY, 7)]
        assert read.exited == [(_KEY, True)]


def test_messages_of_the_earlier_build_are_read(four):
    earlier = _EarlierMessage(
        data_centre="a", hop=2, loads=[(_KEY, 7, 3)], leaving=[_KEY]
    )
    content = msgspec.to_builtins(earlier, builtin_types=(bytes,))
    four[0].gossip.receive(content)
    assert [(load.work, load.slowdown) for load in four[0].loads] == [(7, None)]
    assert four[0].leaving == [_KEY]


def test_each_load_keeps_its_slowdown(four):
    """Guards against slowdowns that are attributed to another server."""
    slowdowns = {
        directory.short_id(f"s{n}"): None if n % 3 else 1 + n / 10
        for n in range(90)
    }
    for key, slowdown in slowdowns.items():
        four[0].gossip.publish(
            facts.ServerLoad(
                server=key, work=1, at_s=boottime.now(), slowdown=slowdown
            )
        )
    _wait(lambda: len({load.server for load in four[3].loads}) == 90)
    assert {load.server: load.slowdown for load in four[3].loads} == slowdowns


@pytest.mark.parametrize(
    "slowdowns", [[250], [250] * 3, [250, -1], [250, 10_001], [250, "100"], 250]
)
def test_messages_with_invalid_slowdowns_are_rejected_as_a_whole(
    four, slowdowns
):
    loads = [[_KEY, 1, 0], [directory.short_id("s2"), 1, 0]]
    with pytest.raises(ValueError, match=r"slowdown|Expected"):
        four[0].gossip.receive(["a", 2, loads, {}, [], [], [], [], slowdowns])
    assert four[0].loads == []


@pytest.mark.parametrize("sender", range(4))
def test_that_a_server_leaves_reaches_all_instances(four, sender):
    four[sender].gossip.publish(facts.ServerLeaving(server=_KEY))
    others = [one for one in four if one is not four[sender]]
    _wait(lambda: all(one.leaving for one in others))
    gevent.sleep(2.0)
    # Sent twice on each of at most three hops, and then no more.
    assert all(set(one.leaving) == {_KEY} for one in others)
    counts = [len(one.leaving) for one in four]
    gevent.sleep(0.6)
    assert [len(one.leaving) for one in four] == counts


@pytest.mark.parametrize("lost", [0, 1])
def test_a_lost_datagram_does_not_hide_that_a_server_leaves(
    four, lost, monkeypatch
):
    """Guards against a fact that no other one follows."""
    sender = four[0]
    send = sender.datagrams.send
    sent = []

    def drop_one(address, data):
        sent.append(address)
        if sent.count(address) - 1 != lost:
            send(address, data)

    monkeypatch.setattr(sender.datagrams, "send", drop_one)
    sender.gossip.publish(facts.ServerLeaving(server=_KEY))
    _wait(lambda: all(one.leaving for one in four[1:]))


def test_many_servers_that_leave_fit_into_datagrams(four):
    keys = [directory.short_id(f"s{n}") for n in range(90)]
    for key in keys:
        four[0].gossip.publish(facts.ServerLeaving(server=key))
        four[0].gossip.publish(
            facts.ServerLoad(server=key, work=7, at_s=boottime.now())
        )
    _wait(lambda: all(set(one.leaving) == set(keys) for one in four[1:]))
    _wait(lambda: all(len(one.loads) >= 90 for one in four[1:]))


def test_facts_do_not_circulate_forever(four):
    four[0].gossip.publish(_load())
    _wait(lambda: all(one.loads for one in four[1:]))
    gevent.sleep(1.0)
    before = [len(one.loads) for one in four]
    gevent.sleep(0.6)
    assert [len(one.loads) for one in four] == before


def test_cached_prompt_parts_reach_all_instances(four):
    pairs = [(_KEY, bytes([n])) for n in range(100)]
    for pair in pairs:
        server, part = pair
        four[0].gossip.publish(facts.PartCached(server=server, part=part))
    _wait(lambda: all(len(set(one.holds)) == 100 for one in four[1:]))
    assert all(sorted(set(one.holds)) == pairs for one in four[1:])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        _PREFIX,
        _PREFIX + b"\xff\xff",
        _PREFIX + cbor2.dumps({"a": 1}),
        _PREFIX + cbor2.dumps(["a", 2, [["x"]], {}]),
        _PREFIX + cbor2.dumps(["a", 2, [[_KEY, 1, "old"]], {}]),
        _PREFIX + cbor2.dumps(["a", 7, [], {}]),
    ],
)
def test_invalid_datagrams_are_logged_once_and_dropped(four, data):
    four[0].datagrams.dispatch(data)
    four[0].datagrams.dispatch(data)
    assert four[0].problems == ["datagram_unreadable"]
    assert four[0].loads == []


@pytest.mark.parametrize("age_ms", [-1, 60_000])
def test_loads_with_an_implausible_age_are_dropped(four, age_ms):
    loads = [[_KEY, 1, age_ms]]
    four[0].gossip.receive(["a", 2, loads, {}])
    assert four[0].loads == []


def test_without_facts_nothing_is_sent(four):
    four[0].gossip.flush()
    gevent.sleep(0.05)
    assert [one.loads for one in four] == [[], [], [], []]


@pytest.mark.parametrize("slowdown", [None, 100.0])
@pytest.mark.parametrize("servers", [1, 40, 300])
def test_a_datagram_carries_as_many_facts_as_fit(four, servers, slowdown):
    """With a fixed limit of parts per datagram, parts arrive seconds late."""
    sent = []
    four[0].datagrams.send = lambda address, data: sent.append(data)
    for number in range(300):
        key = directory.short_id(f"s{number % servers}")
        four[0].gossip.publish(
            facts.ServerLoad(
                server=key,
                work=10**6,
                at_s=boottime.now() - 4.9,
                slowdown=slowdown,
            )
        )
        part = number.to_bytes(4, "big")
        four[0].gossip.publish(facts.PartCached(server=key, part=part))
    four[0].gossip.flush()
    longest = max(map(len, sent))
    assert longest <= datagrams.MAX_DATAGRAM_BYTES
    assert longest >= 0.75 * datagrams.MAX_DATAGRAM_BYTES


def test_a_cold_start_reaches_all_instances_with_its_remaining_time(four):
    until_s = boottime.now() + 3.0
    four[0].gossip.publish(facts.ServerCold(server=_KEY, until_s=until_s))
    _wait(lambda: all(one.colds for one in four[1:]))
    for one in four[1:]:
        # All instances here share a clock; the remaining time is in whole ms.
        assert until_s - 0.01 <= one.colds[0].until_s <= until_s + 1.0
