"""Keeps the origins of streams in the store, for when all instances are killed.

Instances keep origins for each other, so that callers may resume streams after
some of them are gone. If all are killed at the same moment, nobody knows which
release began a stream, and every resumption would be rejected until no stream
can be older than the restart.

Each instance therefore writes the origins of its streams to the store, and
which releases there have been lately, in a few records that it uses in turn,
one for each span of time. All records are read when nobody else knows a stream.
A stream that began within the last interval before the kill is not on record;
it goes on if only one release can have begun it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import cbor2
import gevent
import msgspec
import result

from irisshelf.catalog import releases as releases_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import release_exchange
from irisshelf.gateway.servers import origin_registry
from irisshelf.observe import decision_log
from irisshelf.store import records as records_module

# Records of an instance. Those before the current one hold what has begun
# within the life of origins.
_RECORDS = 8
_NUMBERS = frozenset(map(str, range(_RECORDS)))
# 42 KB, encoded 56 KB; the store accepts 64 KB.
_MAX_ORIGINS = 3000
_ORIGIN_BYTES = stream_origins.KEY_BYTES + releases_module.KEY_BYTES
# The store accepts 300 writes a second of a part from all instances together,
# and charges each one.
_MIN_INTERVAL_S = 0.15
_WRITES_PER_S = 200.0
# While only one release can have begun a stream, its origin is needed only if
# another one follows.
_MIN_ONE_RELEASE_INTERVAL_S = 1.0
_ONE_RELEASE_WRITES_PER_S = 20.0
# After a call that has failed.
_RETRY_S = 1.0
# Records are read again to find a stream at these intervals at least, so that
# callers that resume unknown streams do not load the store.
_MIN_READ_INTERVAL_S = 0.5
_READS_PER_S = 100.0
# How long a request waits for the records to be read.
_MAX_WAIT_S = 1.0
_SEPARATOR = "."
# Instead of a release, where there were several.
_CONTRADICTING = bytes(releases_module.KEY_BYTES)


class _Content(msgspec.Struct, array_like=True):
    # When it was written, on the store's clock.
    written_s: float
    # Keys of streams and of releases.
    origins: bytes
    releases: list[release_exchange.ServiceReleases] = []


class StoredOrigins:
    """Writes the origins of this instance, and reads those of all.

    Args:
        name: Name of this instance.
        store: The records.
        registry: The origins that this instance knows; those that are read
            are added, and its own written.
        history: The releases that it knows; likewise.
        has_recent_list: Returns whether it has recently received the list of
            servers, so that it knows all releases until then.
        count_members: Returns the number of instances.
        log: The decision log.
        counts: Metrics.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        store: records_module.Records,
        registry: origin_registry.OriginRegistry,
        history: releases_module.ReleaseHistory,
        has_recent_list: Callable[[], bool],
        count_members: Callable[[], int],
        log: decision_log.DecisionLog,
        counts: metrics.Metrics,
        now: Callable[[], float],
    ):
        self._name = name
        self._store = store
        self._origins = registry.origins
        self._history = history
        self._has_recent_list = has_recent_list
        registry.on_recorded = self.record
        registry.find_stored = self.find
        self._count_members = count_members
        self._log = log
        self._metrics = counts
        self._now = now
        # The store's clock minus that of this instance.
        self._offset_s = 0.0
        # By number, the version of each record of this instance.
        self._versions: dict[int, int] = {}
        self._versions_known = False
        # Whether they have been read since the list of servers is known. What
        # they tell of the time until then is not complete before.
        self._caught_up = False
        # The record that is written now; None until all have been read.
        self._current: int | None = None
        self._current_began_s = now()
        # Its origins, by stream, and what it says of releases.
        self._content: dict[bytes, bytes] = {}
        self._written_releases: frozenset[tuple[str, bytes, bool]] = frozenset()
        self._written_s = float("-inf")
        self._unwritten = False
        self._read_s = float("-inf")
        self._reading: gevent.Greenlet | None = None
        # By key, the version of a record that was reported as unreadable.
        self._unreadable: dict[str, int] = {}
        # Calls that have failed lately.
        self._failing: set[str] = set()

    def record(self, key: bytes, release: bytes | None) -> None:
        """Records the origin of a stream that is relayed here.

        Args:
            key: Key of the stream.
            release: Key of its release; None if there were several.
        """
        encoded = release or _CONTRADICTING
        if self._content.get(key) == encoded:
            return
        if key not in self._content and len(self._content) >= _MAX_ORIGINS:
            del self._content[next(iter(self._content))]
            self._metrics.origins_dropped.inc()
        self._content[key] = encoded
        self._unwritten = True

    def find(self, key: bytes) -> bool:
        """Reads all records for a stream that nobody knows.

        Returns:
            Whether its origin is known now.
        """
        is_due = self._now() - self._read_s >= self._read_interval_s()
        if is_due and (self._reading is None or self._reading.ready()):
            self._reading = gevent.spawn(self._read)
        if self._reading is not None:
            self._reading.join(timeout=_MAX_WAIT_S)
        return self._origins.get(key, self._now()) is not None

    def run(self) -> None:
        """Writes origins until the greenlet is killed."""
        while True:
            done = self.flush()
            gevent.sleep(self.interval_s if done else _RETRY_S)

    def flush(self) -> bool:
        """Writes the current record if that is due.

        Returns:
            Whether the store could be used, if it was needed.
        """
        if not (self._versions_known and self._caught_up) and not self._read():
            return False
        now = self._now()
        if now - self._current_began_s >= self._span_s():
            # What is written of releases counts from when it was written, so
            # that this is done even if nothing is new.
            if not self._write():
                return False
            # What has begun during the write is written first.
            if not self._unwritten:
                self._begin_record((self._current + 1) % _RECORDS)
        elif self._is_due(now):
            return self._write()
        return True

    def _is_due(self, now: float) -> bool:
        releases = self._known_releases()
        if releases != self._written_releases:
            return True
        services = {name for name, _, _ in releases}
        are_all_known = all(is_known for _, _, is_known in releases)
        waits = bool(
            releases and are_all_known and len(releases) == len(services)
        )
        waited_s = now - self._written_s
        return self._unwritten and (
            not waits or waited_s >= self._one_release_interval_s()
        )

    @property
    def interval_s(self) -> float:
        """Shortest interval between writes, in seconds."""
        return max(_MIN_INTERVAL_S, self._count_members() / _WRITES_PER_S)

    def _one_release_interval_s(self) -> float:
        return max(
            _MIN_ONE_RELEASE_INTERVAL_S,
            self._count_members() / _ONE_RELEASE_WRITES_PER_S,
        )

    def _read_interval_s(self) -> float:
        return max(_MIN_READ_INTERVAL_S, self._count_members() / _READS_PER_S)

    def _span_s(self) -> float:
        """Returns for how long a record is the current one.

        One of the others is about to be written over, and one is incomplete.
        """
        return self._origins.life_s / (_RECORDS - 2)

    def _begin_record(self, number: int) -> None:
        self._current = number
        self._current_began_s = self._now()
        self._content = {}
        self._unwritten = False

    def _write(self) -> bool:
        """Writes the current record; returns whether that has succeeded."""
        content = dict(self._content)
        releases = self._known_releases()
        written = self._store.write(
            f"{self._name}{_SEPARATOR}{self._current}",
            self._encode(content),
            version=self._versions.get(
                self._current, records_module.NO_VERSION
            ),
        )
        if isinstance(written, result.Err):
            # It may be done later, so that the version has to be read.
            self._versions_known = False
            self._report_failure("write", written.err_value)
            return False
        self._report_success("write")
        self._versions[self._current] = written.ok_value.version
        self._unwritten = self._content != content
        self._written_releases = releases
        self._written_s = self._now()
        return True

    def _known_releases(self) -> frozenset[tuple[str, bytes, bool]]:
        """Returns the recent releases of each service.

        With each is whether all releases are known that may have begun a stream
        which is resumed now.
        """
        now = self._now()
        return frozenset(
            (
                name,
                release,
                self._history.reach_s(name, now) >= self._history.horizon_s,
            )
            for name in self._history.services()
            for release in self._history.recent(name, now)
        )

    def _encode(self, content: Mapping[bytes, bytes]) -> bytes:
        now = self._now()
        releases = []
        if self._has_recent_list():
            releases = release_exchange.describe(self._history, now)
        return cbor2.dumps(
            msgspec.to_builtins(
                _Content(
                    written_s=now + self._offset_s,
                    origins=b"".join(map(b"".join, content.items())),
                    releases=releases,
                ),
                builtin_types=(bytes,),
            )
        )

    def _read(self) -> bool:
        """Reads all records; returns whether that has succeeded."""
        is_listed = self._has_recent_list()
        read = self._store.read()
        self._read_s = self._now()
        if isinstance(read, result.Err):
            self._report_failure("read", read.err_value)
            return False
        self._report_success("read")
        self._caught_up = self._caught_up or is_listed
        snapshot = read.ok_value
        self._offset_s = snapshot.store_s - self._now()
        found = [(one, self._decode(one)) for one in snapshot.records]
        found.sort(key=lambda pair: pair[1].written_s)
        latest = -1
        for record, content in found:
            self._merge(content, snapshot.store_s)
            number = self._own_number(record.key)
            if number is not None:
                self._versions[number] = record.version
                latest = number
        self._versions_known = True
        if self._current is None:
            # Those of an earlier process of this name are kept.
            self._current = (latest + 1) % _RECORDS
        return True

    def _own_number(self, key: str) -> int | None:
        """Returns the number of a record; None if it is another instance's."""
        name, _, number = key.rpartition(_SEPARATOR)
        if name != self._name or number not in _NUMBERS:
            return None
        return int(number)

    def _decode(self, record: records_module.Record) -> _Content:
        try:
            return msgspec.convert(cbor2.loads(record.data), _Content)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            if self._unreadable.get(record.key) != record.version:
                self._unreadable[record.key] = record.version
                self._log.warning(
                    "stored_origins_unreadable", key=record.key, detail=str(exc)
                )
            return _Content(written_s=0.0, origins=b"")

    def _merge(self, content: _Content, store_s: float) -> None:
        """Adds what a record tells, as old as the record is."""
        now = self._now()
        age_s = max(0.0, store_s - content.written_s)
        if age_s > self._origins.life_s:
            return
        release_exchange.merge(
            self._history, content.releases, now, age_s=age_s
        )
        for key, encoded in _split(content.origins):
            release = None if encoded == _CONTRADICTING else encoded
            known = self._origins.get(key, now)
            if known is None or known.release not in (None, release):
                self._origins.record(key, release, now - age_s, own=False)

    def _report_failure(self, call: str, failure: object) -> None:
        """Logs that a kind of call fails, once."""
        if call not in self._failing:
            self._failing.add(call)
            self._log.warning(
                "stored_origins_unavailable", call=call, detail=str(failure)
            )

    def _report_success(self, call: str) -> None:
        if call in self._failing:
            self._failing.remove(call)
            self._log.instance("stored_origins_available", call=call)


def _split(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yields the keys of streams and of their releases."""
    for start in range(0, len(data) - _ORIGIN_BYTES + 1, _ORIGIN_BYTES):
        one = data[start : start + _ORIGIN_BYTES]
        yield one[: stream_origins.KEY_BYTES], one[stream_origins.KEY_BYTES :]
