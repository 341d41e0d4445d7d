"""Memory and processor time of a real instance whose peers send without end.

Regression: one such server took the whole processor, and 1.9 GB of memory; so
did callers with bodies in chunks of one byte, or pipelined requests.
"""

import os
import pathlib
import subprocess
import sys
import time

import gevent
import pytest

from irisshelf.platform.stand_in import endless
from irisshelf.platform.stand_in import endless_caller
from irisshelf.platform.stand_in import endless_process
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import store as store_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.testing import ports
from irisshelf.transport import client
from irisshelf.transport import errors
from soak import fleet

# Their cases start several processes each, so that one runs at a time.
pytestmark = pytest.mark.xdist_group("processes")

_START_S = 20.0
_PLAY_S = 3.0
_PLAIN_MS = 800
_STREAM_MS = 2500
# That a response may come later than the deadline.
_HANDLED_S = 0.5
# The memory of the smallest machines, and half of a processor.
_MEMORY_BYTES = 200_000_000
_PROCESSOR_SHARE = 0.5
# With a burst on each connection.
_CALLERS_SHARE = 0.7
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_FORMS = (
    endless.Form.INTERIM,
    endless.Form.BODY_TO_CLOSE,
    endless.Form.CHUNKED_BODY,
    endless.Form.TINY_CHUNKS,
    endless.Form.EVENT,
    endless.Form.STRAY_BODY,
)
_CALLER_FORMS = (
    endless_caller.Form.TINY_CHUNKS,
    endless_caller.Form.CHUNKED_BODY,
    endless_caller.Form.PIPELINED,
    endless_caller.Form.PIPELINED_UNKNOWN_KEY,
)
_CALLER_CONNECTIONS = 3


class _Play:
    """One instance, an endless and a sound server, and a sound service."""

    def __init__(self, folder, form):
        self.store = store_module.Store().start()
        self.bad = endless_process.EndlessServer(
            form=form, pace=endless.Pace.FAST
        )
        self.sound = [
            self._start("sound-plain", "plain", streaming=False),
            self._start("sound-engine", "engines", streaming=True),
            self._start("crew-0", "crew", streaming=False),
        ]
        for service in ("plain", "engines"):
            entry = self.bad.entry(service)
            self.store.put("servers", f"bad-{service}", entry)
        self.store.put("op", "config", _config())
        self.block = ports.Block()
        peers = f"127.0.0.1:{self.block.take()}"
        self.entry = fleet.Entry(
            number=0,
            folder=folder,
            store=self.store.address,
            peers=peers,
            block=self.block,
            seeds=[peers],
            # So that the retry budget does not end requests here.
            bounds={"retry_share": 1.0, "retry_slack": 1000.0},
        )
        self.entry.start()
        assert fleet.wait_until(self._is_ready, time.monotonic() + _START_S)

    def _start(self, server_id, service, *, streaming):
        made = server_module.Server(
            server_id=server_id, service=service, streaming=streaming
        ).start()
        self.store.put("servers", server_id, made.entry())
        return made

    def _is_ready(self):
        try:
            conn = client.connect(self.entry.ready, timeout_s=0.5)
            conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=0.5)
            status, _ = conn.read_head(timeout_s=0.5)
        except errors.TransportError:
            return False
        conn.close()
        return status == 200

    def ask(self, target, name, deadline_ms):
        """Returns the status of the response, and how long it took."""
        headers = [
            (b"Host", world_module.HOST.encode()),
            (b"Request-Id", name.encode()),
            (b"Deadline-Ms", str(deadline_ms).encode()),
            (b"Authorization", f"Bearer {world_module.KEY}".encode()),
            (b"Content-Length", b"2"),
        ]
        began_s = time.monotonic()
        conn = client.connect(self.entry.front, timeout_s=5.0)
        conn.send("POST", target, headers, b"{}", timeout_s=5.0)
        answer = world_module.read_answer(conn)
        conn.close()
        return answer.status, time.monotonic() - began_s

    def processor_s(self):
        """Returns the processor time that the instance has taken."""
        stat = pathlib.Path(f"/proc/{self.entry.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def close(self):
        self.entry.close()
        self.bad.close()
        for one in self.sound:
            one.close()
        self.store.close()
        self.block.close()


def _config():
    routes = [
        world_module.route("/once/", "unsafe", "plain"),
        world_module.route("/any/", "safe", "plain"),
        world_module.route("/chat/", "streaming", "engines", resumable=True),
        world_module.route("/crew/", "unsafe", "crew"),
    ]
    return world_module.config(1, routes=routes)


@pytest.fixture
def make_play(tmp_path):
    made = []

    def make(form):
        made.append(_Play(tmp_path, form))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize("form", _FORMS)
def test_memory_and_processor_time_are_bounded(make_play, form):
    """Guards against one server that stops an instance."""
    play = make_play(form)
    processor_s = play.processor_s()
    began_s = time.monotonic()
    asked = {"/once/1": [], "/any/1": [], "/chat/1": [], "/crew/1": []}
    for number in range(30):
        for target, one in asked.items():
            deadline_ms = _STREAM_MS if target == "/chat/1" else _PLAIN_MS
            name = f"{target}{number}"
            one.append(gevent.spawn(play.ask, target, name, deadline_ms))
        gevent.sleep(_PLAY_S / 30)
    answers = {t: [one.get() for one in some] for t, some in asked.items()}
    elapsed_s = time.monotonic() - began_s
    for target in ("/any/1", "/chat/1", "/crew/1"):
        assert {status for status, _ in answers[target]} == {200}
    assert {s for s, _ in answers["/once/1"]} <= {200, 502, 504}
    longest_s = max(took_s for some in answers.values() for _, took_s in some)
    assert longest_s < _STREAM_MS / 1000 + _HANDLED_S
    assert fleet.peak_bytes(play.entry.pid) < _MEMORY_BYTES
    used_s = play.processor_s() - processor_s
    assert used_s < _PROCESSOR_SHARE * elapsed_s


@pytest.mark.parametrize("form", _CALLER_FORMS)
def test_callers_leave_the_instance_to_others(make_play, form):
    """Guards against callers that stop an instance, with or without a key."""
    play = make_play(endless.Form.NOT_HTTP)
    processor_s = play.processor_s()
    began_s = time.monotonic()
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", endless_caller.__name__),
            *(play.entry.front, form.value, world_module.KEY),
            str(_CALLER_CONNECTIONS),
        ],
        stdout=subprocess.DEVNULL,
    )
    answers = []
    try:
        while time.monotonic() - began_s < _PLAY_S:
            name = f"sound-{len(answers)}"
            answers.append(play.ask("/crew/1", name, _PLAIN_MS))
            gevent.sleep(0.05)
    finally:
        process.kill()
        process.wait()
    elapsed_s = time.monotonic() - began_s
    assert {status for status, _ in answers} == {200}
    assert max(took_s for _, took_s in answers) < _PLAIN_MS / 1000
    assert fleet.peak_bytes(play.entry.pid) < _MEMORY_BYTES
    used_s = play.processor_s() - processor_s
    assert used_s < _CALLERS_SHARE * elapsed_s
