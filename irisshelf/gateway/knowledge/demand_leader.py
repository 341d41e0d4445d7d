"""Which instance adds up the demand of a data centre.

It is the leader of the data centre, unless that one does not answer: an
instance that has ended counts as a member for up to 6 s, and one of an earlier
build never answers.
"""

from __future__ import annotations

from irisshelf.coordination import membership as membership_module

# A leader that has sent no demand of the fleet for this time, although it was
# sent some, is passed over. The last known demand is in use for 2 s; in this
# time three cycles of 0.5 s begin, so that lost datagrams rarely cause it.
_UNANSWERED_S = 1.4
# Afterwards it is selected again, and passed over again without an answer.
_PASSED_OVER_S = 30.0
# The members are ranked again after this time. A leader of 28 instances asks
# for each of 160 datagrams a second.
_RANKED_FOR_S = 0.2


class DemandLeader:
    """Selects the leader among the members that answer.

    Args:
        membership: The instances that this one knows to be alive.
    """

    def __init__(self, *, membership: membership_module.Membership):
        self._membership = membership
        self._ranking: list[membership_module.Member] = []
        self._ranked_s = float("-inf")
        self._retired = False
        # By name of the instance.
        self._passed_over_until_s: dict[str, float] = {}
        # The current leader, and since when it has not answered.
        self._leader_name = ""
        self._unanswered_since_s: float | None = None

    def retire(self) -> None:
        """Leaves the sum to another instance, as this one is about to stop.

        The others do not count it as a member any more, and send it nothing.
        """
        self._retired = True
        self._ranked_s = float("-inf")

    def get(self, now: float) -> membership_module.Member | None:
        """Returns the leader; None if it is this instance."""
        own = self._membership.own
        for member in self._ranked(now):
            if now >= self._passed_over_until_s.get(member.name, now):
                return None if member == own else member
        return None

    def select(
        self, now: float, *, expects_answer: bool
    ) -> membership_module.Member | None:
        """Returns the leader to send demand to; None if it is this instance.

        Args:
            now: Monotonic seconds.
            expects_answer: Whether there is demand. A leader need not answer if
                there is none.
        """
        leader = self.get(now)
        if leader is None or not expects_answer:
            self._unanswered_since_s = None
            return leader
        if leader.name != self._leader_name or self._unanswered_since_s is None:
            self._leader_name = leader.name
            self._unanswered_since_s = now
        elif now - self._unanswered_since_s >= _UNANSWERED_S:
            self._pass_over(leader.name, now)
            return self.select(now, expects_answer=True)
        return leader

    def _pass_over(self, name: str, now: float) -> None:
        self._passed_over_until_s = {
            passed: until_s
            for passed, until_s in self._passed_over_until_s.items()
            if until_s > now
        }
        self._passed_over_until_s[name] = now + _PASSED_OVER_S
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
                self._passed_over_until_s.pop(name, None)
                if name == self._leader_name:
                    self._unanswered_since_s = None
                return True
            if member == leader:
                return False
        return False

    def _ranked(self, now: float) -> list[membership_module.Member]:
        if now - self._ranked_s >= _RANKED_FOR_S:
            self._ranked_s = now
            own = self._membership.own
            others = self._membership.members(own.data_centre, now)
            ranking = membership_module.rank(
                [own, *(member for member, _ in others)]
            )
            if self._retired:
                ranking.remove(own)
                ranking.append(own)
            self._ranking = ranking
        return self._ranking
