"""Canonical encoding of JSON documents and division of bundles into sections.

A bundle of the specified fleet size is several megabytes long and changes 3,800
times a day, while an instance may spend only 2 KB/s on control traffic. A
bundle is therefore stored as sections, each under its digest, and an instance
fetches only sections that changed. Large maps are sharded by the hash of the
name.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Mapping
from typing import Any

SHARDS = 64
MAX_OBJECT_BYTES = 32_000_000
SHARDED = ("backend_servers", "teams")
_ROOT = "root"


def encode(document: Any) -> bytes:
    """Encodes a document as canonical JSON.

    Example:
        >>> encode({"b": 1, "a": [2]})
        b'{"a":[2],"b":1}'
    """
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=True
    ).encode("ascii")


def compress(data: bytes) -> bytes:
    """Compresses bytes for the object store."""
    return zlib.compress(data, level=9)


def decompress(data: bytes) -> bytes | None:
    """Undoes ``compress``.

    Returns:
        The decompressed bytes; None if they are damaged or longer than
        ``MAX_OBJECT_BYTES``. The limit prevents a small object from exhausting
        an instance's memory.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_OBJECT_BYTES)
    except zlib.error:
        return None
    return content if decompressor.eof else None


def digest(data: bytes) -> str:
    """Returns the SHA-256 digest of data in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def split(document: Mapping[str, Any]) -> dict[str, bytes]:
    """Splits a bundle into named sections.

    Args:
        document: The bundle as decoded JSON.

    Returns:
        Canonical bytes by section name; empty shards are omitted.

    See Also:
        join: the inverse.
    """
    root = {k: v for k, v in document.items() if k not in SHARDED}
    number = root.pop("number", None)
    note = root.pop("note", "")
    del number, note  # Kept in the manifest, so the root rarely changes.
    sections = {_ROOT: encode(root)}
    for field in SHARDED:
        shards: dict[int, dict[str, Any]] = {}
        for name, value in document.get(field, {}).items():
            shards.setdefault(shard_of(name), {})[name] = value
        for index, shard in shards.items():
            sections[f"{field}/{index}"] = encode(shard)
    return sections


def join(
    sections: Mapping[str, bytes], *, number: int, note: str
) -> dict[str, Any]:
    """Joins sections into a bundle.

    Raises:
        ValueError: A section is not JSON or there is no root section.
    """
    if _ROOT not in sections:
        raise ValueError("bundle has no 'root' section")
    document = json.loads(sections[_ROOT])
    for field in SHARDED:
        document[field] = {}
    for name, data in sections.items():
        field, _, index = name.partition("/")
        if index and field in SHARDED:
            document[field].update(json.loads(data))
    document["number"] = number
    document["note"] = note
    return document


def shard_of(name: str) -> int:
    """Returns the shard, 0 to ``SHARDS - 1``, that a name belongs to."""
    prefix = hashlib.blake2b(name.encode(), digest_size=2).digest()
    return int.from_bytes(prefix, "big") % SHARDS
