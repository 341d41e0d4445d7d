"""The client side of a connection: time-outs, refusals, silence."""

import resource
import time

import gevent
import pytest
from gevent import server
from gevent import socket

from irisshelf.transport import client
from irisshelf.transport import errors

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def test_what_came_while_the_process_stood_still_counts():
    near, far = socket.socketpair()
    conn = client.Connection(sock=near, address="peer")
    reader = gevent.spawn(conn.read_head, timeout_s=0.01)
    gevent.sleep(0)
    # Not a greenlet's sleep: the whole process stands still.
    time.sleep(0.05)
    far.sendall(_ANSWER)
    status, _ = reader.get()
    assert status == 200


@pytest.mark.parametrize("silent", [True, False])
def test_a_failed_connect_tells_silence_from_refusal(silent):
    peer = socket.socket()
    peer.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{peer.getsockname()[1]}"
    if silent:
        # Nobody accepts: a full queue of connections drops what comes then.
        peer.listen(0)
    held = []
    with pytest.raises(errors.ConnectError) as caught:
        for _ in range(5):
            held.append(client.connect(address, timeout_s=0.05))
    assert caught.value.timed_out is silent
    peer.close()


def test_a_resting_connection_is_looked_at_whatever_its_number():
    """An instance may hold more files open than select can take."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 1100:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(1200, hard), hard))
    pairs = [socket.socketpair() for _ in range(520)]
    near, far = pairs[-1]
    assert near.fileno() > 1024
    conn = client.Connection(sock=near, address="peer")
    assert not conn.is_stale()
    far.close()
    assert conn.is_stale()
    for one, other in pairs:
        one.close()
        other.close()


@pytest.mark.parametrize("late_s", [0.0, -0.5, -60.0])
def test_an_answer_that_is_there_is_read_though_its_time_is_over(late_s):
    """A process that stood still finds both: no time left, and the answer."""
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

    def answer(sock, peer):
        sock.recv(65536)
        sock.sendall(data)
        gevent.sleep(60)

    listener = server.StreamServer(("127.0.0.1", 0), answer)
    listener.start()
    address = f"127.0.0.1:{listener.server_port}"
    conn = client.connect(address, timeout_s=5.0)
    conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=5.0)
    with pytest.raises(errors.PeerTimeoutError):
        conn.read_head(timeout_s=late_s)
    gevent.sleep(0.1)
    assert conn.read_head(timeout_s=late_s)[0] == 200
    assert conn.read_data(timeout_s=late_s) == b"late"
    assert conn.read_data(timeout_s=late_s) is None
    listener.stop()


@pytest.mark.parametrize("timeout_s", [-1.0, 0.0, 0.01, 5.0])
@pytest.mark.parametrize("late", [True, False])
def test_a_connection_that_this_end_closes_is_a_typed_error(timeout_s, late):
    """Seen: what follows the store's list ended with an untyped error.

    An instance stood still while the call on one table failed and closed the
    connection of the other one, whose time was over at the same moment. The
    instance never heard of a server again.
    """
    near, far = socket.socketpair()
    conn = client.Connection(sock=near, address="peer")
    if not late:
        conn.close()
    reader = gevent.spawn(conn.read_head, timeout_s=timeout_s)
    gevent.spawn(conn.close)
    if late:
        gevent.sleep(0)
        # Not a greenlet's sleep: time is over as the connection is closed.
        time.sleep(0.02)
    with pytest.raises(errors.TransportError):
        reader.get(timeout=10)
    far.close()
