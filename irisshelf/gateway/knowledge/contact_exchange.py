"""Asks other instances what this one has missed while it was cut off.

That is since when the store has answered them, and which servers have announced
that they leave: a list that is read later may not show that any more.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Mapping
from typing import Annotated

import cbor2
import gevent
import msgspec
import result

from irisshelf.catalog import departures as departures_module
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


class _Message(msgspec.Struct, array_like=True):
    # Of the interval's start and end, by the sender's clock.
    since_age_s: _AgeS
    until_age_s: _AgeS
    # Short ids of the servers that have announced that they leave.
    leaving: list[bytes] = []


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What another instance knows.

    Attributes:
        interval: The latest time in which the store answered it without a gap.
        leaving: Short ids of servers that have announced that they leave.
    """

    interval: store_contact.Interval
    leaving: tuple[bytes, ...] = ()


class ContactExchange:
    """Exchanges what instances know of the store and its servers.

    Args:
        contact: The store's answers to this instance.
        departures: The servers that have announced that they leave.
        peers: The other instances.
        log: Receives decoding errors.
        rng: Chooses the instances to ask.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        contact: store_contact.StoreContact,
        departures: departures_module.Departures,
        peers: peer_discovery.PeerDiscovery,
        log: decision_log.DecisionLog,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._contact = contact
        self._departures = departures
        self._peers = peers
        self._log = log
        self._rng = rng
        self._now = now
        peers.register_handler(PATH, self.encode)

    def encode(self, fields: Mapping[str, str] | None = None) -> bytes | None:
        """Encodes the answer to another instance; None if there is none.

        Args:
            fields: Query parameters; ``lost_s`` is for how long the other
                instance has had no answer of the store.
        """
        interval = self._contact.interval()
        if interval is None:
            return None
        try:
            lost_s = msgspec.convert(
                (fields or {}).get("lost_s", "0"), _AgeS, strict=False
            )
        except msgspec.ValidationError as exc:
            self._log.warning("question_unreadable", detail=str(exc))
            return None
        now = self._now()
        message = _Message(
            since_age_s=now - interval.since_s,
            until_age_s=now - interval.until_s,
            leaving=self._departures.keys(now - lost_s),
        )
        return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def ask(self, lost_s: float) -> list[Answer]:
        """Returns the answers of some other instances.

        Args:
            lost_s: For how long this instance has had no answer of the store.
        """
        target = f"{PATH}?lost_s={lost_s:.3f}"
        calls = [
            gevent.spawn(self._ask_one, member.address, target)
            for member in self._some()
        ]
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

    def _ask_one(self, address: str, target: str) -> Answer | None:
        sent_s = self._now()
        answer = self._peers.request(address, target, timeout_s=_TIMEOUT_S)
        if isinstance(answer, result.Err):
            # Gone, cut off as well, or without an interval.
            return None
        received_s = self._now()
        try:
            message = msgspec.convert(cbor2.loads(answer.ok_value), _Message)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning(
                "store_contact_unreadable", address=address, detail=str(exc)
            )
            return None
        # The interval is not overstated by the time that the exchange took.
        interval = store_contact.Interval(
            since_s=received_s - message.since_age_s,
            until_s=sent_s - message.until_age_s,
        )
        return Answer(interval=interval, leaving=tuple(message.leaving))
