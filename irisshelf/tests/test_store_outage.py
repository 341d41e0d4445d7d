"""When callers come back who are refused as the store is away.

The pattern: keys hold no longer than the store confirms them, and the store
is away for some seconds more. A caller tries again once, so that it has to
come back late enough; another instance serves it at once if only this one is
cut off. That others are cut off too is known from the watcher's silence.
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


class _Updates:
    """Says which role the instance has; tells nobody anything."""

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


def _take_role(world, role):
    updates = _Updates(role)
    world.follower._updates = updates
    updates.subscribe(world.follower.apply_update)
    return updates


def _refused(world):
    answer = world.ask("/alarm/1")
    assert answer.status == 503
    return float(answer.headers["retry-after"])


@pytest.mark.parametrize("role", list(_Role))
def test_callers_return_late_only_where_others_are_cut_off_too(short, role):
    _take_role(short, role)
    short.store.mode = store.Mode.BUSY
    short.wait(lambda: not short.inst.keys_valid())
    # Time enough that the watch of a reader has been silent.
    short.wait(lambda: short.inst.freshness.age_s(boottime.now()) > 1.0)
    told_s = _refused(short)
    if role is _Role.READER:
        assert 0.7 <= told_s <= 5.0
    else:
        assert told_s <= 0.2


def test_no_caller_is_told_to_wait_for_long_once_the_store_is_back(short):
    _take_role(short, _Role.READER)
    short.store.mode = store.Mode.BUSY
    short.wait(lambda: short.inst.outage_since_s is not None)
    short.store.mode = store.Mode.WELL
    short.wait(lambda: short.inst.outage_since_s is None)
    assert short.ask("/alarm/1").status == 200


def test_a_reader_whose_watcher_is_well_sends_callers_on_at_once(short):
    """Only this one is turned away, and cannot read a new configuration."""
    updates = _take_role(short, _Role.READER)
    short.store.mode = store.Mode.BUSY

    def told_of_more():
        update = shared_watch.CatalogUpdate(
            store_s=boottime.now(),
            version=9,
            position=position.Position(era=0, revision=99),
        )
        updates.deliver(update)
        return not short.inst.keys_valid()

    short.wait(told_of_more)
    assert _refused(short) <= 0.2


def _at_once(lasted_s, rng):
    return 0.1


@pytest.mark.parametrize(
    ("retry_after_s", "least", "most"),
    [(_at_once, 0.0, 0.1), (outage.retry_after_s, 0.75, 1.0)],
)
def test_more_of_those_who_come_back_are_served(retry_after_s, least, most):
    """Outages of 4.5 to 9 s; refusals begin 3.8 s after the store's last word.

    A caller tries once more, 4 s later at the most.
    """
    rng = random.Random(7)
    served = 0
    for _ in range(2000):
        outage_s = rng.uniform(4.5, 9.0)
        came_s = rng.uniform(3.8, outage_s)
        back_s = came_s + min(4.0, retry_after_s(came_s, rng))
        # Instances have the store's word again within 0.3 s of its return.
        served += back_s > outage_s + 0.3
    assert least <= served / 2000 < most
