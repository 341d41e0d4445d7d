"""The proxy that cuts links between processes in tests and soaks."""

import gevent
import pytest
from gevent import server
from gevent import socket

from irisshelf.platform.stand_in import proxy
from irisshelf.transport import client
from irisshelf.transport import errors

_Cut = proxy.Cut


def _echo(sock, peer):
    while data := sock.recv(1000):
        sock.sendall(data)


@pytest.fixture
def link():
    """A link to a server that echoes."""
    target = server.StreamServer(("127.0.0.1", 0), _echo)
    target.start()
    made = proxy.Proxy(target=f"127.0.0.1:{target.server_port}")
    yield made
    made.close()
    target.stop(timeout=0)


def _connect(link):
    return client.open_socket(link.address, timeout_s=0.3)


def _echoes(sock):
    sock.settimeout(0.3)
    try:
        sock.sendall(b"x")
        return sock.recv(10) == b"x"
    except OSError:
        return False


@pytest.mark.parametrize(
    ("how", "open_works", "new_times_out"),
    [
        (_Cut.HANG, False, True),
        (_Cut.RESET, False, False),
        (_Cut.REFUSE, True, False),
        (_Cut.HANG_NEW, True, True),
    ],
)
def test_a_cut_has_the_effect_that_it_says(
    link, how, open_works, new_times_out
):
    opened = _connect(link)
    assert _echoes(opened)
    link.cut(how)
    gevent.sleep(0.01)
    assert _echoes(opened) is open_works
    with pytest.raises(errors.ConnectError) as raised:
        _connect(link)
    assert raised.value.timed_out is new_times_out
    link.heal()
    assert _echoes(_connect(link))


@pytest.mark.parametrize("how", _Cut)
def test_the_port_of_a_cut_link_is_not_taken_by_others(link, how):
    """Guards against a link that cannot be restored: its port is in use."""
    port = int(link.address.rpartition(":")[2])
    link.cut(how)
    other = socket.socket()
    with pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    other.close()
    link.heal()
    assert _echoes(_connect(link))
