"""Share of the total load caused by each key, in bounded memory."""

from __future__ import annotations

import math

HALF_LIFE_S = 60.0
MAX_KEYS = 512
# Weights grow by e for each time constant (half-life / ln 2). Rescaling after
# 40 of them keeps the weights far below the overflow of a float.
_RESCALE_AFTER = 40


class Popularity:
    """Exponentially decayed load by key; evicts the keys with the least load.

    Existing weights are not decayed individually. New weights are scaled up by
    the elapsed time instead, so that an update takes constant time.

    Args:
        half_life_s: Time after which recorded load counts half.
        max_keys: Number of keys kept.
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
        """Adds work of a key; for key 0 or "" only the total is increased."""
        if (now - self._origin_s) * self._rate > _RESCALE_AFTER:
            self._rescale(now)
        scaled = work * self._scale(now)
        self._total += scaled
        if key:
            self._loads[key] = self._loads.get(key, 0.0) + scaled
            if len(self._loads) > 2 * self._max_keys:
                self._evict()

    @property
    def key_count(self) -> int:
        """Number of keys kept."""
        return len(self._loads)

    def share(self, key: int | str) -> float:
        """Returns the key's share of the total load, from 0 to 1."""
        if not self._total:
            return 0.0
        return self._loads.get(key, 0.0) / self._total

    def _scale(self, now: float) -> float:
        return math.exp((now - self._origin_s) * self._rate)

    def _rescale(self, now: float) -> None:
        remaining = math.exp((self._origin_s - now) * self._rate)
        self._loads = {
            key: load * remaining for key, load in self._loads.items()
        }
        self._total *= remaining
        self._origin_s = now

    def _evict(self) -> None:
        ranked = sorted(self._loads.items(), key=lambda item: -item[1])
        self._loads = dict(ranked[: self._max_keys])
