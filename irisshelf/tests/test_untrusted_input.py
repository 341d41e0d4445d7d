"""Untrusted input is decoded to a value in its range or raises a known error.

Entries of the server list come from other writers too, and responses from
servers of any make. Guards against these faults: a state without a name was
taken for ready; one row without a text made the store count as unavailable; the
server of an entry that became unreadable stayed in use; a deeply nested entry
ended the greenlet that follows the store; and a superscript two in a header
ended the request.
"""

import base64
import json
import math
import random

import cbor2
import gevent
import hypothesis
import pytest
from hypothesis import strategies

from irisshelf import boottime
from irisshelf.catalog import position
from irisshelf.catalog import releases
from irisshelf.coordination import facts
from irisshelf.coordination import membership
from irisshelf.gateway import messages
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import crash_gossip
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import demand_exchange
from irisshelf.gateway.knowledge import fact_gossip
from irisshelf.gateway.knowledge import origin_exchange
from irisshelf.gateway.knowledge import return_exchange
from irisshelf.gateway.knowledge import server_list
from irisshelf.gateway.knowledge import store_updates
from irisshelf.platform import documents
from irisshelf.platform import http_dialect
from irisshelf.platform import store_feed
from irisshelf.platform.stand_in import store as store_module
from irisshelf.routing.direct import event_stream
from irisshelf.store import feed
from irisshelf.transport import errors

_FAR = position.Position(era=0, revision=10**9)

_VALID = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "version": 3,
    "sequence": 9,
}
_ENTRY_FIELDS = (*_VALID, "born", "coldRemainingMs")
_DEEP = b'{"more": ' + b"[" * 5000 + b"]" * 5000 + b"}"
_MAX_COUNT = 10**15


def _with(**changed):
    return json.dumps({**_VALID, **changed}).encode()


def _without(name):
    return json.dumps({k: v for k, v in _VALID.items() if k != name}).encode()


_INVALID = {
    "no such state": _with(state="sleeping"),
    "state of another type": _with(state=1),
    "slots below one": _with(slots=-4),
    "no slots": _with(slots=0),
    "very many slots": _with(slots=10**30),
    "slots as text": _with(slots="8"),
    "no port": _with(address="10.0.0.1"),
    "port out of range": _with(address="10.0.0.1:70000"),
    "superscript port": _with(address="10.0.0.1:8²"),
    "a host's name": _with(address="server.example:80"),
    "half an address": _with(address="10.1:80"),
    "empty service": _with(service=""),
    "service of another type": _with(service=None),
    **{f"without {n}": _without(n) for n in list(_VALID)[:5]},
    "an empty document": b"",
    "not an object": b"[]",
    "not text": b"\xff\xfe\x00",
    "deep nesting": _DEEP,
    "a megabyte": _with(address="1" * 1_000_000),
}


@pytest.mark.parametrize("data", _INVALID.values(), ids=_INVALID)
def test_an_invalid_entry_raises_a_short_error(data):
    with pytest.raises(ValueError) as caught:
        documents.server("server-1", data)
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize("key", ["", "two words", "a\r\nb", "ü", "x" * 201])
def test_a_key_that_is_not_an_id_is_rejected(key):
    with pytest.raises(ValueError):
        documents.server(key, _with())


def test_unknown_fields_of_an_entry_are_ignored():
    found = documents.server("server-1", _with(colour="red", parts=[1, {}]))
    assert (found.service, found.slots) == ("s", 8)


def test_a_deeply_nested_configuration_is_unreadable():
    with pytest.raises(ValueError):
        documents.catalog(_DEEP)


@pytest.fixture
def store():
    made = store_module.Store().start()
    yield made
    made.close()


@pytest.mark.parametrize(
    "value",
    [
        None,
        7,
        ["x"],
        {"x": 1},
        "not base64!",
        "ü",
        base64.b64encode(_DEEP).decode(),
    ],
    ids=repr,
)
def test_an_invalid_row_does_not_affect_the_others(store, value):
    store.put("servers", "good-1", _VALID)
    store.put_raw("servers", "bad", value)
    store.put("servers", "good-2", _VALID)
    reader = store_feed.StoreFeed(address=store.address)
    for read in (
        reader.snapshot(feed.Table.SERVERS),
        reader.changes(
            feed.Table.SERVERS,
            after=position.Position(era=0, revision=0),
            wait_s=0.0,
        ),
    ):
        items = {item.key: item for item in read.ok_value.items}
        assert items["good-1"].value and items["good-2"].value
        assert items["bad"].value is None and items["bad"].problem


@pytest.mark.parametrize("after_outage", [False, True])
def test_the_server_of_an_entry_that_becomes_invalid_is_removed(
    world, after_outage
):
    if after_outage:
        world.store.mode = store_module.Mode.BUSY
        world.wait(lambda: not _store_up(world))
    name = world.plain[0].server_id
    world.store.put("servers", name, {"service": "crew", "state": "ready"})
    world.store.mode = store_module.Mode.WELL
    world.wait(lambda: world.inst.directory.get(name) is None)
    assert world.ask("/alarm/1").status == 200


@pytest.mark.parametrize("whole", [False, True])
def test_an_invalid_entry_is_not_treated_as_missing(world, whole):
    """After an outage, missing entries have some time to return.

    An invalid entry has returned, so its server is removed at once.
    """
    listed = server_list.ServerList(inst=world.inst)
    server = world.plain[0]
    listed.on_store_lost()
    rows = [
        feed.DecodedRow(key=server.server_id, value=None, problem="garbled")
    ]
    if whole:
        rows += [
            feed.DecodedRow(key=one.server_id, value=one)
            for one in world.inst.directory.servers()
            if one.server_id != server.server_id
        ]
    batch = feed.Batch(
        items=tuple(rows), position=_FAR, store_s=0.0, is_snapshot=whole
    )
    listed.apply_batch(batch, world.inst.now())
    assert world.inst.directory.get(server.server_id) is None
    assert len(world.inst.directory.servers()) == 3


def test_an_entry_of_an_unknown_service_does_not_hide_isolation(world):
    """Nothing connects to its server, so it never counts as unreachable."""
    foreign = {**world.plain[0].entry(), "service": "not-ours"}
    world.store.put("servers", "foreign", foreign)
    world.wait(lambda: world.inst.directory.get("foreign") is not None)
    for server in world.inst.directory.servers():
        if server.service != "not-ours":
            lost = errors.ConnectError("gone", timed_out=False)
            world.inst.servers.reach.record_unreachable(server, lost, "r1")
    assert world.inst.isolated
    assert not world.inst.ready


def test_many_invalid_entries_are_logged_in_a_few_lines(world, monkeypatch):
    lines = []
    monkeypatch.setattr(
        world.inst.log,
        "warning",
        lambda name, **fields: lines.append((name, fields)),
    )
    world.store.mode = store_module.Mode.BUSY
    world.wait(lambda: not _store_up(world))
    for number in range(300):
        world.store.put_raw("servers", f"foreign-{number}", None)
    world.store.mode = store_module.Mode.WELL
    good = world.plain[0]
    world.store.put("servers", "one-more", good.entry())
    world.wait(lambda: world.inst.directory.get("one-more") is not None)
    unreadable = [fields for name, fields in lines if "unreadable" in name]
    assert sum(fields["count"] for fields in unreadable) == 300
    assert len(unreadable) <= 3
    assert all(len(fields["first"]) <= 5 for fields in unreadable)


def _store_up(world):
    registry = world.inst.metrics.registry
    return registry.get_sample_value("irisshelf_store_up") == 1


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("Server-Load", "²,0,8"),
        ("Server-Load", "9" * 5000 + ",0,8"),
        ("Server-Load", "1,-1,8"),
        ("Keep-Alive", "²"),
        ("Keep-Alive", "9" * 400),
        ("Keep-Alive", "timeout=" + "9" * 5000),
    ],
)
def test_an_unreadable_header_does_not_end_the_response(name, text):
    headers = ((name.encode(), text.encode("latin-1")),)
    head = http_dialect.HttpDialect().parse_answer(200, headers)
    assert head.report.load is None
    assert head.report.keep_alive_s is None or head.report.keep_alive_s <= 86400


_RESPONSE_HEADER_NAMES = strategies.sampled_from(
    [b"Server-Load", b"Keep-Alive", b"Connection", b"Request-Id"]
)
_DIGITS = strategies.text("0123456789²٣,= -+.e", max_size=40)
_VALUES = strategies.one_of(
    strategies.binary(max_size=60),
    _DIGITS.map(lambda text: text.encode("latin-1", "replace")),
)


@hypothesis.given(
    headers=strategies.lists(
        strategies.tuples(_RESPONSE_HEADER_NAMES, _VALUES), max_size=5
    )
)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_response_head_is_parsed(headers):
    head = http_dialect.HttpDialect().parse_answer(200, tuple(headers))
    if head.report.keep_alive_s is not None:
        assert 0 <= head.report.keep_alive_s <= 86400
    if head.report.load is not None:
        for count in (
            head.report.load.running,
            head.report.load.waiting,
            head.report.load.slots,
        ):
            assert 0 <= count <= _MAX_COUNT


_REQUEST_HEADER_NAMES = strategies.sampled_from(
    [b"Deadline-Ms", b"Last-Event-Id", b"Prefix-Hash", b"Token-Count"]
)


@hypothesis.given(
    headers=strategies.lists(
        strategies.tuples(_REQUEST_HEADER_NAMES, _VALUES), max_size=5
    )
)
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_request_head_is_parsed_or_rejected(headers):
    inbound = messages.InboundRequest(
        method="POST",
        target="/x/1",
        headers=(*headers, (b"Request-Id", b"r1")),
        body=b"",
        has_body=False,
        arrived_s=0.0,
    )
    parsed = http_dialect.HttpDialect().parse_request(inbound)
    if parsed.is_err():
        assert "allowed" in parsed.err_value
        return
    request = parsed.ok_value
    assert request.deadline_s is None or 0 <= request.deadline_s < math.inf
    assert (
        request.last_event_id is None
        or 0 <= request.last_event_id <= _MAX_COUNT
    )
    assert 0 <= request.prompt.max_answer_tokens <= _MAX_COUNT
    assert all(0 <= part.tokens <= _MAX_COUNT for part in request.prompt.parts)


@hypothesis.given(data=strategies.binary(max_size=200))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_event_stream_is_split(data):
    splitter = event_stream.Splitter()
    for event in splitter.feed(data):
        assert event.event_id is None or 0 <= event.event_id <= _MAX_COUNT


@pytest.mark.parametrize("number", [b"9" * 5000, "²".encode(), b"-1", b""])
def test_an_event_id_that_is_not_a_number_is_ignored(number):
    data = b"id: " + number + b"\ndata: x\n\n"
    (event,) = event_stream.Splitter().feed(data)
    assert (event.data, event.event_id) == (data, None)


_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=20),
    strategies.sampled_from(["ready", "draining", "10.0.0.1:80"]),
)
# Half of the values are scalars: left to itself, the recursion draws few.
_JSON = strategies.one_of(
    _SCALARS,
    strategies.recursive(
        _SCALARS,
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=3),
            strategies.dictionaries(
                strategies.text(max_size=8), inner, max_size=3
            ),
        ),
        max_leaves=8,
    ),
)


@hypothesis.given(
    changed=strategies.dictionaries(
        strategies.sampled_from(_ENTRY_FIELDS), _JSON, max_size=2
    )
)
@hypothesis.settings(max_examples=600, derandomize=True, deadline=None)
def test_any_entry_is_a_valid_server_or_an_error(changed):
    try:
        found = documents.server("server-1", _with(**changed))
    except ValueError as exc:
        assert len(str(exc)) < 300
        return
    host, _, port = found.address.rpartition(":")
    assert host.count(".") == 3 and 0 < int(port) < 65536
    assert found.slots >= 1 and found.service
    assert 0.0 <= found.cold_s < math.inf
    assert found.sequence is None or 0 <= found.sequence < 2**64


def test_a_deeply_nested_datagram_is_dropped(world):
    lines = []
    log = world.inst.log
    log.warning = lambda name, **fields: lines.append(name)
    datagrams = datagrams_module.Datagrams(address="127.0.0.1:0", log=log)
    nested = bytes([0x81]) * 1300 + b"\x00"
    for kind in datagrams_module.Kind:
        received = []
        datagrams.subscribe(kind, received.append)
        datagrams.dispatch(bytes([kind]) + nested)
        datagrams.dispatch(bytes([kind]) + cbor2.dumps([1]))
        assert received == [[1]]
    assert lines == ["datagram_unreadable"] * len(datagrams_module.Kind)


_NUMBERS = strategies.one_of(
    strategies.integers(), strategies.floats(), strategies.just(2**70)
)
_FIELDS = strategies.one_of(
    _NUMBERS,
    strategies.text(max_size=8),
    strategies.binary(max_size=8),
    strategies.none(),
    strategies.lists(
        strategies.tuples(strategies.binary(max_size=5), _NUMBERS, _NUMBERS),
        max_size=3,
    ),
    strategies.dictionaries(
        strategies.binary(max_size=5),
        strategies.lists(strategies.binary(max_size=5), max_size=2),
        max_size=2,
    ),
)
_CONTENTS = strategies.one_of(
    strategies.lists(_FIELDS, max_size=7),
    strategies.tuples(
        strategies.just("a"),
        strategies.integers(0, 2),
        strategies.one_of(_NUMBERS, _FIELDS),
        strategies.one_of(_NUMBERS, _FIELDS),
        _NUMBERS,
    ).map(list),
)


class _Receivers:
    """Receives an instance's datagrams without a socket."""

    def __init__(self):
        self.updates = []
        self.loads = []
        self.ends = []
        self._handlers = {}
        own = membership.Member(name="1", address="", data_centre="a")
        members = membership.Membership(own=own)
        fact_gossip.FactGossip(
            datagrams=self,
            membership=members,
            on_fact=self._receive_fact,
            rng=random.Random(1),
        )
        crash_gossip.CrashGossip(
            crashes=self, datagrams=self, membership=members, log=None
        )
        store_updates.StoreUpdates(
            datagrams=self, membership=members, log=None
        ).subscribe(self.updates.append)
        self.membership = members
        self.origins = origin_exchange.OriginExchange(
            releases=releases.ReleaseHistory(life_s=60.0),
            datagrams=self,
            peers=self,
            log=None,
            counts=metrics.Metrics(),
            rng=random.Random(1),
            is_current=lambda: True,
            has_recent_list=lambda: True,
            now=lambda: 0.0,
        ).origins
        self.returns = return_exchange.ReturnExchange(
            datagrams=self,
            membership=members,
            counts=metrics.Metrics(),
            log=None,
            rng=random.Random(1),
            now=lambda: 0.0,
        )
        demand_exchange.DemandExchange(
            monitor=self,
            datagrams=self,
            membership=members,
            log=None,
            rng=random.Random(1),
            now=lambda: 0.0,
        )

    def register_handler(self, path, handler):
        """Ignores handlers of questions."""

    def _receive_fact(self, fact):
        if isinstance(fact, facts.ServerLoad):
            self.loads.append(fact)

    def subscribe(self, kind, handler):
        self._handlers[kind] = handler

    def take(self, kind, content):
        try:
            self._handlers[kind](content)
        except ValueError:
            return
        gevent.sleep(0)

    def send(self, address, data):
        """Ignores forwarded datagrams."""

    def members(self):
        return []

    def receive_crash(self, evidence):
        self.ends += evidence

    def receive_clear(self, content, at_s):
        self.ends.append(content)


@pytest.mark.parametrize(
    ("kind", "content"),
    [
        (datagrams_module.Kind.STORE_UPDATE, ["a", 0, 5.0, 1, 7, 3]),
        (datagrams_module.Kind.STORE_UPDATE, ["a", 1, 5.0, 0, 2**63 - 1, 0]),
        (datagrams_module.Kind.SERVER_FACTS, ["a", 2, [[b"12345", 7, 1]], {}]),
        (
            datagrams_module.Kind.CRASHES,
            [[[b"c" * 16, 3]], b"12345", 7, True, b"r"],
        ),
        (
            datagrams_module.Kind.CRASHES,
            [[[b"c" * 16, 0]], None, 0, False, b""],
        ),
        (datagrams_module.Kind.STREAM_ORIGINS, [b"k" * 8 + b"r" * 6, False]),
        (datagrams_module.Kind.STREAM_ORIGINS, [b"k" * 8 + b"r" * 6]),
        (datagrams_module.Kind.RETURN_PLACES, [b"f" * 16 + bytes(4)]),
        (datagrams_module.Kind.REMOTE_RETURN_PLACES, [b"f" * 16 + bytes(4)]),
    ],
)
def test_a_valid_datagram_is_accepted(kind, content):
    receivers = _Receivers()
    receivers.take(kind, content)
    accepted = [*receivers.updates, *receivers.loads, *receivers.ends]
    kept = len(receivers.origins) + receivers.returns.kept_count
    assert len(accepted) + kept == 1


@hypothesis.given(
    kind=strategies.sampled_from(list(datagrams_module.Kind)), content=_CONTENTS
)
@hypothesis.example(
    datagrams_module.Kind.STORE_UPDATE, ["a", 0, math.nan, 0, 1, 1]
)
@hypothesis.example(
    datagrams_module.Kind.STORE_UPDATE, ["a", 0, math.inf, 0, 1, 1]
)
@hypothesis.example(datagrams_module.Kind.STORE_UPDATE, ["a", 0, 1.0, 0, -1, 1])
@hypothesis.example(datagrams_module.Kind.STORE_UPDATE, ["a", 0, 1.0, -1, 1, 1])
@hypothesis.example(
    datagrams_module.Kind.STORE_UPDATE, ["a", 1, 1.0, 0, 2**70, 1]
)
@hypothesis.example(
    datagrams_module.Kind.SERVER_FACTS, ["a", 2, [[b"12345", -7, 1]], {}]
)
@hypothesis.example(
    datagrams_module.Kind.CRASHES,
    [[[b"c" * 16, 0]], b"12345", -5000, True, b""],
)
@hypothesis.example(
    datagrams_module.Kind.CRASHES,
    [[[b"c" * 16, 0]], b"12345", 2**60, True, b""],
)
@hypothesis.example(
    datagrams_module.Kind.CRASHES, [[], b"12345", 0, False, b""]
)
@hypothesis.example(
    datagrams_module.Kind.CRASHES,
    [[[b"p" * 12, 0]] * 65, b"12345", 0, False, b""],
)
@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
def test_any_datagram_is_accepted_or_dropped(kind, content):
    """No accepted age or load is out of its range."""
    receivers = _Receivers()
    receivers.take(kind, content)
    for update in receivers.updates:
        assert 0 <= update.store_s < math.inf
        assert 0 <= update.position.revision < 2**63
        assert 0 <= update.position.era < 2**63
    for load in receivers.loads:
        assert math.isfinite(load.at_s)
        assert 0 <= load.work < 2**63
    now = boottime.now()
    assert len(receivers.ends) <= 64
    assert all(now - 11 < end.at_s <= now for _, end in receivers.ends)
