"""Home servers of shared prompt parts in the data centres."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from irisshelf.catalog import directory
from irisshelf.routing.direct import prompt

# A home in the caller's own data centre protects a response in progress from a
# network partition between data centres; the longer the response, the greater
# the benefit. It costs a copy of the shared parts, so it is used only if the
# shared tokens are at most this multiple of the tokens of the response.
_MAX_COPIED_PER_ANSWER_TOKEN = 4


def has_near_homes(requested: prompt.Prompt) -> bool:
    """Returns whether each data centre gets a home of a prompt's parts."""
    return (
        requested.shared_tokens
        <= _MAX_COPIED_PER_ANSWER_TOKEN * requested.max_answer_tokens
    )


def home(
    ranked: Sequence[directory.BackendServer],
    requested: prompt.Prompt,
    data_centre: str,
) -> directory.BackendServer | None:
    """Returns the home of a prompt in a data centre; None if it has none.

    Args:
        ranked: Servers by rank, the preferred one first.
        requested: The prompt.
        data_centre: The data centre.
    """
    firsts: dict[str, directory.BackendServer] = {}
    for server in ranked:
        firsts.setdefault(server.data_centre, server)
    if not has_near_homes(requested):
        firsts = dict(itertools.islice(firsts.items(), 1))
    return firsts.get(data_centre)


def are_several(
    ranked: Sequence[directory.BackendServer], requested: prompt.Prompt
) -> bool:
    """Returns whether homes in several data centres share the requests."""
    if not has_near_homes(requested):
        return False
    return len({server.data_centre for server in ranked}) > 1
