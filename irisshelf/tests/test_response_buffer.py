"""Responses that callers read slowly: order, limit, end, accounting."""

import collections

import gevent
import pytest
from gevent import event
from gevent import socket

from irisshelf.transport import errors
from irisshelf.transport import response_buffer

_BIG = 3_000_000
_SOCKET_BYTES = 65536


class _Clock:
    """Time that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class _Rig:
    """Buffers with a limit, and what they report."""

    def __init__(self, total_bytes, stalled_s=1000.0):
        self.clock = _Clock()
        self.ended = []
        self.failures = collections.defaultdict(list)
        self.limits = response_buffer.BufferLimits(
            total_bytes=total_bytes, stalled_s=stalled_s
        )
        self.buffers = response_buffer.ResponseBuffers(
            limits=lambda: self.limits,
            on_ended=self.ended.append,
            now=self.clock,
        )
        self.buffers.begin()

    def open(self, label=""):
        """Returns a buffer and the socket at its caller's end."""
        local, remote = _connect()
        made = response_buffer.ResponseBuffer(
            sock=local,
            buffers=self.buffers,
            on_failed=self.failures[label].append,
        )
        made.label = label
        return made, remote


def _connect():
    """Returns both ends of a connection that holds little unread data."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    remote = socket.socket()
    remote.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)
    remote.connect(listener.getsockname())
    local, _ = listener.accept()
    listener.close()
    return local, remote


def _read(sock, size):
    parts = []
    while size > 0 and (data := sock.recv(min(size, 65536))):
        parts.append(data)
        size -= len(data)
    return b"".join(parts)


def _wait(until):
    with gevent.Timeout(10):
        while not until():
            gevent.sleep(0.001)


def _settle(rig):
    """Waits until the kernel holds all that it can hold."""
    before_bytes = -1
    while rig.buffers.kept_bytes != before_bytes:
        before_bytes = rig.buffers.kept_bytes
        gevent.sleep(0.1)


_NOW_S = 100.0


def _backlogs(*pairs):
    return [
        response_buffer.Backlog(
            kept_bytes=kept_bytes, progress_s=_NOW_S - stalled_s
        )
        for kept_bytes, stalled_s in pairs
    ]


@pytest.mark.parametrize(
    ("backlogs", "spare_readers", "expected"),
    [
        pytest.param([], True, None, id="none"),
        pytest.param([(10, 1.0)], True, 0, id="only-one-stalled"),
        pytest.param([(10, 0.1)], True, None, id="only-one-reads"),
        pytest.param([(10, 0.1)], False, None, id="only-one-is-not-ended"),
        pytest.param([(10, 2.0), (30, 1.0)], True, 1, id="larger"),
        pytest.param([(10, 4.0), (30, 1.0)], True, 0, id="slower"),
        pytest.param([(9000, 0.4), (1, 0.5)], True, 1, id="readers-last"),
        pytest.param([(9000, 0.4), (1, 0.5)], False, 1, id="readers-last-2"),
        pytest.param([(10, 0.4), (10, 0.3)], True, None, id="readers-kept"),
        pytest.param([(10, 0.4), (10, 0.3)], False, 0, id="slowest-reader"),
        pytest.param([(10, 0.0), (10, 0.0)], False, 0, id="just-read"),
    ],
)
def test_the_slowest_and_largest_response_is_ended_first(
    backlogs, spare_readers, expected
):
    chosen = response_buffer.choose_victim(
        _backlogs(*backlogs), _NOW_S, spare_readers=spare_readers
    )
    assert chosen == expected


@pytest.mark.parametrize("size", [1, 5000, 65536, 65537, 1_000_000])
def test_bytes_arrive_in_order_and_all_are_accounted_for(size):
    """Guards against parts that overtake others that are kept."""
    rig = _Rig(50_000_000)
    buffer, caller = rig.open()
    parts = [bytes([number]) * size for number in range(20)]
    whole = b"".join(parts)
    for part in parts[:10]:
        buffer.write(part)
    reader = gevent.spawn(_read, caller, len(whole))
    for part in parts[10:]:
        gevent.sleep(0)
        buffer.write(part)
    buffer.await_delivery()
    assert reader.get(timeout=10) == whole
    assert (rig.buffers.kept_bytes, rig.buffers.count) == (0, 0)
    assert not rig.ended


def test_a_caller_that_reads_costs_no_greenlet(monkeypatch):
    """Guards against a greenlet for each request."""
    rig = _Rig(1_000_000)
    buffer, caller = rig.open()
    monkeypatch.setattr(gevent, "spawn", None)
    for _ in range(1000):
        buffer.write(b"x" * 1000)
        assert len(_read(caller, 1000)) == 1000
    buffer.await_delivery()


def test_a_writer_does_not_wait_for_a_caller_that_does_not_read():
    rig = _Rig(_BIG)
    buffer, caller = rig.open()
    with gevent.Timeout(10):
        buffer.write(b"x" * _BIG)
    kept_bytes = rig.buffers.kept_bytes
    assert 0 < kept_bytes == buffer.kept_bytes < _BIG
    reader = gevent.spawn(_read, caller, _BIG)
    buffer.await_delivery()
    assert len(reader.get(timeout=10)) == _BIG


@pytest.mark.parametrize("stalled", [0, 1])
def test_beyond_the_limit_the_stalled_response_is_ended(stalled):
    """Also if it is the one that is written to."""
    rig = _Rig(2 * _BIG)
    opened = [rig.open(str(number)) for number in range(2)]
    for buffer, _ in opened:
        buffer.write(b"x" * _BIG)
    _settle(rig)
    rig.clock.now_s += response_buffer.PROGRESS_S
    reading, caller = opened[1 - stalled]
    before_bytes = reading.kept_bytes
    _read(caller, 400_000)
    _wait(lambda: reading.kept_bytes < before_bytes)
    opened[0][0].write(b"y" * _BIG)
    assert [ended.label for ended in rig.ended] == [str(stalled)]
    assert rig.ended[0].reason is response_buffer.EndReason.MEMORY
    assert rig.buffers.kept_bytes == reading.kept_bytes <= 2 * _BIG
    assert len(rig.failures[str(stalled)]) == 1


def test_of_callers_that_read_one_is_ended_only_after_a_wait():
    """The writer is held up meanwhile, so that its server is read slowly."""
    rig = _Rig(_BIG)
    first, first_caller = rig.open("first")
    first.write(b"x" * _BIG)
    second, _ = rig.open("second")
    writer = gevent.spawn(second.write, b"y" * _BIG)
    _wait(lambda: rig.buffers.kept_bytes > _BIG)
    gevent.sleep(0.1)
    assert not writer.ready()
    assert not rig.ended
    rig.clock.now_s += response_buffer.PROGRESS_S / 2
    reader = gevent.spawn(_read, first_caller, _BIG)
    writer.get(timeout=10)
    first.await_delivery()
    assert len(reader.get(timeout=10)) == _BIG
    assert not rig.ended


def test_the_only_response_is_paced_and_not_ended_while_its_caller_reads():
    rig = _Rig(100_000)
    buffer, caller = rig.open()
    writer = gevent.spawn(buffer.write, b"x" * _BIG)
    assert len(_read(caller, _BIG)) == _BIG
    writer.get(timeout=10)
    buffer.await_delivery()
    assert not rig.ended


def test_a_caller_that_reads_nothing_is_given_up():
    rig = _Rig(_BIG, stalled_s=0.05)
    buffer, _ = rig.open("it")
    buffer.write(b"x" * _BIG)
    with pytest.raises(errors.SlowCallerError):
        buffer.await_delivery()
    (ended,) = rig.ended
    assert (ended.label, ended.reason) == (
        "it",
        response_buffer.EndReason.STALLED,
    )
    assert rig.buffers.kept_bytes == 0


@pytest.mark.parametrize("awaited", [True, False])
def test_a_lost_connection_is_reported_once_and_releases_memory(awaited):
    rig = _Rig(_BIG)
    buffer, caller = rig.open("it")
    buffer.write(b"x" * _BIG)
    waiting = gevent.spawn(buffer.await_delivery) if awaited else None
    gevent.sleep(0)
    caller.close()
    _wait(lambda: buffer.failed)
    assert len(rig.failures["it"]) == (0 if awaited else 1)
    with pytest.raises(errors.CallerDisconnectedError):
        waiting.get(timeout=10) if awaited else buffer.await_delivery()
    buffer.write(b"more")
    assert (rig.buffers.kept_bytes, rig.buffers.count) == (0, 0)


class _HeldSocket:
    """Accepts nothing until it is released, then all or an error."""

    def __init__(self, error):
        self.released = event.Event()
        self._error = error

    def settimeout(self, timeout_s):
        pass

    def setsockopt(self, *option):
        pass

    def send(self, data, flags=0, timeout_s=None):
        if timeout_s == 0.0:
            raise BlockingIOError
        self.released.wait()
        if self._error is not None:
            raise self._error
        return len(data)


@pytest.mark.parametrize(
    "error",
    [
        pytest.param(None, id="sent"),
        pytest.param(TimeoutError(), id="stalled"),
        pytest.param(ConnectionResetError(), id="reset"),
    ],
)
def test_what_is_discarded_while_it_is_sent_is_released_once(error):
    """Guards against memory that is released twice, and a limit that grows.

    The greenlet that sends may run once more before it is ended.
    """
    rig = _Rig(10_000_000)
    sock = _HeldSocket(error)
    made = response_buffer.ResponseBuffer(
        sock=sock,
        buffers=rig.buffers,
        on_failed=rig.failures["discarded"].append,
    )
    made.write(b"a" * 1000)
    gevent.sleep(0)
    sock.released.set()
    made.discard()
    gevent.sleep(0)
    gevent.sleep(0)
    assert (made.kept_bytes, rig.buffers.kept_bytes) == (0, 0)
    assert rig.buffers.count == 0
    assert not rig.ended
    assert not rig.failures["discarded"]


def test_responses_that_are_kept_outlive_the_end_of_the_feature():
    """Settings may be reloaded while callers read."""
    rig = _Rig(_BIG)
    buffer, caller = rig.open()
    buffer.write(b"x" * _BIG)
    rig.limits = response_buffer.BufferLimits(total_bytes=0, stalled_s=1000.0)
    assert not rig.buffers.begin()
    rig.clock.now_s += 100.0
    buffer.write(b"y")
    assert not rig.ended
    reader = gevent.spawn(_read, caller, _BIG + 1)
    buffer.await_delivery()
    assert reader.get(timeout=10)[-1:] == b"y"
