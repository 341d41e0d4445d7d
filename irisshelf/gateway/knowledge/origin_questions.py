"""Asks all other instances at once for origins of streams.

Which instances keep an origin may be unknown to the one that looks for it, as
views of who is alive differ for seconds after many instances have ended. A
question is a datagram to each known instance. One of each other data centre
forwards it there, as not all of its instances are known; where few are known,
as just after a start, all do. Only those that keep an origin answer. Streams
that are resumed at the same moment share questions.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import gevent
import msgspec
from gevent import event

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import peer_discovery

# If fewer instances of a data centre are known, they forward questions there.
_FEW = 8
# Most instances of another data centre that are asked.
_MAX_REMOTE = 32
_KEYS_PER_DATAGRAM = 120
# Questions are gathered for longer if there are more instances than these, up
# to a share of the time for the search.
_GATHERED_UP_TO = 85
_GATHER_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Times of a search for an origin, in seconds.

    Attributes:
        all_asked_after_s: After which time without success all are asked.
        find_s: How long that may take.
        gather_s: How long questions are gathered to share datagrams.
        gather_again_s: The same for those that soon follow others.
    """

    all_asked_after_s: float = 0.02
    find_s: float = 0.18
    gather_s: float = 0.004
    gather_again_s: float = 0.04


class _Question(msgspec.Struct, array_like=True):
    # Keys of streams, one after the other.
    keys: bytes
    # Address to which origins are to be sent.
    address: str
    # Whether the receiver asks the others of its data centre.
    forward: bool = False

    def __post_init__(self):
        datagrams_module.check_address(self.address)


class OriginQuestions:
    """Asks all other instances, and receives their questions.

    Args:
        datagrams: Carries questions.
        peers: The other instances.
        rng: Selects those that forward questions.
        timing: Times of a search.
        on_question: Called with the keys that another instance looks for and
            its address.
        on_sent: Called with the number of bytes of each datagram.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams_module.Datagrams,
        peers: peer_discovery.PeerDiscovery,
        rng: random.Random,
        timing: Timing,
        on_question: Callable[[list[bytes], str], None],
        on_sent: Callable[[int], None],
        now: Callable[[], float],
    ):
        self._datagrams = datagrams
        self._membership = peers.membership
        self._peers = peers
        self._rng = rng
        self._timing = timing
        self._on_question = on_question
        self._on_sent = on_sent
        self._now = now
        # What is looked for: by key, set once it is known, and how many wait.
        self._searches: dict[bytes, event.Event] = {}
        self._waiting: collections.Counter[bytes] = collections.Counter()
        self._gathered: set[bytes] = set()
        self._sent_s = -math.inf
        datagrams.subscribe(
            datagrams_module.Kind.STREAM_QUESTIONS, self.receive
        )

    def ask(self, key: bytes) -> event.Event:
        """Asks all others for an origin; returns what is set once it is known.

        Searches for the same key share the event.
        """
        found = self._searches.setdefault(key, event.Event())
        self._waiting[key] += 1
        is_first = not self._gathered
        self._gathered.add(key)
        gather_s = self._gather_s()
        if not gather_s:
            self.flush()
        elif is_first:
            gevent.spawn_later(gather_s, self.flush)
        return found

    def end(self, key: bytes) -> None:
        """Ends a search, of which others for the same key may go on."""
        self._waiting[key] -= 1
        if self._waiting[key] <= 0:
            del self._waiting[key]
            self._searches.pop(key, None)

    def record_known(self, keys: Iterable[bytes]) -> None:
        """Wakes those that look for origins which are known now."""
        for key in keys:
            found = self._searches.get(key)
            if found is not None:
                found.set()

    def receive(self, content: Any) -> None:
        """Handles the content of a datagram.

        Raises:
            ValueError: The content is not a valid question.
        """
        question = msgspec.convert(content, _Question)
        size = stream_origins.KEY_BYTES
        if not question.keys or len(question.keys) % size:
            raise ValueError(
                f"keys has {len(question.keys)} bytes, "
                f"allowed: multiples of {size}"
            )
        keys = [
            question.keys[i : i + size]
            for i in range(0, len(question.keys), size)
        ]
        self._on_question(keys, question.address)
        if question.forward:
            own = self._membership.own.data_centre
            for member in self._peers.members():
                if member.data_centre == own:
                    self._send(member.address, question.keys, question.address)

    def _gather_s(self) -> float:
        again_s = self._timing.gather_again_s
        again_s *= max(1.0, len(self._peers.members()) / _GATHERED_UP_TO)
        again_s = min(again_s, _GATHER_SHARE * self._timing.find_s)
        soon = self._now() - self._sent_s < again_s
        return again_s if soon else self._timing.gather_s

    def flush(self) -> None:
        """Sends the questions that have been gathered."""
        if not self._gathered:
            return
        self._sent_s = self._now()
        keys, self._gathered = sorted(self._gathered), set()
        for begin in range(0, len(keys), _KEYS_PER_DATAGRAM):
            some = b"".join(keys[begin : begin + _KEYS_PER_DATAGRAM])
            self._send_to_all(some)

    def _send_to_all(self, keys: bytes) -> None:
        own = self._membership.own
        by_data_centre: dict[str, list[membership_module.Member]] = {}
        for member in self._peers.members():
            by_data_centre.setdefault(member.data_centre, []).append(member)
        for data_centre, members in by_data_centre.items():
            asked, forwarders = members, 0
            if data_centre != own.data_centre:
                count = min(_MAX_REMOTE, len(members))
                asked, forwarders = self._rng.sample(members, count), 1
            if len(members) < _FEW:
                forwarders = len(asked)
            for number, member in enumerate(asked):
                self._send(
                    member.address,
                    keys,
                    own.address,
                    forward=number < forwarders,
                )

    def _send(
        self, receiver: str, keys: bytes, address: str, *, forward: bool = False
    ) -> None:
        question = _Question(keys=keys, address=address, forward=forward)
        data = datagrams_module.encode(
            datagrams_module.Kind.STREAM_QUESTIONS,
            msgspec.to_builtins(question, builtin_types=(bytes,)),
        )
        self._datagrams.send(receiver, data)
        self._on_sent(len(data))
