"""Records of instances in a table of the platform's store."""

from __future__ import annotations

import base64
import binascii
import json
import urllib.parse
from typing import Any

import msgspec
import result
from gevent import lock

from irisshelf.store import feed
from irisshelf.store import records
from irisshelf.transport import client
from irisshelf.transport import errors

_TABLE = "streamOrigins"
# The store handles the writes of each part one after another. The tables of the
# operator and the servers use the unnamed one.
_PART = "origins"
_OK = 200
_CONFLICT = 412
_MS = 1000.0
_PAGE_ROWS = 500
_MAX_PAGES = 100
_MAX_ANSWER_BYTES = 8_388_608
_CONNECT_S = 0.4
_ANSWER_S = 0.6
_MAX_ANSWER_S = 8.0


class _Row(msgspec.Struct):
    key: str = msgspec.field(name="tlsKey", default="")
    value: Any = ""
    ver: int = 0


class _Answer(msgspec.Struct, rename="camel"):
    ver: int = 0
    now_ms: float = 0.0
    rows: list[_Row] = []
    more_pages: bool = False


class StoreRecords(records.Records):
    """Keeps records as rows.

    Args:
        address: Address of the store, such as ``10.0.0.1:8000``.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(self, *, address: str):
        self._address = address
        self._conn: client.Connection | None = None
        # One exchange at a time.
        self._calling = lock.BoundedSemaphore()
        self.calls = 0

    def read(self) -> result.Result[records.Snapshot, feed.Unavailable]:
        """See ``records.Records.read``."""
        rows: list[_Row] = []
        start = ""
        for _ in range(_MAX_PAGES):
            query = {"table": _TABLE, "part": _PART, "limit": _PAGE_ROWS}
            if start:
                query["from"] = start
            path = f"/api/rows-get?{urllib.parse.urlencode(query)}"
            read = self._call("GET", path, b"", _OK)
            if isinstance(read, result.Err):
                return read
            _, answer = read.ok_value
            rows += answer.rows
            if not answer.more_pages or not answer.rows:
                return result.Ok(
                    records.Snapshot(
                        records=tuple(map(_record, rows)),
                        store_s=answer.now_ms / _MS,
                    )
                )
            # The least key after the last one.
            start = answer.rows[-1].key + "\0"
        return result.Err(
            feed.Unavailable(
                detail=f"the records have no end after {len(rows)} rows,"
                f" allowed: {_MAX_PAGES} pages"
            )
        )

    def write(
        self, key: str, data: bytes, *, version: int
    ) -> result.Result[records.Written, records.Rejected | feed.Unavailable]:
        """See ``records.Records.write``."""
        row = {"table": _TABLE, "part": _PART, "tlsKey": key}
        value = base64.b64encode(data).decode()
        body = json.dumps(
            {
                "expectedRevision": [{**row, "ver": version}],
                "puts": [{**row, "value": value}],
                "remove": [],
            }
        ).encode()
        written = self._call("POST", "/api/rows-tx", body, _OK, _CONFLICT)
        if isinstance(written, result.Err):
            return written
        status, answer = written.ok_value
        if status == _CONFLICT:
            return result.Err(records.Rejected())
        return result.Ok(
            records.Written(version=answer.ver, store_s=answer.now_ms / _MS)
        )

    def _call(
        self, method: str, path: str, body: bytes, *expected: int
    ) -> result.Result[tuple[int, _Answer], feed.Unavailable]:
        self.calls += 1
        try:
            with self._calling:
                status, data = self._exchange(method, path, body)
        except errors.TransportError as exc:
            return result.Err(feed.Unavailable(detail=str(exc)))
        if status not in expected:
            detail = f"the store answered {status}, allowed: {expected}"
            return result.Err(feed.Unavailable(detail=detail))
        try:
            answer = msgspec.json.decode(data, type=_Answer)
        except msgspec.MsgspecError as exc:
            detail = f"the store's answer is garbled: {exc}"
            return result.Err(feed.Unavailable(detail=detail))
        return result.Ok((status, answer))

    def _exchange(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        # One that has lost an answer, or been closed, is of no use any more.
        conn, self._conn = self._conn, None
        if conn is not None and conn.is_stale():
            conn.close()
            conn = None
        if conn is None:
            conn = client.connect(self._address, timeout_s=_CONNECT_S)
        headers = [(b"Host", self._address.encode())]
        if body:
            headers += [
                (b"Content-Type", b"application/json"),
                (b"Content-Length", b"%d" % len(body)),
            ]
        try:
            conn.send(method, path, headers, body, timeout_s=_ANSWER_S)
            status, _ = conn.read_head(timeout_s=_ANSWER_S)
            data = conn.read_body(
                "answer of the store",
                max_bytes=_MAX_ANSWER_BYTES,
                timeout_s=_MAX_ANSWER_S,
                part_timeout_s=_ANSWER_S,
            )
            if conn.reusable:
                self._conn = conn
        finally:
            if self._conn is not conn:
                conn.close()
        return status, data


def _record(row: _Row) -> records.Record:
    try:
        data = binascii.a2b_base64(row.value, strict_mode=True)
    except (ValueError, TypeError):
        # Left by another writer; the reader of its content reports it.
        data = b""
    return records.Record(key=row.key, data=data, version=row.ver)
