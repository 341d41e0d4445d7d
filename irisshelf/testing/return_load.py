"""Instances that assign reservations at a rate, in simulated time."""

from __future__ import annotations

import collections
import random

from irisshelf.gateway.knowledge import datagrams
from irisshelf.overload import reservations
from irisshelf.testing import return_network

# Datagrams take this long between two data centres.
_REMOTE_S = (0.01, 0.03)
# Instances of other data centres become known at this interval.
_HEARTBEAT_S = 2.5
# Reservations are due after this time, and callers return early at once.
_DUE_S = 1.0
_RETURN_S = 0.1
# Kind, array, length, record, IP and UDP headers.
PLACE_BYTES = 3 + 20 + 28


class Load:
    """Instances that send reservations to each other, and are asked for them.

    Args:
        size: Number of instances.
        data_centres: Number of data centres, at most 26.
        known: How many instances of each other data centre an instance knows;
            all if None.
        for_s: How long reservations are assigned.
        per_s: How many are assigned in a second by all instances together.
        only: The data centre that assigns them; all if empty.

    Attributes:
        network: The instances.
        asked: How many callers have returned, too early, in another data
            centre.
        recognised: How many of these have been recognised.
    """

    def __init__(
        self,
        *,
        size: int,
        data_centres: int,
        known: int | None,
        for_s: float,
        per_s: float,
        only: str = "",
    ):
        self.network = return_network.Network(
            [f"{chr(97 + n % data_centres)}-{n}" for n in range(size)],
            known=known,
        )
        self.network.remote_s = _REMOTE_S
        self.asked = 0
        self.recognised = 0
        self._rng = random.Random(1)
        self._returning: collections.deque[tuple[float, str, bytes]] = (
            collections.deque()
        )
        # Sent and received within data centres, as by the earlier build.
        self._local: collections.Counter[str] = collections.Counter()
        self._for_s = for_s
        self._names = list(self.network.instances)
        self._run(per_s, [n for n in self._names if n.startswith(only)])

    @property
    def recognised_share(self) -> float:
        """Share of the callers that have been recognised."""
        return self.recognised / self.asked

    def bytes_per_s(self) -> list[float]:
        """Returns what each instance has sent and received in a second.

        Only what is sent for other data centres is counted, with headers.
        """
        counts: collections.Counter[str] = collections.Counter()
        for sums in (self.network.sent_bytes, self.network.received_bytes):
            for (name, kind), size in sums.items():
                if kind != datagrams.Kind.RETURN_QUESTIONS:
                    counts[name] += size
        return [(counts[n] - self._local[n]) / self._for_s for n in self._names]

    def _run(self, per_s: float, rejecting: list[str]) -> None:
        heartbeat = int(_HEARTBEAT_S * per_s)
        for number in range(int(per_s * self._for_s)):
            if number % heartbeat == 0:
                self.network.keep_known()
            self._assign(self._rng.choice(rejecting))
            self.network.advance(1 / per_s)
            self._return()

    def _assign(self, name: str) -> None:
        fingerprint = self._rng.randbytes(16)
        now = self.network.now
        self.network.instances[name].exchange.record(fingerprint, now + _DUE_S)
        self._returning.append((now + _RETURN_S, name, fingerprint))
        for holder in self.network.ranked(fingerprint, name[0])[:2]:
            if holder != name:
                self._local[name] += PLACE_BYTES
                self._local[holder] += PLACE_BYTES

    def _return(self) -> None:
        while self._returning and self._returning[0][0] <= self.network.now:
            _, rejected_at, fingerprint = self._returning.popleft()
            name = self._rng.choice(self._names)
            if name[0] == rejected_at[0]:
                continue
            self.asked += 1
            claim = self.network.instances[name].exchange.claim(fingerprint)
            self.recognised += claim.state is reservations.State.EARLY
