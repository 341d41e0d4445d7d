"""Instances that start after most were killed learn what the others know."""

import dataclasses
import os
import random
import urllib.parse
from collections.abc import Callable

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import departures
from irisshelf.catalog import directory
from irisshelf.catalog import releases
from irisshelf.coordination import membership
from irisshelf.gateway.knowledge import catch_up
from irisshelf.gateway.knowledge import crash_gossip
from irisshelf.gateway.knowledge import release_exchange
from irisshelf.gateway.servers import recent_successes
from irisshelf.observe import decision_log
from irisshelf.routing import crash_evidence
from irisshelf.routing import crash_suspects
from irisshelf.testing import origin_network

_SURVIVORS = 4
_STARTED = 20
_LONG_S = 2000.0
_FINGERPRINT = b"f" * 15
_KEYS = [
    releases.release_key(origin_network.server(0, version))
    for version in ("v1", "v2")
]


class _Clock:
    """Time that passes as greenlets sleep."""

    def __init__(self):
        self.now_s = 10_000.0

    def now(self):
        return self.now_s

    def sleep(self, delay_s):
        self.now_s += delay_s


@pytest.fixture
def clock(monkeypatch):
    made = _Clock()
    monkeypatch.setattr(gevent, "sleep", made.sleep)
    monkeypatch.setattr(boottime, "now", made.now)
    return made


@pytest.fixture
def log():
    fd = os.open(os.devnull, os.O_WRONLY)
    yield decision_log.DecisionLog(instance="entry-1", fd=fd)
    os.close(fd)


class _Peers:
    """Plays the exchanges of one instance of a fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.handlers = {}
        self.requests = 0

    def register_handler(self, path, handler):
        self.handlers[path] = handler

    def members(self):
        return [one for one in self._fleet if one is not self]

    def request_each(self, members, target):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        self.requests += len(members)
        return [member.handlers[path](fields) for member in members]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Instance:
    """One kind of knowledge of one instance."""

    learn: Callable[[], object]
    knows: Callable[[], bool]
    catch_up: Callable[[], object]


def _departure(peers, seed, clock, log):
    known = departures.Departures()
    exchange = catch_up.DepartureExchange(
        known=known,
        on_fact=lambda fact: known.announce_unlisted(fact.server, clock.now()),
        log=log,
    )
    asking = catch_up.CatchUp(
        path=catch_up.DEPARTURES_PATH,
        encode=exchange.encode,
        apply=exchange.apply,
        needed_s=catch_up.DEPARTURES_NEEDED_S,
        peers=peers,
        rng=random.Random(seed),
        now=clock.now,
    )
    return _Instance(
        learn=lambda: known.announce(
            "i-1", source=departures.Source.RESPONSE, now=clock.now()
        ),
        knows=lambda: directory.short_id("i-1") in known.keys(),  # noqa: SIM118
        catch_up=asking.run,
    )


class _Crashes:
    """Stands in for ``CrashTracker``, without servers."""

    def __init__(self, clock):
        self.suspects = crash_suspects.CrashSuspects()
        self.successes = recent_successes.RecentSuccesses()
        self._clock = clock

    def merge_crash(self, fingerprint, crash):
        self.suspects.record_crash(fingerprint, crash, self._clock.now())


class _NoDatagrams:
    def subscribe(self, kind, handler):
        """Ignores handlers."""


def _crash(peers, seed, clock, log):
    crashes = _Crashes(clock)
    own = membership.Member(name=str(seed), address="", data_centre="a")
    gossip = crash_gossip.CrashGossip(
        crashes=crashes,
        datagrams=_NoDatagrams(),
        membership=membership.Membership(own=own),
        log=log,
    )
    asking = catch_up.CatchUp(
        path=crash_gossip.SNAPSHOT_PATH,
        encode=gossip.snapshot,
        apply=gossip.apply_snapshot,
        needed_s=crash_gossip.NEEDED_S,
        peers=peers,
        rng=random.Random(seed),
        now=clock.now,
    )
    return _Instance(
        learn=lambda: crashes.merge_crash(
            _FINGERPRINT,
            crash_evidence.ServerCrash(server_key=b"i", at_s=clock.now()),
        ),
        knows=lambda: _FINGERPRINT in crashes.suspects,
        catch_up=asking.run,
    )


def _release(peers, seed, clock, log):
    history = releases.ReleaseHistory(life_s=1000.0)
    exchange = release_exchange.ReleaseExchange(
        releases=history,
        peers=peers,
        log=log,
        rng=random.Random(seed),
        has_recent_list=lambda: True,
        now=clock.now,
    )
    history.update([origin_network.server(0, "v2")], clock.now())

    def learn():
        history.update([origin_network.server(0, "v1")], clock.now())
        clock.sleep(1.0)
        history.update([origin_network.server(0, "v2")], clock.now())

    return _Instance(
        learn=learn,
        knows=lambda: history.recent("lm", clock.now()) == set(_KEYS),
        catch_up=exchange.catch_up,
    )


_KINDS = [
    pytest.param(_departure, id="departure"),
    pytest.param(_crash, id="crash"),
    pytest.param(_release, id="release"),
]


def _fleet(make, clock, log, *, started):
    """Starts instances; those that have just started are known first."""
    fleet = []
    peers = [_Peers(fleet) for _ in range(_SURVIVORS + started)]
    survivors = [
        make(one, seed, clock, log)
        for seed, one in enumerate(peers[started:], start=started)
    ]
    clock.sleep(_LONG_S)
    for one in survivors:
        one.learn()
    new = [
        make(one, seed, clock, log) for seed, one in enumerate(peers[:started])
    ]
    fleet.extend(peers)
    return new, peers


@pytest.mark.parametrize("make", _KINDS)
def test_all_that_have_started_learn_what_the_few_survivors_know(
    make, clock, log
):
    """Guards against answers that know nothing taken for nothing to know."""
    new, _ = _fleet(make, clock, log, started=_STARTED)
    assert not [one for one in new if one.knows()]
    for one in new:
        one.catch_up()
    assert [one.knows() for one in new] == [True] * _STARTED


@pytest.mark.parametrize("make", _KINDS)
def test_one_that_starts_sends_four_requests(make, clock, log):
    """Guards against ordinary starts that cost as much as those of herds."""
    (one,), peers = _fleet(make, clock, log, started=1)
    one.catch_up()
    assert one.knows()
    assert peers[0].requests == 4
