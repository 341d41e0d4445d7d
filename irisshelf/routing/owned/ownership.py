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

from irisshelf.routing.owned import context
from irisshelf.routing.owned import ranking


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A live instance that may own engines."""

    name: str
    data_centre: str


class OwnershipMap:
    """Owners of engines, each worked out when it is first asked for.

    An instance asks for few of them: its own data centre's, to know which are
    its own, and those that its callers' chats lead to.

    Args:
        engines: Data centre by engine.
        instances: Live instances.

    Example:
        >>> owners = OwnershipMap(engines={"e": "a"},
        ...     instances=[Candidate(name="i", data_centre="a")])
        >>> owners.owner_of("e")
        'i'
    """

    def __init__(
        self, *, engines: Mapping[str, str], instances: Sequence[Candidate]
    ):
        self._engines = engines
        self._known: dict[str, str | None] = {}
        by_place: dict[str, list[Candidate]] = {}
        for instance in instances:
            by_place.setdefault(instance.data_centre, []).append(instance)
        self._places = {name: _Place(here) for name, here in by_place.items()}
        self._everywhere = _Place(instances) if instances else None

    def owner_of(self, engine: str) -> str | None:
        """Returns an engine's owner; None if no instance lives."""
        if engine not in self._known:
            place = self._place(engine)
            self._known[engine] = place.first(engine) if place else None
        return self._known[engine]

    def owned_by(self, instance: str) -> list[str]:
        """Returns the engines that an instance owns."""
        return [
            engine
            for engine in self._engines
            if (place := self._place(engine)) is not None
            and instance in place
            and self.owner_of(engine) == instance
        ]

    def _place(self, engine: str) -> _Place | None:
        data_centre = self._engines.get(engine, "")
        return self._places.get(data_centre, self._everywhere)


class _Place:
    """Instances ranked for engines; one slot a key, none is kept."""

    def __init__(self, instances: Sequence[Candidate]):
        self._names = sorted(instance.name for instance in instances)
        members = [ranking.Member(name=name) for name in self._names]
        self._ranking = ranking.Ranking(members=members, slots=1 << 63)
        self._all = range(len(members))
        self._set = frozenset(self._names)

    def __contains__(self, instance: str) -> bool:
        return instance in self._set

    def first(self, engine: str) -> str:
        key = context.hash64(engine.encode())
        return self._names[self._ranking.rank_subset(key, self._all)[0]]
