"""The callers of a soak run: what they send, and what they get."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

import gevent

from irisshelf.platform.stand_in import world
from irisshelf.transport import client
from irisshelf.transport import errors
from soak import faults
from soak import fleet
from soak import observations
from soak import plan
from soak import streams

EVENTS = 12
_CALLERS = 8
_CALLERS_WITH_VERSIONS = 16
_CALLERS_BESIDE_HARD_LOAD = 3
# In runs with herds: callers for each instance, and how many there are at most.
_CALLERS_PER_INSTANCE = 2
_MOST_CALLERS = 64
_PAUSE_S = 0.02
_DEADLINE_S = 2.0
# Share of the callers of resumable streams that leave midway, and how often a
# stream that is not whole is resumed, at most.
_LEAVING_SHARE = 0.4
# Least share of resumable streams among requests, in runs with versions.
_RESUMABLE_SHARE = 0.6
_RESUMPTIONS = 2
# In runs with herds streams are resumed more often, half of the time at once,
# else so much later.
_RESUMPTIONS_IN_HERDS = 4
_RESUMED_LATER_S = (0.05, 6.0)
_ROUTES = {
    observations.RequestKind.SAFE: ("GET", "/valve/1", b""),
    observations.RequestKind.UNSAFE: ("POST", "/alarm/1", b"burst"),
    observations.RequestKind.STREAM: ("POST", "/query/1", b"ask"),
    observations.RequestKind.RESUMABLE: ("POST", "/digest/1", b"ask"),
}


class Callers:
    """Sends requests to all instances and records the answers.

    Args:
        seed: Draws the requests.
        entries: The instances.
        injector: Knows the keys.

    Attributes:
        asked: What was sent and answered.
        calm: Whether the faults are over.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: list[fleet.Entry],
        injector: faults.Injector,
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._entries = entries
        self._injector = injector
        self.asked: list[observations.Asked] = []
        self.calm = False
        self._serial = 0
        self._over = False
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts all callers."""
        versions = plan.has_versions(self._seed)
        count = _CALLERS_WITH_VERSIONS if versions else _CALLERS
        if plan.is_hard(self._seed):
            count = _CALLERS_BESIDE_HARD_LOAD
        if plan.has_herds(self._seed):
            wanted = _CALLERS_PER_INSTANCE * len(self._entries)
            count = max(count, min(wanted, _MOST_CALLERS))
        for _ in range(count):
            self.spawn(self._call)

    def spawn(self, run: Callable[..., None], *args: Any) -> None:
        """Starts one more caller, which ends by itself."""
        self._greenlets.append(gevent.spawn(run, *args))

    def stop(self) -> None:
        """Waits for the answers to what has been sent."""
        self._over = True
        # Those that end may have started others.
        while not all(one.dead for one in self._greenlets):
            gevent.joinall(self._greenlets)

    def _call(self) -> None:
        """One caller: keeps its connection as long as it can."""
        conn = None
        while not self._over:
            entry = self._rng.choice(self._entries)
            try:
                if conn is None or self._rng.random() < 0.2:
                    address = entry.caller_link.address
                    conn, owner = client.connect(address, timeout_s=0.5), entry
                conn = self._ask(conn, owner.number)
            except errors.TransportError:
                conn = None
            gevent.sleep(_PAUSE_S)

    def _headers(
        self, request_id: str, key: str, part: str = ""
    ) -> dict[str, str]:
        shared = f"aa:300,b{self._serial % 7}:900"
        if part:
            shared += f",{part}:90"
        return {
            "Host": world.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(_DEADLINE_S * 1000)),
            **({"Authorization": f"Bearer {key}"} if key else {}),
            "Prefix-Hash": f"{shared},own:9",
        }

    def _key(self) -> str:
        """Returns a key; a caller may not have heard that it is withdrawn."""
        withdrawn = self._injector.withdrawn
        if withdrawn and self._rng.random() < 0.2:
            return self._rng.choice(list(withdrawn))
        if not self._injector.keys:
            return next(reversed(withdrawn))
        return self._injector.keys[0]

    def crash(
        self, kind: observations.RequestKind, body: bytes, part: str
    ) -> None:
        """Asks for what ends servers, on a new connection."""
        entry = self._rng.choice(self._entries)
        try:
            address = entry.caller_link.address
            conn = client.connect(address, timeout_s=0.5)
        except errors.TransportError:
            return
        conn = self._ask(conn, entry.number, kind, body, part)
        if conn is not None:
            conn.close()

    def _ask(
        self,
        conn: client.Connection,
        instance: int,
        crashing_kind: observations.RequestKind | None = None,
        crashing_body: bytes = b"",
        part: str = "",
    ) -> client.Connection | None:
        kind = crashing_kind or self._draw_kind()
        leaves_after = None
        if kind is observations.RequestKind.RESUMABLE and not crashing_body:
            leaves_after = self._draw_leaving()
        asked = self._send(
            conn,
            instance,
            kind,
            crashing_body,
            leaves_after=leaves_after,
            part=part,
        )
        if plan.has_herds(self._seed) and not crashing_body:
            self.spawn(self._resume, asked)
        elif plan.has_versions(self._seed) and not crashing_body:
            self._resume(asked)
        if conn.reusable:
            return conn
        conn.close()
        return None

    def _draw_kind(self) -> observations.RequestKind:
        versions = plan.has_versions(self._seed)
        if versions and self._rng.random() < _RESUMABLE_SHARE:
            return observations.RequestKind.RESUMABLE
        return self._rng.choice(list(_ROUTES))

    def _draw_leaving(self) -> int | None:
        """Returns after how many events a caller leaves; None if it stays."""
        if not plan.has_versions(self._seed) or (
            self._rng.random() >= _LEAVING_SHARE
        ):
            return None
        return self._rng.randrange(1, EVENTS)

    def _resume(self, first: observations.Asked) -> None:
        """Takes up a resumable stream elsewhere, until it is whole."""
        body = first.body
        whole = first.whole
        herds = plan.has_herds(self._seed)
        for _ in range(_RESUMPTIONS_IN_HERDS if herds else _RESUMPTIONS):
            after = streams.last_event_id(body)
            if (
                first.kind is not observations.RequestKind.RESUMABLE
                or whole
                or after is None
            ):
                return
            if herds and self._rng.random() < 0.5:
                gevent.sleep(self._rng.uniform(*_RESUMED_LATER_S))
            if herds and self._over:
                return
            entry = self._rng.choice(self._entries)
            try:
                address = entry.caller_link.address
                conn = client.connect(address, timeout_s=0.5)
            except errors.TransportError:
                continue
            asked = self._send(
                conn,
                entry.number,
                first.kind,
                b"",
                leaves_after=self._draw_leaving(),
                resumes=first,
                after=after,
            )
            conn.close()
            body, whole = body + asked.body, asked.whole

    def ask_for(
        self,
        conn: client.Connection,
        instance: int,
        kind: observations.RequestKind,
        *,
        target: str,
        body: bytes,
        deadline_s: float,
        key: str | None = None,
        public: bool = False,
        fits: bool = True,
    ) -> None:
        """Sends one request of another caller and records its answer.

        Args:
            conn: The connection.
            instance: The instance that it leads to, by number.
            kind: Kind of the target's route.
            target: Path and query.
            body: The request's body.
            deadline_s: How long the caller waits.
            key: The key; one that is or was valid if None.
            public: Whether the route needs no key.
            fits: Whether a server can process it within its deadline.
        """
        key = self._key() if key is None else key
        asked = self._begin(kind, instance, key)
        asked = dataclasses.replace(
            asked,
            deadline_s=deadline_s,
            public=public,
            calm=asked.calm
            and fits
            and (public or key in self._injector.issued),
        )
        headers = self._headers(asked.request_id, key)
        headers["Deadline-Ms"] = str(int(deadline_s * 1000))
        answer = exchange(conn, "POST", target, body, headers)
        self.asked.append(_answered(asked, answer))

    def _send(
        self,
        conn: client.Connection,
        instance: int,
        kind: observations.RequestKind,
        crashing_body: bytes,
        *,
        leaves_after: int | None = None,
        resumes: observations.Asked | None = None,
        after: int = 0,
        part: str = "",
    ) -> observations.Asked:
        """Sends one attempt and records what came of it."""
        method, target, body = _ROUTES[kind]
        asked = self._begin(
            kind, instance, resumes.key if resumes else self._key()
        )
        if body and plan.has_versions(self._seed):
            # Else all ends of servers would be blamed on one request.
            body += f" {self._serial}".encode()
        headers = self._headers(asked.request_id, asked.key, part)
        if resumes is not None:
            headers["Resumes"] = resumes.request_id
            headers["Last-Event-Id"] = str(after)
        asked = dataclasses.replace(
            asked,
            # A version may be gone; how many go on is checked apart.
            calm=asked.calm and not crashing_body and resumes is None,
            crashing=bool(crashing_body),
            resumes=resumes.request_id if resumes else "",
            after_event=after,
            left=leaves_after is not None,
        )
        answer = exchange(
            conn, method, target, crashing_body or body, headers, leaves_after
        )
        self.asked.append(_answered(asked, answer))
        return self.asked[-1]

    def _begin(
        self, kind: observations.RequestKind, instance: int, key: str
    ) -> observations.Asked:
        """Returns a request that is about to be sent."""
        self._serial += 1
        now = time.monotonic()
        return observations.Asked(
            request_id=f"s{self._seed}-{self._serial}",
            kind=kind,
            key=key,
            instance=instance,
            sent_s=now,
            deadline_s=_DEADLINE_S,
            ended_s=now,
            status=0,
            whole=False,
            body=b"",
            calm=self.calm and key not in self._injector.withdrawn,
        )


def _answered(
    asked: observations.Asked, answer: world.Answer
) -> observations.Asked:
    """Returns a request with its answer, which has just come."""
    return dataclasses.replace(
        asked,
        ended_s=time.monotonic(),
        status=answer.status,
        whole=answer.whole,
        body=answer.body,
        signature=answer.headers.get("response-signature", ""),
    )


def exchange(
    conn: client.Connection,
    method: str,
    target: str,
    body: bytes,
    headers: dict[str, str],
    leaves_after: int | None = None,
    pause_s: float = 0.0,
) -> world.Answer:
    """Sends a request and collects what comes of the answer.

    Args:
        conn: The connection.
        method: HTTP method.
        target: Path and query.
        body: The request's body.
        headers: The request's headers.
        leaves_after: After how many events the caller leaves; None if it stays.
        pause_s: Pause of the caller before each read of the body.

    Returns:
        What came of the answer; status 0 if nothing came.
    """
    if body:
        headers["Content-Length"] = str(len(body))
    try:
        conn.send(
            method,
            target,
            [(n.encode(), v.encode()) for n, v in headers.items()],
            body,
            timeout_s=2.0,
        )
    except errors.TransportError:
        return world.Answer(status=0, headers={}, body=b"", whole=False)
    if leaves_after is not None:
        return streams.read_part(conn, leaves_after)
    if pause_s:
        return streams.read_slowly(conn, pause_s)
    return world.read_answer(conn)
