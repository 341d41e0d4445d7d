"""Which server crashes count against a request, as all instances know them."""

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import entry as entry_module
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing import crash_evidence
from irisshelf.routing import fingerprints
from irisshelf.routing.direct import policy

Fault = server_module.Fault
_BODY = b"the one"
_FINGERPRINT = fingerprints.request_fingerprint(
    "blue", "POST", "/alarm/1", _BODY
)


@pytest.fixture
def fleet():
    """Two instances in each of two data centres."""
    made = world_module.World(servers=8, data_centres=("a", "a", "b", "b"))
    yield made
    made.close()


def _stages(fleet):
    now = boottime.now()
    return [
        e.inst.crash_tracker.suspects.judge(_FINGERPRINT, now).stage.value
        for e in fleet.entries
    ]


def _crash_under(fleet, times=1):
    for one in fleet.plain:
        one.ends_under = lambda run: run.body == _BODY
        one.away_s = 60.0
    for _ in range(times):
        fleet.ask("/alarm/1", body=_BODY)
    for one in fleet.plain:
        one.ends_under = lambda run: False


@pytest.mark.parametrize(
    ("crashes", "stage"), [(1, "suspect"), (2, "suspect"), (3, "barred")]
)
def test_all_instances_learn_of_a_crash(fleet, crashes, stage):
    _crash_under(fleet, crashes)
    fleet.wait(lambda: _stages(fleet) == [stage] * 4)


def test_crashes_reach_instances_that_the_sender_does_not_know(make_world):
    """In a large fleet an instance knows only some of other data centres."""
    world = make_world(servers=8, data_centres=("a", "b", "b", "b", "b", "b"))
    first, *others = world.entries
    for other in others[1:]:
        first.membership.remove(other.member.name)
    _crash_under(world, 1)
    world.wait(lambda: _stages(world) == ["suspect"] * 6)


@pytest.mark.parametrize("target", ["/valve/1", "/digest/1"])
def test_one_request_crashes_one_server(fleet, target):
    """The request is not retried, though the route allows that."""
    for one in [*fleet.plain, *fleet.engines]:
        one.ends_under = lambda run: run.body == _BODY
        one.away_s = 60.0
    assert fleet.ask(target, body=_BODY, Request_Id="r").status == 502
    assert fleet.runs("r") == 1


@pytest.mark.parametrize(
    ("served_before", "status", "blamed"),
    [(True, 200, False), (False, 502, True)],
)
def test_a_recently_served_request_is_not_blamed(
    fleet, served_before, status, blamed
):
    """It is retried on another server, as without crash tracking."""
    if served_before:
        fleet.ask("/valve/1", body=_BODY)
    for one in fleet.plain:
        one.always = Fault.SLOW
    request = gevent.spawn(fleet.ask, "/valve/1", body=_BODY)
    fleet.wait(lambda: any(one.working for one in fleet.plain))
    (busy,) = [one for one in fleet.plain if one.working]
    busy.crash()
    assert request.get().status == status
    assert bool(fleet.inst.crash_tracker.suspects) is blamed


def test_a_response_at_one_instance_clears_the_request_at_all(fleet):
    _crash_under(fleet, 2)
    fleet.wait(lambda: _stages(fleet) == ["suspect"] * 4)
    assert fleet.ask("/alarm/1", body=_BODY, entry=3).status == 200
    fleet.wait(lambda: _stages(fleet) == ["clear"] * 4)


@pytest.mark.parametrize(
    "fault",
    [
        Fault.RESET,
        Fault.RESET_AFTER_RUN,
        Fault.GARBAGE,
        Fault.FAIL,
        Fault.BARE_503,
        Fault.UNSIGNED,
        Fault.CUT,
        Fault.HANG,
    ],
)
def test_other_faults_do_not_count_as_crashes(fleet, fault):
    for one in fleet.plain:
        one.always = fault
    for _ in range(4):
        fleet.ask("/alarm/1", body=_BODY, Deadline_Ms="150")
    assert not any(e.inst.crash_tracker.suspects for e in fleet.entries)


def test_the_end_of_a_leaving_server_is_no_crash(fleet):
    for one in fleet.plain:
        fleet.store.put("servers", one.server_id, one.entry("draining"))
    fleet.wait(
        lambda: all(
            server.state.value == "leaving"
            for server in fleet.inst.directory.servers_of("crew")
        )
    )
    server = fleet.inst.directory.servers_of("crew")[0]
    fleet.plain[0].close()
    assert not fleet.inst.crash_tracker.has_exited(server)


def test_a_server_may_crash_right_after_it_was_reached(fleet):
    """A reset by a live server, then its crash: it has to be probed again."""
    (one,) = fleet.plain[:1]
    server = fleet.inst.directory.get(one.server_id)
    assert not fleet.inst.crash_tracker.has_exited(server)
    one.close()
    assert fleet.inst.crash_tracker.has_exited(server)


@pytest.mark.parametrize(("events", "blamed"), [(4, True), (20, False)])
def test_a_stream_is_blamed_only_if_it_has_just_begun(
    make_world, events, blamed
):
    """The cause crashes its server with its first events, or before them."""
    world = make_world(events=events)
    for one in world.engines:
        one.always = Fault.HANG_MIDWAY
    request = gevent.spawn(world.ask, "/query/1", body=_BODY)
    world.wait(lambda: any(one.working for one in world.engines))
    gevent.sleep(0.1)
    (busy,) = [one for one in world.engines if one.working]
    busy.crash()
    assert not request.get().whole
    assert bool(world.inst.crash_tracker.suspects) is blamed


@pytest.mark.parametrize("crashed", [0, 2, 3])
def test_a_datagram_counts_only_for_servers_that_have_crashed(fleet, crashed):
    """Instances verify the crashes that they are told of."""
    for one in fleet.plain[:crashed]:
        one.close()
    for one in fleet.plain[:5]:
        crash = crash_evidence.ServerCrash(
            server_key=directory.short_id(one.server_id),
            at_s=boottime.now(),
        )
        fleet.inst.crash_tracker.receive_crash([(_FINGERPRINT, crash)])
    unknown = crash_evidence.ServerCrash(
        server_key=b"stray", at_s=boottime.now()
    )
    fleet.inst.crash_tracker.receive_crash([(_FINGERPRINT, unknown)])
    now = boottime.now()
    verdict = fleet.inst.crash_tracker.suspects.judge(_FINGERPRINT, now)
    assert len(verdict.crashes) == crashed


def test_a_crash_of_a_server_that_has_left_the_list_counts(fleet):
    gone = fleet.plain[0]
    fleet.store.drop("servers", gone.server_id)
    fleet.wait(lambda: len(fleet.inst.directory.servers_of("crew")) == 7)
    crash = crash_evidence.ServerCrash(
        server_key=directory.short_id(gone.server_id), at_s=boottime.now()
    )
    fleet.inst.crash_tracker.receive_crash([(_FINGERPRINT, crash)])
    assert _stages(fleet)[0] == "suspect"


def test_a_starting_instance_fetches_the_known_crashes(fleet):
    _crash_under(fleet, 3)
    new = entry_module.Entry(
        name="entry-9",
        data_centre="a",
        store=fleet.store.address,
        bounds=settings.Bounds(),
        switched=policy.DEFAULT,
    )
    fleet.wait(lambda: _stages(fleet) == ["barred"] * 4)
    new.meet(fleet.entries)
    new.crash_catch_up.run()
    fleet.entries.append(new)
    assert _stages(fleet) == ["barred"] * 5


def test_a_starting_instance_learns_what_has_succeeded_lately(fleet):
    """Guards against common parts blamed by an instance that saw none yet."""
    new = entry_module.Entry(
        name="entry-9",
        data_centre="a",
        store=fleet.store.address,
        bounds=settings.Bounds(),
        switched=policy.DEFAULT,
    )
    fleet.ask("/query/1", Prefix_Hash="common:10,last:10")
    snapshot = fleet.entries[0].crash_gossip.snapshot()
    assert new.crash_gossip.apply_snapshot(snapshot)
    fleet.entries.append(new)
    part = fingerprints.part_fingerprint("lm", "common")
    other = fingerprints.part_fingerprint("lm", "last")
    successes = new.inst.crash_tracker.successes
    assert successes.has_part(part, boottime.now())
    assert not successes.has_part(other, boottime.now())


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"\x81\x01", b"\x05", b"\x81" * 100_000, b"\xa0"]
)
def test_an_invalid_snapshot_is_ignored(fleet, data):
    entry = fleet.entries[0]
    assert not entry.crash_gossip.apply_snapshot(data)
    assert not entry.inst.crash_tracker.suspects


def test_all_instances_send_a_suspect_to_the_same_server(fleet):
    _crash_under(fleet, 1)
    fleet.wait(lambda: _stages(fleet) == ["suspect"] * 4)
    for one in fleet.plain:
        one.always = Fault.FAIL
    for entry in range(4):
        fleet.ask("/alarm/1", body=_BODY, entry=entry)
    used = {one.server_id for one in fleet.plain if one.runs and not one.ends}
    assert len(used) == 1


@pytest.mark.parametrize(
    ("gone", "reached", "counted"),
    [
        pytest.param(True, False, True, id="delisted-later"),
        pytest.param(False, False, False, id="still-listed"),
        pytest.param(True, True, False, id="reached-by-others"),
    ],
)
def test_a_crash_that_is_not_confirmed_counts_once_the_server_is_gone(
    make_world, monkeypatch, gone, reached, counted
):
    """Guards against crashes forgotten while nobody can tell."""
    world = make_world(servers=3)
    tracker = world.inst.crash_tracker
    reach = world.inst.servers.reach
    monkeypatch.setattr(reach.exits, "confirm", lambda server: False)
    monkeypatch.setattr(reach, "is_unreachable", lambda server: not reached)
    for one in world.plain:
        one.ends_under = lambda run: run.body == _BODY
        one.away_s = 60.0
    world.ask("/alarm/1", body=_BODY)
    assert not tracker.suspects
    (crashed,) = [one for one in world.plain if one.ends]
    if gone:
        world.store.drop("servers", crashed.server_id)
        world.wait(lambda: len(world.inst.directory.servers_of("crew")) == 2)
    assert bool(tracker.suspects) is counted


@pytest.mark.parametrize(("suspect", "sent"), [(True, True), (False, False)])
def test_weak_evidence_is_sent_only_where_it_matters(make_world, suspect, sent):
    """Guards against messages about all requests at a server that crashes."""
    world = make_world(events=20, data_centres=("a", "a"))
    here, there = (entry.inst.crash_tracker for entry in world.entries)
    part = fingerprints.part_fingerprint("lm", "common")
    if suspect:
        earlier = crash_evidence.ServerCrash(
            server_key=b"earlier", at_s=boottime.now()
        )
        here.suspects.record_crash(part, earlier, boottime.now())
    for one in world.engines:
        one.always = Fault.HANG_MIDWAY
        one.away_s = 60.0
    request = gevent.spawn(
        world.ask, "/query/1", Prefix_Hash="common:10,last:10"
    )
    world.wait(lambda: any(one.working for one in world.engines))
    gevent.sleep(0.1)
    (busy,) = [one for one in world.engines if one.working]
    busy.crash()
    request.get()
    world.wait(lambda: part in here.suspects)
    if sent:
        world.wait(lambda: part in there.suspects)
    gevent.sleep(0.3)
    assert (part in there.suspects) is sent
