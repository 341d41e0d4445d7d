"""Selection of the server to fetch shared parts of a prompt from.

A server that is given a source fetches the parts of the prompt that the source
has cached and it has not; processing them again costs several times as much.
Which server has which part is known from this instance's own requests and from
other instances, late and with gaps. There are two strategies:

- *known*: the server known to have the longest run of the parts; none if the
  selected server is known to have a part and no server a longer run.
- *likely*: the same for the last part, which is the longest. If no server is
  known to have it, its home in the ranking, unless the earlier parts known to
  be cached elsewhere are longer. A home that never had the part serves nothing,
  at no cost. Where former holders are given, the latest of them is named in the
  home's place: the home may be a server that has just started.
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

# The set-up of a fetch takes an engine a few milliseconds, in which it can
# process more tokens than this.
MIN_FETCH_TOKENS = 60
# Assumed probability that the home has the last part if no server is known to
# have it.
_HOME_HIT_RATE = 0.5

HoldersOf = Callable[[str], Mapping[str, cache_locations.CacheEntry]]


class Strategy(enum.StrEnum):
    """How a source is selected."""

    KNOWN = "known"
    LIKELY = "likely"


def _no_holders(part_id: str) -> Mapping[str, cache_locations.CacheEntry]:
    del part_id
    return {}


def choose(
    strategy: Strategy,
    others: Sequence[directory.BackendServer],
    selected: directory.BackendServer,
    requested: prompt.Prompt,
    holders_of: HoldersOf,
    former_holders_of: HoldersOf = _no_holders,
) -> directory.BackendServer | None:
    """Selects a source; None if no fetch is worthwhile.

    Args:
        strategy: How to select it.
        others: Servers other than the selected one that can serve fetches.
        selected: The server selected for the request.
        requested: The request's prompt.
        holders_of: Returns the servers known to have a part cached.
        former_holders_of: Returns the servers that had a part cached some time
            ago.
    """
    if strategy is Strategy.KNOWN:
        return _known(others, selected, requested, holders_of)
    return _likely(others, selected, requested, holders_of, former_holders_of)


def _known(
    others: Sequence[directory.BackendServer],
    selected: directory.BackendServer,
    requested: prompt.Prompt,
    holders_of: HoldersOf,
) -> directory.BackendServer | None:
    missing_tokens = 0
    for part in reversed(requested.shared):
        held = holders_of(part.part_id)
        if selected.server_id in held:
            return None
        missing_tokens += part.tokens
        known = _earliest_holder(others, held)
        if known is not None and requested.shared_tokens >= MIN_FETCH_TOKENS:
            return known
    if missing_tokens < MIN_FETCH_TOKENS:
        return None
    return _home(others, requested)


def _likely(
    others: Sequence[directory.BackendServer],
    selected: directory.BackendServer,
    requested: prompt.Prompt,
    holders_of: HoldersOf,
    former_holders_of: HoldersOf,
) -> directory.BackendServer | None:
    *earlier, last = requested.shared
    held = holders_of(last.part_id)
    if selected.server_id in held or requested.shared_tokens < MIN_FETCH_TOKENS:
        return None
    known = _earliest_holder(others, held)
    if known is not None:
        return known
    home = _latest_holder(others, former_holders_of(last.part_id))
    if home is None:
        home = _home(others, requested)
    holder, tokens = _known_run(others, selected, earlier, holders_of)
    if holder is not None and tokens > _HOME_HIT_RATE * last.tokens:
        return holder
    return home if last.tokens >= MIN_FETCH_TOKENS else holder


def _known_run(
    others: Sequence[directory.BackendServer],
    selected: directory.BackendServer,
    parts: Sequence[prompt.Part],
    holders_of: HoldersOf,
) -> tuple[directory.BackendServer | None, int]:
    """Returns the holder of the longest run of parts, and the run's tokens."""
    tokens = sum(part.tokens for part in parts)
    for part in reversed(parts):
        held = holders_of(part.part_id)
        if selected.server_id in held:
            return None, 0
        known = _earliest_holder(others, held)
        if known is not None:
            return known, tokens
        tokens -= part.tokens
    return None, 0


def _earliest_holder(
    servers: Sequence[directory.BackendServer],
    held: Mapping[str, cache_locations.CacheEntry],
) -> directory.BackendServer | None:
    """Returns the server that has had a part for the longest time.

    It is the most certain to have processed the part.
    """
    known = [s for s in servers if s.server_id in held]
    return min(
        known, key=lambda s: held[s.server_id].first_sent_s, default=None
    )


def _latest_holder(
    servers: Sequence[directory.BackendServer],
    held: Mapping[str, cache_locations.CacheEntry],
) -> directory.BackendServer | None:
    """Returns the server that was last sent a part."""
    known = [s for s in servers if s.server_id in held]
    return max(known, key=lambda s: held[s.server_id].last_sent_s, default=None)


def _home(
    servers: Sequence[directory.BackendServer], requested: prompt.Prompt
) -> directory.BackendServer | None:
    ranked = ranking.rank(servers, requested.affinity_key)
    return ranked[0] if ranked else None
