"""Counts the bytes of control traffic as HTTP carries it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

# Request line's fixed part and the headers that the HTTP client adds itself:
# Host, Connection, User-Agent, Content-Length. Counted off a capture of our
# own requests; TCP and IP headers are not included.
_REQUEST_OVERHEAD_BYTES = 120
_STATUS_LINE = 17
_HEADER_OVERHEAD = 4

ByteCounter = Callable[[str, int], None]


def exchange_bytes(
    path: str, body: bytes, response: Any, content: bytes
) -> int:
    """Returns the bytes of one request and its answer."""
    head = sum(
        len(str(name)) + len(str(value)) + _HEADER_OVERHEAD
        for name, value in response.items()
    )
    sent = _REQUEST_OVERHEAD_BYTES + len(path) + len(body)
    return sent + _STATUS_LINE + head + len(content)
