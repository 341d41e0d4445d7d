"""Fingerprints of what may make a request crash the servers that run it.

A request has one fingerprint of its whole content, which all its repeats share,
and one of each shared part of its prompt, which other requests have as well.
"""

from __future__ import annotations

import functools
import hashlib

_DIGEST_BYTES = 8
# Fingerprints of both kinds differ in their length.
CONTENT_BYTES = 2 * _DIGEST_BYTES
PART_BYTES = 12
# Callers send the same parts again and again.
_CACHED_PARTS = 8192


def fingerprint_prefix(team: str, method: str, target: str, size: int) -> bytes:
    """Returns the first half of a fingerprint, which needs no hash of the body.

    Args:
        team: The caller's team; empty on public routes.
        method: HTTP method, such as ``POST``.
        target: Path and query.
        size: Size of the body in bytes.
    """
    text = f"{team}\0{method}\0{target}\0{size}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


def request_fingerprint(
    team: str, method: str, target: str, body: bytes
) -> bytes:
    """Returns a fingerprint that is the same for all repeats of a request.

    It consists of two digests. Request ids, deadlines and the resume position
    of a stream are left out because they differ between repeats; host and
    service may differ after a configuration change.

    Args:
        team: The caller's team; empty on public routes.
        method: HTTP method, such as ``POST``.
        target: Path and query.
        body: The complete body.

    Example:
        >>> request_fingerprint("a", "GET", "/x", b"").hex()
        'a73b3951233db5c5e4a6a0577479b2b4'
    """
    prefix = fingerprint_prefix(team, method, target, len(body))
    return prefix + hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()


@functools.lru_cache(maxsize=_CACHED_PARTS)
def part_fingerprint(service: str, part_id: str) -> bytes:
    """Returns the fingerprint of a prompt part at the servers of a service.

    Another service runs other software, and may have no trouble with the part.

    Args:
        service: The service.
        part_id: Hash of the part's content, as callers send it.

    Example:
        >>> part_fingerprint("lm", "p1") == part_fingerprint("other", "p1")
        False
    """
    text = f"{service}\0{part_id}".encode()
    return hashlib.blake2b(text, digest_size=PART_BYTES).digest()


def prefix_of(fingerprint: bytes) -> bytes:
    """Returns the half that ``fingerprint_prefix`` computes."""
    return fingerprint[:_DIGEST_BYTES]
