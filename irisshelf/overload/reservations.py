"""The reservations of returning callers that one instance keeps.

A caller is recognised by the fingerprint of its request. Requests with the same
content share one reservation: whichever comes first when it is due uses it.
"""

from __future__ import annotations

import dataclasses
import enum

# A caller that returns this much too soon is on time.
EARLY_S = 0.05
# A reservation that has not been used is void this long after it was due.
EXPIRY_S = 1.0
# About 4 MB, and 600 reservations a second as far ahead as they reach.
MAX_RESERVATIONS = 20_000


class State(enum.IntEnum):
    """What is known of the reservation of a caller; sent in messages.

    Attributes:
        UNKNOWN: There is none, or it has expired.
        EARLY: It is not due yet.
        DUE: It is due, and is used by the call that returned this.
        USED: It has been used before.
    """

    UNKNOWN = 0
    EARLY = 1
    DUE = 2
    USED = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Result of a caller's attempt to use its reservation.

    Attributes:
        state: What is known of the reservation.
        wait_s: How long until it is due; 0 unless ``EARLY``.
        silent: Number of instances that were asked and have not answered.
    """

    state: State
    wait_s: float = 0.0
    silent: int = 0


UNKNOWN = Claim(state=State.UNKNOWN)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Reservation:
    due_s: float
    used: bool = False

    def is_void(self, now: float) -> bool:
        """Returns whether it was due too long ago to be used."""
        return now > self.due_s + EXPIRY_S


class Reservations:
    """Reservations by fingerprint, in bounded memory.

    If there are too many, those that are due last are dropped first. A flood of
    forged ones that are due late thus displaces itself, and one of those that
    are due soon expires soon.

    Args:
        limit: How many are kept.
    """

    def __init__(self, *, limit: int = MAX_RESERVATIONS):
        self._limit = limit
        self._found: dict[bytes, _Reservation] = {}
        # Fingerprints by the second in which their reservations are due.
        self._by_second: dict[int, set[bytes]] = {}

    def __len__(self) -> int:
        return len(self._found)

    def record(self, fingerprint: bytes, due_s: float, now: float) -> None:
        """Records a reservation.

        If there is one that is not due yet, the earlier one counts: callers
        with the same content may have been told both times. One that is due is
        replaced: its caller has used it in another data centre, where it is
        kept as well, or has come too late for it.

        Args:
            fingerprint: Fingerprint of the caller's request.
            due_s: When it is due, in monotonic seconds.
            now: Monotonic seconds.
        """
        self._expire(now)
        known = self._found.get(fingerprint)
        if known is not None:
            is_ahead = not known.used and now < known.due_s - EARLY_S
            if is_ahead and known.due_s <= due_s:
                return
            self._remove(fingerprint)
        self._found[fingerprint] = _Reservation(due_s=due_s)
        self._by_second.setdefault(int(due_s), set()).add(fingerprint)
        if len(self._found) > self._limit:
            self._remove(next(iter(self._by_second[max(self._by_second)])))

    def claim(self, fingerprint: bytes, now: float) -> Claim:
        """Uses the reservation of a caller that returns now, if it is due.

        Args:
            fingerprint: Fingerprint of the caller's request.
            now: Monotonic seconds.
        """
        known = self._found.get(fingerprint)
        if known is None or known.is_void(now):
            return UNKNOWN
        if known.used:
            return Claim(state=State.USED)
        if now < known.due_s - EARLY_S:
            return Claim(state=State.EARLY, wait_s=known.due_s - now)
        known.used = True
        return Claim(state=State.DUE)

    def _expire(self, now: float) -> None:
        # A second's reservations expire together, up to a second late.
        last_second = int(now - EXPIRY_S) - 1
        while (
            self._by_second and (first := min(self._by_second)) <= last_second
        ):
            for fingerprint in self._by_second.pop(first):
                del self._found[fingerprint]

    def _remove(self, fingerprint: bytes) -> None:
        second = int(self._found.pop(fingerprint).due_s)
        self._by_second[second].remove(fingerprint)
        if not self._by_second[second]:
            del self._by_second[second]
