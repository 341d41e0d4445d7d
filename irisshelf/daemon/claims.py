"""Carries out claims: groups inserts and settles lost answers."""

from __future__ import annotations

import collections
import uuid

import gevent
import result
from gevent import event

from irisshelf.coordination import claim
from irisshelf.daemon import pending_claim
from irisshelf.observe import metrics
from irisshelf.store import interface
from irisshelf.store import messages

_RECORD_EVERY_S = 2.0
_MAX_RECORDS = 4096


class ClaimWriter:
    """Makes claims for the requests of this instance.

    One transaction of claims is on its way at a time; claims that come
    meanwhile go into the next one together. Outcomes are written by a loop of
    their own, together, ``_RECORD_EVERY_S`` apart: no caller waits for them,
    and no claim may wait behind them.

    Args:
        platform: The table.
        counts: Metrics.
    """

    def __init__(
        self, *, platform: interface.Platform, counts: metrics.Metrics
    ):
        self._platform = platform
        self._counts = counts
        self._pending: collections.deque[pending_claim.PendingClaim] = (
            collections.deque()
        )
        self._records: collections.deque[messages.Write] = collections.deque(
            maxlen=_MAX_RECORDS
        )
        self._wake = event.Event()
        self._wake_records = event.Event()
        self.writes = 0

    def claim(
        self, row: str
    ) -> claim.Granted | claim.Duplicate | claim.Refused:
        """Makes a claim; returns when it is decided."""
        waiting = pending_claim.PendingClaim(
            claim=claim.Claim(row=row, claim_id=uuid.uuid4().hex),
            decided=event.AsyncResult(),
        )
        self._pending.append(waiting)
        self._wake.set()
        return waiting.decided.get()

    def record(
        self, granted: claim.Granted, recorded: claim.RecordedOutcome
    ) -> None:
        """Keeps a call's outcome for repeats of its key."""
        self._records.append(claim.outcome_write(granted, recorded))

    def release(self, granted: claim.Granted) -> None:
        """Gives up a claim whose call did not run, so a repeat may run."""
        self._records.append(claim.release_write(granted))
        self._wake_records.set()

    def run(self) -> None:
        """Carries out claims for ever."""
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                self._insert_some()

    def run_records(self) -> None:
        """Writes outcomes for ever; releases go at once."""
        while True:
            self._wake_records.wait(timeout=_RECORD_EVERY_S)
            self._wake_records.clear()
            self._write_records()

    def _insert_some(self) -> None:
        pending = pending_claim.take(self._pending, limit=claim.MAX_BATCH)
        claims = [waiting.claim for waiting in pending]
        self.writes += 1
        answer = self._platform.transact(
            [claim.insert_write(c) for c in claims]
        )
        steps = claim.after_insert(claims, answer)
        for waiting, step in zip(pending, steps, strict=True):
            self._carry_out(waiting, step)

    def _carry_out(
        self, waiting: pending_claim.PendingClaim, step: claim.Step
    ) -> None:
        self._counts.claims.labels(type(step).__name__.lower()).inc()
        if isinstance(step, claim.ReadBack):
            gevent.spawn(self._read_back, waiting)
        elif isinstance(step, claim.Insert):
            self._pending.append(pending_claim.again(waiting, step.claim))
            self._wake.set()
        else:
            waiting.decided.set(step)

    def _read_back(self, waiting: pending_claim.PendingClaim) -> None:
        answer = self._platform.read(waiting.claim.row)
        self._carry_out(waiting, claim.after_read(waiting.claim, answer))

    def _write_records(self) -> None:
        """Writes outcomes; a conflict costs only the record, not the claim."""
        while self._records:
            some = [
                self._records.popleft()
                for _ in range(min(len(self._records), claim.MAX_BATCH))
            ]
            self.writes += 1
            answer = self._platform.transact(some)
            if isinstance(answer, result.Err) and len(some) > 1:
                self._write_singly(some)

    def _write_singly(self, writes: list[messages.Write]) -> None:
        for write in writes:
            self.writes += 1
            self._platform.transact([write])
