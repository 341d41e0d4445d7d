"""An instance that starts fetches from a peer what no list says."""

import os
import random
import urllib.parse

import cbor2
import gevent
import pytest

from irisshelf.catalog import departures
from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.gateway.knowledge import catch_up
from irisshelf.observe import decision_log


@pytest.fixture
def log():
    fd = os.open(os.devnull, os.O_WRONLY)
    yield decision_log.DecisionLog(instance="entry-1", fd=fd)
    os.close(fd)


def _exchange(log, names=()):
    known = departures.Departures()
    for name in names:
        known.announce(name, source=departures.Source.RESPONSE, now=1.0)
    learnt = []
    made = catch_up.DepartureExchange(
        known=known, on_fact=learnt.append, log=log
    )
    return made, learnt


def test_the_servers_of_a_peer_are_applied(log):
    peer, _ = _exchange(log, ["i-1", "i-2@7"])
    own, learnt = _exchange(log)
    assert own.apply(peer.encode())
    assert learnt == [
        facts.ServerLeaving(server=directory.short_id(name))
        for name in ("i-1", "i-2@7")
    ]


_GARBAGE = [
    pytest.param(b"", id="empty"),
    pytest.param(b"\xff", id="no-cbor"),
    pytest.param(cbor2.dumps(5), id="number"),
    pytest.param(cbor2.dumps([1]), id="list-of-numbers"),
    pytest.param(cbor2.dumps({"a": b""}), id="other-map"),
    pytest.param(b"\x81" * 100_000, id="nested"),
    pytest.param(b"\x9b" + b"\xff" * 8, id="length"),
    pytest.param(b"\xa1\x81\x01\x01", id="list-as-key"),
    pytest.param(cbor2.dumps("x" * 100_000), id="long-text"),
]


@pytest.mark.parametrize("data", _GARBAGE)
def test_an_invalid_answer_is_logged(log, data, monkeypatch):
    lines = []
    monkeypatch.setattr(
        log, "warning", lambda name, detail: lines.append((name, detail))
    )
    own, learnt = _exchange(log)
    assert own.apply(data) is False
    assert [name for name, _ in lines] == ["departures_unreadable"]
    assert len(lines[0][1]) <= 200
    assert not learnt


_NEEDED_S = 30.0
# An instance counts as one that hears of everything some seconds after its
# start.
_LONG_S = _NEEDED_S + 10.0
_PATH = "/what"


class _Clock:
    def __init__(self):
        self.now_s = 1000.0
        self.delays_s = []

    def now(self):
        return self.now_s

    def sleep(self, delay_s):
        self.delays_s.append(delay_s)
        self.now_s += delay_s


@pytest.fixture
def clock(monkeypatch):
    made = _Clock()
    monkeypatch.setattr(gevent, "sleep", made.sleep)
    return made


class _Peers:
    """Plays a fleet: each instance is known by a number, none is slow."""

    def __init__(self):
        self.handlers = {}
        self.known = []
        self.asked = []

    def register_handler(self, path, handler):
        self.handlers[path] = handler

    def members(self):
        return list(self.known)

    def request_each(self, members, target):
        path, _, query = target.partition("?")
        assert path == _PATH
        fields = dict(urllib.parse.parse_qsl(query))
        self.asked.append(list(members))
        answers = [member(fields) for member in members]
        return [data for data in answers if data is not None]


def _catch_up(clock, *, known=(), age_s=0.0, seed=1):
    """Makes an instance that knows and learns byte strings."""
    known = set(known)

    def apply(data):
        try:
            known.update(catch_up.decode(data, list[bytes]))
        except ValueError:
            return False
        return True

    peers = _Peers()
    clock.now_s -= age_s
    made = catch_up.CatchUp(
        path=_PATH,
        encode=lambda: cbor2.dumps(sorted(known)),
        apply=apply,
        needed_s=_NEEDED_S,
        peers=peers,
        rng=random.Random(seed),
        now=clock.now,
    )
    clock.now_s += age_s
    return made, peers, known


def _fleet(clock, *, old, new):
    """Returns what each instance answers, those that have just started first.

    The old ones know ``b"event"``.
    """
    ages_s = [0.0] * new + [_LONG_S] * old
    return [
        _catch_up(
            clock,
            age_s=age_s,
            known=[b"event"] if age_s else [],
        )[0].answer
        for age_s in ages_s
    ]


def _older_build(content):
    """Returns what an instance of an older build answers."""
    return lambda fields: cbor2.dumps(content)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("old", "new"), [(4, 19), (1, 22), (1, 84), (4, 80), (23, 0)]
)
def test_instances_that_have_just_started_do_not_end_the_search(
    clock, old, new, seed
):
    """Guards against what they have not heard of taken as not having been."""
    own, peers, known = _catch_up(clock, seed=seed)
    peers.known = _fleet(clock, old=old, new=new)
    assert own.run()
    assert known == {b"event"}
    assert sum(clock.delays_s) <= 3.2


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("others", [1, 4, 23, 84])
def test_one_instance_that_starts_asks_four(clock, others, seed):
    """Guards against starts that cost more than they need."""
    own, peers, known = _catch_up(clock, seed=seed)
    peers.known = _fleet(clock, old=others, new=0)
    assert own.run()
    assert known == {b"event"}
    assert [len(asked) for asked in peers.asked] == [min(4, others)]


def test_the_first_known_instances_are_few_however_late_they_are_known(clock):
    """Guards against rounds that pass while no instance is known."""
    own, peers, _ = _catch_up(clock)
    fleet = _fleet(clock, old=23, new=0)
    peers.members = lambda: fleet if clock.now_s > 1002.0 else []
    assert own.run()
    assert [len(asked) for asked in peers.asked if asked] == [4]


@pytest.mark.parametrize(
    ("new", "is_answered"), [(0, False), (1, True), (84, True)]
)
def test_peers_that_have_just_started_keep_nobody_from_serving(
    clock, new, is_answered
):
    """Guards against a fleet that starts at once and then waits for itself."""
    own, peers, _ = _catch_up(clock)
    peers.known = _fleet(clock, old=0, new=new)
    own.ask(4)
    assert own.answered.is_set() is is_answered
    assert not own.is_complete()


def test_instances_that_start_all_at_once_end_their_search(clock):
    """Guards against instances that ask each other for ever."""
    own, peers, known = _catch_up(clock)
    peers.known = _fleet(clock, old=0, new=84)
    assert not own.run()
    assert not known
    assert [len(asked) for asked in peers.asked] == [4, 8, 16, 84]
    assert sum(clock.delays_s) <= 3.2


@pytest.mark.parametrize(
    ("lived_s", "asked"),
    [
        pytest.param(1.0, [4, 8, 16, 23], id="too-short"),
        pytest.param(6.0, [4], id="long-enough"),
    ],
)
def test_who_has_asked_all_others_proves_that_they_knew_nothing(
    clock, lived_s, asked
):
    """Guards against ordinary starts in a young fleet that ask everybody."""
    fleet = [_catch_up(clock, seed=seed) for seed in range(23)]
    everyone = [own.answer for own, _, _ in fleet]
    for own, peers, _ in fleet:
        peers.known = everyone
        own.run()
        clock.now_s = 1000.0
    clock.now_s = 1000.0 + lived_s
    late, peers, _ = _catch_up(clock)
    peers.known = everyone
    late.run()
    assert [len(some) for some in peers.asked] == asked


@pytest.mark.parametrize("age_s", [0.0, _NEEDED_S, _NEEDED_S + 4.9])
def test_no_instance_proves_more_than_it_has_lived_for(clock, age_s):
    """Guards against gaps of an instance that not all knew of at first."""
    own, _, _ = _catch_up(clock)
    peer, _, _ = _catch_up(clock, age_s=age_s)
    own.apply(peer.answer({"envelope": "1"}))
    assert not own.is_complete()


@pytest.mark.parametrize("new", [0, 10])
def test_what_older_builds_answer_is_applied_and_proves_nothing(clock, new):
    """Guards against what is lost while two builds run."""
    own, peers, known = _catch_up(clock)
    peers.known = [
        *_fleet(clock, old=0, new=new),
        *[_older_build([b"event"])] * 10,
        _older_build([b"other"]),
    ]
    assert not own.run()
    assert known == {b"event", b"other"}


def test_an_older_build_is_answered_as_by_its_own_kind(clock):
    """Guards against answers that older builds cannot read."""
    own, _, _ = _catch_up(clock, known=[b"event"])
    assert cbor2.loads(own.answer({"name": "entry-9"})) == [b"event"]


def _sealed(reach_s, content=b"\x80"):
    return cbor2.dumps({"reach_s": reach_s, "content": content})


@pytest.mark.parametrize(
    "data",
    [
        *_GARBAGE,
        pytest.param(_sealed(-1.0), id="negative"),
        pytest.param(_sealed(1e9), id="beyond-the-cap"),
        pytest.param(_sealed(float("nan")), id="not-a-number"),
        pytest.param(_sealed("99"), id="text"),
        pytest.param(_sealed(99.0, "text"), id="content-is-text"),
        pytest.param(_sealed(99.0, b""), id="content-is-empty"),
        pytest.param(_sealed(99.0, b"\xff"), id="content-is-no-cbor"),
        pytest.param(_sealed(99.0, _sealed(99.0)), id="twice"),
    ],
)
def test_garbage_neither_ends_the_search_nor_takes_more_than_a_line(
    clock, log, monkeypatch, data
):
    """Guards against answers of a broken instance that count as knowledge."""
    lines = []
    monkeypatch.setattr(
        log, "warning", lambda name, detail: lines.append((name, detail))
    )
    exchange, learnt = _exchange(log)
    own = catch_up.CatchUp(
        path=_PATH,
        encode=exchange.encode,
        apply=exchange.apply,
        needed_s=_NEEDED_S,
        peers=_Peers(),
        rng=random.Random(1),
        now=clock.now,
    )
    own.apply(data)
    assert [name for name, _ in lines] == ["departures_unreadable"]
    assert len(lines[0][1]) <= 200
    assert not own.is_complete()
    own.apply(_sealed(_LONG_S, cbor2.dumps([b"event"])))
    assert own.is_complete()
    assert learnt == [facts.ServerLeaving(server=b"event")]


def test_a_request_is_repeated_until_a_peer_answers(clock):
    own, peers, known = _catch_up(clock)
    answers = [None] * 6 + [_fleet(clock, old=1, new=0)[0]({"envelope": "1"})]
    peers.known = [lambda fields: answers.pop(0)]
    assert own.run()
    assert known == {b"event"}
    assert not answers
    assert clock.delays_s == [0.05, 0.1, 0.2, 0.8, 0.5, 0.5, 0.5]


@pytest.mark.parametrize("known", [[], [lambda fields: None]])
def test_without_answers_the_requests_end(clock, known):
    own, peers, _ = _catch_up(clock)
    peers.known = known
    assert not own.run()
    assert 10 <= len(clock.delays_s) <= 100
    assert len(peers.asked) == len(clock.delays_s)
