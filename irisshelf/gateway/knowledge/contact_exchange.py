"""Asks other instances since when the store has answered them."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Mapping
from typing import Annotated

import cbor2
import gevent
import msgspec
import result

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import store_contact
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.observe import decision_log

# Path at which an instance serves ``ContactExchange.encode``.
PATH = "/store-contact"
_TIMEOUT_S = 0.4
# Instances of the own data centre often lose the store together, so that those
# of others are asked as well.
_LOCAL_PEERS = 2
_REMOTE_PEERS = 4

_AgeS = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class ContactExchange:
    """Exchanges the times in which the store has answered.

    Args:
        contact: The store's answers to this instance.
        peers: The other instances.
        log: Receives decoding errors.
        rng: Chooses the instances to ask.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        contact: store_contact.StoreContact,
        peers: peer_discovery.PeerDiscovery,
        log: decision_log.DecisionLog,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._contact = contact
        self._peers = peers
        self._log = log
        self._rng = rng
        self._now = now
        peers.register_handler(PATH, self.encode)

    def encode(self, fields: Mapping[str, str] | None = None) -> bytes | None:
        """Encodes this instance's latest interval; None if there is none.

        Args:
            fields: Query parameters; ignored.
        """
        interval = self._contact.interval()
        if interval is None:
            return None
        now = self._now()
        return cbor2.dumps((now - interval.since_s, now - interval.until_s))

    def ask(self) -> list[store_contact.Interval]:
        """Returns the intervals of some other instances."""
        calls = [gevent.spawn(self._ask_one, m.address) for m in self._some()]
        gevent.joinall(calls)
        return [call.value for call in calls if call.value is not None]

    def _some(self) -> list[membership_module.Member]:
        now = self._now()
        membership = self._peers.membership
        own = membership.own.data_centre
        local = [member for member, _ in membership.members(own, now)]
        remote = membership.remote_members(now)
        return [
            *self._rng.sample(local, min(_LOCAL_PEERS, len(local))),
            *self._rng.sample(remote, min(_REMOTE_PEERS, len(remote))),
        ]

    def _ask_one(self, address: str) -> store_contact.Interval | None:
        sent_s = self._now()
        answer = self._peers.request(address, PATH, timeout_s=_TIMEOUT_S)
        if isinstance(answer, result.Err):
            # Gone, cut off as well, or without an interval.
            return None
        received_s = self._now()
        try:
            since_age_s, until_age_s = msgspec.convert(
                cbor2.loads(answer.ok_value), tuple[_AgeS, _AgeS]
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning(
                "store_contact_unreadable", address=address, detail=str(exc)
            )
            return None
        # The interval is not overstated by the time that the exchange took.
        return store_contact.Interval(
            since_s=received_s - since_age_s, until_s=sent_s - until_age_s
        )
