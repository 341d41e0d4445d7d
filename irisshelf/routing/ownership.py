"""Which instance owns which engine: by ranking, without a message.

An engine's owner is the first live instance of the engine's data centre in
the ranking of its name; if none lives there, the first live one anywhere.
Instances whose lists differ for a while may name two owners: both then place
on the engine, each on what it knows, and the bound is only as good as the
engine's reports until the lists agree (docs/notes/placement.md).
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.routing import context
from irisshelf.routing import ranking


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A live instance that may own engines."""

    name: str
    data_centre: str


def owners(
    engines: Mapping[str, str], instances: Sequence[Candidate]
) -> dict[str, str]:
    """Computes the owner of every engine.

    Args:
        engines: Data centre by engine.
        instances: Live instances.

    Returns:
        Instance by engine; empty if no instance lives.

    Example:
        >>> owners({"e": "a"}, [Candidate(name="i", data_centre="a")])
        {'e': 'i'}
    """
    if not instances:
        return {}
    everywhere = _Place(instances)
    places: dict[str, _Place] = {}
    found = {}
    for engine, data_centre in engines.items():
        place = places.get(data_centre)
        if place is None:
            here = [i for i in instances if i.data_centre == data_centre]
            place = _Place(here) if here else everywhere
            places[data_centre] = place
        found[engine] = place.first(engine)
    return found


class _Place:
    """Instances ranked for engines; one slot a key, none is kept."""

    def __init__(self, instances: Sequence[Candidate]):
        self._names = sorted(instance.name for instance in instances)
        members = [ranking.Member(name=name) for name in self._names]
        self._ranking = ranking.Ranking(members=members, slots=1 << 63)
        self._all = range(len(members))

    def first(self, engine: str) -> str:
        key = context.hash64(engine.encode())
        return self._names[self._ranking.among(key, self._all)[0]]
