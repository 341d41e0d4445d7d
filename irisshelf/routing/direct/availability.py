"""Whether backend servers take requests, by what they say of themselves.

What a server itself said last goes before what the store's list says of it: an
entry may be older, whenever it is read. A life that leaves never returns, so
that neither time nor an entry lifts it; a server that starts again is another
life. A rest ends by time, for each instance a little later than asked so that
they do not all return at once. Then the server gets a single request at a time
until one is answered.

What another instance has been told is taken for a short time only, as it may
be wrong; afterwards the server is asked by a single request as well.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random

# Lives that leave and are remembered, the latest ones.
_MOST_LEAVING = 2000
# How much later than asked a rest ends at the most: a share of it, and seconds.
_SPREAD = 0.2
_LONGEST_SPREAD_S = 1.0
# A server that does not answer the request after its rest in this time gets
# another one.
_TRIAL_S = 1.0
# An address that belongs to another server is tried again: the entry is dropped
# or written anew by then.
_ABSENT_S = 1.0
# How long what another instance has been told holds at the most.
MAX_PEER_PAUSE_S = 2.0


class Reason(enum.StrEnum):
    """Why a server takes no request now."""

    LEAVING = "leaving"
    BACKOFF = "resting"
    ABSENT = "absent"
    PEER = "told"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Block:
    """A server that takes no request.

    Attributes:
        reason: Why.
        remaining_s: For how long; infinite if for good.
    """

    reason: Reason
    remaining_s: float


@dataclasses.dataclass(slots=True)
class _Pause:
    reason: Reason
    until_s: float
    tried_s: float = -math.inf


class Availability:
    """What one instance knows of servers that want no requests.

    Args:
        rng: Spreads the ends of rests.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pauses: dict[str, _Pause] = {}

    def mark_leaving(self, server_id: str) -> bool:
        """Takes that a life leaves.

        Returns:
            Whether that was not known.
        """
        known = server_id in self._leaving
        self._leaving[server_id] = None
        if len(self._leaving) > _MOST_LEAVING:
            self._leaving.popitem(last=False)
        return not known

    def is_leaving(self, server_id: str) -> bool:
        """Tells whether a life has said that it leaves."""
        return server_id in self._leaving

    def record_backoff(self, server_id: str, rest_s: float, now: float) -> bool:
        """Takes that a server wants nothing for some time.

        Args:
            server_id: The server.
            rest_s: For how long, in seconds.
            now: Time in seconds.

        Returns:
            Whether it took requests before.
        """
        spread_s = min(_SPREAD * rest_s, _LONGEST_SPREAD_S)
        until_s = now + rest_s + self._rng.uniform(0.0, spread_s)
        return self._pause(server_id, Reason.BACKOFF, until_s, now)

    def mark_absent(self, server_id: str, now: float) -> bool:
        """Takes that another server answers at a server's address.

        Returns:
            Whether the server took requests before.
        """
        until_s = now + _ABSENT_S
        return self._pause(server_id, Reason.ABSENT, until_s, now)

    def record_peer_pause(
        self, server_id: str, remaining_s: float, now: float
    ) -> None:
        """Takes what another instance says of a server.

        Args:
            server_id: The server.
            remaining_s: For how long the server takes no request.
            now: Time in seconds.
        """
        if remaining_s > 0 and server_id not in self._pauses:
            until_s = now + min(remaining_s, MAX_PEER_PAUSE_S)
            self._pause(server_id, Reason.PEER, until_s, now)

    def block(self, server_id: str, now: float) -> Block | None:
        """Returns why a server takes no request; None if it takes one.

        Example:
            >>> known = Availability(rng=random.Random(1))
            >>> known.block("i-1", 0.0) is None, known.mark_leaving("i-1")
            (True, True)
            >>> known.block("i-1", 0.0).reason
            <Reason.LEAVING: 'leaving'>
        """
        if server_id in self._leaving:
            return Block(reason=Reason.LEAVING, remaining_s=math.inf)
        pause = self._pauses.get(server_id)
        if pause is None:
            return None
        until_s = max(pause.until_s, pause.tried_s + _TRIAL_S)
        if now >= until_s:
            return None
        return Block(reason=pause.reason, remaining_s=until_s - now)

    def record_sent(self, server_id: str, now: float) -> None:
        """Takes that a request goes to a server."""
        pause = self._pauses.get(server_id)
        if pause is not None:
            pause.tried_s = now

    def record_answer(self, server_id: str, sent_s: float) -> bool:
        """Takes that a server has answered, and asked for nothing.

        Args:
            server_id: The server.
            sent_s: When the request was sent; one that was sent before a rest
                says nothing of the time after.

        Returns:
            Whether the server takes requests again because of it.
        """
        pause = self._pauses.get(server_id)
        if pause is None or sent_s < pause.until_s:
            return False
        del self._pauses[server_id]
        return True

    def retain(self, names: frozenset[str], now: float) -> None:
        """Forgets pauses that are over of servers that are not listed any more.

        Entries come back, so that nothing else is forgotten with them.
        """
        for name in self._pauses.keys() - names:
            if now >= self._pauses[name].until_s:
                del self._pauses[name]

    def _pause(
        self, server_id: str, reason: Reason, until_s: float, now: float
    ) -> bool:
        before = self._pauses.get(server_id)
        if before is not None and until_s <= before.until_s:
            return False
        self._pauses[server_id] = _Pause(reason=reason, until_s=until_s)
        return before is None or now >= before.until_s
