"""Stand-in for a backend server, as a process of its own.

It runs one request at a time on each connection, echoes ``Request-Id``, signs
its answers and answers 421 to a request that names another server. Each run is
written to its record as it begins and as its answer is complete.
"""

from __future__ import annotations

import argparse
import json
import select
import socket
import socketserver
import threading
import time


class Server(socketserver.ThreadingTCPServer):
    """Accepts connections on loopback.

    Args:
        args: The command line.
    """

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, args: argparse.Namespace):
        super().__init__(("127.0.0.1", args.port), Handler)
        self.args = args
        self._record = open(args.record, "a", buffering=1)  # noqa: SIM115
        self._lock = threading.Lock()
        self._serial = 0

    def record(self, event: str, request_id: str, **fields: object) -> None:
        """Writes a line to the record."""
        line = {
            "at_s": round(time.monotonic(), 3),
            "event": event,
            "request": request_id,
            "server": self.args.id,
            **fields,
        }
        with self._lock:
            self._record.write(json.dumps(line) + "\n")

    def handle_error(self, request: object, address: object) -> None:
        """Ignores connections that the other side has broken off."""

    def signature(self) -> str:
        """Returns a new signature."""
        with self._lock:
            self._serial += 1
            return f"{self.args.id}.{self._serial}"


class Handler(socketserver.StreamRequestHandler):
    """Serves the requests of one connection."""

    disable_nagle_algorithm = True

    def handle(self) -> None:
        """See the base class."""
        try:
            while self._serve_one():
                pass
        except OSError:
            # The other side has closed the connection.
            return

    def _serve_one(self) -> bool:
        line = self.rfile.readline(65536)
        if not line.strip():
            return False
        headers: dict[str, str] = {}
        while text := self.rfile.readline(65536).strip().decode("latin-1"):
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        self.rfile.read(int(headers.get("content-length", 0)))
        args = self.server.args
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", args.id) != args.id:
            self._send(421, ["Not-Executed: 1", f"Request-Id: {request_id}"])
            return True
        self.server.record("runs", request_id)
        if args.events:
            return self._stream(request_id, headers)
        return self._plain(request_id)

    def _plain(self, request_id: str) -> bool:
        time.sleep(self.server.args.work_s)
        if self._caller_left():
            self.server.record("caller left", request_id)
            return False
        self.server.record("ends its run", request_id)
        head = [
            f"Request-Id: {request_id}",
            f"Response-Signature: {self.server.signature()}",
        ]
        self._send(200, head, b"done " + request_id.encode())
        return True

    def _stream(self, request_id: str, headers: dict[str, str]) -> bool:
        args = self.server.args
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {request_id}",
            f"Response-Signature: {self.server.signature()}",
        ]
        if args.unframed:
            # The answer ends with its connection.
            head.append("Connection: close")
        else:
            head.append("Transfer-Encoding: chunked")
        self.wfile.write("\r\n".join([*head, "", ""]).encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, args.events + 1):
            time.sleep(args.gap_s)
            if self._caller_left():
                self.server.record("caller left", request_id, before=number)
                return False
            event = f"id: {number}\ndata: piece {number} of {args.events}\n\n"
            self._write_piece(event.encode())
        if not args.unframed:
            self.wfile.write(b"0\r\n\r\n")
        self.server.record("ends its run", request_id, last=args.events)
        return not args.unframed

    def _write_piece(self, data: bytes) -> None:
        if not self.server.args.unframed:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.wfile.write(data)

    def _caller_left(self) -> bool:
        readable, _, _ = select.select([self.connection], [], [], 0)
        return bool(readable) and not self.connection.recv(1, socket.MSG_PEEK)

    def _send(self, status: int, head: list[str], body: bytes = b"") -> None:
        lines = [
            f"HTTP/1.1 {status} Status",
            *head,
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        self.wfile.write("\r\n".join(lines).encode() + body)


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--work-s", type=float, default=0.0)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--gap-s", type=float, default=0.0)
    parser.add_argument("--unframed", action="store_true")
    Server(parser.parse_args()).serve_forever()


if __name__ == "__main__":
    main()
