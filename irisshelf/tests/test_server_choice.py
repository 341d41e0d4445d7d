"""Selection of a backend server by load, health, shared parts and retries."""

import random

import pytest

from irisshelf.catalog import directory
from irisshelf.routing.direct import cache_locations
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import ranking
from irisshelf.routing.direct import server_choice
from irisshelf.routing.direct import server_stats

Outcome = server_stats.Outcome


def _server(name, state="ready", data_centre="a", version=""):
    return directory.BackendServer(
        server_id=name,
        service="s",
        address=f"10.0.0.1:{name}",
        data_centre=data_centre,
        slots=8,
        state=directory.ServerState(state),
        version=version,
    )


_SERVERS = [_server(name) for name in ("1", "2", "3", "4")]


def _prompt(key="bb", tokens=1000, first=100, answer=500):
    parts = [("aa", first), (key, tokens), ("own", 9)]
    return prompt.Prompt(
        parts=tuple(prompt.Part(part_id=p, tokens=n) for p, n in parts),
        max_answer_tokens=answer,
    )


def _chooser():
    return server_choice.Chooser(data_centre="a", rng=random.Random(1))


def _choose(chooser, servers=_SERVERS, requested=None, avoid=(), now=1.0):
    return chooser.choose(
        servers,
        requested if requested is not None else _prompt(),
        avoid=frozenset(avoid),
        now=now,
    )


def test_every_instance_computes_the_same_ranking():
    one = [s.server_id for s in ranking.rank(_SERVERS, "bb")]
    other = [s.server_id for s in ranking.rank(_SERVERS[::-1], "bb")]
    assert one == other


def test_removal_of_a_server_moves_only_its_own_keys():
    keys = [f"subject-{n}" for n in range(200)]
    before = {s: ranking.rank(_SERVERS, s)[0] for s in keys}
    after = {s: ranking.rank(_SERVERS[1:], s)[0] for s in keys}
    moved = {s for s in keys if before[s] != after[s]}
    assert moved == {s for s in keys if before[s] == _SERVERS[0]}


def test_a_home_at_its_load_bound_is_skipped_and_is_the_source():
    chooser = _chooser()
    home = _choose(chooser).server
    chooser.record_sent(_prompt(), home.server_id, 0.0)
    for _ in range(12):
        chooser.stats.record_start(home.server_id, 1.0)
    choice = _choose(chooser)
    assert choice.reason is server_choice.Reason.SPILL
    assert (choice.server != home, choice.source) == (True, home)


@pytest.mark.parametrize(
    ("own", "reason"),
    [
        # Loads of the home, next to a load of 4 at the other active server.
        (7, server_choice.Reason.HELD),
        (8, server_choice.Reason.SPILL),
    ],
)
def test_the_bound_is_a_multiple_of_the_mean_of_all(own, reason):
    """With two of four servers idle, 8 exceeds the bound and 7 does not."""
    chooser = _chooser()
    taking, idle = _SERVERS[:2], _SERVERS[2:]
    home = ranking.rank(taking, "bb")[0]
    chooser.record_sent(_prompt(), home.server_id, 0.0)
    for server in taking:
        work = own if server is home else 4
        chooser.stats.record_load_report(server.server_id, work=work, at_s=1.0)
    for server in idle:
        chooser.stats.record_load_report(server.server_id, work=0, at_s=1.0)
    choice = chooser.choose(
        taking, _prompt(), avoid=frozenset(), now=1.0, idle=idle
    )
    assert choice.reason is reason


@pytest.mark.parametrize(
    ("first", "tokens", "fetched"), [(100, 1000, True), (10, 10, False)]
)
def test_only_long_parts_are_fetched(first, tokens, fetched):
    requested = _prompt(tokens=tokens, first=first)
    choice = _choose(_chooser(), requested=requested)
    assert (choice.source is not None) is fetched


@pytest.mark.parametrize(
    ("age_s", "known"),
    [(1.0, True), (cache_locations.ENTRY_TTL_S + 0.1, False)],
)
def test_the_home_fetches_parts_from_a_server_that_has_them(age_s, known):
    chooser = _chooser()
    home, second, third, _ = ranking.rank(_SERVERS, "bb")
    chooser.record_sent(_prompt(), third.server_id, 0.0)
    choice = _choose(chooser, now=age_s)
    assert (choice.server, choice.reason) == (home, server_choice.Reason.HOME)
    # If no server is known to have it, the next in the ranking may.
    assert choice.source == (third if known else second)


def test_a_long_first_part_is_fetched_from_its_holder():
    chooser = _chooser()
    other = _prompt(key="another", first=900)
    holder = ranking.rank(_SERVERS, "bb")[-1]
    chooser.record_sent(other, holder.server_id, 0.0)
    choice = _choose(chooser, requested=_prompt(first=900))
    assert (choice.server != holder, choice.source) == (True, holder)


_TWO_CENTRES = [
    *(_server(name, data_centre="a") for name in ("1", "2", "3")),
    *(_server(name, data_centre="b") for name in ("4", "5", "6")),
]


# The first server in its ranking is in data centre b.
_REMOTE_KEY = "far"


def _first(data_centre, key=_REMOTE_KEY):
    ranked = ranking.rank(_TWO_CENTRES, key)
    return next(s for s in ranked if s.data_centre == data_centre)


@pytest.mark.parametrize(
    ("holder", "age_s", "chosen", "source", "reason"),
    [
        pytest.param("", 0, "b", "", "home", id="first-of-all-processes-it"),
        pytest.param(
            "b", 1.0, "a", "b", "home", id="fetched-from-other-data-centre"
        ),
        pytest.param(
            "b", 0.9, "b", "", "held", id="still-being-processed-there"
        ),
        pytest.param("a", 5.0, "a", "", "held", id="held-here"),
        pytest.param(
            "both", 5.0, "a", "", "held", id="the-local-one-is-preferred"
        ),
    ],
)
def test_each_data_centre_gets_a_home_once_it_can_fetch(
    holder, age_s, chosen, source, reason
):
    chooser = _chooser()
    requested = _prompt(key=_REMOTE_KEY)
    firsts = {"a": _first("a"), "b": _first("b")}
    assert ranking.rank(_TWO_CENTRES, _REMOTE_KEY)[0] == firsts["b"]
    for name in {"a": "a", "b": "b", "both": "ab"}.get(holder, ""):
        chooser.record_sent(requested, firsts[name].server_id, 20.0 - age_s)
    choice = _choose(
        chooser, servers=_TWO_CENTRES, requested=requested, now=20.0
    )
    assert (choice.server, choice.reason) == (firsts[chosen], reason)
    if holder:
        assert choice.source == (firsts[source] if source else None)


def test_an_unreachable_holder_is_not_a_source():
    chooser = _chooser()
    chooser.record_sent(_prompt(), _first("b").server_id, 10.0)
    chooser.stats.record_outcome(
        _first("b").server_id, Outcome.UNREACHABLE, 20.0
    )
    choice = _choose(chooser, servers=_TWO_CENTRES, now=20.0)
    left = [s for s in _TWO_CENTRES if s != _first("b")]
    assert choice.server == ranking.rank(left, "bb")[0]
    assert choice.source != _first("b")


def test_a_holder_that_fails_requests_is_still_a_source():
    chooser = _chooser()
    holder = _choose(chooser).server
    chooser.record_sent(_prompt(), holder.server_id, 0.0)
    for _ in range(3):
        chooser.stats.record_outcome(holder.server_id, Outcome.SILENT, 1.9)
    choice = _choose(chooser, now=2.0)
    assert (choice.server != holder, choice.source) == (True, holder)


@pytest.mark.parametrize(
    ("tokens", "answer", "homes"),
    [
        pytest.param(680, 290, 3, id="chat"),
        pytest.param(2041, 21, 1, id="label"),
        pytest.param(10_000, 385, 1, id="report-on-a-long-file"),
        pytest.param(10_000, 4000, 3, id="long-answer-to-a-long-file"),
        pytest.param(1000, 0, 1, id="response-length-unknown"),
    ],
)
def test_parts_have_near_homes_where_answers_are_long(tokens, answer, homes):
    requested = _prompt(tokens=tokens, answer=answer)
    servers = [
        _server(f"{data_centre}{n}", data_centre=data_centre)
        for data_centre in "abc"
        for n in "123"
    ]
    holder = ranking.rank(servers, "bb")[0]
    chosen = set()
    for data_centre in "abc":
        chooser = server_choice.Chooser(
            data_centre=data_centre, rng=random.Random(1)
        )
        chooser.record_sent(requested, holder.server_id, 0.0)
        choice = _choose(chooser, servers=servers, requested=requested)
        chosen.add(choice.server.data_centre)
    assert len(chosen) == homes


def test_entries_from_other_instances_are_not_announced_again():
    chooser = _chooser()
    keys = [cache_locations.part_key(part.part_id) for part in _prompt().shared]
    assert chooser.record_sent(_prompt(), "1", 1.0) == keys
    assert chooser.record_sent(_prompt(), "1", 2.0) == []
    assert (
        chooser.record_sent(
            _prompt(), "1", 1.0 + cache_locations.ANNOUNCE_INTERVAL_S
        )
        == keys
    )
    chooser.cache_locations.record_from_peer(keys[0], "2", 7.0)
    assert chooser.record_sent(_prompt(), "2", 8.0) == keys[1:]


def test_a_holder_needs_no_source():
    chooser = _chooser()
    home = _choose(chooser).server
    chooser.record_sent(_prompt(), home.server_id, 0.0)
    assert _choose(chooser).source is None


def test_parts_are_fetched_from_their_earliest_holder():
    chooser = _chooser()
    first, second, third = _SERVERS[:3]
    chooser.record_sent(_prompt(), second.server_id, 0.0)
    chooser.record_sent(_prompt(), first.server_id, 0.3)
    chooser.record_sent(_prompt(), second.server_id, 0.4)
    chooser.record_sent(_prompt(), first.server_id, 0.5)
    avoid = [first.server_id, second.server_id]
    choice = _choose(chooser, servers=[first, second, third], avoid=avoid)
    assert (choice.server, choice.source) == (third, second)


@pytest.mark.parametrize(
    ("versions", "fetched"),
    [
        pytest.param(("v1", "v1"), True, id="same"),
        pytest.param(("v1", "v1.1"), False, id="other"),
        pytest.param(("", ""), True, id="none-given"),
        pytest.param(("v1", ""), False, id="one-given"),
        pytest.param((None, None), False, id="unusable"),
    ],
)
def test_parts_are_fetched_from_the_same_version_only(versions, fetched):
    """Guards against caches that the fetching server cannot read."""
    chooser = _chooser()
    holder, other = (
        _server(n, version=v) for n, v in zip("12", versions, strict=True)
    )
    chooser.record_sent(_prompt(), holder.server_id, 0.0)
    choice = _choose(chooser, servers=[holder, other], avoid=["1"])
    assert choice.server == other
    assert (choice.source == holder) is fetched


def test_a_leaving_holder_is_still_a_source():
    chooser = _chooser()
    home = _choose(chooser).server
    chooser.record_sent(_prompt(), home.server_id, 0.0)
    servers = [
        _server(s.server_id, "leaving") if s == home else s for s in _SERVERS
    ]
    choice = _choose(chooser, servers=servers)
    assert choice.server.server_id != home.server_id
    assert choice.source.server_id == home.server_id


@pytest.mark.parametrize(
    ("servers", "avoid"),
    [
        ([], ()),
        ([_server("1", "leaving")], ()),
        ([_server("1")], ("1",)),
    ],
)
def test_without_servers_nothing_is_selected(servers, avoid):
    assert _choose(_chooser(), servers=servers, avoid=avoid) is None


def test_without_shared_parts_the_fastest_server_is_selected():
    chooser = _chooser()
    for server in _SERVERS:
        chooser.stats.record_duration(server.server_id, 0.08)
    chooser.stats.record_duration("3", 0.0)
    chooser.stats.record_duration("3", 0.0)
    choice = _choose(chooser, requested=prompt.Prompt())
    assert choice.server.server_id == "3"


def test_if_all_servers_are_ejected_one_is_still_selected():
    chooser = _chooser()
    for server in _SERVERS:
        chooser.stats.record_outcome(server.server_id, Outcome.UNREACHABLE, 1.0)
    choice = _choose(chooser, now=1.1)
    assert choice.reason is server_choice.Reason.LAST_RESORT


@pytest.mark.parametrize(
    ("tokens", "running", "reason"),
    [
        (500, 4, server_choice.Reason.SPILL),
        (5000, 4, server_choice.Reason.HELD),
        (5000, 9, server_choice.Reason.SPILL),
    ],
)
def test_long_prompts_stay_at_a_holder_of_higher_load(tokens, running, reason):
    chooser = _chooser()
    requested = _prompt(tokens=tokens)
    home = _choose(chooser, requested=requested).server
    chooser.record_sent(requested, home.server_id, 1.0)
    for server in _SERVERS:
        work = running if server == home else 1
        chooser.stats.record_load_report(server.server_id, work=work, at_s=1.0)
    assert _choose(chooser, requested=requested).reason is reason


@pytest.mark.parametrize("subjects", [1, 5, 40])
@pytest.mark.parametrize("idle", [0, 10, 20, 25])
def test_no_server_exceeds_the_cap_next_to_idle_ones(idle, subjects):
    """Evacuated, cold and paused servers count in the mean of the cap.

    The other servers take over their requests and exceed the mean for that
    reason alone; the home of a prompt must not exceed the cap in addition.
    """
    servers = [_server(str(n)) for n in range(30)]
    active, paused = servers[idle:], servers[:idle]
    chooser = _chooser()
    rng = random.Random(7)
    loads = dict.fromkeys((s.server_id for s in servers), 0)
    for _ in range(150):
        requested = _prompt(key=f"s{rng.randrange(subjects)}")
        choice = chooser.choose(
            active, requested, avoid=frozenset(), now=1.0, idle=paused
        )
        name = choice.server.server_id
        cap = 2.0 * sum(loads.values()) / len(servers) + 3.0
        least = min(loads[s.server_id] for s in active)
        assert loads[name] <= max(cap, least)
        loads[name] += 1
        chooser.stats.record_start(name, 1.0)
        chooser.record_sent(requested, name, 1.0)
