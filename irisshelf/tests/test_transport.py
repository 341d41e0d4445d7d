"""The client side of a connection: time-outs, refusals, silence."""

import resource
import time

import gevent
import pytest
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
    assert caught.value.silent is silent
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
