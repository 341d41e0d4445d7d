"""Finds the causes of server crashes among the fingerprints in progress there.

All requests in progress at a server that crashes are suspect, with all their
fingerprints, of which one is the cause. The fingerprint that is part of most
crashes explains them; what is left of the others has to be explained by the
next one. Fingerprints that were part of exactly the same crashes cannot be told
apart: together they are one cause, until a request with some of them succeeds.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.routing import crash_evidence

CrashId = tuple[bytes, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cause:
    """Fingerprints of which one explains crashes.

    Attributes:
        fingerprints: The fingerprints, which cannot be told apart.
        crashes: What they explain, oldest first.
        rarest: The one that the fewest requests in progress had, if they
            differ in that; else empty. The cause crashes a server as soon as
            one request with it begins, so that few are in progress there.
    """

    fingerprints: frozenset[bytes]
    crashes: tuple[crash_evidence.ServerCrash, ...]
    rarest: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Causes:
    """The causes that are known.

    Attributes:
        found: The causes, the one with most evidence first.
        explained: The crashes that they explain.
    """

    found: tuple[Cause, ...] = ()
    explained: frozenset[CrashId] = frozenset()


_Evidence = Mapping[bytes, Sequence[crash_evidence.ServerCrash]]


def find_causes(crashes: _Evidence) -> Causes:
    """Returns the causes of crashes.

    Args:
        crashes: Crashes by fingerprint. Reports of one crash have the same id.

    Example:
        >>> one, two, three = (
        ...     crash_evidence.ServerCrash(server_key=b"s", at_s=at_s)
        ...     for at_s in (0.0, 10.0, 20.0)
        ... )
        >>> causes = find_causes(
        ...     {b"cause": [one, two, three], b"beside": [one, three]}
        ... )
        >>> [set(cause.fingerprints) for cause in causes.found]
        [{b'cause'}]
    """
    explained: set[CrashId] = set()
    left = {
        fingerprint: list(evidence)
        for fingerprint, evidence in crashes.items()
        if crash_evidence.weigh(evidence) >= crash_evidence.BAR_WEIGHT
    }
    found = []
    while left:
        best = max(left, key=lambda one: (crash_evidence.weigh(left[one]), one))
        evidence = left[best]
        if crash_evidence.weigh(evidence) < crash_evidence.BAR_WEIGHT:
            break
        ids = {crash.crash_id for crash in evidence}
        group = frozenset(
            fingerprint
            for fingerprint, others in left.items()
            if ids == {crash.crash_id for crash in others}
        )
        found.append(
            Cause(
                fingerprints=group,
                crashes=tuple(evidence),
                rarest=_rarest({one: left[one] for one in group}),
            )
        )
        explained |= ids
        left = {
            fingerprint: remaining
            for fingerprint, others in left.items()
            if (remaining := [c for c in others if c.crash_id not in ids])
        }
    return Causes(found=tuple(found), explained=frozenset(explained))


def _rarest(group: _Evidence) -> bytes:
    counts = {
        fingerprint: sum(crash.reports for crash in evidence)
        for fingerprint, evidence in group.items()
    }
    if min(counts.values()) == max(counts.values()):
        return b""
    return min(counts, key=lambda one: (counts[one], one))
