"""Versions of servers' software, as entries give them, and ``Resumes``."""

import json

import pytest

from irisshelf.platform import documents
from irisshelf.platform import http_dialect
from irisshelf.platform.stand_in import world as world_module

_ENTRY = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
}


@pytest.mark.parametrize(
    ("given", "read"),
    [
        pytest.param({}, "", id="none"),
        pytest.param({"version": None}, "", id="null"),
        pytest.param({"version": "v1.2"}, "v1.2", id="one"),
        pytest.param({"version": "v" * 64}, "v" * 64, id="longest"),
        pytest.param({"version": "v" * 65}, None, id="too-long"),
        pytest.param({"version": ""}, None, id="empty"),
        pytest.param({"version": "v 1"}, None, id="space"),
        pytest.param({"version": "v1\n"}, None, id="newline"),
        pytest.param({"version": "v\u00e9"}, None, id="not-ascii"),
        pytest.param({"version": 3}, None, id="number"),
        pytest.param({"version": ["v1"]}, None, id="list"),
        pytest.param({"version": {"v": 1}}, None, id="object"),
    ],
)
def test_an_entry_stays_usable_whatever_its_version(given, read):
    server = documents.server("i-1", json.dumps(_ENTRY | given).encode())
    assert server.version == read


@pytest.mark.parametrize(
    ("given", "read"),
    [
        pytest.param({}, "", id="none"),
        pytest.param({"Resumes": "r1"}, "r1", id="id"),
        pytest.param({"Resumes": " r1 "}, "r1", id="spaces-around"),
        pytest.param({"Resumes": "r" * 200}, "r" * 200, id="longest"),
        pytest.param({"Resumes": "r" * 201}, "", id="too-long"),
        pytest.param({"Resumes": "r 1"}, "", id="space-within"),
    ],
)
def test_what_a_stream_resumes_is_read(given, read):
    headers = {"Request-Id": "r2", "Last-Event-Id": "3"} | given
    inbound = world_module.inbound(
        "/digest/1", [(n.encode(), v.encode()) for n, v in headers.items()]
    )
    head = http_dialect.HttpDialect().parse_request(inbound).ok_value
    assert head.resumes == read
