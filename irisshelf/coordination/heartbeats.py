"""Who has been heard of how lately: beats, passed on with their age."""

from __future__ import annotations

import dataclasses

from irisshelf.coordination import gossip_messages as messages

_HALF = messages.HEARTBEAT_MODULUS // 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Latest:
    """The latest beat of an instance, and when it was made."""

    counter: int
    made_s: float


class HeartbeatTable:
    """The latest beat of every instance, by the hash of its name.

    Args:
        me: The name of this instance, whose beats are not followed.

    Example:
        >>> beats = Beats(me="a")
        >>> beats.record_direct("b", 7, 10.0)
        >>> beats.age_s("b", 12.5)
        2.5
    """

    def __init__(self, *, me: str):
        self._latest: dict[int, _Latest] = {}
        self._hashes: dict[str, int] = {}
        self._me = self._hash(me)

    def record_relayed(self, told: messages.Heartbeat, now: float) -> None:
        """Takes a beat that somebody passes on."""
        self._put(told.name_hash, told.counter, now - told.age_s)

    def record_direct(self, name: str, counter: int, now: float) -> None:
        """Takes a beat from the instance itself."""
        self._put(self._hash(name), counter, now)

    def age_s(self, name: str, now: float) -> float | None:
        """Returns how long ago an instance made its latest beat.

        Returns:
            Seconds, or None for an instance that was never heard of.
        """
        latest = self._latest.get(self._hash(name))
        return None if latest is None else now - latest.made_s

    def freshest(
        self, now: float, max_age_s: float
    ) -> tuple[messages.Heartbeat, ...]:
        """Returns the freshest beats to pass on, none older than an age."""
        ranked = sorted(
            (latest.made_s, name_hash, latest.counter)
            for name_hash, latest in self._latest.items()
            if now - latest.made_s <= max_age_s
        )
        return tuple(
            messages.Heartbeat(
                name_hash=name_hash, counter=counter, age_s=now - made_s
            )
            for made_s, name_hash, counter in ranked[
                : -messages.MAX_HEARTBEATS - 1 : -1
            ]
        )

    def forget(self, name: str) -> None:
        """Forgets an instance that has started anew."""
        self._latest.pop(self._hash(name), None)

    def expire(self, now: float, max_age_s: float) -> None:
        """Forgets instances that have been silent for longer."""
        self._latest = {
            name_hash: latest
            for name_hash, latest in self._latest.items()
            if now - latest.made_s <= max_age_s
        }

    def _put(self, name_hash: int, counter: int, made_s: float) -> None:
        """Keeps a beat if it is ahead of the one known, modulo its size."""
        if name_hash == self._me:
            return
        counter %= messages.HEARTBEAT_MODULUS
        known = self._latest.get(name_hash)
        if known is not None:
            ahead = (counter - known.counter) % messages.HEARTBEAT_MODULUS
            if not 0 < ahead < _HALF:
                return
        self._latest[name_hash] = _Latest(counter=counter, made_s=made_s)

    def _hash(self, name: str) -> int:
        found = self._hashes.get(name)
        if found is None:
            found = messages.name_hash(name)
            self._hashes[name] = found
        return found
