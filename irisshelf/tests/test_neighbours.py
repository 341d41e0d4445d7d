"""Instances of a data centre that follow each other instead of the store."""

import os
import time

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.catalog import freshness
from irisshelf.coordination import roster
from irisshelf.gateway import listener
from irisshelf.gateway import neighbours
from irisshelf.gateway import shared_feed
from irisshelf.observe import decision_log
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import store as store_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.store import feed
from irisshelf.store import mirror
from irisshelf.transport import server as http

_LIMITS = http.Limits(head_bytes=9999, body_bytes=9999, head_s=5.0, idle_s=5.0)


def _member(name, data_centre="a"):
    return roster.Member(
        name=name, address=f"10.0.0.1:{name}", data_centre=data_centre
    )


def _roster(own, others, now=0.0):
    made = roster.Roster(own=_member(own))
    for name in others:
        made.heard(_member(name), now)
    return made


_NAMES = [str(number) for number in range(8)]


def test_all_instances_agree_on_two_keepers():
    followed = {}
    for name in _NAMES:
        others = [n for n in _NAMES if n != name]
        followed[name] = _roster(name, others).keeper(1.0)
    keepers = {name for name, whom in followed.items() if whom is None}
    assert len(keepers) == roster.KEEPERS
    assert {w.name for w in followed.values() if w} <= keepers


def test_an_instance_alone_asks_the_store():
    assert _roster("1", []).keeper(1.0) is None


def test_other_data_centres_are_not_followed():
    made = roster.Roster(own=_member("1"))
    for name in _NAMES[2:]:
        made.heard(_member(name, "b"), 0.0)
    assert made.keeper(1.0) is None


@pytest.mark.parametrize("how", ["failed", "left", "silent"])
def test_a_lost_keeper_is_replaced(how):
    name = next(
        n
        for n in _NAMES
        if _roster(n, [x for x in _NAMES if x != n]).keeper(1.0)
    )
    made = _roster(name, [n for n in _NAMES if n != name])
    first = made.keeper(1.0)
    now = 1.0
    if how == "failed":
        made.failed(first.address, 1.0)
    elif how == "left":
        made.left(first.name)
    else:
        now = roster.FORGET_S + 0.5
        for other in _NAMES:
            if other not in (name, first.name):
                made.heard(_member(other), now)
    assert made.keeper(now) != first


def test_old_news_of_an_instance_does_not_keep_it():
    made = _roster("1", ["2"], now=0.0)
    made.heard(_member("2"), -5.0)
    assert [m.name for m, _ in made.members("a", 5.0)] == ["2"]
    assert made.members("a", roster.FORGET_S + 0.1) == []


def _item(key, value):
    return feed.Item(key=key, value=value)


def _batch(revision, items, *, whole=False):
    return feed.Batch(
        items=tuple(_item(*pair) for pair in items),
        revision=revision,
        store_s=0.0,
        clock_s=0.0,
        whole=whole,
    )


@pytest.mark.parametrize(
    ("after", "expected"),
    [
        (-1, None),
        (4, None),
        (5, [("b", 2), ("a", None), ("b", 3)]),
        (6, [("a", None), ("b", 3)]),
        (7, [("a", None), ("b", 3)]),
        (8, []),
        (99, []),
    ],
)
def test_a_mirror_hands_on_what_changed(after, expected):
    copy = mirror.Mirror()
    copy.apply(_batch(5, [("a", 1)], whole=True))
    copy.apply(_batch(6, [("b", 2)]))
    copy.apply(_batch(8, [("a", None), ("b", 3)]))
    since = copy.since(after)
    assert (since and [(i.key, i.value) for i in since]) == (expected or since)
    assert (since is None) is (expected is None)
    assert [(i.key, i.value) for i in copy.whole()] == [("b", 3)]


def test_a_mirror_forgets_old_changes():
    copy = mirror.Mirror()
    copy.apply(_batch(0, [], whole=True))
    for revision in range(1, mirror.KEPT_BATCHES + 3):
        copy.apply(_batch(revision, [("a", revision)]))
    assert copy.since(1) is None
    assert copy.since(2) is not None


@pytest.mark.parametrize(
    ("as_of_s", "clock_s", "age_s"),
    [
        pytest.param(100.0, 100.0, 4.0, id="fresh-when-asked"),
        pytest.param(98.0, 100.0, 6.0, id="two-seconds-old"),
        pytest.param(98.0, 103.0, 9.0, id="clock-may-be-ahead"),
    ],
)
def test_what_a_neighbour_tells_is_never_taken_for_newer(
    as_of_s, clock_s, age_s
):
    fresh = freshness.Freshness()
    fresh.told(sent_s=1.0, received_s=1.5, store_s=as_of_s, clock_s=clock_s)
    assert fresh.age_s(5.0) == pytest.approx(age_s)


class _Instance:
    """One instance's neighbours, listening on loopback."""

    def __init__(self, name, store, seeds=()):
        self.fresh = freshness.Freshness()
        self._fd = os.open(os.devnull, os.O_WRONLY)
        log = decision_log.DecisionLog(instance=name, fd=self._fd)
        self.calls = []
        self._listener = listener.Listener(
            address="127.0.0.1:0",
            limits=lambda: _LIMITS,
            handle=lambda request, conn: self.own.handle(request, conn),
            refuse=lambda status, text: ([], b""),
            log=log,
        )
        self._listener.start()
        self.address = f"127.0.0.1:{self._listener.port}"
        self.own = neighbours.Neighbours(
            own=roster.Member(name=name, address=self.address, data_centre="a"),
            seeds=seeds,
            fresh=self.fresh,
            log=log,
        )
        self.feed = shared_feed.SharedFeed(
            store=store_feed.StoreFeed(address=store.address),
            neighbours=self.own,
            age_s=lambda: self.fresh.age_s(time.monotonic()),
            count=lambda table, ended: self.calls.append(ended),
        )

    def read(self, table):
        sent_s = time.monotonic()
        batch = self.feed.whole(table).unwrap()
        direct = batch.clock_s == batch.store_s
        self.fresh.told(
            sent_s=sent_s,
            received_s=time.monotonic(),
            store_s=batch.store_s,
            clock_s=None if direct else batch.clock_s,
        )
        return batch

    def close(self):
        self._listener.stop_accepting()
        os.close(self._fd)


@pytest.fixture
def trio():
    """A store and three instances that know each other."""
    store = store_module.Store().start()
    store.put("op", "config", world_module.config(3))
    store.put(
        "servers",
        "s1",
        {"service": "x", "address": "1.2.3.4:5", "zone": "a", "slots": 2},
    )
    made = [_Instance(name, store) for name in ("1", "2", "3")]
    for one in made:
        for other in made:
            one.own.roster.heard(other.own.roster.own, time.monotonic())
    made.sort(key=lambda one: one.own.roster.keeper(time.monotonic()) is None)
    yield store, made
    for one in made:
        one.close()
    store.close()


@pytest.mark.parametrize("table", list(feed.Table))
def test_a_keeper_hands_the_tables_on(trio, table):
    _, (follower, *keepers) = trio
    for keeper in keepers:
        keeper.read(feed.Table.CATALOG)
        keeper.read(table)
    told = follower.read(table)
    assert follower.calls == ["keeper_ok"]
    (item,) = told.items
    (expected,) = keepers[0].read(table).items
    assert (item.key, item.value) == (expected.key, expected.value)
    if table is feed.Table.SERVERS:
        assert isinstance(item.value, directory.BackendServer)
    assert follower.fresh.age_s(time.monotonic()) < 5.0


def test_a_change_comes_through_a_keeper(trio):
    store, (follower, *keepers) = trio
    for keeper in keepers:
        keeper.read(feed.Table.CATALOG)
    before = follower.read(feed.Table.CATALOG)
    store.put("op", "config", world_module.config(4))
    for keeper in keepers:
        keeper.feed.changes(
            feed.Table.CATALOG, after=before.revision, wait_s=1.0
        ).unwrap()
    batch = follower.feed.changes(
        feed.Table.CATALOG, after=before.revision, wait_s=1.0
    ).unwrap()
    assert [item.value.version for item in batch.items] == [4]
    assert set(follower.calls) == {"keeper_ok"}


@pytest.mark.parametrize("trouble", ["knows nothing", "dead", "stale"])
def test_without_a_fit_keeper_the_store_is_asked(trio, trouble):
    _, (follower, *keepers) = trio
    for keeper in keepers:
        if trouble == "dead":
            keeper.close()
        elif trouble == "stale":
            keeper.read(feed.Table.CATALOG)
            keeper.fresh.age_s = lambda now: 99.0
    told = follower.read(feed.Table.CATALOG)
    assert follower.calls == ["keeper_failed", "store_ok"]
    assert told.items[0].value.version == 3
    if trouble == "dead":
        for keeper in keepers:
            keeper._fd = os.open(os.devnull, os.O_WRONLY)


def test_instances_find_each_other_by_a_seed():
    store = store_module.Store().start()
    first = _Instance("1", store)
    others = [
        _Instance(name, store, seeds=(first.address,)) for name in ("2", "3")
    ]
    loops = [gevent.spawn(one.own.run) for one in [first, *others]]
    end_s = time.monotonic() + 10
    while time.monotonic() < end_s:
        known = [
            len(one.own.roster.members("a", time.monotonic()))
            for one in [first, *others]
        ]
        if known == [2, 2, 2]:
            break
        gevent.sleep(0.05)
    assert known == [2, 2, 2]
    gevent.killall(loops)
    others[0].own.say_goodbye()
    while time.monotonic() < end_s and _names(first) != ["3"]:
        gevent.sleep(0.05)
    assert _names(first) == ["3"]
    store.close()


def _names(one):
    return [m.name for m, _ in one.own.roster.members("a", time.monotonic())]
