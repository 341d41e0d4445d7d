"""The Retry-After time of requests rejected in an outage of the store.

Keys expire without the store's confirmation, and an outage may last some
seconds longer. Callers retry only once, so that Retry-After has to cover the
rest of the outage. If only this instance is cut off, however, another one can
serve the retry at once. The watcher's silence shows that others are cut off.
"""

import random

import pytest

from irisshelf import boottime
from irisshelf.catalog import position
from irisshelf.coordination import shared_watch
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing.direct import outage

_Role = shared_watch.Role


class _FakeUpdates:
    """Sets the role of the instance; broadcasts are only recorded."""

    def __init__(self, role):
        self._role = role
        self.broadcasts = []

    def subscribe(self, handler):
        self.deliver = handler

    def role(self):
        return self._role

    def broadcast(self, update):
        self.broadcasts.append(update)


@pytest.fixture
def short():
    bounds = settings.Bounds(key_withdrawn_ms=500)
    made = world_module.World(bounds=bounds)
    yield made
    made.close()


def _set_role(world, role):
    updates = _FakeUpdates(role)
    world.follower._updates = updates
    updates.subscribe(world.follower.apply_update)
    return updates


def _retry_after_s(world):
    answer = world.ask("/alarm/1")
    assert answer.status == 503
    return float(answer.headers["retry-after"])


@pytest.mark.parametrize("role", list(_Role))
def test_retry_after_is_long_only_if_others_are_cut_off_too(short, role):
    _set_role(short, role)
    short.store.mode = store.Mode.BUSY
    short.wait(lambda: not short.inst.keys_valid())
    # Long enough for a reader to consider its watcher silent.
    short.wait(lambda: short.inst.freshness.age_s(boottime.now()) > 1.0)
    retry_after_s = _retry_after_s(short)
    if role is _Role.READER:
        assert 0.7 <= retry_after_s <= 5.0
    else:
        assert retry_after_s <= 0.2


def test_there_is_no_long_retry_after_once_the_store_has_recovered(short):
    _set_role(short, _Role.READER)
    short.store.mode = store.Mode.BUSY
    short.wait(lambda: short.inst.outage_since_s is not None)
    short.store.mode = store.Mode.WELL
    short.wait(lambda: short.inst.outage_since_s is None)
    assert short.ask("/alarm/1").status == 200


def test_retry_after_is_short_while_the_watcher_has_the_store(short):
    """Only this reader is rejected and cannot read a new configuration."""
    updates = _set_role(short, _Role.READER)
    short.store.mode = store.Mode.BUSY

    def announce_newer_version():
        update = shared_watch.CatalogUpdate(
            store_s=boottime.now(),
            version=9,
            position=position.Position(era=0, revision=99),
        )
        updates.deliver(update)
        return not short.inst.keys_valid()

    short.wait(announce_newer_version)
    assert _retry_after_s(short) <= 0.2


def _immediate(lasted_s, rng):
    return 0.1


@pytest.mark.parametrize(
    ("retry_after_s", "least", "most"),
    [(_immediate, 0.0, 0.1), (outage.retry_after_s, 0.75, 1.0)],
)
def test_most_retries_are_served(retry_after_s, least, most):
    """Outages of 4.5 to 9 s; rejections start 3.8 s after the last response.

    A caller retries once, at most 4 s later.
    """
    rng = random.Random(7)
    served = 0
    for _ in range(2000):
        outage_s = rng.uniform(4.5, 9.0)
        rejected_s = rng.uniform(3.8, outage_s)
        retried_s = rejected_s + min(4.0, retry_after_s(rejected_s, rng))
        # Instances have a response within 0.3 s of the store's recovery.
        served += retried_s > outage_s + 0.3
    assert least <= served / 2000 < most
