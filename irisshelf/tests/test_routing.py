"""Ranking, placement, load, ownership, popularity, cache view."""

import collections
import random

import pytest

from irisshelf.routing import popularity
from irisshelf.routing.owned import cache_view
from irisshelf.routing.owned import context
from irisshelf.routing.owned import load
from irisshelf.routing.owned import ownership
from irisshelf.routing.owned import placement
from irisshelf.routing.owned import ranking


def _members(count):
    return [ranking.Member(name=f"e{i}") for i in range(count)]


def _ctx(chat=1, shared=0, *, chat_tokens=0, decode=100, shared_tokens=1000):
    return context.Context(
        shared_key=context.hash64(b"s", bytes([shared])) if shared else 0,
        chat_key=context.hash64(b"c", chat.to_bytes(4, "big")),
        shared_tokens=shared_tokens if shared else 0,
        chat_tokens=chat_tokens,
        new_tokens=10,
        decode_tokens=decode,
    )


def _placer(count=8, **switches):
    return placement.Placer(
        cfg=placement.Config(**switches),
        members=_members(count),
        rng=random.Random(1),
    )


def test_every_instance_ranks_alike_whatever_the_order_of_its_list():
    members = _members(20)
    shuffled = members[::-1]
    one = ranking.Ranking(members=members)
    two = ranking.Ranking(members=shuffled)
    for key in range(50):
        names_one = [members[i].name for i in one.first_members(key)]
        names_two = [shuffled[i].name for i in two.first_members(key)]
        assert names_one == names_two


def test_a_member_that_goes_moves_only_its_own_keys():
    before = ranking.Ranking(members=_members(20))
    after = ranking.Ranking(members=_members(19))
    moved = sum(
        before.first_members(key)[0] != after.first_members(key)[0]
        for key in range(4000)
        if before.first_members(key)[0] != 19
    )
    assert moved == 0


def test_weights_draw_keys_in_proportion():
    members = [
        ranking.Member(name="a", weight=1.0),
        ranking.Member(name="b", weight=3.0),
    ]
    ranks = ranking.Ranking(members=members)
    firsts = collections.Counter(
        ranks.first_members(key)[0] for key in range(20_000)
    )
    assert 0.72 < firsts[1] / 20_000 < 0.78


@pytest.mark.parametrize("key", [0, 1, (1 << 64) - 1])
def test_whole_order_starts_with_order(key):
    ranks = ranking.Ranking(members=_members(40))
    whole = ranks.full_order(key)
    assert whole[: ranking.DEPTH] == ranks.first_members(key)
    assert sorted(whole) == list(range(40))


def test_a_chat_comes_back_to_the_same_engine():
    placer = _placer()
    first = placer.place(_ctx())
    placer.record_sent(_ctx(), first, 0.0)
    placer.record_end(first.engine, first.work, 1.0)
    again = placer.place(_ctx(chat_tokens=100))
    assert again.engine == first.engine
    assert again.reason is placement.Reason.HOME


def test_the_bound_holds_over_many_sends():
    placer = _placer(count=16, margin=0.0)
    biggest = 0.0
    rng = random.Random(3)
    for chat in range(2000):
        ctx = _ctx(chat, shared=1 + chat % 3, decode=rng.randint(20, 400))
        placer.record_arrival(ctx, chat * 0.01)
        placed = placer.place(ctx)
        biggest = max(biggest, placed.work)
        placer.record_sent(ctx, placed, chat * 0.01)
        loads = placer.loads.estimates()
        mean = sum(loads) / len(loads)
        assert max(loads) <= 1.25 * mean + biggest


@pytest.mark.parametrize(
    ("unavailable", "avoid", "found"),
    [
        ((), (), True),
        ((0,), (), True),
        ((0,), (1,), True),
        ((0, 1), (2,), False),
        ((0, 1, 2), (), False),
        ((), (0, 1, 2), False),
    ],
)
def test_only_available_engines_are_chosen(unavailable, avoid, found):
    placer = _placer(count=3)
    for engine in unavailable:
        placer.set_available(engine, False)
    placed = placer.place(_ctx(), avoid=frozenset(avoid))
    assert (placed is not None) == found
    if found:
        assert placed.engine not in {*unavailable, *avoid}


def test_a_displaced_chat_is_found_again_and_forgotten_at_home():
    placer = _placer()
    home = placer.place(_ctx()).engine
    placer.set_available(home, False)
    away = placer.place(_ctx())
    placer.record_sent(_ctx(), away, 0.0)
    placer.record_end(away.engine, away.work, 1.0)
    placer.set_available(home, True)
    again = placer.place(_ctx(chat_tokens=50))
    assert (again.engine, again.reason) == (
        away.engine,
        placement.Reason.DISPLACED,
    )
    placer.reset_cache(away.engine)
    assert placer.place(_ctx(chat_tokens=50)).engine == home


def test_an_owner_forwards_what_it_does_not_own():
    placer = _placer(count=8)
    home = placer.preferred_engine(_ctx())
    placer.set_owned([e for e in range(8) if e != home])
    assert placer.place(_ctx(), may_forward=True) == placement.Forward(
        engine=home
    )
    placed = placer.place(_ctx())
    assert isinstance(placed, placement.Placement)
    assert placed.engine != home


def test_a_full_engine_of_another_owner_is_not_asked():
    placer = _placer(count=8)
    home = placer.preferred_engine(_ctx())
    placer.set_owned([e for e in range(8) if e != home])
    placer.set_remote_totals(
        placement.WorkTotals(work=500.0, engines=1), full=frozenset([home])
    )
    placed = placer.place(_ctx(), may_forward=True)
    assert isinstance(placed, placement.Placement)


def test_a_hot_history_is_spread_and_a_cold_one_is_not():
    placer = _placer(count=64)
    for chat in range(400):
        placer.record_arrival(_ctx(chat, shared=1), 0.0)
    placer.record_arrival(_ctx(0, shared=2), 0.0)
    assert placer.home_count(_ctx(0, shared=1)) == 64
    assert placer.home_count(_ctx(0, shared=2)) == 1
    homes = {
        placer.preferred_engine(_ctx(chat, shared=1)) for chat in range(400)
    }
    assert len(homes) > 32


def test_reports_replace_own_sends_and_age():
    book = load.LoadTracker(size=2, instances=3, max_report_age_s=10)
    book.add(0, 10.0, now=1.0)
    assert book.estimate(0) == 30.0  # Others are thought to send alike.
    book.report(0, load.LoadReport(work=50.0, at_s=2.0))
    book.add(0, 5.0, now=3.0)
    assert book.estimate(0) == 55.0
    book.report(0, load.LoadReport(work=99.0, at_s=1.5))
    assert book.estimate(0) == 55.0  # Older than the last one.
    book.expire(now=13.0)
    assert book.estimate(0) == 45.0
    assert book.total() == sum(book.estimates())


def test_a_late_report_does_not_count_sends_twice():
    book = load.LoadTracker(size=1)
    book.add(0, 10.0, now=1.0)
    book.add(0, 7.0, now=3.0)
    book.report(0, load.LoadReport(work=10.0, at_s=2.0))
    assert book.estimate(0) == 17.0


def test_popularity_forgets_with_time_and_is_bounded():
    found = popularity.Popularity(half_life_s=10, max_keys=4)
    found.add(1, 100.0, now=0.0)
    found.add(2, 100.0, now=20.0)
    assert found.share(2) == pytest.approx(0.8)
    for key in range(3, 40):
        found.add(key, 1.0, now=20.0)
    assert found.share(2) > 0
    assert len(found._loads) <= 8


@pytest.mark.parametrize(
    ("touched", "capacity", "cached"),
    [
        ([], 10_000, 0),
        ([1], 10_000, 1050),
        ([1, 2], 1500, 1050),
        ([1, 2, 3, 4, 5, 6, 7, 8, 9], 1300, 1000),
    ],
)
def test_cache_view_evicts_chats_before_their_history(
    touched, capacity, cached
):
    view = cache_view.CacheView(capacity_tokens=capacity)
    for chat in touched:
        view.touch(_ctx(chat, shared=1, chat_tokens=50))
    assert view.cached_tokens(_ctx(1, shared=1, chat_tokens=50)) == cached


def _owners(engines, instances):
    found = ownership.OwnershipMap(engines=engines, instances=instances)
    for instance in instances:
        owned = [e for e in engines if found.owner_of(e) == instance.name]
        assert found.owned_by(instance.name) == owned
    return {engine: found.owner_of(engine) for engine in engines}


def test_owners_stand_in_the_engines_data_centre_and_move_little():
    engines = {f"e{i}": "a" if i % 2 else "b" for i in range(60)}
    instances = [
        ownership.Candidate(name=f"i{i}", data_centre="a" if i < 4 else "b")
        for i in range(8)
    ]
    before = _owners(engines, instances)
    for engine, owner in before.items():
        assert (int(owner[1:]) < 4) == (engines[engine] == "a")
    after = _owners(engines, instances[1:])
    moved = [e for e in engines if before[e] != after[e]]
    assert all(before[e] == "i0" for e in moved)


@pytest.mark.parametrize(
    ("instances", "owner"),
    [
        ([], None),
        ([ownership.Candidate(name="i", data_centre="far")], "i"),
    ],
)
def test_without_instances_near_a_far_one_owns(instances, owner):
    assert _owners({"e": "a"}, instances)["e"] == owner


@pytest.mark.parametrize(
    ("messages", "shared", "chat", "new"),
    [
        ([("user", "x" * 40)], 0, 0, 11),
        ([("system", "y" * 393), ("user", "x" * 40)], 100, 0, 11),
        (
            [("user", "x" * 39), ("assistant", "z" * 30), ("user", "x" * 39)],
            0,
            21,
            11,
        ),
    ],
)
def test_context_splits_a_prompt(messages, shared, chat, new):
    body = {"messages": [{"role": r, "content": c} for r, c in messages]}
    ctx = context.from_chat(team="t", model="m", body=body, expected_decode=7)
    assert (ctx.shared_tokens, ctx.chat_tokens, ctx.new_tokens) == (
        shared,
        chat,
        new,
    )
    assert ctx.has_history == (chat > 0)


def test_a_chat_keeps_its_key_as_it_grows_and_teams_differ():
    first = [{"role": "user", "content": "hello"}]
    grown = [
        *first,
        {"role": "assistant", "content": "hi"},
        {"role": "user", "content": "more"},
    ]

    def key(team, messages):
        return context.from_chat(
            team=team,
            model="m",
            body={"messages": messages},
            expected_decode=1,
        ).chat_key

    assert key("t", first) == key("t", grown)
    assert key("t", first) != key("u", first)
