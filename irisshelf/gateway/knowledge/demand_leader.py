"""Which instance adds up the demand of a data centre.

It is the leader of the data centre, unless that one does not answer: an
instance that has ended counts as a member for up to 6 s, and one of an earlier
build never answers.
"""

from __future__ import annotations

from irisshelf.coordination import membership as membership_module

# A leader that has sent no demand of the fleet for this time, although it was
# sent some, is passed over. The last known demand is in use for 2 s; in this
# time three cycles of 0.5 s pass, so that lost datagrams have rarely caused it.
_UNANSWERED_S = 1.6
# Afterwards it gets another chance.
_PASSED_OVER_S = 30.0


class DemandLeader:
    """Selects the leader among the members that answer.

    Args:
        membership: The instances that this one knows to be alive.
    """

    def __init__(self, *, membership: membership_module.Membership):
        self._membership = membership
        # Until when an instance is passed over.
        self._until_s: dict[str, float] = {}
        # The current leader, and since when it has not answered.
        self._name = ""
        self._unanswered_since_s: float | None = None

    def get(self, now: float) -> membership_module.Member | None:
        """Returns the leader; None if it is this instance."""
        own = self._membership.own
        for member in self._ranked(now):
            if now >= self._until_s.get(member.name, now):
                return None if member == own else member
        return None

    def record_sent(self, name: str, now: float) -> None:
        """Records that demand, not none, has been sent to a leader."""
        if name != self._name:
            self._name = name
            self._unanswered_since_s = None
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now
        elif now - self._unanswered_since_s >= _UNANSWERED_S:
            self._unanswered_since_s = None
            self._until_s = {
                passed: until_s
                for passed, until_s in self._until_s.items()
                if until_s > now
            }
            self._until_s[name] = now + _PASSED_OVER_S

    def record_no_demand(self) -> None:
        """Records that there is no demand, which a leader need not answer."""
        self._unanswered_since_s = None

    def record_answer(self, name: str, now: float) -> bool:
        """Records that an instance has sent the demand of the fleet.

        Returns:
            Whether it is the leader, maybe one that was passed over until now.
        """
        leader = self.get(now)
        for member in self._ranked(now):
            if member == self._membership.own:
                return False
            if member.name == name:
                self._until_s.pop(name, None)
                if name == self._name:
                    self._unanswered_since_s = None
                return True
            if member == leader:
                return False
        return False

    def _ranked(self, now: float) -> list[membership_module.Member]:
        own = self._membership.own
        others = [m for m, _ in self._membership.members(own.data_centre, now)]
        return membership_module.rank([*others, own])
