"""A fake of the platform: in memory, and with every fault that it may have."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import result

from irisshelf.store import errors
from irisshelf.store import interface
from irisshelf.store import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """What goes wrong at the platform now.

    Attributes:
        down: Nothing is answered and nothing takes effect.
        lose_request: Share of calls that get lost before taking effect.
        lose_answer: Share of calls whose answer is lost after the effect.
        delay_s: Every call takes this long.
        max_writes_per_s: Rate limit on transactions; 0 for none.
        max_reads_per_s: Rate limit on reads; 0 for none.
        list_lag_s: Age of the instance list that is handed out.
    """

    down: bool = False
    lose_request: float = 0.0
    lose_answer: float = 0.0
    delay_s: float = 0.0
    max_writes_per_s: float = 0.0
    max_reads_per_s: float = 0.0
    list_lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stored:
    value: Any
    version: int
    expires_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Listed:
    """The instance list as it was from a time on."""

    at_s: float
    version: int
    nodes: dict[str, messages.Node]


class _RateLimit:
    """Token bucket of one second's burst."""

    def __init__(self):
        self._tokens = 0.0
        self._at_s: float | None = None

    def take(self, rate: float, now: float) -> bool:
        if rate <= 0:
            return True
        if self._at_s is None:
            self._tokens = rate
        else:
            grown = self._tokens + (now - self._at_s) * rate
            self._tokens = min(rate, grown)
        self._at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class FakePlatform(interface.Platform):
    """The platform in one object.

    Args:
        clock: Returns the time now in seconds.
        rng: Decides which calls are lost.
        sleep: Carries out ``delay_s``; None leaves it out.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        rng: random.Random,
        sleep: Callable[[float], None] | None = None,
    ):
        self.faults = Faults()
        self.writes = 0
        self.reads = 0
        self._clock = clock
        self._rng = rng
        self._sleep = sleep
        self._rows: dict[str, _Stored] = {}
        self._objects: dict[str, bytes] = {}
        self._nodes: dict[str, messages.Node] = {}
        self._history: list[_Listed] = []
        self._write_limit = _RateLimit()
        self._read_limit = _RateLimit()
        self._last_version = 0

    def transact(
        self, writes: Sequence[messages.Write]
    ) -> result.Result[tuple[int, ...], errors.Conflict | errors.Unavailable]:
        """See ``interface.Platform.transact``."""
        self.writes += 1
        problem = self._before(self._write_limit, self.faults.max_writes_per_s)
        if problem is not None:
            return result.Err(problem)
        done = self._apply(writes)
        return self._after(done)

    def read(
        self, key: str
    ) -> result.Result[messages.Row, errors.NotFound | errors.Unavailable]:
        """See ``interface.Platform.read``."""
        self.reads += 1
        problem = self._before(self._read_limit, self.faults.max_reads_per_s)
        if problem is not None:
            return result.Err(problem)
        stored = self._row(key)
        if stored is None:
            return self._after(result.Err(errors.NotFound(key=key)))
        row = messages.Row(key=key, value=stored.value, version=stored.version)
        return self._after(result.Ok(row))

    def put_object(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable]:
        """See ``interface.Platform.put_object``."""
        self.writes += 1
        problem = self._before(self._write_limit, self.faults.max_writes_per_s)
        if problem is not None:
            return result.Err(problem)
        self._objects[key] = data
        return self._after(result.Ok(None))

    def get_object(
        self, key: str
    ) -> result.Result[bytes, errors.NotFound | errors.Unavailable]:
        """See ``interface.Platform.get_object``."""
        self.reads += 1
        problem = self._before(self._read_limit, self.faults.max_reads_per_s)
        if problem is not None:
            return result.Err(problem)
        if key not in self._objects:
            return self._after(result.Err(errors.NotFound(key=key)))
        return self._after(result.Ok(self._objects[key]))

    def nodes(
        self, *, since: int
    ) -> result.Result[messages.NodeChanges, errors.Unavailable]:
        """See ``interface.Platform.nodes``."""
        self.reads += 1
        problem = self._before(self._read_limit, self.faults.max_reads_per_s)
        if problem is not None:
            return result.Err(problem)
        wanted = self._clock() - self.faults.list_lag_s
        shown = _Listed(at_s=0.0, version=0, nodes={})
        before = None
        for listed in self._history:
            if listed.at_s <= wanted:
                shown = listed
            if listed.version == since:
                before = listed
        return self._after(result.Ok(_changes(before, shown)))

    def set_node(self, node: messages.Node) -> None:
        """Adds or replaces an entry of the instance list."""
        self._nodes[node.name] = node
        self._remember_nodes()

    def remove_node(self, name: str) -> None:
        """Drops an entry of the instance list."""
        self._nodes.pop(name, None)
        self._remember_nodes()

    def damage_object(self, key: str, data: bytes) -> None:
        """Overwrites an object behind the platform's back."""
        self._objects[key] = data

    def _remember_nodes(self) -> None:
        version = self._history[-1].version + 1 if self._history else 1
        listed = _Listed(
            at_s=self._clock(), version=version, nodes=dict(self._nodes)
        )
        self._history = [*self._history[-99:], listed]

    def _before(
        self, limit: _RateLimit, rate: float
    ) -> errors.Unavailable | None:
        if self._sleep is not None and self.faults.delay_s:
            self._sleep(self.faults.delay_s)
        if self.faults.down:
            return _unavailable(errors.Effect.UNKNOWN, "down")
        if not limit.take(rate, self._clock()):
            return _unavailable(errors.Effect.NONE, "rate limit")
        if self._rng.random() < self.faults.lose_request:
            return _unavailable(errors.Effect.UNKNOWN, "request lost")
        return None

    def _after(self, done: result.Result) -> result.Result:
        if self._rng.random() < self.faults.lose_answer:
            lost = _unavailable(errors.Effect.UNKNOWN, "answer lost")
            return result.Err(lost)
        return done

    def _row(self, key: str) -> _Stored | None:
        stored = self._rows.get(key)
        if stored is None:
            return None
        if stored.expires_s is not None and stored.expires_s <= self._clock():
            del self._rows[key]
            return None
        return stored

    def _apply(self, writes: Sequence[messages.Write]) -> result.Result:
        failed = []
        for index, write in enumerate(writes):
            stored = self._row(write.key)
            version = stored.version if stored else messages.ABSENT
            if write.if_version is not None and write.if_version != version:
                failed.append(
                    errors.FailedCondition(
                        index=index,
                        version=version,
                        value=stored.value if stored else None,
                    )
                )
        if failed:
            return result.Err(errors.Conflict(failed=tuple(failed)))
        return result.Ok(tuple(self._store(write) for write in writes))

    def _store(self, write: messages.Write) -> int:
        # One counter for all rows: a row that expired and came back never
        # gets a version that it had before.
        self._last_version += 1
        expires_s = None
        if write.ttl_s is not None:
            expires_s = self._clock() + write.ttl_s
        self._rows[write.key] = _Stored(
            value=write.value, version=self._last_version, expires_s=expires_s
        )
        return self._last_version


def _unavailable(effect: errors.Effect, detail: str) -> errors.Unavailable:
    return errors.Unavailable(effect=effect, detail=detail)


def _changes(before: _Listed | None, now: _Listed) -> messages.NodeChanges:
    if before is None or before.version > now.version:
        return messages.NodeChanges(
            version=now.version, whole=True, changed=tuple(now.nodes.values())
        )
    changed = [
        node
        for name, node in now.nodes.items()
        if before.nodes.get(name) != node
    ]
    removed = [name for name in before.nodes if name not in now.nodes]
    return messages.NodeChanges(
        version=now.version,
        whole=False,
        changed=tuple(changed),
        removed=tuple(removed),
    )
