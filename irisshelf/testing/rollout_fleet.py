"""Streams of a fleet in simulated time, while versions come and go.

Instances exchange origins of streams and releases as in production, discover
each other every few seconds, see the list of servers late, are killed and start
anew, knowing nothing. Callers resume streams that break at other instances.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
import types
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from irisshelf.catalog import model
from irisshelf.catalog import releases
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import catch_up
from irisshelf.gateway.requests import stream_binding
from irisshelf.testing import origin_network

_TICK_S = 0.05
_FLUSH_S = 0.25
_DISCOVERY_DELAYS_S = (0.3, 0.6, 1.2, 2.5)
_SEEDS_S = 5.0
# Of each other data centre, in a discovery response.
_SAMPLE = 3
# An instance is ready to serve so long after its start.
_READY_S = 0.6
# Instances that have been killed count after this time only.
_IN_TOUCH_S = 4.0
_STREAM_S = (0.5, 3.0)
_RESUMED_AFTER_S = (0.02, 0.3)
_RETRY_S = 0.5
# No stream that is resumed has begun earlier.
_HORIZON_S = 8.0
_SERVICE = origin_network.SERVICE
_TEAM = "blue"
_START_S = 100.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resumption:
    """A stream that a caller has resumed.

    Attributes:
        version: The version that began it.
        instance: Where it was resumed.
        in_touch: Whether that instance has run for long enough to count.
        served: Whether servers of the version are listed.
        known_by: How the version was known.
        goes_on_at: The version at which it goes on; None if it was rejected.
    """

    version: str
    instance: str
    in_touch: bool
    served: bool
    known_by: str
    goes_on_at: str | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Stream:
    request_id: str
    version: str
    instance: str
    ends_s: float


class _Log:
    """Keeps the fields of the latest line."""

    def __init__(self):
        self.fields: Mapping[str, Any] = {}

    def request(self, name: str, request_id: str, **fields: Any) -> None:
        """See ``DecisionLog.request``."""
        self.fields = fields


class RolloutFleet:
    """A fleet in simulated time.

    Args:
        count: Number of instances.
        data_centres: Number of data centres.
        streams_per_s: Resumable streams that begin in a second.
        seed: Draws everything.
        hot: Share of the streams that the first instance relays.
        list_lag_s: Longest time until an instance sees a change of the list.

    Attributes:
        resumptions: What has been resumed.
    """

    def __init__(
        self,
        *,
        count: int,
        data_centres: int = 3,
        streams_per_s: float,
        seed: int = 1,
        hot: float = 0.0,
        list_lag_s: float = 0.4,
    ):
        self.resumptions: list[Resumption] = []
        names = [(f"i-{n}", f"dc-{n % data_centres}") for n in range(count)]
        self._network = origin_network.Network(names, versions=())
        self._network.now = _START_S
        self._network.born_s["v1"] = _START_S
        self._rng = random.Random(seed)
        self._streams_per_s = streams_per_s
        self._hot = hot
        self._list_lag_s = list_lag_s
        self._data_centres = dict(names)
        self._seeds = [name for name, _ in names[:data_centres]]
        self._started_s: dict[str, float] = {}
        self._down: set[str] = set()
        self._versions: dict[str, int] = {"v1": 10}
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._ids = itertools.count()
        self._active: list[_Stream] = []
        self._metrics = metrics.Metrics()
        self._log = _Log()
        self._network.is_new = True
        for name, _ in names:
            self._start(name, is_new=True)
        self._network.is_new = False

    @property
    def now_s(self) -> float:
        """Seconds since the fleet's start."""
        return self._network.now - _START_S

    def bytes_per_s(self) -> float:
        """Returns what an instance has sent in a second, in the mean."""
        total = sum(self._network.sent.values())
        return total / len(self._data_centres) / self.now_s

    def at(self, at_s: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call, in seconds since the fleet's start."""
        event = (_START_S + at_s, next(self._ids), call, args)
        heapq.heappush(self._events, event)

    def list_versions(self, versions: Mapping[str, int]) -> None:
        """Changes which versions serve, with the number of their servers."""
        self._versions = dict(versions)
        for version in versions:
            self._network.born_s.setdefault(version, self._network.now)
        for name in self._started_s.keys() - self._down:
            lag_s = self._rng.uniform(0.0, self._list_lag_s)
            self.at(self.now_s + lag_s, self._see_list, name, versions)

    def kill(self, share: float, away_s: float = 2.0) -> None:
        """Kills a share of the instances, which then start anew."""
        everyone = sorted(self._started_s)
        for name in self._rng.sample(everyone, round(share * len(everyone))):
            self.kill_one(name, self._rng.uniform(0.5, 1.0) * away_s)

    def kill_one(self, name: str, away_s: float) -> None:
        """Kills an instance, which then starts anew."""
        if name in self._down:
            return
        self._down.add(name)
        self._network.cut.add(name)
        self.at(self.now_s + away_s, self._start, name)
        broken = [one for one in self._active if one.instance == name]
        self._active = [one for one in self._active if one.instance != name]
        for stream in broken:
            self._break(stream)

    def run(self, until_s: float, *, breaks_per_s: float = 0.01) -> None:
        """Runs until a time since the fleet's start.

        Args:
            until_s: The time.
            breaks_per_s: Share of the streams that break in a second although
                nothing befalls their instances.
        """
        next_flush_s = self._network.now
        while self.now_s < until_s:
            self._network.now += _TICK_S
            while self._events and self._events[0][0] <= self._network.now:
                _, _, call, args = heapq.heappop(self._events)
                call(*args)
            for _ in range(self._draw_count(self._streams_per_s * _TICK_S)):
                self._begin()
            self._end_streams(breaks_per_s * _TICK_S)
            if self._network.now >= next_flush_s:
                next_flush_s += _FLUSH_S
                self._network.flush()

    def mixed(self) -> list[Resumption]:
        """Returns the streams that went on at another version."""
        return [
            one
            for one in self.resumptions
            if one.goes_on_at not in (None, one.version)
        ]

    def counted(self) -> list[Resumption]:
        """Returns the resumptions of which at least half have to go on."""
        return [one for one in self.resumptions if one.in_touch and one.served]

    def share_going_on(self) -> float:
        """Returns the share of the counted resumptions that go on."""
        counted = self.counted()
        return sum(one.goes_on_at is not None for one in counted) / len(counted)

    def _start(self, name: str, *, is_new: bool = False) -> None:
        if not is_new:
            self._network.instances[name] = origin_network.Instance(
                network=self._network,
                name=name,
                data_centre=self._data_centres[name],
            )
        self._down.discard(name)
        self._network.cut.discard(name)
        one = self._network.instances[name]
        one.membership.clear()
        one.use_records(lambda: len(self._data_centres))
        one.history.horizon_s = _HORIZON_S
        self._started_s[name] = self._network.now
        self._see_list(name, self._versions)
        self._flush(name, self._network.now)
        self._discover(name, self._network.now, -math.inf, 0)
        delay_s = 0.0
        for wait_s, asked in catch_up.ROUNDS:
            delay_s += wait_s
            at_s = self.now_s + delay_s
            self.at(at_s, self._catch_up, name, self._network.now, asked)
        self.at(self.now_s + delay_s, self._end_catch_up, name)

    def _flush(self, name: str, started_s: float) -> None:
        """Writes to the store, again and again until the instance is killed."""
        if name in self._down or self._started_s[name] != started_s:
            return
        stored = self._network.instances[name].stored
        stored.flush()
        self.at(self.now_s + stored.interval_s, self._flush, name, started_s)

    def _see_list(self, name: str, versions: Mapping[str, int]) -> None:
        if name not in self._down:
            one = self._network.instances[name]
            one.list_servers(tuple(versions))
            one.exchange.on_releases_changed()

    def _catch_up(self, name: str, started_s: float, asked: int) -> None:
        if name not in self._down and self._started_s[name] == started_s:
            self._network.instances[name].ask_for_releases(asked)

    def _end_catch_up(self, name: str) -> None:
        if name not in self._down:
            self._network.instances[name].exchange.record_asked_in_vain()

    def _discover(
        self, name: str, started_s: float, seeds_s: float, step: int
    ) -> None:
        now = self._network.now
        if name in self._down or self._started_s[name] != started_s:
            return
        own = self._network.instances[name]
        if now - seeds_s > _SEEDS_S or not self._local_count(own):
            seeds_s = now
            for seed in self._seeds:
                self._query_members(own, seed)
        leader = own.membership.leader(now)
        if leader is not None:
            self._query_members(own, leader.name)
        delay_s = _DISCOVERY_DELAYS_S[min(step, len(_DISCOVERY_DELAYS_S) - 1)]
        if self._local_count(own):
            delay_s = _DISCOVERY_DELAYS_S[-1]
        self.at(
            self.now_s + delay_s,
            self._discover,
            name,
            started_s,
            seeds_s,
            step + 1,
        )

    def _local_count(self, own: origin_network.Instance) -> int:
        return len(
            own.membership.members(own.member.data_centre, self._network.now)
        )

    def _query_members(self, own: origin_network.Instance, other: str) -> None:
        if other == own.name or other in self._down:
            return
        now = self._network.now
        asked = self._network.instances[other].membership
        asked.record_alive(own.member, now)
        sample = asked.sample(own.member.data_centre, now, _SAMPLE)
        for member, age_s in sample:
            own.membership.record_alive(member, now - max(0.0, age_s))

    def _ready(self) -> list[str]:
        now = self._network.now
        return [
            name
            for name, started_s in self._started_s.items()
            if name not in self._down and now - started_s > _READY_S
        ]

    def _begin(self) -> None:
        ready = self._ready()
        if not ready:
            return
        first = self._seeds[0]
        is_hot = first in ready and self._rng.random() < self._hot
        name = first if is_hot else self._rng.choice(ready)
        versions = self._network.instances[name].versions
        listed = {v: c for v, c in self._versions.items() if v in versions}
        if not listed:
            return
        version = self._rng.choices(list(listed), list(listed.values()))[0]
        request_id = f"r{next(self._ids)}"
        self._relay(name, request_id, version)

    def _relay(
        self, name: str, request_id: str, version: str, resumes: str = ""
    ) -> None:
        """Relays the events of a stream at an instance."""
        binding = self._binding(name, request_id, resumes)
        binding.record_send(origin_network.server(0, version))
        binding.bind()
        self._active.append(
            _Stream(
                request_id=resumes or request_id,
                version=version,
                instance=name,
                ends_s=self._network.now + self._rng.uniform(*_STREAM_S),
            )
        )

    def _end_streams(self, break_share: float) -> None:
        active, self._active = self._active, []
        for stream in active:
            if stream.ends_s <= self._network.now:
                continue
            if self._rng.random() < break_share:
                self._break(stream)
            else:
                self._active.append(stream)

    def _break(self, stream: _Stream) -> None:
        delay_s = self._rng.uniform(*_RESUMED_AFTER_S)
        self.at(self.now_s + delay_s, self._resume, stream, True)

    def _resume(self, stream: _Stream, is_first: bool) -> None:
        ready = self._ready()
        if not ready:
            self.at(self.now_s + _RETRY_S, self._resume, stream, is_first)
            return
        name = self._rng.choice(ready)
        binding = self._binding(
            name, f"r{next(self._ids)}", stream.request_id, after=5
        )
        is_rejected = binding.resolve() is not None
        self.resumptions.append(
            Resumption(
                version=stream.version,
                instance=name,
                in_touch=(
                    self._network.now - self._started_s[name] > _IN_TOUCH_S
                ),
                served=self._versions.get(stream.version, 0) >= 2,
                known_by=self._log.fields["known_by"],
                goes_on_at=(
                    None if is_rejected else self._version_of(binding.release)
                ),
            )
        )
        listed = stream.version in self._network.instances[name].versions
        if not is_rejected and listed:
            request_id = f"r{next(self._ids)}"
            self._relay(name, request_id, stream.version, stream.request_id)
        elif is_rejected and is_first:
            self.at(self.now_s + _RETRY_S, self._resume, stream, False)

    def _version_of(self, release: bytes | None) -> str:
        for number in range(10):
            version = f"v{number}"
            server = origin_network.server(0, version)
            if releases.release_key(server) == release:
                return version
        return "none"

    def _binding(
        self, name: str, request_id: str, resumes: str, after: int | None = None
    ) -> stream_binding.StreamBinding:
        one = self._network.instances[name]
        version = types.SimpleNamespace(
            as_of_s=self._network.now, source=types.SimpleNamespace(value="")
        )
        inst = types.SimpleNamespace(
            origins=one.exchange,
            now=lambda: self._network.now,
            rng=self._rng,
            list_version=version,
            metrics=self._metrics,
            log=self._log,
            directory=types.SimpleNamespace(servers_of=lambda service: ()),
            refresh_servers=lambda: None,
            eligible=types.SimpleNamespace(release_of=releases.release_key),
        )
        return stream_binding.StreamBinding(
            inst=inst, job=_job(request_id, resumes, after)
        )

    def _draw_count(self, mean: float) -> int:
        """Draws from a Poisson distribution."""
        count = 0
        product = self._rng.random()
        while product > math.exp(-mean):
            count += 1
            product *= self._rng.random()
        return count


def _job(
    request_id: str, resumes: str, after: int | None
) -> types.SimpleNamespace:
    """Returns what a binding reads of a request."""
    return types.SimpleNamespace(
        service=_SERVICE,
        regions=None,
        team=_TEAM,
        route=types.SimpleNamespace(
            kind=model.RouteKind.STREAMING,
            resumable=True,
            split=[types.SimpleNamespace(service=_SERVICE)],
        ),
        head=types.SimpleNamespace(
            last_event_id=after if resumes else None,
            request_id=request_id,
            resumes=resumes,
            prompt=types.SimpleNamespace(affinity_key="prompt"),
        ),
    )


def kinds(resumptions: Sequence[Resumption]) -> collections.Counter:
    """Counts resumptions by how their versions were known."""
    return collections.Counter(
        (one.known_by, one.goes_on_at is not None) for one in resumptions
    )
