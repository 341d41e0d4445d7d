"""Which release began each stream, and which instances keep that on record.

A caller may resume a stream at any instance, also when the one that began it is
gone. So each stream's origin, the release whose server sent its first event, is
kept by a few instances, which rendezvous hashing of the stream's key selects.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from collections.abc import Iterable

from irisshelf.coordination import membership as membership_module

KEY_BYTES = 8
# Streams are resumed within this time after their latest attempt has begun; a
# longer one follows from routes with long time-outs.
MIN_LIFE_S = 60.0
# About 5 MB; a hundred streams a second for a few minutes.
_MAX_ORIGINS = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Origin:
    """What began a stream.

    Attributes:
        release: Key of the release; None if there are contradicting records, as
            when a caller uses an id for two streams.
        at_s: When that was last recorded, in monotonic seconds.
        own: Whether this instance has relayed events of the stream.
    """

    release: bytes | None
    at_s: float
    own: bool


class StreamOrigins:
    """The origins that one instance keeps.

    Attributes:
        life_s: How long they are kept.
    """

    def __init__(self):
        self.life_s = MIN_LIFE_S
        # In the order in which they were recorded.
        self._origins: collections.OrderedDict[bytes, Origin] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._origins)

    def record(
        self, key: bytes, release: bytes | None, now: float, *, own: bool
    ) -> None:
        """Records a stream's origin.

        Args:
            key: Key of the stream.
            release: Key of the release; None if records contradict each other.
            now: Monotonic seconds.
            own: Whether this instance has relayed events of the stream.
        """
        known = self.get(key, now)
        if known is not None:
            own = own or known.own
            if known.release != release:
                release = None
        self._origins.pop(key, None)
        self._origins[key] = Origin(release=release, at_s=now, own=own)
        self._expire(now)

    def get(self, key: bytes, now: float) -> Origin | None:
        """Returns a stream's origin; None if it is not known.

        Example:
            >>> origins = StreamOrigins()
            >>> key = stream_key("blue", "r1")
            >>> origins.record(key, b"v1", 0.0, own=True)
            >>> origins.get(key, 1.0).release
            b'v1'
            >>> origins.get(key, 1.0 + MIN_LIFE_S) is None
            True
        """
        found = self._origins.get(key)
        if found is None or now - found.at_s > self.life_s:
            return None
        return found

    def own(self, now: float) -> list[tuple[bytes, Origin]]:
        """Returns the keys and origins of the streams relayed here."""
        self._expire(now)
        return [
            (k, origin) for k, origin in self._origins.items() if origin.own
        ]

    def _expire(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins.values()))
            expired = now - oldest.at_s > self.life_s
            if not expired and len(self._origins) <= _MAX_ORIGINS:
                return
            self._origins.popitem(last=False)


def stream_key(team: str, request_id: str) -> bytes:
    """Returns the key of a stream.

    Args:
        team: The team of the API key; ids of different teams may be equal.
        request_id: Id of the attempt that received the first event.
    """
    text = f"{team}\0{request_id}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def rank_replicas(
    members: Iterable[membership_module.Member], key: bytes
) -> list[membership_module.Member]:
    """Sorts the instances of a data centre, those that keep a key first."""
    return sorted(members, key=lambda member: _score(member.name, key))


def rank_data_centres(names: Iterable[str], key: bytes) -> list[str]:
    """Sorts data centres, those that keep a key first."""
    return sorted(names, key=lambda name: _score(name, key))


def _score(name: str, key: bytes) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8, key=key).digest()
