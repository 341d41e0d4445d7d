"""Who hands on shared parts that a server lacks, by what is known.

The pattern: a long part of a prompt moves to another server beside many others
that share a short first part; the word on who holds the long one is late or
lost, while half of the servers are known to hold the first.
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
# By their place in the ranking of the subject.
_RANKED = ranking.rank(_SERVERS, "long")
_HOME, _SECOND, _THIRD = (server.server_id for server in _RANKED[:3])


def _asked(first, last):
    parts = (("short", first), ("long", last), ("own", 9))
    return prompt.Prompt(
        parts=tuple(prompt.Part(part_id=p, tokens=n) for p, n in parts)
    )


def _choose(way, chosen, asked, known):
    """Chooses with what is known: server and since when, by part."""

    def holders_of(part_id):
        return {
            name: cache_locations.CacheEntry(
                first_sent_s=since_s, last_sent_s=since_s
            )
            for name, since_s in known.get(part_id, {}).items()
        }

    by_name = {server.server_id: server for server in _SERVERS}
    others = [s for s in _SERVERS if s.server_id != chosen]
    found = fetch_source.choose(way, others, by_name[chosen], asked, holders_of)
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
def test_who_serves_parts(chosen, tokens, known, by_known, by_likely):
    asked = _asked(*tokens)
    assert _choose(_KNOWN, chosen, asked, known) == by_known
    assert _choose(_LIKELY, chosen, asked, known) == by_likely


@pytest.mark.parametrize("way", list(fetch_source.Strategy))
def test_without_others_there_is_nobody(way):
    found = fetch_source.choose(
        way, [], _SERVERS[0], _asked(500, 9000), lambda part_id: {}
    )
    assert found is None


def test_less_is_read_again_where_word_is_late():
    """Parts move as their homes are full; most word on long parts is lost.

    Counted are tokens that are read though a server has them.
    """
    assert _read_again(_LIKELY) < _read_again(_KNOWN)


def _read_again(way):
    rng = random.Random(5)
    truth = {server.server_id: set() for server in _SERVERS}
    known = {}
    read_again = 0
    for turn in range(4000):
        subject = f"long-{rng.randrange(60)}"
        first = f"short-{rng.randrange(3)}"
        asked = prompt.Prompt(
            parts=(
                prompt.Part(part_id=first, tokens=500),
                prompt.Part(part_id=subject, tokens=9000),
                prompt.Part(part_id="own", tokens=9),
            )
        )
        place = 0 if rng.random() < 0.8 else rng.randrange(1, 3)
        chosen = ranking.rank(_SERVERS, subject)[place]
        others = [s for s in _SERVERS if s != chosen]
        source = fetch_source.choose(
            way, others, chosen, asked, lambda part: known.get(part, {})
        )
        has = truth[chosen.server_id]
        if source is not None:
            has |= truth[source.server_id] & {first, subject}
        for part in asked.shared:
            held_anywhere = any(part.part_id in t for t in truth.values())
            if part.part_id not in has and held_anywhere:
                read_again += part.tokens
            has.add(part.part_id)
            heard = part.part_id.startswith("short") or rng.random() < 0.3
            if heard:
                held = cache_locations.CacheEntry(
                    first_sent_s=turn, last_sent_s=turn
                )
                known.setdefault(part.part_id, {})[chosen.server_id] = held
        if rng.random() < 0.02:
            # Memory is short: a part gives way.
            has.discard(subject)
    return read_again
