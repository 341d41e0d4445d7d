"""An owner that is gone, cut off, mad, or names another: what callers get."""

import json
import random

import gevent
import pytest
from gevent import server

from irisshelf import boottime
from irisshelf.bundle import schema
from irisshelf.routing.owned import ownership
from irisshelf.store import messages
from irisshelf.testing import engine
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform
from irisshelf.tests import examples

_OWNER = "zz-owner"


class _Owner:
    """Another instance, which behaves as told."""

    def __init__(self, manner):
        self.asked = 0
        self._manner = manner
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"
        if manner == "gone":
            self._server.stop()

    def _serve(self, sock, _address):
        self.asked += 1
        sock.recv(65_536)
        if self._manner == "silent":
            gevent.sleep(5)
        elif self._manner == "garbage":
            sock.sendall(b"\x00\x01\x02\r\n\r\n")
        elif self._manner == "names another":
            sock.sendall(
                b"HTTP/1.1 421 No\r\nX-Outcome: not_run\r\n"
                b"X-Target: lm-0/e1\r\nContent-Length: 2\r\n\r\n{}"
            )
        elif self._manner == "refuses":
            sock.sendall(
                b"HTTP/1.1 503 No\r\nX-Outcome: not_run\r\n"
                b"Content-Length: 2\r\n\r\n{}"
            )
        elif self._manner == "dies":
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"X-Attempt-Id: nobody\r\nX-Target: lm-0/e0\r\n\r\n"
            )
        sock.close()

    def stop(self):
        self._server.stop(timeout=0.01)


@pytest.fixture
def rig(request):
    """An instance, all of whose engines another instance owns."""
    owner = _Owner(request.param)
    engines = engine.FakeEngineServer(
        engines=("e0", "e1"), cfg=engine.EngineConfig(token_s=0.0)
    )
    served = harness.Server(app=engines)
    document = examples.bundle_document()
    document["backend_servers"]["lm-0"]["address"] = served.address
    document["services"]["lm"]["timeouts"] = {"idle_s": 0.3, "connect_s": 0.3}
    instance = harness.Instance(
        name="i0",
        platform=fake_platform.FakePlatform(
            clock=boottime.now, rng=random.Random(1)
        ),
        bundle=schema.Bundle.model_validate(document),
    )
    instance.node.nodes[_OWNER] = messages.Node(
        name=_OWNER,
        role=messages.NodeRole.INSTANCE,
        state=messages.NodeState.LIVE,
        data_centre="espoo-a",
        address=owner.address,
        relay_address=owner.address,
    )
    instance.node.services["lm"].set_owners(
        ownership.OwnershipMap(
            engines={"lm-0/e0": "espoo-a", "lm-0/e1": "espoo-a"},
            instances=[ownership.Candidate(name=_OWNER, data_centre="espoo-a")],
        ),
        instance="i0",
    )
    yield instance, engines, owner
    owner.stop()
    instance.stop()
    served.stop()


@pytest.mark.parametrize(
    ("rig", "marked"),
    [
        ("gone", True),
        ("silent", True),
        ("garbage", True),
        ("names another", False),
        ("refuses", False),
        ("dies", False),
    ],
    indirect=["rig"],
)
@pytest.mark.parametrize("stream", [True, False])
def test_a_caller_is_served_or_told_honestly(rig, marked, stream):
    instance, engines, owner = rig
    unreachable = []
    instance.node.peer_unreachable = unreachable.append
    body = {
        "model": "lm",
        "messages": [{"role": "user", "content": "m x"}],
        "max_tokens": 3,
        "stream": stream,
    }
    got = instance.call(
        "POST",
        "/v1/chat/completions",
        key=examples.TEAM_KEY,
        body=json.dumps(body).encode(),
    )
    runs = sum(len(e.runs) for e in engines.engines.values())
    if got.status == 200:
        assert got.body.count(b"m ") == 3
        assert runs == 1
    else:
        assert got.outcome in ("not_run", "unknown")
        assert got.outcome != "not_run" or runs == 0
    assert owner.asked <= 8  # No storm, whatever the owner does.
    assert (owner.address in unreachable) == marked
