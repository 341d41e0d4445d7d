"""An instance that starts fetches from a peer what no list says."""

import os

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
    own.apply(peer.encode({}))
    assert learnt == [
        facts.ServerLeaving(server=directory.short_id(name))
        for name in ("i-1", "i-2@7")
    ]


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", cbor2.dumps(5), cbor2.dumps([1]), cbor2.dumps({"a": b""})],
)
def test_an_invalid_answer_is_logged(log, data, monkeypatch):
    lines = []
    monkeypatch.setattr(log, "warning", lambda name, **_: lines.append(name))
    own, learnt = _exchange(log)
    own.apply(data)
    assert lines == ["departures_unreadable"]
    assert not learnt


def test_a_request_is_repeated_until_a_peer_answers(monkeypatch):
    delays_s = []
    monkeypatch.setattr(gevent, "sleep", delays_s.append)
    answers = [[]] * 6 + [[b"data", b"more"], [b"unused"]]
    applied = []
    catch_up.fetch(lambda: answers.pop(0), applied.append)
    assert applied == [b"data", b"more"]
    assert answers == [[b"unused"]]
    assert delays_s == [0.05, 0.1, 0.2, 0.4, 0.5, 0.5]


def test_without_peers_the_requests_end(monkeypatch):
    monkeypatch.setattr(gevent, "sleep", lambda delay_s: None)
    calls = []
    catch_up.fetch(lambda: calls.append(1) or [], pytest.fail)
    assert 10 <= len(calls) <= 100
