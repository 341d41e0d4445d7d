"""A server that starts again under its id has done and holds nothing.

What is known of a server belongs to one life of it: its id and its start. The
pattern: servers crash, also dark and behind a cut, and start again under the
same id within seconds, while requests run there and instances hear of it at
different moments. Taken for the life before, a new one would get prompts for
what it lost, rest for failures that were not its own, and its loads would be
told into the past; requests that run at the old one would wait for nothing.
"""

import gevent
import pytest

from irisshelf.catalog import directory
from irisshelf.coordination import facts
from irisshelf.gateway import messages
from irisshelf.gateway.servers import connection_pool as connection_pool_module
from irisshelf.platform import documents
from irisshelf.platform.stand_in import server as server_module
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_stats

_BORN_MS = 1_786_503_869_131
_PROMPT = prompt.Prompt(
    parts=(
        prompt.Part(part_id="shared", tokens=9000),
        prompt.Part(part_id="own", tokens=100),
    ),
    max_answer_tokens=9,
)


def _life(born_ms, port=1):
    return directory.BackendServer(
        server_id=directory.life_id("i-1", born_ms),
        entry_id="i-1",
        born_ms=born_ms,
        service="crew",
        address=f"127.0.0.1:{port}",
        data_centre="a",
        slots=4,
    )


def _listed(world, life):
    world.inst.directory.apply(
        [directory.Change(entry_id=life.entry_id, server=life)]
    )
    world.inst.server_list_loaded()


def _book(world):
    return world.inst.servers.chooser("crew").stats


def _load(world, life):
    load = messages.Load(running=9, waiting=9, slots=4)
    world.inst.servers.record_reported_load(life, load)
    return lambda of: _book(world).load(of.server_id, world.inst.now()) > 5


def _told_by_others(world, life):
    key = directory.key_of(life.server_id)
    news = facts.ServerLoad(server=key, work=18, at_s=world.inst.now())
    world.inst.servers.apply_fact(news)
    return lambda of: _book(world).load(of.server_id, world.inst.now()) > 5


def _rest(world, life):
    for _ in range(4):
        seen = server_stats.Outcome.BROKEN
        world.inst.servers.record_observation(life, seen, "r1")
    return lambda of: (
        not _book(world).is_available(of.server_id, world.inst.now())
    )


def _out_of_reach(world, life):
    _book(world).record_outcome(
        life.server_id, server_stats.Outcome.UNREACHABLE, world.inst.now()
    )
    return world.inst.servers.is_unreachable


def _duration(world, life):
    _book(world).record_duration(life.server_id, 3.0)
    return lambda of: _book(world).duration_s(of.server_id) > 0


def _prompt_held(world, life):
    world.inst.servers.record_sent_prompt(life, _PROMPT)
    return lambda of: _holds(world, of)


def _prompt_held_by_others_word(world, life):
    key = directory.key_of(life.server_id)
    chooser = world.inst.servers.chooser("crew")
    for part in chooser.record_sent(_PROMPT, "another", world.inst.now()):
        world.inst.servers.apply_fact(facts.PartCached(server=key, part=part))
    return lambda of: _holds(world, of)


def _holds(world, life):
    held = world.inst.servers.chooser("crew").cache_locations
    return any(life.server_id in servers for servers in held._entries.values())


def _connection_at_rest(world, life):
    resting = world.connect_to(world.plain[0])
    world.inst.servers.connection_pool.add_idle(life, resting)
    pool = world.inst.servers.connection_pool
    return lambda of: bool(pool._idle.get(of.server_id))


_KNOWLEDGE = [
    _load,
    _told_by_others,
    _rest,
    _out_of_reach,
    _duration,
    _prompt_held,
    _prompt_held_by_others_word,
    _connection_at_rest,
]


@pytest.mark.parametrize("born_ms", [_BORN_MS + 1, _BORN_MS - 7_200_000])
@pytest.mark.parametrize("learn", _KNOWLEDGE, ids=lambda f: f.__name__)
def test_a_new_life_starts_with_no_knowledge(world, learn, born_ms):
    """Also where a clock that jumped makes it the one born earlier."""
    old, new = _life(_BORN_MS), _life(born_ms)
    _listed(world, old)
    known_of = learn(world, old)
    assert known_of(old)
    _listed(world, new)
    assert not known_of(new)


@pytest.mark.parametrize("learn", _KNOWLEDGE[:7], ids=lambda f: f.__name__)
def test_late_news_of_the_life_before_change_nothing(world, learn):
    old, new = _life(_BORN_MS), _life(_BORN_MS + 1)
    _listed(world, old)
    _listed(world, new)
    known_of = learn(world, old)
    assert not known_of(new)


@pytest.mark.parametrize("learn", _KNOWLEDGE, ids=lambda f: f.__name__)
def test_a_life_that_goes_on_keeps_what_is_known(world, learn):
    life = _life(_BORN_MS)
    _listed(world, life)
    known_of = learn(world, life)
    leaving = directory.BackendServer(
        **{
            name: getattr(life, name)
            for name in life.__dataclass_fields__
            if name != "state"
        },
        state=directory.ServerState.LEAVING,
    )
    _listed(world, leaving)
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
    found.apply([directory.Change(entry_id="i-1", server=_life(_BORN_MS))])
    found.lapse([directory.Change(entry_id="i-1", server=None)], back_s=1.0)
    again = directory.Change(entry_id="i-1", server=_life(born_ms))
    found.lapse([again], back_s=1.0)
    assert found.expire(9.0) == ()
    assert [server.server_id for server in found.of("crew")] == names


@pytest.mark.parametrize(
    ("born", "life"),
    [
        ("1786503869131", None),
        (-1, None),
        (1.5, None),
        (True, None),
        (_BORN_MS, "i-1@1786503869131"),
        (None, "i-1"),
    ],
)
def test_a_start_is_a_whole_number_or_not_told(world, born, life):
    entry = {**world.plain[0].entry(), "born": born}
    data = documents.msgspec.json.encode(entry)
    if life is None:
        with pytest.raises(ValueError):
            documents.server("i-1", data)
        return
    found = documents.server("i-1", data)
    assert (found.server_id, found.entry_id) == (life, "i-1")


def _restart(world, old):
    """Starts a server again under its id; the old one went dark."""
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
def test_requests_at_a_life_that_ended_are_not_waited_for(
    world, target, status
):
    """What may run once does not run again; other requests go elsewhere."""
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


def test_a_stream_goes_on_elsewhere_when_its_servers_life_ends(world):
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


def test_the_header_names_the_id_and_not_the_life(world):
    one = world.plain[0]
    for other in world.plain[1:]:
        world.store.drop("servers", other.server_id)
    one.born_ms = _BORN_MS
    world.store.put("servers", one.server_id, one.entry())
    life = directory.life_id(one.server_id, _BORN_MS)
    world.wait(
        lambda: (
            world.inst.directory.get(one.server_id).server_id == life
            and len(world.inst.directory.of("crew")) == 1
        )
    )
    assert world.ask("/alarm/1", Request_Id="named").status == 200
    (run,) = [run for run in one.runs if run.request_id == "named"]
    assert run.headers["expect-instance"] == one.server_id


def test_connections_in_use_are_forgotten_when_they_end(world):
    pool = world.inst.servers.connection_pool
    assert isinstance(pool, connection_pool_module.ConnectionPool)
    for number in range(3):
        world.ask(f"/valve/{number}")
    assert not pool._in_use
