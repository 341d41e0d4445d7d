"""Settings and callers' requests of any bytes: a value, or the typed error."""

import contextlib
import json
import math
import types

import hypothesis
import pytest
import result
from gevent import socket
from hypothesis import strategies

from irisshelf.gateway import listener
from irisshelf.gateway import messages
from irisshelf.gateway import settings
from irisshelf.platform import http_dialect
from irisshelf.transport import server

_GOOD = {
    "instance": "entry-1",
    "data_centre": "a",
    "listen": {
        "front": "127.0.0.1:1",
        "ready": "127.0.0.1:2",
        "metrics": "127.0.0.1:3",
        "peers": "127.0.0.1:4",
    },
    "store": "127.0.0.1:5",
    "bounds": {"keys_strict": True},
    "log_lines_per_s": 200,
    "max_requests": 1000,
}
_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=12),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=6,
)
_FIELDS = [
    ("instance",),
    ("listen",),
    ("listen", "front"),
    ("listen", "peers"),
    ("store",),
    ("seeds",),
    ("data_centres",),
    ("bounds",),
    ("bounds", "retry_share"),
    ("bounds", "key_withdrawn_ms"),
    ("bounds", "stop_s"),
    ("log_lines_per_s",),
    ("max_requests",),
    ("policy",),
]
_LIMITS = server.Limits(head_bytes=4096, body_bytes=4096, head_s=1, idle_s=1)


def _sound(cfg):
    for name, value in vars(cfg.bounds).items():
        if isinstance(value, float):
            assert value >= 0 and math.isfinite(value), name
    assert cfg.log_lines_per_s > 0
    assert cfg.max_requests >= 0
    assert ":" in cfg.listen.front


@hypothesis.given(data=strategies.binary(max_size=200))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_settings_of_any_bytes_are_refused_in_words(data):
    found = settings.decode(data)
    assert isinstance(found, result.Err)
    assert found.err_value


@hypothesis.given(field=strategies.sampled_from(_FIELDS), value=_VALUES)
@hypothesis.example(("bounds", "stop_s"), math.inf)
@hypothesis.example(("listen", "front"), "127.0.0.1:99999999999999999999")
@hypothesis.example(("listen", "front"), "127.0.0.1:²")
@hypothesis.example(("listen", "front"), "127.0.0.1:" + "9" * 5000)
@hypothesis.example(("store",), "[::1]:80")
@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
def test_a_field_of_any_value_is_taken_or_named(field, value):
    document = json.loads(json.dumps(_GOOD))
    part = document
    for name in field[:-1]:
        part = part[name]
    part[field[-1]] = value
    found = settings.decode(json.dumps(document).encode())
    if isinstance(found, result.Ok):
        _sound(found.ok_value)
    else:
        named = field[0] in found.err_value or "allowed" in found.err_value
        assert named or "no JSON" in found.err_value


_HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                b"Request-Id",
                b"Deadline-Ms",
                b"Last-Event-Id",
                b"Prefix-Hash",
                b"Token-Count",
                b"Authorization",
                b"Host",
                b"Connection",
            ]
        ),
        strategies.binary(max_size=30),
    ),
    max_size=6,
)


@hypothesis.given(
    headers=_HEADERS,
    target=strategies.text(max_size=20),
    body=strategies.binary(max_size=20),
)
@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
def test_any_callers_head_is_understood_or_refused(headers, target, body):
    inbound = messages.InboundRequest(
        method="POST",
        target=target,
        headers=((b"Request-Id", b"r"), *headers),
        body=body,
        has_body=True,
        arrived_s=0.0,
    )
    asked = http_dialect.HttpDialect().parse_request(inbound)
    if isinstance(asked, result.Err):
        assert "allowed" in asked.err_value
        return
    ask = asked.ok_value
    assert ask.deadline_s is None or 0 <= ask.deadline_s < 1e9
    assert ask.last_event_id is None or 0 <= ask.last_event_id < 10**15
    assert all(0 <= part.tokens < 10**15 for part in ask.prompt.parts)


@hypothesis.given(data=strategies.binary(min_size=1, max_size=300))
@hypothesis.example(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
@hypothesis.example(b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n")
@hypothesis.example(
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_bytes_on_a_connection_end_it_or_are_a_request(data):
    """They end no more than their own connection, without a complaint."""
    problems = []
    with _listening(problems) as address:
        caller = socket.create_connection(address)
        caller.settimeout(5)
        caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)
        answer = b""
        while part := _receive(caller):
            answer += part
        caller.close()
    assert not problems
    assert not answer or answer.startswith(b"HTTP/1.1 ")


@contextlib.contextmanager
def _listening(problems):
    listening = listener.Listener(
        address="127.0.0.1:0",
        limits=lambda: _LIMITS,
        handle=lambda request, conn: conn.answer(200, [], b""),
        refuse=lambda status, text: ([], text.encode()),
        log=types.SimpleNamespace(
            problem=lambda name, **fields: problems.append(fields)
        ),
    )
    listening.start()
    try:
        yield "127.0.0.1", listening.port
    finally:
        listening.stop_accepting()


def _receive(sock):
    try:
        return sock.recv(65536)
    except ConnectionError:
        return b""


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"null", b'"x"', b"{}"])
def test_settings_that_are_none_are_refused(data):
    assert isinstance(settings.decode(data), result.Err)
