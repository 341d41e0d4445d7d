"""The instances of an instance's own data centre, if it knows them well enough.

What is shared out among them by a ranking without messages holds only as far as
all rank the same ones. Who has just started, slept, or lost sight of most of
the others may know far fewer than there are, and would take their shares on.
"""

from __future__ import annotations

from irisshelf.coordination import fleet_size
from irisshelf.coordination import membership as membership_module

# Instances ask for each other every 2.5 s, and each has told its name by then.
DISCOVERY_TIME_S = 5.0


class LocalMembership:
    """The instances of the own data centre.

    Args:
        membership: The instances that are known.
        alone: Whether there is nobody to ask for others, so that this instance
            is the only one until it hears of another.
        began_s: When this instance began.
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
        self._sizes = fleet_size.FleetSize(alone=True)

    def names(self, now: float) -> tuple[str, ...]:
        """Returns their names, the own one included, in a fixed order.

        Empty if they are not known well enough. To be called every few seconds,
        as what was known a minute ago counts.
        """
        own = self._membership.own
        others = self._membership.members(own.data_centre, now)
        found = sorted([own.name, *(member.name for member, _ in others)])
        self._sizes.record(len(found), now)
        if self._alone:
            return tuple(found)
        if now - self._began_s < DISCOVERY_TIME_S:
            return ()
        if 2 * len(found) < (self._sizes.estimate(now) or 1):
            return ()
        if not others and not self._membership.remote_members(now):
            return ()
        return tuple(found)
