"""Client connections: time-outs, refused and unanswered connects."""

import resource
import time

import gevent
import pytest
from gevent import server
from gevent import socket

from irisshelf.transport import client
from irisshelf.transport import errors

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def test_data_that_arrived_during_a_process_pause_is_read():
    local, remote = socket.socketpair()
    conn = client.Connection(sock=local, address="peer")
    reader = gevent.spawn(conn.read_head, timeout_s=0.01)
    gevent.sleep(0)
    # Blocks the whole process, unlike gevent.sleep.
    time.sleep(0.05)
    remote.sendall(_ANSWER)
    status, _ = reader.get()
    assert status == 200


@pytest.mark.parametrize("timed_out", [True, False])
def test_failed_connect_distinguishes_time_out_from_refusal(timed_out):
    peer = socket.socket()
    peer.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{peer.getsockname()[1]}"
    if timed_out:
        # Nothing accepts: when the backlog is full, the kernel drops further
        # connection attempts.
        peer.listen(0)
    conns = []
    with pytest.raises(errors.ConnectError) as raised:
        for _ in range(5):
            conns.append(client.connect(address, timeout_s=0.05))
    assert raised.value.timed_out is timed_out
    peer.close()


def test_idle_connection_is_checked_with_descriptors_over_1024():
    """Instances may open more files than select supports."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 1100:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(1200, hard), hard))
    pairs = [socket.socketpair() for _ in range(520)]
    # Descriptors that are freed meanwhile are used for the last pairs.
    local, remote = max(pairs, key=lambda pair: pair[0].fileno())
    assert local.fileno() > 1024
    conn = client.Connection(sock=local, address="peer")
    assert not conn.is_stale()
    remote.close()
    assert conn.is_stale()
    for one, other in pairs:
        one.close()
        other.close()


@pytest.mark.parametrize("late_s", [0.0, -0.5, -60.0])
def test_response_that_has_arrived_is_read_after_the_deadline(late_s):
    """After a process pause, the time is over and the response has arrived."""
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
@pytest.mark.parametrize("close_while_reading", [True, False])
def test_reading_from_a_locally_closed_connection_raises_transport_error(
    timeout_s, close_while_reading
):
    """Guards against an untyped error that ended the store's update feed.

    During a process pause, a failed call for one table closed the connection
    of the other table as its deadline expired. The reader raised an error that
    the feed does not handle, and the instance received no more server updates.
    """
    local, remote = socket.socketpair()
    conn = client.Connection(sock=local, address="peer")
    if not close_while_reading:
        conn.close()
    reader = gevent.spawn(conn.read_head, timeout_s=timeout_s)
    gevent.spawn(conn.close)
    if close_while_reading:
        gevent.sleep(0)
        # Blocks the process, so that the deadline expires as the connection
        # is closed.
        time.sleep(0.02)
    with pytest.raises(errors.TransportError):
        reader.get(timeout=10)
    remote.close()
