"""Claims that requests of this instance wait for."""

from __future__ import annotations

import collections
import dataclasses

from gevent import event

from irisshelf.coordination import claim


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingClaim:
    """A claim and the request that waits for its decision."""

    claim: claim.Claim
    decided: event.AsyncResult


def take(
    pending: collections.deque[PendingClaim], *, limit: int
) -> list[PendingClaim]:
    """Takes pending claims for one transaction: each row at most once.

    Two claims on one row in one transaction would both be granted, so the
    second one waits for the next transaction.
    """
    taken: dict[str, PendingClaim] = {}
    later: list[PendingClaim] = []
    while pending and len(taken) < limit:
        waiting = pending.popleft()
        if waiting.claim.row in taken:
            later.append(waiting)
        else:
            taken[waiting.claim.row] = waiting
    pending.extendleft(reversed(later))
    return list(taken.values())


def again(waiting: PendingClaim, renewed: claim.Claim) -> PendingClaim:
    """Returns the pending claim with its claim as it should be tried next."""
    return dataclasses.replace(waiting, claim=renewed)
