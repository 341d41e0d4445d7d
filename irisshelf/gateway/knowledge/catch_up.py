"""Asks peers for what an instance that starts cannot read elsewhere.

The data of a peer may be incomplete: one that has just started has received no
more than the instance that asks. An answer therefore contains for how long its
sender has received all data, and further instances are asked until one that has
done so for long enough has answered.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Mapping
from typing import Annotated
from typing import TypeVar

import cbor2
import gevent
import msgspec
from gevent import event

from irisshelf.catalog import departures as departures_module
from irisshelf.coordination import facts
from irisshelf.gateway.knowledge import peer_discovery
from irisshelf.observe import decision_log

# Path at which an instance serves the servers that leave.
DEPARTURES_PATH = "/departures"
# Later, no entry that was written late contradicts a departure.
DEPARTURES_NEEDED_S = departures_module.RETURN_S
# Delays, and numbers of instances asked. Others are known some tenths of a
# second after the start; most may have started then too, and know as little.
ROUNDS = ((0.05, 4), (0.1, 8), (0.2, 16), (0.8, 100))
# Further attempts if no instance was known or none answered.
_LATER_DELAY_S = 0.5
_LATER_ATTEMPTS = 18
# All instances know one that has started, and send it what happens, once they
# have refreshed their memberships.
_KNOWN_AFTER_S = 5.0
_MAX_REACH_S = 3600.0
_MAX_DETAIL_CHARS = 200
# Query field of requests whose sender reads envelopes.
_ENVELOPE_FIELD = "envelope"

_Form = TypeVar("_Form")


class Rounds:
    """Asks more and more instances until what is needed is known.

    Args:
        target: Path, and query if there is one, of the requests.
        peers: Carries requests.
        rng: Selects whom to ask.
        apply: Applies an answer.
        is_complete: Returns whether nothing more is needed.
    """

    def __init__(
        self,
        *,
        target: str,
        peers: peer_discovery.PeerDiscovery,
        rng: random.Random,
        apply: Callable[[bytes], object],
        is_complete: Callable[[], bool],
    ):
        self._target = target
        self._peers = peers
        self._rng = rng
        self._apply = apply
        self._is_complete = is_complete
        self._answered = False

    def run(self, *, until_complete: bool = True) -> bool:
        """Asks in rounds, for some seconds.

        Rounds in which no instance is known do not count.

        Args:
            until_complete: Whether to end once nothing more is needed, as more
                cannot be needed later.

        Returns:
            Whether nothing more is needed.
        """
        delays_s = [delay_s for delay_s, _ in ROUNDS]
        counts = [count for _, count in ROUNDS]
        for delay_s in [*delays_s, *[_LATER_DELAY_S] * _LATER_ATTEMPTS]:
            gevent.sleep(delay_s)
            if self.ask(counts[0] if counts else ROUNDS[-1][1]):
                counts = counts[1:]
            is_over = self._answered and not counts
            if is_over or (until_complete and self._is_complete()):
                break
        return self._is_complete()

    def ask(self, count: int) -> bool:
        """Asks some instances, unless nothing more is needed.

        Returns:
            Whether any was asked.
        """
        if self._is_complete():
            return False
        members = self._peers.members()
        asked = self._rng.sample(members, min(count, len(members)))
        for data in self._peers.request_each(asked, self._target):
            self._answered = True
            self._apply(data)
        return bool(asked)


class _Envelope(msgspec.Struct):
    # For how long the sender has received all data.
    reach_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_REACH_S)]
    content: bytes


class CatchUp:
    """Serves what this instance knows to peers, and asks them for theirs.

    An answer is a map with the content and for how long its sender has received
    all data. It is sent only to instances that ask for it; others get the
    content alone, which is an array, as older builds send it. Such an answer
    does not show that it is complete.

    Args:
        path: Where the content is served.
        encode: Returns the content.
        apply: Applies a peer's content; returns whether it was readable.
        needed_s: For how long back everything has to be known.
        peers: Carries requests.
        rng: Selects whom to ask.
        now: Monotonic seconds.

    Attributes:
        answered: Set once an answer has been applied, whatever it proves.
    """

    def __init__(
        self,
        *,
        path: str,
        encode: Callable[[], bytes],
        apply: Callable[[bytes], bool],
        needed_s: float,
        peers: peer_discovery.PeerDiscovery,
        rng: random.Random,
        now: Callable[[], float],
    ):
        self._encode = encode
        self._apply_content = apply
        self._needed_s = needed_s
        self._now = now
        self._began_s = now()
        self.answered = event.Event()
        self._reach_s = 0.0
        # Whether all that others know has been asked for.
        self._has_asked = False
        self._rounds = Rounds(
            target=f"{path}?{_ENVELOPE_FIELD}=1",
            peers=peers,
            rng=rng,
            apply=self.apply,
            is_complete=self.is_complete,
        )
        peers.register_handler(path, self.answer)

    def run(self) -> bool:
        """Asks peers in rounds; returns whether everything needed is known."""
        is_complete = self._rounds.run()
        self._has_asked = True
        return is_complete

    def ask(self, count: int) -> bool:
        """Asks some peers, see ``Rounds.ask``."""
        return self._rounds.ask(count)

    def is_complete(self) -> bool:
        """Returns whether one that has lived for long enough has answered."""
        return self._reach_s >= self._needed_s

    def answer(self, fields: Mapping[str, str]) -> bytes:
        """Answers a peer.

        Args:
            fields: Query parameters.
        """
        content = self._encode()
        if _ENVELOPE_FIELD not in fields:
            return content
        reach_s = self._now() - self._began_s - _KNOWN_AFTER_S
        if self._has_asked and reach_s >= 0:
            # What none of those that were asked knew, nobody knows.
            reach_s = _MAX_REACH_S
        return cbor2.dumps(
            {
                "reach_s": min(max(0.0, reach_s), _MAX_REACH_S),
                "content": content,
            }
        )

    def apply(self, data: bytes) -> None:
        """Applies the result of a peer's ``answer``."""
        envelope = _open(data)
        if self._apply_content(envelope.content):
            self._reach_s = max(self._reach_s, envelope.reach_s)
            self.answered.set()


def decode(data: bytes, form: type[_Form]) -> _Form:
    """Decodes what a peer has sent.

    Raises:
        ValueError: It has another form; the message is short.
    """
    try:
        return msgspec.convert(cbor2.loads(data), form)
    except (
        ValueError,
        TypeError,
        RecursionError,
        MemoryError,
        OverflowError,
        cbor2.CBORDecodeError,
    ) as exc:
        raise ValueError(str(exc)[:_MAX_DETAIL_CHARS]) from exc


def _open(data: bytes) -> _Envelope:
    """Returns an answer's content; all that is no envelope is content."""
    try:
        return decode(data, _Envelope)
    except ValueError:
        return _Envelope(reach_s=0.0, content=data)


class DepartureExchange:
    """Serves the servers that leave to peers, and applies those of a peer.

    Args:
        known: The servers that have announced that they leave.
        on_fact: Called with each of a peer's.
        log: Receives decoding errors.
    """

    def __init__(
        self,
        *,
        known: departures_module.Departures,
        on_fact: Callable[[facts.Fact], None],
        log: decision_log.DecisionLog,
    ):
        self._known = known
        self._on_fact = on_fact
        self._log = log

    def encode(self) -> bytes:
        """Encodes the known servers, for ``apply``."""
        return cbor2.dumps(self._known.keys())

    def apply(self, data: bytes) -> bool:
        """Applies the result of a peer's ``encode``.

        Returns:
            Whether it was readable.
        """
        try:
            keys = decode(data, list[bytes])
        except ValueError as exc:
            self._log.warning("departures_unreadable", detail=str(exc))
            return False
        for key in keys:
            self._on_fact(facts.ServerLeaving(server=key))
        return True
