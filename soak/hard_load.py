"""Callers that send more than the servers can process.

Requests arrive at random times, whether or not others have been answered.
"""

from __future__ import annotations

import itertools
import random
import socket
import time
from collections.abc import Iterable

import gevent

from irisshelf.platform.stand_in import world
from irisshelf.transport import client
from irisshelf.transport import errors
from soak import callers
from soak import fleet
from soak import observations
from soak import plan
from soak import server_faults
from soak import teams

_DEADLINE_S = 2.0
# Load relative to the slots of the plain servers, beside the other callers;
# factor in a burst; factor of one team in a surge.
_NORMAL_LOAD = 0.7
_BURST_FACTOR = 4
_SURGE_FACTOR = 8
# Share of the callers that retry at once and how often, the retries of others,
# and the part of the remaining time for which these wait at most.
_IMPATIENT_SHARE = 0.3
_IMPATIENT_RETRIES = 3
_PATIENT_RETRIES = 1
_LONGEST_WAIT_SHARE = 1 / 3
_SLOW_READER_SHARE = 0.05
_SLOW_PAUSE_S = 0.1
# Small, so that what is not read stays with the instance or its socket.
_SLOW_RECEIVE_BYTES = 8192
_REJECTED = frozenset({429, 503})


class HardLoad:
    """Sends requests of several teams and priorities.

    Args:
        seed: Draws the requests.
        entries: The instances.
        others: The other callers, which record the answers too.
        bursts: Spans in which all teams send more; grows during the run.
        surges: Spans in which one team sends more; grows during the run.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: list[fleet.Entry],
        others: callers.Callers,
        bursts: list[observations.Span],
        surges: list[observations.Span],
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._entries = entries
        self._others = others
        self._bursts = bursts
        self._surges = surges
        self._ids = itertools.count(1)

    def run_until(self, until_s: float) -> None:
        """Lets callers arrive until a time, monotonic seconds."""
        slots = plan.SERVERS * server_faults.SLOTS
        normal_per_s = _NORMAL_LOAD * slots / server_faults.WORK_S
        while (now := time.monotonic()) < until_s:
            shares = dict(teams.SHARES)
            if _is_within(self._surges, now):
                shares[teams.SURGING] *= _SURGE_FACTOR
            rate_per_s = normal_per_s * (
                sum(shares.values()) / sum(teams.SHARES.values())
            )
            if _is_within(self._bursts, now):
                rate_per_s *= _BURST_FACTOR
            gevent.sleep(self._rng.expovariate(rate_per_s))
            (team,) = self._rng.choices(list(shares), list(shares.values()))
            if self._rng.random() < _SLOW_READER_SHARE:
                self._others.spawn(self._read_slowly, team)
            else:
                self._others.spawn(self._call, team)

    def _call(self, team: str) -> None:
        """One caller, with its retries."""
        (priority,) = self._rng.choices(
            list(teams.PRIORITIES), list(teams.PRIORITIES.values())
        )
        safe = self._rng.random() < 0.5
        impatient = self._rng.random() < _IMPATIENT_SHARE
        until_s = time.monotonic() + _DEADLINE_S
        for attempt in range(
            1 + (_IMPATIENT_RETRIES if impatient else _PATIENT_RETRIES)
        ):
            left_s = until_s - time.monotonic()
            answer = self._ask(
                team, priority, safe=safe, attempt=attempt, left_s=left_s
            )
            left_s = until_s - time.monotonic()
            if answer is None or answer.status not in _REJECTED or left_s <= 0:
                return
            if not impatient:
                asked_s = float(answer.headers.get("retry-after", 0))
                gevent.sleep(min(asked_s, left_s * _LONGEST_WAIT_SHARE))

    def _ask(
        self,
        team: str,
        priority: int,
        *,
        safe: bool,
        attempt: int,
        left_s: float,
    ) -> world.Answer | None:
        """Sends one attempt; returns None if no instance was reached."""
        kinds = observations.RequestKind
        entry = self._rng.choice(self._entries)
        conn = _connect(entry.caller_link.address)
        if conn is None:
            return None
        request_id = f"h{self._seed}-{next(self._ids)}"
        sent_s = time.monotonic()
        answer = callers.exchange(
            conn,
            "GET" if safe else "POST",
            teams.target_of(priority, safe=safe),
            b"" if safe else request_id.encode(),
            _headers(request_id, team, left_s),
        )
        conn.close()
        self._others.asked.append(
            observations.Asked(
                request_id=request_id,
                kind=kinds.SAFE if safe else kinds.UNSAFE,
                key=teams.key_of(team),
                instance=entry.number,
                sent_s=sent_s,
                deadline_s=left_s,
                ended_s=time.monotonic(),
                status=answer.status,
                whole=answer.whole,
                body=answer.body,
                signature=answer.headers.get("response-signature", ""),
                team=team,
                priority=priority,
                retries=attempt > 0,
            )
        )
        return answer

    def _read_slowly(self, team: str) -> None:
        """One caller of a stream that pauses before each read."""
        entry = self._rng.choice(self._entries)
        conn = _connect(entry.front, receive_bytes=_SLOW_RECEIVE_BYTES)
        if conn is None:
            return
        request_id = f"h{self._seed}-{next(self._ids)}"
        sent_s = time.monotonic()
        answer = callers.exchange(
            conn,
            "POST",
            teams.SLOW_TARGET,
            request_id.encode(),
            _headers(request_id, team, teams.SLOW_DEADLINE_S),
            pause_s=_SLOW_PAUSE_S,
        )
        conn.close()
        self._others.asked.append(
            observations.Asked(
                request_id=request_id,
                kind=observations.RequestKind.STREAM,
                key=teams.key_of(team),
                instance=entry.number,
                sent_s=sent_s,
                deadline_s=teams.SLOW_DEADLINE_S,
                ended_s=time.monotonic(),
                status=answer.status,
                whole=answer.whole,
                body=answer.body,
                signature=answer.headers.get("response-signature", ""),
            )
        )


def _is_within(spans: Iterable[observations.Span], now: float) -> bool:
    return any(span.from_s <= now < span.to_s for span in spans)


def _connect(address: str, receive_bytes: int = 0) -> client.Connection | None:
    try:
        sock = client.open_socket(address, timeout_s=0.5)
    except errors.TransportError:
        # The instance is down, which the plan has noted.
        return None
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    return client.Connection(sock=sock, address=address)


def _headers(request_id: str, team: str, left_s: float) -> dict[str, str]:
    return {
        "Host": world.HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(max(1, int(left_s * 1000))),
        "Authorization": f"Bearer {teams.key_of(team)}",
    }
