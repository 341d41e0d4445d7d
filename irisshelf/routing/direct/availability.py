"""Availability of backend servers, by what they say in their responses.

What a server itself said last takes precedence over its entry in the store's
list, which may be older whenever it is read. An incarnation of a server that
has announced that it leaves never becomes available again, see
``catalog.departures``. A backoff ends after the requested time plus a jitter
that differs between instances, so that they do not all return at once. The
server then gets a single trial request at a time until one succeeds.

A backoff reported by another instance holds as long, up to a limit since it may
be wrong; the server then gets a single trial request as well.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import random

from irisshelf.catalog import departures

# Upper limits of the jitter added to a backoff: a share of it, and seconds.
_JITTER_SHARE = 0.2
_MAX_JITTER_S = 1.0
# If a trial request gets no response in this time, another one is sent.
_TRIAL_TIMEOUT_S = 1.0
# If another server responds at a server's address, the address is tried again
# after this time; the stale entry has been removed or rewritten by then.
_ABSENT_S = 1.0
# Upper limit of a backoff that another instance reports.
_MAX_PEER_BACKOFF_S = 30.0


class Reason(enum.StrEnum):
    """Why a server is unavailable."""

    LEAVING = "leaving"
    BACKOFF = "resting"
    ABSENT = "absent"
    PEER = "told"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Block:
    """The reason and the remaining time for which a server is unavailable.

    Attributes:
        reason: Why.
        remaining_s: For how long; infinite if permanently.
    """

    reason: Reason
    remaining_s: float


@dataclasses.dataclass(slots=True)
class _Pause:
    reason: Reason
    until_s: float
    trial_sent_s: float = -math.inf


class Availability:
    """Which servers take requests, as far as one instance knows.

    Args:
        rng: Source of the jitter of backoffs.

    Attributes:
        departures: Incarnations that have announced that they leave.
    """

    def __init__(self, *, rng: random.Random):
        self.departures = departures.Departures()
        self._rng = rng
        self._pauses: dict[str, _Pause] = {}

    def record_backoff(
        self, server_id: str, backoff_s: float, now: float
    ) -> bool:
        """Records that a server has asked for a backoff.

        Args:
            server_id: The server.
            backoff_s: The requested time, in seconds.
            now: Time in seconds.

        Returns:
            Whether the server was available before.
        """
        until_s = now + backoff_s + self._jitter_s(backoff_s)
        return self._pause(server_id, Reason.BACKOFF, until_s, now)

    def mark_absent(self, server_id: str, now: float) -> bool:
        """Records that another server responds at a server's address.

        Returns:
            Whether the server was available before.
        """
        until_s = now + _ABSENT_S
        return self._pause(server_id, Reason.ABSENT, until_s, now)

    def record_peer_pause(
        self, server_id: str, remaining_s: float, now: float
    ) -> None:
        """Records a pause of a server that another instance reports.

        Args:
            server_id: The server.
            remaining_s: For how long the server is unavailable.
            now: Time in seconds.
        """
        if remaining_s > 0 and server_id not in self._pauses:
            backoff_s = min(remaining_s, _MAX_PEER_BACKOFF_S)
            until_s = now + backoff_s + self._jitter_s(backoff_s)
            self._pause(server_id, Reason.PEER, until_s, now)

    def block(self, server_id: str, now: float) -> Block | None:
        """Returns why a server is unavailable; None if it is available.

        Example:
            >>> known = Availability(rng=random.Random(1))
            >>> known.block("i-1", 0.0) is None
            True
            >>> known.departures.announce(
            ...     "i-1", source=departures.Source.RESPONSE, now=0.0
            ... )
            True
            >>> known.block("i-1", 0.0).reason
            <Reason.LEAVING: 'leaving'>
        """
        if self.departures.get(server_id) is not None:
            return Block(reason=Reason.LEAVING, remaining_s=math.inf)
        pause = self._pauses.get(server_id)
        if pause is None:
            return None
        until_s = max(pause.until_s, pause.trial_sent_s + _TRIAL_TIMEOUT_S)
        if now >= until_s:
            return None
        return Block(reason=pause.reason, remaining_s=until_s - now)

    def record_sent(self, server_id: str, now: float) -> None:
        """Records that a request is sent to a server."""
        pause = self._pauses.get(server_id)
        if pause is not None:
            pause.trial_sent_s = now

    def record_answer(self, server_id: str, sent_s: float) -> bool:
        """Records a response of a server that asks for no pause.

        Args:
            server_id: The server.
            sent_s: When the request was sent. The response to a request from
                before the end of a pause does not end the pause.

        Returns:
            Whether the server is available again because of it.
        """
        pause = self._pauses.get(server_id)
        if pause is None or sent_s < pause.until_s:
            return False
        del self._pauses[server_id]
        return True

    def retain(self, names: frozenset[str], now: float) -> None:
        """Removes expired pauses of servers that are no longer listed.

        Everything else is kept, since an entry may return to the list.
        """
        for name in self._pauses.keys() - names:
            if now >= self._pauses[name].until_s:
                del self._pauses[name]

    def _jitter_s(self, backoff_s: float) -> float:
        limit_s = min(_JITTER_SHARE * backoff_s, _MAX_JITTER_S)
        return self._rng.uniform(0.0, limit_s)

    def _pause(
        self, server_id: str, reason: Reason, until_s: float, now: float
    ) -> bool:
        before = self._pauses.get(server_id)
        if before is not None and until_s <= before.until_s:
            return False
        self._pauses[server_id] = _Pause(reason=reason, until_s=until_s)
        return before is None or now >= before.until_s
