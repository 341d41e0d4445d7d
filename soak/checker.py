"""The promises, checked on what callers, servers and operators saw."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

from soak import crash_checks
from soak import load_checks
from soak import observations
from soak import stream_checks
from soak import streams

_HANDLED = 0.5  # Seconds that an answer may be late at the caller.
# Requests that may reach a server from an instance in a rest, later than so
# many seconds after its answer.
_IN_A_REST_ALLOWED = 2
_REST_KNOWN_S = 0.5
# First attempts at partitioned instances, sent later than so many seconds after
# the cut: the share of the others' share that is served at least, and how many
# may fail, beside a share of all.
_PARTITION_KNOWN_S = 3.0
_LEAST_SHARE = 2 / 3
_FAILED_ALLOWED = 10
_FAILED_SHARE_ALLOWED = 1 / 50


class Promise(enum.StrEnum):
    """What must hold."""

    WHOLE = "a success is the whole answer to its own request"
    ONCE = "what may not run twice ran once at most"
    NOT_RUN = "refused as not run is not run"
    KEY = "no run under a key that was withdrawn before the bound"
    LEFT = "no run at a server that left before the bound"
    TIME = "an answer comes by the deadline"
    UNASKED = "only what a caller sent is run"
    SERVED = "after the faults all is served"
    STOP = "a planned stop cuts nothing"
    EVACUATED = "no run in a data centre that was evacuated before the bound"
    COLD = "no cold server gets more in a second than it may"
    LEAVING = "no request goes to a server that has said that it leaves"
    PARTITION = "partitioned instances serve as others do"
    REST = "two requests at the most go to a server that has asked for rest"
    VERSION = "a stream goes on at the version that began it"
    RESUMED = "streams go on half as often as others begin, at least"
    ONE_VERSION = "with one version no stream is refused as unknown"
    CRASHES = "what three servers ended under is sent on three times at most"
    ORDER = "no priority is admitted more often than a more urgent one"
    STARVED = "each team and priority is served a quarter as often as all"
    HELD = "without a key that was valid only public routes are served"
    MEMORY = "an instance stays within its memory"
    BESIDE = "sound requests that share its other parts begin half as often"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """What the operators' rules allow, in seconds."""

    key_s: float
    left_s: float
    evacuated_s: float = 2.5
    cold_in_a_second: float = 8.0
    # The memory of the smallest machines.
    memory_bytes: int = 200_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that was broken, by which request, and how."""

    promise: Promise
    request_id: str
    detail: str


def check(record: observations.Record, bounds: Bounds) -> list[Violation]:
    """Returns all broken promises."""
    runs: dict[str, list[observations.Ran]] = collections.defaultdict(list)
    for ran in record.ran:
        runs[ran.request_id].append(ran)
    found = list(_unasked(record, runs))
    for asked in record.asked:
        found += _check_one(record, bounds, asked, runs[asked.request_id])
    found += _crashes(record, runs)
    found += _too_many_while_cold(record, bounds)
    found += _sent_against_reports(record, bounds)
    found += _served_worse(record)
    found += _streams(record)
    found += _shares(record)
    found += _too_large(record, bounds)
    return found


def _shares(record: observations.Record) -> Iterable[Violation]:
    for detail in load_checks.out_of_order(record):
        yield Violation(promise=Promise.ORDER, request_id="", detail=detail)
    for detail in load_checks.starved(record):
        yield Violation(promise=Promise.STARVED, request_id="", detail=detail)


def _too_large(
    record: observations.Record, bounds: Bounds
) -> Iterable[Violation]:
    for number, size in enumerate(record.peaks_bytes):
        if size > bounds.memory_bytes:
            yield Violation(
                promise=Promise.MEMORY,
                request_id="",
                detail=f"instance {number} took {size // 1_000_000} MB",
            )


def _streams(record: observations.Record) -> Iterable[Violation]:
    for first_id in stream_checks.mixed(record):
        yield Violation(
            promise=Promise.VERSION, request_id=first_id, detail="two versions"
        )
    for request_id in stream_checks.refused_at_one_version(record):
        yield Violation(
            promise=Promise.ONE_VERSION,
            request_id=request_id,
            detail="version unknown",
        )
    detail = stream_checks.refused_resumptions(record, in_touch(record))
    if detail:
        yield Violation(promise=Promise.RESUMED, request_id="", detail=detail)


def in_touch(record: observations.Record) -> list[observations.Asked]:
    """Returns what was asked at instances that were in touch."""
    return [o for o in record.asked if not _touches(record.disturbed, o)]


def whole_body(
    asked: observations.Asked, events: int, padding_bytes: int = 0
) -> bytes:
    """Returns the body that a whole answer has."""
    if asked.kind in (
        observations.RequestKind.SAFE,
        observations.RequestKind.UNSAFE,
    ):
        return b"answer to " + asked.request_id.encode()
    numbers = range(asked.after_event + 1, events + 1)
    padding = b"." * padding_bytes
    return b"".join(
        b"id: %d\ndata: piece %d%s\n\n" % (n, n, padding) for n in numbers
    )


def _crashes(
    record: observations.Record, runs: dict[str, list[observations.Ran]]
) -> Iterable[Violation]:
    undisturbed = in_touch(record)
    found = crash_checks.sent_on(record, undisturbed, runs)
    if found:
        request_id, detail = found
        yield Violation(
            promise=Promise.CRASHES, request_id=request_id, detail=detail
        )
    detail = crash_checks.refused_beside(record, undisturbed)
    if detail:
        yield Violation(promise=Promise.BESIDE, request_id="", detail=detail)


def _too_many_while_cold(
    record: observations.Record, bounds: Bounds
) -> Iterable[Violation]:
    """Counts every second, of all instances, whatever disturbed them.

    But for the time in which the store had lost that a server is cold: an
    instance that starts then has nobody to hear it from.
    """
    for span in record.cold:
        runs = sorted(
            (ran.at_s, ran.request_id)
            for ran in record.ran
            if ran.server == span.target
            and span.from_s <= ran.at_s <= span.to_s
            and not any(
                lost.from_s <= ran.at_s <= lost.to_s for lost in record.unlisted
            )
        )
        times_s = [at_s for at_s, _ in runs]
        for at_s, request_id in runs:
            count = sum(at_s - 1.0 < other_s <= at_s for other_s in times_s)
            if count > bounds.cold_in_a_second:
                yield Violation(
                    promise=Promise.COLD,
                    request_id=request_id,
                    detail=f"{count} in a second at server {span.target}",
                )
                break


def _served_worse(record: observations.Record) -> Iterable[Violation]:
    """Compares instances that lost their links to servers with the others."""
    for from_s, to_s in {(s.from_s, s.to_s) for s in record.partitioned}:
        cut = {s.target for s in record.partitioned if s.from_s == from_s}
        asked = [
            one
            for one in record.asked
            if from_s + _PARTITION_KNOWN_S <= one.sent_s
            and one.ended_s <= to_s
            and not one.crashing
            and one.key not in record.withdrawn
            and not _touches(record.disturbed, one)
        ]
        here = [_is_served(one) for one in asked if one.instance in cut]
        others = [_is_served(one) for one in asked if one.instance not in cut]
        if not here or not others:
            continue
        failed = len(here) - sum(here)
        allowed = _FAILED_ALLOWED + _FAILED_SHARE_ALLOWED * len(asked)
        share = sum(here) / len(here)
        least = _LEAST_SHARE * sum(others) / len(others)
        if share < least and failed > allowed:
            yield Violation(
                promise=Promise.PARTITION,
                request_id=asked[-1].request_id,
                detail=f"{sum(here)} of {len(here)} served, the others "
                f"{sum(others)} of {len(others)}",
            )


def _is_served(asked: observations.Asked) -> bool:
    return asked.status == 200 and asked.whole


def _sent_against_reports(
    record: observations.Record, bounds: Bounds
) -> Iterable[Violation]:
    """Checks each instance and each life of a server apart."""
    asked = {one.request_id: one for one in record.asked}
    groups: dict[tuple[int, int, int | None], list[observations.Arrived]] = (
        collections.defaultdict(list)
    )
    for one in sorted(record.arrived, key=lambda one: one.at_s):
        if one.request_id in asked:
            instance = asked[one.request_id].instance
            groups[instance, one.server, one.life].append(one)
    for (instance, server, _), arrived in groups.items():
        spans = [s for s in record.disturbed if s.target == instance]
        detail = f"instance {instance}, server {server}"
        for late in _after_leaving(arrived, asked, spans, bounds):
            yield Violation(
                promise=Promise.LEAVING, request_id=late, detail=detail
            )
        for late in _in_a_rest(arrived, spans):
            yield Violation(
                promise=Promise.REST, request_id=late, detail=detail
            )


def _after_leaving(
    arrived: list[observations.Arrived],
    asked: dict[str, observations.Asked],
    disturbed: list[observations.Span],
    bounds: Bounds,
) -> list[str]:
    told_s = min(
        (
            asked[one.request_id].ended_s
            for one in arrived
            if one.leaving and asked[one.request_id].status
        ),
        default=None,
    )
    if told_s is None:
        return []
    return [
        one.request_id
        for one in arrived
        if asked[one.request_id].sent_s > told_s + bounds.left_s
        and not _overlap(disturbed, told_s, one.at_s)
    ]


def _in_a_rest(
    arrived: list[observations.Arrived], disturbed: list[observations.Span]
) -> list[str]:
    broken = []
    for first in arrived:
        until_s = first.at_s + first.rest_s
        if not first.rest_s or _overlap(disturbed, first.at_s, until_s):
            continue
        late = [
            one.request_id
            for one in arrived
            if first.at_s + _REST_KNOWN_S < one.at_s < until_s
        ]
        if len(late) > _IN_A_REST_ALLOWED:
            broken.append(late[-1])
    return broken


def _overlap(
    spans: list[observations.Span], from_s: float, to_s: float
) -> bool:
    return any(span.from_s <= to_s and from_s <= span.to_s for span in spans)


def _unasked(
    record: observations.Record, runs: dict[str, list[observations.Ran]]
) -> Iterable[Violation]:
    known = {asked.request_id for asked in record.asked}
    for request_id in runs.keys() - known:
        yield Violation(
            promise=Promise.UNASKED, request_id=request_id, detail="unknown id"
        )


def _check_one(
    record: observations.Record,
    bounds: Bounds,
    asked: observations.Asked,
    runs: list[observations.Ran],
) -> Iterable[Violation]:
    broken: list[tuple[Promise, str]] = []
    expected = whole_body(asked, record.events, record.padding_bytes)
    body = streams.without_versions(asked.body)
    sound = body == expected and asked.signature and runs
    if asked.status == 200 and asked.whole and not sound:
        broken.append((Promise.WHOLE, f"body {asked.body[:80]!r}"))
    if asked.status == 200 and not expected.startswith(body):
        broken.append((Promise.WHOLE, f"part {asked.body[:80]!r}"))
    if asked.kind.once and len(runs) > 1:
        servers = [ran.server_id for ran in runs]
        broken.append((Promise.ONCE, f"ran at {servers}"))
    # Requests of hard load that may be repeated are rejected as truthfully.
    told = asked.kind.once or asked.team
    if told and asked.status in observations.NOT_RUN and runs:
        broken.append((Promise.NOT_RUN, f"{asked.status}, ran {len(runs)}"))
    withdrawn_s = record.withdrawn.get(asked.key)
    if withdrawn_s is not None and runs:
        late_s = asked.sent_s - withdrawn_s
        if late_s > bounds.key_s:
            broken.append((Promise.KEY, f"sent {late_s:.2f} s later"))
    never_valid = bool(record.keys) and asked.key not in record.keys
    if never_valid and runs and not asked.public:
        broken.append((Promise.HELD, f"key {asked.key!r}"))
    undisturbed = not _touches(record.disturbed, asked)
    if undisturbed:
        broken += _left_late(record, bounds, asked, runs)
        broken += _sent_far(record, bounds, asked, runs)
        took_s = asked.ended_s - asked.sent_s
        if took_s > asked.deadline_s + _HANDLED:
            broken.append((Promise.TIME, f"took {took_s:.2f} s"))
    if asked.calm and asked.status != 200:
        broken.append((Promise.SERVED, f"status {asked.status}"))
    stopped = _touches(record.stopped, asked) and undisturbed and not asked.left
    if stopped and runs and (asked.status == 0 or not asked.whole):
        broken.append((Promise.STOP, f"status {asked.status}, cut"))
    for promise, detail in broken:
        yield Violation(
            promise=promise, request_id=asked.request_id, detail=detail
        )


def _left_late(
    record: observations.Record,
    bounds: Bounds,
    asked: observations.Asked,
    runs: list[observations.Ran],
) -> list[tuple[Promise, str]]:
    late = []
    for ran in runs:
        left_s = record.left.get(ran.server_id)
        if left_s is None or asked.sent_s <= left_s + bounds.left_s:
            continue
        unknown = any(
            span.from_s < left_s + bounds.left_s
            and left_s < span.to_s
            and asked.sent_s < span.to_s
            for span in record.lagged
        )
        if not unknown:
            late.append((Promise.LEFT, f"at {ran.server_id}"))
    return late


def _sent_far(
    record: observations.Record,
    bounds: Bounds,
    asked: observations.Asked,
    runs: list[observations.Ran],
) -> list[tuple[Promise, str]]:
    evacuated = any(
        span.from_s + bounds.evacuated_s < asked.sent_s
        and asked.ended_s < span.to_s
        for span in record.evacuated
    )
    if not evacuated:
        return []
    return [
        (Promise.EVACUATED, f"at {ran.server_id}") for ran in runs if ran.far
    ]


def _touches(
    spans: tuple[observations.Span, ...], asked: observations.Asked
) -> bool:
    return any(
        span.target == asked.instance
        and span.from_s <= asked.ended_s
        and asked.sent_s <= span.to_s
        for span in spans
    )
