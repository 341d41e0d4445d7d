"""Connections that fail while a response without length is read.

The kernel reports the failure of a connection once. If that goes unseen, the
connection seems to have ended, and the part of the response that has arrived
looks complete.
"""

import errno
import os

import gevent
import pytest
from gevent import socket

from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import client
from irisshelf.transport import closing
from irisshelf.transport import errors

_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
    b"Response-Signature: s1\r\nContent-Type: text/plain\r\n"
)
# A whole event, for streams.
_PART = b"id: 1\ndata: a part of the body\n\n"
# More than the buffers of a connection on loopback hold.
_UPLOAD = b"x" * 8_000_000


def _read_all(conn):
    conn.read_head(timeout_s=5.0)
    return conn.read_body("response", max_bytes=1000, timeout_s=5.0)


def _reset_midway(after_s):
    """Returns a server that answers part of a body, then resets."""

    def function(sock):
        sock.recv(1000)
        sock.sendall(_HEAD + b"\r\n" + _PART)
        gevent.sleep(after_s)
        closing.reset(sock)

    return function


@pytest.mark.parametrize("read_after_s", [0.0, 0.2])
@pytest.mark.parametrize("reset_after_s", [0.0, 0.1])
def test_a_reset_while_the_request_is_sent_is_no_end(
    serve, reset_after_s, read_after_s
):
    """Guards against a reset that only the sender of the request sees."""
    conn = client.connect(serve(_reset_midway(reset_after_s)), timeout_s=1.0)
    headers = [(b"Host", b"a"), (b"Content-Length", b"%d" % len(_UPLOAD))]
    conn.send("POST", "/", headers, _UPLOAD, timeout_s=5.0)
    gevent.sleep(read_after_s)
    with pytest.raises(errors.BrokenConnectionError):
        _read_all(conn)
    conn.close()


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_complete_response_counts_in_spite_of_a_reset(serve, framing):
    """Guards against whole responses that an early end of the upload spoils."""

    def function(sock):
        sock.recv(1000)
        if framing == "length":
            body = b"Content-Length: %d\r\n\r\n%s" % (len(_PART), _PART)
        else:
            body = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            body %= (len(_PART), _PART)
        sock.sendall(_HEAD + body)
        gevent.sleep(0.1)
        closing.reset(sock)

    conn = client.connect(serve(function), timeout_s=1.0)
    headers = [(b"Host", b"a"), (b"Content-Length", b"%d" % len(_UPLOAD))]
    conn.send("POST", "/", headers, _UPLOAD, timeout_s=5.0)
    gevent.sleep(0.2)
    assert _read_all(conn) == _PART
    conn.close()


class _FailingSocket:
    """A socket whose next read without data reports an error, once."""

    def __init__(self, *, sock, number, times_out=False):
        self._sock = sock
        self._number = number
        # Whether the time limit of the read passes just before.
        self._times_out = times_out

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def recv(self, size):
        data = self._sock.recv(size)
        if not data and self._times_out:
            self._times_out = False
            raise TimeoutError("timed out")
        if not data and self._number:
            number, self._number = self._number, 0
            raise OSError(number, os.strerror(number))
        return data


@pytest.mark.parametrize(
    "number",
    [
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EPIPE,
    ],
    ids=errno.errorcode.get,
)
@pytest.mark.parametrize("times_out", [False, True])
def test_an_error_of_the_kernel_is_no_end(number, times_out):
    """Guards against a lost host, whose time-out a second read conceals."""
    local, remote = socket.socketpair()
    conn = client.Connection(
        sock=_FailingSocket(sock=local, number=number, times_out=times_out),
        address="peer",
    )
    conn.send("GET", "/", [(b"Host", b"a")], b"", timeout_s=1.0)
    # Closed with unread input, the socket would report an error of its own.
    remote.recv(1000)
    remote.sendall(_HEAD + b"\r\n" + _PART)
    remote.close()
    with pytest.raises(errors.BrokenConnectionError):
        _read_all(conn)
    conn.close()


def test_a_server_that_stops_reading_does_not_end_its_response(serve):
    """Guards against the kernel's limit on unread data, taken for an end."""
    ended = []

    def function(sock):
        sock.recv(1000)
        sock.sendall(_HEAD + b"\r\n" + _PART)
        while not ended:
            gevent.sleep(0.05)
        sock.close()

    conn = client.connect(serve(function), timeout_s=1.0)
    headers = [(b"Host", b"a"), (b"Content-Length", b"%d" % len(_UPLOAD))]
    conn.send("POST", "/", headers, _UPLOAD, timeout_s=0.5)
    conn.read_head(timeout_s=1.0)
    with pytest.raises(errors.BrokenConnectionError):
        conn.read_body("response", max_bytes=1000, timeout_s=20.0)
    ended.append(True)
    conn.close()


@pytest.mark.parametrize("waits", [True, False], ids=["waits", "is-busy"])
def test_a_connection_that_is_shut_down_here_is_no_end(serve, waits):
    """Guards against the abort of a request, taken for its server's end.

    The greenlet that reads may wait for the caller at that moment.
    """

    def function(sock):
        sock.recv(1000)
        sock.sendall(_HEAD + b"\r\n" + _PART)
        gevent.sleep(5.0)

    conn = client.connect(serve(function), timeout_s=1.0)
    conn.send("GET", "/", [(b"Host", b"a")], b"", timeout_s=1.0)
    gevent.spawn_later(0.1, conn.shutdown)
    if not waits:
        gevent.sleep(0.2)
    with pytest.raises(errors.BrokenConnectionError):
        _read_all(conn)
    conn.close()


@pytest.mark.parametrize("target", ["/valve/1", "/alarm/1", "/query/1"])
def test_callers_are_not_told_that_such_a_response_is_complete(
    make_world, serve, target
):
    """Guards against part of a response delivered as the whole of it."""
    world = make_world(targets=world_module.PATIENT)
    world.list_all_at(serve(_reset_midway(0.1)))
    answer = world.ask(target, body=_UPLOAD[:4_000_000], Request_Id="r1")
    assert answer.status in (502, 504) or not answer.whole
