"""A stream goes on only at servers of the software version that began it.

Regression: streams held events from two versions of a backend server, within
one answer (its server crashed) and over a caller's attempts (its instance was
killed). Every server of the service was taken as fit to go on with any stream.
"""

import gevent
import pytest

from irisshelf.coordination import stream_origins
from irisshelf.gateway.servers import requirements
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.tests import resumed_streams
from irisshelf.transport import client

# Processes take longer to start; what one instance sees reaches others earlier.
_AWAY_S = 0.7


@pytest.mark.parametrize(
    "versions",
    [resumed_streams.TWO, resumed_streams.THREE],
    ids=["two", "three"],
)
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
    world = resumed_streams.make(make_world, versions=versions)
    resumed_streams.fail_first_runs(world, fault)
    answers = resumed_streams.each(
        (world.ask, resumed_streams.PATH)
        for _ in range(resumed_streams.STREAMS)
    )
    streams = [
        resumed_streams.Stream(first_id="", body=answer.body)
        for answer in answers
    ]
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) >= resumed_streams.LEAST_SHARE


def test_an_answer_ends_as_the_servers_of_its_version_have_ended(make_world):
    """Guards against other versions as a last resort."""
    world = resumed_streams.make(make_world)
    opened = resumed_streams.each(
        (resumed_streams.open_stream, world, 0, number)
        for number in range(resumed_streams.STREAMS)
    )
    for one in world.engines:
        if one.version == "v1.1":
            one.end()
    resumed_streams.each(
        (resumed_streams.read_on, stream, conn) for stream, conn in opened
    )
    streams = [stream for stream, _ in opened]
    assert not resumed_streams.mixed(streams)
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
    world = resumed_streams.make(make_world)
    streams = resumed_streams.begin_all(world, 0)
    if ends:
        world.entries[0].kill()
    if entry == len(world.entries):
        added = world.add_entry("a")
        world.wait(lambda: added.inst.ready)
    resumed_streams.take_up_all(world, entry, streams)
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) >= resumed_streams.LEAST_SHARE


def test_a_stream_of_three_versions_breaks_twice(make_world):
    """Guards against what only the first attempt is known by."""
    world = resumed_streams.make(make_world, versions=resumed_streams.THREE)
    streams = resumed_streams.begin_all(world, 0)
    _fail_all_midway(world)
    resumed_streams.take_up_all(world, 1, streams)
    for one in world.engines:
        one.fault_of = None
    unfinished = [stream for stream in streams if not stream.whole]
    resumed_streams.take_up_all(world, 2, unfinished)
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) >= resumed_streams.LEAST_SHARE


def _fail_all_midway(world):
    for one in world.engines:
        one.fault_of = lambda run: server_module.Fault.CUT


@pytest.mark.parametrize("killed", [False, True], ids=["alive", "killed"])
def test_a_second_version_comes_after_a_stream_has_begun(make_world, killed):
    """Guards against streams of a time in which there was one version."""
    world = resumed_streams.make(make_world, versions=("v1.1",))
    streams = resumed_streams.begin_all(world, 0)
    for _ in range(4):
        world.add_engine("v1.2")
    resumed_streams.wait_for_list(world)
    for one in world.engines[:4]:
        world.remove_engine(one)
    resumed_streams.wait_for_list(world)
    if killed:
        world.entries[0].kill()
    resumed_streams.take_up_all(world, 1, streams)
    assert not resumed_streams.mixed(streams)
    assert resumed_streams.share_whole(streams) >= resumed_streams.LEAST_SHARE


def test_no_server_of_the_version_is_left(make_world):
    """Guards against guesses, and against waits for what cannot come."""
    world = resumed_streams.make(make_world)
    streams = resumed_streams.begin_all(world, 0)
    for one in list(world.engines):
        if one.version == "v1.1":
            world.remove_engine(one)
    resumed_streams.wait_for_list(world)
    old = [s for s in streams if s.versions == {b"v1.1"}]
    answers = resumed_streams.take_up_all(world, 1, old)
    assert old
    assert {answer.status for answer in answers} == {503}
    assert all("retry-after" in answer.headers for answer in answers)
    for number in range(len(old)):
        assert not world.runs(f"taken-up-{number}")
    world.add_engine("v1.1")
    resumed_streams.wait_for_list(world)
    resumed_streams.take_up_all(world, 1, old)
    assert resumed_streams.share_whole(old) == 1.0
    assert not resumed_streams.mixed(streams)


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
        pytest.param(resumed_streams.TWO, 503, id="two-versions"),
        pytest.param(("v1",), 200, id="one-version"),
    ],
)
def test_a_stream_whose_version_is_not_known(
    make_world, versions, status, headers
):
    """Guards against guesses, and refusals where there is nothing to guess."""
    world = resumed_streams.make(make_world, versions=versions)
    stream = resumed_streams.begin(world, 0, 0)
    answer = resumed_streams.take_up(world, 1, stream, 1, **headers)
    assert answer.status == status
    assert bool(world.runs("taken-up-1")) is (status == 200)
    assert not resumed_streams.mixed([stream])


def test_an_instance_that_nobody_answers_does_not_guess(make_world):
    """Guards against a list that is behind, at an instance that is cut off."""
    world = resumed_streams.make(make_world)
    streams = resumed_streams.begin_all(world, 0)
    for number in (0, 1):
        world.entries[number].kill()
    resumed_streams.take_up_all(world, 2, streams)
    assert not resumed_streams.mixed(streams)


@pytest.mark.parametrize("entry", [0, 1], ids=["saw-it-end", "other"])
def test_a_server_returns_with_another_version_before_its_entry(
    make_world, entry
):
    """Guards against entries that are older than the process they describe."""
    world = resumed_streams.make(make_world, servers=4, data_centres=("a", "a"))
    streams = resumed_streams.begin_all(world, 0)
    changed = [one for one in world.engines if one.version == "v1.1"]
    for one in changed:
        one.on_return = lambda: None
        one.away_s = 0.1
        one.crash()
        one.version = "v1.2"
    world.wait(lambda: not any(one.closed for one in changed))
    resumed_streams.take_up_all(world, entry, streams)
    assert not resumed_streams.mixed(streams)


@pytest.mark.parametrize("entry", [0, 1], ids=["saw-it-end", "other"])
@pytest.mark.parametrize("read_again", [False, True], ids=["", "list-read"])
def test_a_server_that_ended_under_streams_returns_with_another_version(
    make_world, entry, read_again
):
    """Guards against entries of before the end that an instance has seen."""
    world = resumed_streams.make(make_world, servers=4, data_centres=("a", "a"))
    opened = resumed_streams.each(
        (resumed_streams.open_stream, world, 0, number)
        for number in range(resumed_streams.STREAMS)
    )
    changed = [one for one in world.engines if one.version == "v1.1"]
    for one in changed:
        one.on_return = lambda: None
        one.away_s = _AWAY_S
        one.crash()
        one.version = "v1.2"
    resumed_streams.each(
        (resumed_streams.read_on, stream, conn) for stream, conn in opened
    )
    streams = [stream for stream, _ in opened]
    for stream in streams:
        resumed_streams.drop_partial_event(stream)
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
    answers = resumed_streams.take_up_all(world, entry, broken)
    assert not resumed_streams.mixed(streams)
    assert {answer.status for answer in answers} == {503}
    world.wait(lambda: _retry_all(world, entry, changed, broken))
    assert not resumed_streams.mixed(streams)


def test_a_sign_after_the_send_does_not_unbind_a_stream(make_world):
    """Guards against origins that contradict each other."""
    world = resumed_streams.make(make_world, servers=4, data_centres=("a", "a"))
    streams = resumed_streams.begin_all(world, 0)
    for entry in world.entries:
        _see_signs_after_sends(entry)
    resumed_streams.take_up_all(world, 1, streams)
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
    resumed_streams.take_up_all(world, entry, unfinished)
    return all(stream.whole for stream in broken)


def test_a_caller_gets_its_stream_without_a_break(make_world):
    """Guards against a cost for streams that nothing befalls."""
    world = resumed_streams.make(make_world)
    answers = resumed_streams.each(
        (world.ask, resumed_streams.PATH)
        for _ in range(resumed_streams.STREAMS)
    )
    assert all(answer.status == 200 and answer.whole for answer in answers)


@pytest.mark.parametrize("weights", [(1, 0), (0, 1)], ids=["first", "second"])
@pytest.mark.parametrize("killed", [False, True], ids=["alive", "killed"])
def test_a_stream_is_taken_up_in_the_service_that_began_it(
    make_world, weights, killed
):
    """Guards against a route whose shares of services change meanwhile."""
    world = resumed_streams.make(make_world, versions=("v1",))
    _split(world, 2, (0.5, 0.5))
    streams = resumed_streams.begin_all(world, 0)
    began = {
        stream.first_id: _service_of_run(world, stream.first_id)
        for stream in streams
    }
    assert len(set(began.values())) == 2
    _split(world, 3, weights)
    if killed:
        world.entries[0].kill()
    answers = resumed_streams.take_up_all(world, 1, streams)
    for stream, answer in zip(streams, answers, strict=True):
        if answer.status == 200:
            resumed = answer.headers["request-id"]
            assert _service_of_run(world, resumed) == began[stream.first_id]
    kept = [
        answer.status == 200
        for stream, answer in zip(streams, answers, strict=True)
        if began[stream.first_id] == ("lm", "lm-b")[weights.index(1)]
    ]
    assert sum(kept) / len(kept) >= resumed_streams.LEAST_SHARE


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


@pytest.mark.parametrize(
    ("began_in_doubt", "doubted"),
    [
        pytest.param(False, False, id="never"),
        pytest.param(False, True, id="as-it-is-resumed"),
        pytest.param(True, False, id="as-it-begins"),
        pytest.param(True, True, id="both-times"),
    ],
)
def test_what_begins_at_a_doubted_server_goes_on_nowhere(
    make_world, began_in_doubt, doubted
):
    """Guards against doubts of two instances that fit each other."""
    world = resumed_streams.make(
        make_world, servers=1, versions=("v1",), data_centres=("a", "a")
    )
    first, second = (entry.inst.eligible for entry in world.entries)
    (server,) = world.inst.directory.servers_of("lm")
    if began_in_doubt:
        first.doubts.record_return(server, world.inst.now())
    required = requirements.Requirements(release=first.release_of(server))
    if doubted:
        second.doubts.record_return(server, world.inst.now())
    may_go_on = not began_in_doubt and not doubted
    assert bool(second.usable("lm", required)) is may_go_on
    assert second.meets(server, required) is may_go_on
