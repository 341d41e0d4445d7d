"""Weighted rendezvous ranking, with the same result on every instance.

Keys are mapped to a fixed number of slots. The ranking of a slot is computed
once and cached, so that a decision takes one look-up regardless of the number
of engines. Engines that are down or leaving are skipped by the caller and do
not change a ranking, so that a flap costs nothing here. Rankings are recomputed
only if a bundle changes the set of engines; rendezvous hashing then moves only
the slots of the added and removed engines.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998 (rendezvous hashing); the weighted score is -w / ln(u).
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import numpy

from irisshelf.routing.owned import context

SLOTS = 1 << 16
DEPTH = 16  # Members cached per slot; ``full_order`` returns all of them.
_MIX_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_MIX_2 = numpy.uint64(0x94D049BB133111EB)
_GOLDEN = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_UNIT = 2.0**-53


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A member of a ranking: an engine or an instance."""

    name: str
    weight: float = 1.0


class Ranking:
    """Ranks a fixed set of members for any 64-bit key.

    Args:
        members: The members to rank. Rankings contain indexes into this
            sequence; its order does not affect the ranking.
        slots: Number of slots, a power of two.

    Example:
        >>> ranking = Ranking(members=[Member(name="a"), Member(name="b")])
        >>> sorted(ranking.first_members(12345))
        [0, 1]
    """

    def __init__(self, *, members: Sequence[Member], slots: int = SLOTS):
        self.members = tuple(members)
        self._mask = slots - 1
        seeds = [context.hash64(m.name.encode()) for m in self.members]
        self._seeds = numpy.array(seeds, dtype=numpy.uint64)
        weights = [m.weight for m in self.members]
        self._weights = numpy.array(weights, dtype=numpy.float64)
        self._cached: dict[int, tuple[int, ...]] = {}

    def __len__(self) -> int:
        return len(self.members)

    def first_members(self, key: int) -> tuple[int, ...]:
        """Returns the first ``DEPTH`` members for a key, best first."""
        slot = key & self._mask
        cached = self._cached.get(slot)
        if cached is None:
            cached = self._compute_first(slot)
            self._cached[slot] = cached
        return cached

    def full_order(self, key: int) -> tuple[int, ...]:
        """Returns all members for a key, best first, in O(n log n)."""
        costs = self._slot_costs(key & self._mask)
        return tuple(numpy.argsort(costs, kind="stable").tolist())

    def rank_subset(self, key: int, subset: Sequence[int]) -> list[int]:
        """Ranks some members by the key itself instead of its slot."""
        picked = numpy.array(subset, dtype=numpy.intp)
        costs = self._compute_costs(
            key, self._seeds[picked], self._weights[picked]
        )
        return picked[numpy.argsort(costs, kind="stable")].tolist()

    def _compute_first(self, slot: int) -> tuple[int, ...]:
        costs = self._slot_costs(slot)
        if len(costs) <= DEPTH:
            picked = numpy.argsort(costs, kind="stable")
        else:
            part = numpy.argpartition(costs, DEPTH)[:DEPTH]
            picked = part[numpy.argsort(costs[part], kind="stable")]
        return tuple(picked.tolist())

    def _slot_costs(self, slot: int) -> numpy.ndarray:
        return self._compute_costs(slot, self._seeds, self._weights)

    def _compute_costs(
        self, key: int, seeds: numpy.ndarray, weights: numpy.ndarray
    ) -> numpy.ndarray:
        """Returns an exponential variate per member; the lowest ranks first."""
        salt = numpy.uint64((key + 1) * _GOLDEN & _MASK)
        mixed = seeds ^ salt
        mixed = (mixed ^ (mixed >> numpy.uint64(30))) * _MIX_1
        mixed = (mixed ^ (mixed >> numpy.uint64(27))) * _MIX_2
        mixed = mixed ^ (mixed >> numpy.uint64(31))
        unit = ((mixed >> numpy.uint64(11)).astype(numpy.float64) + 0.5) * _UNIT
        return -numpy.log(unit) / weights
