"""What a crash of a server shows about one fingerprint of a request there.

A server that crashes usually has many requests in progress, of which one is the
cause. A fingerprint is the more suspect the less of its request's response had
arrived, as the cause crashes the server when its response begins, and the
longer it has not been part of a request that succeeded.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

# The requirements allow five servers to crash because of one part of prompts,
# and three because of one request. A lower limit would bar requests that were
# in progress during a rack failure, once with each of two attempts.
CRASHES_TO_BAR = 3
# Reports of a crash of the same server within this time, from different
# instances, are one crash. No server restarts within a second (it takes "some
# seconds" according to the requirements).
SAME_CRASH_S = 1.0
# Weight of a crash as the response had not begun, or just had. A response that
# was well under way, or a fingerprint that has succeeded lately, is weaker
# evidence, as both hold for many that are not the cause.
_EARLY, _EARLY_SOUND, _LATE, _LATE_SOUND = 6, 3, 2, 1
BAR_WEIGHT = CRASHES_TO_BAR * _EARLY


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerCrash:
    """One crash of a server while it processed a request.

    Attributes:
        server_key: Short key of the server incarnation that crashed.
        at_s: When it crashed, on the clock of this instance.
        late: Whether the response was well under way.
        sound: Whether a request with the fingerprint had succeeded lately.
        release: Key of the release that the server ran; empty if unknown.
        reports: How many requests with the fingerprint were in progress, as far
            as reported; repeated reports count again.
    """

    server_key: bytes
    at_s: float
    late: bool = False
    sound: bool = False
    release: bytes = b""
    reports: int = 1

    @property
    def crash_id(self) -> tuple[bytes, float]:
        """Identifies the crash among those of one ``CrashSuspects``."""
        return self.server_key, self.at_s

    @property
    def weight(self) -> int:
        """How much it counts towards ``BAR_WEIGHT``."""
        if self.late:
            return _LATE_SOUND if self.sound else _LATE
        return _EARLY_SOUND if self.sound else _EARLY

    @property
    def strong(self) -> bool:
        """Whether it makes a fingerprint suspect by itself."""
        return not self.late and not self.sound


def is_same_crash(one: ServerCrash, other: ServerCrash) -> bool:
    """Returns whether two reports are about the same crash."""
    near = abs(one.at_s - other.at_s) < SAME_CRASH_S
    return one.server_key == other.server_key and near


def merge(one: ServerCrash, other: ServerCrash) -> ServerCrash:
    """Joins two reports of one crash, of different requests or instances.

    If one of two requests had come far, the server did not crash when that
    response began, so that what both have in common is not likely the cause.
    """
    return dataclasses.replace(
        one,
        late=one.late and other.late,
        sound=one.sound or other.sound or one.late != other.late,
        release=one.release or other.release,
        reports=one.reports + other.reports,
    )


def weigh(crashes: Iterable[ServerCrash]) -> int:
    """Returns the weight of crashes, which ``BAR_WEIGHT`` is compared with.

    Servers that crash at the same time often have the same cause. A fingerprint
    that has succeeded lately is in progress at most of them, so that they count
    for it as one.

    Example:
        >>> one = ServerCrash(server_key=b"1", at_s=1.0)
        >>> other = ServerCrash(server_key=b"2", at_s=1.5, late=True)
        >>> weigh([one, other])
        8
    """
    total = 0
    counted_s = float("-inf")
    for crash in sorted(crashes, key=lambda one: one.at_s):
        if crash.sound:
            if crash.at_s - counted_s < SAME_CRASH_S:
                continue
            counted_s = crash.at_s
        total += crash.weight
    return total
