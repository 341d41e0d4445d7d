"""Follows the platform's tables over HTTP."""

from __future__ import annotations

import base64
import time
import urllib.parse
from typing import Any

import msgspec
import result

from irisshelf.platform import documents
from irisshelf.store import feed
from irisshelf.transport import client
from irisshelf.transport import errors

_OK = 200
_GONE = 410
_MS = 1000.0
# The newest configuration's key in its table.
_CATALOG_KEY = "config"
_TABLES = {feed.Table.CATALOG: "op", feed.Table.SERVERS: "servers"}
_PAGE_ROWS = 500  # The store returns no more at a time.
_MAX_PAGES = 1000
# An answer begins after 4 ms, or 60 times that while the store is slow, and
# goes on without such a pause; a long one takes seconds on the slowest links
# (a configuration of 1,600 routes has 5 Mbit).
_ANSWER_S = 0.6
_LONGEST_ANSWER_S = 8.0
_CONNECT_S = 0.4


class _Row(msgspec.Struct):
    # The row's key; the name has nothing to do with TLS.
    key: str = msgspec.field(name="tlsKey", default="")
    value: str = ""
    deleted: bool = False


class _Answer(msgspec.Struct, rename="camel"):
    # The store's newest revision, not the rows' own.
    ver: int
    now_ms: float = 0.0
    rows: list[_Row] = []
    more_pages: bool = False


class StoreFeed(feed.Feed):
    """Follows tables of the platform's store.

    Args:
        address: Of the store, such as ``10.0.0.1:8000``.
    """

    def __init__(self, *, address: str):
        self._address = address
        self._conns: dict[feed.Table, client.Connection] = {}
        self.calls = 0

    def whole(
        self, table: feed.Table
    ) -> result.Result[feed.Batch, feed.Unavailable]:
        """See ``feed.Feed.whole``."""
        rows: list[_Row] = []
        start = ""
        for _ in range(_MAX_PAGES):
            read = self._call(table, "rows-get", _page(table, start), 0.0)
            if isinstance(read, result.Err):
                return result.Err(_unavailable(read.err_value))
            answer = read.ok_value
            rows += answer.rows
            if not answer.more_pages or not answer.rows:
                return result.Ok(_batch(table, answer, rows, whole=True))
            start = answer.rows[-1].key + "\0"
        return result.Err(feed.Unavailable(detail="the list has no end"))

    def changes(
        self, table: feed.Table, *, after: int, wait_s: float
    ) -> result.Result[feed.Batch, feed.Failure]:
        """See ``feed.Feed.changes``."""
        query = {
            "table": _TABLES[table],
            "afterRevision": after,
            "waitMs": int(wait_s * _MS),
        }
        read = self._call(table, "rows-feed", query, wait_s)
        return read.map(
            lambda answer: _batch(table, answer, answer.rows, whole=False)
        )

    def reset(self, table: feed.Table) -> None:
        """See ``feed.Feed.reset``."""
        conn = self._conns.pop(table, None)
        if conn is not None:
            conn.close()

    def _call(
        self, table: feed.Table, verb: str, query: dict[str, Any], hold_s: float
    ) -> result.Result[_Answer, feed.Failure]:
        self.calls += 1
        path = f"/api/{verb}?{urllib.parse.urlencode(query)}"
        try:
            status, data = self._exchange(table, path, hold_s + _ANSWER_S)
        except errors.TransportError as exc:
            # A connection that has lost an answer says nothing any more.
            self.reset(table)
            return result.Err(feed.Unavailable(detail=str(exc)))
        if status == _GONE:
            return result.Err(feed.HistoryLost())
        if status != _OK:
            detail = f"the store answered {status}"
            return result.Err(feed.Unavailable(detail=detail))
        try:
            return result.Ok(msgspec.json.decode(data, type=_Answer))
        except msgspec.MsgspecError as exc:
            detail = f"the store's answer is garbled: {exc}"
            return result.Err(feed.Unavailable(detail=detail))

    def _exchange(
        self, table: feed.Table, path: str, timeout_s: float
    ) -> tuple[int, bytes]:
        conn = self._connection(table)
        headers = [(b"Host", self._address.encode())]
        conn.send("GET", path, headers, b"", timeout_s=timeout_s)
        status, _ = conn.read_head(timeout_s=timeout_s)
        until_s = time.monotonic() + _LONGEST_ANSWER_S
        parts = []
        while True:
            left_s = until_s - time.monotonic()
            part = conn.read_data(timeout_s=min(_ANSWER_S, left_s))
            if part is None:
                break
            parts.append(part)
        if not conn.reusable:
            self.reset(table)
        return status, b"".join(parts)

    def _connection(self, table: feed.Table) -> client.Connection:
        conn = self._conns.get(table)
        if conn is not None and conn.is_stale():
            self.reset(table)
            conn = None
        if conn is None:
            conn = client.connect(self._address, timeout_s=_CONNECT_S)
            self._conns[table] = conn
        return conn


def _page(table: feed.Table, start: str) -> dict[str, Any]:
    query = {"table": _TABLES[table], "part": "", "limit": _PAGE_ROWS}
    if start:
        query["from"] = start
    return query


def _unavailable(failure: feed.Failure) -> feed.Unavailable:
    if isinstance(failure, feed.Unavailable):
        return failure
    return feed.Unavailable(detail="the store has no such history")


def _batch(
    table: feed.Table, answer: _Answer, rows: list[_Row], *, whole: bool
) -> feed.Batch:
    return feed.Batch(
        items=tuple(
            _item(table, row)
            for row in rows
            if table is not feed.Table.CATALOG or row.key == _CATALOG_KEY
        ),
        revision=answer.ver,
        store_s=answer.now_ms / _MS,
        whole=whole,
    )


def _item(table: feed.Table, row: _Row) -> feed.Item:
    if row.deleted:
        return feed.Item(key=row.key, value=None)
    try:
        data = base64.b64decode(row.value)
        if table is feed.Table.SERVERS:
            value = documents.server(row.key, data)
        else:
            value = documents.catalog(data)
    except ValueError as exc:
        return feed.Item(key=row.key, value=None, problem=str(exc))
    return feed.Item(key=row.key, value=value)
