"""Assignment of engines to owning instances, without coordination.

The owner of an engine is the first live instance of the engine's data centre
in the rendezvous ranking of the engine's name; if the data centre has no live
instance, the first live instance of all. While the membership lists of
instances differ, an engine may have two owners. Both then group requests on it
with what each knows, and until the lists agree the load bound is only as
accurate as the engine's reports (docs/notes/placement.md).
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from irisshelf.routing.owned import context
from irisshelf.routing.owned import ranking


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A live instance that can own engines."""

    name: str
    data_centre: str


class OwnershipMap:
    """Owners of engines, each computed when it is first requested.

    An instance needs only a few of them: those of the engines of its own data
    centre, to find the ones that it owns, and those of the engines to which
    its callers' requests are routed.

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
        self._owner_by_engine: dict[str, str | None] = {}
        by_data_centre: dict[str, list[Candidate]] = {}
        for instance in instances:
            by_data_centre.setdefault(instance.data_centre, []).append(instance)
        self._groups = {
            name: _InstanceGroup(members)
            for name, members in by_data_centre.items()
        }
        self._all_instances = _InstanceGroup(instances) if instances else None

    def owner_of(self, engine: str) -> str | None:
        """Returns the owner of an engine; None if there is no live instance."""
        if engine not in self._owner_by_engine:
            group = self._group_for(engine)
            self._owner_by_engine[engine] = (
                group.first(engine) if group else None
            )
        return self._owner_by_engine[engine]

    def owned_by(self, instance: str) -> list[str]:
        """Returns the engines that an instance owns."""
        return [
            engine
            for engine in self._engines
            if (group := self._group_for(engine)) is not None
            and instance in group
            and self.owner_of(engine) == instance
        ]

    def _group_for(self, engine: str) -> _InstanceGroup | None:
        data_centre = self._engines.get(engine, "")
        return self._groups.get(data_centre, self._all_instances)


class _InstanceGroup:
    """Instances that are ranked for engines.

    Only ``rank_subset`` is used, which ranks by the key itself and caches
    nothing; the number of slots of the ranking has no effect.
    """

    def __init__(self, instances: Sequence[Candidate]):
        self._names = sorted(instance.name for instance in instances)
        members = [ranking.Member(name=name) for name in self._names]
        self._ranking = ranking.Ranking(members=members, slots=1 << 63)
        self._indexes = range(len(members))
        self._name_set = frozenset(self._names)

    def __contains__(self, instance: str) -> bool:
        return instance in self._name_set

    def first(self, engine: str) -> str:
        key = context.hash64(engine.encode())
        return self._names[self._ranking.rank_subset(key, self._indexes)[0]]
