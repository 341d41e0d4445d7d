"""An instance that missed configurations has the newest in force in time.

Seen: two instances of 87 refused callers for good (401, 404) by configurations
that were five to ten seconds old, for up to four seconds after they had the
store again; a configuration had to be in force within 3 s.

How it came about: they had been cut off from the store for twelve seconds, in
which it accepted 38 versions of 80 kB. Its feed tells every version since the
one known, 1 MB at a time. Over a link of 5 Mbit/s the first answer took 2.6 s
and ended with a version that had been replaced five seconds before; the
instance waited another 0.75 s to gather changes, and the next answer took 2.3 s
more, as changes went on.

Cause: the time to catch up grew with the number of versions missed, though only
the newest counts. Beside it, an answer that the store had cut off was taken
for all there was, so that the age of the configuration was understated.

Proof: the log brought 17 and 19 versions into force at once while the link was
full; a line for each answer, added for it, shows 1.42 MB and the last row's
revision; this play, with the real follower, fails in the same way.
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
_ANSWER_BYTES = 1_330_000
# An answer of this size may have been cut off.
_SURELY_COMPLETE_BYTES = 600_000
# Trouble is over for the bounds after so long.
_CONTACT_S = 3.0
_STORE_CLOCK_S = 1000.0
_CONNECT_S = 0.4


def _at(revision):
    return position.Position(era=0, revision=revision)


class _EndError(Exception):
    """The play is over."""


class _Clock:
    """Virtual time; things that are due happen while somebody waits."""

    def __init__(self, *, end_s):
        self.now = 0.0
        self._end_s = end_s
        self._due = []
        self._order = itertools.count()

    def at(self, when_s, act):
        heapq.heappush(self._due, (when_s, next(self._order), act))

    def until(self, when_s, woken=lambda: False):
        while self._due and self._due[0][0] <= when_s:
            if woken():
                return
            self.now, _, act = heapq.heappop(self._due)
            act()
            if self.now >= self._end_s:
                raise _EndError
        if not woken():
            self.now = max(self.now, when_s)

    def sleep(self, span_s):
        self.until(self.now + span_s)

    def monotonic(self):
        return self.now


class _Event:
    """As gevent's, in virtual time."""

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
    """Every version of the configuration, behind one instance's link."""

    def __init__(self, *, clock, body_bytes):
        self._clock = clock
        self._body_bytes = body_bytes
        self.accepted = [(0.0, 1)]
        self.cut = (0.0, 0.0)
        self.brought_bytes = 0

    @property
    def version(self):
        return self.accepted[-1][1]

    def accept(self):
        self.accepted.append((self._clock.now, self.version + 1))

    def reset(self, table):
        pass

    def decode(self, raw):
        raise NotImplementedError("nothing is handed on in this play")

    def whole(self, table):
        if self.is_away():
            return self._unavailable()
        return self._answer(table, [self.version], self.version, whole=True)

    def changes(self, table, *, after, wait_s):
        if self.is_away():
            return self._unavailable()
        changed = lambda: self.version > after.revision  # noqa: E731
        self._clock.until(self._clock.now + wait_s, woken=changed)
        if self.is_away():
            return self._unavailable()
        after = after.revision
        versions = [v for _, v in self.accepted if v > after]
        most = max(1, _ANSWER_BYTES // self._body_bytes)
        told = versions[:most]
        revision = told[-1] if told else after
        return self._answer(table, told, revision, whole=False)

    def is_away(self):
        return self.cut[0] <= self._clock.now < self.cut[1]

    def _unavailable(self):
        self._clock.sleep(_CONNECT_S)
        return result.Err(feed.Unavailable(detail="timed out"))

    def _answer(self, table, versions, revision, *, whole):
        store_s = self._clock.now + _STORE_CLOCK_S
        size_bytes = self._body_bytes * len(versions)
        self.brought_bytes += size_bytes
        transfer_s = size_bytes / _LINK_BYTES_S
        self._clock.sleep(0.004 + transfer_s)
        items = tuple(
            feed.Item(key="config", value=_catalog(v)) for v in versions
        )
        return result.Ok(
            feed.Batch(
                items=items,
                position=_at(revision),
                store_s=store_s,
                whole=whole,
                complete=whole or size_bytes < _SURELY_COMPLETE_BYTES,
                size_bytes=size_bytes,
                transfer_s=transfer_s,
            )
        )


class _Watcher:
    """Tells the instance which version is the newest, as its watcher would."""

    def __init__(self, *, clock, store, role):
        self._clock = clock
        self._store = store
        self._role = role
        # Whether the store is away for the watcher as well.
        self.shares_cut = False
        # From when on its updates are lost.
        self.lost_from_s = math.inf

    def subscribe(self, handler):
        self._take = handler
        self._clock.at(0.1, self._beat)

    def role(self):
        return self._role

    def broadcast(self, update):
        pass

    def _beat(self):
        silent = self.shares_cut and self._store.is_away()
        silent |= self._clock.now >= self.lost_from_s
        if self._role is _Role.READER and not silent:
            version = self._store.version
            self._take(
                shared_watch.CatalogUpdate(
                    store_s=self._clock.now + _STORE_CLOCK_S,
                    version=version,
                    position=_at(version),
                )
            )
        self._clock.at(self._clock.now + 0.5, self._beat)


def _catalog(version):
    return model.Catalog(
        version=version,
        routes=(),
        services={},
        teams={},
        limits=model.CallerLimits(),
    )


class _Play:
    """One instance that follows the store, checked ten times a second."""

    def __init__(self, monkeypatch, *, role, bound_s, body_bytes, end_s):
        self.clock = _Clock(end_s=end_s)
        self.store = _Store(clock=self.clock, body_bytes=body_bytes)
        self._bound_s = bound_s
        # Both as (when, by how much), in seconds.
        self.late = []
        self.understated = []
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
        if known and missed:
            behind_s = now - missed[0]
            unseen_s = behind_s - self.inst.freshness.age_s(now)
            if unseen_s > 1e-6:
                self.understated.append((round(now, 1), round(unseen_s, 2)))
            in_touch = now - self.store.cut[1] > _CONTACT_S
            if in_touch and behind_s > self._bound_s:
                self.late.append((round(now, 1), round(behind_s, 2)))
        self.clock.at(now + 0.1, self._check)


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
@pytest.mark.parametrize("gap_s", [0.25, 0.33, 0.8])
def test_what_was_missed_while_cut_off_is_not_brought_one_by_one(
    monkeypatch, role, gap_s
):
    play = _Play(
        monkeypatch, role=role, bound_s=3.0, body_bytes=80_000, end_s=60.0
    )
    play.change_every(gap_s, begin_s=2.0, end_s=55.0)
    play.store.cut = (10.0, 22.0)
    play.run()
    assert (play.late, play.understated) == ([], [])


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
@pytest.mark.parametrize("gap_s", [0.3, 0.5, 1.0])
def test_changes_in_series_of_a_long_configuration_do_not_pile_up(
    monkeypatch, role, gap_s
):
    """1,600 routes: one version takes a second over the link."""
    play = _Play(
        monkeypatch, role=role, bound_s=4.0, body_bytes=630_000, end_s=60.0
    )
    play.change_every(gap_s, begin_s=2.0, end_s=55.0)
    play.run()
    assert (play.late, play.understated) == ([], [])


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
def test_a_burst_that_one_answer_cannot_hold_is_not_taken_for_known(
    monkeypatch, role
):
    play = _Play(
        monkeypatch, role=role, bound_s=4.0, body_bytes=300_000, end_s=60.0
    )
    for begin_s in range(5, 50, 6):
        play.change_every(0.05, begin_s=begin_s, end_s=begin_s + 0.3)
    play.run()
    assert (play.late, play.understated) == ([], [])


@pytest.mark.parametrize(
    ("told_revision", "since_s", "alone"),
    [
        pytest.param(None, 0.3, False, id="up-to-date"),
        pytest.param(None, 0.7, True, id="not-of-late"),
        pytest.param(5, 0.3, False, id="told-of-what-it-has"),
        pytest.param(6, 0.3, True, id="told-of-a-newer-one"),
    ],
)
def test_when_the_newest_is_read_alone(told_revision, since_s, alone):
    watch = table_watch.TableWatch()
    assert watch.should_read_snapshot(0.0)
    watch.record_response(_at(5), 10.0, whole=True)
    watch.record_caught_up(10.0)
    if told_revision is not None:
        verdict = shared_watch.Verdict.FETCH
        if told_revision == 5:
            verdict = shared_watch.Verdict.CURRENT
        watch.record_update(10.0, _at(told_revision), verdict)
    assert watch.should_read_snapshot(10.0 + since_s) is alone


@pytest.mark.parametrize(
    "role", [_Role.READER, _Role.STANDALONE, _Role.WATCHER]
)
@pytest.mark.parametrize("body_bytes", [80_000, 630_000])
def test_a_configuration_at_rest_is_brought_once(monkeypatch, role, body_bytes):
    """Beside the first, at most one more after a cut."""
    play = _Play(
        monkeypatch, role=role, bound_s=4.0, body_bytes=body_bytes, end_s=60.0
    )
    play.store.cut = (20.0, 30.0)
    play.run()
    assert play.store.brought_bytes <= 2 * body_bytes


@pytest.mark.parametrize("changes", [0, 3])
@pytest.mark.parametrize("body_bytes", [80_000, 630_000])
def test_a_reader_out_of_its_watchers_reach_brings_nothing_again(
    monkeypatch, body_bytes, changes
):
    """It read the same configuration over and over, a tenth of its link.

    The pattern: instances are cut off from each other and have the store, or
    the store turns the watcher away. What was read again counted as a change,
    after which a reader waits to gather more, and so long after an answer the
    newest is read alone, which brings it again.
    """
    play = _Play(
        monkeypatch,
        role=_Role.READER,
        bound_s=3.0,
        body_bytes=body_bytes,
        end_s=60.0,
    )
    play.watcher.lost_from_s = 5.0
    play.change_every(10.0, begin_s=20.0, end_s=20.0 + 10.0 * changes)
    play.run()
    assert (play.late, play.understated) == ([], [])
    # The first, one as the updates end, and twice each that has changed.
    assert play.store.brought_bytes <= 2 * (1 + changes) * body_bytes


@pytest.mark.parametrize("end_s", [18.0, 18.4, 18.8, 19.2, 19.6, 20.0])
def test_a_reader_between_two_tries_is_woken_by_its_watcher(monkeypatch, end_s):
    """Else it sleeps on for up to 2.2 s while callers are refused.

    A try that runs out takes 0.4 s, the watcher's next word up to 0.5 s more.
    """
    play = _Play(
        monkeypatch,
        role=_Role.READER,
        bound_s=4.0,
        body_bytes=80_000,
        end_s=end_s + 1.1,
    )
    play.change_every(0.5, begin_s=2.0, end_s=end_s)
    play.store.cut = (10.0, end_s)
    play.watcher.shares_cut = True
    play.run()
    assert play.inst.catalog.version == play.store.version
