"""Stand-in for the platform's store: rows, a feed of changes, faults."""

from __future__ import annotations

import base64
import dataclasses
import enum
import functools
import json
import urllib.parse
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import gevent
from gevent import event
from gevent import server
from gevent import socket

from irisshelf import boottime
from irisshelf.transport import server as http

_LIMITS = http.Limits(
    head_bytes=65536, body_bytes=1_000_000, head_s=30.0, idle_s=300.0
)
_PAGE_ROWS = 500
# Of values, encoded as 4/3 of that, in one answer.
_ANSWER_BYTES = 1_000_000
_TRICKLE_PIECES = 8
_TRICKLE_S = 0.15


class Mode(enum.StrEnum):
    """How the store behaves."""

    WELL = "well"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    SLOW = "slow"
    TRICKLE = "trickle"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Row:
    value: Any
    ver: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """All tables as of one moment."""

    ver: int
    tables: dict[str, dict[str, _Row]]
    history: dict[str, list[tuple[str, _Row]]]


class Port:
    """A further port of a store, for one client.

    Args:
        serve: Handles a connection to the port.

    Attributes:
        mode: How the store behaves to this client.
        addresses: Addresses that this client gets instead of those in entries.
    """

    def __init__(self, *, serve: Callable[[Port, socket.socket], None]):
        self.mode = Mode.WELL
        self.addresses: dict[str, str] = {}
        self._server = server.StreamServer(
            ("127.0.0.1", 0), lambda sock, peer: serve(self, sock), backlog=256
        )
        self._server.start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        """Stops listening."""
        self._server.stop(timeout=0)

    def translate(self, row: dict[str, Any]) -> dict[str, Any]:
        """Returns a row with the addresses that this client gets."""
        if not self.addresses or not row.get("value"):
            return row
        try:
            document = json.loads(base64.b64decode(row["value"]))
            address = self.addresses.get(document["address"])
        except (ValueError, TypeError, KeyError):
            # Not an entry of a server.
            return row
        if address is None:
            return row
        value = base64.b64encode(encode({**document, "address": address}))
        return {**row, "value": value.decode()}


class Store:
    """Serves rows on loopback.

    Args:
        port: To listen on; 0 for any.

    Attributes:
        lagging: What a replica that lags has; it answers all calls for whole
            tables. None if there is no such replica.
        busy_tables: Tables for which all calls are turned away.
    """

    def __init__(self, *, port: int = 0):
        self._tables: dict[str, dict[str, _Row]] = {}
        # Every change of each table, in order.
        self._history: dict[str, list[tuple[str, _Row]]] = {}
        self._ver = 0
        self._forgotten = 0
        self._era = 0
        self._changed = event.Event()
        self._server = server.StreamServer(
            ("127.0.0.1", port), self._serve, backlog=256
        )
        self.mode = Mode.WELL
        self.page_rows = _PAGE_ROWS
        # Told of each page that is asked for, before it is read.
        self.on_page: Callable[[str], None] = lambda start: None
        # Of each page of a whole table, the table.
        self.pages: list[str] = []
        # Of each call, the table and how long it asked to be held, in ms.
        self.asked: list[tuple[str, int]] = []
        self.slow_s = 0.3
        self.calls = 0
        self.lagging: Copy | None = None
        self.busy_tables: set[str] = set()
        self._ports: list[Port] = []

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def ver(self) -> int:
        """The newest revision."""
        return self._ver

    def start(self) -> Store:
        """Begins to listen."""
        self._server.start()
        return self

    def close(self) -> None:
        """Stops."""
        for port in self._ports:
            port.close()
        self._server.stop(timeout=0)

    def open_port(self) -> Port:
        """Opens a further port, whose mode one client alone sees."""
        self._ports.append(Port(serve=self._serve_port))
        return self._ports[-1]

    def put(self, table: str, key: str, document: Any) -> int:
        """Writes a row as an operator or a server would."""
        value = base64.b64encode(encode(document)).decode()
        return self._write(table, key, value, deleted=False)

    def put_raw(self, table: str, key: str, value: Any) -> int:
        """Writes a row as another writer might, whatever its value."""
        return self._write(table, key, value, deleted=False)

    def drop(self, table: str, key: str) -> int:
        """Removes a row."""
        return self._write(table, key, "", deleted=True)

    def forget_history(self) -> None:
        """Makes every revision before now unknown."""
        self._forgotten = self._ver
        self._wake()

    def copy(self) -> Copy:
        """Returns a copy of all tables, to come back from."""
        return Copy(
            ver=self._ver,
            tables={name: dict(rows) for name, rows in self._tables.items()},
            history={name: list(rows) for name, rows in self._history.items()},
        )

    def come_back_from(self, copy: Copy, *, same_era: bool = False) -> None:
        """Loses what was accepted since a copy was made, and begins an era.

        Args:
            copy: The copy.
            same_era: Whether the store does not tell that it came back.
        """
        self._ver = copy.ver
        self._tables = {n: dict(rows) for n, rows in copy.tables.items()}
        self._history = {n: list(rows) for n, rows in copy.history.items()}
        self._forgotten = min(self._forgotten, copy.ver)
        self._era += not same_era
        self._wake()

    def _write(self, table: str, key: str, value: Any, *, deleted: bool) -> int:
        self._ver += 1
        row = _Row(value=value, ver=self._ver, deleted=deleted)
        self._tables.setdefault(table, {})[key] = row
        self._history.setdefault(table, []).append((key, row))
        self._wake()
        return self._ver

    def _wake(self) -> None:
        waiting, self._changed = self._changed, event.Event()
        waiting.set()

    def _serve(self, sock: socket.socket, peer: object) -> None:
        self._serve_port(None, sock)

    def _serve_port(self, port: Port | None, sock: socket.socket) -> None:
        http.Connection(
            sock=sock,
            limits=lambda: _LIMITS,
            handle=functools.partial(self._handle, port),
            refuse=lambda status, text: ([], text.encode()),
        ).serve()

    def _mode(self, port: Port | None) -> Mode:
        if self.mode is Mode.WELL and port is not None:
            return port.mode
        return self.mode

    def _handle(
        self, port: Port | None, request: http.Request, conn: http.Connection
    ) -> None:
        self.calls += 1
        if self._mode(port) is Mode.SLOW:
            gevent.sleep(self.slow_s)
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        hold_ms = int(fields.get("waitMs", 0))
        self.asked.append((fields.get("table", ""), hold_ms))
        if fields.get("table") in self.busy_tables:
            self._answer(port, conn, 503, {})
        elif path == "/api/rows-get":
            self._answer(port, conn, 200, self._page(fields))
        elif path == "/api/rows-tx":
            self._transact(port, conn, json.loads(request.body))
        elif path == "/api/rows-feed":
            self._feed(port, conn, fields, hold_ms)
        else:
            self._answer(port, conn, 404, {})

    def _transact(
        self, port: Port | None, conn: http.Connection, document: dict[str, Any]
    ) -> None:
        """Writes rows if they have the revisions that the writer knows."""
        if self._mode(port) in (Mode.BUSY, Mode.RESET, Mode.SILENT):
            self._answer(port, conn, 503, {})
            return
        for known in document["expectedRevision"]:
            row = self._tables.get(_place(known), {}).get(known["tlsKey"])
            if known["ver"] != (row.ver if row and not row.deleted else 0):
                self._answer(port, conn, 412, {"rows": []})
                return
        for put in document["puts"]:
            self._write(_place(put), put["tlsKey"], put["value"], deleted=False)
        self._answer(port, conn, 200, {})

    def _feed(
        self,
        port: Port | None,
        conn: http.Connection,
        fields: dict[str, str],
        hold_ms: int,
    ) -> None:
        after = int(fields["afterRevision"])
        until_s = boottime.now() + hold_ms / 1000
        while True:
            if after < self._forgotten or after > self._ver:
                self._answer(port, conn, 410, {})
                return
            changed = self._since(fields["table"], after)
            left_s = until_s - boottime.now()
            if changed or left_s <= 0:
                break
            self._changed.wait(left_s)
        told = _cut_off(changed)
        rows = [_encode(fields["table"], key, row) for key, row in told]
        answer: dict[str, Any] = {"rows": rows}
        if len(told) < len(changed):
            answer["ver"] = told[-1][1].ver
        self._answer(port, conn, 200, answer)

    def _since(self, table: str, after: int) -> list[tuple[str, _Row]]:
        """Returns every change after a revision, not just each row's last."""
        history = self._history.get(table, [])
        return [(key, row) for key, row in history if row.ver > after]

    def _page(self, fields: dict[str, str]) -> dict[str, Any]:
        tables = self.lagging.tables if self.lagging else self._tables
        rows = tables.get(_place(fields), {})
        limit = min(self.page_rows, int(fields.get("limit", _PAGE_ROWS)))
        self.pages.append(fields["table"])
        start = fields.get("from", "")
        self.on_page(start)
        keys = sorted(k for k, r in rows.items() if not r.deleted)
        wanted = [key for key in keys if key >= start]
        page = wanted[:limit]
        table = fields["table"]
        answer = {
            "rows": [_encode(table, key, rows[key]) for key in page],
            "morePages": len(wanted) > limit,
        }
        if self.lagging is not None:
            answer["ver"] = self.lagging.ver
        return answer

    def _answer(
        self,
        port: Port | None,
        conn: http.Connection,
        status: int,
        document: dict[str, Any],
    ) -> None:
        mode = self._mode(port)
        if mode is Mode.SILENT:
            gevent.sleep(3600)
        if mode is Mode.RESET:
            conn.abort()
            return
        if mode is Mode.BUSY:
            status, document = 503, {}
        if port is not None and "rows" in document:
            rows = [port.translate(row) for row in document["rows"]]
            document = {**document, "rows": rows}
        now_ms = boottime.now() * 1000
        whole = {"ver": self._ver, "nowMs": now_ms, **document}
        data = json.dumps(whole).encode()
        headers = [(b"Store-Era", str(self._era).encode())]
        if mode is Mode.TRICKLE:
            _trickle(conn, status, headers, data)
        else:
            conn.answer(status, headers, data)


def _place(named: Mapping[str, str]) -> str:
    """Returns where the rows of a part of a table are kept."""
    part = named.get("part", "")
    return f"{named['table']}/{part}" if part else named["table"]


def encode(document: Any) -> bytes:
    """Returns a document as its writer puts it into the store."""
    return json.dumps(document).encode()


def _cut_off(changed: list[tuple[str, _Row]]) -> list[tuple[str, _Row]]:
    """Returns as many of the first changes as one answer holds."""
    left_bytes = _ANSWER_BYTES
    for count, (_, row) in enumerate(changed):
        left_bytes -= len(str(row.value)) * 3 // 4
        if left_bytes < 0 or count == _PAGE_ROWS:
            return changed[: max(count, 1)]
    return changed


def _trickle(
    conn: http.Connection,
    status: int,
    headers: list[tuple[bytes, bytes]],
    data: bytes,
) -> None:
    """Answers as over a slow link: a long while, but without a long pause."""
    conn.begin(status, headers)
    step = len(data) // _TRICKLE_PIECES + 1
    for start in range(0, len(data), step):
        gevent.sleep(_TRICKLE_S)
        conn.write(data[start : start + step])
    conn.end()


def _encode(table: str, key: str, row: _Row) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "table": table,
        "part": "",
        "tlsKey": key,
        "ver": row.ver,
    }
    if row.deleted:
        return {**encoded, "deleted": True}
    return {**encoded, "value": row.value}
