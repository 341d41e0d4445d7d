"""Who has been heard of how lately: beats, passed on with their age."""

from __future__ import annotations

import dataclasses

from irisshelf.coordination import gossip_messages as messages

_HALF = messages.BEAT_MODULUS // 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Latest:
    """The latest beat of an instance, and when it was made."""

    beat: int
    made_s: float


class Beats:
    """The latest beat of every instance, by the hash of its name.

    Args:
        me: The name of this instance, whose beats are not followed.

    Example:
        >>> beats = Beats(me="a")
        >>> beats.heard_from("b", 7, 10.0)
        >>> beats.silent_s("b", 12.5)
        2.5
    """

    def __init__(self, *, me: str):
        self._latest: dict[int, _Latest] = {}
        self._hashes: dict[str, int] = {}
        self._me = self._hash(me)

    def take(self, told: messages.Beat, now: float) -> None:
        """Takes a beat that somebody passes on."""
        self._put(told.name_hash, told.beat, now - told.age_s)

    def heard_from(self, name: str, beat: int, now: float) -> None:
        """Takes a beat from the instance itself."""
        self._put(self._hash(name), beat, now)

    def silent_s(self, name: str, now: float) -> float | None:
        """Returns how long ago an instance made its latest beat.

        Returns:
            Seconds, or None for an instance that was never heard of.
        """
        latest = self._latest.get(self._hash(name))
        return None if latest is None else now - latest.made_s

    def fresh(self, now: float, max_age_s: float) -> tuple[messages.Beat, ...]:
        """Returns the freshest beats to pass on, none older than an age."""
        ranked = sorted(
            (latest.made_s, name_hash, latest.beat)
            for name_hash, latest in self._latest.items()
            if now - latest.made_s <= max_age_s
        )
        return tuple(
            messages.Beat(name_hash=name_hash, beat=beat, age_s=now - made_s)
            for made_s, name_hash, beat in ranked[
                : -messages.MAX_BEATS - 1 : -1
            ]
        )

    def forget(self, name: str) -> None:
        """Forgets an instance that has started anew."""
        self._latest.pop(self._hash(name), None)

    def forget_old(self, now: float, max_age_s: float) -> None:
        """Forgets instances that have been silent for longer."""
        self._latest = {
            name_hash: latest
            for name_hash, latest in self._latest.items()
            if now - latest.made_s <= max_age_s
        }

    def _put(self, name_hash: int, beat: int, made_s: float) -> None:
        """Keeps a beat if it is ahead of the one known, modulo its size."""
        if name_hash == self._me:
            return
        beat %= messages.BEAT_MODULUS
        known = self._latest.get(name_hash)
        if known is not None:
            ahead = (beat - known.beat) % messages.BEAT_MODULUS
            if not 0 < ahead < _HALF:
                return
        self._latest[name_hash] = _Latest(beat=beat, made_s=made_s)

    def _hash(self, name: str) -> int:
        found = self._hashes.get(name)
        if found is None:
            found = messages.name_hash(name)
            self._hashes[name] = found
        return found
