"""Updates of the store's tables, broadcast as datagrams on loopback."""

import os
import random

import cbor2
import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.catalog import position
from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import shared_watch
from irisshelf.gateway import instance
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import follower
from irisshelf.gateway.knowledge import store_updates
from irisshelf.observe import decision_log
from irisshelf.platform import http_dialect
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module
from irisshelf.store import feed

_ANY = "127.0.0.1:0"
_KIND = bytes([datagrams_module.Kind.STORE_UPDATE])


class _Instance:
    """An instance that follows the store; it accepts no requests."""

    def __init__(self, name, store_address="127.0.0.1:9"):
        self._fd = os.open(os.devnull, os.O_WRONLY)
        self.problems = []
        log = decision_log.DecisionLog(instance=name, fd=self._fd)
        log.warning = lambda name, **fields: self.problems.append(name)
        self.datagrams = datagrams_module.Datagrams(address=_ANY, log=log)
        self.member = membership_module.Member(
            name=name, address=self.datagrams.address, data_centre="a"
        )
        self.membership = membership_module.Membership(own=self.member)
        self.updates = store_updates.StoreUpdates(
            datagrams=self.datagrams, membership=self.membership, log=log
        )
        self.inst = instance.Instance(
            cfg=settings.Settings(
                instance=name,
                data_centre="a",
                listen=settings.Listen(
                    front=_ANY, ready=_ANY, metrics=_ANY, peers=_ANY
                ),
                store=store_address,
            ),
            dialect=http_dialect.HttpDialect(),
            log=log,
            rng=random.Random(name),
        )
        self.follower = follower.Follower(
            inst=self.inst,
            store=store_feed.StoreFeed(address=store_address),
            updates=self.updates,
        )
        self._greenlets = [gevent.spawn(self.datagrams.run)]

    def follow(self):
        """Starts to follow the store."""
        self._greenlets += [
            gevent.spawn(self.follower.run, table) for table in feed.Table
        ]

    def stop(self):
        gevent.killall(self._greenlets)

    @property
    def version(self):
        return self.inst.catalog.version if self.inst.catalog else 0


def _introduce(instances):
    for one in instances:
        for other in instances:
            # In the future, so that members do not expire during the test.
            later_s = boottime.now() + 60.0
            one.membership.record_alive(other.member, later_s)


def _wait(condition):
    deadline_s = boottime.now() + 20
    while not condition() and boottime.now() < deadline_s:
        gevent.sleep(0.01)
    assert condition()


@pytest.fixture
def pair():
    created = [_Instance(name) for name in ("1", "2")]
    _introduce(created)
    yield created
    for one in created:
        one.stop()


def _server(number, state=directory.ServerState.READY):
    return directory.BackendServer(
        server_id=f"i-{number:08x}",
        service="pool",
        address=f"10.20.30.40:{8000 + number}",
        data_centre="far-away-e",
        slots=64,
        state=state,
    )


def _at(revision, *, era=3):
    return position.Position(era=era, revision=revision)


def _changes(count):
    return tuple(
        directory.Change(entry_id=f"i-{n:08x}", server=_server(n))
        for n in range(count)
    )


@pytest.mark.parametrize(
    "update",
    [
        shared_watch.CatalogUpdate(store_s=5.25, version=7, position=_at(90)),
        shared_watch.ServersUpdate(
            store_s=5.25, since=_at(80), position=_at(80)
        ),
        shared_watch.ServersUpdate(
            store_s=5.25,
            since=_at(80),
            position=_at(90),
            changes=(
                *_changes(10),
                directory.Change(entry_id="gone", server=None),
                directory.Change(
                    entry_id=_server(1).server_id,
                    server=_server(1, directory.ServerState.LEAVING),
                ),
            ),
        ),
    ],
)
def test_an_update_arrives_unchanged(pair, update):
    received = []
    pair[1].updates.subscribe(received.append)
    pair[0].updates.broadcast(update)
    _wait(lambda: received)
    assert received == [update]


def test_an_update_too_long_for_a_datagram_makes_readers_fetch(pair):
    received = []
    pair[1].updates.subscribe(received.append)
    update = shared_watch.ServersUpdate(
        store_s=1.0, since=_at(80), position=_at(90), changes=_changes(60)
    )
    pair[0].updates.broadcast(update)
    _wait(lambda: received)
    verdict = shared_watch.classify_servers_update(received[0], _at(85))
    assert verdict is shared_watch.Verdict.FETCH


@pytest.mark.parametrize(
    "content",
    [
        {"a": 1},
        ["a"],
        ["a", 5, 1.0, 0, 1, 1],
        ["a", 0, "now", 0, 1, 1],
        ["a", 0, 1.0, -1, 1, 1],
        ["a", 1, 1.0, 0, 9, 1, [["s", "x", "y", "z", 1, "tired"]]],
    ],
)
def test_invalid_updates_are_logged_once_and_dropped(pair, content):
    received = []
    pair[1].updates.subscribe(received.append)
    for _ in range(2):
        pair[1].datagrams.dispatch(_KIND + cbor2.dumps(content))
    assert (received, pair[1].problems) == ([], ["datagram_unreadable"])


def test_updates_of_another_data_centre_are_ignored(pair):
    received = []
    pair[1].updates.subscribe(received.append)
    pair[1].datagrams.dispatch(_KIND + cbor2.dumps(["b", 0, 1.0, 0, 1, 1]))
    assert (received, pair[1].problems) == ([], [])


@pytest.fixture
def one_server():
    created = server.Server(server_id="s1", service="crew", streaming=False)
    created.start()
    yield created
    created.close()


@pytest.fixture
def fleet(one_server):
    """Nine instances of a data centre that share one store."""
    the_store = store.Store().start()
    the_store.put("op", "config", world_module.config(1))
    the_store.put("servers", "s1", one_server.entry())
    instances = [_Instance(str(n), the_store.address) for n in range(9)]
    _introduce(instances)
    for one in instances:
        one.follow()
    _wait(lambda: all(one.inst.configured for one in instances))
    yield the_store, instances
    for one in instances:
        one.stop()
    the_store.close()


def _watcher(instances):
    (found,) = [
        one
        for one in instances
        if one.updates.role() is shared_watch.Role.WATCHER
    ]
    return found


def _is_ready(one):
    listed = one.inst.directory.get("s1")
    return listed is not None and listed.state is directory.ServerState.READY


def test_changes_in_the_store_reach_all_instances(fleet, one_server):
    the_store, instances = fleet
    the_store.put("op", "config", world_module.config(2))
    the_store.put("servers", "s1", one_server.entry("draining"))
    _wait(lambda: all(one.version == 2 for one in instances))
    _wait(lambda: not any(map(_is_ready, instances)))


def test_readers_receive_updates_without_changes(fleet):
    _, instances = fleet
    watcher = _watcher(instances)
    readers = [one for one in instances if one is not watcher]
    _wait(lambda: all(_current_updates(one) >= 2 for one in readers))
    assert _current_updates(watcher) == 0


def _current_updates(one):
    registry = one.inst.metrics.registry
    name = "irisshelf_store_updates_total"
    return registry.get_sample_value(name, {"verdict": "current"}) or 0


def test_readers_without_a_watcher_poll_the_store(fleet, one_server):
    the_store, instances = fleet
    watcher = _watcher(instances)
    watcher.stop()
    others = [one for one in instances if one is not watcher]
    the_store.put("op", "config", world_module.config(2))
    the_store.put("servers", "s1", one_server.entry("draining"))
    _wait(lambda: all(one.version == 2 for one in others))
    _wait(lambda: not any(map(_is_ready, others)))
    _wait(lambda: all(one.inst.keys_valid() for one in others))


def test_updates_suffice_for_readers_that_the_store_rejects(fleet):
    """The age of the keys is that of the watcher's response, never less."""
    the_store, instances = fleet
    watcher = _watcher(instances)
    the_store.mode = store.Mode.BUSY
    watcher.stop()
    others = [one for one in instances if one is not watcher]
    _wait(lambda: not any(one.inst.keys_valid() for one in others))
    now_s = boottime.now()
    for one in others:
        # The simulated store uses the machine's clock.
        one.follower.apply_update(
            shared_watch.CatalogUpdate(
                store_s=now_s, version=1, position=_at(10**6, era=0)
            )
        )
    assert all(one.inst.keys_valid() for one in others)
    for one in others:
        assert one.inst.freshness.age_s(now_s) >= 0
