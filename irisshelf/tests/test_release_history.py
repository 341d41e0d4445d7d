"""How far back an instance knows which releases have served."""

import math

import cbor2
import pytest

from irisshelf.catalog import position
from irisshelf.catalog import releases
from irisshelf.coordination import stream_origins
from irisshelf.gateway.knowledge import origin_questions
from irisshelf.gateway.knowledge import release_exchange
from irisshelf.store import feed
from irisshelf.testing import origin_network

_KEYS = {
    version: releases.release_key(origin_network.server(0, version))
    for version in ("v1", "v2")
}
_HORIZON_S = 24.0
_STREAM = stream_origins.stream_key("blue", "r1")


def _history(*lists):
    """Returns a history of lists: when, and the servers' starts."""
    history = releases.ReleaseHistory(life_s=60.0)
    for at_s, starts_s in lists:
        servers = [
            origin_network.server(number, born_s=born_s)
            for number, born_s in enumerate(starts_s)
        ]
        history.update(servers, at_s)
    return history


@pytest.mark.parametrize(
    ("lists", "now", "reach_s"),
    [
        pytest.param([], 100.0, 0.0, id="no-list"),
        pytest.param([(100.0, [None])], 101.0, 1.0, id="starts-not-reported"),
        pytest.param([(100.0, [0.0])], 100.0, 0.0, id="old-servers"),
        pytest.param([(100.0, [0.0, 99.0])], 101.0, 1.0, id="one-is-young"),
        pytest.param([(100.0, [0.0, None])], 101.0, 1.0, id="one-is-unknown"),
        pytest.param([(100.0, [99.0])], 101.0, 1.0, id="all-are-young"),
        pytest.param(
            [(100.0, []), (101.0, [101.0])], 102.0, 2.0, id="appears-later"
        ),
        pytest.param(
            [(100.0, []), (101.0, [0.0])], 102.0, 2.0, id="listed-again"
        ),
        pytest.param(
            [(100.0, []), (101.0, [-7100.0])], 102.0, 2.0, id="clock-behind"
        ),
        pytest.param(
            [(100.0, []), (101.0, [7300.0])], 102.0, 2.0, id="clock-ahead"
        ),
        pytest.param(
            [(100.0, [0.0]), (110.0, [0.0, 110.0])],
            110.0,
            10.0,
            id="one-starts-later",
        ),
    ],
)
def test_for_how_long_back_no_release_is_missing(lists, now, reach_s):
    """Guards against one listed release that is taken for the only one."""
    assert _history(*lists).reach_s("lm", now) == pytest.approx(reach_s)


@pytest.mark.parametrize(
    ("era", "revision", "count", "is_complete"),
    [
        pytest.param(0, 0, 0, True, id="empty-store"),
        pytest.param(0, 1, 0, True, id="configuration-alone"),
        pytest.param(0, 2, 0, False, id="maybe-one-removed"),
        pytest.param(0, 6, 5, True, id="servers-and-configuration"),
        pytest.param(0, 7, 5, False, id="maybe-one-removed-of-six"),
        pytest.param(1, 5, 5, False, id="restored-from-a-copy"),
    ],
)
def test_what_a_list_tells_of_removed_servers(
    make_world, era, revision, count, is_complete
):
    """Guards against a new fleet that rejects streams for its first seconds."""
    world = make_world()
    world.wait(lambda: world.inst.ready)
    world.follower.tables.servers.apply_batch(
        feed.Batch(
            items=tuple(
                feed.DecodedRow(
                    key=f"i-{number}", value=origin_network.server(number)
                )
                for number in range(count)
            ),
            position=position.Position(era=era, revision=revision),
            store_s=1.0,
            is_snapshot=True,
        ),
        world.inst.now(),
    )
    assert world.inst.servers.list_is_complete is is_complete
    history = releases.ReleaseHistory(life_s=60.0)
    history.update([], 100.0, is_complete=is_complete)
    history.update([origin_network.server(0)], 101.0)
    expected_s = math.inf if is_complete else 1.0
    assert history.reach_s("lm", 101.0) == expected_s


@pytest.mark.parametrize(
    ("ages_s", "reach_s", "known", "known_back_s"),
    [
        pytest.param({"v1": 0.0}, 500.0, {"v1"}, 500.0, id="same"),
        pytest.param(
            {"v1": 0.0, "v2": 5.0}, 500.0, {"v1", "v2"}, 500.0, id="2"
        ),
        pytest.param({"v2": 61.0}, 500.0, {"v1"}, 500.0, id="long-ago"),
        pytest.param({"v1": 0.0}, 0.0, {"v1"}, 1.0, id="knows-less"),
        pytest.param({}, 0.0, {"v1"}, 1.0, id="knows-nothing"),
    ],
)
def test_what_another_instance_knows_is_added(
    ages_s, reach_s, known, known_back_s
):
    """Guards against instances that start and know only what serves now."""
    history = _history((100.0, [None]))
    other = releases.ServiceHistory(
        ages_s={_KEYS[version]: age_s for version, age_s in ages_s.items()},
        reach_s=reach_s,
    )
    history.merge("lm", other, 101.0)
    assert history.recent("lm", 101.0) == {_KEYS[v] for v in known}
    assert history.reach_s("lm", 101.0) == known_back_s


def test_what_is_known_is_passed_on_over_several_instances():
    """Guards against a fleet whose instances are replaced one by one."""
    first = _history((0.0, [None]))
    first.update([origin_network.server(0, "v2")], 100.0)
    second = _history((110.0, []))
    second.merge("lm", first.describe("lm", 110.0), 110.0)
    third = _history((120.0, []))
    third.merge("lm", second.describe("lm", 120.0), 120.0)
    assert third.recent("lm", 120.0) == set(_KEYS.values())
    assert third.reach_s("lm", 120.0) == 120.0


def _names(count):
    return [(f"i-{number}", "a") for number in range(count)]


@pytest.mark.parametrize("is_current", [True, False])
def test_only_an_instance_in_contact_with_the_store_tells_what_it_knows(
    is_current,
):
    """Guards against what an instance that is cut off has missed."""
    network = origin_network.Network(_names(2))
    one = network.instances["i-0"]
    one.is_current = is_current
    one.list_servers(("v1",))
    network.now = 100.0
    answer = cbor2.loads(one.handlers[release_exchange.PATH]({}))
    assert bool(answer) is is_current
    reply = cbor2.loads(
        one.handlers["/stream-origin"](
            {"key": _STREAM.hex(), "services": "lm", "forward": ""}
        )
    )
    assert reply[-1] == (100.0 if is_current else 0.0)


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(b"\xff", id="no-cbor"),
        pytest.param(cbor2.dumps({}), id="no-list"),
        pytest.param(cbor2.dumps([["lm", {b"short": 0.0}, 1.0]]), id="key"),
        pytest.param(cbor2.dumps([["lm", {_KEYS["v1"]: -1.0}, 1.0]]), id="age"),
        pytest.param(
            cbor2.dumps([["lm", {_KEYS["v1"]: 0.0}, float("nan")]]), id="reach"
        ),
    ],
)
def test_an_invalid_history_is_not_applied(content):
    network = origin_network.Network(_names(1), versions=())
    (one,) = network.instances.values()
    one.releases.apply(content)
    assert one.problems == ["releases_unreadable"]
    assert not one.history.recent("lm", 0.0)


@pytest.mark.parametrize(
    "content",
    [
        pytest.param([b"", "127.0.0.1:1"], id="no-keys"),
        pytest.param([b"short", "127.0.0.1:1"], id="not-a-multiple"),
        pytest.param(["text", "127.0.0.1:1"], id="text"),
        pytest.param([_STREAM], id="no-address"),
        pytest.param([_STREAM, "evil.example:1"], id="name"),
        pytest.param([_STREAM, "127.0.0.1:0"], id="port-0"),
        pytest.param([_STREAM, "127.0.0.1:99999"], id="port-99999"),
        pytest.param([_STREAM, "127.0.0.1:x"], id="port-text"),
        pytest.param([_STREAM, "127.0.0.1:1", "yes"], id="forward-is-text"),
    ],
)
def test_an_invalid_question_is_refused(content):
    network = origin_network.Network(_names(2))
    one = network.instances["i-0"]
    with pytest.raises(ValueError, match=r".+"):
        one.questions(content)
    assert not network.datagrams


def test_searches_at_the_same_moment_share_questions():
    """Guards against a datagram for each stream that a killed instance had."""
    network = origin_network.Network(_names(20))
    one = network.instances["i-0"]
    sent = []
    questions = origin_questions.OriginQuestions(
        datagrams=one,
        peers=one,
        rng=None,
        timing=origin_questions.Timing(gather_s=0.001, gather_again_s=0.001),
        on_question=lambda keys, address: None,
        on_sent=sent.append,
        now=lambda: 0.0,
    )
    keys = [number.to_bytes(8) for number in range(50)]
    waits = [questions.ask(key) for key in keys]
    assert not sent
    network.instances["i-1"].exchange.origins.record(
        keys[7], _KEYS["v1"], 0.0, own=True
    )
    questions.flush()
    assert len(sent) == 19
    questions.record_known([keys[7]])
    assert [number for number, w in enumerate(waits) if w.is_set()] == [7]
