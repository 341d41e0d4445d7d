"""Heads of responses that are not valid HTTP are no responses.

A server in trouble sends a status that is none, or lines whose name is none.
Relayed, they are read differently by the caller, or its body is not the
server's.
"""

import gevent
import pytest

from irisshelf.backends import pool
from irisshelf.transport import client
from irisshelf.transport import errors

_OK = b"HTTP/1.1 200 OK\r\n"
# The caller's request has this id.
_SIGNED = b"Request-Id: r1\r\nResponse-Signature: s1\r\n"
_LENGTH = b"Content-Length: 2\r\n"

_INVALID = {
    "status-000": b"HTTP/1.1 000 OK\r\n" + _SIGNED + _LENGTH,
    "status-099": b"HTTP/1.1 099 OK\r\n" + _SIGNED + _LENGTH,
    "status-1-digit": b"HTTP/1.1 2 OK\r\n" + _SIGNED + _LENGTH,
    "status-4-digits": b"HTTP/1.1 2000 OK\r\n" + _SIGNED + _LENGTH,
    "status-signed": b"HTTP/1.1 +20 OK\r\n" + _SIGNED + _LENGTH,
    "status-text": b"HTTP/1.1 abc OK\r\n" + _SIGNED + _LENGTH,
    "upgrade": b"HTTP/1.1 101 OK\r\n" + _SIGNED + _LENGTH,
    "no-version": b"200 OK\r\n" + _SIGNED + _LENGTH,
    "other-protocol": b"ICY 200 OK\r\n" + _SIGNED + _LENGTH,
    "later-version": b"HTTP/9.9 200 OK\r\n" + _SIGNED + _LENGTH,
    "blank-in-name": _OK + _SIGNED + _LENGTH + b"X Y: 1\r\n",
    "blank-after-name": _OK + _SIGNED + b"Content-Length : 2\r\n",
    "tab-after-name": _OK + _SIGNED + b"Content-Length\t: 2\r\n",
    "blank-before-name": _OK + _SIGNED + b" Content-Length: 2\r\n",
    "tab-before-name": _OK + _SIGNED + b"\tContent-Length: 2\r\n",
    "blank-before-first": _OK + b" X: 1\r\n" + _SIGNED + _LENGTH,
    "folded-in-interim": b"HTTP/1.1 103 E\r\nX: 1\r\n Y: 2\r\n\r\n"
    + _OK
    + _SIGNED
    + _LENGTH,
    "control-in-name": _OK + _SIGNED + _LENGTH + b"X\x01Y: 1\r\n",
    "nul-in-name": _OK + _SIGNED + _LENGTH + b"X\x00Y: 1\r\n",
    "vertical-tab-in-name": _OK + _SIGNED + _LENGTH + b"X\x0bY: 1\r\n",
    "return-in-name": _OK + _SIGNED + _LENGTH + b"X\rY: 1\r\n",
    "delete-in-name": _OK + _SIGNED + _LENGTH + b"X\x7fY: 1\r\n",
    "latin-1-in-name": _OK + _SIGNED + _LENGTH + b"X\xe9Y: 1\r\n",
    "empty-name": _OK + _SIGNED + _LENGTH + b": 1\r\n",
    "no-colon": _OK + _SIGNED + _LENGTH + b"XY\r\n",
    "control-in-value": _OK + _SIGNED + _LENGTH + b"X: a\x01b\r\n",
    "nul-in-value": _OK + _SIGNED + _LENGTH + b"X: a\x00b\r\n",
    "return-in-value": _OK + _SIGNED + _LENGTH + b"X: a\rb\r\n",
    "escape-in-value": _OK + _SIGNED + _LENGTH + b"X: \x1b[0m\r\n",
    "two-lengths": _OK + _SIGNED + _LENGTH + b"Content-Length: 3\r\n",
    "signed-length": _OK + _SIGNED + b"Content-Length: +2\r\n",
}
_VALID = {
    "plain": _OK + _SIGNED + _LENGTH,
    "no-reason": b"HTTP/1.1 200\r\n" + _SIGNED + _LENGTH,
    "http-1.0": b"HTTP/1.0 200 OK\r\n" + _SIGNED + _LENGTH,
    "tab-in-value": _OK + _SIGNED + _LENGTH + b"X: a\tb\r\n",
    "utf-8-in-value": _OK + _SIGNED + _LENGTH + "X: ä\r\n".encode(),
    "empty-value": _OK + _SIGNED + _LENGTH + b"X:\r\n",
    "after-interim": b"HTTP/1.1 103 E\r\nX: 1\r\n\r\n"
    + _OK
    + _SIGNED
    + _LENGTH,
}
# How many bytes of a response are sent at once.
_PIECES = {"whole": 10_000, "by-byte": 1}


def _respond(head, piece_bytes):
    """Returns a server that sends a head and a body, in pieces."""
    response = head + b"\r\nok"

    def function(sock):
        while sock.recv(10_000):
            for start in range(0, len(response), piece_bytes):
                sock.sendall(response[start : start + piece_bytes])
                gevent.sleep(0)
            if b"Content-Length: 2" not in head:
                sock.close()
                return

    return function


def _get(address):
    conn = client.connect(address, timeout_s=1.0)
    try:
        conn.send("GET", "/", [(b"Host", b"a")], b"", timeout_s=1.0)
        conn.read_head(timeout_s=2.0)
        return conn.read_body("body", max_bytes=1000, timeout_s=2.0)
    finally:
        conn.close()


@pytest.mark.parametrize("piece_bytes", _PIECES.values(), ids=_PIECES)
@pytest.mark.parametrize("head", _INVALID.values(), ids=_INVALID)
def test_an_invalid_head_is_an_error(serve, head, piece_bytes):
    """Guards against lines that are passed on, or joined to others."""
    with pytest.raises(errors.BrokenConnectionError):
        _get(serve(_respond(head, piece_bytes)))


@pytest.mark.parametrize("piece_bytes", _PIECES.values(), ids=_PIECES)
@pytest.mark.parametrize("head", _VALID.values(), ids=_VALID)
def test_a_valid_head_is_none(serve, head, piece_bytes):
    """Guards against sound servers that are taken for broken ones."""
    assert _get(serve(_respond(head, piece_bytes))) == b"ok"


@pytest.mark.parametrize("head", _INVALID.values(), ids=_INVALID)
def test_callers_get_no_response_with_an_invalid_head(world, serve, head):
    """Guards against such a response with the server's signature."""
    world.list_all_at(serve(_respond(head, 10_000)))
    for target in ("/valve/1", "/alarm/1"):
        answer = world.ask(target, Request_Id="r1")
        assert answer.status == 502
        assert "response-signature" not in answer.headers


@pytest.mark.parametrize("head", _VALID.values(), ids=_VALID)
def test_callers_get_a_response_with_a_valid_head(world, serve, head):
    """Guards against sound responses that are withheld."""
    world.list_all_at(serve(_respond(head, 10_000)))
    answer = world.ask("/valve/1", Request_Id="r1")
    assert (answer.status, answer.body) == (200, b"ok")


@pytest.mark.parametrize("head", _INVALID.values(), ids=_INVALID)
def test_the_daemon_s_reader_rejects_an_invalid_head(serve, head):
    """Guards against the same where engines and services are called."""
    address = serve(_respond(head, 10_000))
    backend = pool.new_client(address, connect_s=1.0, idle_s=1.0)
    with pytest.raises(pool.TRANSPORT_ERRORS):
        backend.request("GET", "/").read()
