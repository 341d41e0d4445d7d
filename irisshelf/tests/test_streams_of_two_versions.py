"""A stream goes on only at servers of the software version that began it.

Regression: streams held events from two versions of a backend server, within
one answer (its server crashed) and over a caller's attempts (its instance was
killed). Every server of the service was taken as fit to go on with any stream.
"""

import dataclasses
import random
import re

import gevent
import pytest

from irisshelf.coordination import stream_origins
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import client
from irisshelf.transport import errors

_EVENTS = 12
_EVENT_S = 0.004
_TWO = ("v1", "v1.1")
_THREE = ("v1", "v1.1", "v1.2")
# Streams of a case; a choice that knows no versions mixes about half of them.
_STREAMS = 24
_BROKEN_AFTER = 4
# Processes take longer to start; what one instance sees reaches others earlier.
_AWAY_S = 0.7
_NAMED = re.compile(rb"id: (\d+)\ndata: piece \d+(?: of (\S+))?\n\n")
_PATH = "/digest/1"
# So that the retry budget does not end streams here.
_BOUNDS = settings.Bounds(retry_share=1.0, retry_slack=1000.0)
# Of the share of new streams that begin, the least share that goes on.
_LEAST_SHARE = 0.5


@dataclasses.dataclass(kw_only=True)
class _Stream:
    """A caller's stream, over all its attempts."""

    first_id: str
    body: bytes = b""
    statuses: list[int] = dataclasses.field(default_factory=list)

    @property
    def last_event_id(self):
        return int(_NAMED.findall(self.body)[-1][0])

    @property
    def versions(self):
        return {version or b"v1" for _, version in _NAMED.findall(self.body)}

    @property
    def whole(self):
        numbers = [int(number) for number, _ in _NAMED.findall(self.body)]
        return numbers == list(range(1, _EVENTS + 1))


def _open(world, entry, number):
    """Begins a stream; returns it after some events, and its connection."""
    stream = _Stream(first_id=f"begun-{number}")
    conn = world.connect(entry)
    headers = world.headers(b"{}", Request_Id=stream.first_id)
    conn.send("POST", _PATH, headers, b"{}", timeout_s=5.0)
    status, _ = conn.read_head(timeout_s=5.0)
    stream.statuses.append(status)
    while stream.body.count(b"\n\n") < _BROKEN_AFTER:
        stream.body += conn.read_data(timeout_s=5.0)
    return stream, conn


def _begin(world, entry, number):
    """Begins a stream and leaves after some events."""
    stream, conn = _open(world, entry, number)
    conn.close()
    stream.body = b"".join(m[0] for m in _NAMED.finditer(stream.body))
    return stream


def _read_on(stream, conn):
    """Reads what comes of a stream that has begun."""
    try:
        while (data := conn.read_data(timeout_s=5.0)) is not None:
            stream.body += data
    except errors.TransportError:
        return


def _take_up(world, entry, stream, number, **headers):
    """Takes a stream up where its caller has left it."""
    named = {
        "Resumes": stream.first_id,
        "Last_Event_Id": str(stream.last_event_id),
        "Request_Id": f"taken-up-{number}",
    }
    answer = world.ask(_PATH, entry=entry, **(named | headers))
    stream.statuses.append(answer.status)
    if answer.status == 200:
        stream.body += answer.body
    return answer


def _each(calls):
    """Runs calls at once; returns their results."""
    greenlets = [gevent.spawn(*call) for call in calls]
    gevent.joinall(greenlets)
    return [greenlet.get() for greenlet in greenlets]


def _begin_all(world, entry, count=_STREAMS):
    return _each((_begin, world, entry, number) for number in range(count))


def _take_up_all(world, entry, streams):
    """Takes streams up in another order, as all instances draw the same."""
    numbers = list(range(len(streams)))
    random.Random(len(numbers)).shuffle(numbers)
    answers = _each(
        (_take_up, world, entry, streams[number], number) for number in numbers
    )
    return [
        answer
        for _, answer in sorted(
            zip(numbers, answers, strict=True), key=lambda pair: pair[0]
        )
    ]


def _make(make_world, **options):
    world = make_world(
        **{"servers": 6, "versions": _TWO, "data_centres": ("a", "a", "b")}
        | options,
        bounds=_BOUNDS,
        events=_EVENTS,
        event_s=_EVENT_S,
    )
    expected = {one.server_id for one in world.engines}
    world.wait(
        lambda: all(_listed(entry) >= expected for entry in world.entries)
    )
    return world


def _listed(entry):
    return {server.entry_id for server in entry.inst.directory.servers()}


def _mixed(streams):
    return [stream for stream in streams if len(stream.versions) > 1]


def _share_whole(streams):
    return sum(stream.whole for stream in streams) / len(streams)


def _fail_first_runs(world, fault):
    """Makes each stream's first run fail midway."""
    for one in world.engines:
        one.fault_of = lambda run: (
            fault if not run.after_event else server_module.Fault.NONE
        )


@pytest.mark.parametrize("versions", [_TWO, _THREE], ids=["two", "three"])
@pytest.mark.parametrize(
    "fault",
    [
        server_module.Fault.CUT,
        server_module.Fault.TORN,
        server_module.Fault.HANG_MIDWAY,
    ],
)
def test_an_answer_goes_on_at_the_version_that_began_it(
    make_world, fault, versions
):
    """Guards against one answer with events of two versions."""
    world = _make(make_world, versions=versions)
    _fail_first_runs(world, fault)
    answers = _each((world.ask, _PATH) for _ in range(_STREAMS))
    streams = [_Stream(first_id="", body=answer.body) for answer in answers]
    assert not _mixed(streams)
    assert _share_whole(streams) >= _LEAST_SHARE


def test_an_answer_ends_as_the_servers_of_its_version_have_ended(make_world):
    """Guards against other versions as a last resort."""
    world = _make(make_world)
    opened = _each((_open, world, 0, number) for number in range(_STREAMS))
    for one in world.engines:
        if one.version == "v1.1":
            one.end()
    _each((_read_on, stream, conn) for stream, conn in opened)
    streams = [stream for stream, _ in opened]
    assert not _mixed(streams)
    begun = [s for s in streams if s.versions == {b"v1.1"}]
    assert begun
    assert not any(s.whole for s in begun)


@pytest.mark.parametrize(
    ("entry", "ends"),
    [
        pytest.param(0, False, id="same-instance"),
        pytest.param(1, False, id="same-data-centre"),
        pytest.param(2, False, id="other-data-centre"),
        pytest.param(1, True, id="same-data-centre-first-one-killed"),
        pytest.param(2, True, id="other-data-centre-first-one-killed"),
        pytest.param(3, True, id="started-after-first-one-killed"),
    ],
)
def test_a_stream_that_is_taken_up_goes_on_at_its_version(
    make_world, entry, ends
):
    """Guards against instances that do not know what began a stream."""
    world = _make(make_world)
    streams = _begin_all(world, 0)
    if ends:
        world.entries[0].kill()
    if entry == len(world.entries):
        added = world.add_entry("a")
        world.wait(lambda: added.inst.ready)
    _take_up_all(world, entry, streams)
    assert not _mixed(streams)
    assert _share_whole(streams) >= _LEAST_SHARE


def test_a_stream_of_three_versions_breaks_twice(make_world):
    """Guards against what only the first attempt is known by."""
    world = _make(make_world, versions=_THREE)
    streams = _begin_all(world, 0)
    _fail_all_midway(world)
    _take_up_all(world, 1, streams)
    for one in world.engines:
        one.fault_of = None
    unfinished = [stream for stream in streams if not stream.whole]
    _take_up_all(world, 2, unfinished)
    assert not _mixed(streams)
    assert _share_whole(streams) >= _LEAST_SHARE


def _fail_all_midway(world):
    for one in world.engines:
        one.fault_of = lambda run: server_module.Fault.CUT


@pytest.mark.parametrize("killed", [False, True], ids=["alive", "killed"])
def test_a_second_version_comes_after_a_stream_has_begun(make_world, killed):
    """Guards against streams of a time in which there was one version."""
    world = _make(make_world, versions=("v1.1",))
    streams = _begin_all(world, 0)
    for _ in range(4):
        world.add_engine("v1.2")
    _wait_for_list(world)
    for one in world.engines[:4]:
        world.remove_engine(one)
    _wait_for_list(world)
    if killed:
        world.entries[0].kill()
    _take_up_all(world, 1, streams)
    assert not _mixed(streams)
    assert _share_whole(streams) >= _LEAST_SHARE


def _wait_for_list(world):
    expected = {
        one.server_id
        for one in (*world.engines, *world.plain)
        if not one.closed
    }
    world.wait(
        lambda: all(
            _listed(entry) == expected
            for entry in world.entries
            if not entry.closed
        )
    )


def test_no_server_of_the_version_is_left(make_world):
    """Guards against guesses, and against waits for what cannot come."""
    world = _make(make_world)
    streams = _begin_all(world, 0)
    for one in list(world.engines):
        if one.version == "v1.1":
            world.remove_engine(one)
    _wait_for_list(world)
    old = [s for s in streams if s.versions == {b"v1.1"}]
    answers = _take_up_all(world, 1, old)
    assert old
    assert {answer.status for answer in answers} == {503}
    assert all("retry-after" in answer.headers for answer in answers)
    for number in range(len(old)):
        assert not world.runs(f"taken-up-{number}")
    world.add_engine("v1.1")
    _wait_for_list(world)
    _take_up_all(world, 1, old)
    assert _share_whole(old) == 1.0
    assert not _mixed(streams)


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param({"Resumes": "never-seen"}, id="never-seen"),
        pytest.param({"Resumes": ""}, id="not-named"),
        pytest.param({"Resumes": "not an id"}, id="unreadable"),
    ],
)
@pytest.mark.parametrize(
    ("versions", "status"),
    [
        pytest.param(_TWO, 503, id="two-versions"),
        pytest.param(("v1",), 200, id="one-version"),
    ],
)
def test_a_stream_whose_version_is_not_known(
    make_world, versions, status, headers
):
    """Guards against guesses, and refusals where there is nothing to guess."""
    world = _make(make_world, versions=versions)
    stream = _begin(world, 0, 0)
    answer = _take_up(world, 1, stream, 1, **headers)
    assert answer.status == status
    assert bool(world.runs("taken-up-1")) is (status == 200)
    assert not _mixed([stream])


def test_an_instance_that_nobody_answers_does_not_guess(make_world):
    """Guards against a list that is behind, at an instance that is cut off."""
    world = _make(make_world)
    streams = _begin_all(world, 0)
    for number in (0, 1):
        world.entries[number].kill()
    _take_up_all(world, 2, streams)
    assert not _mixed(streams)


@pytest.mark.parametrize("entry", [0, 1], ids=["saw-it-end", "other"])
def test_a_server_returns_with_another_version_before_its_entry(
    make_world, entry
):
    """Guards against entries that are older than the process they describe."""
    world = _make(make_world, servers=4, data_centres=("a", "a"))
    streams = _begin_all(world, 0)
    changed = [one for one in world.engines if one.version == "v1.1"]
    for one in changed:
        one.on_return = lambda: None
        one.away_s = 0.1
        one.crash()
        one.version = "v1.2"
    world.wait(lambda: not any(one.closed for one in changed))
    _take_up_all(world, entry, streams)
    assert not _mixed(streams)


@pytest.mark.parametrize("entry", [0, 1], ids=["saw-it-end", "other"])
@pytest.mark.parametrize("read_again", [False, True], ids=["", "list-read"])
def test_a_server_that_ended_under_streams_returns_with_another_version(
    make_world, entry, read_again
):
    """Guards against entries of before the end that an instance has seen."""
    world = _make(make_world, servers=4, data_centres=("a", "a"))
    opened = _each((_open, world, 0, number) for number in range(_STREAMS))
    changed = [one for one in world.engines if one.version == "v1.1"]
    for one in changed:
        one.on_return = lambda: None
        one.away_s = _AWAY_S
        one.crash()
        one.version = "v1.2"
    _each((_read_on, stream, conn) for stream, conn in opened)
    streams = [stream for stream, _ in opened]
    for stream in streams:
        stream.body = b"".join(m[0] for m in _NAMED.finditer(stream.body))
    world.wait(lambda: not any(one.closed for one in changed))
    world.wait(lambda: not _unreachable(world.entries[entry]))
    world.wait(lambda: len(_doubtful(world.entries[entry])) == len(changed))
    if read_again:
        # Whole lists have the entries of before as well.
        instance = world.entries[entry].inst
        world.store.forget_history()
        revision = world.store.put("others", "row", {})
        world.wait(lambda: instance.list_version.revision >= revision)
    broken = [stream for stream in streams if not stream.whole]
    assert broken
    answers = _take_up_all(world, entry, broken)
    assert not _mixed(streams)
    assert {answer.status for answer in answers} == {503}
    world.wait(lambda: _retry_all(world, entry, changed, broken))
    assert not _mixed(streams)


def test_a_sign_after_the_send_does_not_unbind_a_stream(make_world):
    """Guards against origins that contradict each other."""
    world = _make(make_world, servers=4, data_centres=("a", "a"))
    streams = _begin_all(world, 0)
    for entry in world.entries:
        _see_signs_after_sends(entry)
    _take_up_all(world, 1, streams)
    origins = world.entries[1].inst.origins
    for stream in streams:
        key = stream_origins.stream_key("blue", stream.first_id)
        assert origins.get(key).release is not None


def _see_signs_after_sends(entry):
    """Sees the end of each server as soon as a request has been sent there."""
    eligible = entry.inst.eligible
    record_sent = eligible.availability.record_sent

    def record(server_id, now):
        record_sent(server_id, now)
        server = entry.inst.directory.get(server_id)
        eligible.doubts.record_return(server, now)

    eligible.availability.record_sent = record


def _doubtful(entry):
    servers = entry.inst.directory.servers()
    return [s for s in servers if entry.inst.eligible.is_doubtful(s)]


def _unreachable(entry):
    reach = entry.inst.servers.reach
    return [
        s for s in entry.inst.directory.servers() if reach.is_unreachable(s)
    ]


def _retry_all(world, entry, changed, broken):
    """Lists servers anew at the version of before; resumes what is left."""
    for one in changed:
        one.version = "v1.1"
        one.sequence += 1
        world.list_server(one)
    gevent.sleep(0.1)
    unfinished = [stream for stream in broken if not stream.whole]
    _take_up_all(world, entry, unfinished)
    return all(stream.whole for stream in broken)


def test_a_caller_gets_its_stream_without_a_break(make_world):
    """Guards against a cost for streams that nothing befalls."""
    world = _make(make_world)
    answers = _each((world.ask, _PATH) for _ in range(_STREAMS))
    assert all(answer.status == 200 and answer.whole for answer in answers)


@pytest.mark.parametrize("weights", [(1, 0), (0, 1)], ids=["first", "second"])
@pytest.mark.parametrize("killed", [False, True], ids=["alive", "killed"])
def test_a_stream_is_taken_up_in_the_service_that_began_it(
    make_world, weights, killed
):
    """Guards against a route whose shares of services change meanwhile."""
    world = _make(make_world, versions=("v1",))
    _split(world, 2, (0.5, 0.5))
    streams = _begin_all(world, 0)
    began = {
        stream.first_id: _service_of_run(world, stream.first_id)
        for stream in streams
    }
    assert len(set(began.values())) == 2
    _split(world, 3, weights)
    if killed:
        world.entries[0].kill()
    answers = _take_up_all(world, 1, streams)
    for stream, answer in zip(streams, answers, strict=True):
        if answer.status == 200:
            resumed = answer.headers["request-id"]
            assert _service_of_run(world, resumed) == began[stream.first_id]
    kept = [
        answer.status == 200
        for stream, answer in zip(streams, answers, strict=True)
        if began[stream.first_id] == ("lm", "lm-b")[weights.index(1)]
    ]
    assert sum(kept) / len(kept) >= _LEAST_SHARE


def _split(world, version, weights):
    """Puts a configuration in force whose route has two services."""
    config = world_module.config(version)
    config["services"].append({"name": "lm-b"})
    route = config["routes"][0]
    del route["service"]
    route["trafficSplit"] = [
        {"service": name, "weight": weight}
        for name, weight in zip(("lm", "lm-b"), weights, strict=True)
    ]
    for one in world.engines[3:]:
        one.service = "lm-b"
        world.list_server(one)
    world.store.put("op", "config", config)
    world.wait(
        lambda: all(
            entry.inst.catalog.version == version
            and len(entry.inst.directory.servers_of("lm-b")) == 3
            for entry in world.entries
        )
    )


def _service_of_run(world, request_id):
    (service,) = {one.service for one in world.engines if one.ran(request_id)}
    return service


def test_a_stand_in_ends_beside_a_connection_that_its_other_end_closes():
    """Guards against a race in the tests' own stand-ins."""
    one = server_module.Server(
        server_id="lm-0", service="lm", streaming=True
    ).start()
    conn = client.connect(one.address, timeout_s=5.0)
    gevent.sleep(0.01)
    (sock,) = one._socks
    sock.close()
    one.end()
    conn.close()
