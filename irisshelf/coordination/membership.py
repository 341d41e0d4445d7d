"""Who the other instances are, and which is the first of a data centre.

Instances rank those heard from lately alike, whatever the order they hear of
them. Lists that differ for a while cost a datagram or two, and nothing else.
Those with wide links go first, as the first of a data centre sends to all.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
from collections.abc import Iterable

# An instance not heard of for so long is left out; members ask every 2.5 s.
EXPIRY_S = 6.0
# Instances of other data centres are asked for less often.
REMOTE_EXPIRY_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """An instance.

    Attributes:
        name: Its name.
        address: Where other instances reach it.
        data_centre: Where it stands.
        link_mbps: How much its link bears, in Mbit/s; 0 if that is not known.
    """

    name: str
    address: str
    data_centre: str
    link_mbps: float = 0.0


class Membership:
    """The instances that this one knows of.

    Args:
        own: This instance.
    """

    def __init__(self, *, own: Member):
        self.own = own
        self._heard: dict[str, tuple[Member, float]] = {}

    def record_alive(self, member: Member, at_s: float) -> None:
        """Takes that an instance lives, or lived at a time."""
        if member.name == self.own.name:
            return
        known = self._heard.get(member.name)
        if known is None or known[1] < at_s:
            self._heard[member.name] = (member, at_s)

    def remove(self, name: str) -> None:
        """Takes that an instance stops as planned."""
        self._heard.pop(name, None)

    def members(
        self, data_centre: str, now: float
    ) -> list[tuple[Member, float]]:
        """Returns a data centre's instances but this one, with their ages."""
        self._forget(now)
        return [
            (member, now - at_s)
            for member, at_s in self._heard.values()
            if member.data_centre == data_centre
        ]

    def remote_members(self, now: float) -> list[Member]:
        """Returns the instances of other data centres."""
        self._forget(now)
        return [
            member
            for member, _ in self._heard.values()
            if member.data_centre != self.own.data_centre
        ]

    def sample(
        self, data_centre: str, now: float, most: int
    ) -> list[tuple[Member, float]]:
        """Returns those that an asker should know, with their ages.

        All of its own data centre, and a few of each other one.
        """
        self._forget(now)
        told: dict[str, int] = {}
        rows = []
        everyone = [(self.own, now), *self._heard.values()]
        for member, at_s in everyone:
            count = told.get(member.data_centre, 0)
            if member.data_centre != data_centre and count >= most:
                continue
            told[member.data_centre] = count + 1
            rows.append((member, now - at_s))
        return rows

    def leader(self, now: float) -> Member | None:
        """Returns the first of the data centre; None if it is this instance."""
        others = [m for m, _ in self.members(self.own.data_centre, now)]
        found = rank([*others, self.own])[0]
        return None if found == self.own else found

    def ancestors(self, now: float, fan_out: int) -> list[Member]:
        """Returns who hands things on to this instance, the nearest first.

        The instances of the data centre, as they are ranked, form a tree in
        which each relays to so many others; the first of them is its root.
        """
        others = [m for m, _ in self.members(self.own.data_centre, now)]
        ranked = rank([*others, self.own])
        place = ranked.index(self.own)
        found = []
        while place > 0:
            place = (place - 1) // fan_out
            found.append(ranked[place])
        return found

    def _longest_s(self, member: Member) -> float:
        if member.data_centre == self.own.data_centre:
            return EXPIRY_S
        return REMOTE_EXPIRY_S

    def _forget(self, now: float) -> None:
        self._heard = {
            name: (member, at_s)
            for name, (member, at_s) in self._heard.items()
            if now - at_s <= self._longest_s(member)
        }


def rank(members: Iterable[Member]) -> list[Member]:
    """Ranks instances alike everywhere, whatever the order they are told in."""
    return sorted(members, key=lambda m: (-_width(m.link_mbps), _score(m.name)))


def _width(link_mbps: float) -> int:
    """Returns the class of a link: those of a class are at most twice apart."""
    return int(link_mbps).bit_length()


@functools.lru_cache(maxsize=1024)
def _score(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
