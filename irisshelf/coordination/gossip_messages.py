"""Messages between instances, and their form on the wire.

A message is CBOR: short lists in place of maps, since every byte counts
against an instance's 2 KB/s. The first item is the version; a message of
another version, too long, or of another shape is refused whole.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from typing import Any

import cbor2
import result

VERSION = 1
MAX_BYTES = 16_384
MAX_FULL = 64
MAX_LOADS = 16
MAX_NAME = 64
# What decoding bytes from a peer may raise, of the library and of our checks.
MALFORMED = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    OverflowError,
    RecursionError,
    AttributeError,
)
MAX_BEATS = 64
BEAT_MODULUS = 1 << 16
_HASH_BYTES = 3
_BEAT_BYTES = 2
_AGE_BYTES = 1
AGE_STEP_S = 0.05
_MAX_AGE = 255


class Status(enum.StrEnum):
    """What one instance thinks of another."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


LIVE = frozenset({Status.ALIVE, Status.SUSPECT})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Outstanding work on the engines of a service that somebody owns.

    Attributes:
        service: The service's name.
        work: Sum of the work, in tokens.
        engines: Number of those engines that take work.
        full: Numbers of those at their bound, in the bundle's order.
    """

    service: str
    work: float
    engines: int
    full: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """What an instance says of itself."""

    name: str
    incarnation: int
    beat: int
    leaving: bool
    loads: tuple[Load, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Sum over a data centre's instances.

    Attributes:
        data_centre: The data centre.
        age_s: How long ago the sum was made; it may have come a long way.
        loads: The sums by service.
    """

    data_centre: str
    age_s: float
    loads: tuple[Load, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Beat:
    """How fresh the sender's knowledge of an instance is.

    Attributes:
        name_hash: From ``name_hash``; a name would cost five times as much.
        beat: The instance's beat, modulo ``BEAT_MODULUS``.
        age_s: How long ago the instance made it, in steps of ``AGE_STEP_S``.
            Without it, old beats would count as a sign of life each time that
            it reaches somebody new.
    """

    name_hash: int
    beat: int
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadHint:
    """The highest bundle head that the sender knows."""

    number: int
    object_key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """One message."""

    version: int
    sender: str
    data_centre: str
    wants_answer: bool
    head: HeadHint
    records: tuple[Record, ...]
    summaries: tuple[Summary, ...]
    beats: tuple[Beat, ...] = ()


def name_hash(name: str) -> int:
    """Returns a name's hash of 24 bits, for beats."""
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def encode(message: Message) -> bytes:
    """Encodes a message."""
    return cbor2.dumps(
        [
            message.version,
            message.sender,
            message.data_centre,
            message.wants_answer,
            [message.head.number, message.head.object_key],
            [
                [r.name, r.incarnation, r.beat, r.leaving, _loads(r.loads)]
                for r in message.records
            ],
            [
                [s.data_centre, round(s.age_s / AGE_STEP_S), _loads(s.loads)]
                for s in message.summaries
            ],
            _pack(message.beats),
        ]
    )


def size_of(message: Message) -> int:
    """Returns the bytes that a message takes on the wire, frame included."""
    return len(encode(message)) + 8


def decode(data: bytes) -> result.Result[Message, str]:
    """Decodes a message.

    Returns:
        The message, or why it is refused.
    """
    if len(data) > MAX_BYTES:
        return result.Err(f"{len(data)} bytes, allowed: {MAX_BYTES}")
    try:
        items = cbor2.loads(data)
        return _message(items)
    except MALFORMED as exc:
        return result.Err(f"{type(exc).__name__}: {exc}")


def _message(items: Any) -> result.Result[Message, str]:
    if not isinstance(items, list) or len(items) != 8:
        return result.Err("not a list of 8 items")
    if items[0] != VERSION:
        return result.Err(f"version is {items[0]!r}, allowed: {VERSION}")
    number, object_key = items[4]
    return result.Ok(
        Message(
            version=VERSION,
            sender=_name(items[1]),
            data_centre=_name(items[2]),
            wants_answer=bool(items[3]),
            head=HeadHint(number=_count(number), object_key=str(object_key)),
            records=tuple(_record(item) for item in items[5]),
            summaries=tuple(_summary(item) for item in items[6]),
            beats=_beats(items[7]),
        )
    )


def _pack(beats: tuple[Beat, ...]) -> bytes:
    return b"".join(
        beat.name_hash.to_bytes(_HASH_BYTES, "big")
        + (beat.beat % BEAT_MODULUS).to_bytes(_BEAT_BYTES, "big")
        + min(_MAX_AGE, round(beat.age_s / AGE_STEP_S)).to_bytes(
            _AGE_BYTES, "big"
        )
        for beat in beats
    )


def _beats(packed: Any) -> tuple[Beat, ...]:
    size = _HASH_BYTES + _BEAT_BYTES + _AGE_BYTES
    if not isinstance(packed, bytes) or len(packed) % size:
        raise ValueError("beats are not packed")
    if len(packed) > MAX_BEATS * size:
        raise ValueError(f"{len(packed) // size} beats, allowed: {MAX_BEATS}")
    parts = [packed[i : i + size] for i in range(0, len(packed), size)]
    return tuple(
        Beat(
            name_hash=int.from_bytes(part[:_HASH_BYTES], "big"),
            beat=int.from_bytes(part[_HASH_BYTES:-_AGE_BYTES], "big"),
            age_s=part[-1] * AGE_STEP_S,
        )
        for part in parts
    )


def _record(item: Any) -> Record:
    name, incarnation, beat, leaving, loads = item
    return Record(
        name=_name(name),
        incarnation=_count(incarnation),
        beat=_count(beat),
        leaving=bool(leaving),
        loads=_load_list(loads),
    )


def _summary(item: Any) -> Summary:
    data_centre, age, loads = item
    return Summary(
        data_centre=_name(data_centre),
        age_s=_count(age) * AGE_STEP_S,
        loads=_load_list(loads),
    )


def _loads(loads: tuple[Load, ...]) -> list[list[Any]]:
    return [
        [load.service, round(load.work), load.engines, list(load.full)]
        for load in loads
    ]


def _load_list(items: Any) -> tuple[Load, ...]:
    if len(items) > MAX_LOADS:
        raise ValueError(f"{len(items)} loads, allowed: {MAX_LOADS}")
    return tuple(
        Load(
            service=_name(service),
            work=float(_count(work)),
            engines=_count(engines),
            full=tuple(_count(n) for n in full[:MAX_FULL]),
        )
        for service, work, engines, full in items
    )


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME:
        raise ValueError(f"name is {value!r:.80}")
    return value


def _count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"count is a {type(value).__name__}")
    if not 0 <= value < 2**63:
        raise ValueError(f"count is {value}")
    return value
