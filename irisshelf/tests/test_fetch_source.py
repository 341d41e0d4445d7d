"""Selection of the server that serves shared parts which another one lacks.

Guards against reprocessing a long part that a server has cached. A long part
moves to another server, next to many others that share a short first part. The
announcement of the long part is late or lost, while half of the servers are
known to have the first one.
"""

import random

import pytest

from irisshelf.catalog import directory
from irisshelf.routing.direct import cache_locations
from irisshelf.routing.direct import fetch_source
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import ranking

_KNOWN, _LIKELY = fetch_source.Strategy.KNOWN, fetch_source.Strategy.LIKELY
_SERVERS = [
    directory.BackendServer(
        server_id=f"s{number}",
        service="lm",
        address=f"10.0.0.1:{number}",
        data_centre="a",
        slots=64,
    )
    for number in range(6)
]
# By rank for the affinity key.
_RANKED = ranking.rank(_SERVERS, "long")
_HOME, _SECOND, _THIRD = (server.server_id for server in _RANKED[:3])


def _requested(first, last):
    parts = (("short", first), ("long", last), ("own", 9))
    return prompt.Prompt(
        parts=tuple(prompt.Part(part_id=p, tokens=n) for p, n in parts)
    )


def _choose(strategy, chosen, requested, known):
    """Selects a source; ``known`` maps parts to servers and first sends."""

    def holders_of(part_id):
        return {
            name: cache_locations.CacheEntry(
                first_sent_s=since_s, last_sent_s=since_s
            )
            for name, since_s in known.get(part_id, {}).items()
        }

    by_name = {server.server_id: server for server in _SERVERS}
    others = [s for s in _SERVERS if s.server_id != chosen]
    found = fetch_source.choose(
        strategy, others, by_name[chosen], requested, holders_of
    )
    return found.server_id if found else None


@pytest.mark.parametrize(
    ("chosen", "tokens", "known", "by_known", "by_likely"),
    [
        pytest.param(
            _HOME, (500, 9000), {}, _SECOND, _SECOND, id="nothing-known"
        ),
        pytest.param(
            _SECOND, (500, 9000), {}, _HOME, _HOME, id="spilled-nothing-known"
        ),
        pytest.param(
            _HOME,
            (500, 9000),
            {"long": {_THIRD: 0.0}},
            _THIRD,
            _THIRD,
            id="known-elsewhere",
        ),
        pytest.param(
            _SECOND,
            (500, 9000),
            {"long": {_THIRD: 1.0, _HOME: 0.0}},
            _HOME,
            _HOME,
            id="held-for-longest",
        ),
        pytest.param(
            _HOME,
            (500, 9000),
            {"long": {_HOME: 0.0, _THIRD: 0.0}},
            None,
            None,
            id="held-here",
        ),
        pytest.param(
            _SECOND,
            (500, 9000),
            {"short": {_THIRD: 0.0}},
            _THIRD,
            _HOME,
            id="short-part-known-elsewhere",
        ),
        pytest.param(
            _SECOND,
            (9000, 500),
            {"short": {_THIRD: 0.0}},
            _THIRD,
            _THIRD,
            id="long-first-part-known-elsewhere",
        ),
        pytest.param(
            _SECOND,
            (500, 9000),
            {"short": {_SECOND: 0.0}},
            None,
            _HOME,
            id="short-part-held-here",
        ),
        pytest.param(_HOME, (20, 30), {}, None, None, id="too-short"),
        pytest.param(
            _SECOND,
            (500, 30),
            {"short": {_THIRD: 0.0}},
            _THIRD,
            _THIRD,
            id="short-last-part",
        ),
    ],
)
def test_selected_source(chosen, tokens, known, by_known, by_likely):
    requested = _requested(*tokens)
    assert _choose(_KNOWN, chosen, requested, known) == by_known
    assert _choose(_LIKELY, chosen, requested, known) == by_likely


@pytest.mark.parametrize(
    ("known", "former", "source"),
    [
        pytest.param({}, {_THIRD: 1.0}, _THIRD, id="former-holder"),
        pytest.param(
            {}, {_SECOND: 2.0, _THIRD: 1.0}, _SECOND, id="latest-of-two"
        ),
        pytest.param({_SECOND: 3.0}, {_THIRD: 1.0}, _SECOND, id="known"),
        pytest.param({}, {_HOME: 1.0}, _SECOND, id="formerly-held-here"),
    ],
)
def test_a_former_holder_is_named_before_the_home(known, former, source):
    """Guards against a source that has just started and has nothing cached."""

    def entries(sent_s):
        return {
            name: cache_locations.CacheEntry(
                first_sent_s=at_s, last_sent_s=at_s
            )
            for name, at_s in sent_s.items()
        }

    selected = _RANKED[0]
    found = fetch_source.choose(
        _LIKELY,
        _RANKED[1:],
        selected,
        _requested(500, 9000),
        lambda part_id: entries(known) if part_id == "long" else {},
        lambda part_id: entries(former) if part_id == "long" else {},
    )
    assert found.server_id == source


@pytest.mark.parametrize("strategy", list(fetch_source.Strategy))
def test_without_other_servers_there_is_no_source(strategy):
    found = fetch_source.choose(
        strategy, [], _SERVERS[0], _requested(500, 9000), lambda part_id: {}
    )
    assert found is None


def test_less_is_reprocessed_if_announcements_are_late():
    """Parts move since their homes are full; most announcements are lost.

    Counts the tokens that are processed although a server has them cached.
    """
    assert _reprocessed_tokens(_LIKELY) < _reprocessed_tokens(_KNOWN)


def _reprocessed_tokens(strategy):
    rng = random.Random(5)
    cached = {server.server_id: set() for server in _SERVERS}
    known = {}
    reprocessed = 0
    for turn in range(4000):
        subject = f"long-{rng.randrange(60)}"
        first = f"short-{rng.randrange(3)}"
        requested = prompt.Prompt(
            parts=(
                prompt.Part(part_id=first, tokens=500),
                prompt.Part(part_id=subject, tokens=9000),
                prompt.Part(part_id="own", tokens=9),
            )
        )
        rank = 0 if rng.random() < 0.8 else rng.randrange(1, 3)
        chosen = ranking.rank(_SERVERS, subject)[rank]
        others = [s for s in _SERVERS if s != chosen]
        source = fetch_source.choose(
            strategy,
            others,
            chosen,
            requested,
            lambda part: known.get(part, {}),
        )
        has = cached[chosen.server_id]
        if source is not None:
            has |= cached[source.server_id] & {first, subject}
        for part in requested.shared:
            held_anywhere = any(part.part_id in t for t in cached.values())
            if part.part_id not in has and held_anywhere:
                reprocessed += part.tokens
            has.add(part.part_id)
            announced = part.part_id.startswith("short") or rng.random() < 0.3
            if announced:
                held = cache_locations.CacheEntry(
                    first_sent_s=turn, last_sent_s=turn
                )
                known.setdefault(part.part_id, {})[chosen.server_id] = held
        if rng.random() < 0.02:
            # The server evicts a part.
            has.discard(subject)
    return reprocessed
