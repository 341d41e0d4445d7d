"""Servers that have just started, or are cold again: how much they get.

A cold server bears a few requests a second and falls over at well above that.
The bound is on what all instances together send it, and instances know each
other by datagrams only, so that no count of what has been sent can be shared in
time. What can be shared is a ranking: for each cold server the first few of the
instances of its own data centre are its *senders*, and each of them sends at
intervals that hold whatever the others do. All others send it nothing.

Instances that know different members for a while have different senders. So the
senders by one list send half of the bound at the most: two lists without a
sender in common, as in a data centre that is split, keep it together. An
instance that may be the one that is cut off does not count itself among the
senders, see ``coordination.data_centre``.

Ways that do not hold: a share of the rate for each member has a request each
to begin with, which is 73 at once from 73 instances where 18 are allowed; a
rising share of the server's own prompts has no bound under a hot prompt.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import math
from collections.abc import Sequence

from irisshelf.catalog import directory

# The bound is on any second; two sends so far apart do not fall into one,
# though the way of the first takes longer than that of the second.
_APART_S = 1.1
# Lists of members without a sender in common that keep the bound together.
_LISTS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """What a cold server of a service may get.

    Attributes:
        per_s: Requests a second that it bears.
        max_in_any_second: Requests that may reach it in any second, of all
            instances together.
    """

    requests_per_s: float
    max_in_any_second: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """What one sender may send to one cold server.

    Attributes:
        senders: How many instances send.
        interval_s: From one request to the next; infinite for none.
    """

    senders: int
    interval_s: float


def share(bounds: Bounds, members: int) -> Share:
    """Returns the share of each sender among so many instances.

    Example:
        >>> share(Bounds(requests_per_s=2.0, max_in_any_second=8.0), 24)
        Share(senders=4, interval_s=2.0)
    """
    most = math.floor(bounds.max_in_any_second / _LISTS)
    senders = min(most, members)
    if senders <= 0 or bounds.requests_per_s <= 0:
        return Share(senders=0, interval_s=math.inf)
    each_in_a_second = most // senders
    interval_s = max(
        _APART_S / each_in_a_second, senders / bounds.requests_per_s
    )
    return Share(senders=senders, interval_s=interval_s)


class ColdStarts:
    """Which servers are cold, and when this instance may send to them.

    Args:
        own: This instance's name.
    """

    def __init__(self, *, own: str):
        self._own = own
        self._until_s: dict[str, float] = {}
        self._next_s: dict[str, float] = {}

    def record_cold_time(
        self, server_id: str, remaining_s: float, now: float
    ) -> None:
        """Takes how long a server stays cold, as it reports it.

        Args:
            server_id: The server.
            remaining_s: 0 if it is not cold.
            now: Time in seconds.
        """
        if remaining_s <= 0:
            self._forget(server_id)
            return
        self._begin(server_id, now)
        self._until_s[server_id] = now + remaining_s

    def assume_cold(
        self, server_id: str, remaining_s: float, now: float
    ) -> None:
        """Takes that a server may be cold, though it has not said so."""
        if remaining_s > 0:
            self._begin(server_id, now)
            known_s = self._until_s.get(server_id, -math.inf)
            self._until_s[server_id] = max(known_s, now + remaining_s)

    def retain(self, names: frozenset[str]) -> None:
        """Forgets servers that are not listed any more."""
        for name in self._until_s.keys() - names:
            self._forget(name)

    def remaining_s(self, server_id: str, now: float) -> float:
        """Returns how long a server stays cold; 0 if it is not."""
        return max(0.0, self._until_s.get(server_id, -math.inf) - now)

    def split(
        self, servers: Sequence[directory.BackendServer], now: float
    ) -> tuple[
        Sequence[directory.BackendServer], Sequence[directory.BackendServer]
    ]:
        """Returns the servers that are warm and those that are cold."""
        if not self._until_s:
            return servers, ()
        cold = [s for s in servers if self.remaining_s(s.server_id, now) > 0]
        if not cold:
            self._forget_warm(now)
            return servers, ()
        names = {server.server_id for server in cold}
        return [s for s in servers if s.server_id not in names], cold

    def next_send_in_s(
        self,
        server_id: str,
        bounds: Bounds,
        members: tuple[str, ...],
        now: float,
    ) -> float:
        """Returns when this instance may send a cold server a request.

        Args:
            server_id: The server.
            bounds: What it may get.
            members: Names of the instances of its data centre, this one
                included; empty if they are not known well enough.
            now: Time in seconds.

        Returns:
            Seconds from now; infinite if this instance is none of its senders.
        """
        allowed = share(bounds, len(members))
        if self._own not in _ranked(server_id, members)[: allowed.senders]:
            return math.inf
        return max(0.0, self._next_s.get(server_id, -math.inf) - now)

    def record_sent(
        self, server_id: str, bounds: Bounds, members: int, now: float
    ) -> None:
        """Takes that this instance sends a cold server a request."""
        interval_s = share(bounds, members).interval_s
        self._next_s[server_id] = now + interval_s

    def _begin(self, server_id: str, now: float) -> None:
        """Lets what was sent to a server while it was warm pass first."""
        if not self.remaining_s(server_id, now):
            self._next_s[server_id] = now + _APART_S

    def _forget_warm(self, now: float) -> None:
        for name in [n for n, t in self._until_s.items() if t <= now]:
            self._forget(name)

    def _forget(self, server_id: str) -> None:
        self._until_s.pop(server_id, None)
        self._next_s.pop(server_id, None)


@functools.lru_cache(maxsize=4096)
def _ranked(server_id: str, members: tuple[str, ...]) -> list[str]:
    return sorted(members, key=lambda name: _rank(server_id, name))


def _rank(server_id: str, name: str) -> bytes:
    text = f"{server_id}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
