"""Whole tables of the store as instances write them down for each other."""

from __future__ import annotations

import dataclasses
import zlib
from typing import Annotated

import cbor2
import msgspec

from irisshelf.catalog import position as position_module
from irisshelf.gateway.knowledge import server_records
from irisshelf.store import feed

# What a whole table may have, unpacked.
_MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# The network is fast, the processor of the one that packs may be slow.
_FASTEST_PACKING = 1

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class Message(msgspec.Struct, array_like=True):
    """A whole table, the operators' rows or the list of servers."""

    era: Count
    revision: Count
    # The moment of the table, by the store's clock.
    store_s: _Seconds
    # The store's clock at the answer, surely not too early.
    clock_s: _Seconds
    # The configuration as the store has it; empty for the list of servers.
    catalog: bytes = b""
    evacuated: list[str] = []
    servers: list[server_records.ServerRecord] = []


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AsOf:
    """Up to where a table is known.

    Attributes:
        position: The store's position.
        store_s: When that was the newest, by the store's clock.
    """

    position: position_module.Position
    store_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinimumVersion:
    """What an instance has been told of and does not have.

    Attributes:
        position: Of the table, at least.
        version: Of the configuration, at least; 0 for the list of servers.
        digest: Of that very version; empty if it is not known.
    """

    position: position_module.Position
    version: int = 0
    digest: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedSnapshot:
    """A whole table that another instance has sent.

    Attributes:
        batch: The table, as the store would answer it.
        sent_s: When it was asked for, monotonic seconds.
        clock_s: The store's clock at the answer, surely not too early.
    """

    batch: feed.Batch
    sent_s: float
    clock_s: float


def encode(message: Message) -> bytes:
    """Returns a table's bytes."""
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return compress(cbor2.dumps(content))


def decode(data: bytes) -> Message:
    """Reads a table.

    Raises:
        ValueError: It is none; the text says why.
    """
    try:
        return msgspec.convert(cbor2.loads(decompress(data)), Message)
    except (TypeError, cbor2.CBORError) as exc:
        raise ValueError(str(exc)) from exc


def compress(data: bytes) -> bytes:
    """Returns bytes in fewer."""
    return zlib.compress(data, _FASTEST_PACKING)


def decompress(data: bytes) -> bytes:
    """Returns what was packed.

    Raises:
        ValueError: It was not, is not whole, or is longer than any table.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError(
            f"not whole, or longer than {_MAX_DECOMPRESSED_BYTES} bytes"
        )
    return unpacked
