"""Callers whose connections rest, and callers without a valid key."""

from __future__ import annotations

import random
import time

import gevent

from irisshelf.transport import client
from irisshelf.transport import errors
from soak import callers
from soak import extremes
from soak import fleet
from soak import observations

# A key that no configuration has ever had, and none at all.
_KEYS_TRIED = ("never-valid", "")
_RESTERS = 24
# How long a connection rests between its requests: as long as a planned stop.
_RESTS_S = (0.0, 8.0)
# Share of the requests that take long, how long, and the deadlines of all.
_LONG_SHARE = 0.6
_WORKS_S = (0.5, 9.0)
_DEADLINES_S = (1.0, 12.0)
_PAUSE_S = 0.2


class RestingCallers:
    """Callers whose connections rest before they are used again.

    Args:
        seed: Draws the requests.
        entries: The instances.
        others: The other callers, which record the answers too.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: list[fleet.Entry],
        others: callers.Callers,
    ):
        self._rng = random.Random(f"extremes {seed}")
        self._entries = entries
        self._others = others

    def start(self, until_s: float) -> None:
        """Starts all callers, which begin nothing after a time."""
        for _ in range(_RESTERS):
            self._others.spawn(self._run, until_s)
        self._others.spawn(self._try_keys, until_s)

    def _run(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            entry = self._rng.choice(self._entries)
            rest_s = self._rng.uniform(*_RESTS_S)
            try:
                conn = client.connect(entry.caller_link.address, timeout_s=0.5)
            except errors.TransportError:
                gevent.sleep(_PAUSE_S)
                continue
            self._ask(conn, entry, work_s=0.0, deadline_s=extremes.TIMEOUT_S)
            gevent.sleep(rest_s)
            if conn.reusable:
                self._ask_something(conn, entry)
            conn.close()

    def _ask_something(
        self, conn: client.Connection, entry: fleet.Entry
    ) -> None:
        deadline_s = self._rng.uniform(*_DEADLINES_S)
        work_s = 0.0
        if self._rng.random() < _LONG_SHARE:
            work_s = self._rng.uniform(*_WORKS_S)
        self._ask(conn, entry, work_s=work_s, deadline_s=deadline_s)

    def _ask(
        self,
        conn: client.Connection,
        entry: fleet.Entry,
        *,
        work_s: float,
        deadline_s: float,
    ) -> None:
        kind = self._rng.choice(list(extremes.TARGETS))
        self._others.ask_for(
            conn,
            entry.number,
            kind,
            target=extremes.TARGETS[kind],
            body=f"{work_s:.3f}".encode(),
            deadline_s=deadline_s,
            fits=not work_s,
        )

    def _try_keys(self, until_s: float) -> None:
        """Asks with keys that were never valid, on public routes as well."""
        targets = (*extremes.TARGETS.values(), extremes.OPEN_TARGET)
        while time.monotonic() < until_s:
            entry = self._rng.choice(self._entries)
            target = self._rng.choice(targets)
            gevent.sleep(self._rng.uniform(0.0, _PAUSE_S))
            try:
                conn = client.connect(entry.caller_link.address, timeout_s=0.5)
            except errors.TransportError:
                continue
            self._others.ask_for(
                conn,
                entry.number,
                observations.RequestKind.SAFE,
                target=target,
                body=b"0",
                deadline_s=extremes.OBJECTIVE_S,
                key=self._rng.choice(_KEYS_TRIED),
                public=target == extremes.OPEN_TARGET,
            )
            conn.close()
