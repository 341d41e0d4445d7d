"""Returning callers are recognised in other data centres, simulated."""

import collections
import random

import gevent
import pytest

from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.overload import reservations
from irisshelf.testing import return_load
from irisshelf.testing import return_network

_FINGERPRINT = b"f" * 16
_PLACES = datagrams_module.Kind.RETURN_PLACES
_QUESTIONS = datagrams_module.Kind.RETURN_QUESTIONS
_REMOTE = datagrams_module.Kind.REMOTE_RETURN_PLACES
_DUE = reservations.State.DUE
_EARLY = reservations.State.EARLY
_UNKNOWN = reservations.State.UNKNOWN
_USED = reservations.State.USED
_NAMES = tuple(f"{place}-{n}" for place in "abc" for n in range(4))
_RECORD = _FINGERPRINT + (500).to_bytes(4)


def _record(network, name, in_s=1.0, fingerprint=_FINGERPRINT):
    exchange = network.instances[name].exchange
    exchange.record(fingerprint, network.now + in_s)


def _claim(network, name):
    return network.instances[name].exchange.claim(_FINGERPRINT)


def _kinds(network):
    return collections.Counter(data[0] for data in network.sent)


@pytest.mark.parametrize("known", [1, None])
@pytest.mark.parametrize("remote_s", [0.0, 0.03, 0.06])
@pytest.mark.parametrize("returns_at", ["b-0", "b-1", "b-2", "b-3", "c-3"])
def test_a_caller_is_recognised_in_another_data_centre(
    returns_at, remote_s, known
):
    # With one known instance, which may not be a holder, it is passed on.
    network = return_network.Network(_NAMES, known=known)
    network.remote_s = (remote_s, remote_s)
    _record(network, "a-1")
    network.advance(0.25)
    early = _claim(network, returns_at)
    assert early.state is _EARLY
    assert early.wait_s == pytest.approx(0.75, abs=0.05)
    network.advance(0.75)
    assert _claim(network, returns_at).state is _DUE
    same = [name for name in _NAMES if name[0] == returns_at[0]]
    assert {_claim(network, name).state for name in same} == {_USED}


def test_no_other_data_centre_is_asked():
    # Guards against rejections that are delayed by a round trip.
    network = return_network.Network(_NAMES)
    _record(network, "a-1")
    network.sent.clear()
    network.sent_bytes.clear()
    assert _claim(network, "b-2").state is _EARLY
    assert {name[0] for name, _ in network.sent_bytes} == {"b"}
    assert set(_kinds(network)) == {_QUESTIONS}


def test_a_caller_is_known_before_it_may_return():
    network = return_network.Network(_NAMES, known=1)
    network.remote_s = (0.03, 0.03)
    _record(network, "a-1", in_s=0.1)
    network.advance(0.1)
    assert _claim(network, "c-0").state is _DUE


@pytest.mark.parametrize("lost", [0, 1])
def test_an_instance_that_ends_costs_no_reservation_of_another_data_centre(
    lost,
):
    # It stays known in other data centres for 20 s.
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT, "b")
    network.cut = {ranked[lost]}
    _record(network, "a-1", in_s=0.0)
    assert _claim(network, ranked[3]).state is _DUE


def test_a_caller_that_was_told_two_times_by_two_data_centres_has_one():
    # It returned at once, before its reservation was known there.
    network = return_network.Network(_NAMES)
    network.remote_s = (0.02, 0.02)
    _record(network, "a-1", in_s=0.5)
    _record(network, "b-1", in_s=0.8)
    network.advance(0.1)
    for name in _NAMES:
        claim = _claim(network, name)
        assert (claim.state, claim.wait_s) == (
            _EARLY,
            pytest.approx(0.4, abs=0.03),
        )


def test_a_reservation_follows_one_that_was_used_in_another_data_centre():
    # Guards against a second reservation that is not kept where the first one
    # has not been used.
    network = return_network.Network(_NAMES)
    _record(network, "a-1", in_s=0.2)
    network.advance(0.2)
    assert _claim(network, "b-1").state is _DUE
    # It was rejected nevertheless, as its server was full.
    _record(network, "b-1", in_s=1.4)
    network.advance(1.4)
    assert _claim(network, "c-1").state is _DUE


def test_a_partitioned_data_centre_loses_reservations_of_others_only():
    network = return_network.Network(_NAMES)
    network.partitioned = {"c"}
    _record(network, "a-1", in_s=0.0)
    claim = _claim(network, "c-1")
    # The caller is treated as a new one, without waiting.
    assert (claim.state, claim.silent) == (_UNKNOWN, 0)
    assert _claim(network, "b-1").state is _DUE
    _record(network, "c-1", in_s=0.0)
    assert _claim(network, "c-2").state is _DUE
    network.partitioned = set()
    network.now += 5.0
    _record(network, "a-1", in_s=0.0)
    assert _claim(network, "c-1").state is _DUE


@pytest.mark.parametrize(
    ("earlier", "expected"),
    [
        pytest.param((), _DUE, id="none"),
        # What is passed on to the first holder is of a kind that it knows.
        pytest.param((0,), _DUE, id="first-holder"),
        pytest.param((1,), _DUE, id="second-holder"),
        pytest.param((2, 3), _DUE, id="others"),
        pytest.param((0, 1), _UNKNOWN, id="both-holders"),
        pytest.param((0, 1, 2, 3), _UNKNOWN, id="all"),
    ],
)
def test_instances_of_the_earlier_build_ignore_other_data_centres(
    earlier, expected
):
    ranked = return_network.Network(_NAMES).ranked(_FINGERPRINT, "b")
    network = return_network.Network(
        _NAMES, earlier=[ranked[n] for n in earlier]
    )
    _record(network, "a-1", in_s=0.0)
    assert _claim(network, ranked[3]).state is expected


@pytest.mark.parametrize("returns_at", ["a-0", "a-1", "a-2", "a-3"])
@pytest.mark.parametrize("assigned_at", ["a-0", "a-3"])
def test_what_instances_of_the_earlier_build_send_is_understood(
    assigned_at, returns_at
):
    network = return_network.Network(_NAMES, earlier=["a-0", "a-1"])
    _record(network, assigned_at, in_s=0.0)
    assert _claim(network, returns_at).state is _DUE
    # Only those of this build send reservations to other data centres.
    assert (_kinds(network)[_REMOTE] > 0) is (assigned_at == "a-3")


def test_a_passed_on_reservation_is_understood_by_the_earlier_build():
    ranked = return_network.Network(_NAMES).ranked(_FINGERPRINT, "b")
    network = return_network.Network(_NAMES, earlier=ranked[:2])
    network.instances[ranked[3]].receive(
        datagrams_module.encode(_REMOTE, [_FINGERPRINT + bytes(4)])
    )
    assert _claim(network, ranked[2]).state is _DUE


def test_the_messages_of_the_earlier_build_are_unchanged():
    # Reservation, question and answer as instances in service send them.
    network = return_network.Network(("a-0", "a-1"))
    _record(network, "a-0", in_s=0.5)
    assert network.sent == [
        bytes([7, 0x81, 0x54]) + _FINGERPRINT + bytes([0, 0, 1, 244])
    ]
    network.sent.clear()
    # Nothing is asked of an instance that is the first holder itself.
    asking = network.ranked(_FINGERPRINT)[1]
    _claim(network, asking)
    question, answer = network.sent
    assert question[:3] == bytes([8, 0x84, 0x00])
    assert question[3:8][0] == 0x1A
    address = network.instances[asking].member.address
    assert question[8:] == (
        bytes([0x50])
        + _FINGERPRINT
        + bytes([0x60 + len(address)])
        + address.encode()
    )
    assert answer == (
        bytes([8, 0x84, 0x01])
        + question[3:8]
        + bytes([_EARLY, 0x19, 0x01, 0xF4])
    )


def test_nothing_is_sent_to_a_data_centre_that_is_not_known():
    network = return_network.Network(("a-0",))
    _record(network, "a-0")
    assert not network.sent
    assert not network.instances["a-0"].lines


def test_forged_reservations_cause_little_traffic():
    # Guards against an instance that is made to send without limit, and that
    # does not send its own reservations for that reason.
    network = return_network.Network(_NAMES)
    rng = random.Random(1)
    one = network.instances["b-1"]
    for _ in range(20_000):
        record = rng.randbytes(16) + (900).to_bytes(4)
        one.receive(datagrams_module.encode(_REMOTE, [record]))
    # 150 bytes a second at 400 instances, saved up for 2 s, of a fleet of 12.
    limit = 150 * 2 * 400 / len(_NAMES)
    assert sum(network.sent_bytes.values()) <= limit + return_load.PLACE_BYTES
    assert one.exchange.kept_count <= reservations.MAX_RESERVATIONS
    (line,) = one.lines
    assert line[0] == "reservations_not_sent"
    _record(network, "b-1", in_s=0.0)
    assert _claim(network, "c-1").state is _DUE


def test_what_is_not_sent_is_counted_and_logged_once_in_10_s():
    network = return_network.Network(_NAMES)
    one = network.instances["a-1"]
    rng = random.Random(1)
    for _ in range(3):
        for _ in range(10_000):
            _record(network, "a-1", fingerprint=rng.randbytes(16))
        network.now += 10.0
    not_sent = one.metrics.reservations_not_sent._value.get()
    assert [name for name, _ in one.lines] == ["reservations_not_sent"] * 3
    logged = [fields["count"] for _, fields in one.lines]
    assert logged[0] in (1, 2)
    assert not_sent > logged[1] > 1000


# Reservations a second of the whole fleet. An instance knows 24 of the 28 or 29
# instances of each other data centre.
@pytest.mark.parametrize(
    ("per_s", "only", "least_recognised"),
    [
        pytest.param(50, "", 0.95, id="light"),
        pytest.param(250, "", 0.7, id="beyond-the-limit"),
        pytest.param(400, "a", 0.0, id="all-in-one-data-centre"),
    ],
)
def test_the_traffic_of_400_instances_is_bounded(per_s, only, least_recognised):
    # From the begin of an overload, so that what was saved up counts as well.
    load = return_load.Load(
        size=400,
        data_centres=14,
        known=24,
        for_s=10.0,
        per_s=per_s,
        only=only,
    )
    # Sent and received, with the headers of IP and UDP.
    assert max(load.bytes_per_s()) < 1200
    assert load.recognised_share >= least_recognised


@pytest.mark.parametrize(
    ("size", "data_centres", "per_s"), [(8, 2, 312), (64, 4, 417)]
)
def test_smaller_fleets_know_all_reservations(size, data_centres, per_s):
    load = return_load.Load(
        size=size,
        data_centres=data_centres,
        known=None,
        for_s=10.0,
        per_s=per_s,
    )
    assert load.recognised_share == 1.0
    assert not any(one.lines for one in load.network.instances.values())


def test_a_reservation_is_used_at_most_once_in_each_data_centre():
    # What has been used is not sent to other data centres.
    network = return_network.Network(_NAMES)
    _record(network, "a-1", in_s=0.0)
    names = [name for name in _NAMES if name[0] in "ab"]
    claims = [gevent.spawn(_claim, network, name) for name in names]
    gevent.joinall(claims)
    states = [claim.value.state for claim in claims]
    assert (states.count(_DUE), states.count(_USED)) == (2, 6)
