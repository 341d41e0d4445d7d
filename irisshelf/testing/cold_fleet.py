"""A model of many instances before servers that are cold, in virtual time.

Instances of one data centre know each other by datagrams: lists of members
differ while instances start, are cut off, or the data centre is split. Callers
ask for what a cold server owns, at any instance. Counted is what reaches the
server in its worst second, of all instances together, and how many requests
have to go elsewhere.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
import random
from collections.abc import Sequence

from irisshelf.coordination import local_membership
from irisshelf.coordination import membership as membership_module
from irisshelf.routing.direct import cold_start

_SERVER = "cold"
_ANSWERS_EVERY_S = 2.5
_BEGAN_S = -1000.0


class Way(abc.ABC):
    """How one instance decides whether it sends a cold server a request."""

    @abc.abstractmethod
    def admits(self, members: tuple[str, ...], now: float) -> bool:
        """Decides on a request, and takes that it is sent if it is.

        Args:
            members: The instances that this one knows, itself included.
            now: Time in seconds.
        """


class Senders(Way):
    """The way that stands: few senders by a ranking, at intervals."""

    def __init__(self, *, own: str, bounds: cold_start.Bounds):
        self._bounds = bounds
        self._starts = cold_start.ColdStarts(own=own)

    def admits(self, members: tuple[str, ...], now: float) -> bool:
        """See ``Way.admits``."""
        starts, bounds = self._starts, self._bounds
        if starts.next_send_in_s(_SERVER, bounds, members, now) > 0:
            return False
        starts.record_sent(_SERVER, bounds, len(members), now)
        return True


class Shares(Way):
    """Each member has its share of the rate, and one request to begin with."""

    def __init__(self, *, own: str, bounds: cold_start.Bounds):
        del own
        self._per_s = bounds.requests_per_s
        self._next_s = -float("inf")

    def admits(self, members: tuple[str, ...], now: float) -> bool:
        """See ``Way.admits``."""
        if now < self._next_s or not members:
            return False
        self._next_s = now + len(members) / self._per_s
        return True


class SlowStart(Way):
    """A share of what the server owns that rises while it is cold."""

    def __init__(self, *, own: str, bounds: cold_start.Bounds, cold_s: float):
        del bounds
        self._cold_s = cold_s
        self._rng = random.Random(own)

    def admits(self, members: tuple[str, ...], now: float) -> bool:
        """See ``Way.admits``."""
        return self._rng.random() < min(1.0, max(0.0, now) / self._cold_s)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """What callers ask for.

    Attributes:
        per_s: Requests a second for what the cold server owns, of all callers.
        cold_s: How long the server is cold.
    """

    per_s: float
    cold_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What came of it.

    Attributes:
        worst_second: Most requests at the server in any second.
        served: Share of the requests that the cold server took.
    """

    worst_second: int
    served: float


class Fleet:
    """Instances of one data centre.

    Args:
        count: How many.
        rng: For callers' choice of an instance.
        alone: Whether each has nobody to ask for others.
    """

    def __init__(self, *, count: int, rng: random.Random, alone: bool = False):
        self._rng = rng
        self.names = [f"n{number}" for number in range(count)]
        members = {n: _member(n) for n in self.names}
        self._memberships = {
            name: membership_module.Membership(own=member)
            for name, member in members.items()
        }
        self._known = {
            name: local_membership.LocalMembership(
                membership=self._memberships[name],
                alone=alone,
                began_s=_BEGAN_S,
            )
            for name in self.names
        }
        self._groups: list[frozenset[str]] = [frozenset(self.names)]
        self._queried_s = -60.0
        self.exchange_membership(-60.0, 0.0)

    def split(self, *groups: Sequence[str]) -> None:
        """From now on, instances learn only of those of their own group."""
        self._groups = [frozenset(group) for group in groups]

    def start_anew(self, names: Sequence[str], now: float) -> None:
        """Instances are killed and restart with an empty membership."""
        for name in names:
            membership = membership_module.Membership(own=_member(name))
            self._memberships[name] = membership
            self._known[name] = local_membership.LocalMembership(
                membership=membership, alone=False, began_s=now
            )

    def exchange_membership(self, since_s: float, until_s: float) -> None:
        """Instances learn of each other at each membership query."""
        now = since_s
        while now <= until_s:
            for group in self._groups:
                for name in group:
                    for other in group - {name}:
                        self._memberships[name].record_alive(
                            _member(other), now
                        )
                    self._known[name].names(now)
            now += _ANSWERS_EVERY_S

    def play(self, ways: dict[str, Way], load: Load) -> Outcome:
        """Plays the time that the server is cold, from second 0 on."""
        sent: list[float] = []
        asked = 0
        now = queried_s = 0.0
        while now < load.cold_s:
            now += self._rng.expovariate(load.per_s)
            if now - queried_s > _ANSWERS_EVERY_S:
                self.exchange_membership(now, now)
                queried_s = now
            asked += 1
            name = self._rng.choice(self.names)
            if ways[name].admits(self._known[name].names(now), now):
                sent.append(now)
        return Outcome(
            worst_second=_worst_second(sent), served=len(sent) / max(1, asked)
        )


def _member(name: str) -> membership_module.Member:
    return membership_module.Member(name=name, address=name, data_centre="a")


def _worst_second(times: Sequence[float]) -> int:
    window: collections.deque[float] = collections.deque()
    worst = 0
    for at_s in times:
        window.append(at_s)
        while at_s - window[0] >= 1.0:
            window.popleft()
        worst = max(worst, len(window))
    return worst
