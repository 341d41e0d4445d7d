"""What counts as an end under a request, and whose word of it."""

import gevent
import pytest

from irisshelf import boottime
from irisshelf.catalog import directory
from irisshelf.gateway import settings
from irisshelf.platform.stand_in import entry as entry_module
from irisshelf.platform.stand_in import server as server_module
from irisshelf.platform.stand_in import world as world_module
from irisshelf.routing import crash_suspects
from irisshelf.routing.direct import policy

Fault = server_module.Fault
_BODY = b"the one"
_CONTENT = crash_suspects.request_fingerprint("blue", "POST", "/alarm/1", _BODY)


@pytest.fixture
def fleet():
    """Two instances in each of two data centres."""
    made = world_module.World(servers=8, data_centres=("a", "a", "b", "b"))
    yield made
    made.close()


def _stages(fleet):
    now = boottime.now()
    return [
        e.inst.crashes.suspects.judge(_CONTENT, now).stage.value
        for e in fleet.entries
    ]


def _end_under(fleet, times=1):
    for one in fleet.plain:
        one.ends_under = lambda run: run.body == _BODY
        one.away_s = 60.0
    for _ in range(times):
        fleet.ask("/alarm/1", body=_BODY)
    for one in fleet.plain:
        one.ends_under = lambda run: False


@pytest.mark.parametrize(
    ("ends", "stage"), [(1, "suspect"), (2, "suspect"), (3, "barred")]
)
def test_all_instances_hear_of_an_end(fleet, ends, stage):
    _end_under(fleet, ends)
    fleet.wait(lambda: _stages(fleet) == [stage] * 4)


def test_word_reaches_instances_that_are_known_to_others_alone(make_world):
    """In large fleets nobody knows all of the other data centres."""
    world = make_world(servers=8, data_centres=("a", "b", "b", "b", "b", "b"))
    first, *others = world.entries
    for other in others[1:]:
        first.roster.remove(other.member.name)
    _end_under(world, 1)
    world.wait(lambda: _stages(world) == ["suspect"] * 6)


@pytest.mark.parametrize("target", ["/valve/1", "/digest/1"])
def test_one_try_ends_one_server(fleet, target):
    """Though the route allows a second send."""
    for one in [*fleet.plain, *fleet.engines]:
        one.ends_under = lambda run: run.body == _BODY
        one.away_s = 60.0
    assert fleet.ask(target, body=_BODY, Request_Id="r").status == 502
    assert fleet.runs("r") == 1


@pytest.mark.parametrize(
    ("served_before", "status", "blamed"),
    [(True, 200, False), (False, 502, True)],
)
def test_what_was_served_lately_is_not_blamed(
    fleet, served_before, status, blamed
):
    """It goes on to another server, as it did before."""
    if served_before:
        fleet.ask("/valve/1", body=_BODY)
    for one in fleet.plain:
        one.always = Fault.SLOW
    asking = gevent.spawn(fleet.ask, "/valve/1", body=_BODY)
    fleet.wait(lambda: any(one.working for one in fleet.plain))
    (busy,) = [one for one in fleet.plain if one.working]
    busy.crash()
    assert asking.get().status == status
    assert bool(fleet.inst.crashes.suspects) is blamed


def test_a_good_answer_anywhere_clears_it_everywhere(fleet):
    _end_under(fleet, 2)
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
def test_what_is_no_end_of_a_server_is_not_counted(fleet, fault):
    for one in fleet.plain:
        one.always = fault
    for _ in range(4):
        fleet.ask("/alarm/1", body=_BODY, Deadline_Ms="150")
    assert not any(e.inst.crashes.suspects for e in fleet.entries)


def test_a_server_that_leaves_ends_as_planned(fleet):
    for one in fleet.plain:
        fleet.store.put("servers", one.server_id, one.entry("draining"))
    fleet.wait(
        lambda: all(
            server.state.value == "leaving"
            for server in fleet.inst.directory.of("crew")
        )
    )
    server = fleet.inst.directory.of("crew")[0]
    fleet.plain[0].close()
    assert not fleet.inst.crashes.has_exited(server)


def test_a_server_that_has_just_been_reached_may_end(fleet):
    """A reset, and the end of the same server right after it."""
    (one,) = fleet.plain[:1]
    server = fleet.inst.directory.get(one.server_id)
    assert not fleet.inst.crashes.has_exited(server)
    one.close()
    assert fleet.inst.crashes.has_exited(server)


def test_a_stream_under_way_is_not_blamed(fleet):
    """What had events was begun long before its server ended."""
    for one in fleet.engines:
        one.always = Fault.HANG_MIDWAY
    asking = gevent.spawn(fleet.ask, "/query/1", body=_BODY)
    fleet.wait(lambda: any(one.working for one in fleet.engines))
    gevent.sleep(0.05)
    (busy,) = [one for one in fleet.engines if one.working]
    busy.crash()
    assert not asking.get().whole
    assert not fleet.inst.crashes.suspects


@pytest.mark.parametrize("ended", [0, 2, 3])
def test_a_datagram_counts_for_servers_that_have_ended_and_no_others(
    fleet, ended
):
    """Whatever it says, an instance sees for itself."""
    for one in fleet.plain[:ended]:
        one.close()
    for one in fleet.plain[:5]:
        end = crash_suspects.ServerCrash(
            server_key=directory.key_of(one.server_id),
            at_s=boottime.now(),
        )
        fleet.inst.crashes.receive_crash(_CONTENT, end)
    stranger = crash_suspects.ServerCrash(
        server_key=b"stray", at_s=boottime.now()
    )
    fleet.inst.crashes.receive_crash(_CONTENT, stranger)
    now = boottime.now()
    verdict = fleet.inst.crashes.suspects.judge(_CONTENT, now)
    assert len(verdict.crashes) == ended


def test_an_end_of_a_server_that_has_left_the_list_counts(fleet):
    gone = fleet.plain[0]
    fleet.store.drop("servers", gone.server_id)
    fleet.wait(lambda: len(fleet.inst.directory.of("crew")) == 7)
    end = crash_suspects.ServerCrash(
        server_key=directory.key_of(gone.server_id), at_s=boottime.now()
    )
    fleet.inst.crashes.receive_crash(_CONTENT, end)
    assert _stages(fleet)[0] == "suspect"


def test_an_instance_that_starts_asks_for_what_is_known(fleet):
    _end_under(fleet, 3)
    fresh = entry_module.Entry(
        name="entry-9",
        data_centre="a",
        store=fleet.store.address,
        bounds=settings.Bounds(),
        switched=policy.DEFAULT,
    )
    fleet.wait(lambda: _stages(fleet) == ["barred"] * 4)
    answers = [None, fleet.entries[1].crash_gossip.snapshot()]
    fresh.crash_gossip.catch_up(lambda: answers.pop(0))
    fleet.entries.append(fresh)
    assert _stages(fleet) == ["barred"] * 5


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x81\x01", b"\x05"])
def test_an_answer_that_is_none_is_borne(fleet, data):
    entry = fleet.entries[0]
    entry.crash_gossip.catch_up(lambda: data)
    assert not entry.inst.crashes.suspects


def test_two_instances_send_a_suspect_to_the_same_server(fleet):
    _end_under(fleet, 1)
    fleet.wait(lambda: _stages(fleet) == ["suspect"] * 4)
    for one in fleet.plain:
        one.always = Fault.FAIL
    for entry in range(4):
        fleet.ask("/alarm/1", body=_BODY, entry=entry)
    took = {one.server_id for one in fleet.plain if one.runs and not one.ends}
    assert len(took) == 1
