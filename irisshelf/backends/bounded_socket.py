"""A socket that bounds what is read of each response.

geventhttpclient reads the head and the body of a response for as long as bytes
arrive, without a limit and without a turn for other greenlets. Both are added
below it.
"""

from __future__ import annotations

import dataclasses
import errno
import math
import re
from typing import Any

from gevent import socket

from irisshelf import boottime
from irisshelf.transport import turns

_MAX_HEAD_BYTES = 65_536
_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_EVENT_END = b"\n\n"
_INTERIM = re.compile(rb"HTTP/\d\.\d 1\d\d")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits on one response.

    Attributes:
        max_bytes: Maximum size in bytes, with its framing.
        max_event_bytes: Maximum size of an event of a stream, with its framing;
            None if the response is no stream.
        max_s: Time limit in seconds from the request to the end.
    """

    max_bytes: int = 67_108_864
    max_event_bytes: int | None = None
    max_s: float = math.inf


class BoundedSocket(socket.socket):
    """A connection over which one request at a time is sent.

    Args:
        *args: As for a socket.
        bounds: Limits on the response to each request.
        **options: As for a socket.
    """

    def __init__(self, *args: Any, bounds: Bounds, **options: Any):
        super().__init__(*args, **options)
        self._bounds = bounds
        self._turns = turns.Turns()
        self._begin()

    def sendall(self, data: bytes, flags: int = 0) -> None:
        """Sends a part of a request; see ``socket.sendall``."""
        self._begin()
        try:
            super().sendall(data, flags)
        except OSError as exc:
            self._send_error = exc
            raise

    def recv(self, *args: Any) -> bytes:
        """Receives a part of a response; see ``socket.recv``.

        Raises:
            OSError: The response is too long, or its head is, or the input ends
                after the connection has failed while the request was sent.
            TimeoutError: The response takes too long.
        """
        if boottime.now() > self._until_s:
            raise TimeoutError(f"no end within {self._bounds.max_s} s")
        data = super().recv(*args)
        if not data and self._send_error is not None:
            # geventhttpclient reads on after an error in sending. The kernel
            # reports a reset once, so that the input seems to end.
            raise self._send_error
        self._turns.record(len(data) + turns.PART_COST)
        self._size += len(data)
        if self._size > self._bounds.max_bytes:
            raise _too_long("response", self._bounds.max_bytes)
        if self._head is not None:
            self._check_head(data)
        elif self._bounds.max_event_bytes is not None:
            self._check_event(data, self._bounds.max_event_bytes)
        return data

    def _begin(self) -> None:
        self._size = 0
        self._send_error: OSError | None = None
        self._head_bytes = 0
        self._event_bytes = 0
        # What has arrived of the head; None after its end.
        self._head: bytearray | None = bytearray()
        self._until_s = boottime.now() + self._bounds.max_s

    def _check_head(self, data: bytes) -> None:
        """Looks for the end of the head, after interim responses."""
        self._head_bytes += len(data)
        self._head += data
        while end := _BLANK_LINE.search(self._head):
            if not _INTERIM.match(self._head):
                self._head = None
                return
            del self._head[: end.end()]
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise _too_long("head of the response", _MAX_HEAD_BYTES)

    def _check_event(self, data: bytes, limit: int) -> None:
        """Counts the bytes since the end of the latest event."""
        end = data.rfind(_EVENT_END)
        if end >= 0:
            self._event_bytes = -end
        self._event_bytes += len(data)
        if self._event_bytes > limit:
            raise _too_long("event", limit)


def _too_long(what: str, limit: int) -> OSError:
    return OSError(errno.EMSGSIZE, f"{what} is too long, allowed: {limit}")
