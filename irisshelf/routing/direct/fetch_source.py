"""Which server to fetch shared parts of a prompt from.

A server that is told of another fetches from there what that one keeps of the
prompt beyond its own; reading it anew costs several times as much. Which server
holds which part is known from this instance's own sends and from what others
tell, late and with gaps. Two ways to choose:

- *known*: whoever is known to hold the longest run of the parts; nobody is, if
  the chosen server is known to hold a part and nobody a longer run.
- *likely*: the same for the last part, which is the longest; but where nobody
  is known to hold that, the server that the ranking makes its home, unless the
  earlier parts, known to lie elsewhere, are longer. A home that has never seen
  the part serves nothing, which costs nothing.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import cache_locations
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import ranking

# A fetch takes an engine some milliseconds to set up, in which it reads more
# than so many tokens.
MIN_FETCH_TOKENS = 60
# Of the last parts that nobody is known to hold, those that their homes hold
# are taken to be half.
_LIKELY = 0.5

HoldersOf = Callable[[str], Mapping[str, cache_locations.CacheEntry]]


class Strategy(enum.StrEnum):
    """How a source is chosen."""

    KNOWN = "known"
    LIKELY = "likely"


def choose(
    way: Strategy,
    others: Sequence[directory.BackendServer],
    chosen: directory.BackendServer,
    asked: prompt.Prompt,
    holders_of: HoldersOf,
) -> directory.BackendServer | None:
    """Chooses a source, or None if none is worth a fetch.

    Args:
        way: How.
        others: Servers but the chosen one that can hand parts on.
        chosen: The server that gets the request.
        asked: Its prompt.
        holders_of: Tells who is known to hold a part.
    """
    if way is Strategy.KNOWN:
        return _known(others, chosen, asked, holders_of)
    return _likely(others, chosen, asked, holders_of)


def _known(
    others: Sequence[directory.BackendServer],
    chosen: directory.BackendServer,
    asked: prompt.Prompt,
    holders_of: HoldersOf,
) -> directory.BackendServer | None:
    lacking = 0
    for part in reversed(asked.shared):
        held = holders_of(part.part_id)
        if chosen.server_id in held:
            return None
        lacking += part.tokens
        known = _longest_held(others, held)
        if known is not None and asked.shared_tokens >= MIN_FETCH_TOKENS:
            return known
    if lacking < MIN_FETCH_TOKENS:
        return None
    return _home(others, asked)


def _likely(
    others: Sequence[directory.BackendServer],
    chosen: directory.BackendServer,
    asked: prompt.Prompt,
    holders_of: HoldersOf,
) -> directory.BackendServer | None:
    *earlier, last = asked.shared
    held = holders_of(last.part_id)
    if chosen.server_id in held or asked.shared_tokens < MIN_FETCH_TOKENS:
        return None
    known = _longest_held(others, held)
    if known is not None:
        return known
    home = _home(others, asked)
    elsewhere, tokens = _known_run(others, chosen, earlier, holders_of)
    if elsewhere is not None and tokens > _LIKELY * last.tokens:
        return elsewhere
    return home if last.tokens >= MIN_FETCH_TOKENS else elsewhere


def _known_run(
    others: Sequence[directory.BackendServer],
    chosen: directory.BackendServer,
    parts: Sequence[prompt.Part],
    holders_of: HoldersOf,
) -> tuple[directory.BackendServer | None, int]:
    """Returns who holds the longest run of parts, and what it would serve."""
    tokens = sum(part.tokens for part in parts)
    for part in reversed(parts):
        held = holders_of(part.part_id)
        if chosen.server_id in held:
            return None, 0
        known = _longest_held(others, held)
        if known is not None:
            return known, tokens
        tokens -= part.tokens
    return None, 0


def _longest_held(
    servers: Sequence[directory.BackendServer],
    held: Mapping[str, cache_locations.CacheEntry],
) -> directory.BackendServer | None:
    """Returns who has held a part for longest: it has surely read it."""
    known = [s for s in servers if s.server_id in held]
    return min(
        known, key=lambda s: held[s.server_id].first_sent_s, default=None
    )


def _home(
    servers: Sequence[directory.BackendServer], asked: prompt.Prompt
) -> directory.BackendServer | None:
    ranked = ranking.rank(servers, asked.affinity_key)
    return ranked[0] if ranked else None
