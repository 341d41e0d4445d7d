"""Ranking of backend servers for a key, the same on every instance."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from irisshelf.catalog import directory


def rank(
    servers: Sequence[directory.BackendServer], key: str
) -> list[directory.BackendServer]:
    """Sorts servers for a key by rendezvous hashing, the preferred one first.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return sorted(servers, key=lambda s: _score(s.server_id, key))


def _score(server_id: str, key: str) -> bytes:
    text = f"{server_id}/{key}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
