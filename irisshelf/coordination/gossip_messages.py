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
MAX_FULL_ENGINES = 64
MAX_LOADS = 16
MAX_NAME_CHARS = 64
# What decoding bytes from a peer may raise, of the library and of our checks.
DECODE_ERRORS = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    OverflowError,
    RecursionError,
    AttributeError,
)
MAX_HEARTBEATS = 64
HEARTBEAT_MODULUS = 1 << 16
_HASH_BYTES = 3
_COUNTER_BYTES = 2
_AGE_BYTES = 1
AGE_RESOLUTION_S = 0.05
_MAX_AGE = 255


class Status(enum.StrEnum):
    """What one instance thinks of another."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


LIVE_STATUSES = frozenset({Status.ALIVE, Status.SUSPECT})


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
    full_engines: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceRecord:
    """What an instance says of itself."""

    name: str
    incarnation: int
    heartbeat: int
    leaving: bool
    loads: tuple[Load, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadSummary:
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
class Heartbeat:
    """How fresh the sender's knowledge of an instance is.

    Attributes:
        name_hash: From ``name_hash``; a name would cost five times as much.
        beat: The instance's beat, modulo ``BEAT_MODULUS``.
        age_s: How long ago the instance made it, in steps of ``AGE_STEP_S``.
            Without it, old beats would count as a sign of life each time that
            it reaches somebody new.
    """

    name_hash: int
    counter: int
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
    wants_reply: bool
    head: HeadHint
    records: tuple[InstanceRecord, ...]
    summaries: tuple[LoadSummary, ...]
    heartbeats: tuple[Heartbeat, ...] = ()


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
            message.wants_reply,
            [message.head.number, message.head.object_key],
            [
                [r.name, r.incarnation, r.heartbeat, r.leaving, _loads(r.loads)]
                for r in message.records
            ],
            [
                [
                    s.data_centre,
                    round(s.age_s / AGE_RESOLUTION_S),
                    _loads(s.loads),
                ]
                for s in message.summaries
            ],
            _pack_heartbeats(message.heartbeats),
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
    except DECODE_ERRORS as exc:
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
            wants_reply=bool(items[3]),
            head=HeadHint(number=_count(number), object_key=str(object_key)),
            records=tuple(_record(item) for item in items[5]),
            summaries=tuple(_summary(item) for item in items[6]),
            heartbeats=_unpack_heartbeats(items[7]),
        )
    )


def _pack_heartbeats(heartbeats: tuple[Heartbeat, ...]) -> bytes:
    return b"".join(
        heartbeat.name_hash.to_bytes(_HASH_BYTES, "big")
        + (heartbeat.counter % HEARTBEAT_MODULUS).to_bytes(
            _COUNTER_BYTES, "big"
        )
        + min(_MAX_AGE, round(heartbeat.age_s / AGE_RESOLUTION_S)).to_bytes(
            _AGE_BYTES, "big"
        )
        for heartbeat in heartbeats
    )


def _unpack_heartbeats(packed: Any) -> tuple[Heartbeat, ...]:
    size = _HASH_BYTES + _COUNTER_BYTES + _AGE_BYTES
    if not isinstance(packed, bytes) or len(packed) % size:
        raise ValueError("beats are not packed")
    if len(packed) > MAX_HEARTBEATS * size:
        raise ValueError(
            f"{len(packed) // size} beats, allowed: {MAX_HEARTBEATS}"
        )
    parts = [packed[i : i + size] for i in range(0, len(packed), size)]
    return tuple(
        Heartbeat(
            name_hash=int.from_bytes(part[:_HASH_BYTES], "big"),
            counter=int.from_bytes(part[_HASH_BYTES:-_AGE_BYTES], "big"),
            age_s=part[-1] * AGE_RESOLUTION_S,
        )
        for part in parts
    )


def _record(item: Any) -> InstanceRecord:
    name, incarnation, heartbeat, leaving, loads = item
    return InstanceRecord(
        name=_name(name),
        incarnation=_count(incarnation),
        heartbeat=_count(heartbeat),
        leaving=bool(leaving),
        loads=_load_list(loads),
    )


def _summary(item: Any) -> LoadSummary:
    data_centre, age, loads = item
    return LoadSummary(
        data_centre=_name(data_centre),
        age_s=_count(age) * AGE_RESOLUTION_S,
        loads=_load_list(loads),
    )


def _loads(loads: tuple[Load, ...]) -> list[list[Any]]:
    return [
        [load.service, round(load.work), load.engines, list(load.full_engines)]
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
            full_engines=tuple(_count(n) for n in full[:MAX_FULL_ENGINES]),
        )
        for service, work, engines, full in items
    )


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise ValueError(f"name is {value!r:.80}")
    return value


def _count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"count is a {type(value).__name__}")
    if not 0 <= value < 2**63:
        raise ValueError(f"count is {value}")
    return value
