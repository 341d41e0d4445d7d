"""Origins of streams: what is kept, where, and what is sent about them."""

import dataclasses

import cbor2
import gevent
import pytest

from irisshelf.catalog import entry_doubts
from irisshelf.catalog import releases
from irisshelf.coordination import stream_origins
from irisshelf.gateway.knowledge import origin_exchange
from irisshelf.gateway.knowledge import origin_questions
from irisshelf.testing import origin_network

_KEY = stream_origins.stream_key("blue", "r1")
_V1, _V2 = b"v1v1v1", b"v2v2v2"
_LIFE_S = stream_origins.MIN_LIFE_S
_LEAST_SHARE = 0.5
_BUDGET_BYTES_PER_S = 2000.0
# Resumable streams that an instance begins in a second at the largest size.
_RATE = 10
# Three datagrams.
_BYTES_PER_STREAM = 150


@pytest.mark.parametrize(
    ("one", "other", "same"),
    [
        pytest.param(("v1", "lm"), ("v1", "lm"), True, id="same"),
        pytest.param(("v1", "lm"), ("v2", "lm"), False, id="version"),
        pytest.param(("v1", "lm"), ("v1", "lm-2"), False, id="service"),
        pytest.param(("", "lm"), ("", "lm"), True, id="none-given"),
        pytest.param(("", "lm"), ("v1", "lm"), False, id="one-given"),
        pytest.param((None, "lm"), (None, "lm"), False, id="unusable"),
    ],
)
def test_which_servers_run_the_same_release(one, other, same):
    keys = {
        releases.release_key(origin_network.server(number, version, service))
        for number, (version, service) in enumerate((one, other))
    }
    assert (len(keys) == 1) is same


@pytest.mark.parametrize(
    ("lists", "now", "count"),
    [
        pytest.param([(0.0, ["v1"])], 1000.0, 1, id="one-for-ever"),
        pytest.param([(0.0, ["v1", "v2"])], 0.0, 2, id="two"),
        pytest.param([(0.0, ["v1"]), (9.0, ["v2"])], 9.0, 2, id="replaced"),
        pytest.param(
            [(0.0, ["v1"]), (9.0, ["v2"])], 9.0 + _LIFE_S, 2, id="still-known"
        ),
        pytest.param(
            [(0.0, ["v1"]), (9.0, ["v2"])], 9.1 + _LIFE_S, 1, id="forgotten"
        ),
        pytest.param(
            [(0.0, ["v1"]), (9.0, []), (50.0, ["v1"])], 200.0, 1, id="returns"
        ),
        pytest.param([], 0.0, 0, id="nothing-listed"),
    ],
)
def test_which_releases_a_service_has_had_lately(lists, now, count):
    history = releases.ReleaseHistory(life_s=_LIFE_S)
    for at_s, versions in lists:
        history.update(
            [origin_network.server(n, v) for n, v in enumerate(versions)], at_s
        )
    assert len(history.recent("lm", now)) == count
    assert not history.recent("other", now)


@pytest.mark.parametrize(
    ("records", "now", "known"),
    [
        pytest.param([], 0.0, None, id="none"),
        pytest.param([(0.0, _V1)], _LIFE_S, _V1, id="kept"),
        pytest.param([(0.0, _V1)], _LIFE_S + 0.1, None, id="expired"),
        pytest.param([(0.0, _V1), (50.0, _V1)], 100.0, _V1, id="resumed"),
        pytest.param([(0.0, _V1), (1.0, _V2)], 1.0, None, id="contradicting"),
        pytest.param(
            [(0.0, _V1), (1.0, _V2), (2.0, _V2)], 2.0, None, id="stays-so"
        ),
        pytest.param(
            [(0.0, _V1), (_LIFE_S + 1.0, _V2)], _LIFE_S + 1.0, _V2, id="anew"
        ),
    ],
)
def test_what_is_kept_of_a_stream(records, now, known):
    origins = stream_origins.StreamOrigins()
    for at_s, release in records:
        origins.record(_KEY, release, at_s, own=True)
    found = origins.get(_KEY, now)
    assert (found.release if found else None) == known


def test_what_is_kept_has_a_limit():
    origins = stream_origins.StreamOrigins()
    for number in range(25_000):
        key = number.to_bytes(stream_origins.KEY_BYTES)
        origins.record(key, _V1, 0.0, own=False)
    assert len(origins) == 20_000


@pytest.mark.parametrize(
    ("entry", "doubtful"),
    [
        pytest.param({}, True, id="the-same-again"),
        pytest.param({"sequence": 4}, False, id="written-later"),
        pytest.param({"sequence": 2}, True, id="written-earlier"),
        pytest.param({"sequence": None}, False, id="no-number"),
        pytest.param({"sequence": 4, "version": "v2"}, False, id="other"),
    ],
)
def test_which_entries_end_a_doubt(entry, doubtful):
    doubted = dataclasses.replace(origin_network.server(1), sequence=3)
    doubts = entry_doubts.EntryDoubts()
    doubts.record_return(doubted, 10.0)
    doubts.record_entry(dataclasses.replace(doubted, **entry))
    assert doubts.is_doubtful("i-1", 11.0, 11.0) is doubtful


@pytest.mark.parametrize(
    ("signs", "now", "list_as_of_s", "doubtful"),
    [
        pytest.param("", 10.0, 10.0, False, id="none"),
        pytest.param("r", 12.0, 12.0, True, id="returned"),
        pytest.param("r", 12.3, 12.3, False, id="would-have-been-seen"),
        pytest.param("r", 15.0, 12.0, True, id="list-is-behind"),
        pytest.param("e", 19.0, 19.0, True, id="away"),
        pytest.param("e", 20.1, 20.1, False, id="gone-for-long"),
        pytest.param("er", 12.3, 12.3, False, id="away-and-returned"),
        pytest.param("re", 19.0, 19.0, True, id="away-again"),
    ],
)
def test_how_long_an_entry_is_in_doubt(signs, now, list_as_of_s, doubtful):
    doubts = entry_doubts.EntryDoubts()
    for sign in signs:
        record = doubts.record_exit if sign == "e" else doubts.record_return
        record(origin_network.server(1), 10.0)
    assert doubts.is_doubtful("i-1", now, list_as_of_s) is doubtful


def test_ids_of_different_teams_are_different_streams():
    assert stream_origins.stream_key("a", "r1") != stream_origins.stream_key(
        "b", "r1"
    )


def _names(data_centres, each):
    return [(f"{dc}-{n}", dc) for dc in data_centres for n in range(each)]


_SMALL = _names("abc", 2)
_LARGE = _names("abcd", 20)
_V = {
    version: releases.release_key(origin_network.server(0, version))
    for version in ("v1", "v2")
}


@pytest.mark.parametrize("names", [_SMALL, _LARGE], ids=["small", "large"])
def test_an_origin_is_found_from_everywhere_after_its_instance_is_gone(names):
    network = origin_network.Network(names)
    network.instances["a-0"].exchange.record(_KEY, ["lm"], _V["v2"])
    network.cut = {"a-0"}
    for name, one in network.instances.items():
        if name == "a-0":
            continue
        known = one.origins.get(_KEY, 0.0)
        release = known.release if known else None
        if known is None:
            release = one.exchange.find(_KEY, ["lm"]).release
        assert release == _V["v2"], name


@pytest.mark.parametrize("names", [_SMALL, _LARGE], ids=["small", "large"])
def test_an_origin_outlives_a_data_centre(names):
    found = []
    for number in range(40):
        network = origin_network.Network(names)
        key = stream_origins.stream_key("blue", f"r{number}")
        network.instances["a-0"].exchange.record(key, ["lm"], _V["v1"])
        network.cut = {name for name, dc in names if dc == "a"}
        found.append(network.instances["b-1"].knows(key))
    assert all(found)


@pytest.mark.parametrize("loss", [0.1, 0.2, 0.3])
@pytest.mark.parametrize("names", [_SMALL, _LARGE], ids=["small", "large"])
def test_most_origins_are_found_although_datagrams_are_lost(names, loss):
    """Half of the streams, at least, must go on."""
    network = origin_network.Network(names, loss=loss)
    keys = _record_many(network, "a-0", count=200, rate=5)
    network.cut = {"a-0"}
    one = network.instances["b-1"]
    known = sum(map(one.knows, keys))
    assert known / len(keys) >= _LEAST_SHARE


def _record_many(network, name, *, count, rate):
    """Records origins at a rate a second, and sends what has to wait."""
    keys = []
    for number in range(count):
        network.now += 1 / rate
        network.keep_known()
        key = stream_origins.stream_key("blue", f"r{number}")
        network.instances[name].exchange.record(key, ["lm"], _V["v1"])
        keys.append(key)
        network.flush()
    return keys


@pytest.mark.parametrize(
    ("versions", "sent"),
    [
        pytest.param(("v1",), False, id="one-release"),
        pytest.param(("v1", "v2"), True, id="two-releases"),
        pytest.param(("v1", "v1"), False, id="two-servers"),
    ],
)
def test_nothing_is_sent_while_one_release_serves(versions, sent):
    network = origin_network.Network(_SMALL, versions=versions)
    one = network.instances["a-0"]
    one.exchange.on_releases_changed()
    one.exchange.record(_KEY, ["lm"], _V["v1"])
    assert bool(network.datagrams) is sent


def test_origins_of_before_are_sent_once_a_second_release_appears():
    network = origin_network.Network(_SMALL, versions=("v1",))
    one = network.instances["a-0"]
    one.exchange.on_releases_changed()
    one.exchange.record(_KEY, ["lm"], _V["v1"])
    network.now = 1.0
    one.list_servers(("v1", "v2"))
    one.exchange.on_releases_changed()
    one.exchange.on_releases_changed()
    network.cut = {"a-0"}
    finding = network.instances["b-0"].exchange.find(_KEY, ["lm"])
    assert finding.release == _V["v1"]
    assert network.datagrams <= 6


@pytest.mark.parametrize("count", [24, 80])
def test_bytes_per_second_are_within_the_budget_of_an_instance(count):
    """Guards against control traffic of which an instance has 2 KB a second."""
    names = _names("abcd", count // 4)
    network = origin_network.Network(names)
    burst_s, counted_s = 4, 4
    for step in range((burst_s + counted_s) * _RATE):
        if step == burst_s * _RATE:
            network.sent.clear()
        network.now += 1 / _RATE
        network.keep_known()
        for name, one in network.instances.items():
            key = stream_origins.stream_key(name, str(step))
            one.exchange.record(key, ["lm"], _V["v1"])
    total = sum(network.sent.values()) / len(names)
    assert total <= counted_s * _BUDGET_BYTES_PER_S


@pytest.mark.parametrize("rate", [20, 100])
def test_origins_of_a_busy_instance_are_sent_at_once(rate):
    """Guards against a limit on bytes that lets origins wait."""
    network = origin_network.Network(_LARGE)
    for number in range(5 * rate):
        network.now += 1 / rate
        network.keep_known()
        key = stream_origins.stream_key("blue", f"r{number}")
        network.instances["a-0"].exchange.record(key, ["lm"], _V["v1"])
        kept = [
            name
            for name, one in network.instances.items()
            if one.origins.get(key, network.now) is not None
        ]
        assert len(kept) >= 4, number
    per_stream = network.sent["a-0"] / (5 * rate)
    assert per_stream <= _BYTES_PER_STREAM


def test_earlier_origins_of_all_services_are_sent():
    """Guards against a second rollout that takes the place of the first."""
    network = origin_network.Network(_LARGE, versions=("v1",))
    one = network.instances["a-0"]
    keys = {"lm": [], "crew": []}
    for service, added in keys.items():
        old, new = (
            origin_network.server(number, version, service)
            for number, version in enumerate(("v1", "v2"))
        )
        for number in range(200):
            added.append(stream_origins.stream_key(service, str(number)))
            release = releases.release_key(old)
            one.exchange.record(added[-1], [service], release)
        listed = [origin_network.server(0), old, new]
        one.history.update(listed, network.now)
        one.exchange.on_releases_changed()
    for _ in range(10):
        one.exchange.flush()
    others = [o for name, o in network.instances.items() if name != "a-0"]
    for key in (*keys["lm"], *keys["crew"]):
        assert any(o.origins.get(key, network.now) for o in others)


def test_all_are_asked_once_an_answer_tells_of_another_release(monkeypatch):
    """Guards against a list that seems to settle it before anybody answers."""
    network = origin_network.Network(_LARGE, versions=())
    network.is_new = True
    for name, one in network.instances.items():
        one.list_servers(("v1",) if name == "b-0" else ("v1", "v2"))
    asker = network.instances["b-0"]
    monkeypatch.setattr(
        asker,
        "request",
        lambda *args, **options: (
            gevent.sleep(0.02),
            network.request("b-0", *args),
        )[1],
    )
    timing = origin_questions.Timing(
        all_asked_after_s=0.0, find_s=5.0, gather_s=0.0, gather_again_s=0.0
    )
    monkeypatch.setattr(asker.exchange, "_timing", timing)
    kept_by = network.instances["a-19"].origins
    kept_by.record(_KEY, _V["v2"], network.now, own=True)
    assert asker.exchange.find(_KEY, ["lm"]).release == _V["v2"]


def test_what_has_to_wait_arrives():
    network = origin_network.Network(_LARGE)
    keys = _record_many(network, "a-0", count=200, rate=20)
    for _ in range(40):
        network.now += 0.25
        network.keep_known()
        network.flush()
    others = [o for name, o in network.instances.items() if name != "a-0"]
    for key in keys:
        assert sum(o.origins.get(key, network.now) is not None for o in others)


@pytest.mark.parametrize(
    "content",
    [
        pytest.param([b"short"], id="not-a-multiple"),
        pytest.param(["text"], id="text"),
        pytest.param([b"", "yes"], id="forward-is-text"),
        pytest.param(7, id="number"),
        pytest.param([], id="empty"),
    ],
)
def test_an_invalid_message_is_refused(content):
    network = origin_network.Network(_SMALL)
    one = network.instances["a-0"]
    with pytest.raises(ValueError, match=r".+"):
        one.exchange.receive(content)
    assert not len(one.origins)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({}, id="nothing"),
        pytest.param({"key": "xyz"}, id="no-digits"),
        pytest.param({"key": "00"}, id="too-short"),
        pytest.param({"key": "00" * 9}, id="too-long"),
    ],
)
def test_an_invalid_question_gets_no_answer(fields):
    network = origin_network.Network(_SMALL)
    assert network.instances["a-0"].exchange.answer(fields) is None


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"\xff", id="no-cbor"),
        pytest.param(cbor2.dumps([True, "v1", []]), id="release-is-text"),
        pytest.param(cbor2.dumps([True]), id="too-short"),
    ],
)
def test_an_invalid_answer_counts_as_none(body):
    network = origin_network.Network(_names("a", 2))
    other = network.instances["a-1"]
    other.handlers[origin_exchange.PATH] = lambda fields: body
    one = network.instances["a-0"]
    finding = one.exchange.find(_KEY, ["lm"])
    assert not finding.known
    assert not finding.answers
    assert one.problems == ["stream_origin_unreadable"]


def test_an_instance_that_hangs_does_not_hold_up_the_others():
    network = origin_network.Network(_names("a", 3))
    one = network.instances["a-0"]
    network.instances["a-2"].exchange.record(_KEY, ["lm"], _V["v1"])
    network.instances["a-1"].handlers[origin_exchange.PATH] = lambda fields: (
        gevent.sleep(3600)
    )
    one.exchange.origins = stream_origins.StreamOrigins()
    assert one.exchange.find(_KEY, ["lm"]).by == "a-2"
