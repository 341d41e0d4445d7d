"""How much of the load each shared history brings, in bounded memory."""

from __future__ import annotations

import math

HALF_LIFE_S = 60.0
MAX_KEYS = 512
# Time constants after which weights are scaled back, long before they overflow.
_RESCALE_AFTER = 40


class Popularity:
    """Decayed load by key; the least loaded keys are forgotten.

    Old weights are not decayed one by one: new ones are added scaled up by
    the time that has passed, which keeps an update constant in cost.

    Args:
        half_life_s: Load counts half after this time.
        max_keys: Keys remembered.
    """

    def __init__(
        self, *, half_life_s: float = HALF_LIFE_S, max_keys: int = MAX_KEYS
    ):
        self._rate = math.log(2) / half_life_s
        self._max_keys = max_keys
        self._loads: dict[int | str, float] = {}
        self._total = 0.0
        self._origin_s = -math.inf

    def add(self, key: int | str, work: float, now: float) -> None:
        """Counts work; key 0 or "" is none and counts in the total only."""
        if (now - self._origin_s) * self._rate > _RESCALE_AFTER:
            self._rescale(now)
        scaled = work * self._scale(now)
        self._total += scaled
        if key:
            self._loads[key] = self._loads.get(key, 0.0) + scaled
            if len(self._loads) > 2 * self._max_keys:
                self._forget()

    @property
    def key_count(self) -> int:
        """How many keys are remembered."""
        return len(self._loads)

    def share(self, key: int | str) -> float:
        """Returns the key's share of all load, 0 to 1."""
        if not self._total:
            return 0.0
        return self._loads.get(key, 0.0) / self._total

    def _scale(self, now: float) -> float:
        return math.exp((now - self._origin_s) * self._rate)

    def _rescale(self, now: float) -> None:
        left = math.exp((self._origin_s - now) * self._rate)
        self._loads = {key: load * left for key, load in self._loads.items()}
        self._total *= left
        self._origin_s = now

    def _forget(self) -> None:
        ranked = sorted(self._loads.items(), key=lambda kv: -kv[1])
        self._loads = dict(ranked[: self._max_keys])
