"""Weighted rendezvous ranking that every instance computes alike.

Keys fall into a fixed number of slots, and the ranking of a slot is computed
once and kept. A decision then costs one look-up, however long the list of
engines is. Engines that are down or leaving are skipped by the caller and do
not change a ranking: a flap costs nothing here. Only a bundle that changes the
set of engines makes rankings new, and by rendezvous hashing such a change
moves just the slots of the engines that came or went.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998 (rendezvous hashing); the weighted score is -w / ln(u).
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import numpy

from irisshelf.routing.owned import context

SLOTS = 1 << 16
DEPTH = 16  # Engines kept a slot; a deeper walk computes the whole ranking.
_MIX_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_MIX_2 = numpy.uint64(0x94D049BB133111EB)
_GOLDEN = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_UNIT = 2.0**-53


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """Something that can be ranked: an engine or an instance."""

    name: str
    weight: float = 1.0


class Ranking:
    """Ranks a fixed set of members for any 64-bit key.

    Args:
        members: What to rank; the order does not matter for the ranking but
            numbers the members: rankings hold these numbers.
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
        self._kept: dict[int, tuple[int, ...]] = {}

    def __len__(self) -> int:
        return len(self.members)

    def first_members(self, key: int) -> tuple[int, ...]:
        """Returns the first ``DEPTH`` members for a key, best first."""
        slot = key & self._mask
        kept = self._kept.get(slot)
        if kept is None:
            kept = self._first(slot)
            self._kept[slot] = kept
        return kept

    def full_order(self, key: int) -> tuple[int, ...]:
        """Returns all members for a key, best first; costs O(n log n)."""
        costs = self._costs(key & self._mask)
        return tuple(numpy.argsort(costs, kind="stable").tolist())

    def rank_subset(self, key: int, subset: Sequence[int]) -> list[int]:
        """Ranks a few members for a key, by the key itself, not its slot."""
        picked = numpy.array(subset, dtype=numpy.intp)
        costs = self._costs_of(key, self._seeds[picked], self._weights[picked])
        return picked[numpy.argsort(costs, kind="stable")].tolist()

    def _first(self, slot: int) -> tuple[int, ...]:
        costs = self._costs(slot)
        if len(costs) <= DEPTH:
            picked = numpy.argsort(costs, kind="stable")
        else:
            part = numpy.argpartition(costs, DEPTH)[:DEPTH]
            picked = part[numpy.argsort(costs[part], kind="stable")]
        return tuple(picked.tolist())

    def _costs(self, slot: int) -> numpy.ndarray:
        return self._costs_of(slot, self._seeds, self._weights)

    def _costs_of(
        self, key: int, seeds: numpy.ndarray, weights: numpy.ndarray
    ) -> numpy.ndarray:
        """Draws an exponential variable a member; the least is the first."""
        salt = numpy.uint64((key + 1) * _GOLDEN & _MASK)
        mixed = seeds ^ salt
        mixed = (mixed ^ (mixed >> numpy.uint64(30))) * _MIX_1
        mixed = (mixed ^ (mixed >> numpy.uint64(27))) * _MIX_2
        mixed = mixed ^ (mixed >> numpy.uint64(31))
        unit = ((mixed >> numpy.uint64(11)).astype(numpy.float64) + 0.5) * _UNIT
        return -numpy.log(unit) / weights
