"""An instance that missed configurations puts the newest in force in time.

Guards against a failure seen on two instances of 87: they rejected callers
permanently (401, 404) by configurations that were five to ten seconds old, for
up to four seconds after they had reached the store again, where a configuration
had to be in force within 3 s.

They had been cut off from the store for twelve seconds, in which it accepted 38
versions of 80 kB. Its change feed contains every version since the known one,
1 MB at a time. Over a link of 5 Mbit/s the first response took 2.6 s and ended
with a version that had been replaced five seconds before. The instance waited
another 0.75 s to coalesce changes, and the next response took 2.3 s more, as
changes continued. The log showed 17 and 19 versions put in force at once while
the link was saturated, and responses of up to 1.42 MB.

The time to catch up grew with the number of versions missed, although only the
newest matters. In addition, a response that the store had truncated was treated
as complete, so that the age of the configuration was underestimated. The
simulation runs the real follower in virtual time and failed in the same way.
"""

import heapq
import itertools
import math
import os
import random
import types

import pytest
import result

from irisshelf.catalog import model
from irisshelf.catalog import position
from irisshelf.coordination import shared_watch
from irisshelf.coordination import table_watch
from irisshelf.gateway import instance as instance_module
from irisshelf.gateway import settings
from irisshelf.gateway.knowledge import follower
from irisshelf.observe import decision_log
from irisshelf.platform import http_dialect
from irisshelf.store import feed

_Role = shared_watch.Role
_LINK_BYTES_S = 625_000
_MAX_RESPONSE_BYTES = 1_330_000
# A response of at least this size may have been truncated.
_COMPLETE_BELOW_BYTES = 600_000
# Bounds apply again this long after an outage.
_RECOVERY_S = 3.0
_STORE_CLOCK_S = 1000.0
_CONNECT_TIMEOUT_S = 0.4


def _at(revision):
    return position.Position(era=0, revision=revision)


class _EndError(Exception):
    """The simulation has ended."""


class _Clock:
    """Virtual time; due actions run while the simulated instance waits."""

    def __init__(self, *, end_s):
        self.now = 0.0
        self._end_s = end_s
        self._due = []
        self._order = itertools.count()

    def at(self, when_s, action):
        heapq.heappush(self._due, (when_s, next(self._order), action))

    def until(self, when_s, woken=lambda: False):
        while self._due and self._due[0][0] <= when_s:
            if woken():
                return
            self.now, _, action = heapq.heappop(self._due)
            action()
            if self.now >= self._end_s:
                raise _EndError
        if not woken():
            self.now = max(self.now, when_s)

    def sleep(self, span_s):
        self.until(self.now + span_s)

    def monotonic(self):
        return self.now


class _Event:
    """Replacement of gevent's event in virtual time."""

    def __init__(self, clock):
        self._clock = clock
        self._set = False

    def set(self):
        self._set = True

    def clear(self):
        self._set = False

    def is_set(self):
        return self._set

    def wait(self, timeout=1e9):
        self._clock.until(self._clock.now + timeout, woken=self.is_set)
        return self._set


class _Store(feed.Feed):
    """Store of all configuration versions, behind the instance's link."""

    def __init__(self, *, clock, body_bytes):
        self._clock = clock
        self._body_bytes = body_bytes
        self.accepted = [(0.0, 1)]
        self.outage = (0.0, 0.0)
        self.fetched_bytes = 0

    @property
    def version(self):
        return self.accepted[-1][1]

    def accept(self):
        self.accepted.append((self._clock.now, self.version + 1))

    def reset(self, table):
        pass

    def decode(self, raw):
        raise NotImplementedError("no data is relayed in this simulation")

    def snapshot(self, table):
        if self.is_unavailable():
            return self._unavailable()
        return self._respond(table, [self.version], self.version, whole=True)

    def changes(self, table, *, after, wait_s):
        if self.is_unavailable():
            return self._unavailable()
        changed = lambda: self.version > after.revision  # noqa: E731
        self._clock.until(self._clock.now + wait_s, woken=changed)
        if self.is_unavailable():
            return self._unavailable()
        after = after.revision
        versions = [v for _, v in self.accepted if v > after]
        limit = max(1, _MAX_RESPONSE_BYTES // self._body_bytes)
        included = versions[:limit]
        revision = included[-1] if included else after
        return self._respond(table, included, revision, whole=False)

    def is_unavailable(self):
        return self.outage[0] <= self._clock.now < self.outage[1]

    def _unavailable(self):
        self._clock.sleep(_CONNECT_TIMEOUT_S)
        return result.Err(feed.Unavailable(detail="timed out"))

    def _respond(self, table, versions, revision, *, whole):
        store_s = self._clock.now + _STORE_CLOCK_S
        size_bytes = self._body_bytes * len(versions)
        self.fetched_bytes += size_bytes
        transfer_s = size_bytes / _LINK_BYTES_S
        self._clock.sleep(0.004 + transfer_s)
        items = tuple(
            feed.DecodedRow(key="config", value=_catalog(v)) for v in versions
        )
        return result.Ok(
            feed.Batch(
                items=items,
                position=_at(revision),
                store_s=store_s,
                is_snapshot=whole,
                complete=whole or size_bytes < _COMPLETE_BELOW_BYTES,
                size_bytes=size_bytes,
                transfer_s=transfer_s,
            )
        )


class _Watcher:
    """Sends the updates that the instance's watcher would send."""

    def __init__(self, *, clock, store, role):
        self._clock = clock
        self._store = store
        self._role = role
        # Whether the store is unavailable for the watcher as well.
        self.shares_outage = False
        # Time from which its updates are lost.
        self.lost_from_s = math.inf

    def subscribe(self, handler):
        self._handler = handler
        self._clock.at(0.1, self._send_update)

    def role(self):
        return self._role

    def broadcast(self, update):
        pass

    def _send_update(self):
        silent = self.shares_outage and self._store.is_unavailable()
        silent |= self._clock.now >= self.lost_from_s
        if self._role is _Role.READER and not silent:
            version = self._store.version
            self._handler(
                shared_watch.CatalogUpdate(
                    store_s=self._clock.now + _STORE_CLOCK_S,
                    version=version,
                    position=_at(version),
                )
            )
        self._clock.at(self._clock.now + 0.5, self._send_update)


def _catalog(version):
    return model.Catalog(
        version=version,
        routes=(),
        services={},
        teams=(),
        keys={},
        limits=model.CallerLimits(),
    )


class _Simulation:
    """One instance that follows the store, checked ten times a second."""

    def __init__(
        self,
        monkeypatch,
        *,
        role,
        bound_s,
        body_bytes,
        end_s,
        overload=None,
    ):
        self._overload = overload or settings.Overload()
        self.clock = _Clock(end_s=end_s)
        self.store = _Store(clock=self.clock, body_bytes=body_bytes)
        self._bound_s = bound_s
        # Both as (time, by how much), in seconds.
        self.late = []
        self.underestimated = []
        self._patch(monkeypatch)
        self.inst = self._instance(bound_s)
        self.watcher = _Watcher(clock=self.clock, store=self.store, role=role)
        self._follower = follower.Follower(
            inst=self.inst, store=self.store, updates=self.watcher
        )
        self.clock.at(1.0, self._check)

    def _patch(self, monkeypatch):
        clock = self.clock
        times = types.SimpleNamespace(now=clock.monotonic)
        sleeps = types.SimpleNamespace(sleep=clock.sleep)
        events = types.SimpleNamespace(Event=lambda: _Event(clock))
        monkeypatch.setattr(follower, "boottime", times)
        monkeypatch.setattr(follower, "gevent", sleeps)
        monkeypatch.setattr(follower, "event", events)

    def _instance(self, bound_s):
        bounds = settings.Bounds(
            catalog_in_force_ms=bound_s * 1000,
            server_leaving_ms=bound_s * 1000,
            keys_strict=False,
        )
        cfg = settings.Settings(
            instance="entry-1",
            data_centre="a",
            listen=settings.Listen(front="", ready="", metrics="", peers=""),
            store="",
            bounds=bounds,
            overload=self._overload,
        )
        self._log_fd = os.open(os.devnull, os.O_WRONLY)
        log = decision_log.DecisionLog(instance="entry-1", fd=self._log_fd)
        return instance_module.Instance(
            cfg=cfg,
            dialect=http_dialect.HttpDialect(),
            log=log,
            rng=random.Random(5),
            now=self.clock.monotonic,
        )

    def change_every(self, gap_s, *, begin_s, end_s):
        count = int((end_s - begin_s) / gap_s)
        for number in range(count):
            self.clock.at(begin_s + number * gap_s, self.store.accept)

    def run(self):
        try:
            self._follower.run(feed.Table.CATALOG)
        except _EndError:
            os.close(self._log_fd)

    def _check(self):
        now = self.clock.now
        catalog = self.inst.catalog
        known = catalog.version if catalog else 0
        missed = [at_s for at_s, v in self.store.accepted if v > known]
        if missed:
            behind_s = now - missed[0]
            excess_s = behind_s - self.inst.freshness.age_s(now)
            if excess_s > 1e-6:
                self.underestimated.append((round(now, 1), round(excess_s, 2)))
            recovered = now - self.store.outage[1] > _RECOVERY_S
            if recovered and behind_s > self._bound_s:
                self.late.append((round(now, 1), round(behind_s, 2)))
        self.clock.at(now + 0.1, self._check)


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
@pytest.mark.parametrize("gap_s", [0.25, 0.33, 0.8])
def test_versions_missed_in_an_outage_are_not_fetched_one_by_one(
    monkeypatch, role, gap_s
):
    sim = _Simulation(
        monkeypatch, role=role, bound_s=3.0, body_bytes=80_000, end_s=60.0
    )
    sim.change_every(gap_s, begin_s=2.0, end_s=55.0)
    sim.store.outage = (10.0, 22.0)
    sim.run()
    assert (sim.late, sim.underestimated) == ([], [])


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
@pytest.mark.parametrize("gap_s", [0.3, 0.5, 1.0])
def test_successive_changes_of_a_large_configuration_do_not_queue_up(
    monkeypatch, role, gap_s
):
    """With 1,600 routes, one version takes a second over the link."""
    sim = _Simulation(
        monkeypatch, role=role, bound_s=4.0, body_bytes=630_000, end_s=60.0
    )
    sim.change_every(gap_s, begin_s=2.0, end_s=55.0)
    sim.run()
    assert (sim.late, sim.underestimated) == ([], [])


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
def test_burst_exceeding_one_response_is_not_treated_as_known(
    monkeypatch, role
):
    sim = _Simulation(
        monkeypatch, role=role, bound_s=4.0, body_bytes=300_000, end_s=60.0
    )
    for begin_s in range(5, 50, 6):
        sim.change_every(0.05, begin_s=begin_s, end_s=begin_s + 0.3)
    sim.run()
    assert (sim.late, sim.underestimated) == ([], [])


@pytest.mark.parametrize(
    ("update_revision", "since_s", "expected"),
    [
        pytest.param(None, 0.3, False, id="up-to-date"),
        pytest.param(None, 0.7, True, id="not-recently"),
        pytest.param(5, 0.3, False, id="update-with-known-version"),
        pytest.param(6, 0.3, True, id="update-with-newer-version"),
    ],
)
def test_should_read_snapshot(update_revision, since_s, expected):
    watch = table_watch.TableWatch()
    assert watch.should_read_snapshot(0.0)
    watch.record_response(_at(5), 10.0, whole=True)
    watch.record_caught_up(10.0)
    if update_revision is not None:
        verdict = shared_watch.Verdict.FETCH
        if update_revision == 5:
            verdict = shared_watch.Verdict.CURRENT
        watch.record_update(10.0, _at(update_revision), verdict)
    assert watch.should_read_snapshot(10.0 + since_s) is expected


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
@pytest.mark.parametrize("body_bytes", [80_000, 630_000])
def test_unchanged_configuration_is_fetched_once(monkeypatch, role, body_bytes):
    """Beside the first fetch, at most one more follows an outage."""
    sim = _Simulation(
        monkeypatch, role=role, bound_s=4.0, body_bytes=body_bytes, end_s=60.0
    )
    sim.store.outage = (20.0, 30.0)
    sim.run()
    assert sim.store.fetched_bytes <= 2 * body_bytes


@pytest.mark.parametrize("changes", [0, 3])
@pytest.mark.parametrize("body_bytes", [80_000, 630_000])
def test_reader_cut_off_from_its_watcher_fetches_nothing_twice(
    monkeypatch, body_bytes, changes
):
    """Guards against repeated reads that took up a tenth of the link.

    Instances are cut off from each other but reach the store, or the store
    rejects the watcher. A repeated read of the same configuration counted as a
    change, after which a reader waits to coalesce more. That wait is so long
    that the next read is a snapshot, which transfers the configuration again.
    """
    sim = _Simulation(
        monkeypatch,
        role=_Role.READER,
        bound_s=3.0,
        body_bytes=body_bytes,
        end_s=60.0,
    )
    sim.watcher.lost_from_s = 5.0
    sim.change_every(10.0, begin_s=20.0, end_s=20.0 + 10.0 * changes)
    sim.run()
    assert (sim.late, sim.underestimated) == ([], [])
    # The first, one when the updates end, and two for each change.
    assert sim.store.fetched_bytes <= 2 * (1 + changes) * body_bytes


@pytest.mark.parametrize("gap_s", [0.1, 0.3, 0.6])
def test_reads_of_a_long_configuration_leave_half_of_the_link_to_callers(
    monkeypatch, gap_s
):
    """Guards against responses that wait for configurations.

    The watcher has lost the store while changes go on, so that a reader reads
    each of them itself; the time limit holds.
    """
    overload = settings.Overload(fleet_admission=settings.FleetAdmission.ON)
    sim = _Simulation(
        monkeypatch,
        role=_Role.READER,
        bound_s=3.0,
        body_bytes=310_000,
        end_s=40.0,
        overload=overload,
    )
    sim.watcher.lost_from_s = 4.0
    sim.change_every(gap_s, begin_s=5.0, end_s=38.0)
    sim.run()
    assert (sim.late, sim.underestimated) == ([], [])
    assert sim.store.fetched_bytes / _LINK_BYTES_S <= 0.5 * 35.0


@pytest.mark.parametrize("end_s", [18.0, 18.4, 18.8, 19.2, 19.6, 20.0])
def test_update_wakes_a_reader_that_waits_to_retry(monkeypatch, end_s):
    """Otherwise it waits up to 2.2 s longer while callers are rejected.

    An attempt that times out takes 0.4 s, and the watcher's next update up to
    0.5 s more.
    """
    sim = _Simulation(
        monkeypatch,
        role=_Role.READER,
        bound_s=4.0,
        body_bytes=80_000,
        end_s=end_s + 1.1,
    )
    sim.change_every(0.5, begin_s=2.0, end_s=end_s)
    sim.store.outage = (10.0, end_s)
    sim.watcher.shares_outage = True
    sim.run()
    assert sim.inst.catalog.version == sim.store.version
