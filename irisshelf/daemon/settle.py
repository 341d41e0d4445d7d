"""Claims that requests of this instance wait for."""

from __future__ import annotations

import collections
import dataclasses

from gevent import event

from irisshelf.coordination import claim


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wish:
    """A claim and the request that waits for its decision."""

    claim: claim.Claim
    decided: event.AsyncResult


def take(pending: collections.deque[Wish], *, limit: int) -> list[Wish]:
    """Takes wishes for one transaction: each row at most once.

    Two claims on one row in one transaction would both be granted, so the
    second one waits for the next transaction.
    """
    taken: dict[str, Wish] = {}
    later: list[Wish] = []
    while pending and len(taken) < limit:
        wish = pending.popleft()
        if wish.claim.row in taken:
            later.append(wish)
        else:
            taken[wish.claim.row] = wish
    pending.extendleft(reversed(later))
    return list(taken.values())


def again(wish: Wish, renewed: claim.Claim) -> Wish:
    """Returns the wish with its claim as it should be tried next."""
    return dataclasses.replace(wish, claim=renewed)
