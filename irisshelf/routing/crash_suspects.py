"""Detects requests that crash the servers that process them.

Callers repeat such a request at any instance, each time with a new request id,
or send others that have one part of their prompts in common with it. Each would
crash another server and abort all other requests in progress there. Crashes are
therefore recorded by the *fingerprints* of requests, see ``fingerprints``, and
exchanged among instances; ``crash_causes`` finds which of them are to blame.

A successful response clears the fingerprints of its request, so that what many
requests share is not blamed for servers that exit for other reasons. Reports of
other instances arrive late and repeatedly: a response clears the crashes before
it only, and a crash before it does not count any more.

Stages of a request:

- *clear*: no crash is held against any of its fingerprints.
- *suspect*: one or two servers have crashed. All instances send the request to
  the same server, see ``designation``, so that concurrent ones crash only one
  server.
- *barred*: three servers have crashed. The request is refused for ``BARRED_S``,
  after which it is suspect again. The next crash bars it at once.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import math
from collections.abc import Collection

from irisshelf.routing import crash_causes
from irisshelf.routing import crash_evidence
from irisshelf.routing import fingerprints as fingerprints_module

# A wrongly suspected request is refused for this time. If the suspicion was
# right, each expiry costs one more crash, which takes a server away for some
# seconds: less than 1 % of the time of one server.
BARRED_S = 600.0
# A bar is tried by one request after this time, as its evidence may be a
# coincidence; if that crashes a server, not again.
TRIAL_AFTER_S = 10.0
# A fingerprint without a crash for this time is clear.
_FORGET_AFTER_S = 2 * BARRED_S
# An entry takes about 300 bytes. The rate at which new fingerprints can crash
# servers is limited by the rate at which servers restart.
_MAX_ENTRIES = 2000
# Crashes kept for a fingerprint: enough to tell causes apart.
_MAX_CRASHES = 16


class Stage(enum.StrEnum):
    """Stage of a request or of one of its fingerprints."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BARRED = "barred"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The current assessment of a request.

    Attributes:
        stage: The stage.
        fingerprint: What it is based on; empty if the request is clear.
        crashes: Recorded crashes, oldest first.
        barred_for_s: Remaining time for which it is barred; 0 if it is not.
        trial: Whether one request at a time, at one instance, may be sent to
            find whether it is still to be barred.
        cautious: Whether an instance may send one such request at a time only,
            as it has some of the fingerprints that cannot be told apart from
            the cause.
        shared: These fingerprints, if it is cautious.
        rarest: Of all of the cause, the one most likely to be it, if any.
    """

    stage: Stage
    fingerprint: bytes = b""
    crashes: tuple[crash_evidence.ServerCrash, ...] = ()
    barred_for_s: float = 0.0
    trial: bool = False
    cautious: bool = False
    shared: frozenset[bytes] = frozenset()
    rarest: bytes = b""


_CLEAR = Verdict(stage=Stage.CLEAR)


class CrashSuspects:
    """Crashes recorded by fingerprint.

    Args:
        max_entries: Number of fingerprints kept.
    """

    def __init__(self, *, max_entries: int = _MAX_ENTRIES):
        self._max_entries = max_entries
        # Ordered by last change, oldest first.
        self._crashes: dict[bytes, tuple[crash_evidence.ServerCrash, ...]] = {}
        self._prefix_counts: collections.Counter[bytes] = collections.Counter()
        # When each cleared fingerprint had its latest successful response.
        self._succeeded_s: dict[bytes, float] = {}
        # By server key: the crashes that any fingerprint has.
        self._crash_times: dict[bytes, list[float]] = {}
        # Fingerprints with enough evidence to be a cause, and the causes among
        # them, computed when needed; None after a change.
        self._heavy: dict[bytes, tuple[crash_evidence.ServerCrash, ...]] = {}
        self._causes: crash_causes.Causes | None = None

    def __bool__(self) -> bool:
        """Whether any fingerprint is not clear.

        If not, callers need not compute fingerprints.
        """
        return bool(self._crashes)

    def __len__(self) -> int:
        return len(self._crashes)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._crashes

    def record_crash(
        self, fingerprint: bytes, crash: crash_evidence.ServerCrash, now: float
    ) -> bool:
        """Records a crash of a server that processed a request.

        Returns:
            Whether the crash is new.
        """
        if crash.at_s <= self._succeeded_s.get(fingerprint, -math.inf):
            return False
        known = self._unexpired(fingerprint, now)
        if now - crash.at_s >= _FORGET_AFTER_S:
            return False
        crash = self._with_common_time(crash)
        others = [c for c in known if c.crash_id != crash.crash_id]
        is_new = len(others) == len(known)
        if not is_new:
            (same,) = (c for c in known if c.crash_id == crash.crash_id)
            crash = crash_evidence.merge(same, crash)
        self._drop(fingerprint)
        latest = sorted((*others, crash), key=lambda c: c.at_s)
        self._add(fingerprint, tuple(latest[-_MAX_CRASHES:]))
        self._evict()
        return is_new

    def retract_crash(
        self, fingerprint: bytes, crash: crash_evidence.ServerCrash
    ) -> None:
        """Removes a recorded crash of a server that has not exited."""
        known = self._crashes.get(fingerprint, ())
        left = tuple(
            c for c in known if not crash_evidence.is_same_crash(c, crash)
        )
        if len(left) == len(known):
            return
        self._drop(fingerprint)
        if left:
            self._add(fingerprint, left)

    def record_success(self, fingerprint: bytes, at_s: float) -> bool:
        """Records a successful response.

        Args:
            fingerprint: A fingerprint of the request.
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

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether there is any strong evidence, explained or not.

        So it is if early and late reports of one crash have been joined.
        """
        crashes = self._crashes.get(fingerprint, ())
        return any(not crash.late for crash in crashes)

    def judge(self, fingerprint: bytes, now: float) -> Verdict:
        """Returns the current assessment of a request with one fingerprint."""
        return self.judge_request((fingerprint,), now)

    def judge_request(
        self, fingerprints: Collection[bytes], now: float
    ) -> Verdict:
        """Returns the current assessment of a request.

        Args:
            fingerprints: All fingerprints of the request.
            now: Monotonic seconds.
        """
        known = [one for one in fingerprints if self._is_known(one, now)]
        if not known:
            return _CLEAR
        if self._causes is None:
            self._causes = crash_causes.find_causes(self._heavy)
        verdicts = [
            _judge_by_cause(cause, frozenset(known), now)
            for cause in self._causes.found
        ]
        verdicts += [self._judge_unexplained(one) for one in known]
        return max(verdicts, key=severity)

    def snapshot(
        self, now: float
    ) -> dict[bytes, tuple[crash_evidence.ServerCrash, ...]]:
        """Returns all recorded crashes, for an instance that has just begun."""
        for fingerprint in list(self._crashes):
            self._is_known(fingerprint, now)
        return dict(self._crashes)

    def _judge_unexplained(self, fingerprint: bytes) -> Verdict:
        """Assesses a fingerprint by the crashes that have no known cause."""
        explained = self._causes.explained if self._causes else frozenset()
        crashes = tuple(
            crash
            for crash in self._crashes[fingerprint]
            if crash.crash_id not in explained
        )
        if not any(crash.strong for crash in crashes):
            return _CLEAR
        return Verdict(
            stage=Stage.SUSPECT, fingerprint=fingerprint, crashes=crashes
        )

    def _is_known(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether there are crashes, and forgets old ones."""
        if fingerprint not in self._crashes:
            return False
        if not self._unexpired(fingerprint, now):
            self._drop(fingerprint)
            return False
        return True

    def _unexpired(
        self, fingerprint: bytes, now: float
    ) -> tuple[crash_evidence.ServerCrash, ...]:
        crashes = self._crashes.get(fingerprint, ())
        if crashes and now - crashes[-1].at_s < _FORGET_AFTER_S:
            return crashes
        return ()

    def _with_common_time(
        self, crash: crash_evidence.ServerCrash
    ) -> crash_evidence.ServerCrash:
        """Gives all reports of one crash the same time, by the first one."""
        times_s = self._crash_times.setdefault(crash.server_key, [])
        for at_s in times_s:
            if abs(at_s - crash.at_s) < crash_evidence.SAME_CRASH_S:
                return dataclasses.replace(crash, at_s=at_s)
        times_s.append(crash.at_s)
        del times_s[:-_MAX_CRASHES]
        if len(self._crash_times) > self._max_entries:
            del self._crash_times[next(iter(self._crash_times))]
        return crash

    def _add(
        self,
        fingerprint: bytes,
        crashes: tuple[crash_evidence.ServerCrash, ...],
    ) -> None:
        self._crashes[fingerprint] = crashes
        if crash_evidence.weigh(crashes) >= crash_evidence.BAR_WEIGHT:
            self._heavy[fingerprint] = crashes
            self._causes = None
        self._prefix_counts[fingerprints_module.prefix_of(fingerprint)] += 1

    def _evict(self) -> None:
        """Evicts entries with the fewest crashes, the oldest of these first."""
        while len(self._crashes) > self._max_entries:
            self._drop(min(self._crashes, key=lambda c: len(self._crashes[c])))

    def _drop(self, fingerprint: bytes) -> bool:
        """Removes a fingerprint; returns whether it was recorded."""
        if self._crashes.pop(fingerprint, None) is None:
            return False
        if self._heavy.pop(fingerprint, None) is not None:
            self._causes = None
        prefix = fingerprints_module.prefix_of(fingerprint)
        self._prefix_counts[prefix] -= 1
        if not self._prefix_counts[prefix]:
            del self._prefix_counts[prefix]
        return True


def _judge_by_cause(
    cause: crash_causes.Cause, fingerprints: frozenset[bytes], now: float
) -> Verdict:
    """Assesses a request by one known cause."""
    shared = cause.fingerprints & fingerprints
    if not shared:
        return _CLEAR
    fingerprint = min(shared)
    if shared != cause.fingerprints:
        return Verdict(
            stage=Stage.SUSPECT,
            fingerprint=fingerprint,
            crashes=cause.crashes,
            cautious=True,
            shared=shared,
            rarest=cause.rarest,
        )
    crashed_s = cause.crashes[-1].at_s
    remaining_s = crashed_s + BARRED_S - now
    if remaining_s <= 0:
        return Verdict(
            stage=Stage.SUSPECT,
            fingerprint=fingerprint,
            crashes=cause.crashes,
            trial=True,
        )
    return Verdict(
        stage=Stage.BARRED,
        fingerprint=fingerprint,
        crashes=cause.crashes,
        barred_for_s=remaining_s,
        trial=now - crashed_s >= TRIAL_AFTER_S and not _was_tried(cause),
    )


def _was_tried(cause: crash_causes.Cause) -> bool:
    """Returns whether a server has crashed in a trial of the bar."""
    barred = cause.crashes[crash_evidence.CRASHES_TO_BAR - 1 :]
    return any(
        later.at_s - earlier.at_s >= TRIAL_AFTER_S
        for earlier, later in itertools.pairwise(barred)
    )


def severity(verdict: Verdict) -> tuple[int, int, bytes]:
    """Ranks verdicts, of which the strictest counts for a request."""
    if verdict.stage is Stage.BARRED:
        rank = 3 if verdict.trial else 4
    elif verdict.stage is Stage.SUSPECT:
        rank = 2 if verdict.cautious or verdict.trial else 1
    else:
        rank = 0
    weight = crash_evidence.weigh(verdict.crashes)
    return rank, weight, verdict.fingerprint
