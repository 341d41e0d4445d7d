"""An HTTP/1.1 server connection: reads requests and sends responses."""

from __future__ import annotations

import enum
import http
from collections.abc import Callable

import gevent
import h11
from gevent import socket

from irisshelf.transport import closing
from irisshelf.transport import errors
from irisshelf.transport import memory_budget
from irisshelf.transport import request_reader
from irisshelf.transport import response_buffer
from irisshelf.transport import turns

# No more data is read from a caller that has sent this much before it received
# the response to its current request.
_MAX_PIPELINED_BYTES = 65536
# Time limit for a caller to read one part of a response, unless the listener's
# response buffers set another one.
_WRITE_TIMEOUT_S = 10.0
_UNAVAILABLE = 503
_UNLIMITED_BYTES = 2**63
# In seconds. Short, because another instance may have capacity at once.
_RETRY_AFTER_S = b"0.1"

Limits = request_reader.Limits
Request = request_reader.Request


class _Phase(enum.Enum):
    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    CLOSING = "closing"


class Connection:
    """Serves the requests on one connection.

    Args:
        sock: The accepted socket.
        limits: Returns the limits currently in force.
        handle: Handles a request and responds through this connection.
        refuse: Returns the headers and body of an error response, given the
            status and a text.
        buffers: Keeps what the caller has not read yet; without it, responses
            are written as fast as the caller reads.
        bodies: Memory of the bodies of all requests; None if it is not limited.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        limits: Callable[[], Limits],
        handle: Callable[[Request, Connection], None],
        refuse: Callable[[int, str], tuple[list[tuple[bytes, bytes]], bytes]],
        buffers: response_buffer.ResponseBuffers | None = None,
        bodies: memory_budget.MemoryBudget | None = None,
    ):
        self._sock = sock
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )
        self._turns = turns.Turns()
        self._bodies = bodies or memory_budget.MemoryBudget(
            limit_bytes=lambda: _UNLIMITED_BYTES
        )
        self._reader = request_reader.RequestReader(
            sock=sock,
            parser=self._http,
            send_continue=self._send_continue,
            on_first_byte=self._on_first_byte,
            work=self._turns,
        )
        self._buffers = buffers
        self._buffer: response_buffer.ResponseBuffer | None = None
        if buffers is not None:
            self._buffer = response_buffer.ResponseBuffer(
                sock=sock, buffers=buffers, on_failed=self._on_undelivered
            )
        self._report = _report_to_none
        # Whether the current response may be kept for the caller.
        self._buffered = False
        self._output = b""
        self._phase = _Phase.IDLE
        self._pipelined = b""
        self._reused = False
        self._close_after = False
        self._aborted = False
        # Whether the connection failed while a request was handled.
        self._failed = False
        self._taken_over = False
        # Whether the handler runs, rather than the delivery that follows it.
        self._handling = False
        self._greenlet = gevent.getcurrent()
        self._watcher: gevent.Greenlet | None = None
        self._watching = False
        self.response_started = False

    @property
    def idle(self) -> bool:
        """Whether the connection is between requests."""
        return self._phase is _Phase.IDLE

    def serve(self) -> None:
        """Serves requests until the connection ends."""
        self._greenlet = gevent.getcurrent()
        sock = self._sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while self._serve_one():
                self._reused = True
        except errors.CloseIdleError:
            # A shutdown, or the limit on connections, closes idle ones.
            pass
        except (OSError, errors.CallerDisconnectedError):
            # The caller disconnected or does not read.
            self._failed = True
        except h11.LocalProtocolError:
            self.abort()
            raise
        finally:
            self._clean_up()

    def label_response(self, label: str) -> None:
        """Names the current response in reports about slow callers."""
        if self._buffer is not None:
            self._buffer.label = label

    def when_delivered(
        self, report: Callable[[BaseException | None], None]
    ) -> None:
        """Reports how the delivery of the current response ends.

        The handler returns meanwhile, so that the request is not kept in
        memory while its caller reads.

        Args:
            report: Called once after the handler has returned: with None as
                soon as the whole response has been handed to the socket, or
                with the error that prevents it.
        """
        self._report = report

    def reject_over_limit(self) -> None:
        """Makes the connection answer its first request with status 503.

        Used for connections above the connection limit.
        """
        self._handle = self._reject_request

    def _reject_request(self, request: Request, conn: Connection) -> None:
        self._close_after = True
        text = "too many connections"
        headers, body = self._refuse(_UNAVAILABLE, text)
        headers = [*headers, (b"Retry-After", _RETRY_AFTER_S)]
        self.answer(_UNAVAILABLE, headers, body)

    def close_after_answer(self) -> None:
        """Closes the connection after the next response, which announces it."""
        self._close_after = True

    def announce_close(self) -> None:
        """Closes the connection after the next response that has not begun."""
        if not self.response_started:
            self._close_after = True

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle."""
        _run_in_hub(self._close_if_idle)

    def end_request(self) -> None:
        """Ends the request in progress, since the instance stops.

        The handler gets ``errors.ShutdownError`` and may still respond. A
        request that has not been read completely is rejected. A response that
        the caller is reading goes on.
        """
        _run_in_hub(self._end_request)

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a complete response."""
        framed = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._start(status, framed)
        if body:
            self._queue(h11.Data(data=body))
        self._queue(h11.EndOfMessage())
        self._flush()

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head of a response of unknown length."""
        self._start(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        self._flush()

    def write(self, data: bytes) -> None:
        """Sends a part of the response immediately.

        What the caller's socket does not accept is kept, if the listener keeps
        responses; otherwise this waits for the caller to read.
        """
        self._queue(h11.Data(data=data))
        self._flush()

    def end(self) -> None:
        """Marks the response as complete."""
        self._queue(h11.EndOfMessage())
        self._flush()

    def abort(self) -> None:
        """Makes the connection close without the end of the response.

        The caller can then tell that the response is incomplete.
        """
        self._aborted = True

    def take_over(self) -> tuple[socket.socket, bytes]:
        """Leaves the socket to the handler, which speaks another protocol.

        Returns:
            The socket, which is closed when the handler returns, and the data
            that has arrived after the request.
        """
        self._stop_watching()
        self._taken_over = True
        early = self._http.trailing_data[0] + self._pipelined
        self._pipelined = b""
        return self._sock, early

    def ignore_disconnect(self) -> None:
        """Lets the handler continue even if the caller disconnects."""
        self._stop_watching()

    def _serve_one(self) -> bool:
        with self._bodies.open() as share:
            request = self._read(share)
            if request is None:
                return False
            self._phase = _Phase.ANSWERING
            self._start_watching()
            try:
                self._handling = True
                try:
                    self._handle(request, self)
                finally:
                    self._handling = False
                # Its body may be long, and is not needed any more.
                del request
                share.release()
                self._deliver()
            finally:
                self._stop_watching()
        return self._next_cycle()

    def _read(self, share: memory_budget.Share) -> Request | None:
        """Reads the next request; returns None if the connection ends."""
        pipelined = self._reused and bool(self._http.trailing_data[0])
        try:
            request = self._reader.read(
                self._limits(), share, reused=self._reused
            )
            self._turns.record(
                turns.PIPELINED_COST if pipelined else turns.PART_COST
            )
        except request_reader.BadRequestError as exc:
            self._send_error(exc)
            return None
        return request

    def _close_if_idle(self) -> None:
        if self.idle:
            self._greenlet.throw(errors.CloseIdleError)

    def _end_request(self) -> None:
        if self._phase is _Phase.READING:
            self._greenlet.throw(
                request_reader.BadRequestError(_UNAVAILABLE, "stopping")
            )
        elif self._handling:
            self._greenlet.throw(errors.ShutdownError)

    def _deliver(self) -> None:
        """Waits until all that was written has been handed to the socket.

        This is also done if the response was aborted: the caller gets what
        there is.

        Raises:
            errors.CallerDisconnectedError: The caller did not read it, or the
                connection failed.
        """
        report, self._report = self._report, _report_to_none
        try:
            if self._buffer is not None:
                self._buffer.await_delivery()
        except BaseException as exc:
            report(exc)
            raise
        report(None)

    def _next_cycle(self) -> bool:
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        ends = self._aborted or self._close_after or self._taken_over
        if ends or not done:
            return False
        self._http.start_next_cycle()
        if self._pipelined:
            self._http.receive_data(self._pipelined)
            self._pipelined = b""
        self.response_started = False
        self._buffered = False
        self._phase = _Phase.IDLE
        return True

    def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.response_started = True
        if self._buffers is not None:
            self._buffered = self._buffers.begin()
        if self._close_after:
            headers = [*headers, (b"Connection", b"close")]
        self._output = b""
        self._queue(
            h11.Response(
                status_code=status, headers=headers, reason=_reason(status)
            )
        )

    def _queue(self, event: h11.Event) -> None:
        self._output += self._http.send(event) or b""

    def _flush(self) -> None:
        data, self._output = self._output, b""
        if self._buffered:
            self._buffer.write(data)
            return
        timeout_s = _WRITE_TIMEOUT_S
        if self._buffers is not None:
            timeout_s = self._buffers.stalled_s
        self._sock.settimeout(timeout_s)
        self._sock.sendall(data)

    def _on_undelivered(self, failure: errors.CallerDisconnectedError) -> None:
        """Ends the request whose response cannot be delivered.

        A request that must run is not ended; ``await_delivery`` reports it.
        """
        if self._greenlet is gevent.getcurrent():
            raise failure
        if self._watching:
            self._greenlet.kill(failure, block=False)

    def _send_continue(self) -> None:
        self._output = b""
        self._queue(h11.InformationalResponse(status_code=100, headers=[]))
        self._flush()

    def _on_first_byte(self) -> None:
        self._phase = _Phase.READING

    def _send_error(self, problem: request_reader.BadRequestError) -> None:
        """Sends an error response to an unreadable request, then closes."""
        if self._http.our_state is not h11.SEND_RESPONSE and (
            self._http.our_state is not h11.IDLE
        ):
            return
        self._close_after = True
        headers, body = self._refuse(problem.status, str(problem))
        if problem.status == _UNAVAILABLE:
            headers = [*headers, (b"Retry-After", _RETRY_AFTER_S)]
        self.answer(problem.status, headers, body)
        self._deliver()

    def _start_watching(self) -> None:
        """Starts to watch for a disconnect while a request is handled."""
        self._watching = True
        self._watcher = gevent.spawn(self._watch_for_disconnect)

    def _watch_for_disconnect(self) -> None:
        while len(self._pipelined) < _MAX_PIPELINED_BYTES:
            try:
                # The socket's time-out is set by the writer, so it cannot be
                # used for reading here.
                socket.wait_read(self._sock.fileno())
                data = self._sock.recv(request_reader.READ_BYTES)
            except TimeoutError:
                continue
            except (OSError, ValueError):
                data = b""
            if not data:
                break
            self._pipelined += data
        else:
            return
        if self._watching:
            self._greenlet.kill(errors.CallerDisconnectedError, block=False)

    def _stop_watching(self) -> None:
        self._watching = False
        watcher, self._watcher = self._watcher, None
        if watcher is not None and watcher is not gevent.getcurrent():
            watcher.kill(block=True)

    def _clean_up(self) -> None:
        was_idle = self.idle
        self._phase = _Phase.CLOSING
        undelivered = False
        try:
            if self._buffer is not None:
                undelivered = self._buffer.failed
                self._buffer.discard()
            self._stop_watching()
        except errors.CallerDisconnectedError:
            # The watcher and a failed delivery may both report the end of one
            # connection.
            pass
        finally:
            if undelivered or self._would_look_complete():
                closing.reset(self._sock)
            elif self._aborted or self._taken_over:
                self._sock.close()
            else:
                closing.close(self._sock, discard_input=not was_idle)

    def _would_look_complete(self) -> bool:
        """Returns whether a response that is cut off would look complete.

        Without chunks, as for HTTP/1.0, the end of the connection ends it.
        """
        return (
            self.response_started
            and (self._aborted or self._failed)
            and (self._http.their_http_version or b"1.1") < b"1.1"
        )


def _run_in_hub(function: Callable[[], None]) -> None:
    """Runs a function that throws into a greenlet, if the state allows it.

    No greenlet runs between the check of the state and the throw. A kill would
    take effect later, when an idle connection may have received a request.
    """
    gevent.get_hub().loop.run_callback(function)


def _report_to_none(failure: BaseException | None) -> None:
    """Default for ``when_delivered``."""


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
