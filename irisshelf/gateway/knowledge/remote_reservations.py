"""Sends reservations of returning callers to the other data centres.

An instance that assigns a reservation sends it to one instance of each other
data centre, which keeps it if it is one of its holders there, and otherwise
passes it on to the first holder. The sender selects the first holder among the
instances that it knows, but it does not know all of another data centre, and
some that it knows may have ended: these stay known for 20 s. While little is
sent, the second holder is therefore sent the reservation as well.

Other data centres are not asked for a reservation: nearly all callers that are
rejected are new, so that each rejection would be delayed by a round trip.

What an instance sends is limited. A reservation that is not sent is unknown in
some data centres; a caller that returns there is treated as new.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from collections.abc import Sequence

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.coordination import token_bucket
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import return_messages
from irisshelf.observe import decision_log

# What an instance sends to other data centres, and passes on for them, in a
# fleet of this size; it receives as much on average. Together this stays below
# 1,200 bytes a second, also in the first 10 s of an overload. In a smaller
# fleet an instance sends more, so that all instances together send as much.
_LIMIT_BYTES_PER_S = 310.0
# With 2 s, one reservation for 13 data centres used up the tokens: one in ten
# was not sent although a quarter of the limit was in use.
_BURST_S = 6.0
# Second holders are sent reservations as long as all that is sent is less.
_SECOND_BYTES_PER_S = _LIMIT_BYTES_PER_S / 2
_PASSED_ON_BYTES_PER_S = 150.0
_LIMIT_INSTANCES = 400
# Time that a datagram takes to another data centre; the time until the
# reservation is due is sent shortened by it. Up to ``reservations.EARLY_S``
# more make no difference, as callers may be early by that.
_TRANSIT_MS = 20
# The instances of other data centres are looked up again after this time.
_MEMBERS_FOR_S = 1.0
_LOG_INTERVAL_S = 10.0


class RemoteReservations:
    """Sends reservations to other data centres, and passes on those of others.

    Args:
        datagrams: Carries the messages.
        membership: The other instances.
        counts: Metrics.
        log: Tells of reservations that were not sent.
        rng: Selects the data centres that are left out at the limit.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams_module.Datagrams,
        membership: membership_module.Membership,
        counts: metrics.Metrics,
        log: decision_log.DecisionLog,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._datagrams = datagrams
        self._membership = membership
        self._metrics = counts
        self._log = log
        self._rng = rng
        self._now = now
        self._sent = token_bucket.TokenBucket(
            bytes_per_s=_LIMIT_BYTES_PER_S, burst_s=_BURST_S
        )
        self._second = token_bucket.TokenBucket(bytes_per_s=_SECOND_BYTES_PER_S)
        # Apart from what this instance sends of its own, so that a flood of
        # forged reservations does not keep it from sending these.
        self._passed_on = token_bucket.TokenBucket(
            bytes_per_s=_PASSED_ON_BYTES_PER_S
        )
        self._members: dict[str, list[membership_module.Member]] = {}
        self._members_s = -math.inf
        self._fleet_size = 1
        self._not_sent = 0
        self._logged_s = -math.inf

    def send(self, fingerprint: bytes, remaining_ms: int) -> None:
        """Sends a reservation to each other data centre.

        Args:
            fingerprint: Fingerprint of the caller's request.
            remaining_ms: Time until the reservation is due, in milliseconds.
        """
        now = self._now()
        self._look_up_members(now)
        names = list(self._members)
        self._rng.shuffle(names)
        record = return_messages.encode_record(
            fingerprint, max(0, remaining_ms - _TRANSIT_MS)
        )
        data = datagrams_module.encode(
            datagrams_module.Kind.REMOTE_RETURN_PLACES, [record]
        )
        second_holders: list[membership_module.Member] = []
        for number, name in enumerate(names):
            if not self._sent.has_tokens(now):
                self._record_not_sent(len(names) - number, now)
                return
            ranked = stream_origins.rank_replicas(
                self._members[name], fingerprint
            )
            second_holders += ranked[1:2]
            self._send(ranked[0], data, self._sent)
            if self._second.has_tokens(now):
                self._consume(self._second, data)
        for member in second_holders:
            if not self._second.has_tokens(now):
                return
            self._send(member, data, self._second)
            self._consume(self._sent, data)

    def pass_on(
        self,
        fingerprint: bytes,
        remaining_ms: int,
        holders: Sequence[membership_module.Member],
    ) -> None:
        """Sends a reservation of another data centre to its first holder here.

        Args:
            fingerprint: Fingerprint of the caller's request.
            remaining_ms: Time until the reservation is due, in milliseconds.
            holders: Its holders in this data centre.
        """
        now = self._now()
        self._look_up_members(now)
        if not self._passed_on.has_tokens(now):
            self._record_not_sent(1, now)
            return
        record = return_messages.encode_record(fingerprint, remaining_ms)
        data = datagrams_module.encode(
            datagrams_module.Kind.RETURN_PLACES, [record]
        )
        self._send(holders[0], data, self._passed_on)

    def _look_up_members(self, now: float) -> None:
        if now - self._members_s < _MEMBERS_FOR_S:
            return
        self._members_s = now
        self._members = {}
        for member in self._membership.remote_members(now):
            self._members.setdefault(member.data_centre, []).append(member)
        own = self._membership.own.data_centre
        local = 1 + len(self._membership.members(own, now))
        known = local + sum(map(len, self._members.values()))
        # Of a large data centre that is not its own, an instance knows a part.
        self._fleet_size = max(known, local * (1 + len(self._members)))

    def _send(
        self,
        receiver: membership_module.Member,
        data: bytes,
        bucket: token_bucket.TokenBucket,
    ) -> None:
        self._datagrams.send(receiver.address, data)
        self._metrics.return_bytes.inc(len(data) + return_messages.HEADER_BYTES)
        self._consume(bucket, data)

    def _consume(self, bucket: token_bucket.TokenBucket, data: bytes) -> None:
        """Removes this fleet's share of the tokens for a datagram."""
        size = len(data) + return_messages.HEADER_BYTES
        bucket.consume(math.ceil(size * self._fleet_size / _LIMIT_INSTANCES))

    def _record_not_sent(self, count: int, now: float) -> None:
        self._metrics.reservations_not_sent.inc(count)
        self._not_sent += count
        if now - self._logged_s >= _LOG_INTERVAL_S:
            self._logged_s = now
            self._log.warning(
                "reservations_not_sent",
                count=self._not_sent,
                why="limit of bytes for other data centres",
            )
            self._not_sent = 0
