"""Ways to find which prompt part crashes servers, side by side.

Each crash shows the parts of all requests in progress at the server. Simulated
without input or output: servers crash under requests with one of some parts,
beside sound requests that share their other parts; sound responses come in
between. Counted are crashes until all such parts are barred, and the share of
sound requests that is barred with them.
"""

from __future__ import annotations

import abc
import random
import statistics
from collections.abc import Collection
from collections.abc import Sequence

from irisshelf.routing import crash_evidence
from irisshelf.routing import crash_suspects

_SEEDS = range(8)
_IN_PROGRESS = (1, 10, 30)
_PARTS = (2, 4, 8)
_MAX_CRASHES = 40
_SUBJECTS = 500
_CRASH_INTERVAL_S = 2.0
_ANSWERS_BETWEEN = 10
_LATE_SHARE = 0.7
_PROBED = 200


class Way(abc.ABC):
    """One way to find the cause."""

    @abc.abstractmethod
    def crash(
        self, requests: Sequence[tuple[Sequence[str], bool]], at_s: float
    ) -> None:
        """Takes in a crash: parts and lateness of the requests in progress."""

    @abc.abstractmethod
    def succeed(self, parts: Collection[str], at_s: float) -> None:
        """Takes in a complete response."""

    @abc.abstractmethod
    def bars(self, parts: Collection[str], at_s: float) -> bool:
        """Returns whether a request is barred."""


class Weighed(Way):
    """As the instances do it: weights, and crashes explained once."""

    def __init__(self):
        self._suspects = crash_suspects.CrashSuspects()
        self._succeeded_s: dict[str, float] = {}

    def crash(self, requests, at_s):
        """See ``Way``."""
        for parts, late in requests:
            for part in parts:
                crash = crash_evidence.ServerCrash(
                    server_key=b"%d" % at_s,
                    at_s=at_s,
                    late=late,
                    sound=at_s - self._succeeded_s.get(part, -1e9) <= 60.0,
                )
                self._suspects.record_crash(part.encode(), crash, at_s)

    def succeed(self, parts, at_s):
        """See ``Way``."""
        for part in parts:
            self._succeeded_s[part] = at_s
            self._suspects.record_success(part.encode(), at_s)

    def bars(self, parts, at_s):
        """See ``Way``."""
        verdict = self._suspects.judge_request(
            [part.encode() for part in parts], at_s
        )
        return verdict.stage is crash_suspects.Stage.BARRED


class Counted(Way):
    """Crashes of each part since its last response, three bar it."""

    def __init__(self):
        self._counts: dict[str, int] = {}

    def crash(self, requests, at_s):
        """See ``Way``."""
        for part in {part for parts, _ in requests for part in parts}:
            self._counts[part] = self._counts.get(part, 0) + 1

    def succeed(self, parts, at_s):
        """See ``Way``."""
        for part in parts:
            self._counts.pop(part, None)

    def bars(self, parts, at_s):
        """See ``Way``."""
        return any(self._counts.get(part, 0) >= 3 for part in parts)


class Intersected(Way):
    """Parts at all of the last three crashes, but for those answered since."""

    def __init__(self):
        self._crashes: list[set[str]] = []

    def crash(self, requests, at_s):
        """See ``Way``."""
        found = {part for parts, _ in requests for part in parts}
        self._crashes = [*self._crashes[-2:], found]

    def succeed(self, parts, at_s):
        """See ``Way``."""
        for crash in self._crashes:
            crash.difference_update(parts)

    def bars(self, parts, at_s):
        """See ``Way``."""
        if len(self._crashes) < 3:
            return False
        return bool(set.intersection(*self._crashes).intersection(parts))


def measure() -> dict[str, float | None]:
    """Returns crashes until the parts are known, and sound requests barred."""
    figures: dict[str, float | None] = {}
    for way in (Weighed, Counted, Intersected):
        name = way.__name__.lower()
        for crashing in (0, 1, 2):
            for in_progress in _IN_PROGRESS:
                runs = [
                    _run(way(), crashing, in_progress, count, seed)
                    for count in _PARTS
                    for seed in _SEEDS
                ]
                ends, barred = zip(*runs, strict=True)
                key = f"crash_parts_{name}_{crashing}_of_{in_progress}"
                figures[f"{key}_ends"] = statistics.mean(ends)
                figures[f"{key}_sound_barred"] = statistics.mean(barred)
    return figures


def _run(
    way: Way, crashing: int, in_progress: int, count: int, seed: int
) -> tuple[int, float]:
    """Returns the crashes, and the most sound requests that were barred."""
    rng = random.Random(f"{crashing} {in_progress} {count} {seed}")
    names = [f"crashing-{number}" for number in range(crashing)]
    barred = 0.0
    for number in range(1, _MAX_CRASHES + 1):
        at_s = number * _CRASH_INTERVAL_S
        requests = [
            (_sound(rng, count), rng.random() < _LATE_SHARE)
            for _ in range(in_progress)
        ]
        left = [
            name
            for name in names
            if not way.bars(_with(rng, name, count), at_s)
        ]
        if names and not left:
            return number - 1, barred
        if left:
            cause = left[number % len(left)]
            requests.append((_with(rng, cause, count), False))
        way.crash(requests, at_s)
        probes = [_sound(rng, count) for _ in range(_PROBED)]
        share = sum(way.bars(parts, at_s) for parts in probes) / _PROBED
        barred = max(barred, share)
        for _ in range(_ANSWERS_BETWEEN):
            parts = _sound(rng, count)
            if not way.bars(parts, at_s):
                way.succeed(parts, at_s + rng.uniform(0.1, 1.0))
    return _MAX_CRASHES, barred


def _sound(rng: random.Random, count: int) -> list[str]:
    """Returns the shared parts of a sound request, common ones first."""
    subject = f"subject-{rng.randrange(_SUBJECTS)}"
    middle = [f"middle-{n}-{rng.randrange(3 * n)}" for n in range(1, count - 1)]
    return ["first", *middle, subject]


def _with(rng: random.Random, name: str, count: int) -> list[str]:
    """Returns the shared parts of a request with a crashing part."""
    parts = _sound(rng, count)
    parts[-1] = name
    return parts
