"""A server that reads a request slowly is neither cut off nor overrun."""

import re

import gevent
import pytest
from gevent import event
from gevent import server
from gevent import socket

from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import client
from irisshelf.transport import errors

_BODY = b"b" * 3_000_000
# What the kernel holds of a request that the server does not read.
_SOCKET_BYTES = 4096
# Longer than the kernel keeps a connection whose data is not acknowledged.
_PAUSE_S = 2.5
_HEAD_END = b"\r\n\r\n"


class _SlowServer:
    """Reads nothing until it is told to, and then answers each request."""

    def __init__(self):
        self.reads = event.Event()
        self.bodies = []
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._server = server.StreamServer(listener, self._serve)
        self._server.start()

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, peer):
        self.reads.wait()
        data = b""
        while _HEAD_END not in data:
            part = sock.recv(65536)
            if not part:
                return
            data += part
        head, _, body = data.partition(_HEAD_END)
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        while len(body) < length:
            part = sock.recv(65536)
            if not part:
                return
            body += part
        self.bodies.append(body)
        request_id = re.search(rb"(?i)request-id: (\S+)", head)
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\nRequest-Id: "
            + (request_id[1] if request_id else b"")
            + b"\r\nContent-Length: 2\r\n\r\nok"
        )


@pytest.fixture
def slow():
    made = _SlowServer()
    yield made
    made.close()


def _send(conn, **options):
    headers = [
        (b"Host", b"x"),
        (b"Content-Length", str(len(_BODY)).encode()),
    ]
    conn.send("POST", "/", headers, _BODY, timeout_s=5.0, **options)


def test_a_connection_to_a_slow_server_is_not_cut_off(slow):
    """Guards against the kernel's limit on data that is not acknowledged."""
    conn = client.connect(slow.address, timeout_s=5.0)
    _send(conn, body_timeout_s=60.0)
    gevent.sleep(_PAUSE_S)
    slow.reads.set()
    assert conn.read_head(timeout_s=30.0)[0] == 200
    assert slow.bodies == [_BODY]
    conn.close()


def test_the_kernels_limit_holds_for_short_requests_after_a_long_one(slow):
    """Guards the detection of servers that are out of reach."""
    conn = client.connect(slow.address, timeout_s=5.0)
    option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    usual_ms = conn._sock.getsockopt(*option)
    slow.reads.set()
    _send(conn, body_timeout_s=60.0)
    assert conn._sock.getsockopt(*option) == 60_000
    conn.read_head(timeout_s=30.0)
    conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=5.0)
    assert conn._sock.getsockopt(*option) == usual_ms < 60_000
    conn.close()


def test_the_send_is_bounded(slow):
    """Guards against a greenlet that holds a body for ever."""
    conn = client.connect(slow.address, timeout_s=5.0)
    _send(conn, body_timeout_s=0.1)
    with gevent.Timeout(10):
        conn._writer.join()
    with pytest.raises(errors.PeerTimeoutError):
        conn.read_head(timeout_s=0.1)
    assert not conn.reusable
    conn.close()


def _own_requests(world):
    stats = world.inst.servers.chooser("crew").stats
    return stats.own_requests(world.plain[0].server_id)


@pytest.mark.parametrize("target", ["/alarm/1", "/patient/1"])
def test_a_slow_server_counts_as_loaded_and_others_do_not_wait(
    world, slow, target
):
    config = world_module.config(2)
    config["routes"] += [world_module.route("/patient/", "safe", "crew")]
    for route in config["routes"]:
        route |= {"timeoutMs": 60_000, "targetLatencyMs": 60_000}
    world.store.put("op", "config", config)
    first = world.plain[0]
    entry = {**first.entry(), "address": slow.address}
    world.store.put("servers", first.server_id, entry)
    world.wait(
        lambda: (
            world.inst.catalog.version == 2
            and world.inst.directory.get(first.server_id).address
            == slow.address
        )
    )
    options = {"body": _BODY, "Deadline_Ms": "60000"}
    asking = None
    while not _own_requests(world):
        asking = gevent.spawn(world.ask, target, Request_Id="big", **options)
        world.wait(lambda one=asking: one.ready() or _own_requests(world))
    others = [world.ask("/alarm/1") for _ in range(10)]
    assert {answer.status for answer in others} == {200}
    assert (_own_requests(world), asking.ready()) == (1, False)
    gevent.sleep(_PAUSE_S)
    assert (_own_requests(world), asking.ready()) == (1, False)
    slow.reads.set()
    answer = asking.get(timeout=30)
    assert (answer.status, answer.body, slow.bodies) == (200, b"ok", [_BODY])
    world.wait(lambda: not _own_requests(world))


def test_a_caller_that_disconnects_ends_the_send(world, slow):
    first, second = world.plain
    second.close()
    world.store.drop("servers", second.server_id)
    entry = {**first.entry(), "address": slow.address}
    world.store.put("servers", first.server_id, entry)
    world.wait(
        lambda: (
            world.inst.directory.get(second.server_id) is None
            and world.inst.directory.get(first.server_id).address
            == slow.address
        )
    )
    conn = world.connect()
    headers = world.headers(_BODY, Deadline_Ms="60000")
    conn.send("POST", "/valve/1", headers, _BODY, timeout_s=5.0)
    world.wait(lambda: _own_requests(world) == 1)
    conn.close()
    world.wait(lambda: _own_requests(world) == 0)
    slow.reads.set()
    gevent.sleep(0.1)
    assert slow.bodies == []
