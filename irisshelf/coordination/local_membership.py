"""Instances of this instance's own data centre, once they are known reliably.

Work is divided among them by rendezvous ranking without messages, which is
correct only if all instances rank the same members. An instance that has just
started, was suspended, or has lost contact with most of the others may know far
fewer members than there are and would take over the others' shares.
"""

from __future__ import annotations

from irisshelf.coordination import fleet_size
from irisshelf.coordination import membership as membership_module

# Instances query each other every 2.5 s and announce their own name in the
# query, so that within this time each knows of all others.
DISCOVERY_TIME_S = 5.0


class LocalMembership:
    """Instances of the own data centre.

    Args:
        membership: All known instances.
        alone: Whether no other instance is configured to be queried, so that
            this instance is the only one until another contacts it.
        began_s: Start time of this instance.
    """

    def __init__(
        self,
        *,
        membership: membership_module.Membership,
        alone: bool,
        began_s: float,
    ):
        self._membership = membership
        self._alone = alone
        self._began_s = began_s
        self._size = fleet_size.FleetSize(alone=True)

    def names(self, now: float) -> tuple[str, ...]:
        """Returns the sorted names of the instances, this one included.

        The result is empty if the instances are not known reliably. Must be
        called every few seconds, as the check uses the largest number of
        instances known within the last minute.
        """
        own = self._membership.own
        others = self._membership.members(own.data_centre, now)
        names = sorted([own.name, *(member.name for member, _ in others)])
        self._size.record(len(names), now)
        if self._alone:
            return tuple(names)
        if now - self._began_s < DISCOVERY_TIME_S:
            return ()
        if 2 * len(names) < (self._size.estimate(now) or 1):
            return ()
        if not others and not self._membership.remote_members(now):
            return ()
        return tuple(names)
