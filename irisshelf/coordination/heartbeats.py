"""Table of the latest heartbeat of every instance.

Heartbeats are relayed from instance to instance together with their age.
"""

from __future__ import annotations

import dataclasses

from irisshelf.coordination import gossip_messages as messages

_HALF_MODULUS = messages.HEARTBEAT_MODULUS // 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    """The latest heartbeat of an instance and the time at which it was made."""

    counter: int
    made_s: float


class HeartbeatTable:
    """The latest heartbeat of every instance, keyed by the hash of its name.

    Args:
        me: Name of this instance, whose own heartbeats are ignored.

    Example:
        >>> table = HeartbeatTable(me="a")
        >>> table.record_direct("b", 7, 10.0)
        >>> table.age_s("b", 12.5)
        2.5
    """

    def __init__(self, *, me: str):
        self._entries: dict[int, _Entry] = {}
        self._hashes: dict[str, int] = {}
        self._own_hash = self._hash(me)

    def record_relayed(self, heartbeat: messages.Heartbeat, now: float) -> None:
        """Records a heartbeat that another instance relays."""
        self._record(
            heartbeat.name_hash, heartbeat.counter, now - heartbeat.age_s
        )

    def record_direct(self, name: str, counter: int, now: float) -> None:
        """Records a heartbeat received from the instance itself."""
        self._record(self._hash(name), counter, now)

    def age_s(self, name: str, now: float) -> float | None:
        """Returns the age of an instance's latest heartbeat.

        Returns:
            Seconds, or None if no heartbeat of the instance is known.
        """
        entry = self._entries.get(self._hash(name))
        return None if entry is None else now - entry.made_s

    def freshest(
        self, now: float, max_age_s: float
    ) -> tuple[messages.Heartbeat, ...]:
        """Returns the most recent heartbeats up to an age, for relaying."""
        ranked = sorted(
            (entry.made_s, name_hash, entry.counter)
            for name_hash, entry in self._entries.items()
            if now - entry.made_s <= max_age_s
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
        """Removes an instance that has restarted."""
        self._entries.pop(self._hash(name), None)

    def expire(self, now: float, max_age_s: float) -> None:
        """Removes instances whose latest heartbeat is older than an age."""
        self._entries = {
            name_hash: entry
            for name_hash, entry in self._entries.items()
            if now - entry.made_s <= max_age_s
        }

    def _record(self, name_hash: int, counter: int, made_s: float) -> None:
        """Stores a heartbeat that is newer than the known one.

        Counters are compared by serial number arithmetic, as they wrap around.
        """
        if name_hash == self._own_hash:
            return
        counter %= messages.HEARTBEAT_MODULUS
        known = self._entries.get(name_hash)
        if known is not None:
            ahead = (counter - known.counter) % messages.HEARTBEAT_MODULUS
            if not 0 < ahead < _HALF_MODULUS:
                return
        self._entries[name_hash] = _Entry(counter=counter, made_s=made_s)

    def _hash(self, name: str) -> int:
        name_hash = self._hashes.get(name)
        if name_hash is None:
            name_hash = messages.name_hash(name)
            self._hashes[name] = name_hash
        return name_hash
