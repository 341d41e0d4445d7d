"""Bytes without an end from the store and from other instances.

Guards against an instance that stops, or fills its memory, for a peer whose
bytes are no message: each case ends in time, and others run meanwhile.
"""

import os
import subprocess
import sys

import gevent
import msgspec
import pytest
import result
from gevent import socket
from gevent import subprocess as gevent_subprocess
from websockets import client as websocket_client
from websockets import server as websocket_server
from websockets import uri

from irisshelf import boottime
from irisshelf.coordination import membership
from irisshelf.gateway.knowledge import datagrams
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.observe import decision_log
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import endless
from irisshelf.platform.stand_in import endless_process
from irisshelf.store import feed
from irisshelf.transport import errors
from irisshelf.transport import server as http
from irisshelf.transport import tunnel

_Form = endless.Form
_FORMS = [
    _Form.STATUS_LINE,
    _Form.HEADER_LINES,
    _Form.NOT_HTTP,
    _Form.INTERIM,
    _Form.BODY_TO_CLOSE,
    _Form.BODY_WITH_LENGTH,
    _Form.CHUNKED_BODY,
    _Form.TINY_CHUNKS,
    _Form.TRAILERS,
]
# Time limit of an answer of the store, and what is added for handling it.
_STORE_S = 8.0
_PEER_S = 0.4
_HANDLED_S = 1.0
_FLOOD = """
import socket, sys
host, port = sys.argv[1].split(":")
sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
while True:
    sock.sendto(bytes([1]) + b"x" * 1000, (host, int(port)))
"""


class _Ticks:
    """Counts how often another greenlet runs."""

    def __init__(self):
        self.count = 0
        self._greenlet = gevent.spawn(self._run)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def _run(self):
        while True:
            gevent.sleep(0.01)
            self.count += 1


@pytest.fixture
def start():
    started = []

    def make(form, pace=endless.Pace.FAST):
        started.append(endless_process.EndlessServer(form=form, pace=pace))
        return started[-1]

    yield make
    for one in started:
        one.close()


@pytest.fixture
def log():
    fd = os.open(os.devnull, os.O_WRONLY)
    yield decision_log.DecisionLog(instance="one", fd=fd)
    os.close(fd)


def _took_s(function):
    """Calls a function beside a greenlet that runs in short intervals."""
    began_s = boottime.now()
    with _Ticks() as ticks:
        returned = function()
        took_s = boottime.now() - began_s
        assert ticks.count >= took_s / 0.2 - 1
    return returned, took_s


@pytest.mark.parametrize("form", _FORMS)
@pytest.mark.parametrize("verb", ["snapshot", "changes"])
def test_an_answer_of_the_store_ends(start, form, verb):
    served = start(form)
    store = store_feed.StoreFeed(address=served.address)
    calls = {
        "snapshot": lambda: store.snapshot(feed.Table.SERVERS),
        "changes": lambda: store.changes(
            feed.Table.SERVERS,
            after=store_feed.position_module.Position(era=0, revision=1),
            wait_s=0.1,
        ),
    }
    answer, took_s = _took_s(calls[verb])
    assert isinstance(answer, result.Err)
    assert took_s < _STORE_S + _HANDLED_S
    _wait(served.is_left)


def test_a_list_in_pages_without_an_end_is_given_up(monkeypatch):
    """Guards against a store whose pages fill the memory."""
    store = store_feed.StoreFeed(address="127.0.0.1:9")
    row = {"tlsKey": "a", "value": "x" * 1000, "ver": 1}
    page = msgspec.json.encode(
        {"ver": 1, "rows": [row] * 500, "morePages": True}
    )
    calls = []

    def exchange(table, path, timeout_s):
        calls.append(path)
        return store_feed._Exchange(
            status=200, era=0, data=page, transfer_s=0.0
        )

    monkeypatch.setattr(store, "_exchange", exchange)
    answer = store.snapshot(feed.Table.SERVERS)
    assert "no end" in answer.err_value.detail
    assert len(calls) * len(page) < 80_000_000
    # The next call begins anew.
    assert not store._begun


@pytest.mark.parametrize("form", _FORMS)
def test_a_response_of_another_instance_ends(start, log, form):
    served = start(form)
    peers = peer_discovery.PeerDiscovery(
        own=membership.Member(name="1", address="127.0.0.1:9", data_centre="a"),
        seeds=(),
        log=log,
    )
    answer, took_s = _took_s(
        lambda: peers.request(served.address, "/members", timeout_s=_PEER_S)
    )
    assert isinstance(answer, result.Err)
    assert took_s < _PEER_S + _HANDLED_S
    _wait(served.is_left)


@pytest.mark.parametrize("form", _FORMS)
def test_the_handshake_of_a_tunnel_ends(start, form):
    served = start(form)

    def connect():
        with pytest.raises((errors.ConnectError, tunnel.RejectedError)):
            tunnel.connect(served.address, "/relay?server=x", timeout_s=0.15)

    _, took_s = _took_s(connect)
    assert took_s < 0.3 + _HANDLED_S


def test_datagrams_without_an_end_leave_turns_to_others(log):
    bound = datagrams.Datagrams(address="127.0.0.1:0", log=log)
    receiving = gevent.spawn(bound.run)
    process = gevent_subprocess.Popen(
        [sys.executable, "-c", _FLOOD, bound.address],
        stdout=subprocess.DEVNULL,
    )
    try:
        _took_s(lambda: gevent.sleep(1.0))
    finally:
        process.kill()
        process.wait()
        receiving.kill()


def _tunnel_pair():
    """Returns a tunnel's socket, and the other end with its protocol."""
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    near = socket.socket()
    near.connect(listening.getsockname())
    far, _ = listening.accept()
    listening.close()
    near_proto = websocket_client.ClientProtocol(
        uri.parse_uri("ws://127.0.0.1/relay")
    )
    far_proto = websocket_server.ServerProtocol()
    near_proto.send_request(near_proto.connect())
    far_proto.receive_data(b"".join(near_proto.data_to_send()))
    for event in far_proto.events_received():
        far_proto.send_response(far_proto.accept(event))
    near_proto.receive_data(b"".join(far_proto.data_to_send()))
    list(near_proto.events_received())
    return tunnel.TunnelSocket(sock=near, proto=near_proto), far, far_proto


def test_frames_without_data_do_not_extend_a_time_out():
    """Guards against pings that are waited for, and whose answers are kept."""
    near, far, proto = _tunnel_pair()
    near.settimeout(0.3)

    def flood():
        while True:
            for _ in range(100):
                proto.send_ping(b"x" * 100)
            for data in proto.data_to_send():
                far.sendall(data)
            gevent.sleep(0.01)

    flooding = gevent.spawn(flood)
    began_s = boottime.now()
    with pytest.raises(TimeoutError):
        near.recv(65536)
    assert boottime.now() - began_s < 0.3 + _HANDLED_S
    assert not near._proto.data_to_send()
    flooding.kill()
    near.close()


def test_a_tunnel_with_many_pings_is_ended():
    """Guards against answers to pings that fill an instance's memory."""
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    target = socket.socket()
    target.connect(listening.getsockname())
    near, far = socket.socketpair()
    proto = websocket_client.ClientProtocol(
        uri.parse_uri("ws://127.0.0.1/relay")
    )
    proto.send_request(proto.connect())
    lines = b"".join(proto.data_to_send()).split(b"\r\n")[1:-2]
    request = http.Request(
        method="GET",
        target="/relay",
        headers=tuple(tuple(line.split(b": ", 1)) for line in lines),
        body=b"",
        has_body=False,
        arrived_s=0.0,
        connection_reused=False,
    )
    relay = tunnel.Relay(sock=far, early=b"", target=target)
    running = gevent.spawn(relay.run, request)
    near.settimeout(5.0)
    proto.receive_data(near.recv(65536))
    list(proto.events_received())
    for _ in range(50):
        proto.send_ping(b"x" * 100)
    for data in proto.data_to_send():
        near.sendall(data)
    running.join(5.0)
    assert running.successful()


def _wait(until):
    end_s = boottime.now() + 10.0
    while not until():
        assert boottime.now() < end_s
        gevent.sleep(0.01)
