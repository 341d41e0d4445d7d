"""Checks that streams go on at one version, and that enough of them do."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable

from soak import observations
from soak import streams

# Streams that may hold events of two versions, and from how many resumptions on
# the share that goes on is compared: the users' bounds.
_MIXED_ALLOWED = 2
_RESUMED_COUNTED = 12
_LEAST_SHARE = 0.5
# How an instance says that it does not know which version began a stream.
_UNKNOWN = b'"stream_version_unknown"'


def mixed(record: observations.Record) -> list[str]:
    """Returns streams with events of two versions, if there are too many."""
    found: dict[str, set[str]] = collections.defaultdict(set)
    for asked in record.asked:
        if asked.kind is observations.RequestKind.RESUMABLE:
            first_id = asked.resumes or asked.request_id
            found[first_id] |= streams.versions(asked.body)
    ids = [first_id for first_id, seen in found.items() if len(seen) > 1]
    return ids if len(ids) > _MIXED_ALLOWED else []


def refused_resumptions(
    record: observations.Record, undisturbed: Iterable[observations.Asked]
) -> str:
    """Compares streams that go on with new ones that begin.

    Returns:
        What was seen, if too few go on; else an empty text.
    """
    resumed, begun = compared(record, undisturbed)
    if len(resumed) < _RESUMED_COUNTED or not begun:
        return ""
    share = sum(resumed) / len(resumed)
    least = _LEAST_SHARE * sum(begun) / len(begun)
    if share >= least:
        return ""
    return (
        f"{sum(resumed)} of {len(resumed)} go on, "
        f"{sum(begun)} of {len(begun)} begin"
    )


def compared(
    record: observations.Record, undisturbed: Iterable[observations.Asked]
) -> tuple[list[bool], list[bool]]:
    """Returns which counted resumptions go on, and which new streams begin.

    Counted are resumptions of which a server of the version is there all the
    time, and new streams of the times in which there are two versions.
    """
    asked = [
        one
        for one in undisturbed
        if one.kind is observations.RequestKind.RESUMABLE
        and _versions_served(record, one) >= 2
    ]
    begun = [one.status == 200 for one in asked if not one.resumes]
    resumed = [
        one.status == 200
        for one in asked
        if one.resumes and _is_served(record, one, _begun_at(record, one))
    ]
    return resumed, begun


def is_unknown(asked: observations.Asked) -> bool:
    """Returns whether a resumption is refused as its origin is unknown."""
    refused = asked.status == 503 and bool(asked.resumes)
    return refused and _UNKNOWN in asked.body


def refused_at_one_version(record: observations.Record) -> list[str]:
    """Returns resumptions refused as unknown while one version had served.

    They count at all instances, whatever disturbed them: there is no other
    version that can have begun the stream.
    """
    if not record.versions:
        return []
    first = record.versions[0].version
    two_from_s = min(
        (s.from_s for s in record.versions if s.version != first),
        default=math.inf,
    )
    return [
        one.request_id
        for one in record.asked
        if is_unknown(one) and one.ended_s < two_from_s
    ]


def _begun_at(
    record: observations.Record, asked: observations.Asked
) -> str | None:
    for one in record.asked:
        if one.request_id == asked.resumes:
            return next(iter(streams.versions(one.body)), None)
    return None


def _is_served(
    record: observations.Record,
    asked: observations.Asked,
    version: str | None,
) -> bool:
    return any(
        span.version == version
        and span.from_s <= asked.sent_s
        and asked.ended_s <= span.to_s
        for span in record.versions
    )


def _versions_served(
    record: observations.Record, asked: observations.Asked
) -> int:
    return len(
        {
            span.version
            for span in record.versions
            if span.from_s <= asked.sent_s and asked.ended_s <= span.to_s
        }
    )
