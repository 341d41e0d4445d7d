"""What instances of a data centre tell each other: the store's tables.

Instances ask each other over HTTP, with CBOR bodies, on the address of
``listen.peers``. ``GET /feed/TABLE`` is the store's feed handed on;
``GET /members`` tells who is there. Whoever asks tells its own name with it.
"""

from __future__ import annotations

import dataclasses
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

import cbor2
import gevent
import msgspec
import result
from gevent import event

from irisshelf.catalog import directory
from irisshelf.catalog import freshness
from irisshelf.catalog import model
from irisshelf.coordination import roster
from irisshelf.observe import decision_log
from irisshelf.store import feed
from irisshelf.store import mirror
from irisshelf.transport import client
from irisshelf.transport import errors
from irisshelf.transport import server as http

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
# A neighbour holds a call for so long. The age of what a keeper knows, up to
# 2 s, adds to that of the configuration here, and keys hold for 3.8 s.
_HOLD_S = {feed.Table.CATALOG: 1.0, feed.Table.SERVERS: 6.0}
# A keeper that nobody has asked for so long keeps for nobody.
_FOLLOWED_S = 3.0
# Neighbours stand within a millisecond; a slow one may take this much longer.
_ANSWER_S = 0.4
_CONNECT_S = 0.15
# A keeper that has not heard from the store for so long is not followed.
OLDEST_S = 1.8
_MEMBERS_EVERY_S = 2.5
# Instances of each other data centre that an asker is told of.
_MEMBERS_ELSEWHERE = 3
_SEEDS_EVERY_S = 5.0
_TYPES = {
    feed.Table.CATALOG: model.Catalog,
    feed.Table.SERVERS: directory.BackendServer,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Told:
    """A neighbour's answer on a table.

    Attributes:
        revision: The store's revision.
        whole: Whether these are all rows.
        as_of_s: The store's clock when it had told all this.
        clock_s: The store's clock now, at the most.
        age_s: How old the neighbour thinks its knowledge is.
        items: Rows in CBOR, each key, value or None, and problem.
    """

    revision: int
    whole: bool
    as_of_s: float
    clock_s: float
    age_s: float
    items: bytes


class Neighbours:
    """Hands on what this instance knows, and knows whom to ask.

    Args:
        own: This instance.
        seeds: Addresses of instances that may be there at the start.
        fresh: How old this instance's knowledge is.
        log: Takes what changes.
        on_members: Told how many other instances the data centre has.
    """

    def __init__(
        self,
        *,
        own: roster.Member,
        seeds: tuple[str, ...],
        fresh: freshness.Freshness,
        log: decision_log.DecisionLog,
        on_members: Callable[[int], None] = lambda count: None,
    ):
        self.roster = roster.Roster(own=own)
        self._seeds = tuple(seed for seed in seeds if seed != own.address)
        self._fresh = fresh
        self._log = log
        self._on_members = on_members
        self._mirrors = {table: mirror.Mirror() for table in feed.Table}
        self._changed = {table: event.Event() for table in feed.Table}
        self._keeper = ""
        self._followed_s = float("-inf")
        # The last answer on a table: revision and what was asked, rows.
        self._last_packed: dict[feed.Table, tuple[tuple[int, int], bytes]] = {}
        self._conns: dict[tuple[str, str], client.Connection] = {}
        self._busy: dict[tuple[str, str], client.Connection] = {}

    @property
    def followed(self) -> bool:
        """Whether others follow this instance."""
        return time.monotonic() - self._followed_s < _FOLLOWED_S

    def learnt(self, table: feed.Table, batch: feed.Batch) -> None:
        """Takes a batch that this instance has got."""
        self._mirrors[table].apply(batch)
        if batch.items:
            waiting = self._changed[table]
            self._changed[table] = event.Event()
            waiting.set()

    def keeper(self) -> roster.Member | None:
        """Returns whom to follow; None to ask the store."""
        found = self.roster.keeper(time.monotonic())
        name = found.name if found else ""
        if name != self._keeper:
            self._log.instance("follows", whom=name or "the store")
            self._keeper = name
        return found

    def run(self) -> None:
        """Keeps the list of instances up to date."""
        asked_seeds_s = float("-inf")
        while True:
            now = time.monotonic()
            if now - asked_seeds_s > _SEEDS_EVERY_S or not self._neighbours():
                asked_seeds_s = now
                for seed in self._seeds:
                    self._ask_members(seed)
            keeper = self.roster.keeper(now)
            if keeper is not None:
                self._ask_members(keeper.address)
            self._on_members(self._neighbours())
            gevent.sleep(_MEMBERS_EVERY_S)

    def say_goodbye(self) -> None:
        """Tells those who may follow this instance that it stops."""
        now = time.monotonic()
        members = self.roster.members(self.roster.own.data_centre, now)
        for member, _ in members:
            gevent.spawn(self._get, member.address, "/goodbye", _ANSWER_S)

    def handle(self, request: http.Request, conn: http.Connection) -> None:
        """Answers a neighbour."""
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        asker = roster.Member(
            name=fields.get("name", ""),
            address=fields.get("address", ""),
            data_centre=fields.get("data_centre", ""),
        )
        if path == "/goodbye":
            self.roster.left(asker.name)
            conn.answer(_OK, [], b"")
            return
        if asker.name and asker.address:
            self.roster.heard(asker, time.monotonic())
        if path == "/members":
            conn.answer(_OK, [], self._members(asker.data_centre))
        elif path.startswith("/feed/"):
            self._hand_on(path.removeprefix("/feed/"), fields, conn)
        else:
            conn.answer(_NOT_FOUND, [], b"")

    def changes(
        self, keeper: roster.Member, table: feed.Table, after: int | None
    ) -> result.Result[tuple[feed.Batch, float], str]:
        """Asks a keeper for a table's changes.

        Args:
            keeper: Whom to ask.
            table: What to ask for.
            after: The revision known; None for the whole table.

        Returns:
            The batch and the age of the keeper's knowledge, or what is wrong.
        """
        query = f"&after={-1 if after is None else after}"
        path = f"/feed/{table.value}"
        timeout_s = _HOLD_S[table] + _ANSWER_S
        answer = self._get(keeper.address, path, timeout_s, query)
        if isinstance(answer, result.Err):
            return answer
        try:
            told = msgspec.convert(cbor2.loads(answer.ok_value), _Told)
            rows = cbor2.loads(told.items)
            items = tuple(_item(table, *row) for row in rows)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            return result.Err(f"no answer of an instance: {exc}")
        batch = feed.Batch(
            items=items,
            revision=told.revision,
            store_s=told.as_of_s,
            clock_s=told.clock_s,
            whole=told.whole,
        )
        return result.Ok((batch, told.age_s))

    def give_up_on(self, address: str) -> None:
        """Ends all calls to an instance that has failed to answer one."""
        self.roster.failed(address, time.monotonic())
        for (where, _), conn in list(self._busy.items()):
            if where == address:
                conn.close()

    def _neighbours(self) -> int:
        """Returns how many other instances the own data centre has."""
        own = self.roster.own.data_centre
        return len(self.roster.members(own, time.monotonic()))

    def _members(self, data_centre: str) -> bytes:
        now = time.monotonic()
        rows = [
            (member.name, member.address, member.data_centre, age_s)
            for member, age_s in self.roster.sample(
                data_centre, now, _MEMBERS_ELSEWHERE
            )
        ]
        return cbor2.dumps(rows)

    def _ask_members(self, address: str) -> None:
        answer = self._get(address, "/members", _ANSWER_S)
        if isinstance(answer, result.Err):
            return
        try:
            rows = msgspec.convert(
                cbor2.loads(answer.ok_value),
                list[tuple[str, str, str, float]],
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.problem(
                "members_unreadable", address=address, detail=str(exc)
            )
            return
        now = time.monotonic()
        for name, where, data_centre, age_s in rows:
            member = roster.Member(
                name=name, address=where, data_centre=data_centre
            )
            self.roster.heard(member, now - max(0.0, age_s))

    def _hand_on(
        self, table_name: str, fields: dict[str, str], conn: http.Connection
    ) -> None:
        try:
            table = feed.Table(table_name)
            after = int(fields.get("after", "-1"))
        except ValueError:
            conn.answer(_NOT_FOUND, [], b"")
            return
        known = self._mirrors[table]
        self._followed_s = time.monotonic()
        if known.revision >= 0 and not known.has_since(after):
            self._changed[table].wait(_HOLD_S[table])
        age_s = self._fresh.age_s(time.monotonic())
        if known.revision < 0 or age_s > OLDEST_S:
            conn.answer(_UNAVAILABLE, [], b"")
            return
        rows = known.since(after)
        told = _Told(
            revision=known.revision,
            whole=rows is None,
            as_of_s=self._fresh.as_of_store_s,
            clock_s=self._fresh.store_clock_s(time.monotonic()),
            age_s=age_s,
            items=self._packed(table, after, rows),
        )
        conn.answer(_OK, [], cbor2.dumps(dataclasses.asdict(told)))

    def _packed(
        self,
        table: feed.Table,
        after: int,
        rows: tuple[feed.Item, ...] | None,
    ) -> bytes:
        """Returns rows in CBOR; all who ask alike get the same bytes.

        A configuration has up to megabytes, and dozens may ask at once.
        """
        known = self._mirrors[table]
        if rows is not None and not rows:
            return cbor2.dumps([])
        asked = (known.revision, -1 if rows is None else after)
        last = self._last_packed.get(table)
        if last is not None and last[0] == asked:
            return last[1]
        wanted = known.whole() if rows is None else rows
        data = cbor2.dumps(
            [(item.key, _plain(item.value), item.problem) for item in wanted]
        )
        self._last_packed[table] = (asked, data)
        return data

    def _get(
        self, address: str, path: str, timeout_s: float, query: str = ""
    ) -> result.Result[bytes, str]:
        fields = urllib.parse.urlencode(dataclasses.asdict(self.roster.own))
        target = f"{path}?{fields}{query}"
        try:
            conn = self._connection(address, path)
            self._busy[address, path] = conn
            status, data = _exchange(conn, target, timeout_s)
        except errors.TransportError as exc:
            return result.Err(str(exc))
        finally:
            self._busy.pop((address, path), None)
        if conn.reusable:
            self._conns[address, path] = conn
        if status != _OK:
            return result.Err(f"{address} answered {status}")
        return result.Ok(data)

    def _connection(self, address: str, path: str) -> client.Connection:
        """Returns the connection that rests from the last call, or a new one.

        Raises:
            errors.ConnectError: The instance cannot be reached.
        """
        conn = self._conns.pop((address, path), None)
        if conn is not None and not conn.is_stale():
            return conn
        return client.connect(address, timeout_s=_CONNECT_S)


def _exchange(
    conn: client.Connection, target: str, timeout_s: float
) -> tuple[int, bytes]:
    """Asks once; a connection that fails is closed."""
    until_s = time.monotonic() + timeout_s
    headers = [(b"Host", conn.address.encode())]
    try:
        conn.send("GET", target, headers, b"", timeout_s=timeout_s)
        status, _ = conn.read_head(timeout_s=until_s - time.monotonic())
        return status, _read_all(conn, until_s)
    except errors.TransportError:
        conn.close()
        raise


def _read_all(conn: client.Connection, until_s: float) -> bytes:
    parts = []
    while True:
        part = conn.read_data(timeout_s=until_s - time.monotonic())
        if part is None:
            return b"".join(parts)
        parts.append(part)


def _plain(value: Any) -> Any:
    return None if value is None else msgspec.to_builtins(value)


def _item(table: feed.Table, key: str, value: Any, problem: str) -> feed.Item:
    if value is not None:
        value = msgspec.convert(value, _TYPES[table])
    return feed.Item(key=key, value=value, problem=problem)
