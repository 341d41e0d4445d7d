"""Reads requests from a caller's connection."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import h11
from gevent import socket

from irisshelf import boottime
from irisshelf.transport import errors
from irisshelf.transport import memory_budget
from irisshelf.transport import turns

READ_BYTES = 65536
# Chunks of a body beyond these have to hold so many bytes on average: each
# costs as much processor time as thousands of bytes.
_FREE_CHUNKS = 16_384
_MIN_CHUNK_BYTES = 16
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Size and time limits for the requests of a caller.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_s: Time limit for a request head, from its first byte.
        idle_s: Time limit for an idle connection, and for each read of a body.
    """

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        method: The HTTP method, such as ``POST``.
        target: Path and query, unchanged.
        headers: Names and values as sent; the case of names is unchanged.
        body: The body without its transfer framing.
        has_body: Whether the headers announce a body, which may be empty.
        arrived_s: Time at which the head was complete, monotonic seconds.
        connection_reused: Whether the connection has served a request before.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    has_body: bool
    arrived_s: float
    connection_reused: bool


class BadRequestError(Exception):
    """A request cannot be read.

    Args:
        status: Status of the response to it.
        text: What is wrong, and what is allowed.
    """

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class RequestReader:
    """Reads the requests of one connection.

    Args:
        sock: The socket.
        parser: The parser of the connection; it also frames its responses.
        send_continue: Asks a caller that waits for it to send the body.
        on_first_byte: Called when a request has begun to arrive.
        work: Counts the work of reading.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        parser: h11.Connection,
        send_continue: Callable[[], None],
        on_first_byte: Callable[[], None],
        work: turns.Turns,
    ):
        self._sock = sock
        self._http = parser
        self._send_continue = send_continue
        self._on_first_byte = on_first_byte
        self._turns = work

    def read(
        self, limits: Limits, share: memory_budget.Share, *, reused: bool
    ) -> Request | None:
        """Reads the next request.

        Args:
            limits: Limits on it.
            share: Memory that its body takes.
            reused: Whether the connection has served a request before.

        Returns:
            The request; None if the connection ended or was idle for too long.

        Raises:
            BadRequestError: The request is invalid, too large or too slow.
            errors.CallerDisconnectedError: The caller left within its body.
        """
        head = self._read_head(limits)
        if head is None:
            return None
        arrived_s = boottime.now()
        headers = tuple(head.headers.raw_items())
        has_body = _check_framing(headers, limits, share)
        if self._http.they_are_waiting_for_100_continue:
            self._send_continue()
        body = self._read_body(limits, share)
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            has_body=has_body,
            arrived_s=arrived_s,
            connection_reused=reused,
        )

    def _read_head(self, limits: Limits) -> h11.Request | None:
        deadline_s = boottime.now() + limits.idle_s
        idle = True
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequestError(exc.error_status_hint, str(exc)) from exc
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if event is not h11.NEED_DATA:
                raise BadRequestError(400, f"{event!r} before a request")
            data = self._receive(deadline_s)
            if data is None and idle:
                return None
            if data is None:
                raise BadRequestError(408, f"no head in {limits.head_s} s")
            if idle and data:
                idle = False
                self._on_first_byte()
                deadline_s = boottime.now() + limits.head_s
            self._feed(data)

    def _read_body(self, limits: Limits, share: memory_budget.Share) -> bytes:
        parts = []
        size = 0
        chunks = 0
        while True:
            deadline_s = boottime.now() + limits.idle_s
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequestError(exc.error_status_hint, str(exc)) from exc
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise _body_too_large(size, limits)
                chunks += event.chunk_start
                _check_chunks(chunks, size)
                _take_memory(share, len(event.data))
                parts.append(bytes(event.data))
                self._turns.record(turns.PART_COST)
            elif event is h11.NEED_DATA:
                data = self._receive(deadline_s)
                if data is None:
                    raise BadRequestError(408, "the body stopped coming in")
                self._feed(data)
            else:
                raise errors.CallerDisconnectedError

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(exc.error_status_hint, str(exc)) from exc

    def _receive(self, deadline_s: float) -> bytes | None:
        remaining_s = deadline_s - boottime.now()
        if remaining_s <= 0:
            return None
        self._sock.settimeout(remaining_s)
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return None
        self._turns.record(len(data))
        return data


def _check_framing(
    headers: tuple[tuple[bytes, bytes], ...],
    limits: Limits,
    share: memory_budget.Share,
) -> bool:
    """Returns whether the headers announce a body.

    Ambiguous framing is rejected, since it allows request smuggling. A body for
    which there is no memory is rejected before it is sent.
    """
    names = [name.lower() for name, _ in headers]
    chunked = b"transfer-encoding" in names
    lengths = [v for n, v in headers if n.lower() == b"content-length"]
    if chunked and lengths:
        raise BadRequestError(
            400, "both Content-Length and Transfer-Encoding, allowed: one"
        )
    if names.count(b"host") > 1:
        raise BadRequestError(400, "more than one Host header")
    length = int(lengths[0]) if lengths else 0
    if length > limits.body_bytes:
        raise _body_too_large(length, limits)
    if not share.has_room(length):
        raise BadRequestError(
            _UNAVAILABLE, f"no memory for a body of {length} bytes"
        )
    return chunked or bool(lengths)


def _check_chunks(chunks: int, size: int) -> None:
    allowed = _FREE_CHUNKS + size // _MIN_CHUNK_BYTES
    if chunks > allowed:
        raise BadRequestError(
            400, f"body of {size} bytes has {chunks} chunks, allowed: {allowed}"
        )


def _take_memory(share: memory_budget.Share, size: int) -> None:
    try:
        share.add(size)
    except errors.MemoryLimitError as exc:
        raise BadRequestError(_UNAVAILABLE, str(exc)) from exc


def _body_too_large(size: int, limits: Limits) -> BadRequestError:
    return BadRequestError(
        413, f"body has {size} bytes or more, allowed: {limits.body_bytes}"
    )
