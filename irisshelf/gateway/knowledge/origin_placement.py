"""Which instances keep the origin of a stream, and which are asked for it."""

from __future__ import annotations

import random
from collections.abc import Callable

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway.knowledge import peer_discovery

_REPLICAS = 2
# Instances of the own data centre that are asked: when one of the replicas has
# just gone, the views of who is next differ for a moment.
_ASKED = 3
# The data centre of the instance that sent an origin is not known; if it is the
# first one for the key, the origin was sent to the second.
_DATA_CENTRES_ASKED = 2
# So few are all asked, the instance that began the stream among them.
_ASK_ALL_UP_TO = 8


class OriginPlacement:
    """Selects instances by the keys of streams, as all others do.

    Args:
        peers: The other instances.
        rng: Selects instances of other data centres.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        peers: peer_discovery.PeerDiscovery,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._peers = peers
        self._membership = peers.membership
        self._rng = rng
        self._now = now

    def replicas(
        self, key: bytes, count: int = _REPLICAS
    ) -> list[membership_module.Member]:
        """Returns the instances of the own data centre that keep a key."""
        own = self._membership.own.data_centre
        members = self._membership.members(own, self._now())
        ranked = stream_origins.rank_replicas((m for m, _ in members), key)
        return ranked[:count]

    def remote(self, key: bytes, count: int) -> list[membership_module.Member]:
        """Returns an instance of each of the first other data centres."""
        by_data_centre: dict[str, list[membership_module.Member]] = {}
        for member in self._membership.remote_members(self._now()):
            by_data_centre.setdefault(member.data_centre, []).append(member)
        names = stream_origins.rank_data_centres(by_data_centre, key)
        return [self._rng.choice(by_data_centre[n]) for n in names[:count]]

    def asked_first(
        self, key: bytes
    ) -> list[tuple[membership_module.Member, bool]]:
        """Returns instances, and whether each asks others in turn."""
        members = self._peers.members()
        if len(members) <= _ASK_ALL_UP_TO:
            return [(member, False) for member in members]
        local = [(m, False) for m in self.replicas(key, _ASKED)]
        remote = self.remote(key, _DATA_CENTRES_ASKED)
        return [*local, *((member, True) for member in remote)]
