"""Gossip messages and their wire format.

Messages are encoded as CBOR lists instead of maps to save bytes, as an
instance's control traffic is limited to 2 KB/s. The first item is the version.
A message that is too long, has another version or is malformed is rejected as a
whole.
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
# Errors that decoding a peer's bytes may raise, from the library or the checks
# in this module.
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
_MAX_AGE_STEPS = 255


class Status(enum.StrEnum):
    """Liveness of an instance as observed by another."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


LIVE_STATUSES = frozenset({Status.ALIVE, Status.SUSPECT})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Outstanding work on a service's engines that an instance owns.

    Attributes:
        service: Name of the service.
        work: Total work in tokens.
        engines: Number of these engines that accept work.
        full_engines: Indices, in the bundle's order, of engines at their limit.
    """

    service: str
    work: float
    engines: int
    full_engines: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceRecord:
    """An instance's record of itself."""

    name: str
    incarnation: int
    heartbeat: int
    leaving: bool
    loads: tuple[Load, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadSummary:
    """Total loads of a data centre's instances.

    Attributes:
        data_centre: The data centre.
        age_s: Time since the totals were computed; they may have been relayed
            several times.
        loads: Total load of each service.
    """

    data_centre: str
    age_s: float
    loads: tuple[Load, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Age of the sender's latest information about an instance.

    Attributes:
        name_hash: From ``name_hash``; a name would take five times as many
            bytes.
        counter: The instance's heartbeat, modulo ``HEARTBEAT_MODULUS``.
        age_s: Time since the instance made the heartbeat, in steps of
            ``AGE_RESOLUTION_S``. Without it, an old heartbeat would count as a
            sign of life whenever it is relayed to another instance.
    """

    name_hash: int
    counter: int
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadHint:
    """The highest bundle head known to the sender."""

    number: int
    object_key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """A gossip message."""

    version: int
    sender: str
    data_centre: str
    wants_reply: bool
    head: HeadHint
    records: tuple[InstanceRecord, ...]
    summaries: tuple[LoadSummary, ...]
    heartbeats: tuple[Heartbeat, ...] = ()


def name_hash(name: str) -> int:
    """Returns the 24-bit hash of a name for use in heartbeats."""
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
                [
                    r.name,
                    r.incarnation,
                    r.heartbeat,
                    r.leaving,
                    _encode_loads(r.loads),
                ]
                for r in message.records
            ],
            [
                [
                    s.data_centre,
                    round(s.age_s / AGE_RESOLUTION_S),
                    _encode_loads(s.loads),
                ]
                for s in message.summaries
            ],
            _pack_heartbeats(message.heartbeats),
        ]
    )


def size_of(message: Message) -> int:
    """Returns a message's size on the wire in bytes, framing included."""
    return len(encode(message)) + 8


def decode(data: bytes) -> result.Result[Message, str]:
    """Decodes a message.

    Returns:
        The message, or the reason for its rejection.
    """
    if len(data) > MAX_BYTES:
        return result.Err(f"{len(data)} bytes, allowed: {MAX_BYTES}")
    try:
        items = cbor2.loads(data)
        return _decode_message(items)
    except DECODE_ERRORS as exc:
        return result.Err(f"{type(exc).__name__}: {exc}")


def _decode_message(items: Any) -> result.Result[Message, str]:
    if not isinstance(items, list) or len(items) != 8:
        return result.Err("not a list of 8 items")
    if items[0] != VERSION:
        return result.Err(f"version is {items[0]!r}, allowed: {VERSION}")
    number, object_key = items[4]
    return result.Ok(
        Message(
            version=VERSION,
            sender=_checked_name(items[1]),
            data_centre=_checked_name(items[2]),
            wants_reply=bool(items[3]),
            head=HeadHint(
                number=_checked_count(number), object_key=str(object_key)
            ),
            records=tuple(_decode_record(item) for item in items[5]),
            summaries=tuple(_decode_summary(item) for item in items[6]),
            heartbeats=_unpack_heartbeats(items[7]),
        )
    )


def _pack_heartbeats(heartbeats: tuple[Heartbeat, ...]) -> bytes:
    return b"".join(
        heartbeat.name_hash.to_bytes(_HASH_BYTES, "big")
        + (heartbeat.counter % HEARTBEAT_MODULUS).to_bytes(
            _COUNTER_BYTES, "big"
        )
        + min(
            _MAX_AGE_STEPS, round(heartbeat.age_s / AGE_RESOLUTION_S)
        ).to_bytes(_AGE_BYTES, "big")
        for heartbeat in heartbeats
    )


def _unpack_heartbeats(packed: Any) -> tuple[Heartbeat, ...]:
    size = _HASH_BYTES + _COUNTER_BYTES + _AGE_BYTES
    if not isinstance(packed, bytes) or len(packed) % size:
        raise ValueError("heartbeats are not a byte string of whole entries")
    if len(packed) > MAX_HEARTBEATS * size:
        raise ValueError(
            f"{len(packed) // size} heartbeats, allowed: {MAX_HEARTBEATS}"
        )
    chunks = [packed[i : i + size] for i in range(0, len(packed), size)]
    return tuple(
        Heartbeat(
            name_hash=int.from_bytes(chunk[:_HASH_BYTES], "big"),
            counter=int.from_bytes(chunk[_HASH_BYTES:-_AGE_BYTES], "big"),
            age_s=chunk[-1] * AGE_RESOLUTION_S,
        )
        for chunk in chunks
    )


def _decode_record(item: Any) -> InstanceRecord:
    name, incarnation, heartbeat, leaving, loads = item
    return InstanceRecord(
        name=_checked_name(name),
        incarnation=_checked_count(incarnation),
        heartbeat=_checked_count(heartbeat),
        leaving=bool(leaving),
        loads=_decode_loads(loads),
    )


def _decode_summary(item: Any) -> LoadSummary:
    data_centre, age, loads = item
    return LoadSummary(
        data_centre=_checked_name(data_centre),
        age_s=_checked_count(age) * AGE_RESOLUTION_S,
        loads=_decode_loads(loads),
    )


def _encode_loads(loads: tuple[Load, ...]) -> list[list[Any]]:
    return [
        [load.service, round(load.work), load.engines, list(load.full_engines)]
        for load in loads
    ]


def _decode_loads(items: Any) -> tuple[Load, ...]:
    if len(items) > MAX_LOADS:
        raise ValueError(f"{len(items)} loads, allowed: {MAX_LOADS}")
    return tuple(
        Load(
            service=_checked_name(service),
            work=float(_checked_count(work)),
            engines=_checked_count(engines),
            full_engines=tuple(
                _checked_count(n) for n in full[:MAX_FULL_ENGINES]
            ),
        )
        for service, work, engines, full in items
    )


def _checked_name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise ValueError(f"name is {value!r:.80}")
    return value


def _checked_count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"count is a {type(value).__name__}")
    if not 0 <= value < 2**63:
        raise ValueError(f"count is {value}")
    return value
