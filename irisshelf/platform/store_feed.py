"""Follows the platform's tables over HTTP."""

from __future__ import annotations

import binascii
import dataclasses
import urllib.parse
from typing import Any

import msgspec
import result

from irisshelf import boottime
from irisshelf.catalog import evacuations
from irisshelf.catalog import position as position_module
from irisshelf.platform import documents
from irisshelf.store import feed
from irisshelf.transport import client
from irisshelf.transport import errors

_OK = 200
_GONE = 410
_MS = 1000.0
# The newest configuration's key in its table.
_CATALOG_KEY = "config"
# Before a data centre's name, in the same table.
_EVACUATION_PREFIX = "evacuate/"
_TABLES = {feed.Table.CATALOG: "op", feed.Table.SERVERS: "servers"}
_PAGE_ROWS = 500  # The store returns no more at a time.
_MAX_PAGES = 1000
# A list that was begun so long ago is begun anew: the store keeps its history
# for 20 s.
_PAGES_S = 10.0
# An answer begins after 4 ms, or 60 times that while the store is slow, and
# goes on without such a pause; a long one takes seconds on the slowest links
# (a configuration of 1,600 routes has 5 Mbit).
_ANSWER_S = 0.6
# The store ends an answer before the row that would make it longer than 1 MB
# (1.33 MB as it is encoded) or than 500 rows, and names the last row's revision
# as its own. One of less than half of either has not been cut off: a longer row
# would be the next answer's first one, and is noticed there.
_SURELY_COMPLETE_BYTES = 600_000
_SURELY_COMPLETE_ROWS = 250
_LONGEST_ANSWER_S = 8.0
# Six times the longest answer, and far more than the lists of the largest
# deployments have in all pages together.
_MOST_ANSWER_BYTES = 8_388_608
_MOST_LIST_BYTES = 67_108_864
_CONNECT_S = 0.4
# Rises by one each time that the store comes back from a copy; a store that
# never has says nothing.
_ERA = b"store-era"
_ERA_DIGITS = 15


class _Row(msgspec.Struct):
    # The row's key; the name has nothing to do with TLS.
    key: str = msgspec.field(name="tlsKey", default="")
    # A text, but any writer may have left something else.
    value: Any = ""
    deleted: bool = False
    ver: int = 0


class _Answer(msgspec.Struct, rename="camel"):
    # The store's newest revision, not the rows' own.
    ver: int
    now_ms: float = 0.0
    rows: list[_Row] = []
    more_pages: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Exchange:
    """What came back for one call, as it was transferred.

    Attributes:
        status: HTTP status.
        data: The body.
        transfer_s: From the head to the body's end, in seconds.
        era: See ``position.Position``.
    """

    status: int
    era: int
    data: bytes
    transfer_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Read:
    """A decoded answer, and what it took to transfer it."""

    answer: _Answer
    era: int
    size_bytes: int
    transfer_s: float


class _Pages:
    """A table as far as it has been read.

    Args:
        began_s: When its first page was asked for, monotonic seconds.

    Attributes:
        rows: Of all pages so far.
        start: The key that the next page begins at; empty for the first.
        first: The first page, whose position holds for all.
        complete: Whether there are no more pages.
        size_bytes: Size of all pages so far.
    """

    def __init__(self, *, began_s: float):
        self.began_s = began_s
        self.rows: list[_Row] = []
        self.start = ""
        self.first: _Read | None = None
        self.complete = False
        self.size_bytes = 0

    def may_add(self, page: _Read) -> bool:
        """Tells whether a page goes on where the others ended."""
        return self.first is None or page.era == self.first.era

    def add(self, page: _Read) -> None:
        """Takes the next page."""
        self.first = self.first or page
        rows = page.answer.rows
        self.rows += rows
        self.size_bytes += page.size_bytes
        self.complete = not page.answer.more_pages or not rows
        if rows:
            # The least key after the last one.
            self.start = rows[-1].key + "\0"


class StoreFeed(feed.Feed):
    """Follows tables of the platform's store.

    Args:
        address: Of the store, such as ``10.0.0.1:8000``.
    """

    def __init__(self, *, address: str):
        self._address = address
        self._conns: dict[feed.Table, client.Connection] = {}
        self._begun: dict[feed.Table, _Pages] = {}
        self.calls = 0

    def snapshot(
        self, table: feed.Table
    ) -> result.Result[feed.Batch, feed.Unavailable]:
        """See ``feed.Feed.snapshot``.

        Pages are read at different moments, so that changes have to be asked
        for since the first one. A call that fails loses none of them: the next
        goes on where it stopped. Else many instances that read a long list at
        once keep each other from ever coming to its end.
        """
        pages = self._begun.get(table)
        if pages is None or boottime.now() - pages.began_s > _PAGES_S:
            pages = self._begun[table] = _Pages(began_s=boottime.now())
        for _ in range(_MAX_PAGES):
            query = _page(table, pages.start)
            read = self._call(table, "rows-get", query, 0.0)
            if isinstance(read, result.Err):
                return result.Err(_unavailable(read.err_value))
            if not pages.may_add(read.ok_value):
                # The store came back from a copy between two pages.
                pages = self._begun[table] = _Pages(began_s=boottime.now())
                continue
            pages.add(read.ok_value)
            if pages.size_bytes > _MOST_LIST_BYTES:
                break
            if pages.complete:
                del self._begun[table]
                batch = _batch(table, pages.first, pages.rows, whole=True)
                return result.Ok(
                    dataclasses.replace(batch, began_s=pages.began_s)
                )
        del self._begun[table]
        return result.Err(
            feed.Unavailable(
                detail=f"the list has no end after {pages.size_bytes} bytes, "
                f"allowed: {_MOST_LIST_BYTES} and {_MAX_PAGES} pages"
            )
        )

    def changes(
        self,
        table: feed.Table,
        *,
        after: position_module.Position,
        wait_s: float,
    ) -> result.Result[feed.Batch, feed.Failure]:
        """See ``feed.Feed.changes``."""
        query = {
            "table": _TABLES[table],
            "afterRevision": after.revision,
            "waitMs": int(wait_s * _MS),
        }
        began_s = boottime.now()
        read = self._call(table, "rows-feed", query, wait_s)
        if isinstance(read, result.Err):
            return read
        if read.ok_value.era != after.era:
            # What it tells comes after a revision of another history.
            return result.Err(feed.HistoryLost())
        rows = read.ok_value.answer.rows
        batch = _batch(table, read.ok_value, rows, whole=False)
        return result.Ok(dataclasses.replace(batch, began_s=began_s))

    def decode(self, raw: bytes) -> feed.DecodedRow:
        """See ``feed.Feed.decode``."""
        return _catalog_item(raw)

    def reset(self, table: feed.Table) -> None:
        """See ``feed.Feed.reset``."""
        conn = self._conns.pop(table, None)
        if conn is not None:
            conn.close()

    def _call(
        self, table: feed.Table, verb: str, query: dict[str, Any], hold_s: float
    ) -> result.Result[_Read, feed.Failure]:
        self.calls += 1
        path = f"/api/{verb}?{urllib.parse.urlencode(query)}"
        try:
            got = self._exchange(table, path, hold_s + _ANSWER_S)
        except errors.TransportError as exc:
            # A connection that has lost an answer says nothing any more.
            self.reset(table)
            return result.Err(feed.Unavailable(detail=str(exc)))
        if got.status == _GONE:
            return result.Err(feed.HistoryLost())
        if got.status != _OK:
            detail = f"the store answered {got.status}"
            return result.Err(feed.Unavailable(detail=detail))
        try:
            answer = msgspec.json.decode(got.data, type=_Answer)
        except msgspec.MsgspecError as exc:
            detail = f"the store's answer is garbled: {exc}"
            return result.Err(feed.Unavailable(detail=detail))
        return result.Ok(
            _Read(
                answer=answer,
                era=got.era,
                size_bytes=len(got.data),
                transfer_s=got.transfer_s,
            )
        )

    def _exchange(
        self, table: feed.Table, path: str, timeout_s: float
    ) -> _Exchange:
        conn = self._connection(table)
        headers = [(b"Host", self._address.encode())]
        conn.send("GET", path, headers, b"", timeout_s=timeout_s)
        status, headers = conn.read_head(timeout_s=timeout_s)
        began_s = boottime.now()
        data = conn.read_body(
            "answer of the store",
            max_bytes=_MOST_ANSWER_BYTES,
            timeout_s=_LONGEST_ANSWER_S,
            part_timeout_s=_ANSWER_S,
        )
        if not conn.reusable:
            self.reset(table)
        return _Exchange(
            status=status,
            era=_era(headers),
            data=data,
            transfer_s=boottime.now() - began_s,
        )

    def _connection(self, table: feed.Table) -> client.Connection:
        conn = self._conns.get(table)
        if conn is not None and conn.is_stale():
            self.reset(table)
            conn = None
        if conn is None:
            conn = client.connect(self._address, timeout_s=_CONNECT_S)
            self._conns[table] = conn
        return conn


def _era(headers: client.Headers) -> int:
    """Reads the store's era; one that is no number counts as the first."""
    for name, value in headers:
        if name.lower() == _ERA and value.isdigit():
            return int(value[:_ERA_DIGITS])
    return 0


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
    table: feed.Table, read: _Read, rows: list[_Row], *, whole: bool
) -> feed.Batch:
    return feed.Batch(
        items=tuple(
            _item(table, row)
            for row in rows
            if table is not feed.Table.CATALOG or _is_ours(row.key)
        ),
        position=position_module.Position(
            era=read.era, revision=read.answer.ver
        ),
        store_s=read.answer.now_ms / _MS,
        is_snapshot=whole,
        complete=whole or _is_complete(read),
        size_bytes=read.size_bytes,
        transfer_s=read.transfer_s,
    )


def _is_complete(read: _Read) -> bool:
    """Tells whether an answer of the feed surely holds all there is."""
    few = len(read.answer.rows) < _SURELY_COMPLETE_ROWS
    return few and read.size_bytes < _SURELY_COMPLETE_BYTES


def _is_ours(key: str) -> bool:
    return key == _CATALOG_KEY or key.startswith(_EVACUATION_PREFIX)


def _content(value: Any) -> bytes:
    if not isinstance(value, str):
        kind = type(value).__name__
        raise ValueError(f"value is of type {kind}, allowed: base64 text")
    return binascii.a2b_base64(value, strict_mode=True)


def _evacuated(key: str) -> str | None:
    """Returns the data centre that a row evacuates; None if it is none."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX)


def _catalog_item(raw: bytes) -> feed.DecodedRow:
    try:
        value = documents.catalog(raw)
    except ValueError as exc:
        return feed.DecodedRow(key=_CATALOG_KEY, value=None, problem=str(exc))
    return feed.DecodedRow(key=_CATALOG_KEY, value=value, raw=raw)


def _item(table: feed.Table, row: _Row) -> feed.DecodedRow:
    evacuated = _evacuated(row.key) if table is feed.Table.CATALOG else None
    if row.deleted and evacuated is not None:
        lifted = evacuations.Evacuation(data_centre=evacuated, in_force=False)
        return feed.DecodedRow(key=row.key, value=lifted)
    if row.deleted:
        return feed.DecodedRow(key=row.key, value=None)
    try:
        data = _content(row.value)
        if table is feed.Table.SERVERS:
            value = documents.server(row.key, data)
        elif evacuated is not None:
            value = documents.evacuation(evacuated, data)
        else:
            return _catalog_item(data)
    except ValueError as exc:
        return feed.DecodedRow(key=row.key, value=None, problem=str(exc))
    return feed.DecodedRow(key=row.key, value=value, revision=row.ver)
