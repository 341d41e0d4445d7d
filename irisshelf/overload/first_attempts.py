"""Tells first attempts from returns that are too late."""

from __future__ import annotations

from collections.abc import Hashable
import math

_WINDOW_S = 30.0
_MAX_GROUPS = 4096


class UsualTimes:
    def __init__(self):
        self._latest: dict[Hashable, float] = {}
        self._before: dict[Hashable, float] = {}
        self._began_s = -math.inf

    def add(self, group: Hashable, remaining_s: float, now: float) -> float:
        if (
            now - self._began_s >= _WINDOW_S
            or len(self._latest) > _MAX_GROUPS
        ):
            self._before, self._latest = self._latest, {}
            self._began_s = now
        longest = max(remaining_s, self._latest.get(group, 0.0))
        self._latest[group] = longest
        return max(longest, self._before.get(group, 0.0))
