"""Rate limits of cold servers, which have just started or are cold again.

A cold server handles a few requests a second and fails at well above that rate.
The limit applies to the requests of all instances together. Instances exchange
only datagrams, so they cannot share a count of the requests sent in time. They
share a ranking instead: for each cold server, the first few of the instances in
its data centre are its *senders*. Each sender keeps an interval between its
requests that meets the limit whatever the other senders do. All other instances
send nothing.

Instances whose lists of members differ for a while select different senders.
The senders by one list therefore use at most half of the limit: two lists
without a common sender, as in a partitioned data centre, meet it together. An
instance that may be the one that is cut off does not count itself among the
senders, see ``coordination.local_membership``.

Alternatives that exceed the limit: with a share of the rate for each member,
every member may send one request at the start, which is 73 at once from 73
instances where 18 are allowed; a growing share of the prompts placed on the
server is not limited if one of them is hot.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import math
from collections.abc import Sequence

from irisshelf.catalog import directory

# The limit applies to any second. Two requests sent so far apart do not arrive
# within one second, even if the first one takes longer to arrive.
_MIN_INTERVAL_S = 1.1
# Number of member lists without a common sender that meet the limit together.
_MAX_DISJOINT_LISTS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Limits of the requests to a cold server of a service.

    Attributes:
        requests_per_s: Average rate that it can handle.
        max_in_any_second: Upper limit of the requests of all instances together
            that may reach it in any second.
    """

    requests_per_s: float
    max_in_any_second: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """The share of the limits that each sender has at one cold server.

    Attributes:
        senders: Number of instances that send.
        interval_s: Interval between requests of a sender; infinite if it may
            send none.
    """

    senders: int
    interval_s: float


def share(bounds: Bounds, members: int) -> Share:
    """Returns the share of each sender, given the number of instances.

    Example:
        >>> share(Bounds(requests_per_s=2.0, max_in_any_second=8.0), 24)
        Share(senders=4, interval_s=2.0)
    """
    limit = math.floor(bounds.max_in_any_second / _MAX_DISJOINT_LISTS)
    senders = min(limit, members)
    if senders <= 0 or bounds.requests_per_s <= 0:
        return Share(senders=0, interval_s=math.inf)
    sender_limit = limit // senders
    interval_s = max(
        _MIN_INTERVAL_S / sender_limit, senders / bounds.requests_per_s
    )
    return Share(senders=senders, interval_s=interval_s)


class ColdStarts:
    """Which servers are cold, and when this instance may send to them.

    Args:
        own: Name of this instance.
    """

    def __init__(self, *, own: str):
        self._own = own
        self._cold_until_s: dict[str, float] = {}
        self._next_send_s: dict[str, float] = {}

    def record_cold_time(
        self, server_id: str, remaining_s: float, now: float
    ) -> None:
        """Records for how long a server reports to stay cold.

        Args:
            server_id: The server.
            remaining_s: Remaining time; 0 if it is not cold.
            now: Time in seconds.
        """
        if remaining_s <= 0:
            self._remove(server_id)
            return
        self._start_cold(server_id, now)
        self._cold_until_s[server_id] = now + remaining_s

    def assume_cold(
        self, server_id: str, remaining_s: float, now: float
    ) -> None:
        """Treats a server as cold although it has not reported that."""
        if remaining_s > 0:
            self._start_cold(server_id, now)
            known_s = self._cold_until_s.get(server_id, -math.inf)
            self._cold_until_s[server_id] = max(known_s, now + remaining_s)

    def retain(self, names: frozenset[str]) -> None:
        """Removes servers that are no longer listed."""
        for name in self._cold_until_s.keys() - names:
            self._remove(name)

    def remaining_s(self, server_id: str, now: float) -> float:
        """Returns for how long a server stays cold; 0 if it is not."""
        return max(0.0, self._cold_until_s.get(server_id, -math.inf) - now)

    def split(
        self, servers: Sequence[directory.BackendServer], now: float
    ) -> tuple[
        Sequence[directory.BackendServer], Sequence[directory.BackendServer]
    ]:
        """Splits servers into warm and cold ones."""
        if not self._cold_until_s:
            return servers, ()
        cold = [s for s in servers if self.remaining_s(s.server_id, now) > 0]
        if not cold:
            self._remove_warm(now)
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
        """Returns when this instance may send the next request to a server.

        Args:
            server_id: A cold server.
            bounds: Its limits.
            members: Names of the instances in its data centre, including this
                one; empty if they are not known reliably.
            now: Time in seconds.

        Returns:
            Seconds from now; infinite if this instance is not one of the
            server's senders.
        """
        allowed = share(bounds, len(members))
        if self._own not in _ranked(server_id, members)[: allowed.senders]:
            return math.inf
        return max(0.0, self._next_send_s.get(server_id, -math.inf) - now)

    def record_sent(
        self, server_id: str, bounds: Bounds, members: int, now: float
    ) -> None:
        """Records that this instance sends a request to a cold server."""
        interval_s = share(bounds, members).interval_s
        self._next_send_s[server_id] = now + interval_s

    def _start_cold(self, server_id: str, now: float) -> None:
        """Delays the first request to a server that was warm until now.

        Requests sent while it was warm may still be on their way.
        """
        if not self.remaining_s(server_id, now):
            self._next_send_s[server_id] = now + _MIN_INTERVAL_S

    def _remove_warm(self, now: float) -> None:
        for name in [n for n, t in self._cold_until_s.items() if t <= now]:
            self._remove(name)

    def _remove(self, server_id: str) -> None:
        self._cold_until_s.pop(server_id, None)
        self._next_send_s.pop(server_id, None)


@functools.lru_cache(maxsize=4096)
def _ranked(server_id: str, members: tuple[str, ...]) -> list[str]:
    return sorted(members, key=lambda name: _rank(server_id, name))


def _rank(server_id: str, name: str) -> bytes:
    text = f"{server_id}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
