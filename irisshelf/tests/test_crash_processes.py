"""Real processes: an instance that starts later learns of earlier crashes."""

import time

import gevent
import pytest

from irisshelf import boottime
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import store as store_module
from irisshelf.platform.stand_in import world
from irisshelf.testing import ports
from irisshelf.transport import client
from soak import fleet

# Their cases start several processes each, so that one runs at a time.
pytestmark = pytest.mark.xdist_group("processes")

_BODY = b"ends whoever runs it"
_START_S = 20.0


@pytest.fixture
def platform():
    """A store with a configuration, and six servers listed."""
    store = store_module.Store().start()
    servers = [
        server_module.Server(
            server_id=f"crew-{number}", service="crew", streaming=False
        ).start()
        for number in range(6)
    ]
    for one in servers:
        one.ends_under = lambda run: run.body == _BODY
        one.away_s = 60.0
        store.put("servers", one.server_id, one.entry())
    store.put("op", "config", world.config(1))
    yield store, servers
    for one in servers:
        one.close()
    store.close()


@pytest.fixture
def make_entry(tmp_path, platform):
    store, _ = platform
    block = ports.Block()
    peers = [f"127.0.0.1:{block.take()}" for _ in range(2)]
    made = []

    def make(also=None):
        number = len(made)
        entry = fleet.Entry(
            number=number,
            folder=tmp_path,
            store=store.address,
            peers=peers[number],
            block=block,
            seeds=peers,
        )
        entry.start()
        made.append(entry)

        def serves():
            if also is not None:
                _ask(entry, also)
            return _ask(entry, b"{}") == 200

        served = fleet.wait_until(serves, time.monotonic() + _START_S)
        assert served
        return entry

    yield make
    for entry in made:
        entry.close()
    block.close()


def _ask(entry, body):
    """Returns the status of one request; 0 if there was no response."""
    headers = {
        "Host": world.HOST,
        "Request-Id": f"r{boottime.now()}",
        "Deadline-Ms": "2000",
        "Authorization": f"Bearer {world.KEY}",
        "Content-Length": str(len(body)),
    }
    raw = [(n.encode(), v.encode()) for n, v in headers.items()]
    try:
        conn = client.connect(entry.front, timeout_s=1.0)
    except client.errors.ConnectError:
        return 0
    conn.send("POST", "/alarm/1", raw, body, timeout_s=2.0)
    answer = world.read_answer(conn)
    conn.close()
    return answer.status


def test_an_instance_that_starts_later_rejects_the_request(
    platform, make_entry
):
    _, servers = platform
    first = make_entry()
    assert [_ask(first, _BODY) for _ in range(4)] == [502, 502, 502, 503]
    # By then the last crash has been reported twice, to no other instance.
    gevent.sleep(1.0)
    second = make_entry()
    # It requests the known crashes from a peer as soon as it has found one.
    refused = fleet.wait_until(
        lambda: "server_ended_under_request" in second.log.read_text(),
        time.monotonic() + _START_S,
    )
    assert refused
    assert _ask(second, _BODY) == 503
    assert sum(one.ends for one in servers) == 3


def test_an_instance_asks_its_peers_before_it_sends_requests(
    platform, make_entry
):
    """Guards against a server crashed by what all other instances reject."""
    _, servers = platform
    first = make_entry()
    assert [_ask(first, _BODY) for _ in range(3)] == [502, 502, 502]
    gevent.sleep(1.0)
    second = make_entry(also=_BODY)
    assert _ask(second, _BODY) == 503
    assert sum(one.ends for one in servers) == 3
