"""Estimates the size of control traffic at the HTTP level."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

# Fixed part of the request line plus the headers that the HTTP client adds:
# Host, Connection, User-Agent, Content-Length. Taken from a capture of this
# project's requests; TCP and IP headers are not included.
_REQUEST_OVERHEAD_BYTES = 120
_STATUS_LINE_BYTES = 17
_HEADER_OVERHEAD_BYTES = 4

ByteCounter = Callable[[str, int], None]


def exchange_bytes(
    path: str, body: bytes, response: Any, content: bytes
) -> int:
    """Returns the size in bytes of a request and its response."""
    headers = sum(
        len(str(name)) + len(str(value)) + _HEADER_OVERHEAD_BYTES
        for name, value in response.items()
    )
    sent = _REQUEST_OVERHEAD_BYTES + len(path) + len(body)
    return sent + _STATUS_LINE_BYTES + headers + len(content)
