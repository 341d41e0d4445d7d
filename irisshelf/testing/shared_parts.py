"""Movement of shared prompt parts between servers, on simulated time.

Instances with real choosers send requests to simulated servers. A server that
lacks parts of a prompt fetches those that the named source has cached, and
reads the others. The tokens are counted by what happened: read for the first
time in the fleet, moved, or read again although a server had read them before.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice

# Cost of a moved token relative to that of one that is read.
MOVED_COST = 1 / 7
_READ_S_PER_TOKEN = 20e-6
_DECODE_S_PER_TOKEN = 4e-3
_MAX_WAITING = 12
_REJECTION_S = 0.003
# Facts are sent in batches, by way of the leader of the data centre.
_GOSSIP_S = (0.1, 0.5)
_MAX_SENDS = 4
_SLOTS = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reaches an instance.

    Attributes:
        at_s: When.
        instance: Number of the instance.
        requested: Its prompt.
        answer_tokens: Length of the answer.
    """

    at_s: float
    instance: int
    requested: prompt.Prompt
    answer_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replacement:
    """A server that drains, exits and comes back empty under a new id.

    Attributes:
        number: The server.
        drains_s: When it begins to drain.
        exits_s: When its process ends.
        returns_s: When the next process is listed.
    """

    number: int
    drains_s: float
    exits_s: float
    returns_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Copy:
    """A part that a server did not have and has got.

    Attributes:
        at_s: When.
        part_id: The part.
        server_id: The server.
        source_id: The server that it was fetched from; empty if it was read.
    """

    at_s: float
    part_id: str
    server_id: str
    source_id: str


@dataclasses.dataclass(kw_only=True, slots=True)
class Tokens:
    """Tokens of shared parts that servers lacked, and load above the cap.

    Attributes:
        first: Read for the first time in the fleet.
        moved: Fetched from a server that had them.
        again: Read although a server of the fleet had read them before.
        copies: Parts that servers have got.
        above_cap: Requests that reached a server that then had more than twice
            the mean and 3 requests.
        rejected: Requests that a server has rejected.
        unserved: Requests for which there was no server.
        by_cause: Tokens by what happened and by why.
    """

    first: int = 0
    moved: int = 0
    again: int = 0
    copies: list[Copy] = dataclasses.field(default_factory=list)
    above_cap: int = 0
    rejected: int = 0
    unserved: int = 0
    by_cause: collections.Counter[tuple[str, ...]] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def cost(self) -> float:
        """Cost of the moved tokens and of those read again, in read tokens."""
        return self.again + MOVED_COST * self.moved


@dataclasses.dataclass(kw_only=True, slots=True)
class _Cached:
    ready_s: float
    used_s: float


class _Server:
    def __init__(self, *, listed: directory.BackendServer, keep_s: float):
        self.listed = listed
        self._keep_s = keep_s
        self.draining = False
        self.exited = False
        self.running = 0
        self.waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._cached: dict[str, _Cached] = {}

    @property
    def load(self) -> int:
        return self.running + len(self.waiting)

    def cached_s(self, part_id: str, now: float) -> float | None:
        """Returns when a part is cached; later than now while it is read."""
        cached = self._cached.get(part_id)
        if cached is None or now - cached.used_s > self._keep_s:
            return None
        return cached.ready_s

    def cache(self, part_id: str, ready_s: float) -> None:
        self._cached[part_id] = _Cached(ready_s=ready_s, used_s=ready_s)

    def use(self, part_id: str, now: float) -> None:
        cached = self._cached[part_id]
        cached.used_s = max(cached.used_s, now)


class _Instance:
    def __init__(self, *, data_centre: str, seed: int):
        self.chooser = server_choice.Chooser(
            data_centre=data_centre, rng=random.Random(seed)
        )
        self.listed: dict[str, directory.BackendServer] = {}
        self.leaving: set[str] = set()

    def accepting(self) -> list[directory.BackendServer]:
        return [
            server
            for server in self.listed.values()
            if server.state is directory.ServerState.READY
            and server.server_id not in self.leaving
        ]


class Fleet:
    """Servers and instances in data centres of equal size.

    Args:
        servers: Number of servers.
        instances: Number of instances.
        data_centres: Number of data centres.
        seed: Of all delays.
        slowdown: What all servers report; None if they report none.
        list_lag_s: Upper limit of the delay until an instance knows of a change
            in the list.
        keep_s: For how long a server keeps a part that is not used.

    Attributes:
        tokens: What has been counted.
    """

    def __init__(
        self,
        *,
        servers: int = 24,
        instances: int = 6,
        data_centres: int = 3,
        seed: int = 1,
        slowdown: float | None = 1.0,
        list_lag_s: float = 0.3,
        keep_s: float = math.inf,
    ):
        self.tokens = Tokens()
        self._names = [f"dc{n}" for n in range(data_centres)]
        self._rng = random.Random(seed)
        self._slowdown = slowdown
        self._list_lag_s = list_lag_s
        self._keep_s = keep_s
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._read: set[str] = set()
        self._counts_from_s = 0.0
        self._current = [self._new_server(n, 0) for n in range(servers)]
        self._running = {s.listed.server_id: s for s in self._current}
        self._instances = [
            _Instance(data_centre=self._names[n % data_centres], seed=seed + n)
            for n in range(instances)
        ]
        for inst in self._instances:
            for server in self._current:
                inst.listed[server.listed.server_id] = server.listed

    def run(
        self,
        arrivals: Sequence[Arrival],
        replacements: Sequence[Replacement] = (),
        *,
        counts_from_s: float = 0.0,
    ) -> Tokens:
        """Runs to the last arrival.

        Args:
            arrivals: The requests.
            replacements: Servers that are replaced.
            counts_from_s: Tokens are counted from this time on.
        """
        self._counts_from_s = counts_from_s
        for one in arrivals:
            self._at(one.at_s, lambda one=one: self._send(one, frozenset()))
        for one in replacements:
            self._at(one.drains_s, lambda one=one: self._drain(one))
        while self._events:
            self._now, _, handle = heapq.heappop(self._events)
            handle()
        return self.tokens

    def _at(self, at_s: float, handle: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), handle))

    def _new_server(self, number: int, generation: int) -> _Server:
        return _Server(
            listed=directory.BackendServer(
                server_id=f"s{number}-{generation}",
                service="lm",
                address=f"10.0.{generation}.{number}:80",
                data_centre=self._names[number % len(self._names)],
                slots=_SLOTS,
                version="v1",
            ),
            keep_s=self._keep_s,
        )

    def _tell(self, change: Callable[[_Instance], None]) -> None:
        """Applies a change of the list to each instance after its delay."""
        for inst in self._instances:
            lag_s = self._rng.uniform(0.0, self._list_lag_s)
            self._at(self._now + lag_s, lambda inst=inst: change(inst))

    def _drain(self, one: Replacement) -> None:
        server = self._current[one.number]
        server.draining = True
        name = server.listed.server_id
        leaving = dataclasses.replace(
            server.listed, state=directory.ServerState.LEAVING
        )

        def list_as_leaving(inst: _Instance) -> None:
            if name in inst.listed:
                inst.listed[name] = leaving

        self._tell(list_as_leaving)
        self._at(one.exits_s, lambda: self._exit(server))
        self._at(one.returns_s, lambda: self._return(one.number))

    def _exit(self, server: _Server) -> None:
        server.exited = True
        name = server.listed.server_id
        del self._running[name]
        self._tell(lambda inst: inst.listed.pop(name, None))

    def _return(self, number: int) -> None:
        server = self._new_server(number, int(self._now * 1000))
        self._current[number] = server
        self._running[server.listed.server_id] = server

        def add(inst: _Instance) -> None:
            inst.listed[server.listed.server_id] = server.listed

        self._tell(add)

    def _send(self, one: Arrival, avoid: frozenset[str]) -> None:
        inst = self._instances[one.instance]
        choice = inst.chooser.choose(
            inst.accepting(),
            one.requested,
            avoid=avoid,
            now=self._now,
            sources=list(inst.listed.values()),
        )
        if choice is None or len(avoid) >= _MAX_SENDS:
            self.tokens.unserved += 1
            return
        name = choice.server.server_id
        server = self._running.get(name)
        inst.chooser.stats.record_start(name, self._now)
        new_keys = inst.chooser.record_sent(one.requested, name, self._now)
        self._gossip(
            one.instance,
            lambda other, at_s: [
                other.chooser.cache_locations.record_from_peer(key, name, at_s)
                for key in new_keys
            ],
        )
        if (
            server is None
            or server.draining
            or len(server.waiting) >= _MAX_WAITING
        ):
            self.tokens.rejected += 1
            self._at(
                self._now + _REJECTION_S,
                lambda: self._rejected(one, avoid, name, server),
            )
            return
        self._count_load(server)
        if server.running < _SLOTS:
            self._begin(one, server, choice)
        else:
            server.waiting.append(lambda: self._begin(one, server, choice))

    def _rejected(
        self,
        one: Arrival,
        avoid: frozenset[str],
        name: str,
        server: _Server | None,
    ) -> None:
        inst = self._instances[one.instance]
        inst.chooser.stats.record_end(name, self._now)
        if server is None or server.draining:
            inst.leaving.add(name)
        else:
            self._report(one.instance, server)
        self._send(one, avoid | {name})

    def _count_load(self, server: _Server) -> None:
        if self._now < self._counts_from_s:
            return
        loads = [s.load for s in self._running.values()]
        limit = (
            server_choice.CAP_FACTOR * (sum(loads) + 1) / len(loads)
            + server_choice.CAP_EXTRA
        )
        self.tokens.above_cap += server.load + 1 > limit

    def _begin(
        self, one: Arrival, server: _Server, choice: server_choice.Choice
    ) -> None:
        server.running += 1
        ready_s = self._cache_parts(one.requested, server, choice)
        decode_s = one.answer_tokens * _DECODE_S_PER_TOKEN
        self._at(ready_s, lambda: self._report(one.instance, server))
        self._at(ready_s + decode_s, lambda: self._end(one, server))

    def _cache_parts(
        self,
        requested: prompt.Prompt,
        server: _Server,
        choice: server_choice.Choice,
    ) -> float:
        """Counts the parts that a server lacks; returns when it has them."""
        source = choice.source and self._running.get(choice.source.server_id)
        ready_s = self._now
        fetches = True
        for part in requested.shared:
            cached_s = server.cached_s(part.part_id, self._now)
            if cached_s is not None:
                server.use(part.part_id, self._now)
                ready_s = max(ready_s, cached_s)
                continue
            source_s = source and source.cached_s(part.part_id, self._now)
            fetches = fetches and source_s is not None and source_s <= self._now
            tokens_s = part.tokens * _READ_S_PER_TOKEN
            if fetches:
                what, why = "moved", choice.reason.value
                ready_s += MOVED_COST * tokens_s
            else:
                what, why = self._why_read(part.part_id, choice, source)
                ready_s += tokens_s
            server.cache(part.part_id, ready_s)
            self._read.add(part.part_id)
            self._count(what, why, choice, part)
        return ready_s

    def _why_read(
        self,
        part_id: str,
        choice: server_choice.Choice,
        source: _Server | None,
    ) -> tuple[str, str]:
        if part_id not in self._read:
            return "first", ""
        cached = [
            s.cached_s(part_id, self._now) for s in self._running.values()
        ]
        held = [at_s for at_s in cached if at_s is not None]
        if not held:
            return "again", "held_nowhere"
        if min(held) > self._now:
            return "again", "being_read"
        if choice.source is None:
            return "again", "no_source"
        return "again", "source_lacks_it" if source else "source_exited"

    def _count(
        self, what: str, why: str, choice: server_choice.Choice, part
    ) -> None:
        if self._now < self._counts_from_s:
            return
        setattr(self.tokens, what, getattr(self.tokens, what) + part.tokens)
        source = choice.source if what == "moved" else None
        self.tokens.copies.append(
            Copy(
                at_s=self._now,
                part_id=part.part_id,
                server_id=choice.server.server_id,
                source_id="" if source is None else source.server_id,
            )
        )
        self.tokens.by_cause[what, why, choice.reason.value] += part.tokens

    def _end(self, one: Arrival, server: _Server) -> None:
        server.running -= 1
        inst = self._instances[one.instance]
        inst.chooser.stats.record_end(server.listed.server_id, self._now)
        if server.waiting:
            server.waiting.popleft()()
        self._report(one.instance, server)

    def _report(self, number: int, server: _Server) -> None:
        work, name, at_s = server.load, server.listed.server_id, self._now

        def record(inst: _Instance, _: float) -> None:
            inst.chooser.stats.record_load_report(
                name, work=work, at_s=at_s, slowdown=self._slowdown
            )

        record(self._instances[number], at_s)
        self._gossip(number, record)

    def _gossip(
        self, number: int, apply: Callable[[_Instance, float], object]
    ) -> None:
        for other, inst in enumerate(self._instances):
            if other != number:
                at_s = self._now + self._rng.uniform(*_GOSSIP_S)
                self._at(at_s, lambda inst=inst, at_s=at_s: apply(inst, at_s))
