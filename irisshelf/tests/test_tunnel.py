"""Byte streams through another instance: order, size, and how they end."""

import random
import struct
import time

import gevent
import pytest
from gevent import server
from gevent import socket

from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as http
from irisshelf.transport import tunnel

_LIMITS = http.Limits(
    head_bytes=65536, body_bytes=65536, head_s=3.0, idle_s=9.0
)
_RESET = struct.pack("ii", 1, 0)


class _Relaying:
    """An instance that relays to one target, or rejects."""

    def __init__(self, target, rejects=None):
        self._target = target
        self._rejects = rejects
        self.relays = []
        self.socks = []
        self.ended = 0
        self.server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, peer):
        self.socks.append(sock)
        http.Connection(
            sock=sock,
            limits=lambda: _LIMITS,
            handle=self._handle,
            refuse=lambda status, text: ([], text.encode()),
        ).serve()

    def _handle(self, request, conn):
        if self._rejects is not None:
            conn.answer(*self._rejects)
            return
        target = client.open_socket(self._target, timeout_s=1.0)
        sock, early = conn.take_over()
        relay = tunnel.Relay(sock=sock, early=early, target=target)
        self.relays.append(relay)
        try:
            relay.run(request)
        finally:
            self.ended += 1


class _Target:
    """A server whose connections are served by a function."""

    def __init__(self, serve):
        self.ended = 0
        self._function = serve
        self.server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, peer):
        try:
            self._function(sock)
        finally:
            self.ended += 1
            sock.close()


@pytest.fixture
def open_tunnel():
    """Opens a tunnel to a server that a function serves."""
    servers = []

    def make(serve, timeout_s=2.0, **options):
        target = _Target(serve)
        relaying = _Relaying(target.address, **options)
        servers.extend((target.server, relaying.server))
        sock = tunnel.connect(
            relaying.address, "/relay?x=1", timeout_s=timeout_s
        )
        return sock, target, relaying

    yield make
    for one in servers:
        one.stop(timeout=0)


def _echo(sock):
    while data := sock.recv(65536):
        sock.sendall(data)


def _read(sock, size):
    data = b""
    while len(data) < size:
        data += sock.recv(65536)
    return data


def _wait(until):
    for _ in range(400):
        if until():
            return
        gevent.sleep(0.005)
    raise TimeoutError("what was waited for did not come")


@pytest.mark.parametrize("size", [1, 16_384, 16_385, 3_000_000])
def test_bytes_arrive_unchanged_in_both_directions(open_tunnel, size):
    sock, _, relaying = open_tunnel(_echo)
    sock.settimeout(5.0)
    sent = random.Random(size).randbytes(size)
    writer = gevent.spawn(sock.sendall, sent)
    assert _read(sock, size) == sent
    writer.get()
    _wait(lambda: relaying.relays[0].relayed_bytes == 2 * size)
    sock.close()


@pytest.mark.parametrize("piece", [b"", b"the end of the answer"])
def test_the_end_of_the_server_s_connection_is_seen(open_tunnel, piece):
    sock, _, _ = open_tunnel(lambda sock: sock.sendall(piece))
    sock.settimeout(2.0)
    assert _read(sock, len(piece)) == piece
    assert sock.recv(100) == b""
    conn = client.Connection(sock=sock, address="x", relay="r")
    assert conn.is_stale()


def test_a_reset_of_the_server_s_connection_is_no_orderly_end(open_tunnel):
    """Guards against truncated responses that pass for complete ones."""

    def reset(sock):
        sock.sendall(b"part")
        gevent.sleep(0.05)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.close()

    sock, _, _ = open_tunnel(reset)
    sock.settimeout(2.0)
    assert _read(sock, 4) == b"part"
    with pytest.raises(ConnectionResetError):
        sock.recv(100)


@pytest.mark.parametrize("piece", [b"", b"part of a response"])
@pytest.mark.parametrize("reads_first", [True, False])
@pytest.mark.parametrize("answers_after_s", [0.0, 0.1])
def test_a_reset_during_an_upload_is_no_orderly_end(
    open_tunnel, piece, reads_first, answers_after_s
):
    """Guards against a reset that only the upward direction sees."""

    def reset(sock):
        sock.recv(1000)
        gevent.sleep(answers_after_s)
        sock.sendall(piece)
        gevent.sleep(0.1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.close()

    def upload():
        with pytest.raises(errors.TunnelLostError):
            sock.sendall(b"x" * 30_000_000)

    sock, _, _ = open_tunnel(reset)
    sock.settimeout(5.0)
    writer = gevent.spawn(upload)
    if not reads_first:
        writer.join()
    assert _read(sock, len(piece)) == piece
    with pytest.raises(ConnectionResetError):
        sock.recv(100)
    writer.get()
    sock.close()


@pytest.mark.parametrize("reset", [True, False])
def test_a_lost_relay_is_no_end_of_the_server_s_connection(open_tunnel, reset):
    """Guards against truncated responses, and against blaming the server."""

    def answer(sock):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf of a body without length")
        gevent.sleep(60)

    sock, _, relaying = open_tunnel(answer)
    conn = client.Connection(sock=sock, address="x", relay="r")
    conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=2.0)
    assert conn.read_head(timeout_s=2.0)[0] == 200
    assert conn.read_data(timeout_s=2.0)
    (inner,) = relaying.socks
    if reset:
        inner.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    inner.shutdown(socket.SHUT_RDWR)
    with pytest.raises(errors.RelayLostError):
        conn.read_data(timeout_s=2.0)


def test_the_server_s_connection_ends_with_the_tunnel(open_tunnel):
    """Guards against servers that work on for callers that have left."""
    sock, target, relaying = open_tunnel(_echo)
    sock.sendall(b"x")
    assert sock.recv(10) == b"x"
    sock.close()
    _wait(lambda: target.ended == 1 and relaying.ended == 1)


def test_a_stopping_instance_lets_the_exchange_end_but_no_other_begin(
    open_tunnel,
):
    def answer_slowly(sock):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha")
        gevent.sleep(0.1)
        sock.sendall(b"lf")
        gevent.sleep(60)

    sock, _, relaying = open_tunnel(answer_slowly)
    conn = client.Connection(
        sock=sock, address="x", relay="r", may_reuse=lambda: not sock.stopping
    )
    conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=2.0)
    conn.read_head(timeout_s=2.0)
    relaying.relays[0].announce_stop()
    body = b""
    while (part := conn.read_data(timeout_s=2.0)) is not None:
        body += part
    assert body == b"half"
    assert not conn.reusable


def test_an_idle_tunnel_of_a_stopping_instance_is_stale(open_tunnel):
    sock, _, relaying = open_tunnel(_echo)
    conn = client.Connection(sock=sock, address="x", relay="r")
    assert not conn.is_stale()
    relaying.relays[0].announce_stop()
    _wait(conn.is_stale)


def test_an_announcement_does_not_damage_a_stream(open_tunnel):
    sent = random.Random(1).randbytes(2_000_000)
    sock, _, relaying = open_tunnel(lambda sock: sock.sendall(sent))
    sock.settimeout(5.0)
    # The stream waits for its reader, in the middle of a frame.
    gevent.sleep(0.05)
    stops = [gevent.spawn(relaying.relays[0].announce_stop) for _ in range(3)]
    assert _read(sock, len(sent)) == sent
    gevent.joinall(stops, raise_error=True)


@pytest.mark.parametrize(
    ("status", "reason"), [(503, "busy"), (404, "unknown"), (502, "refused")]
)
def test_a_rejection_is_reported_with_its_reason(status, reason):
    relaying = _Relaying("", rejects=(status, [], reason.encode()))
    with pytest.raises(tunnel.RejectedError) as raised:
        tunnel.connect(relaying.address, "/relay", timeout_s=2.0)
    assert (raised.value.status, raised.value.reason) == (status, reason)
    relaying.server.stop(timeout=0)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"no HTTP at all\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Accept: wrong\r\n\r\n",
        b"\x00" * 100_000,
    ],
)
def test_an_invalid_handshake_is_a_failed_connection(answer):
    target = _Target(lambda sock: (sock.recv(65536), sock.sendall(answer)))
    with pytest.raises(errors.ConnectError):
        tunnel.connect(target.address, "/relay", timeout_s=2.0)
    target.server.stop(timeout=0)


def test_an_instance_that_does_not_answer_times_out():
    target = _Target(lambda sock: gevent.sleep(60))
    with pytest.raises(errors.ConnectError) as raised:
        tunnel.connect(target.address, "/relay", timeout_s=0.05)
    assert raised.value.timed_out
    target.server.stop(timeout=0)


@pytest.mark.parametrize("seed", range(20))
def test_any_bytes_on_a_tunnel_end_it_and_nothing_else(open_tunnel, seed):
    """Guards against an instance that stops on malformed frames."""
    sock, target, relaying = open_tunnel(_echo)
    rng = random.Random(seed)
    sock._sock.sendall(rng.randbytes(rng.randint(200, 5000)))
    sock._sock.shutdown(socket.SHUT_WR)
    _wait(lambda: relaying.ended == 1 and target.ended == 1)


@pytest.mark.parametrize("pause_s", [0.2, 0.3])
@pytest.mark.parametrize(
    ("module", "step"),
    [
        pytest.param(client, "open_socket", id="connected"),
        pytest.param(tunnel, "_flush", id="asked"),
    ],
)
def test_a_pause_of_the_process_is_no_silence_of_the_relay(
    open_tunnel, monkeypatch, module, step, pause_s
):
    """Guards against relays avoided for a pause of the instance that asks.

    After the pause the time-out has expired, before the answer could be read.
    """
    original = getattr(module, step)

    def pause_after(*args, **options):
        monkeypatch.setattr(module, step, original)
        made = original(*args, **options)
        gevent.spawn(time.sleep, pause_s)
        return made

    monkeypatch.setattr(module, step, pause_after)
    sock, _, _ = open_tunnel(_echo, timeout_s=0.15)
    sock.settimeout(2.0)
    sock.sendall(b"x")
    assert _read(sock, 1) == b"x"


def test_a_relay_that_does_not_answer_is_noticed_in_time():
    """Guards against callers that wait for an instance that stands still."""
    silent = server.StreamServer(
        ("127.0.0.1", 0), lambda sock, peer: gevent.sleep(60)
    )
    silent.start()
    address = f"127.0.0.1:{silent.server_port}"
    with gevent.Timeout(5.0), pytest.raises(errors.ConnectError) as found:
        tunnel.connect(address, "/relay?x=1", timeout_s=0.15)
    silent.stop(timeout=0)
    assert found.value.timed_out
