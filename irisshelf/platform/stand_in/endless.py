"""Stand-in for a backend server whose bytes do not end.

Runs as a process of its own: a sender in the process of the reader would wait
whenever the reader does not, so that the reader would never be overwhelmed.

Prints the port that it listens on, then a line as it begins to send on a
connection, and one as the peer has closed it, with the number of bytes sent.
"""

from __future__ import annotations

import enum
import itertools
import socket
import sys
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator

_BLOCK_BYTES = 65_536
_SLOW_BYTES = 4096
_SLOW_PAUSE_S = 0.02
# What is sent of a form at once is at least this long.
_HEAD_LIMIT = 65_536
_SIGNED = b"Response-Signature: endless.1\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_EVENTS = b"Content-Type: text/event-stream\r\n"
_LONG = 10**12
BEGUN = "begun"
ENDED = "ended"


class Pace(enum.StrEnum):
    """How fast the bytes come.

    Attributes:
        FAST: As the socket takes them.
        SLOW: 4 KB each 20 ms.
    """

    FAST = "fast"
    SLOW = "slow"


class Form(enum.StrEnum):
    """What does not end."""

    STATUS_LINE = "status_line"
    HEADER_NAME = "header_name"
    HEADER_LINES = "header_lines"
    NOT_HTTP = "not_http"
    INTERIM = "interim"
    BODY_TO_CLOSE = "body_to_close"
    BODY_WITH_LENGTH = "body_with_length"
    CHUNKED_BODY = "chunked_body"
    TINY_CHUNKS = "tiny_chunks"
    CHUNK_SIZE = "chunk_size"
    CHUNK_EXTENSION = "chunk_extension"
    TRAILERS = "trailers"
    AFTER_ANSWER = "after_answer"
    EVENT = "event"
    EVENT_TO_CLOSE = "event_to_close"
    EVENT_IN_TINY_CHUNKS = "event_in_tiny_chunks"
    EVENTS = "events"
    COMMENTS = "comments"
    FAILURE = "failure"
    REJECTION = "rejection"
    STRAY_BODY = "stray_body"
    STRAY_ANSWERS = "stray_answers"
    ON_ACCEPT = "on_accept"


def _head(request_id: bytes, *lines: bytes, status: bytes = b"200 OK") -> bytes:
    head = b"HTTP/1.1 %s\r\nRequest-Id: %s\r\n" % (status, request_id)
    return head + _SIGNED + b"".join(lines)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _repeat(first: bytes, block: bytes) -> Iterator[bytes]:
    yield first
    block *= max(1, _BLOCK_BYTES // len(block))
    yield from itertools.repeat(block)


def _events(request_id: bytes) -> Iterator[bytes]:
    yield _head(request_id, _EVENTS, _CHUNKED)
    for number in itertools.count(1):
        event = b"id: %d\ndata: piece %d\n\n" % (number, number)
        yield _chunk(event)


_Make = Callable[[bytes], Iterator[bytes]]
_FORMS: dict[Form, _Make] = {
    Form.STATUS_LINE: lambda rid: _repeat(b"HTTP/1.1 200 ", b"x"),
    Form.HEADER_NAME: lambda rid: _repeat(b"HTTP/1.1 200 OK\r\n", b"x"),
    Form.HEADER_LINES: lambda rid: _repeat(_head(rid), b"X-More: y\r\n"),
    Form.NOT_HTTP: lambda rid: _repeat(b"", b"\x00\x01 this is no answer"),
    Form.INTERIM: lambda rid: _repeat(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    Form.BODY_TO_CLOSE: lambda rid: _repeat(_head(rid, b"\r\n"), b"x"),
    Form.BODY_WITH_LENGTH: lambda rid: _repeat(
        _head(rid, b"Content-Length: %d\r\n\r\n" % _LONG), b"x"
    ),
    Form.CHUNKED_BODY: lambda rid: _repeat(
        _head(rid, _CHUNKED), _chunk(b"x" * 4000)
    ),
    Form.TINY_CHUNKS: lambda rid: _repeat(_head(rid, _CHUNKED), _chunk(b"x")),
    Form.CHUNK_SIZE: lambda rid: _repeat(_head(rid, _CHUNKED), b"1"),
    Form.CHUNK_EXTENSION: lambda rid: _repeat(
        _head(rid, _CHUNKED) + b"5;", b"x"
    ),
    Form.TRAILERS: lambda rid: _repeat(
        _head(rid, _CHUNKED) + _chunk(b"whole") + b"0\r\n", b"X-More: y\r\n"
    ),
    Form.AFTER_ANSWER: lambda rid: _repeat(
        _head(rid, b"Content-Length: 5\r\n\r\n") + b"whole", b"x"
    ),
    Form.EVENT: lambda rid: _repeat(
        _head(rid, _EVENTS, _CHUNKED) + _chunk(b"id: 1\ndata: "),
        _chunk(b"x" * 4000),
    ),
    Form.EVENT_TO_CLOSE: lambda rid: _repeat(
        _head(rid, _EVENTS, b"\r\n") + b"id: 1\ndata: ", b"x"
    ),
    Form.EVENT_IN_TINY_CHUNKS: lambda rid: _repeat(
        _head(rid, _EVENTS, _CHUNKED), _chunk(b"x")
    ),
    Form.EVENTS: _events,
    Form.COMMENTS: lambda rid: _repeat(
        _head(rid, _EVENTS, _CHUNKED), _chunk(b":\n\n")
    ),
    Form.FAILURE: lambda rid: _repeat(
        _head(rid, _CHUNKED, status=b"500 Failed"), _chunk(b"x" * 4000)
    ),
    Form.REJECTION: lambda rid: _repeat(
        _head(rid, b"Not-Executed: 1\r\n", _CHUNKED, status=b"503 Busy"),
        _chunk(b"x" * 4000),
    ),
    Form.STRAY_BODY: lambda rid: _repeat(
        _head(b"someone-elses", _CHUNKED), _chunk(b"x" * 4000)
    ),
    Form.STRAY_ANSWERS: lambda rid: _repeat(
        b"", _head(b"someone-elses", b"Content-Length: 1\r\n\r\n") + b"x"
    ),
    Form.ON_ACCEPT: lambda rid: _repeat(b"", b"x"),
}


class Server:
    """Accepts connections, and answers on each without an end.

    Args:
        form: What does not end.
        pace: How fast it comes.
        report: Called with a line for each connection that begins or ends.
    """

    def __init__(
        self, *, form: Form, pace: Pace, report: Callable[[str], None]
    ):
        self._form = form
        self._pace = pace
        self._report = report
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=256)

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._listening.getsockname()[1]

    def run(self) -> None:
        """Serves until the process ends."""
        while True:
            sock, _ = self._listening.accept()
            thread = threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            )
            thread.start()

    def _serve(self, sock: socket.socket) -> None:
        request_id = b""
        if self._form is not Form.ON_ACCEPT:
            try:
                request_id = _read_request_id(sock)
            except OSError:
                # The connection was not used.
                sock.close()
                return
        self._report(BEGUN)
        sent = 0
        try:
            for block in _FORMS[self._form](request_id):
                for part in self._paced(block):
                    sock.sendall(part)
                    sent += len(part)
        except OSError:
            self._report(f"{ENDED} {sent}")
        finally:
            sock.close()

    def _paced(self, block: bytes) -> Iterator[bytes]:
        if self._pace is Pace.FAST:
            yield block
            return
        for start in range(0, len(block), _SLOW_BYTES):
            yield block[start : start + _SLOW_BYTES]
            time.sleep(_SLOW_PAUSE_S)


def _read_request_id(sock: socket.socket) -> bytes:
    """Reads a request's head; what follows it is left unread.

    Raises:
        OSError: The peer has closed the connection.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(_HEAD_LIMIT)
        if not part:
            raise ConnectionResetError("closed before a request")
        data += part
    for line in data.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"request-id":
            return value.strip()
    return b""


def main() -> None:
    """Runs the program: ``python -m ... FORM PACE``."""
    form, pace = sys.argv[1:]
    served = Server(
        form=Form(form),
        pace=Pace(pace),
        # One write, as threads would mix theirs.
        report=lambda line: print(f"{line}\n", end="", flush=True),
    )
    print(served.port, flush=True)
    served.run()


if __name__ == "__main__":
    main()
