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


@pytest.mark.parametrize(
    "name", ["server_rests", "server_accepts_nothing", "server_entry_in_doubt"]
)
@pytest.mark.parametrize(("server", "related"), [("i-1", True), ("i-2", False)])
def test_events_of_the_requests_server_are_related(name, server, related):
    event = _line(message=name, time=15.0, server=server, request="r0")
    lines = request_trace.parse([event, _line(**_SEND)])
    names = [line.name for line in request_trace.trace(lines, "r1")]
    assert names == ([name, "send"] if related else ["send"])


@pytest.mark.parametrize(
    ("request_id", "shown"),
    [
        pytest.param("r1", ["r1", "r2", "r3"], id="first-attempt"),
        pytest.param("r2", ["r1", "r2", "r3"], id="second-attempt"),
        pytest.param("r4", ["r4"], id="other-request"),
        pytest.param("r5", ["r5"], id="first-attempt-not-logged"),
    ],
)
def test_all_attempts_of_a_stream_are_shown(request_id, shown):
    resumes = {"r2": "r1", "r3": "r1", "r5": "r0"}
    texts = [
        _line(
            message="send",
            time=20.0 + number,
            request=f"r{number}",
            server="i-1",
            resumes=resumes.get(f"r{number}", ""),
        )
        for number in range(1, 6)
    ]
    lines = request_trace.trace(request_trace.parse(texts), request_id)
    assert [line.request for line in lines] == shown


@pytest.mark.parametrize(("request_id", "named"), [("r1", False), ("r2", True)])
def test_the_id_of_another_attempt_is_shown(request_id, named):
    (line,) = request_trace.parse([_line(**_SEND)])
    assert ("r1" in request_trace.render(line, request_id)) is named
