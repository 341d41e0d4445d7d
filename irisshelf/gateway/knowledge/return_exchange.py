"""Recognises returning callers at all instances.

An instance that assigns a reservation sends it to its two holders, the first
two instances of the data centre, itself included, in the ranking by the
caller's fingerprint, and to one in each other data centre. An instance that is
about to reject a request asks the holders of its data centre, and waits 10 ms
at most. The question uses the reservation if it is due, so that one of two
instances that ask at the same time is told that it has been used. Holders may
be asked in different orders: of two answers, that of the first holder counts.

If no holder answers, the caller is treated as one that has not been rejected
before: it loses its reservation, not its request. So does one that returns in a
data centre that the reservation has not reached. What has been used is known
in one data centre only. Nothing is sent while nothing is rejected.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import msgspec
from gevent import event

from irisshelf.coordination import membership as membership_module
from irisshelf.coordination import stream_origins
from irisshelf.gateway import metrics
from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.gateway.knowledge import remote_reservations
from irisshelf.gateway.knowledge import return_messages
from irisshelf.gateway.servers import return_registry
from irisshelf.observe import decision_log
from irisshelf.overload import reservations

_HOLDERS = 2
# How long the answers of holders are waited for. A rejection must not take
# longer than some milliseconds.
ANSWER_TIMEOUT_S = 0.01


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
        log: Tells of reservations that were not sent.
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
        log: decision_log.DecisionLog,
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
        self._remote = remote_reservations.RemoteReservations(
            datagrams=datagrams,
            membership=membership,
            counts=counts,
            log=log,
            rng=rng,
            now=now,
        )
        # Queries that wait for an answer, and the rank of the holder that was
        # asked, by the number of the question.
        self._open: dict[int, tuple[_Query, int]] = {}
        datagrams.subscribe(
            datagrams_module.Kind.RETURN_PLACES, self.receive_places
        )
        datagrams.subscribe(
            datagrams_module.Kind.RETURN_QUESTIONS, self.receive_question
        )
        datagrams.subscribe(
            datagrams_module.Kind.REMOTE_RETURN_PLACES,
            self.receive_remote_place,
        )

    def record(self, fingerprint: bytes, due_s: float) -> None:
        """Records a reservation and sends it to its holders at once.

        Other data centres get it as well.

        A caller that ignores its Retry-After returns within milliseconds; the
        holders have to know the reservation by then.

        Args:
            fingerprint: Fingerprint of the caller's request.
            due_s: When it is due, in monotonic seconds.
        """
        super().record(fingerprint, due_s)
        remaining_ms = return_messages.milliseconds(due_s - self._now())
        record = return_messages.encode_record(fingerprint, remaining_ms)
        for member in self._holders(fingerprint):
            if member != self._membership.own:
                self._send(
                    member.address,
                    datagrams_module.Kind.RETURN_PLACES,
                    return_messages.Places(records=record),
                )
        self._remote.send(fingerprint, remaining_ms)

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
        records = msgspec.convert(content, return_messages.Places).records
        now = self._now()
        for fingerprint, remaining_ms in return_messages.decode_records(
            records
        ):
            self._kept.record(fingerprint, now + remaining_ms / 1000, now)

    def receive_remote_place(self, content: Any) -> None:
        """Handles the content of a datagram from another data centre.

        Raises:
            ValueError: The content is not a valid message.
        """
        records = msgspec.convert(content, return_messages.Places).records
        found = return_messages.decode_records(records)
        if len(found) > 1:
            # Each may have to be passed on, so that a sender could cause much
            # more traffic than its own.
            raise ValueError(f"number of records is {len(found)}, allowed: 1")
        ((fingerprint, remaining_ms),) = found
        holders = self._holders(fingerprint)
        if self._membership.own in holders:
            now = self._now()
            self._kept.record(fingerprint, now + remaining_ms / 1000, now)
        else:
            self._remote.pass_on(fingerprint, remaining_ms, holders)

    def receive_question(self, content: Any) -> None:
        """Handles the content of a datagram with a question or an answer.

        Raises:
            ValueError: The content is not a valid message.
        """
        self._handle(
            msgspec.convert(
                content, return_messages.Question | return_messages.Answer
            )
        )

    @functools.singledispatchmethod
    def _handle(
        self, message: return_messages.Question | return_messages.Answer
    ) -> None:
        raise TypeError(f"message is {message!r}, allowed: a question, answer")

    @_handle.register
    def _(self, message: return_messages.Question) -> None:
        claim = super().claim(message.fingerprint)
        answer = return_messages.Answer(
            number=message.number,
            state=claim.state,
            remaining_ms=return_messages.milliseconds(claim.wait_s),
        )
        self._send(
            message.address, datagrams_module.Kind.RETURN_QUESTIONS, answer
        )

    @_handle.register
    def _(self, message: return_messages.Answer) -> None:
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
            question = return_messages.Question(
                number=number, fingerprint=fingerprint, address=own.address
            )
            self._send(
                member.address,
                datagrams_module.Kind.RETURN_QUESTIONS,
                question,
            )
        return numbers

    def _unused_number(self) -> int:
        while (
            number := self._rng.getrandbits(return_messages.NUMBER_BITS)
        ) in self._open:
            pass
        return number

    def _send(
        self,
        address: str,
        kind: datagrams_module.Kind,
        message: return_messages.Places
        | return_messages.Question
        | return_messages.Answer,
    ) -> None:
        content = msgspec.to_builtins(message, builtin_types=(bytes,))
        data = datagrams_module.encode(kind, content)
        self._datagrams.send(address, data)
        self._metrics.return_bytes.inc(len(data) + return_messages.HEADER_BYTES)
