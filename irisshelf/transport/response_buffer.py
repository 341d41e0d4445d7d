"""Responses, or parts of them, that callers have not read yet.

A response is written to its caller's socket directly for as long as the socket
accepts it. What it does not accept is kept in memory and sent by a greenlet of
its own, so that the response is read from its server at the server's pace. The
memory of all responses together is limited: beyond the limit, responses are
ended whose callers do not read.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Collection

import gevent
from gevent import lock
from gevent import socket

from irisshelf import boottime
from irisshelf.transport import errors

# A caller that has read something within this time is reading.
PROGRESS_S = 0.5
# Size of the pieces of memory that are released as soon as they are sent.
_PIECE_BYTES = 65536
# What the kernel may hold of a response beyond what is under way. Without it,
# the kernel holds megabytes for each caller, and reports that a caller has read
# something only after a third of that.
_UNSENT_BYTES = 131072
# Interval at which a writer that waits for memory looks for some.
_ROOM_CHECK_S = 0.02


class EndReason(enum.StrEnum):
    """Why a response was ended before its caller had read it.

    Attributes:
        MEMORY: The limit on the memory of all responses was reached.
        STALLED: The caller read nothing for the longest time allowed.
    """

    MEMORY = "memory"
    STALLED = "stalled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BufferLimits:
    """Limits on what is kept for callers.

    Attributes:
        total_bytes: Memory for all responses together; 0 if responses are not
            kept, that is, written only as fast as their callers read.
        stalled_s: A caller that has read nothing for this long is
            disconnected.
    """

    total_bytes: int
    stalled_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedResponse:
    """A response that was ended as its caller did not read it.

    Attributes:
        label: Which response it was.
        reason: Why it was ended.
        kept_bytes: Memory that it occupied.
        stalled_s: For how long its caller had read nothing.
    """

    label: str
    reason: EndReason
    kept_bytes: int
    stalled_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """How much a caller has not read, and since when it has read nothing.

    Attributes:
        kept_bytes: Memory that its response occupies.
        progress_s: When it last read something, monotonic seconds.
    """

    kept_bytes: int
    progress_s: float


def choose_victim(
    backlogs: Collection[Backlog], now: float, *, spare_readers: bool
) -> int | None:
    """Chooses the response to end when memory is short.

    It is the one with the most bytes times seconds without progress. Callers
    that are reading come after those that are not.

    Args:
        backlogs: What is kept for each caller.
        now: Monotonic seconds.
        spare_readers: Whether responses whose callers are reading are kept in
            any case.

    Returns:
        The index of the response; None if none may be ended. The only response
        is not ended while its caller is reading.
    """
    best = None
    best_rank = (False, -1.0)
    for index, backlog in enumerate(backlogs):
        stalled_s = now - backlog.progress_s
        rank = (stalled_s >= PROGRESS_S, backlog.kept_bytes * stalled_s)
        if rank > best_rank:
            best, best_rank = index, rank
    if best_rank[0]:
        return best
    return None if spare_readers or len(backlogs) < 2 else best


class ResponseBuffers:
    """Accounts for the responses that an instance keeps for its callers.

    Args:
        limits: Returns the limits in force.
        on_ended: Called with each response that is ended.
        now: Monotonic seconds.

    Attributes:
        kept_bytes: Memory that is in use.
        stalled_s: For how long a caller may read nothing, in seconds.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], BufferLimits],
        on_ended: Callable[[EndedResponse], None],
        now: Callable[[], float] = boottime.now,
    ):
        self.kept_bytes = 0
        self.now = now
        self._limits = limits
        self._on_ended = on_ended
        current = limits()
        self.stalled_s = current.stalled_s
        self._total_bytes = current.total_bytes
        # In the order in which they began to keep something.
        self._buffers: dict[ResponseBuffer, None] = {}
        # Held by the one writer that waits for memory; others wait for it.
        self._making_room = lock.BoundedSemaphore()

    @property
    def count(self) -> int:
        """Number of responses of which something is kept."""
        return len(self._buffers)

    def begin(self) -> bool:
        """Reads the limits; returns whether a new response may be kept."""
        limits = self._limits()
        self.stalled_s = limits.stalled_s
        if limits.total_bytes:
            # Otherwise responses that are kept already go on under the limit
            # that they have begun under.
            self._total_bytes = limits.total_bytes
        return bool(limits.total_bytes)

    def add(self, buffer: ResponseBuffer, size: int) -> None:
        """Counts memory that a response occupies from now on."""
        self._buffers[buffer] = None
        self.kept_bytes += size

    def remove(self, buffer: ResponseBuffer, size: int) -> None:
        """Counts memory as free again."""
        self.kept_bytes -= size
        if not buffer.kept_bytes:
            self._buffers.pop(buffer, None)

    def make_room(self, writer: ResponseBuffer) -> None:
        """Returns once the limit is kept again.

        Responses are ended for that whose callers are not reading. If there is
        none, the writer waits, so that its server is read more slowly. After
        ``PROGRESS_S`` a response may be ended although its caller is reading.

        Args:
            writer: The response that has been added to; it may be the one that
                is ended.
        """
        if self._is_within_limit():
            return
        with self._making_room:
            until_s = self.now() + PROGRESS_S
            while not self._is_within_limit() and not writer.failed:
                if not self._end_one(spare_readers=self.now() < until_s):
                    gevent.sleep(_ROOM_CHECK_S)

    def record_end(self, ended: EndedResponse) -> None:
        """Reports a response that is ended."""
        self._on_ended(ended)

    def _is_within_limit(self) -> bool:
        return self.kept_bytes <= self._total_bytes

    def _end_one(self, *, spare_readers: bool) -> bool:
        """Ends a response; returns whether there was one to end."""
        buffers = list(self._buffers)
        index = choose_victim(
            [buffer.backlog for buffer in buffers],
            self.now(),
            spare_readers=spare_readers,
        )
        if index is None:
            return False
        buffers[index].end(EndReason.MEMORY)
        return True


class ResponseBuffer:
    """Writes the responses of one connection, and keeps what is not accepted.

    Args:
        sock: The caller's socket.
        buffers: Accounts for what is kept.
        on_failed: Called when the rest of a response cannot be delivered,
            unless ``await_delivery`` reports it.

    Attributes:
        label: Names the current response in reports.
        kept_bytes: Memory that is in use.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        buffers: ResponseBuffers,
        on_failed: Callable[[errors.CallerDisconnectedError], None],
    ):
        self.label = ""
        self.kept_bytes = 0
        self._sock = sock
        self._buffers = buffers
        self._on_failed = on_failed
        self._progress_s = buffers.now()
        self._pieces: collections.deque[bytearray] = collections.deque()
        self._sender: gevent.Greenlet | None = None
        self._is_limited = False
        self._awaited = False
        self._failure: errors.CallerDisconnectedError | None = None

    @property
    def failed(self) -> bool:
        """Whether the rest of the response cannot be delivered."""
        return self._failure is not None

    @property
    def backlog(self) -> Backlog:
        """What is kept for the caller."""
        return Backlog(kept_bytes=self.kept_bytes, progress_s=self._progress_s)

    def write(self, data: bytes) -> None:
        """Sends a part of a response, or keeps it until the socket accepts it.

        If delivery has failed, the part is discarded: ``on_failed`` or
        ``await_delivery`` reports that.

        Raises:
            OSError: The connection failed.
        """
        if self.failed:
            return
        sent = 0
        if not self.kept_bytes:
            sent = self._send_at_once(data)
        if sent < len(data):
            self._keep(memoryview(data)[sent:])
            self._buffers.make_room(self)

    def await_delivery(self) -> None:
        """Waits until the socket has accepted all that is kept.

        Raises:
            errors.CallerDisconnectedError: The caller did not read it, or the
                connection failed.
        """
        sender = self._sender
        if sender is not None:
            self._awaited = True
            try:
                sender.join()
            finally:
                self._awaited = False
        if self._failure is not None:
            raise self._failure

    def end(self, reason: EndReason) -> None:
        """Gives up the delivery to a caller that reads too slowly.

        The connection is to be closed so that the response does not look
        complete.
        """
        stalled_s = self._buffers.now() - self._progress_s
        ended = EndedResponse(
            label=self.label,
            reason=reason,
            kept_bytes=self.kept_bytes,
            stalled_s=stalled_s,
        )
        self._buffers.record_end(ended)
        self._fail(
            errors.SlowCallerError(
                f"{ended.kept_bytes} bytes were not read, the caller read "
                f"nothing for {stalled_s:.1f} s ({reason.value})"
            )
        )

    def discard(self) -> None:
        """Releases what is kept, as nothing can be sent any more."""
        sender, self._sender = self._sender, None
        if sender is not None and sender is not gevent.getcurrent():
            sender.kill(block=False)
        self._pieces.clear()
        size, self.kept_bytes = self.kept_bytes, 0
        self._buffers.remove(self, size)

    def _send_at_once(self, data: bytes) -> int:
        """Sends what the socket accepts now; returns how much that is."""
        if not self._is_limited:
            self._limit_unsent()
        try:
            sent = self._sock.send(data, 0, 0.0)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._progress_s = self._buffers.now()
        return sent

    def _limit_unsent(self) -> None:
        self._is_limited = True
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
        )

    def _keep(self, data: memoryview) -> None:
        size = len(data)
        while data:
            # Small parts share a piece: each object takes memory of its own.
            if not self._pieces or len(self._pieces[-1]) >= _PIECE_BYTES:
                self._pieces.append(bytearray())
            piece = self._pieces[-1]
            room = _PIECE_BYTES - len(piece)
            piece += data[:room]
            data = data[room:]
        self.kept_bytes += size
        self._buffers.add(self, size)
        if self._sender is None:
            self._sender = gevent.spawn(self._send_pieces)

    def _send_pieces(self) -> None:
        sender = gevent.getcurrent()
        try:
            while self._pieces:
                # Nothing is added to a piece that is being sent.
                piece = self._pieces.popleft()
                self._send_piece(piece)
                if self._sender is not sender:
                    # Everything has been discarded, this piece included, before
                    # the greenlet was ended.
                    return
                self.kept_bytes -= len(piece)
                self._buffers.remove(self, len(piece))
        except TimeoutError:
            if self._sender is sender:
                self.end(EndReason.STALLED)
        except OSError as exc:
            if self._sender is sender:
                self._fail(errors.CallerDisconnectedError(str(exc)))
        else:
            self._sender = None

    def _send_piece(self, piece: bytearray) -> None:
        data = memoryview(piece)
        while data:
            self._sock.settimeout(self._buffers.stalled_s)
            sent = self._sock.send(data)
            if sent:
                self._progress_s = self._buffers.now()
            data = data[sent:]

    def _fail(self, failure: errors.CallerDisconnectedError) -> None:
        if self.failed:
            return
        self._failure = failure
        self.discard()
        if not self._awaited:
            self._on_failed(failure)
