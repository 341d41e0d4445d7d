"""Returning callers are recognised at other instances."""

import os
import random

import gevent
import pytest

from irisshelf import boottime
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import return_exchange
from irisshelf.observe import decision_log
from irisshelf.overload import reservations
from irisshelf.testing import return_network

_FINGERPRINT = b"f" * 16
_PLACES = datagrams_module.Kind.RETURN_PLACES
_QUESTIONS = datagrams_module.Kind.RETURN_QUESTIONS
_REMOTE = datagrams_module.Kind.REMOTE_RETURN_PLACES
_DUE = reservations.State.DUE
_EARLY = reservations.State.EARLY
_UNKNOWN = reservations.State.UNKNOWN
_USED = reservations.State.USED
_NAMES = ("a-1", "a-2", "a-3", "a-4", "a-5")
# What a datagram takes in addition to its records: kind, array, length.
_ENVELOPE_BYTES = 3
_UDP_HEADER_BYTES = 28


def _record(network, name, in_s=1.0):
    network.instances[name].exchange.record(_FINGERPRINT, network.now + in_s)


def _claim(network, name):
    return network.instances[name].exchange.claim(_FINGERPRINT)


@pytest.mark.parametrize("returns_at", range(5))
@pytest.mark.parametrize("assigned_at", range(5))
def test_a_caller_is_recognised_at_any_instance(assigned_at, returns_at):
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    _record(network, ranked[assigned_at])
    network.now += 0.25
    early = _claim(network, ranked[returns_at])
    assert (early.state, early.wait_s) == (_EARLY, pytest.approx(0.75))
    network.now += 0.75
    assert _claim(network, ranked[returns_at]).state is _DUE
    # Used, wherever the caller comes with it again.
    assert {_claim(network, name).state for name in ranked[:2]} == {_USED}
    assert _claim(network, ranked[4]).state is _USED


@pytest.mark.parametrize("count", [1, 2, 3])
def test_few_instances_recognise_callers(count):
    network = return_network.Network(_NAMES[:count])
    _record(network, "a-1", in_s=0.0)
    assert _claim(network, _NAMES[count - 1]).state is _DUE


@pytest.mark.parametrize(
    ("lost", "expected", "silent"),
    [
        pytest.param((), _DUE, 0, id="none"),
        pytest.param((0,), _DUE, 1, id="first-holder"),
        pytest.param((1,), _DUE, 0, id="second-holder"),
        pytest.param((0, 1), _UNKNOWN, 2, id="both-holders"),
        # The instance that has assigned it ends.
        pytest.param((2,), _DUE, 0, id="assigned-it"),
    ],
)
def test_instances_that_end_cost_a_reservation_only_if_they_are_its_holders(
    lost, expected, silent
):
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    _record(network, ranked[2], in_s=0.0)
    network.cut = {ranked[n] for n in lost}
    claim = _claim(network, ranked[3])
    assert (claim.state, claim.silent) == (expected, silent)


def test_the_instance_that_assigned_a_reservation_knows_it_without_holders():
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    network.cut = set(ranked[:2])
    _record(network, ranked[2], in_s=0.0)
    claim = _claim(network, ranked[2])
    assert (claim.state, claim.silent) == (_DUE, 2)
    assert _claim(network, ranked[2]).state is _USED


def test_a_holder_that_has_just_started_does_not_hide_a_reservation():
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    network.cut = {ranked[0]}
    _record(network, ranked[2], in_s=0.0)
    network.cut = set()
    assert _claim(network, ranked[3]).state is _DUE


@pytest.mark.parametrize("late", [0, 1])
def test_of_two_instances_that_ask_at_once_one_is_told_that_it_is_used(late):
    # The holders are asked in different orders: each grants to another one.
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    _record(network, ranked[2], in_s=0.0)
    asking = ranked[3:5]
    network.hold = {
        (asking[0], ranked[late]),
        (asking[1], ranked[1 - late]),
    }
    claims = [gevent.spawn(_claim, network, name) for name in asking]
    gevent.sleep(0)
    network.release(asking[0], ranked[late])
    network.release(asking[1], ranked[1 - late])
    gevent.joinall(claims)
    states = sorted(claim.value.state for claim in claims)
    assert states == [_DUE, _USED]


def test_an_answer_that_comes_too_late_is_ignored():
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    _record(network, ranked[2], in_s=0.0)
    network.hold = {(name, ranked[3]) for name in ranked[:2]}
    claim = _claim(network, ranked[3])
    assert (claim.state, claim.silent) == (_UNKNOWN, 2)
    for name in ranked[:2]:
        network.release(name, ranked[3])
    assert _claim(network, ranked[3]).state is _USED


@pytest.mark.parametrize("old", [(), (0,), (1,), (0, 1)])
def test_instances_of_the_earlier_build_are_silent(old):
    ranked = return_network.Network(_NAMES).ranked(_FINGERPRINT)
    network = return_network.Network(_NAMES, old=[ranked[n] for n in old])
    _record(network, ranked[2], in_s=0.0)
    claim = _claim(network, ranked[3])
    expected = _UNKNOWN if len(old) == 2 else _DUE
    assert claim.state is expected
    # The first one's answer counts, so that the second one's is not needed.
    assert claim.silent == {(): 0, (0,): 1, (1,): 0, (0, 1): 2}[old]


def test_a_question_whose_caller_leaves_is_forgotten():
    # Guards against a table that grows with each killed greenlet.
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    network.cut = set(ranked[:2])
    exchange = network.instances[ranked[3]].exchange
    asking = gevent.spawn(exchange.claim, _FINGERPRINT)
    gevent.sleep(0)
    asking.kill()
    assert not exchange._open


def test_a_reservation_takes_twenty_bytes():
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    _record(network, ranked[2])
    sizes = [len(data) - _ENVELOPE_BYTES for data in network.sent]
    assert sizes == [20, 20]
    counts = network.instances[ranked[2]].metrics
    sent = 2 * (20 + _ENVELOPE_BYTES + _UDP_HEADER_BYTES)
    assert counts.return_bytes._value.get() == sent


_RECORD = _FINGERPRINT + (500).to_bytes(4)
_ADDRESS = "10.0.0.2:80"


@pytest.mark.parametrize(
    ("kind", "content"),
    [
        pytest.param(_PLACES, [], id="empty"),
        pytest.param(_PLACES, [b""], id="no-record"),
        pytest.param(_PLACES, [_RECORD[:-1]], id="truncated"),
        pytest.param(_PLACES, [_RECORD + _RECORD[:7]], id="second-truncated"),
        pytest.param(
            _PLACES, [_RECORD + b"g" * 16 + b"\xff" * 4], id="far-ahead"
        ),
        pytest.param(_PLACES, ["x" * 20], id="text"),
        pytest.param(_PLACES, 7, id="number"),
        pytest.param(_REMOTE, [], id="remote-empty"),
        pytest.param(_REMOTE, [b""], id="remote-no-record"),
        pytest.param(_REMOTE, [_RECORD[:-1]], id="remote-truncated"),
        pytest.param(_REMOTE, [_RECORD + _RECORD[:7]], id="remote-longer"),
        # Each of them might be passed on.
        pytest.param(_REMOTE, [_RECORD + b"g" * 20], id="remote-two"),
        pytest.param(_REMOTE, [b"f" * 16 + b"\xff" * 4], id="remote-far-ahead"),
        pytest.param(_REMOTE, ["x" * 20], id="remote-text"),
        pytest.param(_REMOTE, 7, id="remote-number"),
        pytest.param(_QUESTIONS, [], id="no-tag"),
        pytest.param(_QUESTIONS, [2, 1, 1, 1], id="unknown-tag"),
        pytest.param(_QUESTIONS, [0, 1, b"f" * 15, _ADDRESS], id="short-key"),
        pytest.param(_QUESTIONS, [0, 1, b"f" * 16], id="no-address"),
        pytest.param(
            _QUESTIONS, [0, 1, b"f" * 16, "example.org:80"], id="a-name"
        ),
        pytest.param(_QUESTIONS, [0, 1, b"f" * 16, "10.0.0.2:0"], id="port"),
        pytest.param(_QUESTIONS, [0, -1, b"f" * 16, _ADDRESS], id="negative"),
        pytest.param(_QUESTIONS, [1, 1, 9, 0], id="unknown-state"),
        pytest.param(_QUESTIONS, [1, 1, 1, 10**9], id="far-answer"),
        pytest.param(_QUESTIONS, [1, 1, 1, -5], id="negative-answer"),
        pytest.param(_QUESTIONS, [1, 2**40, 1, 0], id="large-number"),
    ],
)
def test_an_invalid_message_is_rejected_as_a_whole(kind, content):
    network = return_network.Network(_NAMES)
    one = network.instances["a-1"]
    data = datagrams_module.encode(kind, content)
    with pytest.raises((ValueError, TypeError)):
        one.receive(data)
    assert not one.exchange.kept_count
    assert not network.sent


@pytest.mark.parametrize("state", list(reservations.State))
def test_a_forged_answer_decides_nothing(state):
    # The number of the question is not known to who forges an answer.
    network = return_network.Network(_NAMES)
    ranked = network.ranked(_FINGERPRINT)
    network.hold = {(ranked[3], name) for name in ranked[:2]}
    _record(network, ranked[2], in_s=0.0)
    asking = gevent.spawn(_claim, network, ranked[3])
    gevent.sleep(0)
    for number in range(100):
        network.instances[ranked[3]].receive(
            datagrams_module.encode(_QUESTIONS, [1, number, state, 0])
        )
    for name in ranked[:2]:
        network.release(ranked[3], name)
    asking.join()
    assert asking.value.state is _DUE


class _Real:
    """An instance that exchanges datagrams on loopback."""

    def __init__(
        self, name, *, is_old=False, answer_timeout_s=5.0, data_centre="a"
    ):
        self._fd = os.open(os.devnull, os.O_WRONLY)
        self.log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.problems = []
        self.log.warning = lambda line, **fields: self.problems.append(line)
        self.datagrams = datagrams_module.Datagrams(
            address="127.0.0.1:0", log=self.log
        )
        self.member = membership_module.Member(
            name=name,
            address=self.datagrams.address,
            data_centre=data_centre,
        )
        self.membership = membership_module.Membership(own=self.member)
        self.exchange = None
        if not is_old:
            self.exchange = return_exchange.ReturnExchange(
                datagrams=self.datagrams,
                membership=self.membership,
                counts=metrics.Metrics(),
                log=self.log,
                rng=random.Random(name),
                now=boottime.now,
                answer_timeout_s=answer_timeout_s,
            )
        self.greenlet = gevent.spawn(self.datagrams.run)

    def close(self):
        self.greenlet.kill()
        os.close(self._fd)


@pytest.fixture
def start():
    started = []

    def make(**options):
        started.append(_Real(f"a-{len(started)}", **options))
        for one in started:
            for other in started:
                one.membership.record_alive(other.member, boottime.now())
        return started[-1]

    yield make
    for one in started:
        one.close()


def _wait(condition):
    deadline_s = boottime.now() + 10
    while not condition() and boottime.now() < deadline_s:
        gevent.sleep(0.01)
    assert condition()


def _ranked(instances):
    by_name = {one.member.name: one for one in instances}
    members = [one.member for one in instances]
    ranked = stream_origins.rank_replicas(members, _FINGERPRINT)
    return [by_name[member.name] for member in ranked]


def test_real_datagrams_carry_reservations_questions_and_answers(start):
    ranked = _ranked([start() for _ in range(4)])
    ranked[2].exchange.record(_FINGERPRINT, boottime.now())
    _wait(lambda: all(one.exchange.kept_count for one in ranked[:2]))
    assert ranked[3].exchange.claim(_FINGERPRINT).state is _DUE
    assert ranked[2].exchange.claim(_FINGERPRINT).state is _USED
    assert not any(one.problems for one in ranked)


def test_real_datagrams_carry_reservations_to_another_data_centre(start):
    one, other = start(), start(data_centre="b")
    one.exchange.record(_FINGERPRINT, boottime.now())
    _wait(lambda: other.exchange.kept_count)
    assert other.exchange.claim(_FINGERPRINT).state is _DUE
    assert not one.problems
    assert not other.problems


def test_an_instance_of_another_data_centre_logs_an_unknown_kind_once(start):
    new, old = start(), start(is_old=True, data_centre="b")
    for _ in range(3):
        new.exchange.record(_FINGERPRINT, boottime.now() + 1.0)
    _wait(lambda: old.problems)
    assert old.problems == ["datagram_unreadable"]
    assert not old.greenlet.dead


def test_a_silent_holder_is_waited_for_only_so_long(start):
    # The process is there and reads nothing, as one that stands still.
    ranked = _ranked(
        [
            start(answer_timeout_s=return_exchange.ANSWER_TIMEOUT_S)
            for _ in range(4)
        ]
    )
    for one in ranked[:2]:
        one.greenlet.kill()
    ranked[2].exchange.record(_FINGERPRINT, boottime.now())
    claim = ranked[3].exchange.claim(_FINGERPRINT)
    assert (claim.state, claim.silent) == (_UNKNOWN, 2)


def test_an_instance_of_the_earlier_build_logs_each_kind_once(start):
    new = start(answer_timeout_s=return_exchange.ANSWER_TIMEOUT_S)
    old = start(is_old=True)
    for _ in range(3):
        new.exchange.record(_FINGERPRINT, boottime.now() + 1.0)
        new.exchange.claim(_FINGERPRINT)
    # One warning for reservations; one for questions, if it ranks first or
    # this instance's own answer is not needed.
    _wait(lambda: old.problems)
    assert set(old.problems) == {"datagram_unreadable"}
    assert len(old.problems) <= 2


def test_forged_and_truncated_datagrams_do_not_end_the_receiver(start):
    one, other = start(), start()
    for data in (
        b"",
        bytes([_PLACES]),
        bytes([_PLACES, 0x81, 0x5F]),
        datagrams_module.encode(_PLACES, [_RECORD[:5]]),
        bytes([_QUESTIONS]),
        datagrams_module.encode(_QUESTIONS, [0, 1, b"", ""]),
        datagrams_module.encode(_QUESTIONS, [1, 1, 77, 0]),
        bytes([_REMOTE]),
        bytes([_REMOTE, 0x81, 0x5F]),
        datagrams_module.encode(_REMOTE, [_RECORD[:5]]),
        datagrams_module.encode(_REMOTE, [_RECORD * 2]),
        random.Random(1).randbytes(1400),
    ):
        one.datagrams.send(other.member.address, data)
    one.exchange.record(_FINGERPRINT, boottime.now() + 1.0)
    _wait(lambda: other.exchange.kept_count == 1)
    assert not other.greenlet.dead
