"""Tests of responses to callers when the owner of an engine fails.

The owner is unreachable, silent, sends garbage, names another target, refuses,
or breaks off its response.
"""

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


class _StandInOwner:
    """Stand-in for another instance, with a configurable fault."""

    def __init__(self, behaviour):
        self.request_count = 0
        self._behaviour = behaviour
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"
        if behaviour == "gone":
            self._server.stop()

    def _serve(self, sock, _address):
        self.request_count += 1
        sock.recv(65_536)
        if self._behaviour == "silent":
            gevent.sleep(5)
        elif self._behaviour == "garbage":
            sock.sendall(b"\x00\x01\x02\r\n\r\n")
        elif self._behaviour == "names another":
            sock.sendall(
                b"HTTP/1.1 421 No\r\nX-Outcome: not_run\r\n"
                b"X-Target: lm-0/e1\r\nContent-Length: 2\r\n\r\n{}"
            )
        elif self._behaviour == "refuses":
            sock.sendall(
                b"HTTP/1.1 503 No\r\nX-Outcome: not_run\r\n"
                b"Content-Length: 2\r\n\r\n{}"
            )
        elif self._behaviour == "dies":
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"X-Attempt-Id: nobody\r\nX-Target: lm-0/e0\r\n\r\n"
            )
        sock.close()

    def stop(self):
        self._server.stop(timeout=0.01)


@pytest.fixture
def forwarding(request):
    """An instance all of whose engines are owned by a stand-in."""
    owner = _StandInOwner(request.param)
    engines = engine.FakeEngineServer(
        engines=("e0", "e1"), cfg=engine.EngineConfig(token_s=0.0)
    )
    engine_server = harness.Server(app=engines)
    document = examples.bundle_document()
    document["backend_servers"]["lm-0"]["address"] = engine_server.address
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
    engine_server.stop()


@pytest.mark.parametrize(
    ("forwarding", "reported"),
    [
        ("gone", True),
        ("silent", True),
        ("garbage", True),
        ("names another", False),
        ("refuses", False),
        ("dies", False),
    ],
    indirect=["forwarding"],
)
@pytest.mark.parametrize("stream", [True, False])
def test_caller_gets_a_response_or_a_correct_outcome(
    forwarding, reported, stream
):
    instance, engines, owner = forwarding
    unreachable = []
    instance.node.peer_unreachable = unreachable.append
    body = {
        "model": "lm",
        "messages": [{"role": "user", "content": "m x"}],
        "max_tokens": 3,
        "stream": stream,
    }
    response = instance.call(
        "POST",
        "/v1/chat/completions",
        key=examples.TEAM_KEY,
        body=json.dumps(body).encode(),
    )
    runs = sum(len(e.runs) for e in engines.engines.values())
    if response.status == 200:
        assert response.body.count(b"m ") == 3
        assert runs == 1
    else:
        assert response.outcome in ("not_run", "unknown")
        assert response.outcome != "not_run" or runs == 0
    assert owner.request_count <= 8  # Forwarding must not loop.
    assert (owner.address in unreachable) == reported
