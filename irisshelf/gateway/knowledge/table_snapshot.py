"""Wire format of store-table snapshots exchanged between instances."""

from __future__ import annotations

import dataclasses
import zlib
from typing import Annotated

import cbor2
import msgspec

from irisshelf.catalog import position as position_module
from irisshelf.gateway.knowledge import server_records
from irisshelf.store import feed

# Limit of a decompressed snapshot.
_MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# The fastest zlib level: the network is fast, and the sender's CPU may be slow.
_COMPRESSION_LEVEL = 1

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class Message(msgspec.Struct, array_like=True):
    """A snapshot of a table: the operators' rows or the list of servers."""

    era: Count
    revision: Count
    # When the snapshot was current, by the store's clock.
    store_s: _Seconds
    # Upper bound of the store's clock at the time of the response.
    clock_s: _Seconds
    # The configuration as the store has it; empty for the list of servers.
    catalog: bytes = b""
    evacuated: list[str] = []
    servers: list[server_records.ServerRecord] = []
    # Short ids of those servers that have announced that they leave.
    leaving: list[bytes] = []


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AsOf:
    """The version up to which a table is known.

    Attributes:
        position: The store's position.
        store_s: When that position was the latest, by the store's clock.
    """

    position: position_module.Position
    store_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MinimumVersion:
    """The version that a snapshot must have at least.

    Attributes:
        position: The minimum position of the table.
        version: The minimum version of the configuration; 0 for the list of
            servers.
        digest: Digest of the configuration of exactly that version; empty if
            not known.
    """

    position: position_module.Position
    version: int = 0
    digest: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedSnapshot:
    """A snapshot received from another instance.

    Attributes:
        batch: The table, in the form of a store response.
        leaving: Short ids of servers that have announced that they leave.
        sent_s: When the request was sent, in monotonic seconds.
        clock_s: Upper bound of the store's clock at the time of the response.
    """

    batch: feed.Batch
    sent_s: float
    clock_s: float
    leaving: tuple[bytes, ...] = ()


def encode(message: Message) -> bytes:
    """Encodes and compresses a snapshot."""
    content = msgspec.to_builtins(message, builtin_types=(bytes,))
    return compress(cbor2.dumps(content))


def decode(data: bytes) -> Message:
    """Decompresses and decodes a snapshot.

    Raises:
        ValueError: The data is not a valid snapshot.
    """
    try:
        return msgspec.convert(cbor2.loads(decompress(data)), Message)
    except (TypeError, cbor2.CBORError) as exc:
        raise ValueError(str(exc)) from exc


def compress(data: bytes) -> bytes:
    """Compresses data with zlib."""
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Decompresses zlib data.

    Raises:
        ValueError: The data is not in zlib format, is truncated, or is longer
            than any table when decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError(
            "compressed snapshot is truncated or longer than"
            f" {_MAX_DECOMPRESSED_BYTES} bytes"
        )
    return decompressed
