"""Finds the other instances and keeps the list of them up to date.

Instances ask each other over HTTP, with CBOR bodies, on the address of
``listen.peers``: the seeds of the settings first, then the first instance of
their data centre. Whoever asks tells its own name with it.
"""

from __future__ import annotations

import dataclasses
import urllib.parse
from collections.abc import Callable
from collections.abc import Mapping
from typing import Annotated

import cbor2
import gevent
import msgspec
import result

from irisshelf import boottime
from irisshelf.coordination import membership
from irisshelf.observe import decision_log
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as http

_OK = 200
_NOT_FOUND = 404
# Instances stand within milliseconds; a slow one may take this much longer.
_ANSWER_S = 0.4
_CONNECT_S = 0.15
# More than twice before an instance that says nothing is forgotten.
_MEMBERS_EVERY_S = 2.5
_SEEDS_EVERY_S = 5.0
# An instance that knows of no other asks again after these: when all start at
# once, the seeds are up some tenths of a second after those who ask them.
_ALONE_PAUSES_S = (0.3, 0.6, 1.2)
# Instances of each other data centre that an asker is told of.
_MEMBERS_ELSEWHERE = 3
# Instances that are asked one after the other; each that is gone takes half a
# second.
_MOST_ASKED = 4

_LinkMbps = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Handler = Callable[[Mapping[str, str]], bytes | None]


class PeerDiscovery:
    """Knows the other instances, and tells of them.

    Args:
        own: This instance.
        seeds: Addresses of instances that may be there at the start.
        log: Takes what cannot be read.
        on_peer_count: Told how many other instances the data centre has.
    """

    def __init__(
        self,
        *,
        own: membership.Member,
        seeds: tuple[str, ...],
        log: decision_log.DecisionLog,
        on_peer_count: Callable[[int], None] = lambda count: None,
    ):
        self.membership = membership.Membership(own=own)
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._log = log
        self._on_peer_count = on_peer_count
        self._conns: dict[str, client.Connection] = {}
        self._leaving = False
        self._handlers: dict[str, Handler] = {}

    def run(self) -> None:
        """Keeps the list of instances up to date, until this one leaves.

        It does not ask after that: whom it asks would take it for live again.
        """
        asked_seeds_s = float("-inf")
        pauses_s = iter(_ALONE_PAUSES_S)
        while not self._leaving:
            now = boottime.now()
            if (
                now - asked_seeds_s > _SEEDS_EVERY_S
                or not self._local_peer_count()
            ):
                asked_seeds_s = now
                self._ask_seeds()
            first = self.membership.leader(now)
            if first is not None:
                self._ask_members(first.address)
            count = self._local_peer_count()
            self._on_peer_count(count)
            pause_s = _MEMBERS_EVERY_S
            if not count:
                pause_s = next(pauses_s, _MEMBERS_EVERY_S)
            gevent.sleep(pause_s)

    def _ask_seeds(self) -> None:
        """Asks all at once: each that is gone takes half a second."""
        asking = [gevent.spawn(self._ask_members, s) for s in self._seeds]
        gevent.joinall(asking)

    def register_handler(self, path: str, answer: Handler) -> None:
        """Names what answers other instances' questions at a path.

        Args:
            path: The path.
            answer: Takes the fields of the query; None for no answer.
        """
        self._handlers[path] = answer

    def request(
        self, address: str, question: str, *, answer_s: float
    ) -> result.Result[bytes, str]:
        """Asks one instance.

        Args:
            address: The instance.
            question: Path, and query if there is one.
            answer_s: How long the answer may take.
        """
        return self._get(address, question, answer_s)

    def request_any(self, path: str) -> bytes | None:
        """Asks the instances that are known until one answers.

        Returns:
            The answer; None if none has answered.
        """
        now = boottime.now()
        own = self.membership.own.data_centre
        near = [member for member, _ in self.membership.members(own, now)]
        for member in [*near, *self.membership.remote_members(now)][
            :_MOST_ASKED
        ]:
            answer = self._get(member.address, path)
            if isinstance(answer, result.Ok):
                return answer.ok_value
        return None

    def announce_departure(self) -> None:
        """Tells the others of the data centre that this instance stops."""
        self._leaving = True
        now = boottime.now()
        members = self.membership.members(self.membership.own.data_centre, now)
        for member, _ in members:
            gevent.spawn(self._get, member.address, "/goodbye")

    def handle(self, request: http.Request, conn: http.Connection) -> None:
        """Answers another instance."""
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        asker = _asker(fields)
        if path == "/goodbye":
            self.membership.remove(asker.name)
            conn.answer(_OK, [], b"")
        elif path == "/members":
            if asker.name and asker.address:
                self.membership.record_alive(asker, boottime.now())
            conn.answer(_OK, [], self._members(asker.data_centre))
        elif path in self._handlers:
            answer = self._handlers[path](fields)
            status = _NOT_FOUND if answer is None else _OK
            conn.answer(status, [], answer or b"")
        else:
            conn.answer(_NOT_FOUND, [], b"")

    def _local_peer_count(self) -> int:
        """Returns how many other instances the own data centre has."""
        own = self.membership.own.data_centre
        return len(self.membership.members(own, boottime.now()))

    def _members(self, data_centre: str) -> bytes:
        now = boottime.now()
        rows = [
            (
                member.name,
                member.address,
                member.data_centre,
                member.link_mbps,
                age_s,
            )
            for member, age_s in self.membership.sample(
                data_centre, now, _MEMBERS_ELSEWHERE
            )
        ]
        return cbor2.dumps(rows)

    def _ask_members(self, address: str) -> None:
        answer = self._get(address, "/members")
        if isinstance(answer, result.Err):
            return
        try:
            rows = msgspec.convert(
                cbor2.loads(answer.ok_value),
                list[tuple[str, str, str, _LinkMbps, float]],
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.problem(
                "members_unreadable", address=address, detail=str(exc)
            )
            return
        now = boottime.now()
        for name, where, data_centre, link_mbps, age_s in rows:
            member = membership.Member(
                name=name,
                address=where,
                data_centre=data_centre,
                link_mbps=link_mbps,
            )
            self.membership.record_alive(member, now - max(0.0, age_s))

    def _get(
        self, address: str, question: str, answer_s: float = _ANSWER_S
    ) -> result.Result[bytes, str]:
        fields = urllib.parse.urlencode(dataclasses.asdict(self.membership.own))
        target = question + ("&" if "?" in question else "?") + fields
        try:
            conn = self._connection(address)
            status, data = _exchange(conn, target, answer_s)
        except errors.TransportError as exc:
            return result.Err(str(exc))
        if conn.reusable:
            self._conns[address] = conn
        if status != _OK:
            return result.Err(f"{address} answered {status}")
        return result.Ok(data)

    def _connection(self, address: str) -> client.Connection:
        """Returns the connection that rests from the last call, or a new one.

        Raises:
            errors.ConnectError: The instance cannot be reached.
        """
        conn = self._conns.pop(address, None)
        if conn is not None and not conn.is_stale():
            return conn
        return client.connect(address, timeout_s=_CONNECT_S)


def _asker(fields: Mapping[str, str]) -> membership.Member:
    """Returns who asks, as far as it says so."""
    try:
        link_mbps = msgspec.convert(
            fields.get("link_mbps", "0"), _LinkMbps, strict=False
        )
    except msgspec.ValidationError:
        link_mbps = 0.0
    return membership.Member(
        name=fields.get("name", ""),
        address=fields.get("address", ""),
        data_centre=fields.get("data_centre", ""),
        link_mbps=link_mbps,
    )


def _exchange(
    conn: client.Connection, target: str, answer_s: float
) -> tuple[int, bytes]:
    """Asks once; a connection that fails is closed."""
    until_s = boottime.now() + answer_s
    headers = [(b"Host", conn.address.encode())]
    try:
        conn.send("GET", target, headers, b"", timeout_s=answer_s)
        status, _ = conn.read_head(timeout_s=until_s - boottime.now())
        return status, _read_all(conn, until_s)
    except errors.TransportError:
        conn.close()
        raise


def _read_all(conn: client.Connection, until_s: float) -> bytes:
    parts = []
    while True:
        part = conn.read_data(timeout_s=until_s - boottime.now())
        if part is None:
            return b"".join(parts)
        parts.append(part)
