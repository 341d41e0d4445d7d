"""Ways in which a reservation becomes known in other data centres, compared.

In simulated time. First on a model of the messages alone: instances reject
callers, assign reservations, and callers return in another data centre.

- ``query``: an instance that is about to reject a caller that its own data
  centre does not know asks one instance of each other data centre.
- ``send``: an instance that assigns a reservation sends it to one instance of
  each other data centre.

Either receiver passes on what another instance of its data centre keeps. Given
are bytes a second of an instance, sent and received with IP and UDP headers; by
how much rejections are delayed; the share of the callers that are recognised.
"""

from __future__ import annotations

import collections
import random
import statistics

from irisshelf.coordination import token_bucket
from irisshelf.gateway.knowledge import datagrams
from irisshelf.overload import returns
from irisshelf.testing import return_load

_WAYS = ("query", "send")
# Instances, data centres, requests per second.
_FLEETS = ((8, 2, 1500), (64, 4, 2000), (400, 14, 1000), (400, 14, 4000))
_OVERLOAD = 2.4
_MEASURED_S = 10.0
# Datagrams take this long between two data centres.
_REMOTE_S = (0.01, 0.03)
# Answers are waited for no longer than the longest round trip.
_TIMEOUT_S = 2 * _REMOTE_S[1]
# An instance knows no more than this of another data centre's instances: three
# more with each membership query, for 20 s.
_KNOWN = 24
# Sent by an instance at 400 instances; a smaller fleet sends as much.
_LIMIT_BYTES_PER_S = 310.0
_BURST_S = 6.0
_LIMIT_INSTANCES = 400
_HEADER_BYTES = 28
_RECORD_BYTES = 20
_MESSAGE_BYTES = _HEADER_BYTES + len(
    datagrams.encode(datagrams.Kind.RETURN_PLACES, [bytes(_RECORD_BYTES)])
)
_ANSWER_BYTES = _HEADER_BYTES + len(
    datagrams.encode(datagrams.Kind.RETURN_QUESTIONS, [1, 2**31, 1, 500])
)


def measure() -> dict[str, float | None]:
    """Returns bytes, delays and shares of both ways, by fleet."""
    figures: dict[str, float | None] = {}
    for size, data_centres, per_s in _FLEETS:
        for way in _WAYS:
            for limited in (False, True):
                model = _Model(
                    size=size,
                    data_centres=data_centres,
                    way=way,
                    limited=limited,
                )
                model.run(per_s)
                name = "limited" if limited else "unlimited"
                label = f"returning_{size}_at_{per_s}_{way}_{name}"
                figures |= {
                    f"{label}_{key}": value
                    for key, value in model.figures().items()
                }
        figures |= _built(size, data_centres, per_s)
    return figures


def _built(
    size: int, data_centres: int, per_s: float
) -> dict[str, float | None]:
    load = return_load.Load(
        size=size,
        data_centres=data_centres,
        known=_KNOWN,
        for_s=_MEASURED_S,
        per_s=returns.RETURN_SHARE * per_s / _OVERLOAD,
    )
    bytes_per_s = load.bytes_per_s()
    label = f"returning_{size}_at_{per_s}_built"
    return {
        f"{label}_bytes_per_s": statistics.mean(bytes_per_s),
        f"{label}_bytes_per_s_max": max(bytes_per_s),
        f"{label}_recognised": load.recognised_share,
    }


class _Model:
    """Counts the messages of one way.

    Args:
        size: Number of instances.
        data_centres: Number of data centres, which have as many instances each.
        way: One of ``_WAYS``.
        limited: Whether the bytes that an instance sends are limited.
    """

    def __init__(
        self, *, size: int, data_centres: int, way: str, limited: bool
    ):
        self._rng = random.Random(1)
        self._size = size
        self._data_centres = data_centres
        self._way = way
        self._limited = limited
        rate = _LIMIT_BYTES_PER_S * _LIMIT_INSTANCES / size
        self._buckets = [
            token_bucket.TokenBucket(bytes_per_s=rate, burst_s=_BURST_S)
            for _ in range(size)
        ]
        self._bytes: collections.Counter[int] = collections.Counter()
        self._delays_s: list[float] = []
        self._recognised: list[bool] = []

    def run(self, per_s: float) -> None:
        """Lets callers come for ``_MEASURED_S``."""
        admitted_per_s = (1 - returns.RETURN_SHARE) * per_s / _OVERLOAD
        returning_per_s = returns.RETURN_SHARE * per_s / _OVERLOAD
        rejected_per_s = per_s - admitted_per_s
        for number in range(int(rejected_per_s * _MEASURED_S)):
            now = number / rejected_per_s
            rejecting = self._rng.randrange(self._size)
            is_assigned = self._rng.random() < returning_per_s / rejected_per_s
            if self._way == "query":
                # Nearly all of these callers are new, so that none knows them.
                self._ask(rejecting, now, is_known=False)
                if is_assigned:
                    other = self._elsewhere(rejecting)
                    home = rejecting % self._data_centres
                    asked = self._ask(other, now, is_known=True)
                    self._recognised.append(home in asked)
            elif is_assigned:
                reached = self._send(rejecting, now)
                other = self._elsewhere(rejecting) % self._data_centres
                self._recognised.append(other in reached)
                self._delays_s.append(0.0)

    def figures(self) -> dict[str, float]:
        """Returns the figures of the run."""
        per_s = [self._bytes[n] / _MEASURED_S for n in range(self._size)]
        return {
            "bytes_per_s": statistics.mean(per_s),
            "bytes_per_s_max": max(per_s),
            "delay_ms": 1000 * statistics.mean(self._delays_s),
            "delay_ms_max": 1000 * max(self._delays_s),
            "recognised": statistics.mean(self._recognised),
        }

    def _ask(self, sender: int, now: float, *, is_known: bool) -> set[int]:
        """Asks the other data centres; returns those that were asked."""
        reached = self._send(sender, now, answered=True)
        round_trips_s = [
            self._rng.uniform(*_REMOTE_S) + self._rng.uniform(*_REMOTE_S)
            for _ in reached
        ]
        # The first answer that knows the caller counts, else the last answer.
        wait_s = max(round_trips_s, default=0.0)
        if is_known and round_trips_s:
            wait_s = self._rng.choice(round_trips_s)
        self._delays_s.append(min(wait_s, _TIMEOUT_S))
        return reached

    def _send(
        self, sender: int, now: float, *, answered: bool = False
    ) -> set[int]:
        """Sends to the other data centres; returns those that get it."""
        home = sender % self._data_centres
        others = [n for n in range(self._data_centres) if n != home]
        self._rng.shuffle(others)
        bucket = self._buckets[sender]
        reached = set()
        for data_centre in others:
            if self._limited and not bucket.has_tokens(now):
                break
            bucket.consume(_MESSAGE_BYTES)
            reached.add(data_centre)
            members = range(data_centre, self._size, self._data_centres)
            holder = self._rng.choice(members)
            known = min(1.0, _KNOWN / len(members))
            receiver = holder
            if self._rng.random() > known:
                receiver = self._rng.choice(members)
            self._count(sender, receiver, _MESSAGE_BYTES)
            # The second holder keeps it, and answers, as well.
            if receiver != holder and self._rng.random() > 1 / len(members):
                self._count(receiver, holder, _MESSAGE_BYTES)
            if answered:
                self._count(holder, sender, _ANSWER_BYTES)
        return reached

    def _elsewhere(self, instance: int) -> int:
        """Returns an instance of another data centre."""
        while True:
            other = self._rng.randrange(self._size)
            if (other - instance) % self._data_centres:
                return other

    def _count(self, sender: int, receiver: int, size: int) -> None:
        self._bytes[sender] += size
        self._bytes[receiver] += size


if __name__ == "__main__":
    for name, value in measure().items():
        print(f"{name}: {value:.4g}")
