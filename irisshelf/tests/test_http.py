"""The HTTP front on a real socket: limits on slow and greedy callers."""

import json
import random

import gevent
import pytest
from gevent import pywsgi
from gevent import socket

from irisshelf import boottime
from irisshelf.bundle import schema
from irisshelf.daemon import http
from irisshelf.testing import engine
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.tests import examples

_TIMEOUT_S = 0.3


@pytest.fixture
def rig():
    """An instance behind its real HTTP server, and one engine server."""
    engines = engine.FakeEngineServer(
        engines=("e0", "e1"), cfg=engine.EngineConfig(token_s=0.0)
    )
    served = harness.Server(app=engines)
    document = examples.bundle_document()
    document["backend_servers"]["lm-0"]["address"] = served.address
    instance = harness.Instance(
        name="i0",
        platform=fake_platform.FakePlatform(
            clock=boottime.now, rng=random.Random(1)
        ),
        bundle=schema.Bundle.model_validate(document),
    )
    instance.front.caller_timeout_s = _TIMEOUT_S
    server = pywsgi.WSGIServer(
        ("127.0.0.1", 0),
        instance.front,
        handler_class=http.Handler,
        log=None,
        error_log=harness.Quiet(),
    )
    server.start()
    yield instance, engines, ("127.0.0.1", server.server_port)
    server.stop(timeout=0.01)
    instance.stop()
    served.stop()


def _head(length, extra=""):
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {examples.TEAM_KEY}\r\n"
        f"Content-Length: {length}\r\n{extra}\r\n"
    ).encode()


def _body(tokens):
    return json.dumps(
        {
            "model": "lm",
            "messages": [{"role": "user", "content": "m x"}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()


def _read_all(sock):
    got = []
    sock.settimeout(10)
    try:
        while data := sock.recv(65_536):
            got.append(data)
    except ConnectionError:
        pass
    return b"".join(got)


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"POST /v1/chat",
        _head(100)[:-2],
        _head(100),
        _head(100) + b"half a body",
    ],
)
def test_a_caller_that_is_too_slow_loses_its_connection(rig, sent):
    _, engines, address = rig
    sock = socket.create_connection(address)
    sock.sendall(sent)
    answer = _read_all(sock)  # Ends only because the server hangs up.
    assert b"200 OK" not in answer
    assert not any(e.runs for e in engines.engines.values())


@pytest.mark.parametrize(
    "sent",
    [
        b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n",
        _head(0, "X-Long: " + "y" * 100_000 + "\r\n"),
        _head(0, "".join(f"X-{i}: y\r\n" for i in range(2000))),
        b"nonsense\r\n\r\n",
        _head(-5),
        _head("many"),
    ],
)
def test_what_is_no_proper_request_is_refused(rig, sent):
    _, engines, address = rig
    sock = socket.create_connection(address)
    sock.sendall(sent)
    answer = _read_all(sock)
    assert answer[:12] in (b"HTTP/1.1 400", b"HTTP/1.1 414", b"HTTP/1.1 431")
    assert not any(e.runs for e in engines.engines.values())


def test_a_body_over_the_limit_is_refused_unread(rig):
    _, _, address = rig
    sock = socket.create_connection(address)
    sock.sendall(_head(1_000_000_000))
    sock.settimeout(5)
    assert sock.recv(65_536).startswith(b"HTTP/1.1 413")
    sock.close()


def test_a_slow_reader_slows_its_own_stream_only_and_loses_it(rig):
    instance, engines, address = rig
    slow = socket.create_connection(address)
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    body = _body(60_000)  # Some megabytes, far over what sockets buffer.
    slow.sendall(_head(len(body)) + body)
    gevent.sleep(0.05)
    quick = socket.create_connection(address)
    body = _body(5)
    quick.sendall(_head(len(body), "Connection: close\r\n") + body)
    assert _read_all(quick).count(b'"content":"m "') == 5
    assert harness.wait_for(
        lambda: instance.node.open_requests == 0, limit_s=20
    )
    running = [e for e in engines.engines.values() if e.cancelled]
    assert len(running) <= 1
    slow.close()
