"""Exact fractions of few requests by error diffusion.

Each request adds its fraction to the credit of its group and to that of its
priority; an admitted one takes 1 from both. A group of few requests thus gets
its fraction over time, and all groups of a priority together get theirs at any
time: the groups' errors do not add up.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable

from irisshelf.overload import quotas

# Credit that is not used, as a server was full, is lost beyond this number of
# requests, so that it does not cause a burst later. Errors of fractions near 1
# and of groups that take turns stay below it.
_MAX_CREDIT = 3.0
# Returning callers are admitted without credit. Their debt is kept up to
# this number of requests.
_MAX_DEBT = 8.0
# A group of which all requests are to be admitted is only limited by the debt
# of returning callers, not by the errors of the other groups.
_NEEDED_FOR_ALL = -1.0
# Teams come and go; all credits are cleared beyond this number.
_MAX_GROUPS = 4096


class Credits:
    """Credits of the priorities and teams at one instance."""

    def __init__(self):
        self._credits: dict[Hashable, float] = collections.defaultdict(float)

    def add(self, group: quotas.Group, fraction: float) -> bool:
        """Counts an arriving request.

        Args:
            group: Its priority and team key.
            fraction: Admitted fraction of the requests of that group.

        Returns:
            Whether the request may be admitted.
        """
        if len(self._credits) > _MAX_GROUPS:
            self._credits.clear()
        priority = group[0]
        self._change(group, fraction)
        self._change(priority, fraction)
        needed = 1.0 if fraction < 1 else _NEEDED_FOR_ALL
        return self._credits[group] + self._credits[priority] >= needed

    def charge(self, group: quotas.Group) -> None:
        """Counts an admitted request."""
        self._change(group, -1.0)
        self._change(group[0], -1.0)

    def reset(self) -> None:
        """Clears all credits, as after an overload."""
        self._credits.clear()

    def _change(self, key: Hashable, change: float) -> None:
        self._credits[key] = min(
            max(self._credits[key] + change, -_MAX_DEBT), _MAX_CREDIT
        )
