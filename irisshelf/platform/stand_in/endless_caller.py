"""Stand-in for a caller whose bytes do not end, see ``endless``.

Runs as a process of its own: ``python -m ... ADDRESS FORM KEY CONNECTIONS``.
Prints a line for each connection that the instance closes, with the number of
bytes sent and the status of the first response; it then connects again.
"""

from __future__ import annotations

import enum
import itertools
import socket
import sys
import threading
from collections.abc import Callable
from collections.abc import Iterator

_BLOCK_BYTES = 65_536
_PAUSE_S = 0.05
# Time to read the response once the connection cannot be written to.
_READ_S = 1.0
_HOST = b"world.example"
ENDED = "ended"


class Form(enum.StrEnum):
    """What does not end."""

    REQUEST_LINE = "request_line"
    HEADER_NAME = "header_name"
    HEADER_LINES = "header_lines"
    BLANK_LINES = "blank_lines"
    NOT_HTTP = "not_http"
    CHUNKED_BODY = "chunked_body"
    TINY_CHUNKS = "tiny_chunks"
    CHUNK_SIZE = "chunk_size"
    CHUNK_EXTENSION = "chunk_extension"
    TRAILERS = "trailers"
    AFTER_REQUEST = "after_request"
    PIPELINED = "pipelined"
    PIPELINED_UNKNOWN_KEY = "pipelined_unknown_key"
    PIPELINED_UNKNOWN_ROUTE = "pipelined_unknown_route"
    PIPELINED_WITHOUT_ID = "pipelined_without_id"


def _head(key: bytes, *lines: bytes, path: bytes = b"/alarm/1") -> bytes:
    return (
        b"POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\n"
        b"Authorization: Bearer %s\r\n" % (path, _HOST, key)
    ) + b"".join(line + b"\r\n" for line in lines)


def _request(key: bytes, path: bytes = b"/alarm/1") -> bytes:
    return _head(key, b"Content-Length: 2", b"", path=path) + b"{}"


def _chunked(key: bytes) -> bytes:
    return _head(key, b"Transfer-Encoding: chunked", b"")


def _repeat(first: bytes, block: bytes) -> Iterator[bytes]:
    yield first
    yield from itertools.repeat(block * max(1, _BLOCK_BYTES // len(block)))


def _without_id(key: bytes) -> bytes:
    return _request(key).replace(b"Request-Id: r\r\n", b"")


_FORMS: dict[Form, Callable[[bytes], Iterator[bytes]]] = {
    Form.REQUEST_LINE: lambda key: _repeat(b"POST /alarm/", b"x"),
    Form.HEADER_NAME: lambda key: _repeat(_head(key), b"x"),
    Form.HEADER_LINES: lambda key: _repeat(_head(key), b"X-More: y\r\n"),
    Form.BLANK_LINES: lambda key: _repeat(b"", b"\r\n"),
    Form.NOT_HTTP: lambda key: _repeat(b"", b"\x00\x01 this is no request"),
    Form.CHUNKED_BODY: lambda key: _repeat(
        _chunked(key), b"fa0\r\n%s\r\n" % (b"x" * 4000)
    ),
    Form.TINY_CHUNKS: lambda key: _repeat(_chunked(key), b"1\r\nx\r\n"),
    Form.CHUNK_SIZE: lambda key: _repeat(_chunked(key), b"1"),
    Form.CHUNK_EXTENSION: lambda key: _repeat(_chunked(key) + b"5;", b"x"),
    Form.TRAILERS: lambda key: _repeat(
        _chunked(key) + b"2\r\n{}\r\n0\r\n", b"X-More: y\r\n"
    ),
    Form.AFTER_REQUEST: lambda key: _repeat(_request(key), b"x"),
    Form.PIPELINED: lambda key: _repeat(b"", _request(key)),
    Form.PIPELINED_UNKNOWN_KEY: lambda key: _repeat(b"", _request(b"none")),
    Form.PIPELINED_UNKNOWN_ROUTE: lambda key: _repeat(
        b"", _request(key, b"/nowhere/1")
    ),
    Form.PIPELINED_WITHOUT_ID: lambda key: _repeat(b"", _without_id(key)),
}


def _call(address: tuple[str, int], form: Form, key: bytes) -> None:
    """Sends on one connection after the other, for ever."""
    pause = threading.Event()
    while True:
        sent = 0
        sock = socket.create_connection(address)
        try:
            for block in _FORMS[form](key):
                sock.sendall(block)
                sent += len(block)
        except OSError:
            # Closed by the instance.
            pass
        print(f"{ENDED} {sent} {_read_status(sock)}\n", end="", flush=True)
        sock.close()
        pause.wait(_PAUSE_S)


def _read_status(sock: socket.socket) -> int:
    """Returns the status of the first response; 0 if there is none."""
    sock.settimeout(_READ_S)
    try:
        line = sock.recv(_BLOCK_BYTES).split(b"\r\n")[0].split()
        return int(line[1])
    except (OSError, IndexError, ValueError):
        # The connection was reset before the response was read.
        return 0


def main() -> None:
    """Runs the program."""
    address, form, key, connections = sys.argv[1:]
    host, _, port = address.rpartition(":")
    for _ in range(int(connections)):
        threading.Thread(
            target=_call,
            args=((host, int(port)), Form(form), key.encode()),
            daemon=True,
        ).start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
