"""Stand-in for the platform's store: rows, read whole or by their changes."""

from __future__ import annotations

import base64
import http.server
import json
import threading
import time
import urllib.parse
from typing import Any


class _Listener(http.server.ThreadingHTTPServer):
    """A listener that says nothing about connections that are broken off."""

    def handle_error(self, request: object, address: object) -> None:
        """Ignores them: instances end, and reset calls, as they need."""


class Store:
    """Serves rows on loopback, as the platform's pages describe it.

    Attributes:
        address: Where it listens.
    """

    def __init__(self):
        self._lock = threading.Condition()
        self._ver = 0
        self._rows: dict[str, dict[str, dict[str, Any]]] = {}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                store._handle(self)

            def log_message(self, *args):
                """Keeps standard error free of access logs."""

        self._server = _Listener(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def put(self, table: str, key: str, document: Any) -> None:
        """Writes a row; returns once the store has accepted it."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write(table, key, {"value": value})

    def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        self._write(table, key, {"deleted": True})

    def close(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()

    def _write(self, table: str, key: str, content: dict[str, Any]) -> None:
        with self._lock:
            self._ver += 1
            row = {"table": table, "part": "", "tlsKey": key, "ver": self._ver}
            self._rows.setdefault(table, {})[key] = {**row, **content}
            self._lock.notify_all()

    def _handle(self, request: http.server.BaseHTTPRequestHandler) -> None:
        path, _, query = request.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, answer = 200, {}
        with self._lock:
            if path == "/api/rows-get":
                answer = self._page(fields)
            elif path == "/api/rows-feed":
                answer = self._changes(fields)
            else:
                status = 404
            answer["ver"] = self._ver
        answer["nowMs"] = time.monotonic() * 1000
        data = json.dumps(answer).encode()
        request.send_response(status)
        request.send_header("Content-Type", "application/json")
        request.send_header("Content-Length", str(len(data)))
        request.end_headers()
        request.wfile.write(data)

    def _page(self, fields: dict[str, str]) -> dict[str, Any]:
        rows = self._rows.get(fields["table"], {})
        start = fields.get("from", "")
        found = [
            rows[key]
            for key in sorted(rows)
            if key >= start and not rows[key].get("deleted")
        ]
        return {"rows": found, "morePages": False}

    def _changes(self, fields: dict[str, str]) -> dict[str, Any]:
        after = int(fields["afterRevision"])
        until_s = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        while True:
            rows = self._rows.get(fields["table"], {}).values()
            found = [row for row in rows if row["ver"] > after]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return {"rows": sorted(found, key=lambda row: row["ver"])}
            self._lock.wait(left_s)
