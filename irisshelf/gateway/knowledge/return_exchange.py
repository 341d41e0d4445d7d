"""Recognises returning callers at all instances of a data centre.

An instance that assigns a reservation sends it to its two holders, the first
two instances of the data centre, itself included, in the ranking by the
caller's fingerprint. An instance that is about to reject a request asks them,
and waits 10 ms at most. The question uses the reservation if it is due, so that
one of two instances that ask at the same time is told that it has been used.
Holders may be asked in different orders: of two answers, that of the first
holder counts.

If no holder answers, the caller is treated as one that has not been rejected
before: it loses its reservation, not its request. Nothing is sent while nothing
is rejected.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Annotated
from typing import Any

import msgspec
from gevent import event

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.servers import return_registry
from irisshelf.overload import reservations
from irisshelf.overload import returns
from irisshelf.routing import fingerprints

_HOLDERS = 2
# How long the answers of holders are waited for. A rejection must not take
# longer than some milliseconds.
ANSWER_TIMEOUT_S = 0.01
_REMAINING_BYTES = 4
RECORD_BYTES = fingerprints.CONTENT_BYTES + _REMAINING_BYTES
_MAX_REMAINING_MS = int(returns.MAX_AHEAD_S * 1000)
_NUMBER_BITS = 32
# IP and UDP headers.
_HEADER_BYTES = 28

_Number = Annotated[int, msgspec.Meta(ge=0, lt=2**_NUMBER_BITS)]
_RemainingMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_REMAINING_MS)]


class _Places(msgspec.Struct, array_like=True):
    # Fingerprints, each followed by the time until it is due in ms.
    records: bytes


class _Question(msgspec.Struct, array_like=True, tag=0):
    # Repeated in the answer; random, so that answers cannot be forged blindly.
    number: _Number
    fingerprint: bytes
    # Address to which the answer is to be sent.
    address: str

    def __post_init__(self):
        if len(self.fingerprint) != fingerprints.CONTENT_BYTES:
            raise ValueError(
                f"fingerprint has {len(self.fingerprint)} bytes, "
                f"allowed: {fingerprints.CONTENT_BYTES}"
            )
        datagrams_module.check_address(self.address)


class _Answer(msgspec.Struct, array_like=True, tag=1):
    number: _Number
    state: reservations.State
    # Time until the reservation is due.
    remaining_ms: _RemainingMs


class _Query:
    """What the holders of one reservation answer, in their ranking's order."""

    def __init__(self):
        self.answers: list[reservations.Claim | None] = []
        self.decided = event.Event()

    def record(self, rank: int, claim: reservations.Claim) -> None:
        """Records an answer."""
        self.answers[rank] = claim
        if self.is_decided():
            self.decided.set()

    def is_decided(self) -> bool:
        """Returns whether no further answer can change the result."""
        for claim in self.answers:
            if claim is None:
                return False
            if claim.state is not reservations.State.UNKNOWN:
                return True
        return True

    def result(self) -> reservations.Claim:
        """Returns the first answer of a holder that knows the reservation."""
        for claim in self.answers:
            if claim is not None and (
                claim.state is not reservations.State.UNKNOWN
            ):
                return claim
        return reservations.UNKNOWN


class ReturnExchange(return_registry.ReturnRegistry):
    """Sends reservations to their holders, and asks these for them.

    Args:
        datagrams: Carries reservations, questions and answers.
        membership: The other instances.
        counts: Metrics.
        rng: Used for the schedule and for the numbers of questions.
        now: Monotonic seconds.
        answer_timeout_s: How long answers are waited for.
    """

    def __init__(
        self,
        *,
        datagrams: datagrams_module.Datagrams,
        membership: membership_module.Membership,
        counts: metrics.Metrics,
        rng: random.Random,
        now: Callable[[], float],
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ):
        super().__init__(draw=rng.random, now=now)
        self._datagrams = datagrams
        self._membership = membership
        self._metrics = counts
        self._rng = rng
        self._answer_timeout_s = answer_timeout_s
        # Queries that wait for an answer, and the rank of the holder that was
        # asked, by the number of the question.
        self._open: dict[int, tuple[_Query, int]] = {}
        datagrams.subscribe(
            datagrams_module.Kind.RETURN_PLACES, self.receive_places
        )
        datagrams.subscribe(
            datagrams_module.Kind.RETURN_QUESTIONS, self.receive_question
        )

    def record(self, fingerprint: bytes, due_s: float) -> None:
        """Records a reservation and sends it to its holders at once.

        A caller that ignores its Retry-After returns within milliseconds; the
        holders have to know the reservation by then.

        Args:
            fingerprint: Fingerprint of the caller's request.
            due_s: When it is due, in monotonic seconds.
        """
        super().record(fingerprint, due_s)
        remaining_ms = _milliseconds(due_s - self._now())
        record = fingerprint + remaining_ms.to_bytes(_REMAINING_BYTES)
        for member in self._holders(fingerprint):
            if member != self._membership.own:
                self._send(
                    member.address,
                    datagrams_module.Kind.RETURN_PLACES,
                    _Places(records=record),
                )

    def claim(self, fingerprint: bytes) -> reservations.Claim:
        """Uses the reservation of a caller that returns now, if it is due.

        Waits for the answers of the holders.
        """
        holders = self._holders(fingerprint)
        query = _Query()
        query.answers = [None] * len(holders)
        numbers = self._ask(query, holders, fingerprint)
        try:
            if not query.is_decided():
                query.decided.wait(self._answer_timeout_s)
        finally:
            # Answers that arrive later are ignored.
            for number in numbers:
                del self._open[number]
        result = query.result()
        silent = 0
        if not query.is_decided():
            silent = query.answers.count(None)
            self._metrics.silent_holders.inc(silent)
        if result.state is reservations.State.UNKNOWN:
            # The instance that has assigned a reservation keeps it as well.
            result = super().claim(fingerprint)
        return dataclasses.replace(result, silent=silent)

    def receive_places(self, content: Any) -> None:
        """Handles the content of a datagram with reservations.

        Raises:
            ValueError: The content is not a valid message.
        """
        records = msgspec.convert(content, _Places).records
        if not records or len(records) % RECORD_BYTES:
            raise ValueError(
                f"records has {len(records)} bytes, "
                f"allowed: multiples of {RECORD_BYTES}"
            )
        now = self._now()
        for fingerprint, remaining_ms in _split(records):
            self._kept.record(fingerprint, now + remaining_ms / 1000, now)

    def receive_question(self, content: Any) -> None:
        """Handles the content of a datagram with a question or an answer.

        Raises:
            ValueError: The content is not a valid message.
        """
        self._handle(msgspec.convert(content, _Question | _Answer))

    @functools.singledispatchmethod
    def _handle(self, message: _Question | _Answer) -> None:
        raise TypeError(f"message is {message!r}, allowed: a question, answer")

    @_handle.register
    def _(self, message: _Question) -> None:
        claim = super().claim(message.fingerprint)
        answer = _Answer(
            number=message.number,
            state=claim.state,
            remaining_ms=_milliseconds(claim.wait_s),
        )
        self._send(
            message.address, datagrams_module.Kind.RETURN_QUESTIONS, answer
        )

    @_handle.register
    def _(self, message: _Answer) -> None:
        asked = self._open.get(message.number)
        if asked is None:
            # Its query has ended: its result was clear or it came too late,
            # which the query has counted and reported.
            return
        query, rank = asked
        query.record(
            rank,
            reservations.Claim(
                state=message.state, wait_s=message.remaining_ms / 1000
            ),
        )

    def _holders(self, fingerprint: bytes) -> list[membership_module.Member]:
        """Returns the instances that hold a reservation, the first one first.

        All instances rank alike, as each includes itself.
        """
        own = self._membership.own
        others = self._membership.members(own.data_centre, self._now())
        everyone = [own, *(member for member, _ in others)]
        ranked = stream_origins.rank_replicas(everyone, fingerprint)
        return ranked[:_HOLDERS]

    def _ask(
        self,
        query: _Query,
        holders: Sequence[membership_module.Member],
        fingerprint: bytes,
    ) -> list[int]:
        """Asks the holders; returns the numbers of the questions."""
        own = self._membership.own
        numbers = []
        for rank, member in enumerate(holders):
            if member == own:
                query.record(rank, super().claim(fingerprint))
                if query.is_decided():
                    # This is the first holder, and its answer counts.
                    break
                continue
            number = self._unused_number()
            numbers.append(number)
            self._open[number] = (query, rank)
            question = _Question(
                number=number, fingerprint=fingerprint, address=own.address
            )
            self._send(
                member.address,
                datagrams_module.Kind.RETURN_QUESTIONS,
                question,
            )
        return numbers

    def _unused_number(self) -> int:
        while (number := self._rng.getrandbits(_NUMBER_BITS)) in self._open:
            pass
        return number

    def _send(
        self,
        address: str,
        kind: datagrams_module.Kind,
        message: _Places | _Question | _Answer,
    ) -> None:
        content = msgspec.to_builtins(message, builtin_types=(bytes,))
        data = datagrams_module.encode(kind, content)
        self._datagrams.send(address, data)
        self._metrics.return_bytes.inc(len(data) + _HEADER_BYTES)


def _milliseconds(remaining_s: float) -> int:
    return min(max(0, round(remaining_s * 1000)), _MAX_REMAINING_MS)


def _split(records: bytes) -> list[tuple[bytes, int]]:
    """Returns fingerprints and the times until they are due in ms.

    Raises:
        ValueError: A time is too long.
    """
    found = []
    for begin in range(0, len(records), RECORD_BYTES):
        record = records[begin : begin + RECORD_BYTES]
        fingerprint = record[: fingerprints.CONTENT_BYTES]
        remaining_ms = int.from_bytes(record[fingerprints.CONTENT_BYTES :])
        if remaining_ms > _MAX_REMAINING_MS:
            raise ValueError(
                f"remaining time is {remaining_ms} ms, "
                f"allowed: at most {_MAX_REMAINING_MS}"
            )
        found.append((fingerprint, remaining_ms))
    return found
