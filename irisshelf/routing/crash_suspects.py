"""Detects requests that crash the servers that process them.

Callers repeat such a request at any instance, each time with a new request id.
Each repeat would crash another server and abort all other requests in progress
there. Crashes are therefore recorded by the *fingerprint* of the request and
exchanged among instances.

A server that crashes usually has many requests in progress, of which at most
one is the cause. Only requests for which no part of a response had arrived are
suspected, since this holds for the cause and for few others. A successful
response clears a fingerprint, so that a request that many callers repeat is not
blamed for servers that exit for other reasons. Reports of other instances
arrive late and repeatedly: a response clears the crashes before it only, and a
crash before it does not count any more.

Stages of a fingerprint:

- *clear*: no server has crashed since the last successful response.
- *suspect*: one or two servers have crashed. All instances send the request to
  the same server, see ``designate_server``, so that concurrent copies crash
  only one server.
- *barred*: three servers have crashed. The request is refused for ``BARRED_S``,
  after which it is suspect again. The next crash bars it at once.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import math
from collections.abc import Collection
from collections.abc import Sequence

# The requirements allow three servers to crash because of one request. A lower
# limit would bar requests that were in progress during a rack failure, once
# with each of two attempts.
CRASHES_TO_BAR = 3
# A wrongly suspected request is refused for this time. If the suspicion was
# right, each expiry costs one more crash, which takes a server away for some
# seconds: less than 1 % of the time of one server.
BARRED_S = 600.0
# A fingerprint without a crash for this time is clear.
_FORGET_AFTER_S = 2 * BARRED_S
# Reports of a crash of the same server within this time, from different
# instances, are one crash. No server restarts within a second (it takes "some
# seconds" according to the requirements).
_SAME_CRASH_S = 1.0
# An entry takes about 300 bytes. The rate at which new fingerprints can crash
# servers is limited by the rate at which servers restart.
_MAX_ENTRIES = 2000
_DIGEST_BYTES = 8


class Stage(enum.StrEnum):
    """Stage of a request fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BARRED = "barred"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerCrash:
    """One crash of a server.

    Attributes:
        server_key: Short key of the server incarnation that crashed.
        at_s: When it crashed, on the clock of this instance.
    """

    server_key: bytes
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The current assessment of a fingerprint.

    Attributes:
        stage: The stage.
        crashes: Recorded crashes, oldest first.
        barred_for_s: Remaining time for which it is barred; 0 if it is not.
    """

    stage: Stage
    crashes: tuple[ServerCrash, ...] = ()
    barred_for_s: float = 0.0


_CLEAR = Verdict(stage=Stage.CLEAR)


def fingerprint_prefix(team: str, method: str, target: str, size: int) -> bytes:
    """Returns the first half of a fingerprint, which needs no hash of the body.

    Args:
        team: The caller's team; empty on public routes.
        method: HTTP method, such as ``POST``.
        target: Path and query.
        size: Size of the body in bytes.
    """
    text = f"{team}\0{method}\0{target}\0{size}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


def request_fingerprint(
    team: str, method: str, target: str, body: bytes
) -> bytes:
    """Returns a fingerprint that is the same for all repeats of a request.

    It consists of two digests. Request ids, deadlines and the resume position
    of a stream are left out because they differ between repeats; host and
    service may differ after a configuration change.

    Args:
        team: The caller's team; empty on public routes.
        method: HTTP method, such as ``POST``.
        target: Path and query.
        body: The complete body.

    Example:
        >>> request_fingerprint("a", "GET", "/x", b"").hex()
        'a73b3951233db5c5e4a6a0577479b2b4'
    """
    prefix = fingerprint_prefix(team, method, target, len(body))
    return prefix + hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()


class CrashSuspects:
    """Crashes recorded by request fingerprint.

    Args:
        max_entries: Number of fingerprints kept.
    """

    def __init__(self, *, max_entries: int = _MAX_ENTRIES):
        self._max_entries = max_entries
        # Ordered by last change, oldest first.
        self._crashes: dict[bytes, tuple[ServerCrash, ...]] = {}
        self._prefix_counts: collections.Counter[bytes] = collections.Counter()
        # When each cleared fingerprint had its latest successful response.
        self._succeeded_s: dict[bytes, float] = {}

    def __bool__(self) -> bool:
        """Whether any fingerprint is not clear.

        If not, callers need not compute fingerprints.
        """
        return bool(self._crashes)

    def __len__(self) -> int:
        return len(self._crashes)

    def record_crash(
        self, fingerprint: bytes, crash: ServerCrash, now: float
    ) -> bool:
        """Records a crash of a server that processed a request.

        Returns:
            Whether the crash is new.
        """
        if crash.at_s <= self._succeeded_s.get(fingerprint, -math.inf):
            return False
        known = self._unexpired(fingerprint, now)
        old = now - crash.at_s >= _FORGET_AFTER_S
        if old or any(_is_same_crash(crash, other) for other in known):
            return False
        self._drop(fingerprint)
        latest = sorted((*known, crash), key=lambda e: e.at_s)
        self._add(fingerprint, tuple(latest[-CRASHES_TO_BAR:]))
        self._evict()
        return True

    def retract_crash(self, fingerprint: bytes, crash: ServerCrash) -> None:
        """Removes a recorded crash of a server that has not exited."""
        known = self._crashes.get(fingerprint, ())
        left = tuple(c for c in known if not _is_same_crash(c, crash))
        if len(left) == len(known):
            return
        self._drop(fingerprint)
        if left:
            self._add(fingerprint, left)

    def record_success(self, fingerprint: bytes, at_s: float) -> bool:
        """Records a successful response.

        Args:
            fingerprint: The request fingerprint.
            at_s: When it was received, on the clock of this instance.

        Returns:
            Whether it clears any crash.
        """
        crashes = self._crashes.get(fingerprint, ())
        if not crashes:
            return False
        known_s = self._succeeded_s.pop(fingerprint, -math.inf)
        self._succeeded_s[fingerprint] = max(known_s, at_s)
        if len(self._succeeded_s) > self._max_entries:
            del self._succeeded_s[next(iter(self._succeeded_s))]
        later = tuple(crash for crash in crashes if crash.at_s > at_s)
        if len(later) == len(crashes):
            return False
        self._drop(fingerprint)
        if later:
            self._add(fingerprint, later)
        return True

    def has_prefix(self, prefix: bytes) -> bool:
        """Tells whether any recorded fingerprint starts with a prefix."""
        return prefix in self._prefix_counts

    def judge(self, fingerprint: bytes, now: float) -> Verdict:
        """Returns the current assessment of a fingerprint."""
        if fingerprint not in self._crashes:
            return _CLEAR
        crashes = self._unexpired(fingerprint, now)
        if not crashes:
            self._drop(fingerprint)
            return _CLEAR
        remaining_s = crashes[-1].at_s + BARRED_S - now
        if len(crashes) < CRASHES_TO_BAR or remaining_s <= 0:
            return Verdict(stage=Stage.SUSPECT, crashes=crashes)
        return Verdict(
            stage=Stage.BARRED, crashes=crashes, barred_for_s=remaining_s
        )

    def snapshot(self, now: float) -> dict[bytes, tuple[ServerCrash, ...]]:
        """Returns all recorded crashes, for an instance that has just begun."""
        for fingerprint in list(self._crashes):
            self.judge(fingerprint, now)
        return dict(self._crashes)

    def _unexpired(
        self, fingerprint: bytes, now: float
    ) -> tuple[ServerCrash, ...]:
        crashes = self._crashes.get(fingerprint, ())
        if crashes and now - crashes[-1].at_s < _FORGET_AFTER_S:
            return crashes
        return ()

    def _add(
        self, fingerprint: bytes, crashes: tuple[ServerCrash, ...]
    ) -> None:
        self._crashes[fingerprint] = crashes
        self._prefix_counts[fingerprint[:_DIGEST_BYTES]] += 1

    def _evict(self) -> None:
        """Evicts entries with the fewest crashes, the oldest of these first."""
        while len(self._crashes) > self._max_entries:
            self._drop(min(self._crashes, key=lambda c: len(self._crashes[c])))

    def _drop(self, fingerprint: bytes) -> bool:
        """Removes a fingerprint; returns whether it was recorded."""
        if self._crashes.pop(fingerprint, None) is None:
            return False
        prefix = fingerprint[:_DIGEST_BYTES]
        self._prefix_counts[prefix] -= 1
        if not self._prefix_counts[prefix]:
            del self._prefix_counts[prefix]
        return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DesignatedServer:
    """The server that a suspect request may be sent to.

    Attributes:
        server: The server; None if there is none.
        uncertain: Whether the request may already have crashed so many servers
            that no other one must be put at risk.
    """

    server: str | None = None
    uncertain: bool = False


def designate_server(
    fingerprint: bytes,
    servers: Sequence[str],
    *,
    crashed: Collection[str] = (),
    recently_gone: Collection[str] = (),
    crash_count: int = 0,
) -> DesignatedServer:
    """Returns the only server that a suspect request may be sent to.

    All instances choose the same server from the same list, without
    coordination. If that server has just exited, a copy of the request sent by
    another instance may have crashed it and the message about the crash may
    still be in transit. Until such a message can no longer arrive, the exit is
    counted as one more crash.

    Args:
        fingerprint: The request fingerprint.
        servers: Candidates, including those that have recently exited.
        crashed: Servers that crashed while they processed the request. They may
            have restarted, but a crash of a different server is stronger
            evidence, so that they are used only if there is no other candidate.
        recently_gone: Servers whose process has exited a short time ago.
        crash_count: Number of recorded crashes.
    """
    candidates = [name for name in servers if name not in crashed]
    eligible = [
        name for name in candidates or servers if name not in recently_gone
    ]
    best = max(
        eligible, key=lambda name: _rank(fingerprint, name), default=None
    )
    best_rank = b"" if best is None else _rank(fingerprint, best)
    presumed = sum(
        name in recently_gone and _rank(fingerprint, name) > best_rank
        for name in candidates
    )
    if presumed and crash_count + presumed >= CRASHES_TO_BAR:
        return DesignatedServer(uncertain=True)
    return DesignatedServer(server=best)


def _rank(fingerprint: bytes, name: str) -> bytes:
    return hashlib.blake2b(
        name.encode(), key=fingerprint, digest_size=8
    ).digest()


def _is_same_crash(one: ServerCrash, other: ServerCrash) -> bool:
    near = abs(one.at_s - other.at_s) < _SAME_CRASH_S
    return one.server_key == other.server_key and near
