"""A planned stop of a real instance while callers use their connections.

Regression: plain requests were started until two seconds before the kill,
whatever their deadline, and cut by the exit while servers worked on them. Their
callers could not tell whether they had run.
"""

import dataclasses
import functools
import time

import gevent
import pytest

from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import store as store_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.testing import ports
from irisshelf.transport import client
from soak import fleet

# Each play starts a process and takes ten seconds.
pytestmark = pytest.mark.xdist_group("processes")

_START_S = 20.0
_TIMEOUT_MS = 5000
# Work on a request whose body says so.
_LONG = b"long"
_LONG_S = 2.2
_ENDLESS = b"endless"
_SHORT = b"short"
# Targets of short and of long requests, by their kind.
_SHORT_TARGETS = {"unsafe": "/alarm/1", "safe": "/valve/1"}
_LONG_TARGETS = {"unsafe": "/report/1", "safe": "/lookup/1"}
_STREAM_TARGET = "/query/1"
_EVENTS = 40
_EVENT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Request:
    """A request of the play.

    Attributes:
        target: Path.
        body: Says how long the server works on it.
        at_s: When it is sent, seconds after the signal.
        deadline_ms: Its deadline.
        kept: Whether its connection has carried a request before.
        body_s: How long its body takes to arrive.
    """

    target: str
    body: bytes
    at_s: float
    deadline_ms: int = _TIMEOUT_MS
    kept: bool = True
    body_s: float = 0.0


def _requests():
    """Returns the requests of the play by name."""
    found = {}
    for kind in ("unsafe", "safe"):
        long = functools.partial(
            _Request, target=_LONG_TARGETS[kind], body=_LONG
        )
        for at_s in (5.4, 5.6, 5.9):
            found[f"long-{kind}-{at_s}"] = long(at_s=at_s)
        found[f"fits-{kind}"] = long(at_s=6.3, deadline_ms=600)
        found[f"late-body-{kind}"] = long(at_s=4.0, body_s=2.0)
        found[f"half-body-{kind}"] = long(at_s=5.0, body_s=10.0)
        short = functools.partial(_Request, target=_SHORT_TARGETS[kind])
        for at_s in (0.5, 1.0, 2.0, 3.0, 3.4, 4.0, 4.6, 5.0, 5.6, 5.8):
            found[f"short-{kind}-{at_s}"] = short(body=_SHORT, at_s=at_s)
        found[f"short-{kind}-new"] = short(body=_SHORT, at_s=1.5, kept=False)
        found[f"endless-{kind}"] = short(
            body=_ENDLESS, at_s=-0.2, deadline_ms=20_000
        )
    stream = functools.partial(
        _Request, target=_STREAM_TARGET, deadline_ms=20_000, kept=False
    )
    found["stream-begun"] = stream(body=_SHORT, at_s=-0.2)
    found["stream-endless"] = stream(body=_ENDLESS, at_s=1.0)
    found["stream-late"] = stream(body=_SHORT, at_s=4.0)
    return found


class _Play:
    """Stops an instance and collects what its callers get."""

    def __init__(self, folder):
        self.answers = {}
        self.ended_s = {}
        self.requests = _requests()
        self._store = store_module.Store().start()
        self.servers = [
            *(self._server("crew", number) for number in range(2)),
            self._server("lm", 0),
        ]
        self._store.put("op", "config", _config())
        self._block = ports.Block()
        peers = f"127.0.0.1:{self._block.take()}"
        self._entry = fleet.Entry(
            number=0,
            folder=folder,
            store=self._store.address,
            peers=peers,
            block=self._block,
            seeds=[peers],
        )

    def run(self):
        """Plays everything, from the start to the exit."""
        self._entry.start()
        assert fleet.wait_until(self._is_ready, time.monotonic() + _START_S)
        connecting = {
            name: gevent.spawn(self._connect, request)
            for name, request in self.requests.items()
        }
        conns = {name: one.get() for name, one in connecting.items()}
        began_s = time.monotonic() + 0.5
        callers = [
            gevent.spawn(self._ask, name, conns[name], began_s + request.at_s)
            for name, request in self.requests.items()
        ]
        gevent.sleep(began_s - time.monotonic())
        self._entry.term()
        gevent.joinall(callers)
        self.exited_s = max(self.ended_s.values()) - began_s

    def close(self):
        """Ends everything."""
        self._entry.close()
        for one in self.servers:
            one.close()
        self._store.close()
        self._block.close()

    def runs(self, name):
        """Returns how often servers ran a request."""
        return sum(one.ran(name) for one in self.servers)

    def _server(self, service, number):
        made = server_module.Server(
            server_id=f"{service}-{number}",
            service=service,
            streaming=service == "lm",
            work_s=0.01,
            events=_EVENTS,
            event_s=_EVENT_S,
        ).start()
        made.pause_s = _LONG_S
        made.fault_of = _fault_of
        self._store.put("servers", made.server_id, made.entry())
        return made

    def _is_ready(self):
        try:
            conn = client.connect(self._entry.ready, timeout_s=0.5)
            conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=0.5)
            status, _ = conn.read_head(timeout_s=0.5)
        except client.errors.TransportError:
            return False
        conn.close()
        return status == 200

    def _connect(self, request):
        """Connects; a kept connection has carried a request like those."""
        conn = client.connect(self._entry.front, timeout_s=5.0)
        if request.kept:
            body = _SHORT if request.body == _ENDLESS else request.body
            headers = _headers("warm-up", request.target, body)
            conn.send("POST", request.target, headers, body, timeout_s=5.0)
            assert world_module.read_answer(conn).status == 200
        return conn

    def _ask(self, name, conn, at_s):
        request = self.requests[name]
        gevent.sleep(at_s - time.monotonic())
        if not request.kept:
            conn.close()
            conn = self._connect(request)
        headers = _headers(
            name, request.target, request.body, request.deadline_ms
        )
        if request.body_s:
            answer = _ask_slowly(conn, request, headers)
        else:
            conn.send(
                "POST", request.target, headers, request.body, timeout_s=5.0
            )
            answer = world_module.read_answer(conn)
        self.answers[name] = answer
        self.ended_s[name] = time.monotonic()
        conn.close()


def _ask_slowly(conn, request, headers):
    """Sends the body in two halves, the second one later."""
    half = len(request.body) // 2
    sock = conn._sock
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    head = b"POST " + request.target.encode() + b" HTTP/1.1\r\n" + lines
    sock.sendall(head + b"\r\n" + request.body[:half])
    until_s = time.monotonic() + request.body_s
    while time.monotonic() < until_s and not conn.has_input():
        gevent.sleep(0.02)
    try:
        sock.sendall(request.body[half:])
    except OSError:
        pass  # The answer has come before the rest of the body was sent.
    return _read_raw(sock)


def _read_raw(sock):
    """Reads an answer that ends with its connection and has a length."""
    sock.settimeout(10.0)
    data = b""
    while part := sock.recv(65536):
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    status_line, *lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    return world_module.Answer(
        status=int(status_line.split()[1]) if status_line else 0,
        headers=headers,
        body=body,
        whole=len(body) == int(headers.get("content-length", -1)),
    )


def _fault_of(run):
    if run.body == _ENDLESS:
        return server_module.Fault.HANG
    if run.body == _LONG:
        return server_module.Fault.SLOW
    return server_module.Fault.NONE


def _config():
    times = {"timeoutMs": 20_000, "targetLatencyMs": 2500}
    routes = [
        world_module.route("/alarm/", "unsafe", "crew", **times),
        world_module.route("/valve/", "safe", "crew", **times),
        world_module.route("/report/", "unsafe", "crew", **times),
        world_module.route("/lookup/", "safe", "crew", **times),
        world_module.route("/query/", "streaming", "lm", **times),
    ]
    return world_module.config(1, routes=routes)


def _headers(request_id, target, body, deadline_ms=_TIMEOUT_MS):
    return [
        (b"Host", world_module.HOST.encode()),
        (b"Request-Id", request_id.encode()),
        (b"Deadline-Ms", str(deadline_ms).encode()),
        (b"Authorization", f"Bearer {world_module.KEY}".encode()),
        (b"Content-Length", str(len(body)).encode()),
    ]


@pytest.fixture(scope="module")
def play(tmp_path_factory):
    made = _Play(tmp_path_factory.mktemp("planned-stop"))
    try:
        made.run()
        yield made
    finally:
        made.close()


_NAMES = list(_requests())


def _names(prefix):
    return [name for name in _NAMES if name.startswith(prefix)]


@pytest.mark.parametrize(
    "name", [name for name in _NAMES if name != "stream-begun"]
)
def test_each_request_gets_a_whole_response(play, name):
    """Guards against connections that the exit closes without a response."""
    answer = play.answers[name]
    assert answer.status != 0
    assert answer.whole


@pytest.mark.parametrize("name", _NAMES)
def test_what_is_rejected_as_not_run_has_not_run(play, name):
    """Guards against a caller's repeat of a request that has run."""
    if play.answers[name].status == 503:
        assert play.runs(name) == 0


@pytest.mark.parametrize("name", _names("long") + _names("late-body"))
def test_what_would_be_cut_is_rejected_before_it_is_sent(play, name):
    """Guards against work that is started and then cut."""
    assert play.answers[name].status == 503
    assert float(play.answers[name].headers["retry-after"]) > 0
    assert play.runs(name) == 0


@pytest.mark.parametrize("name", _names("short"))
def test_short_requests_are_served_as_long_as_they_fit(play, name):
    """Guards against requests rejected that an instance can still serve."""
    assert play.answers[name].status == 200


@pytest.mark.parametrize("name", _names("fits"))
def test_a_request_whose_deadline_fits_is_started(play, name):
    assert play.runs(name) == 1
    assert play.answers[name].status == 504


@pytest.mark.parametrize("name", _names("half-body"))
def test_a_request_that_never_arrived_whole_is_rejected(play, name):
    assert play.answers[name].status == 503


@pytest.mark.parametrize("name", [*_names("endless"), "stream-endless"])
def test_a_request_in_progress_at_the_end_is_told_so(play, name):
    """Guards against a cut that its caller cannot tell from a crash."""
    assert play.answers[name].status == 502
    assert b'"stopping"' in play.answers[name].body


def test_a_stream_that_has_begun_does_not_look_complete(play):
    """Guards against a part of a stream that passes for the whole."""
    answer = play.answers["stream-begun"]
    assert (answer.status, answer.whole) == (200, False)
    assert answer.body.startswith(b"id: 1\n")


def test_a_stream_that_comes_late_is_rejected(play):
    assert play.answers["stream-late"].status == 503
    assert play.runs("stream-late") == 0


def test_the_instance_exits_before_it_is_killed(play):
    assert play.exited_s < fleet.STOP_S
