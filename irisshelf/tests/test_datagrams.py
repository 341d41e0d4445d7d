"""Datagrams between instances on loopback."""

import errno
import os

import gevent
import pytest
from gevent import socket

from irisshelf.gateway.knowledge import datagrams
from irisshelf.observe import decision_log

_Kind = datagrams.Kind


class _FullSocket:
    """Socket of the operating system whose send buffer is full."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendto(self, *args):
        raise BlockingIOError(errno.EWOULDBLOCK, "send buffer is full")


class _FullGeventSocket(socket.socket):
    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._sock = _FullSocket(self._sock)


@pytest.fixture
def make():
    opened = []

    def make():
        fd = os.open(os.devnull, os.O_WRONLY)
        opened.append(fd)
        log = decision_log.DecisionLog(instance="one", fd=fd)
        return datagrams.Datagrams(address="127.0.0.1:0", log=log)

    yield make
    for fd in opened:
        os.close(fd)


def test_a_datagram_arrives(make):
    sender, receiver = make(), make()
    received = []
    receiver.subscribe(_Kind.DEMAND, received.append)
    greenlet = gevent.spawn(receiver.run)
    sender.send(receiver.address, datagrams.encode(_Kind.DEMAND, [1]))
    with gevent.Timeout(10):
        while not received:
            gevent.sleep(0.001)
    greenlet.kill()
    assert received == [[1]]


def test_a_full_send_buffer_loses_datagrams_and_ends_no_greenlet(
    make, monkeypatch
):
    """Guards against a saturated link that ends the receiver or a request.

    gevent raises an AssertionError if two greenlets wait for one socket.
    """
    monkeypatch.setattr(socket, "socket", _FullGeventSocket)
    full = make()
    data = datagrams.encode(_Kind.DEMAND, [1])
    senders = [gevent.spawn(full.send, full.address, data) for _ in range(3)]
    gevent.joinall(senders, timeout=10)
    assert all(sender.successful() for sender in senders)


def test_a_full_send_buffer_lets_no_sender_wait(make, monkeypatch):
    """Guards against rejections that wait for a saturated link."""
    monkeypatch.setattr(socket, "socket", _FullGeventSocket)
    full = make()
    turns = []
    gevent.spawn(turns.append, "other greenlet")
    full.send(full.address, datagrams.encode(_Kind.DEMAND, [1]))
    assert not turns
