"""Lines of a request's trace, with the events that explain its server."""

import json

import pytest

from irisshelf.observe import request_trace

_SEND = {"message": "send", "time": 20.0, "request": "r1", "server": "i-1"}


def _line(**fields):
    return json.dumps({"instance": "entry-1", **fields})


@pytest.mark.parametrize(
    "name",
    [
        "servers_changed",
        "server_entries_contradicting",
        "server_entries_lapsed",
        "server_entries_outdated",
    ],
)
@pytest.mark.parametrize(
    ("changes", "related"),
    [
        (["i-1 ready 10.0.0.1:80 #4"], True),
        (["i-0 gone", "i-1 gone"], True),
        (["i-10 ready 10.0.0.1:80"], False),
    ],
)
def test_entries_of_the_requests_server_are_related(name, changes, related):
    event = _line(message=name, time=15.0, changes=changes)
    lines = request_trace.parse([event, _line(**_SEND)])
    names = [line.name for line in request_trace.trace(lines, "r1")]
    assert names == ([name, "send"] if related else ["send"])


@pytest.mark.parametrize("name", ["server_rests", "server_accepts_nothing"])
@pytest.mark.parametrize(("server", "related"), [("i-1", True), ("i-2", False)])
def test_events_of_the_requests_server_are_related(name, server, related):
    event = _line(message=name, time=15.0, server=server, request="r0")
    lines = request_trace.parse([event, _line(**_SEND)])
    names = [line.name for line in request_trace.trace(lines, "r1")]
    assert names == ([name, "send"] if related else ["send"])
