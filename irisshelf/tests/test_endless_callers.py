"""Callers whose bytes do not end, and bodies of many callers at once.

Regression: pipelined requests with an unknown key, and bodies in chunks of one
byte, stopped an instance: their connections always had data, so that no other
one was looked at. The bodies of many requests took all memory.
"""

import dataclasses
import subprocess
import sys

import gevent
import pytest
from gevent import socket
from gevent import subprocess as gevent_subprocess

from irisshelf import boottime
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import endless_caller
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import errors
from irisshelf.transport import memory_budget
from irisshelf.transport import turns

_Form = endless_caller.Form
_CONNECTIONS = 3
_SOUND = 50
_SOUND_DEADLINE_MS = 600
# Responses to what cannot be read to its end. Pipelined requests are answered
# for as long as their responses are read.
_STATUSES = {
    _Form.REQUEST_LINE: {400, 431},
    _Form.HEADER_NAME: {400, 431},
    _Form.HEADER_LINES: {400, 431},
    _Form.BLANK_LINES: {400},
    _Form.NOT_HTTP: {400},
    _Form.CHUNKED_BODY: {413},
    _Form.TINY_CHUNKS: {400},
    _Form.CHUNK_SIZE: {400, 431},
    _Form.CHUNK_EXTENSION: {400, 431},
    _Form.TRAILERS: {400, 431},
    _Form.AFTER_REQUEST: {200},
}


class _Callers:
    """Runs callers in a process of their own.

    Attributes:
        statuses: Of the first response on each connection that has ended.
    """

    def __init__(self, world, form):
        address = f"127.0.0.1:{world.listener.port}"
        self._process = gevent_subprocess.Popen(
            [
                *(sys.executable, "-m", endless_caller.__name__),
                *(address, form.value, world_module.KEY, str(_CONNECTIONS)),
            ],
            stdout=subprocess.PIPE,
        )
        self.statuses = []
        self._reader = gevent.spawn(self._read)

    def _read(self):
        for line in self._process.stdout:
            _, _, status = line.decode().split()
            self.statuses.append(int(status))

    def close(self):
        self._process.kill()
        self._process.wait()
        self._reader.kill()


@pytest.fixture
def start():
    started = []

    def make(world, form):
        started.append(_Callers(world, form))
        return started[-1]

    yield make
    for one in started:
        one.close()


@pytest.mark.parametrize("form", list(_Form))
def test_sound_callers_are_served_meanwhile(make_world, start, form):
    """Guards against one connection that keeps all others waiting."""
    world = make_world()
    callers = start(world, form)
    answers = []
    for _ in range(_SOUND):
        began_s = boottime.now()
        answer = world.ask("/valve/1", Deadline_Ms=str(_SOUND_DEADLINE_MS))
        answers.append((answer.status, boottime.now() - began_s))
        gevent.sleep(0.01)
    assert {status for status, _ in answers} == {200}
    assert max(took_s for _, took_s in answers) < _SOUND_DEADLINE_MS / 1000
    if form in _STATUSES:
        world.wait(lambda: len(callers.statuses) >= _CONNECTIONS)
        # A response may be lost with a reset, if more was sent meanwhile.
        assert set(callers.statuses) - {0} <= _STATUSES[form]
    assert world.inst.request_memory.used_bytes == 0


def _upload(world, size, sent, connection_s=1.0):
    """Sends a part of a long body; returns the connection."""
    sock = socket.create_connection(("127.0.0.1", world.listener.port))
    headers = world.headers(b"x" * size)
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    sock.sendall(b"POST /alarm/1 HTTP/1.1\r\n" + lines + b"\r\n")
    sock.sendall(b"x" * sent)
    gevent.sleep(0)
    return sock


def _limit(world, requests_mb):
    limits = settings.ReadLimits(requests_mb=requests_mb)
    world.inst.apply_settings(
        dataclasses.replace(world.inst.cfg, read_limits=limits)
    )


def _status(sock):
    sock.settimeout(5.0)
    return int(sock.recv(65536).split()[1])


def test_bodies_of_many_requests_stay_within_the_memory(make_world):
    """Guards against uploads that each are allowed and together are not."""
    world = make_world()
    _limit(world, 3.0)
    size = 1_000_000
    socks = [_upload(world, size, size - 1) for _ in range(8)]
    world.wait(lambda: world.inst.request_memory.used_bytes > 1_000_000)
    gevent.sleep(0.3)
    assert world.inst.request_memory.used_bytes <= 3_000_000
    # Short requests are served whatever the others take.
    assert world.ask("/alarm/1").status == 200
    for sock in socks:
        try:
            sock.sendall(b"x")
        except OSError:
            # Rejected before its end.
            continue
    statuses = [_status(sock) for sock in socks]
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= 2
    world.wait(lambda: not world.inst.request_memory.used_bytes)


def test_a_body_for_which_there_is_no_memory_is_rejected_at_once(make_world):
    """Guards against callers that send a body in vain."""
    world = make_world()
    _limit(world, 1.0)
    sock = _upload(world, 2_000_000, 0)
    sock.settimeout(5.0)
    data = sock.recv(65536)
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in data
    assert world.ask("/alarm/1", body=b"x" * 500_000).status == 200


@pytest.mark.parametrize(
    ("chunk", "count", "status"),
    [
        (b"x", 16_000, 200),
        (b"x", 20_000, 400),
        (b"x" * 20, 40_000, 200),
        (b"x" * 5000, 100, 200),
    ],
)
def test_chunks_have_to_hold_something(make_world, chunk, count, status):
    """Guards against bodies that take seconds to parse; sound ones pass."""
    world = make_world()
    sock = socket.create_connection(("127.0.0.1", world.listener.port))
    headers = [
        pair for pair in world.headers(b"x") if pair[0] != b"Content-Length"
    ]
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    framed = b"%x\r\n%s\r\n" % (len(chunk), chunk)
    sock.sendall(
        b"POST /alarm/1 HTTP/1.1\r\n"
        + lines
        + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    try:
        sock.sendall(framed * count + b"0\r\n\r\n")
    except OSError:
        assert status != 200
    assert _status(sock) == status


def test_the_largest_message_makes_room():
    """Guards against short messages that are ended for an endless one."""
    budget = memory_budget.MemoryBudget(limit_bytes=lambda: 1_000_000)
    ended = []
    large = budget.open(on_end=lambda: ended.append("large"))
    small = budget.open(on_end=lambda: ended.append("small"))
    large.add(900_000)
    small.add(200_000)
    assert ended == ["large"]
    with pytest.raises(errors.MemoryLimitError):
        large.add(1)
    assert budget.used_bytes <= 200_000
    with pytest.raises(errors.MemoryLimitError, match="1000000"):
        small.add(2_000_000)
    assert budget.used_bytes == 0


def test_a_message_that_has_been_read_is_not_ended():
    budget = memory_budget.MemoryBudget(limit_bytes=lambda: 1_000_000)
    done = budget.open(on_end=_fail)
    done.add(900_000)
    done.keep()
    other = budget.open(on_end=lambda: None)
    with pytest.raises(errors.MemoryLimitError):
        other.add(500_000)
    assert not done.ended
    # What each message needs at first is there in any case.
    budget.open().add(30_000)


def _fail():
    raise AssertionError("ended a message that has been read")


def test_work_on_a_connection_has_pauses_and_a_rate():
    """Guards against connections that always have data."""
    clock = [0.0]
    pauses_s = []

    def pause(for_s):
        pauses_s.append(for_s)
        clock[0] += for_s

    work = turns.Turns(pause=pause, now=lambda: clock[0])
    for _ in range(50_000):
        work.record(turns.PART_COST)
    total = 50_000 * turns.PART_COST
    assert len(pauses_s) >= total // 262_144
    # Beyond the burst, 64 MB a second.
    assert sum(pauses_s) >= (total - 128_000_000) / 64_000_000 - 0.01
    clock[0] += 10.0
    del pauses_s[:]
    for _ in range(1000):
        work.record(turns.PART_COST)
    assert max(pauses_s) <= 0.001
