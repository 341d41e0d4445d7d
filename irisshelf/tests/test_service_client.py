"""Responses without length from plain services of the daemon."""

import gevent
import pytest
import result
from gevent import server

from irisshelf.backends import messages
from irisshelf.backends import pool
from irisshelf.backends import registry
from irisshelf.routing import outcome
from irisshelf.transport import closing

_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
_UPLOAD = b"x" * 8_000_000
_HEADS = {
    "plain": _HEAD,
    "close-announced": _HEAD + b"Connection: close\r\n",
    "http-1.0": _HEAD.replace(b"1.1", b"1.0"),
}


def _call(address, body=b""):
    return registry.start(
        messages.ServiceCall(
            address=address,
            method="POST",
            path="/",
            headers={},
            body=body,
            attempt_id="a1",
            limits=messages.Limits(
                connect_s=1.0, idle_s=2.0, max_body_bytes=1000
            ),
        ),
        clients=pool.ClientPool(),
    )


@pytest.fixture
def listener():
    """Starts one server whose connections a function serves."""
    servers = []

    def start(function):
        servers.append(
            server.StreamServer(
                ("127.0.0.1", 0), lambda sock, _: function(servers[0], sock)
            )
        )
        servers[0].start()
        return f"127.0.0.1:{servers[0].server_port}"

    yield start
    for one in servers:
        one.stop(timeout=0)


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("exits", [True, False])
def test_a_response_that_ends_with_its_server_is_incomplete(
    listener, head, exits
):
    """Guards against part of a response, delivered as the whole of it."""

    def function(own, sock):
        if not sock.recv(1000):
            return
        sock.sendall(head + b"\r\nhalf")
        if exits:
            own.stop(timeout=0)
        sock.close()

    called = _call(listener(function))
    if not exits:
        assert called.ok_value.body == b"half"
        return
    assert isinstance(called, result.Err)
    assert called.err_value.outcome is outcome.Outcome.UNKNOWN
    assert called.err_value.cause is outcome.Cause.BROKEN


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("reset_after_s", [0.0, 0.1])
def test_a_reset_while_the_request_is_sent_is_no_end(
    listener, head, reset_after_s
):
    """Guards against a reset that only the sender of the request sees."""

    def function(own, sock):
        sock.recv(1000)
        sock.sendall(head + b"\r\nhalf")
        gevent.sleep(reset_after_s)
        closing.reset(sock)

    called = _call(listener(function), _UPLOAD)
    assert isinstance(called, result.Err)
    assert called.err_value.outcome is outcome.Outcome.UNKNOWN
