"""Checks that requests that end servers are stopped, and others are not."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from soak import observations

# Servers that may end under a request or a part of prompts, and sends that may
# follow, later than so many seconds after the last of those ends.
_ENDS_ALLOWED = 3
_SENDS_ALLOWED = 3
_ENDS_KNOWN_S = 3.0
# Sound streams that have to be seen to compare them, and of the share that
# begins before the first end, the least that begins when all is known.
_STREAMS_COUNTED = 20
_LEAST_SHARE = 0.5


def sent_on(
    record: observations.Record,
    undisturbed: Sequence[observations.Asked],
    runs: Mapping[str, Sequence[observations.Ran]],
) -> tuple[str, str] | None:
    """Returns the last of too many sends, and what was seen.

    Args:
        record: All that was seen.
        undisturbed: Requests at instances that were in touch.
        runs: Runs by request id.
    """
    if len(record.ends_s) < _ENDS_ALLOWED:
        return None
    known_s = sorted(record.ends_s)[_ENDS_ALLOWED - 1] + _ENDS_KNOWN_S
    late = [
        asked.request_id
        for asked in undisturbed
        if asked.crashing and asked.sent_s > known_s
        for _ in runs[asked.request_id]
    ]
    if len(late) <= _SENDS_ALLOWED:
        return None
    return late[-1], f"{len(late)} sends, {len(record.ends_s)} servers ended"


def refused_beside(
    record: observations.Record, undisturbed: Sequence[observations.Asked]
) -> str:
    """Compares sound streams that come beside with those before.

    Returns:
        What was seen, if too few begin; else an empty text.
    """
    crashing = [one.sent_s for one in record.asked if one.crashing]
    if not record.ends_s or not crashing:
        return ""
    known_s = max(record.ends_s) + 2 * _ENDS_KNOWN_S
    streams = [
        one
        for one in undisturbed
        if one.kind.streamed and not one.crashing and not one.resumes
    ]
    before = [
        one.status == 200
        for one in streams
        if one.ended_s < min(record.ends_s) and one.key not in record.withdrawn
    ]
    beside = [
        one.status == 200
        for one in streams
        if known_s < one.sent_s < max(crashing)
        and one.key not in record.withdrawn
    ]
    if min(len(before), len(beside)) < _STREAMS_COUNTED:
        return ""
    share = sum(beside) / len(beside)
    if share >= _LEAST_SHARE * sum(before) / len(before):
        return ""
    return (
        f"{sum(beside)} of {len(beside)} begin, before "
        f"{sum(before)} of {len(before)}"
    )
