"""Faults between an instance and a back end, as WSGI middleware."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import gevent


class Fault(enum.StrEnum):
    """One thing that goes wrong with a call."""

    NONE = "none"
    CUT_BEFORE = "cut_before"  # The call never reaches the back end.
    CUT_AFTER = "cut_after"  # It runs, and the answer is lost.
    CUT_MIDWAY = "cut_midway"  # The answer breaks off.
    LATE = "late"
    CROSSED = "crossed"  # The answer carries another attempt's id.
    DOUBLED = "doubled"  # A part of the answer comes twice.
    GAP = "gap"  # A part of the answer is missing.
    GARBLED = "garbled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """How often calls fail, and how.

    Attributes:
        share: Share of calls that suffer a fault.
        faults: Which faults, equally likely.
        late_s: How long a late call is held up.
    """

    share: float
    faults: tuple[Fault, ...] = tuple(Fault)[1:]
    late_s: float = 0.05


class Faulty:
    """Serves an application with faults.

    Args:
        app: The stand-in.
        plan: How often and how calls fail.
        rng: Decides.
    """

    def __init__(self, *, app: Callable, plan: Plan, rng: random.Random):
        self.plan = plan
        self.injected = 0
        self._app = app
        self._rng = rng

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Serves one call."""
        fault = self._draw()
        if fault is Fault.NONE:
            return self._app(environ, start_response)
        self.injected += 1
        if fault is Fault.CUT_BEFORE:
            raise ConnectionAbortedError("cut before")
        if fault is Fault.LATE:
            gevent.sleep(self.plan.late_s)
            return self._app(environ, start_response)
        if fault is Fault.CROSSED:
            start_response = _crossing(start_response)
        parts = self._app(environ, start_response)
        return _spoil(parts, fault)

    def _draw(self) -> Fault:
        if self._rng.random() >= self.plan.share:
            return Fault.NONE
        return self._rng.choice(self.plan.faults)


def _crossing(start_response: Callable) -> Callable:
    def start(status, headers, *rest):
        crossed = [
            (name, "somebody-else" if name == "X-Attempt-Id" else value)
            for name, value in headers
        ]
        return start_response(status, crossed, *rest)

    return start


def _spoil(parts: Iterable[bytes], fault: Fault) -> Iterator[bytes]:
    for index, part in enumerate(parts):
        if fault is Fault.CUT_AFTER:
            raise ConnectionAbortedError("cut after")
        if fault is Fault.CROSSED:
            yield part.replace(b"id: ", b"id: x", 1)
        elif fault is Fault.DOUBLED:
            yield part
            if part.startswith(b"id: "):
                yield part
        elif fault is Fault.GAP and index == 1:
            continue
        elif fault is Fault.GARBLED and index == 1:
            yield b"\x00\xff" + part[2:]
        elif fault is Fault.CUT_MIDWAY:
            yield part[: len(part) // 2]
            raise ConnectionAbortedError("cut midway")
        else:
            yield part
