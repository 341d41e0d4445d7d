"""Whether the store was away, by what instances report of its answers."""

import math
import os
import random
import types

import cbor2
import gevent
import pytest
import result

from irisshelf import boottime
from irisshelf.catalog import departures
from irisshelf.catalog import directory
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import store_contact
from irisshelf.gateway.knowledge import contact_exchange
from irisshelf.gateway.knowledge import outage_check
from irisshelf.gateway.knowledge import store_timing
from irisshelf.observe import decision_log
from irisshelf.store import feed

_GAP_S = 3.0
_LOSS = store_contact.Loss(last_answer_s=10.0, regained_s=16.0)
_NEVER_AWAY = -math.inf


def _interval(since_s, until_s):
    return store_contact.Interval(since_s=since_s, until_s=until_s)


@pytest.mark.parametrize(
    ("peers", "available_s"),
    [
        pytest.param([], 16.0, id="nobody-knows"),
        pytest.param([_interval(3, 16)], _NEVER_AWAY, id="had-it-throughout"),
        pytest.param([_interval(3, 14)], _NEVER_AWAY, id="polls-slowly"),
        pytest.param([_interval(10, 16)], _NEVER_AWAY, id="since-my-last"),
        pytest.param([_interval(10.1, 16)], 10.1, id="lost-it-as-well"),
        pytest.param([_interval(3, 12)], 16.0, id="may-have-lost-it-since"),
        pytest.param([_interval(17, 17)], 16.0, id="regained-it-later"),
        pytest.param(
            [_interval(15, 16), _interval(14, 16)], 14.0, id="earliest-counts"
        ),
        pytest.param(
            [_interval(15, 16), _interval(3, 16)],
            _NEVER_AWAY,
            id="one-that-had-it-decides",
        ),
    ],
)
def test_since_when_the_store_has_been_available(peers, available_s):
    found = store_contact.available_since_s(_LOSS, peers, _GAP_S)
    assert found == available_s


@pytest.mark.parametrize(
    ("events", "interval", "losses"),
    [
        pytest.param([], None, [], id="nothing"),
        pytest.param([1.0], (1.0, 1.0), [], id="first-answer"),
        pytest.param([1.0, 3.0, 5.5], (1.0, 5.5), [], id="no-gap"),
        pytest.param([1.0, 4.5], (4.5, 4.5), [], id="gap-without-failure"),
        pytest.param([1.0, ("failed", 2.0)], None, [], id="lost"),
        pytest.param(
            [1.0, ("failed", 2.0), 2.5],
            (2.5, 2.5),
            [(1.0, 2.5)],
            id="lost-and-regained",
        ),
        pytest.param(
            [1.0, ("failed", 3.0), 2.5],
            None,
            [],
            id="an-answer-from-before-the-failure",
        ),
        pytest.param(
            [1.0, ("failed", 2.0), 2.0],
            None,
            [],
            id="an-answer-of-the-moment-of-the-failure",
        ),
        pytest.param(
            [1.0, 2.0, 1.5], (1.0, 2.0), [], id="an-older-answer-is-ignored"
        ),
        pytest.param([("failed", 1.0), 2.0], (2.0, 2.0), [], id="never-had-it"),
    ],
)
def test_intervals_of_answers(events, interval, losses):
    contact = store_contact.StoreContact()
    found = []
    for event in events:
        if isinstance(event, tuple):
            contact.record_failure(event[1])
            continue
        loss = contact.record_answer(event, _GAP_S)
        if loss is not None:
            found.append((loss.last_answer_s, loss.regained_s))
    known = contact.interval()
    assert (known and (known.since_s, known.until_s)) == interval
    assert found == losses


class _Peers:
    """Answers requests as other instances would, ``delay_s`` later."""

    def __init__(self, clock, answers, delay_s=0.1):
        own = membership_module.Member(name="0", address="0", data_centre="a")
        self.membership = membership_module.Membership(own=own)
        self.asked = []
        self._clock = clock
        self._answers = answers
        self._delay_s = delay_s
        for address, data_centre in answers:
            member = membership_module.Member(
                name=address, address=address, data_centre=data_centre
            )
            self.membership.record_alive(member, clock[0])

    def register_handler(self, path, handler):
        assert path == contact_exchange.PATH

    def request(self, address, target, *, timeout_s):
        assert target == f"{contact_exchange.PATH}?lost_s=1.000"
        self.asked.append(address)
        self._clock[0] += self._delay_s
        return next(
            answer
            for (name, _), answer in self._answers.items()
            if name == address
        )


@pytest.fixture
def log():
    fd = os.open(os.devnull, os.O_WRONLY)
    yield decision_log.DecisionLog(instance="entry-1", fd=fd)
    os.close(fd)


def _exchange(log, answers):
    clock = [100.0]
    peers = _Peers(clock, answers)
    made = contact_exchange.ContactExchange(
        contact=store_contact.StoreContact(),
        departures=departures.Departures(),
        peers=peers,
        log=log,
        rng=random.Random(1),
        now=lambda: clock[0],
    )
    return made, peers


def test_an_interval_is_not_overstated_by_the_exchange(log):
    """Guards against a store that seems to have been available for longer."""
    answer = result.Ok(cbor2.dumps((20.0, 1.0)))
    exchange, _ = _exchange(log, {("1", "a"): answer})
    (answer,) = exchange.ask(1.0)
    found = answer.interval
    # Asked at 100.0 and answered by 100.1.
    assert found.since_s == pytest.approx(80.1)
    assert found.until_s == pytest.approx(99.0)


def test_instances_of_other_data_centres_are_asked_too(log):
    answers = {
        (f"{place}{number}", place): result.Err("cut off")
        for place in "abc"
        for number in range(9)
    }
    exchange, peers = _exchange(log, answers)
    assert exchange.ask(1.0) == []
    places = [address[0] for address in peers.asked]
    assert places.count("a") == 2
    assert len(places) - places.count("a") == 4


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        cbor2.dumps(5),
        cbor2.dumps([1.0]),
        cbor2.dumps((-1.0, 1.0)),
        cbor2.dumps((math.nan, 1.0)),
        cbor2.dumps((math.inf, 1.0)),
        cbor2.dumps(("1", 1.0)),
        cbor2.dumps((1.0, 1.0, [1])),
    ],
)
def test_an_invalid_answer_is_logged(log, data, monkeypatch):
    lines = []
    monkeypatch.setattr(log, "warning", lambda name, **_: lines.append(name))
    exchange, _ = _exchange(log, {("1", "a"): result.Ok(data)})
    assert exchange.ask(1.0) == []
    assert lines == ["store_contact_unreadable"]


def test_an_instance_without_an_interval_does_not_answer(log, monkeypatch):
    lines = []
    monkeypatch.setattr(log, "warning", lambda name, **_: lines.append(name))
    clock = [100.0]
    contact = store_contact.StoreContact()
    known = departures.Departures()
    exchange = contact_exchange.ContactExchange(
        contact=contact,
        departures=known,
        peers=_Peers(clock, {}),
        log=log,
        rng=random.Random(1),
        now=lambda: clock[0],
    )
    assert exchange.encode({}) is None
    contact.record_answer(98.0, _GAP_S)
    contact.record_answer(99.0, _GAP_S)
    assert cbor2.loads(exchange.encode({})) == [2.0, 1.0, []]
    for at_s, name in ((90.0, "i-1"), (95.0, "i-2"), (98.0, "i-3")):
        known.announce(name, source=departures.Source.ENTRY, now=at_s)
    expected = [directory.short_id(name) for name in ("i-2", "i-3")]
    encoded = exchange.encode({"lost_s": "6.5"})
    assert cbor2.loads(encoded) == [2.0, 1.0, expected]
    assert lines == []
    assert exchange.encode({"lost_s": "soon"}) is None
    assert lines == ["question_unreadable"]
    contact.record_failure(99.5)
    assert exchange.encode({}) is None


class _Listed:
    """A server list that records what it is notified of."""

    def __init__(self):
        self.store_down = False
        self.available = []

    def on_store_lost(self):
        self.store_down = True

    def on_store_regained(self, at_s):
        self.store_down = False

    def on_store_available_since(self, available_s, regained_s, now):
        self.available.append(available_s)


class _Exchange:
    """Answers as other instances would, and records the questions."""

    def __init__(self, answers):
        self.asked = []
        self._answers = answers

    def ask(self, lost_s):
        self.asked.append(lost_s)
        return self._answers


def _lose_and_regain(world, monkeypatch, answers):
    """Plays a loss of half a second; returns what was asked and notified."""
    listed = _Listed()
    check = outage_check.OutageCheck(inst=world.inst, listed=listed, peers=None)
    check._exchange = exchange = _Exchange(answers)
    monkeypatch.setattr(outage_check, "_ASK_PEERS_AFTER_S", (0.0, 0.02))
    check.record_answer(boottime.now())
    check.record_failure()
    gevent.sleep(0.5)
    check.record_answer(boottime.now())
    gevent.sleep(0.1)
    return exchange.asked, listed.available


def test_departures_from_before_the_last_answer_are_asked_for(
    world, monkeypatch
):
    """Guards against one that the list's own poll would have brought."""
    asked, _ = _lose_and_regain(world, monkeypatch, [])
    bounds = world.inst.cfg.bounds
    poll_s = store_timing.long_poll_s(feed.Table.SERVERS, bounds)
    assert len(asked) == 2
    assert all(lost_s > 0.5 + poll_s for lost_s in asked)


def test_one_that_had_the_store_all_the_time_ends_the_questions(
    world, monkeypatch
):
    now = boottime.now()
    answer = contact_exchange.Answer(interval=_interval(now - 60, now + 60))
    asked, available = _lose_and_regain(world, monkeypatch, [answer])
    assert len(asked) == 1
    assert available == [_NEVER_AWAY]


@pytest.mark.parametrize(
    ("had_it_after_s", "away", "later_s", "waits_s"),
    [
        pytest.param(None, True, 0.0, [0.0, 0.4, 0.8], id="nobody-knows"),
        pytest.param(
            0.1, True, 0.4, [0.0, 0.4, 0.8], id="another-regained-it-before"
        ),
        pytest.param(-60.0, False, None, [0.0], id="another-had-it-throughout"),
    ],
)
def test_what_is_known_of_an_outage_is_logged(
    world, monkeypatch, had_it_after_s, away, later_s, waits_s
):
    lines = []
    monkeypatch.setattr(
        world.inst.log,
        "instance",
        lambda name, **fields: lines.append((name, fields)),
    )
    waited_s = []
    no_wait = types.SimpleNamespace(sleep=waited_s.append)
    monkeypatch.setattr(outage_check, "gevent", no_wait)
    now = 1000.0
    clock = types.SimpleNamespace(now=lambda: now)
    monkeypatch.setattr(outage_check, "boottime", clock)
    answers = []
    if had_it_after_s is not None:
        interval = _interval(now + had_it_after_s, now + 60)
        answers = [contact_exchange.Answer(interval=interval)]
    listed = _Listed()
    check = outage_check.OutageCheck(inst=world.inst, listed=listed, peers=None)
    check._exchange = _Exchange(answers)
    check._assess(store_contact.Loss(last_answer_s=now, regained_s=now + 0.5))
    expected = {
        "away": away,
        "lost_for_s": 0.5,
        "regained_later_s": later_s,
        "answers": len(answers),
    }
    assert lines == [("store_outage_assessed", expected)]
    assert waited_s == pytest.approx(waits_s)
