"""Tests of settings validation, the decision log and event splitting."""

import json
import os

import pytest
import result

from irisshelf.gateway import settings
from irisshelf.observe import decision_log
from irisshelf.routing.direct import event_stream

_VALID = {
    "instance": "entry-1",
    "data_centre": "a",
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "metrics": "10.0.0.1:3",
        "peers": "10.0.0.1:4",
    },
    "store": "10.0.0.2:9",
}


def _decode(change):
    return settings.decode(json.dumps(_VALID | change).encode())


def test_valid_settings_are_accepted():
    cfg = _decode({"bounds": {"stop_s": 6}, "not_known_yet": 1}).unwrap()
    assert (cfg.instance, cfg.bounds.stop_s) == ("entry-1", 6.0)


@pytest.mark.parametrize(
    ("change", "field", "value", "allowed"),
    [
        ({"instance": 3}, "instance", "3", "str"),
        ({"bounds": {"stop_s": 0}}, "bounds.stop_s", "0", "> 0"),
        ({"bounds": {"retry_share": 2}}, "bounds.retry_share", "2", "<= 1"),
        ({"bounds": {"keys_strict": 1}}, "bounds.keys_strict", "1", "bool"),
        (
            {"bounds": {"keys_unconfirmed_s": 0}},
            "bounds.keys_unconfirmed_s",
            "0",
            "> 0",
        ),
        ({"store": "here"}, "store", "here", "an IP address"),
        ({"store": "10.0.0.1:99999"}, "store", "99999", "a port"),
        ({"max_requests": "many"}, "max_requests", "many", "int"),
        # Guards against shares of 0 by an infinite sum of weights, and against
        # an OverflowError in each response.
        (
            {"overload": {"team_weights": {"a": 1e308}}},
            "overload.team_weights",
            "1e+308",
            "<= 1000000",
        ),
        (
            {"overload": {"response_buffer_mb": 1e303}},
            "overload.response_buffer_mb",
            "1e+303",
            "<= 1000000",
        ),
    ],
)
def test_error_names_field_value_and_allowed_values(
    change, field, value, allowed
):
    text = _decode(change).unwrap_err()
    assert field in text
    assert value in text
    assert allowed in text


def test_error_names_missing_field():
    incomplete = {k: v for k, v in _VALID.items() if k != "store"}
    text = settings.decode(json.dumps(incomplete).encode()).unwrap_err()
    assert "store" in text


def test_settings_that_are_not_json_are_rejected():
    assert isinstance(settings.decode(b"{"), result.Err)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _lines(reader):
    data = b""
    while True:
        try:
            block = os.read(reader, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += block


def test_decision_is_logged_as_one_line_with_its_fields(pipe):
    log = decision_log.DecisionLog(instance="entry-1", fd=pipe[1])
    log.request("send", "r1", server="s1", load=1.5)
    log.flush()
    (line,) = _lines(pipe[0])
    expected = {"message": "send", "request": "r1", "server": "s1", "load": 1.5}
    assert expected.items() <= line.items()
    assert line["instance"] == "entry-1"


def test_request_log_lines_are_limited_and_dropped_ones_counted(pipe):
    log = decision_log.DecisionLog(
        instance="entry-1", lines_per_s=5.0, fd=pipe[1]
    )
    for number in range(100):
        log.request("send", f"r{number}")
    log.instance("stop")
    log.flush()
    lines = _lines(pipe[0])
    assert [line["message"] for line in lines] == ["send"] * 5 + ["stop"]
    assert log.dropped == 95


def test_logging_does_not_block_without_a_reader(pipe):
    log = decision_log.DecisionLog(
        instance="entry-1", lines_per_s=1e9, fd=pipe[1]
    )
    for number in range(decision_log.MAX_QUEUED + 10):
        log.request("send", f"r{number}", text="x" * 100)
    log.flush()
    assert log.dropped == 10


@pytest.mark.parametrize(
    ("chunks", "ids", "rest"),
    [
        ([b"id: 1\ndata: a\n\n"], [1], b""),
        ([b"id: 1\ndata", b": a\n", b"\nid: 2\n"], [1], b"id: 2\n"),
        ([b"id: 1\r\ndata: a\r\n\r\n"], [1], b""),
        ([b"data: a\n\nid: 7\n\n"], [None, 7], b""),
        ([b"id: x\n\n"], [None], b""),
        ([b"weight-versions: 3\nid: 4\ndata: b\n\n"], [4], b""),
        ([b""], [], b""),
    ],
)
def test_stream_is_split_into_complete_events(chunks, ids, rest):
    splitter = event_stream.Splitter()
    events = [e for chunk in chunks for e in splitter.feed(chunk)]
    assert [e.event_id for e in events] == ids
    whole = b"".join(e.data for e in events)
    assert whole + splitter.pending == b"".join(chunks)
    assert splitter.pending == rest
