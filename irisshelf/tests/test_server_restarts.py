"""A server that restarts under the same entry id starts without any state.

What an instance knows about a server belongs to one incarnation of it, given
by entry id and start time. Servers crash, also while unresponsive or
partitioned, and restart under the same id within seconds. Requests run there
meanwhile, and instances learn of it at different times. If the new incarnation
were taken for the old one, it would get prompts for a cache that it has lost,
be ejected for failures that were not its own, and have its load recorded with
wrong times. Requests at the old incarnation would wait in vain.
"""

import dataclasses

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.catalog import position
from irisshelf.coordination import facts
from irisshelf.gateway import messages
from irisshelf.gateway.knowledge import server_list
from irisshelf.gateway.servers import connection_pool as connection_pool_module
from irisshelf.platform import documents
from irisshelf.platform.stand_in import server as server_module
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_stats
from irisshelf.store import feed

_BORN_MS = 1_786_503_869_131
_PROMPT = prompt.Prompt(
    parts=(
        prompt.Part(part_id="shared", tokens=9000),
        prompt.Part(part_id="own", tokens=100),
    ),
    max_answer_tokens=9,
)


def _incarnation(born_ms, port=1):
    return directory.BackendServer(
        server_id=directory.incarnation_id("i-1", born_ms),
        entry_id="i-1",
        born_ms=born_ms,
        service="crew",
        address=f"127.0.0.1:{port}",
        data_centre="a",
        slots=4,
    )


def _list_server(world, server):
    world.inst.directory.apply(
        [directory.Change(entry_id=server.entry_id, server=server)]
    )
    world.inst.server_list_loaded()


def _stats(world):
    return world.inst.servers.chooser("crew").stats


def _load(world, server):
    load = messages.Load(running=9, waiting=9, slots=4)
    world.inst.servers.record_reported_load(server, load)
    return lambda of: _stats(world).load(of.server_id, world.inst.now()) > 5


def _load_from_peers(world, server):
    key = directory.short_id(server.server_id)
    fact = facts.ServerLoad(server=key, work=18, at_s=world.inst.now())
    world.inst.servers.apply_fact(fact)
    return lambda of: _stats(world).load(of.server_id, world.inst.now()) > 5


def _ejection(world, server):
    for _ in range(4):
        outcome = server_stats.Outcome.BROKEN
        world.inst.servers.record_observation(server, outcome, "r1")
    return lambda of: (
        not _stats(world).is_available(of.server_id, world.inst.now())
    )


def _unreachable(world, server):
    _stats(world).record_outcome(
        server.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
    )
    return world.inst.servers.reach.is_unreachable


def _duration(world, server):
    _stats(world).record_duration(server.server_id, 3.0)
    return lambda of: _stats(world).duration_s(of.server_id) > 0


def _cached_prompt(world, server):
    world.inst.servers.record_sent_prompt(server, _PROMPT)
    return lambda of: _has_cached_prompt(world, of)


def _cached_prompt_from_peers(world, server):
    key = directory.short_id(server.server_id)
    chooser = world.inst.servers.chooser("crew")
    for part in chooser.record_sent(_PROMPT, "another", world.inst.now()):
        world.inst.servers.apply_fact(facts.PartCached(server=key, part=part))
    return lambda of: _has_cached_prompt(world, of)


def _has_cached_prompt(world, server):
    cache = world.inst.servers.chooser("crew").cache_locations
    return any(
        server.server_id in servers for servers in cache._entries.values()
    )


def _idle_connection(world, server):
    idle = world.connect_to(world.plain[0])
    world.inst.servers.connection_pool.add_idle(server, idle)
    pool = world.inst.servers.connection_pool
    return lambda of: bool(pool._idle.get((of.server_id, False)))


_STATE = [
    _load,
    _load_from_peers,
    _ejection,
    _unreachable,
    _duration,
    _cached_prompt,
    _cached_prompt_from_peers,
    _idle_connection,
]


@pytest.mark.parametrize("born_ms", [_BORN_MS + 1, _BORN_MS - 7_200_000])
@pytest.mark.parametrize("learn", _STATE, ids=lambda f: f.__name__)
def test_a_new_incarnation_starts_without_state(world, learn, born_ms):
    """Also if a clock that was set back makes the new start time earlier."""
    old, new = _incarnation(_BORN_MS), _incarnation(born_ms)
    _list_server(world, old)
    known_of = learn(world, old)
    assert known_of(old)
    _list_server(world, new)
    assert not known_of(new)


@pytest.mark.parametrize("learn", _STATE[:7], ids=lambda f: f.__name__)
def test_late_reports_on_the_previous_incarnation_are_ignored(world, learn):
    old, new = _incarnation(_BORN_MS), _incarnation(_BORN_MS + 1)
    _list_server(world, old)
    _list_server(world, new)
    known_of = learn(world, old)
    assert not known_of(new)


@pytest.mark.parametrize("learn", _STATE, ids=lambda f: f.__name__)
def test_an_incarnation_that_continues_keeps_its_state(world, learn):
    server = _incarnation(_BORN_MS)
    _list_server(world, server)
    known_of = learn(world, server)
    leaving = directory.BackendServer(
        **{
            name: getattr(server, name)
            for name in server.__dataclass_fields__
            if name != "state"
        },
        state=directory.ServerState.LEAVING,
    )
    _list_server(world, leaving)
    assert known_of(leaving)


@pytest.mark.parametrize(
    ("born_ms", "names"),
    [
        (_BORN_MS, ["i-1@1786503869131"]),
        (_BORN_MS + 1, ["i-1@1786503869132"]),
        (_BORN_MS - 1, ["i-1@1786503869130"]),
    ],
)
def test_the_same_id_back_after_an_outage(born_ms, names):
    found = directory.Directory()
    found.apply(
        [directory.Change(entry_id="i-1", server=_incarnation(_BORN_MS))]
    )
    found.apply_after_outage(
        [directory.Change(entry_id="i-1", server=None)], recovered_s=1.0
    )
    again = directory.Change(entry_id="i-1", server=_incarnation(born_ms))
    found.apply_after_outage([again], recovered_s=1.0)
    assert found.expire(9.0) == ()
    assert [server.server_id for server in found.servers_of("crew")] == names


@pytest.mark.parametrize(
    ("born", "server_id"),
    [
        ("1786503869131", None),
        (-1, None),
        (1.5, None),
        (True, None),
        (_BORN_MS, "i-1@1786503869131"),
        (None, "i-1"),
    ],
)
def test_a_start_time_is_an_integer_or_absent(world, born, server_id):
    entry = {**world.plain[0].entry(), "born": born}
    data = documents.msgspec.json.encode(entry)
    if server_id is None:
        with pytest.raises(ValueError):
            documents.server("i-1", data)
        return
    found = documents.server("i-1", data)
    assert (found.server_id, found.entry_id) == (server_id, "i-1")


def _restart(world, old):
    """Starts a new server under the id of one that became unresponsive."""
    new = server_module.Server(
        server_id=old.server_id,
        service=old.service,
        streaming=old._streaming,
        born_ms=(old.born_ms or _BORN_MS) + 1000,
    ).start()
    world.store.put("servers", new.server_id, new.entry())
    world.wait(lambda: _is_listed(world, new))
    return new


def _is_listed(world, server):
    listed = world.inst.directory.get(server.server_id)
    return listed is not None and listed.address == server.address


@pytest.mark.parametrize(
    ("target", "status"), [("/alarm/1", 502), ("/valve/1", 200)]
)
def test_requests_at_a_replaced_incarnation_are_aborted(world, target, status):
    """An at-most-once request is not sent again; others are retried."""
    for one in world.plain:
        one.born_ms = _BORN_MS
        one.always = server_module.Fault.HANG
        world.store.put("servers", one.server_id, one.entry())
    started = world.inst.now()
    asked = gevent.spawn(
        world.ask, target, Request_Id="once", Deadline_Ms="9000"
    )
    world.wait(lambda: world.runs("once") == 1)
    for one in world.plain:
        one.always = server_module.Fault.NONE
    (running,) = [one for one in world.plain if one.ran("once")]
    new = _restart(world, running)
    answer = asked.get(timeout=5.0)
    assert answer.status == status
    assert world.inst.now() - started < 2.0
    assert world.runs("once") + new.ran("once") == (1 if status == 502 else 2)
    new.close()


def test_a_stream_resumes_elsewhere_when_its_server_restarts(world):
    for one in world.engines:
        one.born_ms = _BORN_MS
        one.always = server_module.Fault.HANG_MIDWAY
        world.store.put("servers", one.server_id, one.entry())
    asked = gevent.spawn(
        world.ask, "/digest/1", Request_Id="long", Deadline_Ms="9000"
    )
    world.wait(lambda: world.runs("long") == 1)
    gevent.sleep(0.05)
    for one in world.engines:
        one.always = server_module.Fault.NONE
    (running,) = [one for one in world.engines if one.ran("long")]
    new = _restart(world, running)
    answer = asked.get(timeout=5.0)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body.count(b"data: piece") == 4
    new.close()


def test_the_header_has_the_entry_id_not_the_server_id(world):
    one = world.plain[0]
    for other in world.plain[1:]:
        world.store.drop("servers", other.server_id)
    one.born_ms = _BORN_MS
    world.store.put("servers", one.server_id, one.entry())
    server_id = directory.incarnation_id(one.server_id, _BORN_MS)
    world.wait(
        lambda: (
            world.inst.directory.get(one.server_id).server_id == server_id
            and len(world.inst.directory.servers_of("crew")) == 1
        )
    )
    assert world.ask("/alarm/1", Request_Id="named").status == 200
    (run,) = [run for run in one.runs if run.request_id == "named"]
    assert run.headers["expect-instance"] == one.server_id


def test_connections_are_not_in_use_after_their_request(world):
    pool = world.inst.servers.connection_pool
    assert isinstance(pool, connection_pool_module.ConnectionPool)
    for number in range(3):
        world.ask(f"/valve/{number}")
    assert not pool._in_use


def _entry(born_ms, sequence, **changed):
    server = dataclasses.replace(
        _incarnation(born_ms), sequence=sequence, **changed
    )
    return directory.Change(entry_id="i-1", server=server)


_GONE = directory.Change(entry_id="i-1", server=None)
_NEXT_MS = _BORN_MS + 9000


@pytest.mark.parametrize("at_once", [False, True])
@pytest.mark.parametrize(
    ("changes", "outdated"),
    [
        pytest.param([(_BORN_MS, 5), (_BORN_MS, 6)], [], id="in-order"),
        pytest.param([(_BORN_MS, 5), (_BORN_MS, 5)], [], id="same-number"),
        pytest.param([(_BORN_MS, 6), (_BORN_MS, 5)], [1], id="late"),
        pytest.param([(_BORN_MS, 6), (_BORN_MS, None)], [], id="no-number"),
        pytest.param([(None, 6), (None, 5)], [], id="no-start-time"),
        pytest.param([(_BORN_MS, 6), (_NEXT_MS, 1)], [], id="restarted"),
        pytest.param(
            [(_NEXT_MS, 6), (_BORN_MS, 1)], [], id="restarted-clock-set-back"
        ),
        pytest.param(
            [(_BORN_MS, 6), (_NEXT_MS, 1), (_BORN_MS, 7)],
            [2],
            id="replaced-incarnation-late",
        ),
        pytest.param(
            [(_BORN_MS, 6), (_NEXT_MS, 1), None, (_BORN_MS, 7)],
            [3],
            id="replaced-incarnation-after-the-end-of-the-next",
        ),
        pytest.param(
            [(_BORN_MS, 6), None, (_BORN_MS, 9)], [], id="lapsed-and-back"
        ),
        pytest.param(
            [(None, 6), (_BORN_MS, 1), (None, 7)], [], id="start-time-dropped"
        ),
    ],
)
def test_entries_older_than_known_ones(changes, outdated, at_once):
    """Guards against a late write that puts an incarnation's past in force."""
    listed = directory.Directory()
    events = [_GONE if c is None else _entry(*c) for c in changes]
    if at_once:
        found = listed.outdated(events)
    else:
        found = []
        for event in events:
            found += listed.outdated([event])
            if event not in found:
                listed.apply([event])
    assert list(found) == [events[index] for index in outdated]


@pytest.mark.parametrize("whole", [False, True])
def test_a_late_entry_does_not_change_how_long_a_server_is_cold(world, whole):
    """Guards against too many requests to a server that turned cold again."""
    listed = server_list.ServerList(inst=world.inst)
    cold = _entry(_BORN_MS, 6, cold_s=50.0)
    listed.apply_changes((cold,), _at(10**8), world.inst.now())
    late = feed.DecodedRow(key="i-1", value=_entry(_BORN_MS, 5).server)
    others = [
        feed.DecodedRow(key=one.entry_id, value=one)
        for one in world.inst.directory.servers()
        if one.entry_id != "i-1"
    ]
    rows = (late, *others) if whole else (late,)
    batch = feed.Batch(
        items=rows, position=_at(10**9), store_s=0.0, is_snapshot=whole
    )
    listed.apply_batch(batch, world.inst.now())
    remaining_s = world.inst.eligible.cold.remaining_s(
        cold.server.server_id, world.inst.now()
    )
    assert remaining_s > 40
    assert len(world.inst.directory.servers()) == len(others) + 1


def _at(revision):
    return position.Position(era=0, revision=revision)
