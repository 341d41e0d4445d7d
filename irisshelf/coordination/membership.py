"""The known live instances, and the leader of a data centre among them.

All instances rank the recently active members in the same way, regardless
of the order in which they learned of them. Views that differ for a while cost a
datagram or two and nothing else. Members with fast links rank first, as the
leader of a data centre sends to all others.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
from collections.abc import Iterable

# Members that sent nothing for this long are dropped; they query every 2.5 s.
EXPIRY_S = 6.0
# Instances of other data centres are queried less often.
REMOTE_EXPIRY_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """An instance.

    Attributes:
        name: Its name.
        address: Address at which other instances reach it.
        data_centre: Its data centre.
        link_mbps: Capacity of its link in Mbit/s; 0 if unknown.
    """

    name: str
    address: str
    data_centre: str
    link_mbps: float = 0.0


class Membership:
    """The instances that this one knows to be alive.

    Args:
        own: This instance.
    """

    def __init__(self, *, own: Member):
        self.own = own
        # Members with the time at which each was last known to be alive.
        self._known: dict[str, tuple[Member, float]] = {}
        # Index of the member that the next sample begins with.
        self._sampled = 0

    def record_alive(self, member: Member, at_s: float) -> None:
        """Records that an instance was alive at a time."""
        if member.name == self.own.name:
            return
        known = self._known.get(member.name)
        if known is None or known[1] < at_s:
            self._known[member.name] = (member, at_s)

    def remove(self, name: str) -> None:
        """Removes an instance that shuts down as planned."""
        self._known.pop(name, None)

    def clear(self) -> None:
        """Forgets all other instances."""
        self._known.clear()

    def members(
        self, data_centre: str, now: float
    ) -> list[tuple[Member, float]]:
        """Returns a data centre's other instances, with their ages."""
        self._expire(now)
        return [
            (member, now - at_s)
            for member, at_s in self._known.values()
            if member.data_centre == data_centre
        ]

    def remote_members(self, now: float) -> list[Member]:
        """Returns the instances of other data centres."""
        self._expire(now)
        return [
            member
            for member, _ in self._known.values()
            if member.data_centre != self.own.data_centre
        ]

    def sample(
        self, data_centre: str, now: float, most: int
    ) -> list[tuple[Member, float]]:
        """Returns the members to report to an instance, with their ages.

        Calls in turn return other members of large data centres, so that each
        instance comes to know many of them.

        Args:
            data_centre: The data centre of that instance. All of its members
                are returned.
            now: Monotonic seconds.
            most: Maximum number of members for each other data centre.
        """
        self._expire(now)
        counts: dict[str, int] = {}
        selected = []
        known = list(self._known.values())
        if known:
            self._sampled = (self._sampled + most) % len(known)
        everyone = [
            (self.own, now),
            *known[self._sampled :],
            *known[: self._sampled],
        ]
        for member, at_s in everyone:
            count = counts.get(member.data_centre, 0)
            if member.data_centre != data_centre and count >= most:
                continue
            counts[member.data_centre] = count + 1
            selected.append((member, now - at_s))
        return selected

    def leader(self, now: float) -> Member | None:
        """Returns the data centre's leader; None if it is this instance.

        The leader is the highest-ranked known member; there is no election.
        """
        others = [m for m, _ in self.members(self.own.data_centre, now)]
        leader = rank([*others, self.own])[0]
        return None if leader == self.own else leader

    def ancestors(self, now: float, fan_out: int) -> list[Member]:
        """Returns the ancestors in the relay tree, the parent first.

        The ranked instances of the data centre form a tree with the leader as
        its root, in which each instance relays to ``fan_out`` others.
        """
        others = [m for m, _ in self.members(self.own.data_centre, now)]
        ranked = rank([*others, self.own])
        index = ranked.index(self.own)
        ancestors = []
        while index > 0:
            index = (index - 1) // fan_out
            ancestors.append(ranked[index])
        return ancestors

    def _expiry_s(self, member: Member) -> float:
        if member.data_centre == self.own.data_centre:
            return EXPIRY_S
        return REMOTE_EXPIRY_S

    def _expire(self, now: float) -> None:
        self._known = {
            name: (member, at_s)
            for name, (member, at_s) in self._known.items()
            if now - at_s <= self._expiry_s(member)
        }


def rank(members: Iterable[Member]) -> list[Member]:
    """Ranks members in an order that does not depend on the input's order."""
    return sorted(
        members, key=lambda m: (-_link_class(m.link_mbps), _name_hash(m.name))
    )


def _link_class(link_mbps: float) -> int:
    """Returns a link's class; speeds in a class differ by less than twice."""
    return int(link_mbps).bit_length()


@functools.lru_cache(maxsize=1024)
def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
